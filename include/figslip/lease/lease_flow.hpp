#pragma once

#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figslip::lease {

/// @brief Instructs the caller to write the lease object conditionally.
struct WriteLease
{
  std::int64_t mExpectedVersion = 0; ///< version to replace; 0 to create
  std::string mValue;
};

/// @brief Instructs the caller to read the lease object.
struct ReadLease
{};

/// @brief Instructs the caller to make no call before a time.
struct WaitLease
{
  TimePoint mUntil;
};

/// @brief Holds the next action of the caller.
using LeaseStep = std::variant<WriteLease, ReadLease, WaitLease>;

/// @brief Describes a lease that this instance holds.
struct HeldLease
{
  std::int64_t mFencingToken = 0; ///< higher than that of any earlier holder
  TimePoint mAcquiredAt;          ///< time of the acquisition; renewals keep it
  TimePoint mValidUntil;          ///< no action under it at or after this time
};

/// @brief Acquires and renews one lease of the platform.
///
/// This is a deterministic state machine without I/O. The lease is an object
/// that its holder rewrites to renew it. An instance that observes the same
/// version for the whole lease duration may take the lease over with a
/// conditional write. Clocks of different instances are not compared: the
/// holder measures the duration from before it sent its last renewal, the
/// others from when they first saw the version that the renewal wrote.
class LeaseFlow
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    /// time without a renewal after which others may take the lease over
    Duration mDuration = std::chrono::seconds(6);
    /// interval between renewals, and between reads while another holds it
    Duration mRenewInterval = std::chrono::seconds(2);
    /// time by which the holder stops earlier, since clocks run at different
    /// rates; also the backoff after a failed call
    Duration mSafetyMargin = std::chrono::milliseconds(500);
  };

  explicit LeaseFlow(Options aOptions);

  /// @brief Returns the action to execute now.
  /// @note A returned write counts as sent at aNow.
  [[nodiscard]] LeaseStep Next(TimePoint aNow);

  /// @brief Handles a write that took effect.
  /// @param[in] aVersion version of the written object; the fencing token if
  /// the write acquired the lease
  void OnWritten(std::int64_t aVersion, TimePoint aNow);

  /// @brief Handles the content of the object after a read or a conflict.
  /// @param[in] aVersion version of the object; 0 if it does not exist
  void OnObject(std::int64_t aVersion,
                const std::string& aValue,
                TimePoint aNow);

  /// @brief Handles a call without a response; the object is read next.
  void OnNoResponse(TimePoint aNow);

  /// @brief Returns the lease if this instance holds it at aNow.
  [[nodiscard]] std::optional<HeldLease> Held(TimePoint aNow) const;

private:
  void Lose();

  Options mOptions;
  std::string mOwnValue;
  std::int64_t mVersion = -1; ///< last version seen; -1 if none
  TimePoint mFirstSeenAt;     ///< time at which that version was seen first
  bool mIsOwnWrite = false;   ///< that version was written by this instance
  TimePoint mWriteSentAt;     ///< start of the write in progress
  TimePoint mWaitUntil;
  bool mMustRead = true;
  std::optional<HeldLease> mHeld;
};

/// @brief Checks whether an order may be sent to an engine that does not check
/// fencing tokens.
///
/// Such an engine accepts an order of an earlier holder that arrives late.
/// Therefore an order is sent only if the lease stays valid for longer than the
/// maximum transit time, and after a takeover only once all orders of the
/// earlier holder must have arrived.
/// @param[in] aMaxTransitTime maximum time from sending an order to its arrival
[[nodiscard]] bool
MaySendUnfenced(const HeldLease& aLease,
                Duration aMaxTransitTime,
                TimePoint aNow);

} // namespace figslip::lease
