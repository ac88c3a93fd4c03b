#include <figslip/log/log.hpp>
#include <figslip/net/listener.hpp>
#include <figslip/quarantine/record_batch.hpp>
#include <figslip/relay/relay_server.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace figslip::relay {

namespace {

/// Longest time that a poll may ask to wait.
constexpr Duration kMaxWait = std::chrono::seconds(5);

/// Longest poll of another instance, bytes.
constexpr std::size_t kMaxPollBytes = 16'384;

/// Objects of a whole copy from which it counts as large, and large copies that
/// are sent at the same time. Otherwise the instances of a large domain, which
/// start together, share the link of one of them until all of them time out.
constexpr std::size_t kLargeCopy = 500;
constexpr int kMaxLargeAnswers = 2;

/// Followers of other failure domains whose polls wait at the same time. After
/// an outage all instances look for the first one that has the store back; its
/// link has to carry its own domain as well.
constexpr int kMaxForeignPolls = 32;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

bool
IsLarge(const PollAnswer& aAnswer)
{
  return std::ranges::any_of(aAnswer.mKinds, [](const KindNews& aNews) {
    return aNews.mDelta.mIsWhole && aNews.mDelta.mObjects.size() >= kLargeCopy;
  });
}

void
LogYielded(const admission::YieldedConnection& aConnection)
{
  log::Write(
    log::Level::Warning,
    "connection_yielded",
    { { "place", "peers" },
      { "phase",
        aConnection.mIsNew ? "new" : std::string(NameOf(aConnection.mPhase)) },
      { "short_of", std::string(NameOf(aConnection.mShortage)) },
      { "address", aConnection.mAddress },
      { "bytes", std::to_string(aConnection.mBytes) } });
}

} // namespace

store::ObjectFollower&
FollowerOf(const RelayServer::Followers& aFollowers, store::ObjectKind aKind)
{
  const auto found = std::ranges::find(
    aFollowers, aKind, [](const auto& aFollower) { return aFollower->Kind(); });
  assert(found != aFollowers.end());
  return **found;
}

RelayServer::RelayServer(net::asio::io_context& aContext,
                         const Followers& aFollowers,
                         std::uint64_t aEpoch)
  : mContext(aContext)
  , mFollowers(aFollowers)
  , mEpoch(aEpoch)
{
  for (const auto kind : kRelayedKinds) {
    mLogs.emplace(kind, ChangeLog({}));
  }
}

Result<void>
RelayServer::Start(const net::Endpoint& aEndpoint,
                   const admission::ConnectionLimits& aLimits)
{
  const auto budget = std::make_shared<admission::ConnectionBudget>(
    admission::ConnectionBudget::Options{ .mMaxBytes = aLimits.mPeerBytes,
                                          .mMaxDescriptors =
                                            aLimits.mPeerDescriptors,
                                          .mRunDescriptors = 0,
                                          .mOnYielded = LogYielded });
  return net::Listen(
    mContext,
    aEndpoint,
    aLimits.mBacklog,
    budget,
    [this](Connection aConnection) { return Serve(std::move(aConnection)); });
}

void
RelayServer::SetDirect(bool aIsDirect)
{
  if (aIsDirect != mIsDirect) {
    mIsDirect = aIsDirect;
    Wake();
  }
}

bool
RelayServer::IsCurrent() const
{
  return mIsDirect &&
         std::ranges::all_of(mFollowers, [](const auto& aFollower) {
           return aFollower->Revision() && !aFollower->IsLost();
         });
}

void
RelayServer::OnNews(const store::ObjectFollower& aFollower)
{
  const auto revision = aFollower.Revision();
  const bool hasChanged =
    revision && mLogs.at(aFollower.Kind()).Update(aFollower.All(), *revision);
  // the lease on keys of the others follows from the configuration's
  const bool isLease = aFollower.Kind() == store::ObjectKind::Configuration;
  if (hasChanged || isLease || aFollower.IsLost()) {
    Wake();
  }
}

void
RelayServer::Wake()
{
  ++mNews;
  for (const auto& timer : std::exchange(mWaiting, {})) {
    timer->cancel();
  }
}

net::Awaitable<void>
RelayServer::Serve(Connection aConnection)
{
  ingress::CallerLimits limits;
  limits.mMaxBodyBytes = quarantine::kMaxRecordMessageBytes;
  bool goesOn = true;
  while (goesOn) {
    const auto end = co_await aConnection->Read(limits);
    if (end == net::ReadEnd::BodyTooLarge && mOnRecords) {
      const auto status = mOnRecords({});
      std::ignore = co_await aConnection->Respond(status, {}, {}, true);
      co_await aConnection->CloseGracefully();
      co_return;
    }
    if (end != net::ReadEnd::Whole || !aConnection->BeginRun()) {
      break;
    }
    goesOn = co_await Answer(aConnection);
  }
  aConnection->Abort();
}

