#pragma once

#include <figslip/store/store_client.hpp>
#include <figslip/store/store_dialect.hpp>
#include <figslip/time/time_point.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::store {

/// @brief Keeps a copy of all objects of one kind.
///
/// Lists the kind, then watches it. A lost history or a broken list begins
/// anew; a call without an answer is made again on another connection.
class ObjectFollower
{
public:
  using Objects = std::map<std::string, Object, std::less<>>;

  struct Options
  {
    ObjectKind mKind = ObjectKind::Configuration;
    Duration mWait = std::chrono::seconds(1); ///< of a watch without news
    Duration mPause{}; ///< between two calls, to gather changes
    /// lists again and again in place of watching; a list proves that the copy
    /// is as new as its sending, a watch only when the next one has returned
    bool mLists = false;
  };

  struct Callbacks
  {
    /// called after each change
    std::function<void(const Objects&)> mOnObjects;
    /// called when the copy is known to be no older than a time
    std::function<void(TimePoint aSentAt)> mOnConfirmed;
    std::function<void(const std::string& aReason)> mOnLost;
    std::function<void()> mOnRegained;
  };

  ObjectFollower(Options aOptions,
                 const StoreDialect& aDialect,
                 StoreClient& aClient,
                 Callbacks aCallbacks);

  /// @brief Follows until the process ends.
  [[nodiscard]] net::Awaitable<void> Run();

private:
  /// Holds how a list or watch ended; no reason: it succeeded.
  struct Step
  {
    std::string mReason;
    bool mHistoryGone = false;
  };

  [[nodiscard]] net::Awaitable<Step> List();
  [[nodiscard]] net::Awaitable<Step> Watch(std::int64_t aRevision);
  void Apply(const Changes& aChanges);
  void Note(const Step& aStep);

  Options mOptions;
  const StoreDialect& mDialect;
  StoreClient& mClient;
  Callbacks mCallbacks;
  Objects mObjects;
  std::optional<std::int64_t> mRevision; ///< none: a list is needed
  bool mIsLost = false;
};

} // namespace figslip::store
