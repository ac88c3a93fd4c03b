#pragma once

#include <figslip/error/error_kind.hpp>
#include <figslip/routing/control_snapshot.hpp>
#include <figslip/routing/request.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace figslip::routing {

/// @brief Limits the age of the control state at dispatch.
struct FreshnessLimits
{
  /// age of the manifest confirmation above which no version in roll-out is
  /// dispatched
  Duration mMaxConfirmationAge = std::chrono::seconds(5);
  /// age of the control thread's heartbeat above which nothing is dispatched;
  /// it grows while the process is paused
  Duration mMaxHeartbeatAge = std::chrono::seconds(2);
};

/// @brief Describes why a dispatch is not allowed at present.
struct DispatchObstacle
{
  error::ErrorKind mKind;
  std::string mText;
  bool mTransient = false; ///< the obstacle may clear with time
};

/// @brief Describes a dispatch that is about to be made.
struct ProposedDispatch
{
  const Request& mRequest;
  std::string_view mUpstream;
  std::string_view mVersion; ///< empty for a plain service
  std::string_view mOwnDomain;
};

/// @brief Checks every condition that a dispatch has to meet.
///
/// Runs for every attempt, as the last step before bytes are sent. The
/// conditions are the deadline, the age of the control state, the permission
/// of the client account, a version that is not withdrawn, the failure domain
/// and an upstream that is not leaving.
/// @param[in] aSnapshot the control state
/// @param[in] aProposed the dispatch to check
/// @param[in] aLimits limits on the age of the control state
/// @param[in] aNow the current time
/// @return nothing if the dispatch is allowed, else the first obstacle found
[[nodiscard]] std::optional<DispatchObstacle>
CheckDispatch(const ControlSnapshot& aSnapshot,
              const ProposedDispatch& aProposed,
              const FreshnessLimits& aLimits,
              TimePoint aNow);

/// @brief Checks whether a client account may use a version at present.
///
/// Does not consider which upstreams serve the version.
/// @return nothing if the use is allowed, else the first obstacle found
[[nodiscard]] std::optional<DispatchObstacle>
CheckVersion(const ControlSnapshot& aSnapshot,
             std::string_view aAccount,
             std::string_view aVersion,
             const FreshnessLimits& aLimits,
             TimePoint aNow);

} // namespace figslip::routing