net::Awaitable<bool>
RelayServer::Answer(Connection aConnection)
{
  const auto& request = aConnection->Request();
  if (request.mTarget == kRecordsPath && mOnRecords) {
    const auto status = mOnRecords(request.mBody);
    co_return co_await aConnection->Respond(status, {}, {}, false);
  }
  if (request.mBody.size() > kMaxPollBytes) {
    co_return false;
  }
  co_return co_await AnswerPoll(std::move(aConnection));
}

net::Awaitable<bool>
RelayServer::AnswerPoll(Connection aConnection)
{
  const auto arrivedAt = ReadBootClock();
  const auto poll = DecodePoll(aConnection->Request().mBody);
  unsigned status = kBadRequest;
  std::string body;
  bool isLarge = false;
  if (poll) {
    const auto answer = co_await AwaitNews(poll.assume_value(), arrivedAt);
    status = kOk;
    isLarge = IsLarge(answer);
    body = EncodeAnswer(answer);
  } else {
    log::Write(log::Level::Warning,
               "relay_poll_unreadable",
               { { "findings", error::JoinMessages(poll.assume_error()) } });
  }
  const net::Headers headers = {
    { .mName = "Content-Type",
      .mValue = "application/vnd.apache.thrift.compact" }
  };
  mLargeAnswers += isLarge ? 1 : 0;
  const bool goesOn =
    co_await aConnection->Respond(status, headers, body, false);
  mLargeAnswers -= isLarge ? 1 : 0;
  co_return goesOn;
}

net::Awaitable<PollAnswer>
RelayServer::AwaitNews(Poll aPoll, TimePoint aArrivedAt)
{
  const auto news = mNews;
  const auto until = aArrivedAt + std::min(aPoll.mWait, kMaxWait);
  const auto isKnown = [&](const PollAnswer& aAnswer) {
    return aAnswer.mIsDirect &&
           std::ranges::none_of(aAnswer.mKinds, [](const KindNews& aNews) {
             return aNews.mDelta.HasNews();
           });
  };
  auto answer = AnswerTo(aPoll, aArrivedAt);
  auto now = ReadBootClock();
  mForeignPolls += aPoll.mIsForeign ? 1 : 0;
  while (isKnown(answer) && news == mNews && now < until) {
    const auto timer =
      std::make_shared<net::asio::steady_timer>(mContext, until - now);
    mWaiting.push_back(timer);
    net::error_code ignored; // news cancel the timer
    co_await timer->async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    now = ReadBootClock();
  }
  mForeignPolls -= aPoll.mIsForeign ? 1 : 0;
  answer = AnswerTo(aPoll, aArrivedAt);
  co_return answer;
}

std::optional<Delta>
RelayServer::NewsFor(const Poll& aPoll, store::ObjectKind aKind) const
{
  const auto& log = mLogs.at(aKind);
  const auto sequence = aPoll.mSequences.find(aKind);
  if (aPoll.mEpoch == mEpoch && sequence != aPoll.mSequences.end()) {
    return log.Since(sequence->second);
  }
  const auto revision = aPoll.mRevisions.find(aKind);
  if (revision != aPoll.mRevisions.end()) {
    if (auto delta = log.SinceRevision(revision->second)) {
      return delta;
    }
  }
  const bool isBusy =
    log.Size() >= kLargeCopy && mLargeAnswers >= kMaxLargeAnswers;
  return isBusy ? std::nullopt : std::optional(log.Since(0));
}

PollAnswer
RelayServer::AnswerTo(const Poll& aPoll, TimePoint aArrivedAt) const
{
  PollAnswer answer{
    .mEpoch = mEpoch, .mIsDirect = false, .mKinds = {}, .mSource = {}
  };
  answer.mIsDirect = IsCurrent();
  const bool isNewGuest = aPoll.mIsForeign && aPoll.mEpoch != mEpoch;
  if (isNewGuest && mForeignPolls >= kMaxForeignPolls) {
    answer.mIsDirect = false;
    return answer;
  }
  if (!answer.mIsDirect) {
    answer.mSource = mSource;
    return answer;
  }
  for (const auto& follower : mFollowers) {
    auto news = NewsFor(aPoll, follower->Kind());
    if (!news) {
      return {
        .mEpoch = mEpoch, .mIsDirect = false, .mKinds = {}, .mSource = {}
      };
    }
    answer.mKinds.push_back(
      { .mKind = follower->Kind(),
        .mDelta = std::move(*news),
        .mStoreRevision = follower->Revision().value_or(store::StoreRevision{}),
        .mConfirmed = follower->ConfirmedAt() - aArrivedAt });
  }
  return answer;
}

} // namespace figslip::relay
