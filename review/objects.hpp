#pragma once

#include "links.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>

namespace review {

/// @brief Plays the platform's store: objects by kind and name, conditional
/// writes, lists, watches, and drills after which a copy takes its place.
///
/// An entry of a worker changes, with a new revision, when more than its `seq`
/// changes.
class Store
{
public:
  using Json = nlohmann::json;

  /// Objects at a moment.
  struct Copy
  {
    std::map<std::string, std::map<std::string, Json>> mObjects;
    std::int64_t mRevision = 0;
  };

  explicit Store(const std::string& aAddress);

  [[nodiscard]] int Port() const { return mServer->Port(); }

  /// @brief Writes the spec of an object as the operator or a worker does.
  /// @return the revision of the object, when the store has accepted it;
  ///         0: the store is away
  std::int64_t Put(const std::string& aKind,
                   const std::string& aName,
                   const Json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  [[nodiscard]] std::int64_t Revision();
  [[nodiscard]] Json Get(const std::string& aKind, const std::string& aName);
  [[nodiscard]] std::vector<std::string> Names(const std::string& aKind);

  [[nodiscard]] Copy TakeCopy();
  /// @brief Goes away: resets all connections, and new ones.
  void GoAway() { mServer->SetUp(false); }
  /// @brief Loses the answers of the next removals by the system, and executes
  /// them that much later.
  void DelayRemovals(int aCount, milliseconds aTime)
  {
    mRemovalDelay = aTime;
    mDelayedRemovals = aCount;
  }
  /// @brief Counts the calls that changed something, or would have.
  [[nodiscard]] int Writes() const { return mWrites; }
  /// @brief Returns with all that it had.
  void Return() { mServer->SetUp(true); }
  /// @brief Returns with a copy; `Store-Era` rises by one.
  void ReturnWith(const Copy& aCopy);

private:
  struct Event
  {
    std::string mKind;
    std::int64_t mRevision = 0;
    Json mObject;
    bool mIsDeleted = false;
  };

  struct Answer
  {
    int mStatus = 200;
    Json mBody;
  };

  [[nodiscard]] std::string Serve(const Message& aRequest);
  [[nodiscard]] Answer List(const std::string& aKind);
  [[nodiscard]] Answer Watch(const std::string& aKind,
                             std::int64_t aFrom,
                             milliseconds aWait,
                             std::unique_lock<std::mutex>& aLock);
  [[nodiscard]] Answer Write(const Message& aRequest,
                             const std::string& aKind,
                             const std::string& aName,
                             bool aIsStatus);
  void Note(const std::string& aKind, Json& aObject, bool aIsDeleted);

  std::mutex mMutex;
  std::condition_variable mChanged;
  Copy mState;
  std::vector<Event> mEvents;
  int mEra = 1;
  std::atomic<milliseconds> mRemovalDelay{ milliseconds(0) };
  std::atomic<int> mDelayedRemovals{ 0 };
  std::atomic<int> mWrites{ 0 };
  std::unique_ptr<Server> mServer;
};

} // namespace review
