#include <figslip/settings/entry_settings.hpp>
#include <figslip/settings/ingress_settings.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using figslip::settings::ParseEntrySettings;
using Json = nlohmann::json;

namespace {

Json
GoodSettings()
{
  return { { "instance", "entry-1" },
           { "failure_domain", "sul-a" },
           { "address", "127.0.0.1" },
           { "platform_address", "::1" },
           { "platform_port", 80 },
           { "session_keys", { { { "id", "k1" }, { "secret", "s" } } } } };
}

/// Returns the findings of the good settings with one field changed.
std::string
FindingsWith(const std::string& aField, const Json& aValue)
{
  auto settings = GoodSettings();
  settings[aField] = aValue;
  const auto parsed = ParseEntrySettings(settings.dump());
  return parsed ? "" : figslip::error::JoinMessages(parsed.assume_error());
}

} // namespace

TEST_CASE("the settings of an entry")
{
  SUBCASE("that are good are read, with defaults for the rest")
  {
    const auto parsed = ParseEntrySettings(GoodSettings().dump());
    REQUIRE(parsed);
    const auto& settings = parsed.assume_value();
    CHECK(settings.mInstance == "entry-1");
    CHECK(settings.mPlatform.mAddress == "::1");
    CHECK(settings.mCallerPort == 0);
    CHECK(settings.mDefaultDeadlineMs == 30'000);
    CHECK(settings.mSessionKeys.front().mId == "k1");
  }

  SUBCASE("that are missing are all reported together")
  {
    const auto parsed = ParseEntrySettings("{}");
    REQUIRE_FALSE(parsed);
    CHECK(figslip::error::JoinMessages(parsed.assume_error()) ==
          "[manifest.missing_field.108] /instance: the field is required\n"
          "[manifest.missing_field.108] /failure_domain: the field is "
          "required\n"
          "[manifest.missing_field.108] /address: the field is required\n"
          "[manifest.missing_field.108] /platform_address: the field is "
          "required\n"
          "[manifest.missing_field.108] /platform_port: the field is required\n"
          "[manifest.missing_field.108] /session_keys: at least one key is "
          "required");
  }

  SUBCASE("that are bad are refused one by one")
  {
    struct Example
    {
      std::string mField;
      Json mValue;
      std::string mMessage;
    };
    const Example examples[] = {
      { "instance",
        "a/b",
        "[settings.bad_setting.202] /instance: a name has letters, digits, "
        "'-', '_' and '.' only" },
      { "address",
        "localhost",
        "[settings.bad_setting.202] /address: \"localhost\" is no IP number" },
      { "platform_address",
        "10.0.0.256",
        "[settings.bad_setting.202] /platform_address: \"10.0.0.256\" is no IP "
        "number" },
      { "platform_port",
        0,
        "[manifest.out_of_range.107] /platform_port: 0 is not between 1 and "
        "65535" },
      { "caller_port",
        65'536,
        "[manifest.out_of_range.107] /caller_port: 65536 is not between 0 and "
        "65535" },
      { "traffic_threads",
        1.5,
        "[manifest.wrong_type.102] /traffic_threads: expected a whole number, "
        "found number" },
      { "max_body_bytes",
        18'446'744'073'709'551'615U,
        "[manifest.out_of_range.107] /max_body_bytes: 18446744073709551615 is "
        "not between 1 and 67108864" },
      { "rating_share",
        1.5,
        "[manifest.out_of_range.107] /rating_share: 1.5 is not between 0 and "
        "1" },
      { "log_level",
        "loud",
        "[settings.bad_setting.202] /log_level: \"loud\" is none of debug info "
        "warning error" },
      { "colour",
        "red",
        "[manifest.unknown_field.103] /colour: the field is not known" },
      { "session_keys",
        { { { "id", "a.b" }, { "secret", "s" } } },
        "[settings.bad_setting.202] /session_keys: the id of a key has letters "
        "and digits only" },
      { "session_keys",
        { { { "id", "a" }, { "secret", "s" } },
          { { "id", "a" }, { "secret", "t" } } },
        "[manifest.duplicate_name.104] /session_keys: key \"a\" is given more "
        "than once" },
      { "session_keys",
        { { { "id", "a" } } },
        "[manifest.missing_field.108] /session_keys/0/secret: the field is "
        "required" },
    };
    for (const auto& example : examples) {
      CHECK(FindingsWith(example.mField, example.mValue) == example.mMessage);
    }
  }

  SUBCASE("that are no object are refused")
  {
    const auto parsed = ParseEntrySettings("[]");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.assume_error().front().Message() ==
          "[manifest.wrong_type.102] : expected an object, found array");
  }
}

TEST_CASE("where an instance exchanges the demand of accounts")
{
  Json settings = { { "instance", "entry-1" },
                    { "failure_domain", "a" },
                    { "failure_domains", Json::array() },
                    { "callers", "127.0.0.1:1" },
                    { "readiness", "127.0.0.1:2" },
                    { "metrics", "127.0.0.1:3" },
                    { "peers", "127.0.0.1:4" },
                    { "store", "127.0.0.1:5" },
                    { "memory_mb", 256 },
                    { "max_descriptors", 1024 },
                    { "grace_s", 8 },
                    { "revocation_ms", 5000 },
                    { "retry_share", 0.9 },
                    { "retry_slack", 50 },
                    { "retry_window_s", 10 },
                    { "session_ttl_s", 5 },
                    { "exposure_share", 0.15 },
                    { "exposure_slack", 30 } };
  SUBCASE("is nowhere unless the settings say so")
  {
    const auto parsed =
      figslip::settings::ParseIngressSettings(settings.dump());
    REQUIRE(parsed);
    CHECK_FALSE(parsed.assume_value().mDemandExchange);
  }
  SUBCASE("is an IP number with a port")
  {
    settings["demand_exchange"] = "127.0.0.1:6";
    const auto parsed =
      figslip::settings::ParseIngressSettings(settings.dump());
    REQUIRE(parsed);
    CHECK(parsed.assume_value().mDemandExchange ==
          figslip::net::Endpoint{ .mAddress = "127.0.0.1", .mPort = 6 });
  }
  SUBCASE("is a finding otherwise")
  {
    settings["demand_exchange"] = "a.example:6";
    CHECK_FALSE(figslip::settings::ParseIngressSettings(settings.dump()));
  }
}
