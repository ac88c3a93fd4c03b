#include <figslip/manifest/manifest_index.hpp>

#include <algorithm>
#include <utility>

namespace figslip::manifest {

namespace {

template<typename Map>
auto
FindOrNull(const Map& aMap, std::string_view aName) -> typename Map::mapped_type
{
  const auto found = aMap.find(aName);
  return found == aMap.end() ? nullptr : found->second;
}

template<typename Map, typename Items>
void
IndexByName(Map& aMap, const Items& aItems)
{
  for (const auto& item : aItems) {
    aMap.emplace(item.mName, &item);
  }
}

} // namespace

ManifestIndex::ManifestIndex(Manifest aManifest)
  : mManifest(std::move(aManifest))
{
  IndexByName(mDomains, mManifest.mFailureDomains);
  IndexByName(mModels, mManifest.mModels);
  IndexByName(mCascades, mManifest.mCascades);
  IndexByName(mServices, mManifest.mServices);
  IndexByName(mUpstreams, mManifest.mUpstreams);
  IndexByName(mAccounts, mManifest.mClientAccounts);
  for (const auto& model : mManifest.mModels) {
    for (const auto& version : model.mVersions) {
      mVersions.emplace(version.mName, VersionEntry{ &model, &version });
    }
  }
}

const FailureDomain*
ManifestIndex::FindDomain(std::string_view aName) const
{
  return FindOrNull(mDomains, aName);
}

const Model*
ManifestIndex::FindModel(std::string_view aName) const
{
  return FindOrNull(mModels, aName);
}

const ManifestIndex::VersionEntry*
ManifestIndex::FindVersion(std::string_view aName) const
{
  const auto found = mVersions.find(aName);
  return found == mVersions.end() ? nullptr : &found->second;
}

const Cascade*
ManifestIndex::FindCascade(std::string_view aName) const
{
  return FindOrNull(mCascades, aName);
}

const Service*
ManifestIndex::FindService(std::string_view aName) const
{
  return FindOrNull(mServices, aName);
}

const Upstream*
ManifestIndex::FindUpstream(std::string_view aName) const
{
  return FindOrNull(mUpstreams, aName);
}

const ClientAccount*
ManifestIndex::FindAccount(std::string_view aName) const
{
  return FindOrNull(mAccounts, aName);
}

const Operation*
ManifestIndex::FindOperation(std::string_view aService,
                             std::string_view aOperation) const
{
  const auto* const service = FindService(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const auto found =
    std::ranges::find(service->mOperations, aOperation, &Operation::mName);
  return found == service->mOperations.end() ? nullptr : &*found;
}

bool
ManifestIndex::DomainTakesWork(std::string_view aDomain) const
{
  const auto* const domain = FindDomain(aDomain);
  return domain != nullptr && domain->mState == DomainState::In;
}

bool
ManifestIndex::AllowsVersion(const ClientAccount& aAccount,
                             const VersionEntry& aVersion) const
{
  return std::ranges::any_of(aAccount.mAllow, [&](const std::string& aName) {
    return aName == aVersion.mModel->mName || aName == aVersion.mVersion->mName;
  });
}

} // namespace figslip::manifest
