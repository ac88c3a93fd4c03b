#pragma once

#include <cstdint>
#include <optional>

namespace figslip::rollout {

/// @brief Decides when each session moves to the new version of a roll-out.
///
/// The requests of a session reach any instance, and an instance does not know
/// which version the others have used for it. The decision therefore depends
/// only on what all instances share: the hash of the session, the progress of
/// the roll-out, the exposure limit and the time of the move that one instance
/// has decided for all. No session is moved back, whatever the number of
/// instances and their load.
class SessionSchedule
{
public:
  /// @param[in] aExposureShare share of the requests to a service that a new
  ///            version may receive until the end of its roll-out, from 0 to 1
  explicit SessionSchedule(double aExposureShare);

  /// @brief Returns when all sessions may move, so that the requests expected
  /// until the end fit into the exposure limit.
  /// @param[in] aProgress fraction of the planned time that has passed
  /// @param[in] aGrowth expected rate of the requests until the end divided by
  ///            their mean rate so far
  /// @return fraction of the planned time, at most 1
  [[nodiscard]] double MoveProgress(double aProgress, double aGrowth) const;

  /// @brief Returns whether a session runs on the new version.
  /// @param[in] aHash hash of the session
  /// @param[in] aProgress fraction of the planned time that has passed
  /// @param[in] aMoveProgress fraction at which all sessions move; empty: not
  ///            decided yet
  [[nodiscard]] bool IsMoved(std::uint64_t aHash,
                             double aProgress,
                             std::optional<double> aMoveProgress) const;

private:
  double mUsedShare;  ///< of all requests, for the new version
  double mTrialShare; ///< of the sessions, which move first
};

} // namespace figslip::rollout
