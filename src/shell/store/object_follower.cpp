#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/store/object_follower.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace figslip::store {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;

/// Timeout of a list; a watch adds the time that the store may wait for a
/// change.
constexpr auto kCallTimeout = std::chrono::milliseconds(1'200);

/// Time after which a call that the store answers at once is sent again, as an
/// open connection may have fallen silent.
constexpr auto kResendAfter = std::chrono::milliseconds(500);

/// Wait of a watch that asks whether the store is back, or for its revision.
constexpr Duration kProbeWait = std::chrono::milliseconds(1);

std::string
DescribeFailure(const CallResult& aResult)
{
  return aResult.mOutcome == CallOutcome::Answered
           ? "status " + std::to_string(aResult.mStatus)
           : aResult.mReason;
}

std::string
TextOf(StoreEra aEra)
{
  return std::to_string(static_cast<std::int64_t>(aEra));
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
  if (mRetryTimer) {
    mRetryTimer->cancel();
  }
}

void
ObjectFollower::UpdateCopy(const std::function<void(Objects&)>& aChange,
                           const StoreRevision& aRevision,
                           TimePoint aConfirmedAt)
{
  assert(!mRevision || !IsBehind(aRevision, *mRevision));
  UpdateLostState({});
  SetRevision(aRevision);
  mNeedsList = false;
  if (aChange) {
    aChange(mObjects);
    mCallbacks.mOnObjects(mObjects);
  }
  Confirm(aConfirmedAt);
}

void
ObjectFollower::SetRevision(const StoreRevision& aRevision)
{
  if (mRevision && mRevision->Era() != aRevision.Era()) {
    log::Write(log::Level::Warning,
               "store_era_changed",
               { { "kind", std::string(NameOf(mOptions.mKind)) },
                 { "era", TextOf(aRevision.Era()) },
                 { "revision", std::to_string(aRevision.Number()) },
                 { "era_before", TextOf(mRevision->Era()) },
                 { "revision_before", std::to_string(mRevision->Number()) } });
  }
  mRevision = aRevision;
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
  Duration backoff = mOptions.mInitialBackoff;
  bool isFirst = true;
  while (aGeneration == mGeneration) {
    SyncResult result;
    const bool lists = !mRevision || mNeedsList || mOptions.mListsOnly;
    if (lists) {
      result = co_await List(aGeneration);
    } else {
      result = co_await Watch(aGeneration, *mRevision, isFirst);
    }
    if (aGeneration != mGeneration) {
      break;
    }
    if (std::exchange(isFirst, false) && mRevision) {
      // the copy came from elsewhere, and nobody has called the store since
      result.mOverdue =
        std::max(result.mOverdue, ReadBootClock() - mConfirmedAt);
    }
    UpdateLostState(result);
    if (result.mHistoryExpired) {
      mNeedsList = true;
    } else if (!result.mReason.empty()) {
      co_await AwaitRetry(aGeneration, backoff);
      backoff = std::min(backoff * 2, mOptions.mMaxBackoff);
    } else {
      backoff = mOptions.mInitialBackoff;
      if (mOptions.mCallInterval > Duration::zero()) {
        co_await net::Sleep(mOptions.mCallInterval);
      }
    }
  }
}

net::Awaitable<void>
ObjectFollower::AwaitRetry(Generation aGeneration, Duration aBackoff)
{
  bool mayRetry = false;
  while (!mayRetry && aGeneration == mGeneration) {
    const auto timer = std::make_shared<net::asio::steady_timer>(
      mClient.Executor(), WithJitter(aBackoff));
    mRetryTimer = timer;
    // cancellation by RetryNow ends the backoff like its expiry
    net::error_code ignored;
    co_await timer->async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    mayRetry = !mCallbacks.mMayRetry || mCallbacks.mMayRetry();
  }
}

Duration
ObjectFollower::WithJitter(Duration aBackoff)
{
  std::uniform_int_distribution<Duration::rep> distribution(
    aBackoff.count() / 2, aBackoff.count());
  return Duration(distribution(mRandom));
}

ObjectFollower::SyncResult
ObjectFollower::FailureOf(const CallResult& aResult, TimePoint aSentAt)
{
  // an ended connection or a refusal tells nothing of the time before it
  const auto overdue =
    aResult.mHasTimedOut
      ? std::min<Duration>(kCallTimeout, ReadBootClock() - aSentAt)
      : Duration::zero();
  return { .mReason = DescribeFailure(aResult), .mOverdue = overdue };
}

void
ObjectFollower::UpdateLostState(const SyncResult& aResult)
{
  const bool isLost = !aResult.mReason.empty();
  if (isLost && !mIsLost) {
    mCallbacks.mOnLost(aResult.mReason, ReadBootClock() - aResult.mOverdue);
  } else if (!isLost && mIsLost) {
    mCallbacks.mOnRegained();
  }
  mIsLost = isLost;
}

net::Awaitable<ObjectFollower::SyncResult>
ObjectFollower::List(Generation aGeneration)
{
  const auto sentAt = ReadBootClock();
  const std::string name = "list " + std::string(NameOf(mOptions.mKind));
  Objects objects;
  StoreRevision revision;
  std::string after;
  bool hasMore = true;
  while (hasMore) {
    auto request = mDialect.mList(mOptions.mKind, after);
    const auto pageSentAt = ReadBootClock();
    const auto answer = co_await mClient.Call(
      std::move(request), name, kCallTimeout, kResendAfter);
    if (aGeneration != mGeneration) {
      co_return SyncResult{};
    }
    if (answer.mOutcome != CallOutcome::Answered || answer.mStatus != kOk) {
      co_return FailureOf(answer, pageSentAt);
    }
    auto page = mDialect.mReadPage(answer.mHeaders, answer.mBody);
    if (!page) {
      co_return SyncResult{ .mReason =
                              error::JoinMessages(page.assume_error()) };
    }
    // later pages may be newer than the first; watching from the first page's
    // revision returns any change made in between
    const auto& pageRevision = page.assume_value().mRevision;
    if (after.empty()) {
      revision = pageRevision;
    } else if (pageRevision.Era() != revision.Era()) {
      co_return SyncResult{ .mReason = "the store's era changed in a list" };
    }
    hasMore =
      page.assume_value().mHasMore && !page.assume_value().mObjects.empty();
    const auto& last = page.assume_value().mLastName;
    if (hasMore && (last.empty() || last == after)) {
      co_return SyncResult{ .mReason = "a page has no name to continue from" };
    }
    after = last;
    for (auto& object : page.assume_value().mObjects) {
      objects.insert_or_assign(object.mName, std::move(object));
    }
  }
  if (mRevision && IsBehind(revision, *mRevision)) {
    co_return SyncResult{ .mReason =
                            "list has an older revision than the local copy" };
  }
  mObjects = std::move(objects);
  SetRevision(revision);
  mNeedsList = false;
  mCallbacks.mOnObjects(mObjects);
  Confirm(sentAt);
  co_return SyncResult{};
}

net::Awaitable<ObjectFollower::SyncResult>
ObjectFollower::Watch(Generation aGeneration,
                      StoreRevision aRevision,
                      bool aIsFirst)
{
  const auto sentAt = ReadBootClock();
  const std::string name = "watch " + std::string(NameOf(mOptions.mKind));
  const bool waits = !mIsLost && !aIsFirst;
  const auto wait = waits ? mOptions.mWatchTimeout : kProbeWait;
  auto request = mDialect.mWatch(mOptions.mKind, aRevision, wait);
  const auto timeout =
    std::chrono::duration_cast<StoreClient::Milliseconds>(wait) + kCallTimeout;
  const auto resendAfter =
    mIsLost ? std::optional<StoreClient::Milliseconds>(kResendAfter)
            : std::nullopt;
  const auto answer =
    co_await mClient.Call(std::move(request), name, timeout, resendAfter);
  if (aGeneration != mGeneration) {
    co_return SyncResult{};
  }
  if (answer.mOutcome == CallOutcome::Answered && answer.mStatus == kGone) {
    co_return SyncResult{ .mHistoryExpired = true };
  }
  if (answer.mOutcome != CallOutcome::Answered || answer.mStatus != kOk) {
    // a list comes in pages, the changes do not
    mNeedsList = mNeedsList || answer.mIsOversized;
    co_return FailureOf(answer, sentAt);
  }
  const auto changes = mDialect.mReadChanges(answer.mHeaders, answer.mBody);
  if (!changes) {
    mNeedsList = true;
    co_return SyncResult{ .mReason =
                            error::JoinMessages(changes.assume_error()) };
  }
  const auto era = changes.assume_value().mRevision.Era();
  if (era < aRevision.Era()) {
    co_return SyncResult{ .mReason = "watch response is of an earlier era" };
  }
  if (era > aRevision.Era()) {
    // the store took the number for a revision of its own era, so the changes
    // are not those after this copy
    co_return SyncResult{ .mHistoryExpired = true };
  }
  Apply(changes.assume_value());
  Confirm(sentAt);
  co_return SyncResult{};
}

void
ObjectFollower::Apply(const Changes& aChanges)
{
  for (const auto& change : aChanges.mChanges) {
    const auto existing = mObjects.find(change.mObject.mName);
    // without a revision it counts as new
    const bool isOld = existing != mObjects.end() &&
                       change.mObject.mFindings.empty() &&
                       existing->second.mRevision > change.mObject.mRevision;
    if (isOld) {
      continue;
    }
    if (change.mDeleted) {
      mObjects.erase(change.mObject.mName);
    } else {
      mObjects.insert_or_assign(change.mObject.mName, change.mObject);
    }
  }
  mRevision =
    std::max(mRevision.value_or(aChanges.mRevision), aChanges.mRevision);
  if (!aChanges.mChanges.empty()) {
    mCallbacks.mOnObjects(mObjects);
  }
}

} // namespace figslip::store
