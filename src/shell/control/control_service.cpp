#include <figslip/control/control_service.hpp>
#include <figslip/log/log.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace figslip::control {

namespace {

std::set<std::string, std::less<>>
VersionsInRollOut(const manifest::ManifestIndex& aIndex)
{
  std::set<std::string, std::less<>> versions;
  for (const auto& model : aIndex.Content().mModels) {
    for (const auto& version : model.mVersions) {
      if (version.mState == manifest::VersionState::RollOut) {
        versions.insert(version.mName);
      }
    }
  }
  return versions;
}

} // namespace

ControlService::ControlService(Options aOptions,
                               kernel::ControlLoop& aLoop,
                               std::shared_ptr<entry::RouterService> aRouter,
                               std::shared_ptr<entry::EntryState> aState)
  : mOptions(std::move(aOptions))
  , mRouter(std::move(aRouter))
  , mState(std::move(aState))
  , mPauseGuard(mOptions.mPause)
  , mPublished(std::make_shared<const routing::ControlSnapshot>())
{
  aLoop.Every(mOptions.mTick, [this](TimePoint aNow) { Tick(aNow); });
}

void
ControlService::OnPlatformManifest(const std::string& aText,
                                   TimePoint aAskedAt,
                                   TimePoint aNow)
{
  Report(mKeeper.OfferFromPlatform(aText, aAskedAt), aNow);
}

void
ControlService::OnPeerManifest(const std::string& aText,
                               TimePoint aConfirmedAt,
                               TimePoint aNow)
{
  Report(mKeeper.OfferFromPeer(aText, aConfirmedAt, aNow), aNow);
}

void
ControlService::OnPeerConfirmation(std::int64_t aGeneration,
                                   TimePoint aConfirmedAt,
                                   TimePoint aNow)
{
  mKeeper.ConfirmFromPeer(aGeneration, aConfirmedAt, aNow);
}

void
ControlService::Report(manifest::OfferResult aResult, TimePoint aNow)
{
  switch (aResult) {
    case manifest::OfferResult::Adopted:
      log::Write(log::Level::Info,
                 "manifest_adopted",
                 { { "generation", std::to_string(mKeeper.Generation()) } });
      mText = std::make_shared<const std::string>(mKeeper.Text());
      Publish(aNow);
      break;
    case manifest::OfferResult::Invalid:
      log::Write(
        log::Level::Error,
        "manifest_refused",
        { { "findings", error::JoinMessages(mKeeper.LastFindings(), "; ") } });
      break;
    case manifest::OfferResult::Lower:
      log::Write(log::Level::Warning, "manifest_of_lower_generation_ignored");
      break;
    case manifest::OfferResult::Confirmed:
      break;
  }
}

void
ControlService::OnPeerNews(const peer::Learned& aLearned, TimePoint aNow)
{
  mRouter->With([&](routing::Router& aRouter) {
    aRouter.OnEvidence(aLearned.mEvidence, aNow);
    for (const auto& report : aLearned.mCrashes) {
      aRouter.OnCrashReport(report);
    }
    for (const auto& news : aLearned.mUpstreams) {
      if (news.mRunning >= 0) {
        aRouter.OnLoadReport({ .mUpstream = news.mUpstream,
                               .mBootId = news.mBootId,
                               .mRunning = news.mRunning,
                               .mAt = news.mRunningAt },
                             aNow);
      }
      if (news.mSurpriseAt) {
        aRouter.OnPeerFailureSignal(news.mUpstream, *news.mSurpriseAt, aNow);
      }
      if (news.mWarm) {
        aRouter.OnPeerWarm(
          news.mUpstream, news.mBootId, news.mSurpriseAt, aNow);
      }
    }
  });
  StopByVotes(aLearned.mStopVotes, aNow);
}

