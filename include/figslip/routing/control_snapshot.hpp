#pragma once

#include <figslip/error/finding.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <memory>
#include <string>

namespace figslip::routing {

/// @brief Holds the control state that one decision is checked against.
///
/// The control thread publishes a new snapshot for each change; a check reads
/// one snapshot from start to end and never mixes two.
struct ControlSnapshot
{
  manifest::ManifestPtr mManifest; ///< null until a manifest is in force
  /// text of the manifest, for peers; null until one is in force
  std::shared_ptr<const std::string> mManifestText;
  TimePoint mConfirmedAt; ///< when the manifest was last known to be current
  TimePoint mHeartbeatAt; ///< last turn of the control thread
  membership::InstanceList mInstances;
  /// findings of the manifest refused last; empty once a valid one is in force
  error::Findings mManifestFindings;
};

/// @brief Shares an immutable snapshot.
using ControlSnapshotPtr = std::shared_ptr<const ControlSnapshot>;

} // namespace figslip::routing
