#pragma once

#include <figslip/claim/claim_outcome.hpp>
#include <figslip/claim/claim_record.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace figslip::claim {

/// @brief Orders a conditional write of the claim object.
struct WriteClaim
{
  std::int64_t mExpectedVersion = 0; ///< 0 to create
  std::string mValue;
};

/// @brief Orders to wait until the claim object changes.
struct WatchClaim
{
  std::int64_t mKnownVersion = 0;
};

/// @brief Reports that this request holds the key and may run.
struct ClaimWon
{
  std::int64_t mVersion = 0; ///< version of the claim object
};

/// @brief Reports that an earlier use of the key has an answer.
struct ClaimAnswered
{
  std::string mAnswer;
  std::string mBillingRecord;
};

/// @brief Reports that the claim failed.
struct ClaimRefused
{
  ClaimOutcome mOutcome =
    ClaimOutcome::Unavailable; ///< neither `Won` nor `Answered`
};

/// @brief Holds the next step of a claim.
using ClaimStep =
  std::variant<WriteClaim, WatchClaim, ClaimWon, ClaimAnswered, ClaimRefused>;

/// @brief Holds the end of a claim.
using ClaimResult = std::variant<ClaimWon, ClaimAnswered, ClaimRefused>;

/// @brief Returns the class of the end of a claim.
[[nodiscard]] ClaimOutcome
OutcomeOf(const ClaimResult& aResult);

/// @brief Claims one idempotency key for one request.
///
/// A deterministic state machine. The version check of the platform is the
/// fence: of all uses of a key, one write creates the claim. A write whose
/// answer was lost is repeated with the same expectation; the conflict then
/// shows the own use, which counts as won.
class ClaimFlow
{
public:
  struct Options
  {
    Duration mRetention = std::chrono::hours(24); ///< age at which keys expire
    Duration mMaxClockSkew =
      std::chrono::minutes(5); ///< tolerated lead of a key
  };

  /// @param[in] aOwnRecord the claim to write; its state is `Claimed`
  /// @param[in] aDeadline end of all waiting
  ClaimFlow(Options aOptions, ClaimRecord aOwnRecord, TimePoint aDeadline);

  /// @brief Checks the age of the key and returns the first step.
  [[nodiscard]] ClaimStep Start(TimePoint aKeyTime, TimePoint aNow);

  /// @brief Reports that the write took effect.
  [[nodiscard]] ClaimStep OnWritten(std::int64_t aVersion);

  /// @brief Reports what the object holds, after a conflict or a watch.
  [[nodiscard]] ClaimStep OnObject(std::int64_t aVersion,
                                   const std::string& aValue,
                                   TimePoint aNow);

  /// @brief Reports that the platform gave no answer.
  /// @param[in] aMayHaveEffect whether a write may have taken effect
  [[nodiscard]] ClaimStep OnNoResponse(bool aMayHaveEffect, TimePoint aNow);

  /// @brief Tells whether a claim of this use may stand at the platform.
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
