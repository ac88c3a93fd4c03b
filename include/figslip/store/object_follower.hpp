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

/// @brief Maintains a local copy of all objects of one kind in the store.
///
/// Lists the objects, then watches for changes. Lists again if the store no
/// longer has the history after the copy's revision or if a watch response
/// cannot be parsed; a failed list starts over. A call without a response is
/// retried with backoff on another connection; a watch does not wait for
/// changes then, so that its answer tells at once that the store is back. Nor
/// does the first watch of a copy of another instance: followers of that
/// instance may have a later revision, and take no copy with an older one.
/// Lists again when the store has begun another era; answers of an earlier era
/// are rejected. While the follower is stopped, the copy can be changed to that
/// of another instance, see @ref UpdateCopy.
class ObjectFollower
{
public:
  /// @brief Maps the name of an object to the object.
  using Objects = std::map<std::string, Object, std::less<>>;

  /// @brief Configures what is followed and the timing of the calls.
  struct Options
  {
    ObjectKind mKind = ObjectKind::Configuration;
    /// time after which the store ends a watch without changes
    Duration mWatchTimeout = std::chrono::seconds(1);
    /// delay between a successful call and the next, which batches changes
    Duration mCallInterval{};
    /// polls with lists instead of watching: a list confirms that the copy is
    /// as new as the sending of its request, a watch only when the next one
    /// has returned
    bool mListsOnly = false;
    /// backoff after the first failed call; doubles with each further failure
    /// up to `mMaxBackoff` and is shortened at random by up to half, because
    /// all instances lose the store at the same moment
    Duration mInitialBackoff = std::chrono::milliseconds(80);
    Duration mMaxBackoff = std::chrono::milliseconds(640);
  };

  /// @brief Holds the functions that the follower calls.
  struct Callbacks
  {
    /// called after each change of the copy
    std::function<void(const Objects&)> mOnObjects;
    /// called when the copy is confirmed to be at least as new as `aSentAt`
    std::function<void(TimePoint aSentAt)> mOnConfirmed;
    /// called on the first failed call after a successful one; `aSince` is the
    /// time from which on the store owed an answer
    std::function<void(const std::string& aReason, TimePoint aSince)> mOnLost;
    /// called on the first success after a failed call
    std::function<void()> mOnRegained;
    /// checked after each backoff: if it returns false, the follower waits for
    /// another backoff, which `RetryNow` ends early; if empty, every failed
    /// call is retried
    std::function<bool()> mMayRetry;
  };

  /// @param[in] aOptions kind of the objects and timing of the calls
  /// @param[in] aDialect formats requests and parses responses; must outlive
  ///            the follower
  /// @param[in] aClient makes the calls; must outlive the follower
  /// @param[in] aCallbacks all except `mMayRetry` must be set
  ObjectFollower(Options aOptions,
                 const StoreDialect& aDialect,
                 StoreClient& aClient,
                 Callbacks aCallbacks);

  /// @brief Starts listing and watching in a detached coroutine.
  void Start();

  /// @brief Sets the maximum backoff; a backoff already computed is kept.
  void SetMaxBackoff(Duration aBackoff) { mOptions.mMaxBackoff = aBackoff; }

  /// @brief Ends the current backoff, if any.
  void RetryNow();

  /// @brief Stops following; responses to pending calls are ignored.
  void Stop() { ++mGeneration; }

  /// @name Copy and its state
  /// @{

  /// @brief Returns the kind of the objects followed.
  [[nodiscard]] ObjectKind Kind() const { return mOptions.mKind; }

  /// @brief Returns all objects of the copy by name.
  [[nodiscard]] const Objects& All() const { return mObjects; }

  /// @brief Returns the store revision of the copy.
  /// @return nothing before the first successful list or replacement
  [[nodiscard]] std::optional<StoreRevision> Revision() const
  {
    return mRevision;
  }

  /// @brief Returns the latest time for which the copy is confirmed current.
  [[nodiscard]] TimePoint ConfirmedAt() const { return mConfirmedAt; }

  /// @brief Checks whether the last call failed.
  [[nodiscard]] bool IsLost() const { return mIsLost; }
  /// @}

  /// @brief Changes the copy to that of another instance.
  /// @param[in] aChange changes the objects; empty: they are the same
  /// @param[in] aRevision not behind the revision of this copy
  /// @param[in] aConfirmedAt time for which the other copy is confirmed current
  /// @note Call it only while the follower is stopped.
  void UpdateCopy(const std::function<void(Objects&)>& aChange,
                  const StoreRevision& aRevision,
                  TimePoint aConfirmedAt);

private:
  /// Result of a list or watch.
  struct SyncResult
  {
    std::string mReason; ///< of the failure; empty on success
    /// the revision is too old to watch from, or of an earlier era
    bool mHistoryExpired = false;
    /// time for which the store owed an answer when the call failed
    Duration mOverdue{};
  };

  /// Counts starts and stops; a coroutine started in an older generation ends
  /// itself.
  using Generation = std::uint64_t;

  [[nodiscard]] net::Awaitable<void> Run(Generation aGeneration);
  [[nodiscard]] net::Awaitable<SyncResult> List(Generation aGeneration);
  [[nodiscard]] net::Awaitable<SyncResult> Watch(Generation aGeneration,
                                                 StoreRevision aRevision,
                                                 bool aIsFirst);
  void Apply(const Changes& aChanges);
  /// Sets the revision of the copy and logs a new era.
  void SetRevision(const StoreRevision& aRevision);
  void Confirm(TimePoint aSentAt);
  [[nodiscard]] static SyncResult FailureOf(const CallResult& aResult,
                                            TimePoint aSentAt);
  void UpdateLostState(const SyncResult& aResult);
  [[nodiscard]] net::Awaitable<void> AwaitRetry(Generation aGeneration,
                                                Duration aBackoff);
  [[nodiscard]] Duration WithJitter(Duration aBackoff);

  Options mOptions;
  const StoreDialect& mDialect;
  StoreClient& mClient;
  Callbacks mCallbacks;
  Objects mObjects;
  std::optional<StoreRevision> mRevision; ///< of the copy
  bool mNeedsList = false; ///< the next call is a list, not a watch
  TimePoint mConfirmedAt;
  Generation mGeneration = 0;
  /// null before the first backoff
  std::shared_ptr<net::asio::steady_timer> mRetryTimer;
  bool mIsLost = false;
  std::minstd_rand mRandom{ std::random_device{}() };
};

} // namespace figslip::store
