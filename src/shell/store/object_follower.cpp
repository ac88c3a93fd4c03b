#include <figslip/net/sleep.hpp>
#include <figslip/store/object_follower.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <cassert>

namespace figslip::store {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;

/// Time for the answer of a call that does not wait.
constexpr auto kCallLimit = std::chrono::milliseconds(1'200);

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

void
ObjectFollower::Start()
{
  ++mGeneration;
  net::asio::co_spawn(
    mClient.Executor(), Run(mGeneration), net::asio::detached);
}

void
ObjectFollower::RetryNow()
{
  if (mRetry) {
    mRetry->cancel();
  }
}

void
ObjectFollower::Take(Objects aObjects,
                     std::int64_t aRevision,
                     TimePoint aConfirmedAt,
                     bool aHasChanged)
{
  assert(aRevision >= mRevision.value_or(0));
  Note({});
  mRevision = aRevision;
  mHistoryGone = false;
  if (aHasChanged) {
    mObjects = std::move(aObjects);
    mCallbacks.mOnObjects(mObjects);
  }
  Confirm(aConfirmedAt);
}

void
ObjectFollower::Confirm(TimePoint aSentAt)
{
  mConfirmedAt = std::max(mConfirmedAt, aSentAt);
  mCallbacks.mOnConfirmed(mConfirmedAt);
}

net::Awaitable<void>
ObjectFollower::Run(Generation aGeneration)
{
  Duration pause = mOptions.mRetryPause;
  while (aGeneration == mGeneration) {
    Step step;
    const bool lists = !mRevision || mHistoryGone || mOptions.mLists;
    if (lists) {
      step = co_await List(aGeneration);
    } else {
      step = co_await Watch(aGeneration, *mRevision);
    }
    if (aGeneration != mGeneration) {
      break;
    }
    Note(step);
    if (step.mHistoryGone) {
      mHistoryGone = true;
    } else if (!step.mReason.empty()) {
      co_await AwaitRetry(aGeneration, pause);
      pause = std::min(pause * 2, mOptions.mMaxRetryPause);
    } else {
      pause = mOptions.mRetryPause;
      if (mOptions.mPause > Duration::zero()) {
        co_await net::Sleep(mOptions.mPause);
      }
    }
  }
}

net::Awaitable<void>
ObjectFollower::AwaitRetry(Generation aGeneration, Duration aPause)
{
  bool mayRetry = false;
  while (!mayRetry && aGeneration == mGeneration) {
    const auto timer = std::make_shared<net::asio::steady_timer>(
      mClient.Executor(), Shortened(aPause));
    mRetry = timer;
    net::error_code ignored; // a cancelled pause is over
    co_await timer->async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    mayRetry = !mCallbacks.mMayRetry || mCallbacks.mMayRetry();
  }
}

Duration
ObjectFollower::Shortened(Duration aPause)
{
  std::uniform_int_distribution<Duration::rep> any(aPause.count() / 2,
                                                   aPause.count());
  return Duration(any(mRandom));
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
ObjectFollower::List(Generation aGeneration)
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
    if (aGeneration != mGeneration) {
      co_return Step{};
    }
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
  if (revision < mRevision.value_or(0)) {
    co_return Step{ .mReason = "a list older than the copy" };
  }
  mObjects = std::move(objects);
  mRevision = revision;
  mHistoryGone = false;
  mCallbacks.mOnObjects(mObjects);
  Confirm(sentAt);
  co_return Step{};
}

net::Awaitable<ObjectFollower::Step>
ObjectFollower::Watch(Generation aGeneration, std::int64_t aRevision)
{
  const auto sentAt = ReadBootClock();
  const std::string name = "watch " + std::string(NameOf(mOptions.mKind));
  auto request = mDialect.mWatch(mOptions.mKind, aRevision, mOptions.mWait);
  const auto limit =
    std::chrono::duration_cast<StoreClient::Milliseconds>(mOptions.mWait) +
    kCallLimit;
  const auto answer = co_await mClient.Call(std::move(request), name, limit);
  if (aGeneration != mGeneration) {
    co_return Step{};
  }
  if (answer.mEnd == CallEnd::Answered && answer.mStatus == kGone) {
    co_return Step{ .mHistoryGone = true };
  }
  if (answer.mEnd != CallEnd::Answered || answer.mStatus != kOk) {
    co_return Step{ .mReason = Unexpected(answer) };
  }
  const auto changes = mDialect.mReadChanges(answer.mBody);
  if (!changes) {
    mHistoryGone = true;
    co_return Step{ .mReason = error::JoinMessages(changes.assume_error()) };
  }
  Apply(changes.assume_value());
  Confirm(sentAt);
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
