#include "manifest_names.hpp"

#include <figslip/http/ip_number.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>
#include <figslip/manifest/manifest.hpp>

#include <array>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace figslip::manifest {

using error::ErrorKind;
using json::ObjectReader;
using json::PointerTo;

namespace {

constexpr std::int64_t kFormat = 1;
constexpr std::int64_t kMaxCost = 1'000'000'000;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxConcurrency = 100'000;
constexpr std::int64_t kMaxLatencyMs = 3'600'000;
constexpr std::int64_t kMaxWindowHours = 8784; // a leap year
constexpr double kMinShare = 1e-6;
constexpr double kMaxShare = 1e6;
constexpr json::Range<double> kUnitInterval{ 0.0, 1.0 };
constexpr json::Range<double> kRollOutShare{ 1e-6, 1.0 };
constexpr json::Range<double> kObjective{ 0.000'001, 0.999'999'999 };

FailureDomain
ReadDomain(ObjectReader& aReader)
{
  return { .mName = aReader.Name("name"),
           .mRegion = aReader.Name("region"),
           .mState = aReader.Choice<DomainState>(
             "state", kDomainStateNames, DomainState::In) };
}

ModelVersion
ReadVersion(ObjectReader& aReader)
{
  return { .mName = aReader.Name("name"),
           .mState = aReader.Choice<VersionState>(
             "state", kVersionStateNames, VersionState::Stable),
           .mCostPerThousandTokens =
             aReader.Whole("cost_per_thousand_tokens", { 0, kMaxCost }),
           .mInitialShare =
             aReader.Real("initial_share", kRollOutShare, 0.05) };
}

Model
ReadModel(ObjectReader& aReader)
{
  Model model{ .mName = aReader.Name("name"), .mVersions = {} };
  aReader.ObjectArray("versions", [&](ObjectReader& aVersion) {
    model.mVersions.push_back(ReadVersion(aVersion));
  });
  return model;
}

Cascade
ReadCascade(ObjectReader& aReader)
{
  Cascade cascade{ .mName = aReader.Name("name"),
                   .mQualityTarget =
                     aReader.Real("quality_target", kUnitInterval),
                   .mStages = {} };
  aReader.ObjectArray("stages", [&](ObjectReader& aStage) {
    cascade.mStages.push_back(
      { .mModel = aStage.Name("model"),
        .mAcceptScore = aStage.Real("accept_score", kUnitInterval, 0.0) });
  });
  if (cascade.mStages.empty()) {
    aReader.Report(
      ErrorKind::OutOfRange, "stages", "a cascade needs at least one stage");
  }
  return cascade;
}

Service
ReadService(ObjectReader& aReader)
{
  Service service{ .mName = aReader.Name("name"), .mOperations = {} };
  aReader.ObjectArray("operations", [&](ObjectReader& aOperation) {
    service.mOperations.push_back(
      { .mName = aOperation.Name("name"),
        .mIdempotent = aOperation.Flag("idempotent", false) });
  });
  return service;
}

Upstream
ReadUpstream(ObjectReader& aReader)
{
  return {
    .mName = aReader.Name("name"),
    .mKind = aReader.Choice<UpstreamKind>("kind", kUpstreamKindNames),
    .mFailureDomain = aReader.Name("failure_domain"),
    .mAddress = aReader.Name("address"),
    .mPort = static_cast<int>(aReader.Whole("port", { 1, kMaxPort })),
    .mVersions = aReader.TextArray("versions"),
    .mService = aReader.Text("service", ""),
    .mConcurrency =
      static_cast<int>(aReader.Whole("concurrency", { 1, kMaxConcurrency })),
    .mColdConcurrency = static_cast<int>(
      aReader.Whole("cold_concurrency", { 1, kMaxConcurrency }, 1)),
    .mChecksFencing = aReader.Flag("checks_fencing", false),
  };
}

ClientAccount
ReadAccount(ObjectReader& aReader)
{
  return { .mName = aReader.Name("name"),
           .mShare = aReader.Real("share", { kMinShare, kMaxShare }, 1.0),
           .mAllow = aReader.TextArray("allow"),
           .mCascades = aReader.TextArray("cascades") };
}

Slo
ReadSlo(ObjectReader& aReader)
{
  return { .mName = aReader.Name("name"),
           .mClientAccount = aReader.Name("client_account"),
           .mObjective = aReader.Real("objective", kObjective),
           .mLatencyMs = static_cast<int>(
             aReader.Whole("latency_ms", { 1, kMaxLatencyMs })),
           .mWindowHours = static_cast<int>(
             aReader.Whole("window_hours", { 1, kMaxWindowHours })) };
}

/// Checks what holds between the parts of a manifest.
class ReferenceChecker
{
public:
  ReferenceChecker(const Manifest& aManifest, error::Findings& aFindings)
    : mManifest(aManifest)
    , mFindings(aFindings)
  {
  }

  void Check()
  {
    CollectNames();
    CheckCascades();
    CheckUpstreams();
    CheckAccounts();
    CheckSlos();
  }

private:
  /// Maps each name to the place where it was defined first.
  using Names = std::map<std::string, std::string, std::less<>>;

  void Define(Names& aNames, const std::string& aName, const std::string& aAt)
  {
    if (aName.empty()) {
      return;
    }
    const auto [found, added] = aNames.emplace(aName, aAt);
    if (!added) {
      mFindings.push_back(
        { ErrorKind::DuplicateName,
          aAt + "/name",
          "\"" + aName + "\" is already defined at " + found->second });
    }
  }

  template<typename Items>
  void DefineAll(Names& aNames,
                 const Items& aItems,
                 const std::string& aPointer)
  {
    for (std::size_t index = 0; index < aItems.size(); ++index) {
      Define(aNames, aItems[index].mName, PointerTo(aPointer, index));
    }
  }

  void Require(const Names& aNames,
               const std::string& aName,
               const std::string& aAt,
               std::string_view aWhat)
  {
    if (!aName.empty() && !aNames.contains(aName)) {
      mFindings.push_back(
        { ErrorKind::DanglingReference,
          aAt,
          std::string(aWhat) + " \"" + aName + "\" is not defined" });
    }
  }

  void CollectNames()
  {
    DefineAll(mDomains, mManifest.mFailureDomains, "/failure_domains");
    DefineAll(mModels, mManifest.mModels, "/models");
    DefineAll(mCascades, mManifest.mCascades, "/cascades");
    DefineAll(mServices, mManifest.mServices, "/services");
    DefineAll(mUpstreams, mManifest.mUpstreams, "/upstreams");
    DefineAll(mAccounts, mManifest.mClientAccounts, "/client_accounts");
    DefineAll(mSlos, mManifest.mSlos, "/slos");
    for (std::size_t index = 0; index < mManifest.mModels.size(); ++index) {
      DefineAll(mVersions,
                mManifest.mModels[index].mVersions,
                PointerTo("/models", index) + "/versions");
    }
    for (std::size_t index = 0; index < mManifest.mServices.size(); ++index) {
      Names operations;
      DefineAll(operations,
                mManifest.mServices[index].mOperations,
                PointerTo("/services", index) + "/operations");
    }
  }

  void CheckCascades()
  {
    for (std::size_t index = 0; index < mManifest.mCascades.size(); ++index) {
      const auto pointer = PointerTo("/cascades", index) + "/stages";
      const auto& stages = mManifest.mCascades[index].mStages;
      std::set<std::string> seen;
      for (std::size_t stage = 0; stage < stages.size(); ++stage) {
        const auto at = PointerTo(pointer, stage) + "/model";
        Require(mModels, stages[stage].mModel, at, "model");
        if (!seen.insert(stages[stage].mModel).second) {
          mFindings.push_back({ ErrorKind::DuplicateName,
                                at,
                                "model \"" + stages[stage].mModel +
                                  "\" is already a stage of this cascade" });
        }
      }
    }
  }

  void CheckUpstreams()
  {
    for (std::size_t index = 0; index < mManifest.mUpstreams.size(); ++index) {
      CheckUpstream(mManifest.mUpstreams[index],
                    PointerTo("/upstreams", index));
    }
  }

  void CheckUpstream(const Upstream& aUpstream, const std::string& aPointer)
  {
    Require(mDomains,
            aUpstream.mFailureDomain,
            aPointer + "/failure_domain",
            "failure domain");
    for (std::size_t index = 0; index < aUpstream.mVersions.size(); ++index) {
      Require(mVersions,
              aUpstream.mVersions[index],
              PointerTo(aPointer + "/versions", index),
              "version");
    }
    Require(mServices, aUpstream.mService, aPointer + "/service", "service");
    if (!aUpstream.mAddress.empty() && !http::IsIpNumber(aUpstream.mAddress)) {
      mFindings.push_back({ ErrorKind::OutOfRange,
                            aPointer + "/address",
                            "\"" + aUpstream.mAddress + "\" is no IP number" });
    }
    const bool isPlain = aUpstream.mKind == UpstreamKind::Plain;
    if (isPlain != aUpstream.mVersions.empty()) {
      mFindings.push_back({ ErrorKind::OutOfRange,
                            aPointer + "/versions",
                            isPlain ? "a plain service serves no versions"
                                    : "a model engine needs a version" });
    }
    if (isPlain == aUpstream.mService.empty()) {
      mFindings.push_back({ ErrorKind::OutOfRange,
                            aPointer + "/service",
                            isPlain ? "a plain upstream needs a service"
                                    : "a model engine serves no service" });
    }
    if (aUpstream.mColdConcurrency > aUpstream.mConcurrency) {
      mFindings.push_back({ ErrorKind::OutOfRange,
                            aPointer + "/cold_concurrency",
                            "must not exceed \"concurrency\"" });
    }
  }

  void CheckAccounts()
  {
    const auto& accounts = mManifest.mClientAccounts;
    for (std::size_t index = 0; index < accounts.size(); ++index) {
      const auto pointer = PointerTo("/client_accounts", index);
      CheckAllowed(accounts[index].mAllow, pointer + "/allow");
      const auto& cascades = accounts[index].mCascades;
      for (std::size_t cascade = 0; cascade < cascades.size(); ++cascade) {
        Require(mCascades,
                cascades[cascade],
                PointerTo(pointer + "/cascades", cascade),
                "cascade");
      }
    }
  }

  void CheckAllowed(const std::vector<std::string>& aNames,
                    const std::string& aPointer)
  {
    for (std::size_t index = 0; index < aNames.size(); ++index) {
      const auto& name = aNames[index];
      if (!mModels.contains(name) && !mVersions.contains(name) &&
          !mServices.contains(name)) {
        mFindings.push_back(
          { ErrorKind::DanglingReference,
            PointerTo(aPointer, index),
            "no model, version or service is named \"" + name + "\"" });
      }
    }
  }

  void CheckSlos()
  {
    for (std::size_t index = 0; index < mManifest.mSlos.size(); ++index) {
      Require(mAccounts,
              mManifest.mSlos[index].mClientAccount,
              PointerTo("/slos", index) + "/client_account",
              "client account");
    }
  }

  const Manifest& mManifest;
  error::Findings& mFindings;
  Names mDomains;
  Names mModels;
  Names mVersions;
  Names mCascades;
  Names mServices;
  Names mUpstreams;
  Names mAccounts;
  Names mSlos;
};

template<typename Item, typename Read>
void
ReadAll(ObjectReader& aReader,
        std::string_view aField,
        std::vector<Item>& aItems,
        Read aRead)
{
  aReader.ObjectArray(
    aField, [&](ObjectReader& aElement) { aItems.push_back(aRead(aElement)); });
}

} // namespace

Result<Manifest>
ParseManifest(std::string_view aText)
{
  BOOST_OUTCOME_TRY(document, json::ParseDocument(aText));
  error::Findings findings;
  Manifest manifest;
  ObjectReader reader(document, "", findings);
  if (reader.IsObject()) {
    (void)reader.Whole("format", { kFormat, kFormat });
    manifest.mGeneration = reader.Whole(
      "generation", { 1, std::numeric_limits<std::int64_t>::max() });
    ReadAll(reader, "failure_domains", manifest.mFailureDomains, ReadDomain);
    ReadAll(reader, "models", manifest.mModels, ReadModel);
    ReadAll(reader, "cascades", manifest.mCascades, ReadCascade);
    ReadAll(reader, "services", manifest.mServices, ReadService);
    ReadAll(reader, "upstreams", manifest.mUpstreams, ReadUpstream);
    ReadAll(reader, "client_accounts", manifest.mClientAccounts, ReadAccount);
    ReadAll(reader, "slos", manifest.mSlos, ReadSlo);
    reader.Finish();
    ReferenceChecker(manifest, findings).Check();
  }
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return manifest;
}

} // namespace figslip::manifest
