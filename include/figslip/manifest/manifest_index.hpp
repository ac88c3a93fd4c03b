#pragma once

#include <figslip/manifest/manifest.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace figslip::manifest {

/// @brief Hashes string views and strings alike, for look-ups without a copy.
struct TextHash
{
  using is_transparent = void;
  [[nodiscard]] std::size_t operator()(std::string_view aText) const
  {
    return std::hash<std::string_view>{}(aText);
  }
};

/// @brief Looks up the parts of one immutable manifest by name.
///
/// All look-ups take constant time on average. The index owns its manifest and
/// is never changed, so that readers of all threads share it.
class ManifestIndex
{
public:
  /// @brief Holds a version with the model that it belongs to.
  struct VersionEntry
  {
    const Model* mModel;
    const ModelVersion* mVersion;
  };

  explicit ManifestIndex(Manifest aManifest);
  ManifestIndex(const ManifestIndex&) = delete;
  ManifestIndex& operator=(const ManifestIndex&) = delete;

  [[nodiscard]] const Manifest& Content() const { return mManifest; }
  [[nodiscard]] std::int64_t Generation() const
  {
    return mManifest.mGeneration;
  }

  /// @name Look-ups
  /// @brief Each returns null where the name is not defined.
  /// @{
  [[nodiscard]] const FailureDomain* FindDomain(std::string_view aName) const;
  [[nodiscard]] const Model* FindModel(std::string_view aName) const;
  [[nodiscard]] const VersionEntry* FindVersion(std::string_view aName) const;
  [[nodiscard]] const Cascade* FindCascade(std::string_view aName) const;
  [[nodiscard]] const Service* FindService(std::string_view aName) const;
  [[nodiscard]] const Upstream* FindUpstream(std::string_view aName) const;
  [[nodiscard]] const ClientAccount* FindAccount(std::string_view aName) const;
  /// @}

  /// @brief Finds an operation of a plain service.
  /// @return null where service or operation is not defined
  [[nodiscard]] const Operation* FindOperation(
    std::string_view aService,
    std::string_view aOperation) const;

  /// @brief Tells whether a failure domain exists and takes new work.
  [[nodiscard]] bool DomainTakesWork(std::string_view aDomain) const;

  /// @brief Tells whether an account may use a version.
  /// @return true where the account lists the version or its model
  [[nodiscard]] bool AllowsVersion(const ClientAccount& aAccount,
                                   const VersionEntry& aVersion) const;

private:
  template<typename Value>
  using ByName =
    std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  Manifest mManifest;
  ByName<const FailureDomain*> mDomains;
  ByName<const Model*> mModels;
  ByName<VersionEntry> mVersions;
  ByName<const Cascade*> mCascades;
  ByName<const Service*> mServices;
  ByName<const Upstream*> mUpstreams;
  ByName<const ClientAccount*> mAccounts;
};

/// @brief Shares an immutable index between control and traffic threads.
using ManifestPtr = std::shared_ptr<const ManifestIndex>;

} // namespace figslip::manifest
