#pragma once

#include <figslip/manifest/manifest.hpp>

#include <string>
#include <vector>

namespace figslip::manifest {

/// @brief Describes one change between two manifests.
struct ManifestChange
{
  std::string mPlace; ///< JSON pointer; into the old manifest for removals
  std::string mText;  ///< the change in words

  bool operator==(const ManifestChange&) const = default;
};

/// @brief Lists the changes from one manifest to another.
///
/// Parts with a name are matched by it, so that a new order of them is no
/// change. Lists of names, such as permissions, are compared as sets.
/// @param[in] aOld the manifest before
/// @param[in] aNew the manifest after
/// @return the changes, in the order of the printed manifest
/// @note The generation is no change; it differs between any two manifests.
[[nodiscard]] std::vector<ManifestChange>
DiffManifests(const Manifest& aOld, const Manifest& aNew);

} // namespace figslip::manifest
