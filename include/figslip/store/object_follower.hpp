#pragma once

#include <figslip/store/store_client.hpp>
#include <figslip/store/store_dialect.hpp>
#include <figslip/time/time_point.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace figslip::store {

/// @brief Keeps a copy of all objects of one kind.
///
/// Lists the kind, then watches it. A lost history or a broken list begins
/// anew; a call without an answer is made again on another connection. While
/// it is stopped, the copy of another instance may take the store's place.
class ObjectFollower
{
public:
  using Objects = std::map<std::string, Object, std::less<>>;

  struct Options
  {
    ObjectKind mKind = ObjectKind::Configuration;
    Duration mWatchTimeout =
      std::chrono::seconds(1); ///< of a watch without news
    Duration mCallInterval{};  ///< between two calls, to gather changes
    /// lists again and again in place of watching; a list proves that the copy
    /// is as new as its sending, a watch only when the next one has returned
    bool mListsOnly = false;
    /// pauses between attempts while the store does not answer; they double,
    /// and are by chance up to half shorter, as all instances lose the store at
    /// the same moment
    Duration mInitialBackoff = std::chrono::milliseconds(80);
    Duration mMaxBackoff = std::chrono::milliseconds(640);
  };

  struct Callbacks
  {
    /// called after each change
    std::function<void(const Objects&)> mOnObjects;
    /// called when the copy is known to be no older than a time
    std::function<void(TimePoint aSentAt)> mOnConfirmed;
    std::function<void(const std::string& aReason)> mOnLost;
    std::function<void()> mOnRegained;
    /// tells whether a call without an answer is worth making again; else it
    /// waits for `RetryNow`; empty: always
    std::function<bool()> mMayRetry;
  };

  ObjectFollower(Options aOptions,
                 const StoreDialect& aDialect,
                 StoreClient& aClient,
                 Callbacks aCallbacks);

  /// @brief Starts to follow the store.
  void Start();

  /// @brief Changes the longest pause between attempts.
  void SetMaxBackoff(Duration aBackoff) { mOptions.mMaxBackoff = aBackoff; }

  /// @brief Ends the pause after a call without an answer.
  void RetryNow();

  /// @brief Stops; answers that are still under way are ignored.
  void Stop() { ++mGeneration; }

  /// @name The copy
  /// @{
  [[nodiscard]] ObjectKind Kind() const { return mOptions.mKind; }
  [[nodiscard]] const Objects& All() const { return mObjects; }
  /// @brief Returns the store's revision of the copy; nothing before the first.
  [[nodiscard]] std::optional<std::int64_t> Revision() const
  {
    return mRevision;
  }
  /// @brief Returns the time at which the copy was known to be current.
  [[nodiscard]] TimePoint ConfirmedAt() const { return mConfirmedAt; }
  /// @brief Tells whether the last call had no answer.
  [[nodiscard]] bool IsLost() const { return mIsLost; }
  /// @}

  /// @brief Takes the copy that another instance has; while stopped.
  /// @param[in] aRevision not below the revision of this copy
  /// @param[in] aHasChanged whether the objects differ from the copy before
  void ReplaceCopy(Objects aObjects,
                   std::int64_t aRevision,
                   TimePoint aConfirmedAt,
                   bool aHasChanged);

private:
  /// Holds how a list or watch ended; no reason: it succeeded.
  struct SyncResult
  {
    std::string mReason;
    bool mHistoryExpired = false;
  };

  /// Numbers the starts and stops; a coroutine of an older one ends.
  using Generation = std::uint64_t;

  [[nodiscard]] net::Awaitable<void> Run(Generation aGeneration);
  [[nodiscard]] net::Awaitable<SyncResult> List(Generation aGeneration);
  [[nodiscard]] net::Awaitable<SyncResult> Watch(Generation aGeneration,
                                                 std::int64_t aRevision);
  void Apply(const Changes& aChanges);
  void Confirm(TimePoint aSentAt);
  void UpdateLostState(const SyncResult& aResult);
  [[nodiscard]] net::Awaitable<void> AwaitRetry(Generation aGeneration,
                                                Duration aBackoff);
  [[nodiscard]] Duration WithJitter(Duration aBackoff);

  Options mOptions;
  const StoreDialect& mDialect;
  StoreClient& mClient;
  Callbacks mCallbacks;
  Objects mObjects;
  std::optional<std::int64_t> mRevision; ///< of the copy
  bool mNeedsList = false;               ///< a list is needed
  TimePoint mConfirmedAt;
  Generation mGeneration = 0;
  std::shared_ptr<net::asio::steady_timer> mRetryTimer; ///< null: not paused
  bool mIsLost = false;
  std::minstd_rand mRandom{ std::random_device{}() };
};

} // namespace figslip::store
