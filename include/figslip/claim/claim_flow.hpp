#pragma once

#include <figslip/claim/claim_outcome.hpp>
#include <figslip/claim/claim_record.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace figslip::claim {

/// @brief Instructs the caller to write the claim object conditionally.
struct WriteClaim
{
  std::int64_t mExpectedVersion = 0; ///< version to replace; 0 to create
  std::string mValue;
};

/// @brief Instructs the caller to wait until the claim object changes.
struct WatchClaim
{
  std::int64_t mKnownVersion = 0; ///< wait for a version other than this
};

/// @brief Reports that this request holds the key and may run.
struct ClaimWon
{
  std::int64_t mVersion = 0; ///< version of the claim object
};

/// @brief Holds the stored answer of an earlier request with the key.
struct ClaimAnswered
{
  std::string mAnswer;        ///< JSON text
  std::string mBillingRecord; ///< JSON text
};

/// @brief Reports that the request may not run, and why.
struct ClaimRefused
{
  /// neither `Won` nor `Answered`
  ClaimOutcome mOutcome = ClaimOutcome::Unavailable;
};

/// @brief Holds the next action of the caller, or the final result.
using ClaimStep =
  std::variant<WriteClaim, WatchClaim, ClaimWon, ClaimAnswered, ClaimRefused>;

/// @brief Holds the final result of a claim.
using ClaimResult = std::variant<ClaimWon, ClaimAnswered, ClaimRefused>;

/// @brief Returns the outcome that a result stands for.
[[nodiscard]] ClaimOutcome
OutcomeOf(const ClaimResult& aResult);

/// @brief Claims one idempotency key for one request.
///
/// This is a deterministic state machine without I/O: each call returns the
/// action to execute, and its result is reported to one of the `On` functions.
/// Mutual exclusion relies on the conditional writes of the platform: of all
/// requests with a key, only one write creates the claim. A write whose
/// response was lost is retried with the same expected version; if it had
/// taken effect, the conflict returns this request's own record, which counts
/// as won.
class ClaimFlow
{
public:
  struct Options
  {
    Duration mRetention = std::chrono::hours(24); ///< age at which keys expire
    /// maximum by which the time of a key may be ahead of the clock
    Duration mMaxClockSkew = std::chrono::minutes(5);
  };

  /// @param[in] aOwnRecord the record to write; its state is `Claimed`
  /// @param[in] aDeadline time after which no call is retried or waited for
  ClaimFlow(Options aOptions, ClaimRecord aOwnRecord, TimePoint aDeadline);

  /// @brief Checks the age of the key and returns the first step.
  /// @param[in] aKeyTime time at which the key was generated
  [[nodiscard]] ClaimStep Start(TimePoint aKeyTime, TimePoint aNow);

  /// @brief Handles a write that took effect.
  /// @param[in] aVersion version of the written object
  [[nodiscard]] ClaimStep OnWritten(std::int64_t aVersion);

  /// @brief Handles the content of the object after a conflict or a watch.
  /// @param[in] aVersion version of the object; 0 if it does not exist
  [[nodiscard]] ClaimStep OnObject(std::int64_t aVersion,
                                   const std::string& aValue,
                                   TimePoint aNow);

  /// @brief Handles a call to which the platform gave no response.
  /// @param[in] aMayHaveEffect whether a write may have taken effect
  [[nodiscard]] ClaimStep OnNoResponse(bool aMayHaveEffect, TimePoint aNow);

  /// @brief Checks whether the platform may store a claim of this request.
  /// @note If the claim is refused, such a claim has to be released.
  [[nodiscard]] bool MayHoldKey() const { return mMayHoldKey; }

private:
  [[nodiscard]] ClaimStep NextStep() const;

  Options mOptions;
  ClaimRecord mOwnRecord;
  TimePoint mDeadline;
  std::int64_t mExpectedVersion = 0;
  std::int64_t mKnownVersion = 0;
  bool mWatching = false;
  bool mMayHoldKey = false;
};

} // namespace figslip::claim
