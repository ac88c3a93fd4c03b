#pragma once

#include <figslip/quarantine/record_batch.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace figslip::quarantine {

/// @brief Lists how the source can answer a message with records.
enum class ForwardOutcome : std::uint8_t
{
  Accepted, ///< it has merged them with its own and will publish them
  Busy,     ///< it cannot write to the store now
  Failed    ///< it gave no answer, has no room, or rejected the message
};

/// @brief Decides whether the records of an instance are published by the
/// instance that it follows, its source, or by itself.
///
/// The source answers once it has merged the records with its own. Until they
/// are seen in the store, and for a short time at most, they are held here:
/// when the source changes they are passed to the next one, or published by
/// this instance if there is none. Records that are published twice are
/// harmless.
class RecordForwarder
{
public:
  struct Options
  {
    /// time for the answer of the source, which merges without a call to the
    /// store; after it this instance publishes the records itself
    Duration mAnswerTimeout = std::chrono::milliseconds(1'500);
    /// The requests of one crash end one after the other within a few ms, and
    /// their records share a message. Evidence may become 50 ms later by the
    /// forwarding, and the message takes some ms.
    Duration mCollectTime = std::chrono::milliseconds(10);
    /// time for which accepted records are held: the spread and the interval of
    /// the housekeeping (1 s), a first write that fails and its backoff (1.5 s
    /// and 1.2 s of 80 instances), and 0.8 s to detect a silent source
    Duration mHoldTime = std::chrono::seconds(5);
    /// time for which no record is sent to a source that has failed
    Duration mAvoidTime = std::chrono::seconds(2);
    /// time for which records wait for a successor of a source that was lost;
    /// it is mostly found after 75 to 150 ms
    Duration mSuccessorTime = std::chrono::milliseconds(200);
    /// messages that the source refuses as busy until this instance publishes;
    /// as `retry::WriteBackoff` abandons a write
    int mMaxRefusals = 8;
    /// Instances up to which each publishes its records itself, as with the
    /// spread of reports (`ReportSpread`): so few writes need no forwarding.
    int mMaxDirectPublishers = 10;
    std::size_t mMaxItems = 4'096; ///< bounds the memory; others are published
    /// reports for an upstream within this time belong to one crash
    Duration mSameCrashWindow = std::chrono::seconds(2);
  };

  /// @brief Holds a message to send to the source.
  struct Message
  {
    std::uint64_t mId = 0;
    RecordBatch mBatch;
  };

  explicit RecordForwarder(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Sets the number of registered instances; it applies with the next
  /// call of `OnSource`.
  void SetInstanceCount(int aInstances) { mInstances = aInstances; }

  /// @brief Sets the instance that this one follows. In a small fleet it counts
  /// as none.
  /// @param[in] aSource names its process; empty: none
  void OnSource(const std::string& aSource, TimePoint aNow);

  /// @brief Takes records that this instance would publish.
  void Add(const RecordBatch& aRecords, TimePoint aNow);

  /// @brief Returns the message to send now; there is one at a time.
  [[nodiscard]] std::optional<Message> TakeMessage(TimePoint aNow);

  /// @brief Records the answer to a message.
  /// @param[in] aRetryAfter time after which a busy source is asked again
  void OnAnswer(std::uint64_t aId,
                ForwardOutcome aOutcome,
                Duration aRetryAfter,
                TimePoint aNow);

  /// @brief Returns the records that this instance is to publish itself now,
  /// each of them once.
  [[nodiscard]] RecordBatch TakeOwn(TimePoint aNow);

  /// @brief Drops what is seen in the store.
  /// @param[in] aRecords as all instances have published them
  void OnPublished(const RecordBatch& aRecords);

  /// @brief Drops the reports of requests that were served meanwhile.
  void OnServed(const std::set<std::uint64_t>& aFingerprints);

  /// @brief Returns how often the source has refused records in a row.
  [[nodiscard]] int Refusals() const { return mRefusals; }

  /// @brief Checks whether nothing is held.
  [[nodiscard]] bool IsIdle() const { return mItems.empty(); }

private:
  enum class Stage : std::uint8_t
  {
    Waiting, ///< for the next message
    Sent,
    Accepted,
    Own ///< to be published by this instance
  };

  /// Record to remove.
  struct Withdrawal
  {
    std::string mName;

    bool operator==(const Withdrawal&) const = default;
  };

  using Record = std::variant<CrashReport, CrashSuspects, PartId, Withdrawal>;

  /// Adds a record to a batch.
  static void AddTo(RecordBatch& aBatch, const Record& aRecord);
  /// Adds a record to a message.
  /// @return false if the message would be over a bound
  [[nodiscard]] static bool AddWithinBounds(const Record& aRecord,
                                            RecordBatch& aBatch);

  struct Item
  {
    Record mRecord;
    Stage mStage = Stage::Waiting;
    TimePoint mSince; ///< begin of the stage
  };

  void AddRecord(Record aRecord, TimePoint aNow);
  /// Removes what is held from a record.
  /// @return whether something is left of it
  [[nodiscard]] bool LeaveOutHeld(Record& aRecord) const;
  /// Removes a part of a record that is published.
  void LeaveOut(const Record& aPublished);
  [[nodiscard]] bool IsSameCrash(const CrashSuspects& aCrash,
                                 const CrashSuspects& aOther) const;
  /// Moves all items of one stage to another.
  void MoveAll(Stage aFrom, Stage aTo, TimePoint aNow);
  void OnFailed(TimePoint aNow);
  /// Checks whether records wait for the source, or for a successor of it.
  [[nodiscard]] bool MayForward(TimePoint aNow) const;

  Options mOptions;
  int mInstances = 1;  ///< registered
  std::string mSource; ///< empty: none
  std::list<Item> mItems;
  std::uint64_t mLastId = 0;        ///< of messages
  std::optional<TimePoint> mSentAt; ///< of the message without an answer
  /// the source is followed, or there is none; long ago before the first one
  TimePoint mSourceSince = TimePoint::min();
  TimePoint mAvoidUntil; ///< the source has failed
  TimePoint mRetryAt;    ///< the source was busy
  int mRefusals = 0;     ///< in a row
};

} // namespace figslip::quarantine
