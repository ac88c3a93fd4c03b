#include <figslip/ingress/configuration.hpp>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <ranges>
#include <utility>

namespace figslip::ingress {

namespace {

std::string_view
StripPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

ConfigurationIndex::ConfigurationIndex(Configuration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const auto& route : mConfiguration.mRoutes) {
    mRoutesByHost[route.mHost].push_back(&route);
  }
  for (auto& routes : mRoutesByHost | std::views::values) {
    std::ranges::sort(routes, std::greater{}, [](const Route* aRoute) {
      return aRoute->mPathPrefix.size();
    });
  }
  for (const auto& account : mConfiguration.mAccounts) {
    for (const auto& key : account.mKeys) {
      mAccountsByKey.emplace(key, &account);
    }
  }
  for (const auto& service : mConfiguration.mServices) {
    mServicesByName.emplace(service.mName, &service);
  }
}

const Route*
ConfigurationIndex::MatchRoute(std::string_view aHost,
                               std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(StripPort(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  const auto route =
    std::ranges::find_if(host->second, [&](const Route* aRoute) {
      return aPath.starts_with(aRoute->mPathPrefix);
    });
  return route == host->second.end() ? nullptr : *route;
}

const ClientAccount*
ConfigurationIndex::FindAccount(std::string_view aKey) const
{
  const auto found = mAccountsByKey.find(aKey);
  return found == mAccountsByKey.end() ? nullptr : found->second;
}

KeyState
ConfigurationIndex::StateOfKey(std::string_view aKey,
                               std::string_view aAccount) const
{
  if (mConfiguration.mAccounts.empty()) {
    return KeyState::Reassigned;
  }
  const auto* const account = FindAccount(aKey);
  if (account == nullptr) {
    return KeyState::Revoked;
  }
  return account->mName == aAccount ? KeyState::Valid : KeyState::Reassigned;
}

const Service*
ConfigurationIndex::FindService(std::string_view aName) const
{
  const auto found = mServicesByName.find(aName);
  return found == mServicesByName.end() ? nullptr : found->second;
}

const std::string&
ChooseService(const Route& aRoute, std::uint64_t aHash)
{
  assert(!aRoute.mServices.empty());
  constexpr std::uint64_t kHashSteps = 1'000'000;
  const auto weights =
    aRoute.mServices | std::views::transform(&WeightedService::mWeight);
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  double position =
    static_cast<double>(aHash % kHashSteps) / kHashSteps * total;
  for (const auto& service : aRoute.mServices) {
    position -= service.mWeight;
    if (position < 0.0) {
      return service.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace figslip::ingress
