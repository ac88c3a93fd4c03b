#pragma once

#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figslip::lease {

/// @brief Orders a conditional write of the lease object.
struct WriteLease
{
  std::int64_t mExpectedVersion = 0; ///< 0 to create
  std::string mValue;
};

/// @brief Orders to read the lease object.
struct ReadLease
{};

/// @brief Orders to do nothing until a time.
struct WaitLease
{
  TimePoint mUntil;
};

/// @brief Holds the next step of a lease.
using LeaseStep = std::variant<WriteLease, ReadLease, WaitLease>;

/// @brief Describes a lease that is held.
struct HeldLease
{
  std::int64_t mFencingToken = 0; ///< higher than that of any earlier holder
  TimePoint mAcquiredAt;          ///< when it was acquired
  TimePoint mValidUntil;          ///< no act under it at or after this time
};

/// @brief Acquires and renews one lease of the platform.
///
/// A deterministic state machine. The lease is an object that its holder
/// rewrites; who sees it unchanged for its whole length may take it over by a
/// conditional write. No clocks are compared: the holder counts from before it
/// sent its last renewal, the others from when they first saw its effect.
class LeaseFlow
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    Duration mDuration = std::chrono::seconds(6);
    Duration mRenewInterval = std::chrono::seconds(2); ///< and between reads
    Duration mSafetyMargin =
      std::chrono::milliseconds(500); ///< for clock rates
  };

  explicit LeaseFlow(Options aOptions);

  /// @brief Returns what to do now.
  /// @note A write counts as sent at aNow.
  [[nodiscard]] LeaseStep Next(TimePoint aNow);

  /// @brief Reports that the write took effect.
  void OnWritten(std::int64_t aVersion, TimePoint aNow);

  /// @brief Reports what the object holds, after a read or a conflict.
  void OnObject(std::int64_t aVersion,
                const std::string& aValue,
                TimePoint aNow);

  /// @brief Reports that the platform gave no answer; reads next.
  void OnNoResponse(TimePoint aNow);

  /// @brief Returns the lease if it is held now.
  [[nodiscard]] std::optional<HeldLease> Held(TimePoint aNow) const;

private:
  void Lose();

  Options mOptions;
  std::string mOwnValue;
  std::int64_t mVersion = -1; ///< last version seen; -1 if none
  TimePoint mFirstSeenAt;     ///< when that version was seen first
  bool mIsOwnWrite = false;   ///< the version seen is our own write
  TimePoint mWriteSentAt;     ///< start of the write under way
  TimePoint mWaitUntil;
  bool mMustRead = true;
  std::optional<HeldLease> mHeld;
};

/// @brief Tells whether an order may go to an engine that ignores tokens.
///
/// Such an engine takes an order of an earlier holder that arrives late. So an
/// order is sent only while the lease outlasts the longest transit, and after a
/// takeover only once all orders of the earlier holder must have arrived.
[[nodiscard]] bool
MaySendUnfenced(const HeldLease& aLease,
                Duration aMaxTransitTime,
                TimePoint aNow);

} // namespace figslip::lease
