#include <figslip/net/sleep.hpp>
#include <figslip/store/object_follower.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>

namespace figslip::store {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;

/// Time for the answer of a call that does not wait.
constexpr auto kCallLimit = std::chrono::milliseconds(1'200);

/// Pauses between attempts while the store does not answer.
constexpr auto kFirstPause = std::chrono::milliseconds(80);
constexpr auto kLongestPause = std::chrono::milliseconds(640);

std::string
Unexpected(const CallResult& aResult)
{
  return aResult.mEnd == CallEnd::Answered
           ? "status " + std::to_string(aResult.mStatus)
           : aResult.mReason;
}

} // namespace

ObjectFollower::ObjectFollower(Options aOptions,
                               const StoreDialect& aDialect,
                               StoreClient& aClient,
                               Callbacks aCallbacks)
  : mOptions(aOptions)
  , mDialect(aDialect)
  , mClient(aClient)
  , mCallbacks(std::move(aCallbacks))
{
}

net::Awaitable<void>
ObjectFollower::Run()
{
  Duration pause = kFirstPause;
  while (true) {
    Step step;
    if (const auto revision = mRevision; revision && !mOptions.mLists) {
      step = co_await Watch(*revision);
    } else {
      step = co_await List();
    }
    Note(step);
    if (step.mHistoryGone) {
      mRevision.reset();
    } else if (!step.mReason.empty()) {
      co_await net::Sleep(pause);
      pause = std::min<Duration>(pause * 2, kLongestPause);
    } else {
      pause = kFirstPause;
      if (mOptions.mPause > Duration::zero()) {
        co_await net::Sleep(mOptions.mPause);
      }
    }
  }
}

void
ObjectFollower::Note(const Step& aStep)
{
  const bool isLost = !aStep.mReason.empty();
  if (isLost && !mIsLost) {
    mCallbacks.mOnLost(aStep.mReason);
  } else if (!isLost && mIsLost) {
    mCallbacks.mOnRegained();
  }
  mIsLost = isLost;
}

net::Awaitable<ObjectFollower::Step>
ObjectFollower::List()
{
  const auto sentAt = ReadBootClock();
  const std::string name = "list " + std::string(NameOf(mOptions.mKind));
  Objects objects;
  std::int64_t revision = 0;
  std::string after;
  bool hasMore = true;
  while (hasMore) {
    auto request = mDialect.mList(mOptions.mKind, after);
    const auto answer =
      co_await mClient.Call(std::move(request), name, kCallLimit);
    if (answer.mEnd != CallEnd::Answered || answer.mStatus != kOk) {
      co_return Step{ .mReason = Unexpected(answer) };
    }
    auto page = mDialect.mReadPage(answer.mBody);
    if (!page) {
      co_return Step{ .mReason = error::JoinMessages(page.assume_error()) };
    }
    // the changes since the first page come again with the watch
    revision = revision == 0 ? page.assume_value().mRevision : revision;
    hasMore =
      page.assume_value().mHasMore && !page.assume_value().mObjects.empty();
    for (auto& object : page.assume_value().mObjects) {
      after = object.mName;
      objects.insert_or_assign(object.mName, std::move(object));
    }
  }
  mObjects = std::move(objects);
  mRevision = revision;
  mCallbacks.mOnObjects(mObjects);
  mCallbacks.mOnConfirmed(sentAt);
  co_return Step{};
}

net::Awaitable<ObjectFollower::Step>
ObjectFollower::Watch(std::int64_t aRevision)
{
  const auto sentAt = ReadBootClock();
  const std::string name = "watch " + std::string(NameOf(mOptions.mKind));
  auto request = mDialect.mWatch(mOptions.mKind, aRevision, mOptions.mWait);
  const auto limit =
    std::chrono::duration_cast<StoreClient::Milliseconds>(mOptions.mWait) +
    kCallLimit;
  const auto answer = co_await mClient.Call(std::move(request), name, limit);
  if (answer.mEnd == CallEnd::Answered && answer.mStatus == kGone) {
    co_return Step{ .mHistoryGone = true };
  }
  if (answer.mEnd != CallEnd::Answered || answer.mStatus != kOk) {
    co_return Step{ .mReason = Unexpected(answer) };
  }
  const auto changes = mDialect.mReadChanges(answer.mBody);
  if (!changes) {
    mRevision.reset();
    co_return Step{ .mReason = error::JoinMessages(changes.assume_error()) };
  }
  Apply(changes.assume_value());
  mCallbacks.mOnConfirmed(sentAt);
  co_return Step{};
}

void
ObjectFollower::Apply(const Changes& aChanges)
{
  for (const auto& change : aChanges.mChanges) {
    const auto known = mObjects.find(change.mObject.mName);
    const bool isOld = known != mObjects.end() &&
                       known->second.mRevision > change.mObject.mRevision;
    if (isOld) {
      continue;
    }
    if (change.mDeleted) {
      mObjects.erase(change.mObject.mName);
    } else {
      mObjects.insert_or_assign(change.mObject.mName, change.mObject);
    }
  }
  mRevision = std::max(mRevision.value_or(0), aChanges.mRevision);
  if (!aChanges.mChanges.empty()) {
    mCallbacks.mOnObjects(mObjects);
  }
}

} // namespace figslip::store
