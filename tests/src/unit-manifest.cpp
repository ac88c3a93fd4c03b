#include <figslip/manifest/manifest.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace figslip::manifest;
using Json = nlohmann::json;

namespace {

Json
GoodManifest()
{
  return Json::parse(R"({
    "format": 1,
    "generation": 7,
    "failure_domains": [{"name": "sul-a", "region": "sul"}],
    "models": [{"name": "small", "versions": [
      {"name": "small-1", "cost_per_thousand_tokens": 100}]}],
    "cascades": [{"name": "chat", "quality_target": 0.8,
                  "stages": [{"model": "small"}]}],
    "services": [{"name": "bookings", "operations": [{"name": "book"}]}],
    "upstreams": [
      {"name": "u1", "kind": "model", "failure_domain": "sul-a",
       "address": "10.0.0.1", "port": 80, "versions": ["small-1"],
       "concurrency": 8},
      {"name": "u2", "kind": "plain", "failure_domain": "sul-a",
       "address": "10.0.0.2", "port": 80, "service": "bookings",
       "concurrency": 8}],
    "client_accounts": [{"name": "salon", "allow": ["small", "bookings"],
                         "cascades": ["chat"]}],
    "slos": [{"name": "fast", "client_account": "salon", "objective": 0.95,
              "latency_ms": 1700, "window_hours": 720}]
  })");
}

std::string
FindingsOf(const std::string& aText)
{
  const auto parsed = ParseManifest(aText);
  return parsed ? "" : figslip::error::JoinMessages(parsed.assume_error());
}

/// Returns the findings of the good manifest with one place changed.
std::string
FindingsWith(const std::string& aPointer, const Json& aValue)
{
  auto manifest = GoodManifest();
  manifest[Json::json_pointer(aPointer)] = aValue;
  return FindingsOf(manifest.dump());
}

std::string
FindingsWithout(const std::string& aPointer)
{
  auto manifest = GoodManifest();
  const Json::json_pointer pointer(aPointer);
  manifest[pointer.parent_pointer()].erase(pointer.back());
  return FindingsOf(manifest.dump());
}

struct Example
{
  std::string mPointer;
  Json mValue;
  std::string mMessage;
};

/// Makes a valid manifest from a few random choices.
Manifest
RandomManifest()
{
  const auto count = [](int aMax) { return *rc::gen::inRange(1, aMax + 1); };
  Manifest manifest{ .mGeneration = count(1'000'000) };
  for (int domain = 0, domains = count(3); domain < domains; ++domain) {
    manifest.mFailureDomains.push_back(
      { .mName = "d" + std::to_string(domain),
        .mRegion = "sul",
        .mState = *rc::gen::element(DomainState::In, DomainState::Out) });
  }
  for (int model = 0, models = count(3); model < models; ++model) {
    const auto name = "m" + std::to_string(model);
    manifest.mModels.push_back({ .mName = name, .mVersions = {} });
    for (int version = 0, versions = count(3); version < versions; ++version) {
      manifest.mModels.back().mVersions.push_back(
        { .mName = name + "-" + std::to_string(version),
          .mState = *rc::gen::element(VersionState::Stable,
                                      VersionState::RollOut,
                                      VersionState::Withdrawn),
          .mCostPerThousandTokens = count(1000),
          .mInitialShare = 1.0 / count(7) });
    }
  }
  manifest.mCascades = {
    { "c", 1.0 / count(9), { { "m0", 1.0 / count(9) } } }
  };
  manifest.mServices = { { "s", { { "a", *rc::gen::arbitrary<bool>() } } } };
  manifest.mUpstreams = { { .mName = "u\xc3\xa9 \"/~",
                            .mFailureDomain = "d0",
                            .mAddress = "::1",
                            .mPort = count(65'535),
                            .mVersions = { "m0-0" },
                            .mConcurrency = 9,
                            .mColdConcurrency = count(9),
                            .mChecksFencing = *rc::gen::arbitrary<bool>() } };
  manifest.mClientAccounts = {
    { "a", 1.0 / count(9), { "m0", "m0-0", "s" }, { "c" } }
  };
  manifest.mSlos = { { "l", "a", 0.5 / count(9), count(5000), count(8784) } };
  return manifest;
}

} // namespace

