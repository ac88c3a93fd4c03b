#pragma once

#include <figslip/time/time_point.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figslip::handover {

/// @brief Lists what is known of the way from this instance to all upstreams.
enum class ContactState
{
  Held,
  Suspected, ///< upstreams are being probed
  Lost       ///< no upstream can be connected to
};

/// @brief Names of the states, for logs.
inline constexpr auto kContactStates =
  std::to_array<std::pair<ContactState, std::string_view>>(
    { { ContactState::Held, "held" },
      { ContactState::Suspected, "suspected" },
      { ContactState::Lost, "lost" } });

/// @brief Returns the name of a state.
[[nodiscard]] std::string_view
NameOf(ContactState aState);

/// @brief Judges whether this instance can open connections to upstreams.
///
/// A single upstream that fails says nothing of the others: contact is lost
/// only if connections to several upstreams, in all failure domains, failed
/// since the last one that was opened. Whether the upstreams themselves are
/// down cannot be told from here; see `PeerChoice`.
class UpstreamContact
{
public:
  struct Options
  {
    /// different upstreams that must have failed, if so many are registered
    std::size_t mMinUpstreams = 4;
    /// different upstreams with whose failure upstreams are probed, likewise
    std::size_t mMinSuspicious = 2;
    /// maximum age of the failures that count
    Duration mWindow = std::chrono::seconds(3);
    /// time without bytes from any upstream, while requests are open, after
    /// which upstreams are probed
    Duration mMaxSilence = std::chrono::milliseconds(500);
    /// pause between two probes while contact is not held
    Duration mProbeInterval = std::chrono::milliseconds(250);
    /// time after a connection was opened in which nothing is suspected, so
    /// that a few failed upstreams do not cause many probes
    Duration mMinHeldTime = std::chrono::seconds(1);
  };

  explicit UpstreamContact(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Replaces the registered upstreams.
  /// @param[in] aDomains failure domain of each, by id
  void OnUpstreams(std::map<std::string, std::string, std::less<>> aDomains);

  /// @brief Records that a connection to an upstream was opened.
  void OnConnected(TimePoint aNow);

  /// @brief Records that a connection to an upstream was refused, or not opened
  /// in time.
  /// @param[in] aStartedAt begin of the try; one that began before the last
  ///            connection was opened does not count
  void OnConnectFailed(std::string_view aUpstream,
                       TimePoint aStartedAt,
                       TimePoint aNow);

  /// @brief Records that bytes came from an upstream.
  void OnReceived(TimePoint aNow) { mReceivedAt = aNow; }

  /// @brief Begins to suspect a loss if open requests were silent for too long.
  /// @param[in] aHasOpenRequests whether any request waits for an upstream
  void OnTick(bool aHasOpenRequests, TimePoint aNow);

  /// @brief Returns the upstreams to probe now, by a connection to each; mostly
  /// none.
  [[nodiscard]] std::vector<std::string> TakeDueProbes(TimePoint aNow);

  [[nodiscard]] ContactState State() const { return mState; }
  [[nodiscard]] bool IsLost() const { return mState == ContactState::Lost; }
  [[nodiscard]] bool IsHeld() const { return mState == ContactState::Held; }
  /// @brief Returns the number of upstreams that failed since a connection was
  /// opened last.
  [[nodiscard]] std::size_t FailedCount() const { return mFailed.size(); }

private:
  /// Returns whether enough upstreams have failed.
  [[nodiscard]] bool HasLostAll() const;
  void Suspect(TimePoint aNow);
  /// Returns the failure domains in which an upstream has failed.
  [[nodiscard]] std::set<std::string_view> FailedDomains() const;
  /// Returns the upstreams that are probed next, those of domains in which none
  /// has failed first.
  [[nodiscard]] std::vector<std::string> NextProbes(std::size_t aCount);

  Options mOptions;
  ContactState mState = ContactState::Held;
  std::map<std::string, std::string, std::less<>> mDomains; ///< by upstream
  std::map<std::string, TimePoint, std::less<>> mFailed;    ///< last failures
  TimePoint mConnectedAt;
  TimePoint mReceivedAt;
  TimePoint mActiveSince; ///< first tick of the present open requests
  TimePoint mNextProbeAt;
  std::string mLastProbed; ///< the next probe follows it in order
  int mProbeRounds = 0;    ///< since contact was held
  bool mWasActive = false;
};

} // namespace figslip::handover
