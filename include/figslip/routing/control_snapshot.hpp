#pragma once

#include <figslip/error/finding.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <memory>
#include <string>

namespace figslip::routing {

/// @brief Holds the control state that decisions are checked against.
///
/// The control thread publishes a new snapshot for each change. A check uses
/// a single snapshot throughout, so it never combines the state of two.
struct ControlSnapshot
{
  manifest::ManifestPtr mManifest; ///< null until one is in force
  /// text of the manifest, sent to peers; null until one is in force
  std::shared_ptr<const std::string> mManifestText;
  TimePoint mConfirmedAt; ///< last confirmation that it is current
  TimePoint mHeartbeatAt; ///< last iteration of the control thread
  membership::InstanceList mInstances;
  /// findings of the last refused manifest; empty once a valid one is in force
  error::Findings mManifestFindings;
};

/// @brief Shared pointer to an immutable snapshot.
using ControlSnapshotPtr = std::shared_ptr<const ControlSnapshot>;

} // namespace figslip::routing