TEST_CASE("a manifest")
{
  SUBCASE("that is good is parsed, with defaults for what is left out")
  {
    const auto parsed = ParseManifest(GoodManifest().dump());
    REQUIRE(parsed);
    const auto& manifest = parsed.assume_value();
    CHECK(manifest.mGeneration == 7);
    CHECK(manifest.mFailureDomains[0].mState == DomainState::In);
    CHECK(manifest.mModels[0].mVersions[0].mState == VersionState::Stable);
    CHECK_FALSE(manifest.mServices[0].mOperations[0].mIdempotent);
    CHECK(manifest.mUpstreams[0].mColdConcurrency == 1);
    CHECK(manifest.mClientAccounts[0].mShare == 1.0);
  }

  SUBCASE("that is printed parses to the same again")
  {
    CHECK(rc::check("printing and parsing round-trip", [] {
      const auto text = PrintManifest(RandomManifest());
      const auto parsed = ParseManifest(text);
      RC_ASSERT(parsed.has_value());
      RC_ASSERT(PrintManifest(parsed.assume_value()) == text);
    }));
  }

  SUBCASE("with one fault is refused with its place")
  {
    const Example examples[] = {
      { "/format",
        2,
        "[manifest.out_of_range.107] /format: 2 is not between 1 and 1" },
      { "/generation",
        0,
        "[manifest.out_of_range.107] /generation: 0 is not between 1 and "
        "9223372036854775807" },
      { "/generation",
        9'223'372'036'854'775'808U,
        "[manifest.out_of_range.107] /generation: 9223372036854775808 is not "
        "between 1 and 9223372036854775807" },
      { "/generation",
        7.0,
        "[manifest.wrong_type.102] /generation: expected a whole number, found "
        "number" },
      { "/colour",
        "red",
        "[manifest.unknown_field.103] /colour: the field is not known" },
      { "/models/0/versions/0/cost",
        1,
        "[manifest.unknown_field.103] /models/0/versions/0/cost: the field is "
        "not known" },
      { "/slos",
        Json::object(),
        "[manifest.wrong_type.102] /slos: expected an array, found object" },
      { "/slos/0",
        7,
        "[manifest.wrong_type.102] /slos/0: expected an object, found number" },
      { "/slos/0/name",
        "",
        "[manifest.out_of_range.107] /slos/0/name: the text must not be "
        "empty" },
      { "/slos/0/name",
        "a\r\nb",
        "[manifest.out_of_range.107] /slos/0/name: the text must not hold "
        "control characters" },
      { "/slos/0/objective",
        1.0,
        "[manifest.out_of_range.107] /slos/0/objective: 1.0 is not between "
        "1e-06 and 1" },
      { "/failure_domains/0/state",
        "away",
        "[manifest.unknown_name.109] /failure_domains/0/state: \"away\" is "
        "none of in out" },
      { "/failure_domains/0/state",
        7,
        "[manifest.unknown_name.109] /failure_domains/0/state: \"7\" is none "
        "of in out" },
      { "/models/0/versions/0/state",
        "bad",
        "[manifest.unknown_name.109] /models/0/versions/0/state: \"bad\" is "
        "none of stable roll_out withdrawn" },
      { "/failure_domains/1",
        { { "name", "sul-a" }, { "region", "sul" } },
        "[manifest.duplicate_name.104] /failure_domains/1/name: \"sul-a\" is "
        "already defined at /failure_domains/0" },
      { "/models/0/versions/1",
        { { "name", "small-1" }, { "cost_per_thousand_tokens", 1 } },
        "[manifest.duplicate_name.104] /models/0/versions/1/name: \"small-1\" "
        "is already defined at /models/0/versions/0" },
      { "/services/0/operations/1",
        { { "name", "book" } },
        "[manifest.duplicate_name.104] /services/0/operations/1/name: \"book\" "
        "is already defined at /services/0/operations/0" },
      { "/cascades/0/stages/1",
        { { "model", "small" } },
        "[manifest.duplicate_name.104] /cascades/0/stages/1/model: model "
        "\"small\" is already a stage of this cascade" },
      { "/cascades/0/stages",
        Json::array(),
        "[manifest.out_of_range.107] /cascades/0/stages: a cascade needs at "
        "least one stage" },
      { "/cascades/0/stages/0/model",
        "tiny",
        "[manifest.dangling_reference.106] /cascades/0/stages/0/model: model "
        "\"tiny\" is not defined" },
      { "/upstreams/0/failure_domain",
        "sul-z",
        "[manifest.dangling_reference.106] /upstreams/0/failure_domain: "
        "failure domain \"sul-z\" is not defined" },
      { "/upstreams/0/versions/0",
        "small-2",
        "[manifest.dangling_reference.106] /upstreams/0/versions/0: version "
        "\"small-2\" is not defined" },
      { "/upstreams/1/service",
        "stock",
        "[manifest.dangling_reference.106] /upstreams/1/service: service "
        "\"stock\" is not defined" },
      { "/client_accounts/0/allow/0",
        "tiny",
        "[manifest.dangling_reference.106] /client_accounts/0/allow/0: no "
        "model, version or service is named \"tiny\"" },
      { "/client_accounts/0/cascades/0",
        "talk",
        "[manifest.dangling_reference.106] /client_accounts/0/cascades/0: "
        "cascade \"talk\" is not defined" },
      { "/slos/0/client_account",
        "nobody",
        "[manifest.dangling_reference.106] /slos/0/client_account: client "
        "account \"nobody\" is not defined" },
      { "/upstreams/0/address",
        "localhost",
        "[manifest.out_of_range.107] /upstreams/0/address: \"localhost\" is no "
        "IP number" },
      { "/upstreams/0/port",
        65'536,
        "[manifest.out_of_range.107] /upstreams/0/port: 65536 is not between 1 "
        "and 65535" },
      { "/upstreams/0/cold_concurrency",
        9,
        "[manifest.out_of_range.107] /upstreams/0/cold_concurrency: must not "
        "exceed \"concurrency\"" },
      { "/upstreams/0/versions",
        Json::array(),
        "[manifest.out_of_range.107] /upstreams/0/versions: a model engine "
        "needs a version" },
      { "/upstreams/0/service",
        "bookings",
        "[manifest.out_of_range.107] /upstreams/0/service: a model engine "
        "serves no service" },
      { "/upstreams/1/versions",
        { "small-1" },
        "[manifest.out_of_range.107] /upstreams/1/versions: a plain service "
        "serves no versions" },
      { "/upstreams/1/service",
        "",
        "[manifest.out_of_range.107] /upstreams/1/service: a plain upstream "
        "needs a service" },
      { "/client_accounts/0/share",
        0,
        "[manifest.out_of_range.107] /client_accounts/0/share: 0 is not "
        "between 1e-06 and 1e+06" },
    };
    for (const auto& example : examples) {
      CHECK(FindingsWith(example.mPointer, example.mValue) == example.mMessage);
    }
  }

  SUBCASE("without a required field is refused")
  {
    for (const auto* const pointer :
         { "/format",
           "/generation",
           "/failure_domains/0/region",
           "/slos/0/name",
           "/models/0/versions/0/cost_per_thousand_tokens",
           "/cascades/0/quality_target",
           "/upstreams/0/kind",
           "/upstreams/0/concurrency",
           "/slos/0/latency_ms" }) {
      CHECK(FindingsWithout(pointer) == "[manifest.missing_field.108] " +
                                          std::string(pointer) +
                                          ": the field is required");
    }
  }

  SUBCASE("with many faults is refused with all of them")
  {
    auto manifest = GoodManifest();
    manifest["generation"] = -1;
    manifest["upstreams"][0]["port"] = "80";
    manifest["slos"][0]["client_account"] = "nobody";
    const auto parsed = ParseManifest(manifest.dump());
    REQUIRE_FALSE(parsed);
    CHECK(parsed.assume_error().size() == 3);
  }

  SUBCASE("with a field given twice is refused")
  {
    CHECK(FindingsOf(R"({"format":1,"generation":1,"generation":2})") ==
          "[manifest.duplicate_field.105] /generation: the field is given more "
          "than once");
  }

  SUBCASE("that is no object is refused")
  {
    CHECK(FindingsOf("null") ==
          "[manifest.wrong_type.102] : expected an object, found null");
  }
}
