#pragma once

#include <figslip/billing/billing_batcher.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>

namespace figslip::billing {

/// @brief States how a request to keep a copy ended.
enum class HoldOutcome
{
  Held,     ///< the copy is kept, or its records are already written
  Full,     ///< the memory for copies is used up
  Malformed ///< the text is no batch of records
};

/// @brief Keeps copies of the records of other instances.
///
/// A deterministic state machine. A copy is kept until its origin says that
/// the records are written. It falls due, to be written by this instance, when
/// the origin was replaced, when the origin is missing from the instance list
/// for a time, or when no release came for a time in which the platform could
/// be reached. A copy written although its origin lives is harmless: the ledger
/// drops the second record of a request id. Memory is bounded; at the bound
/// copies are refused and the origin asks another peer.
class BillingNeighbour
{
public:
  struct Options
  {
    std::size_t mMaxBytes = 6'000'000; ///< of all copies
    Duration mAbsenceLimit = std::chrono::seconds(10);
    Duration mReleaseLimit = std::chrono::seconds(15);
  };

  explicit BillingNeighbour(Options aOptions);

  /// @brief Keeps a copy; a repeat is harmless.
  [[nodiscard]] HoldOutcome Hold(const RecordCopy& aCopy, TimePoint aNow);

  /// @brief Forgets the copies of an origin up to a position.
  void Release(const membership::Incarnation& aOrigin, Position aUpTo);

  /// @brief Notes the run of an instance; older runs of it are gone.
  void OnIncarnation(const membership::Incarnation& aRun);

  /// @brief Takes the instance list as last seen.
  void OnInstances(const membership::InstanceList& aInstances, TimePoint aNow);

  /// @brief Notes whether the last call reached the platform.
  void OnPlatform(bool aReached, TimePoint aNow);

  /// @brief Takes one copy that this instance must write now.
  [[nodiscard]] std::optional<RecordCopy> TakeDue(TimePoint aNow);

  /// @brief Takes any copy, for a graceful shutdown.
  [[nodiscard]] std::optional<RecordCopy> TakeAny();

  [[nodiscard]] std::size_t Bytes() const { return mBytes; }

private:
  struct HeldCopy
  {
    std::string mText;
    TimePoint mSince;
  };
  struct Origin
  {
    std::map<Position, HeldCopy> mCopies;
    Position mReleasedUpTo = 0;
    bool mReplaced = false;
    std::optional<TimePoint> mAbsentSince;
  };
  using Origins = std::map<membership::Incarnation, Origin>;

  [[nodiscard]] bool IsKnown(const RecordCopy& aCopy) const;
  [[nodiscard]] bool IsDue(const Origin& aOrigin, TimePoint aNow) const;
  RecordCopy TakeFirst(Origins::iterator aOrigin);

  Options mOptions;
  Origins mOrigins;
  std::size_t mBytes = 0;
  std::optional<TimePoint> mReachedSince = TimePoint{}; ///< none in an outage
};

} // namespace figslip::billing
