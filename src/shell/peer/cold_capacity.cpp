#include <figslip/membership/rendezvous.hpp>
#include <figslip/peer/cold_capacity.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace figslip::peer {

ColdCapacity::ColdCapacity(Options aOptions,
                           std::shared_ptr<entry::RouterService> aRouter,
                           std::shared_ptr<PeerClient> aClient)
  : mOptions(std::move(aOptions))
  , mRouter(std::move(aRouter))
  , mClient(std::move(aClient))
  , mBook(mOptions.mBook)
{
}

std::vector<coldstart::ColdGrant>
ColdCapacity::ServeLocked(const GrantRequest& aRequest,
                          const routing::ControlSnapshot& aSnapshot)
{
  std::vector<coldstart::ColdGrant> grants;
  if (aSnapshot.mManifest == nullptr) {
    return grants;
  }
  std::set<std::string, std::less<>> entries;
  for (const auto& entry : aSnapshot.mInstances.mEntries) {
    if (entry.mFailureDomain == mOptions.mFailureDomain) {
      entries.insert(entry.mName);
    }
  }
  mBook.OnInstances(std::move(entries));
  const auto now = ReadClock();
  for (const auto& use : aRequest.mUses) {
    const auto* const upstream =
      aSnapshot.mManifest->FindUpstream(use.mUpstream);
    if (upstream == nullptr) {
      continue;
    }
    const bool isHome =
      membership::OwnerOf(aSnapshot.mInstances,
                          mOptions.mFailureDomain,
                          use.mUpstream) == mOptions.mSelf.mInstance;
    grants.push_back(mBook.OnUse(aRequest.mSender,
                                 aRequest.mSequence,
                                 use,
                                 { isHome, upstream->mColdConcurrency },
                                 now));
  }
  return grants;
}

std::vector<coldstart::ColdGrant>
ColdCapacity::Serve(const GrantRequest& aRequest,
                    const routing::ControlSnapshot& aSnapshot)
{
  const std::lock_guard lock(mMutex);
  return ServeLocked(aRequest, aSnapshot);
}

ColdCapacity::UsesByHome
ColdCapacity::CollectUses(const routing::ControlSnapshot& aSnapshot)
{
  UsesByHome uses;
  if (aSnapshot.mManifest == nullptr) {
    return uses;
  }
  const auto now = ReadClock();
  for (const auto& upstream : aSnapshot.mManifest->Content().mUpstreams) {
    if (upstream.mFailureDomain != mOptions.mFailureDomain) {
      continue;
    }
    const std::string home(membership::OwnerOf(
      aSnapshot.mInstances, mOptions.mFailureDomain, upstream.mName));
    // the slots given back must be out of use before the home is told, so
    // router and holder change under the router's lock
    mRouter->With([&](routing::Router& aRouter) {
      const auto& table = aRouter.Upstreams();
      if (home.empty() || table.ColdStart().WarmupStateOf(upstream.mName) ==
                            coldstart::WarmupState::Warm) {
        return;
      }
      const bool wants =
        home == mOptions.mSelf.mInstance || aRouter.WaitingRequests() > 0;
      const auto use = mHolder.PrepareUse(upstream.mName,
                                          home,
                                          table.OccupiedSlots(upstream.mName),
                                          wants ? upstream.mColdConcurrency : 0,
                                          now);
      aRouter.OnGrant({ .mUpstream = upstream.mName,
                        .mSlots = use.mHeld,
                        .mExpiry = mHolder.Expiry(upstream.mName) },
                      now);
      uses[home].push_back(use);
    });
  }
  return uses;
}

void
ColdCapacity::Apply(const std::vector<coldstart::ColdGrant>& aGrants,
                    TimePoint aSentAt)
{
  for (const auto& grant : aGrants) {
    mHolder.OnAnswer(grant, aSentAt);
    const auto now = ReadClock();
    mRouter->With([&](routing::Router& aRouter) {
      aRouter.OnGrant({ .mUpstream = grant.mUpstream,
                        .mSlots = mHolder.Slots(grant.mUpstream, now),
                        .mExpiry = mHolder.Expiry(grant.mUpstream) },
                      now);
    });
  }
}

void
ColdCapacity::Ask(const routing::ControlSnapshot& aSnapshot)
{
  std::unique_lock lock(mMutex);
  const auto uses = CollectUses(aSnapshot);
  for (const auto& [home, homeUses] : uses) {
    const auto sentAt = ReadClock();
    const GrantRequest request{ .mSender = mOptions.mSelf,
                                .mSequence = ++mSequence,
                                .mUses = homeUses };
    if (home == mOptions.mSelf.mInstance) {
      Apply(ServeLocked(request, aSnapshot), sentAt);
      continue;
    }
    const auto peer = std::ranges::find(
      aSnapshot.mInstances.mEntries, home, &membership::EntryInstance::mName);
    lock.unlock();
    const auto grants = mClient->RequestGrants(*peer, request);
    lock.lock();
    if (grants) {
      Apply(grants.assume_value(), sentAt);
    }
  }
}

void
ColdCapacity::OnLoadReport(const routing::LoadReport& aReport, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mBook.OnLoadReport(aReport.mUpstream, aReport.mRunning, aReport.mAt, aNow);
}

} // namespace figslip::peer
