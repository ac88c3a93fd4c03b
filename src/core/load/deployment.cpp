#include <figslip/load/deployment.hpp>

#include <algorithm>
#include <utility>

namespace figslip::load {

namespace {

using manifest::ModelVersion;
using manifest::Upstream;
using manifest::UpstreamKind;
using manifest::VersionState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 4;
constexpr int kEntries = 5;
constexpr int kAccounts = 10;
constexpr int kLargeAccounts = 3;
constexpr double kLargeShare = 4.0;
constexpr int kPort = 8000;

/// Counts of the model workers, by what they serve.
struct Workers
{
  int mLarge = 0;
  int mShared = 0; ///< small and medium models on one worker
  int mPlain = 0;
};

std::string
DomainName(int aIndex)
{
  return "domain-" + std::to_string(aIndex % kDomains + 1);
}

std::vector<manifest::Model>
MakeModels()
{
  const auto model = [](const std::string& aName, std::int64_t aCost) {
    return manifest::Model{
      .mName = aName,
      .mVersions = { ModelVersion{ .mName = aName + "-1",
                                   .mCostPerThousandTokens = aCost },
                     ModelVersion{ .mName = aName + "-2",
                                   .mState = VersionState::RollOut,
                                   .mCostPerThousandTokens = aCost } }
    };
  };
  return { model("small", 400), model("medium", 1500), model("large", 6000) };
}

std::vector<VersionProfile>
MakeProfiles()
{
  std::vector<VersionProfile> profiles;
  const auto add = [&](const std::string& aModel,
                       double aAbility,
                       Duration aFirst,
                       Duration aPerToken) {
    for (const auto* const suffix : { "-1", "-2" }) {
      profiles.push_back({ .mName = aModel + suffix,
                           .mAbility = aAbility,
                           .mFirstToken = aFirst,
                           .mPerToken = aPerToken,
                           .mErrorShare = 0.002 });
    }
  };
  add("small", 0.2, milliseconds(80), milliseconds(6));
  add("medium", 1.3, milliseconds(150), milliseconds(11));
  add("large", 2.4, milliseconds(300), milliseconds(20));
  return profiles;
}

std::vector<Upstream>
MakeUpstreams(const Workers& aWorkers)
{
  std::vector<Upstream> upstreams;
  const auto add =
    [&](const std::string& aKind, int aCount, const Upstream& aLike) {
      for (int index = 0; index < aCount; ++index) {
        auto upstream = aLike;
        upstream.mName = aKind + "-" + std::to_string(index + 1);
        upstream.mFailureDomain = DomainName(index);
        upstream.mAddress = "10.0.0.1";
        upstream.mPort = kPort;
        upstreams.push_back(std::move(upstream));
      }
    };
  add("large",
      aWorkers.mLarge,
      { .mVersions = { "large-1", "large-2" },
        .mConcurrency = 12,
        .mColdConcurrency = 2 });
  add("shared",
      aWorkers.mShared,
      { .mVersions = { "small-1", "small-2", "medium-1", "medium-2" },
        .mConcurrency = 20,
        .mColdConcurrency = 2 });
  add("plain",
      aWorkers.mPlain,
      { .mKind = UpstreamKind::Plain,
        .mService = "bookings",
        .mConcurrency = 32,
        .mColdConcurrency = 4 });
  return upstreams;
}

std::vector<manifest::ClientAccount>
MakeAccounts()
{
  std::vector<manifest::ClientAccount> accounts;
  accounts.reserve(kAccounts);
  for (int index = 0; index < kAccounts; ++index) {
    accounts.push_back({ .mName = "account-" + std::to_string(index + 1),
                         .mShare = index < kLargeAccounts ? kLargeShare : 1.0,
                         .mAllow = { "small", "medium", "large", "bookings" },
                         .mCascades = { "assist" } });
  }
  return accounts;
}

Deployment
MakeDeployment(const std::string& aRegion, const Workers& aWorkers)
{
  Deployment deployment;
  auto& content = deployment.mManifest;
  content.mGeneration = 1;
  for (int index = 0; index < kDomains; ++index) {
    content.mFailureDomains.push_back(
      { .mName = DomainName(index), .mRegion = aRegion });
  }
  content.mModels = MakeModels();
  content.mCascades = {
    { .mName = "assist",
      .mQualityTarget = 0.85,
      .mStages = { { "small", 0.6 }, { "medium", 0.6 }, { "large", 0.0 } } }
  };
  content.mServices = { { .mName = "bookings",
                          .mOperations = { { "lookup", true },
                                           { "book", false } } } };
  content.mUpstreams = MakeUpstreams(aWorkers);
  content.mClientAccounts = MakeAccounts();
  for (int index = 0; index < kEntries; ++index) {
    deployment.mInstances.mEntries.push_back(
      { .mName = "entry-" + std::to_string(index + 1),
        .mFailureDomain = DomainName(index),
        .mAddress = "10.0.1.1",
        .mCallerPort = kPort });
  }
  deployment.mProfiles = MakeProfiles();
  deployment.mDomainDelay = std::chrono::microseconds(1500);
  return deployment;
}

} // namespace

Deployment
TesouraAndante()
{
  auto deployment =
    MakeDeployment("sul", { .mLarge = 5, .mShared = 4, .mPlain = 4 });
  deployment.mName = "tesoura-andante";
  deployment.mClientDelay = milliseconds(1);
  deployment.mRequestsPerSecond = 4.5;
  deployment.mTaskKinds = {
    { "tag", 0.4, -1.8, 20, 0.0, seconds(5) },
    { "draft", 0.35, -0.2, 120, 0.0, seconds(15) },
    { "plan", 0.25, 0.5, 350, 0.5, seconds(30) },
  };
  return deployment;
}

Deployment
PointeFitting()
{
  auto deployment =
    MakeDeployment("luzon", { .mLarge = 7, .mShared = 5, .mPlain = 4 });
  deployment.mName = "pointe-fitting";
  deployment.mClientDelay = milliseconds(3);
  deployment.mRequestsPerSecond = 8.0;
  deployment.mTaskKinds = {
    { "note", 0.35, -1.2, 80, 0.0, seconds(10) },
    { "shank", 0.35, 0.0, 100, 0.0, seconds(15) },
    { "assessment", 0.3, 0.7, 250, 0.3, seconds(30) },
  };
  return deployment;
}

} // namespace figslip::load