void
ControlService::StopByVotes(const std::vector<peer::StopVotes>& aVotes,
                            TimePoint aNow)
{
  const auto& index = mKeeper.InForce();
  for (const auto& votes : aVotes) {
    const auto* const version =
      index == nullptr ? nullptr : index->FindVersion(votes.mVersion);
    if (version == nullptr) {
      continue;
    }
    // one entry with a fault of its own must not stop what everyone uses
    const bool inRollOut =
      version->mVersion->mState == manifest::VersionState::RollOut;
    if (!inRollOut && votes.mEntries < mOptions.mStableStopVotes) {
      continue;
    }
    mRouter->With([&](routing::Router& aRouter) {
      aRouter.StopVersion(votes.mVersion, aNow);
    });
  }
}

peer::LocalNews
ControlService::CollectNews(TimePoint aNow)
{
  peer::LocalNews news{ .mGeneration = mKeeper.Generation(),
                        .mConfirmedAt = mKeeper.ConfirmedAt(),
                        .mLoad = { .mFailureDomain = mOptions.mFailureDomain,
                                   .mAt = aNow } };
  const auto& index = mKeeper.InForce();
  mRouter->With([&](const routing::Router& aRouter) {
    news.mEvidence = aRouter.Evidence().OwnEntries();
    news.mCrashes = aRouter.Quarantined().Reports(aNow);
    news.mStoppedVersions = aRouter.Versions().StoppedVersions();
    news.mLoad.mWaiting = static_cast<int>(aRouter.WaitingRequests());
    if (index == nullptr) {
      return;
    }
    news.mUrgentVersions = VersionsInRollOut(*index);
    const auto& table = aRouter.Upstreams();
    const auto& gate = table.ColdStart();
    for (const auto& upstream : index->Content().mUpstreams) {
      if (upstream.mFailureDomain != mOptions.mFailureDomain) {
        continue;
      }
      const auto& name = upstream.mName;
      const int inFlight = table.InFlight(name);
      news.mLoad.mFreeSlots +=
        std::max(0, gate.Limit(upstream, aNow) - inFlight);
      news.mUpstreams.push_back(
        { .mUpstream = name,
          .mBootId = gate.BootIdOf(name),
          .mWarm = gate.WarmupStateOf(name) == coldstart::WarmupState::Warm,
          .mInFlight = inFlight,
          .mSurpriseAt = gate.FailureSignalAt(name) });
    }
  });
  return news;
}

void
ControlService::OnInstances(membership::InstanceList aInstances, TimePoint aNow)
{
  if (aInstances != mInstances) {
    mInstances = std::move(aInstances);
    Publish(aNow);
  }
}

void
ControlService::Publish(TimePoint aNow)
{
  if (mPauseGuard.OnTick(aNow)) {
    log::Write(log::Level::Warning, "pause_of_the_process");
  }
  routing::ControlSnapshot snapshot;
  snapshot.mManifest = mKeeper.InForce();
  snapshot.mConfirmedAt = mKeeper.ConfirmedAt();
  snapshot.mManifestText = mText;
  snapshot.mHeartbeatAt = mPauseGuard.Heartbeat(mKeeper.ConfirmedAt(), aNow);
  snapshot.mInstances = mInstances;
  snapshot.mManifestFindings = mKeeper.LastFindings();
  const auto published =
    std::make_shared<const routing::ControlSnapshot>(std::move(snapshot));
  mPublished.Store(published);
  mRouter->With(
    [&](routing::Router& aRouter) { aRouter.OnSnapshot(published, aNow); });
  if (published->mManifest != nullptr &&
      mState->Now() == entry::Phase::Starting) {
    mState->Enter(entry::Phase::Serving);
    log::Write(log::Level::Info, "ready");
  }
}

void
ControlService::Tick(TimePoint aNow)
{
  Publish(aNow);
  const auto stopped = mRouter->With(
    [&](routing::Router& aRouter) { return aRouter.OnTick(aNow); });
  for (const auto& version : stopped) {
    log::Write(
      log::Level::Error, "version_stopped_as_bad", { { "version", version } });
  }
}

} // namespace figslip::control
