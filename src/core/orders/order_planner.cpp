#include <figslip/orders/order_planner.hpp>

#include <algorithm>
#include <utility>

namespace figslip::orders {

namespace {

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::ranges::find(aNames, aName) != aNames.end();
}

bool
IsWithdrawn(const manifest::ManifestIndex& aManifest, std::string_view aVersion)
{
  const auto* const version = aManifest.FindVersion(aVersion);
  return version == nullptr ||
         version->mVersion->mState == manifest::VersionState::Withdrawn;
}

bool
IsInRollOut(const manifest::ManifestIndex& aManifest, std::string_view aVersion)
{
  const auto* const version = aManifest.FindVersion(aVersion);
  return version != nullptr &&
         version->mVersion->mState == manifest::VersionState::RollOut;
}

} // namespace

OrderPlanner::OrderPlanner(Options aOptions, std::string aFailureDomain)
  : mOptions(aOptions)
  , mFailureDomain(std::move(aFailureDomain))
{
}

void
OrderPlanner::OnEngineReport(std::string_view aUpstream,
                             std::vector<std::string> aLoaded)
{
  mEngines[std::string(aUpstream)].mLoaded = std::move(aLoaded);
}

std::size_t
OrderPlanner::LoadsInProgress() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mEngines, [](const auto& aEntry) {
      return aEntry.second.mIsBusy && aEntry.second.mIsLoading;
    }));
}

std::vector<Order>
OrderPlanner::RequiredOrders(const manifest::ManifestIndex& aManifest,
                             const manifest::Upstream& aUpstream,
                             const Engine& aEngine) const
{
  std::vector<Order> required;
  // unload first, to free the memory that a load needs
  for (const auto& version : aEngine.mLoaded) {
    if (!Contains(aUpstream.mVersions, version) ||
        IsWithdrawn(aManifest, version)) {
      required.push_back({ OrderKind::Unload, aUpstream.mName, version });
    }
  }
  for (const auto& version : aUpstream.mVersions) {
    if (!Contains(aEngine.mLoaded, version) &&
        !IsWithdrawn(aManifest, version)) {
      required.push_back({ OrderKind::Load, aUpstream.mName, version });
    }
  }
  return required;
}

std::vector<Order>
OrderPlanner::Plan(const manifest::ManifestIndex& aManifest,
                   const lease::HeldLease& aLease,
                   TimePoint aNow)
{
  std::vector<Order> candidates;
  for (const auto& upstream : aManifest.Content().mUpstreams) {
    const auto engine = mEngines.find(upstream.mName);
    if (upstream.mFailureDomain != mFailureDomain || engine == mEngines.end() ||
        engine->second.mIsBusy || aNow < engine->second.mRetryAt) {
      continue;
    }
    const bool maySend =
      upstream.mChecksFencing ||
      lease::MaySendUnfenced(aLease, mOptions.mMaxTransitTime, aNow);
    const auto required = RequiredOrders(aManifest, upstream, engine->second);
    if (maySend && !required.empty()) {
      candidates.push_back(required.front());
    }
  }
  std::ranges::sort(candidates, {}, [&](const Order& aOrder) {
    return std::pair(IsInRollOut(aManifest, aOrder.mVersion), aOrder.mUpstream);
  });
  std::vector<Order> orders;
  for (auto& order : candidates) {
    const bool isLoad = order.mKind == OrderKind::Load;
    if (isLoad && LoadsInProgress() >= mOptions.mMaxConcurrentLoads) {
      continue;
    }
    auto& engine = mEngines[order.mUpstream];
    engine.mIsBusy = true;
    engine.mIsLoading = isLoad;
    order.mFencingToken = aLease.mFencingToken;
    orders.push_back(std::move(order));
  }
  return orders;
}

void
OrderPlanner::OnOrderEnded(const Order& aOrder, bool aSucceeded, TimePoint aNow)
{
  auto& engine = mEngines[aOrder.mUpstream];
  engine.mIsBusy = false;
  if (!aSucceeded) {
    engine.mRetryAt = aNow + mOptions.mRetryBackoff;
    return;
  }
  if (aOrder.mKind == OrderKind::Unload) {
    std::erase(engine.mLoaded, aOrder.mVersion);
  } else if (!Contains(engine.mLoaded, aOrder.mVersion)) {
    engine.mLoaded.push_back(aOrder.mVersion);
  }
}

} // namespace figslip::orders
