#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>

namespace figslip::retry {

/// @brief Lists how soon a write is needed.
enum class WriteUrgency : std::uint8_t
{
  Prompt,    ///< other instances wait for it
  Background ///< it may wait for the end of an outage
};

/// @brief Decides when a failed write to the store is sent again.
///
/// All instances lose the store at the same moment, and have it back at the
/// same moment; the backoff grows with their number, so that their retries do
/// not.
class WriteBackoff
{
public:
  struct Options
  {
    /// backoff before the first retry; a prompt write's grows linearly, another
    /// one's doubles
    Duration mInitial = std::chrono::milliseconds(400);
    Duration mMax = std::chrono::milliseconds(6'400); ///< of the doubling
    /// added for each instance: the store takes several hundred writes a second
    Duration mPerInstance = std::chrono::milliseconds(10);
    int mMaxPromptAttempts = 12;
    int mMaxAttempts = 8;
    /// time after which a write is abandoned: others remove a record then, or
    /// a newer one is due
    Duration mMaxTime = std::chrono::seconds(60);
  };

  explicit WriteBackoff(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Checks whether a failed write may be sent again.
  /// @param[in] aAttempts attempts that have failed, >= 1
  /// @param[in] aElapsed time since the first one was sent
  [[nodiscard]] bool MayRetry(WriteUrgency aUrgency,
                              int aAttempts,
                              Duration aElapsed) const;

  /// @brief Checks whether a write may go on waiting for the store.
  /// @param[in] aElapsed time since the first attempt was sent
  [[nodiscard]] bool MayWait(Duration aElapsed) const
  {
    return aElapsed < mOptions.mMaxTime;
  }

  /// @brief Returns the time before the next attempt.
  /// @param[in] aAttempts attempts that have failed, >= 1
  /// @param[in] aInstances registered instances
  /// @param[in] aRandom random number in [0, 1)
  [[nodiscard]] Duration Before(WriteUrgency aUrgency,
                                int aAttempts,
                                int aInstances,
                                double aRandom) const;

  /// @brief Returns the time for which a write waits once the store is back.
  /// @param[in] aRandom random number in [0, 1)
  [[nodiscard]] Duration AfterOutage(int aInstances, double aRandom) const;

  /// @brief Checks whether a write waits for a sign that the store is back:
  /// all except the first retry, as a single connection may have been lost.
  [[nodiscard]] static bool AwaitsStore(WriteUrgency aUrgency, int aAttempts)
  {
    return aUrgency == WriteUrgency::Background && aAttempts > 1;
  }

private:
  Options mOptions;
};

/// @brief Tracks the latest write of an object, which a newer one replaces.
class WriteState
{
public:
  /// @param[in] aIsCreation whether the object does not exist before
  explicit WriteState(bool aIsCreation)
    : mIsCreation(aIsCreation)
  {
  }

  void OnSent() { mIsInFlight = true; }

  /// @param[in] aMayHaveRun whether the store may have executed the write
  void OnEnded(bool aMayHaveRun)
  {
    mIsInFlight = false;
    mMayHaveRun = mMayHaveRun || aMayHaveRun;
  }

  void OnReplaced() { mIsReplaced = true; }

  [[nodiscard]] bool IsReplaced() const { return mIsReplaced; }
  [[nodiscard]] bool IsInFlight() const { return mIsInFlight; }

  /// @brief Checks whether the object surely does not exist, so that its
  /// removal is not needed.
  [[nodiscard]] bool IsUnwritten() const
  {
    return mIsCreation && !mIsInFlight && !mMayHaveRun;
  }

private:
  bool mIsCreation;
  bool mIsInFlight = false;
  bool mMayHaveRun = false;
  bool mIsReplaced = false;
};

} // namespace figslip::retry
