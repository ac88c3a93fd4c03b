#pragma once

#include <figslip/error/result.hpp>
#include <figslip/platform/platform_client.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace figslip::manifest {

/// @brief Sets how a manifest is published.
struct PublishOptions
{
  /// generation that the operator saw in force, 0 for none; the one before the
  /// new generation if not given
  std::optional<std::int64_t> mExpectedGeneration;
  int mMaxTries = 3; ///< writes whose answers may get lost, >= 1
};

/// @brief Reports a manifest that the platform holds now.
struct Published
{
  std::int64_t mGeneration = 0;
  bool mAlreadyThere = false; ///< it was published before this call
};

/// @brief Publishes a manifest by a conditional update.
///
/// The update succeeds only while the object still is at the version that was
/// read, so that of operators who race one another exactly one wins. An answer
/// that got lost is resolved by reading the object back. To publish the same
/// text again is harmless.
/// @param[in] aPlatform the platform
/// @param[in] aText the JSON text of the manifest
/// @return the generation in force, or findings: all faults of the text;
/// `LowerGeneration` where the new one is not higher; `PlatformConflict` where
/// another generation is in force than expected or won the race;
/// `PlatformUnavailable` where nothing was published; `PlatformOutcomeUnknown`
/// where that stays unknown
[[nodiscard]] Result<Published>
PublishManifest(const platform::PlatformClient& aPlatform,
                std::string_view aText,
                const PublishOptions& aOptions);

} // namespace figslip::manifest
