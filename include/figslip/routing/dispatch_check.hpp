#pragma once

#include <figslip/error/error_kind.hpp>
#include <figslip/routing/control_snapshot.hpp>
#include <figslip/routing/request.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace figslip::routing {

/// @brief Bounds the age of control state at dispatch.
struct FreshnessLimits
{
  /// longest age of the confirmation that a version in roll-out needs
  Duration mMaxConfirmationAge = std::chrono::seconds(5);
  /// longest silence of the control thread, as after a pause of the process
  Duration mMaxHeartbeatAge = std::chrono::seconds(2);
};

/// @brief Describes why a dispatch is not allowed now.
struct DispatchObstacle
{
  error::ErrorKind mKind;
  std::string mText;
  bool mTransient = false; ///< waiting may remove the obstacle
};

/// @brief Holds what one dispatch would do.
struct ProposedDispatch
{
  const Request& mRequest;
  std::string_view mUpstream;
  std::string_view mVersion; ///< empty for plain services
  std::string_view mOwnDomain;
};

/// @brief Checks every promise that one dispatch has to keep.
///
/// Runs at the last step before bytes leave, for every attempt: deadline,
/// account permission, withdrawn version, failure domain, leaving upstream,
/// age of the control state.
/// @param[in] aSnapshot the control state
/// @param[in] aProposed the dispatch
/// @param[in] aLimits bounds on the age of the control state
/// @param[in] aNow the present time
/// @return nothing if allowed, else the first obstacle
[[nodiscard]] std::optional<DispatchObstacle>
CheckDispatch(const ControlSnapshot& aSnapshot,
              const ProposedDispatch& aProposed,
              const FreshnessLimits& aLimits,
              TimePoint aNow);

/// @brief Checks whether an account may use a version now, anywhere.
[[nodiscard]] std::optional<DispatchObstacle>
CheckVersion(const ControlSnapshot& aSnapshot,
             std::string_view aAccount,
             std::string_view aVersion,
             const FreshnessLimits& aLimits,
             TimePoint aNow);

} // namespace figslip::routing
