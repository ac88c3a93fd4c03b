#include <figslip/control/control_service.hpp>
#include <figslip/log/log.hpp>
#include <figslip/membership/rendezvous.hpp>

#include <utility>

namespace figslip::control {

ControlService::ControlService(Options aOptions,
                               kernel::ControlLoop& aLoop,
                               std::shared_ptr<entry::RouterService> aRouter,
                               std::shared_ptr<entry::EntryState> aState)
  : mOptions(std::move(aOptions))
  , mRouter(std::move(aRouter))
  , mState(std::move(aState))
  , mPublished(std::make_shared<const routing::ControlSnapshot>())
{
  aLoop.Every(mOptions.mTick, [this](TimePoint aNow) { Tick(aNow); });
}

void
ControlService::OnPlatformManifest(const std::string& aText, TimePoint aNow)
{
  switch (mKeeper.OfferFromPlatform(aText, aNow)) {
    case manifest::OfferResult::Adopted:
      log::Write(log::Level::Info,
                 "manifest_adopted",
                 { { "generation", std::to_string(mKeeper.Generation()) } });
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
  routing::ControlSnapshot snapshot;
  snapshot.mManifest = mKeeper.InForce();
  snapshot.mConfirmedAt = mKeeper.ConfirmedAt();
  snapshot.mHeartbeat = aNow;
  snapshot.mInstances = mInstances;
  const auto published =
    std::make_shared<const routing::ControlSnapshot>(std::move(snapshot));
  mPublished.store(published);
  mRouter->With(
    [&](routing::Router& aRouter) { aRouter.OnSnapshot(published, aNow); });
  if (published->mManifest != nullptr &&
      mState->Now() == entry::Phase::Starting) {
    mState->Enter(entry::Phase::Serving);
    log::Write(log::Level::Info, "ready");
  }
}

void
ControlService::GrantColdCapacity(TimePoint aNow)
{
  const auto& manifest = mKeeper.InForce();
  if (manifest == nullptr) {
    return;
  }
  for (const auto& upstream : manifest->Content().mUpstreams) {
    if (upstream.mFailureDomain != mOptions.mFailureDomain ||
        membership::HomeOf(mInstances,
                           mOptions.mFailureDomain,
                           upstream.mName) != mOptions.mSelf.mInstance) {
      continue;
    }
    const coldstart::Grant grant{ .mUpstream = upstream.mName,
                                  .mSlots = upstream.mColdConcurrency,
                                  .mExpiry = aNow + mOptions.mGrantLength };
    mRouter->With(
      [&](routing::Router& aRouter) { aRouter.OnGrant(grant, aNow); });
  }
}

void
ControlService::Tick(TimePoint aNow)
{
  GrantColdCapacity(aNow);
  Publish(aNow);
  const auto stopped = mRouter->With(
    [&](routing::Router& aRouter) { return aRouter.OnTick(aNow); });
  for (const auto& version : stopped) {
    log::Write(
      log::Level::Error, "version_stopped_as_bad", { { "version", version } });
  }
}

} // namespace figslip::control
