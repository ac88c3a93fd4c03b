#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/relay/relay_follower.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>
#include <utility>

namespace figslip::relay {

namespace {

using std::chrono::milliseconds;
using store::ObjectKind;

/// Time between looks for an instance to follow, while the store is followed.
constexpr auto kLook = milliseconds(200);

/// Time at the start for the list of the instances.
constexpr Duration kListLimit = milliseconds(300);
constexpr auto kListPoll = milliseconds(5);

/// Time at the start to find an instance that has a copy. Those that start
/// together have none yet; the first in rank has it after some ms.
constexpr Duration kFindLimit = milliseconds(150);
constexpr auto kFindPoll = milliseconds(15);
constexpr auto kFindAnswerLimit = milliseconds(50);

/// Longest wait of a poll without news.
constexpr Duration kLongestWait = milliseconds(500);
constexpr Duration kShortestWait = milliseconds(40);

/// Time for the answer of a poll beyond its wait.
constexpr auto kAnswerLimit = milliseconds(300);

/// Shortest time for the answer of a possible successor of the source.
constexpr auto kSuccessorAnswerLimit = milliseconds(50);

constexpr unsigned kOk = 200;

std::optional<net::Endpoint>
ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  net::Endpoint endpoint{ .mAddress = aAddress.substr(0, colon) };
  const auto* const end = aAddress.data() + aAddress.size();
  const auto read =
    std::from_chars(aAddress.data() + colon + 1, end, endpoint.mPort);
  return read.ec == std::errc{} && read.ptr == end ? std::optional(endpoint)
                                                   : std::nullopt;
}

void
Apply(const Delta& aDelta, store::ObjectFollower::Objects& aObjects)
{
  if (aDelta.mIsWhole) {
    aObjects.clear();
  }
  for (const auto& name : aDelta.mRemoved) {
    aObjects.erase(name);
  }
  for (const auto& object : aDelta.mObjects) {
    aObjects.insert_or_assign(object.mName, object);
  }
}

} // namespace

RelayFollower::RelayFollower(net::asio::io_context& aContext,
                             const Followers& aFollowers,
                             RelayServer& aServer,
                             metrics::Registry& aMetrics,
                             SourceChoice::Options aOptions)
  : mContext(aContext)
  , mFollowers(aFollowers)
  , mServer(aServer)
  , mFailureDomain(aOptions.mFailureDomain)
  , mChoice(std::move(aOptions))
  , mClient(aContext.get_executor(), {}, aMetrics, "figslip_relay_calls_total")
{
}

void
RelayFollower::Start()
{
  net::asio::co_spawn(mContext, Run(), net::asio::detached);
}

std::optional<RelayFollower::Source>
RelayFollower::FollowedSource() const
{
  if (!mSource || mChoice.IsWithoutSource()) {
    return std::nullopt;
  }
  return Source{ .mProcess = *mSource + "." + std::to_string(mSourceEpoch),
                 .mEndpoint = mSourceEndpoint,
                 .mFailureDomain = mSourceDomain };
}

std::string
RelayFollower::LastSource() const
{
  return mSource ? *mSource + "." + std::to_string(mSourceEpoch)
                 : std::string();
}

void
RelayFollower::OnPeers(const std::vector<Peer>& aPeers)
{
  mChoice.OnPeers(aPeers);
}

void
RelayFollower::StopServing()
{
  mIsServing = false;
  mServer.SetDirect(false);
}

net::Awaitable<void>
RelayFollower::FindInstances()
{
  auto& shared = FollowerOf(mFollowers, ObjectKind::Shared);
  shared.Start();
  const auto until = ReadBootClock() + kListLimit;
  while (!shared.Revision() && ReadBootClock() < until) {
    co_await net::Sleep(kListPoll);
  }
}

net::Awaitable<void>
RelayFollower::Run()
{
  co_await FindInstances();
  const auto mayFindUntil = ReadBootClock() + kFindLimit;
  while (true) {
    const auto now = ReadBootClock();
    // without a copy yet, other instances are asked for a short time only
    const bool mayAsk = HasCopy() || now < mayFindUntil;
    SourceStep step = FollowStore{ "no instance has a copy yet" };
    if (mayAsk) {
      step = mChoice.Next(State(), now);
    }
    if (const auto* const store = std::get_if<FollowStore>(&step)) {
      TurnToStore(std::string(store->mReason));
      co_await net::Sleep(kLook);
      continue;
    }
    if (const auto* const wait = std::get_if<AwaitSuccessor>(&step)) {
      co_await net::Sleep(wait->mUntil - now);
      continue;
    }
    const auto ask = std::get<AskInstance>(step);
    const auto failure = co_await Ask(ask);
    if (!failure) {
      mChoice.OnAnswered(ask.mPeer, ReadBootClock());
      mServer.SetSource(ask.mPeer.mInstance);
      continue;
    }
    const bool isStarting =
      !HasCopy() && failure->mKind == SourceFailure::NoCopy;
    if (isStarting) {
      co_await net::Sleep(kFindPoll);
      continue;
    }
    OnFailed(ask.mPeer, *failure);
  }
}

void
RelayFollower::OnFailed(const Peer& aPeer, const Failure& aFailure)
{
  const auto age =
    HasCopy() ? std::to_string(CopyAge() / milliseconds(1)) : std::string();
  // an instance without a copy is asked again and again
  auto& logged = mLoggedFailures[aPeer.mInstance];
  if (std::exchange(logged, aFailure.mReason) != aFailure.mReason) {
    log::Write(log::Level::Info,
               "source_failed",
               { { "source", aPeer.mInstance },
                 { "reason", aFailure.mReason },
                 // empty: no copy yet
                 { "copy_age_ms", age } });
  }
  mChoice.OnFailed(
    aPeer.mInstance, aFailure.mKind, ReadBootClock(), aFailure.mFollowed);
  if (mChoice.IsWithoutSource()) {
    mServer.SetSource({});
  }
  if (HasCopy() && CopyAge() > kMaxCopyAge) {
    TurnToStore(aFailure.mReason);
  }
}

net::Awaitable<std::optional<RelayFollower::Failure>>
RelayFollower::Ask(AskInstance aStep)
{
  const auto& peer = aStep.mPeer;
  const auto endpoint = ParseEndpoint(peer.mAddress);
  if (!endpoint) {
    Failure failure{ .mKind = SourceFailure::Unreachable,
                     .mReason = "no address: " + peer.mAddress,
                     .mFollowed = {} };
    co_return failure;
  }
  if (mClientPeer != peer.mInstance + "@" + peer.mAddress) {
    mClientPeer = peer.mInstance + "@" + peer.mAddress;
    mClient.SetEndpoint(*endpoint);
    mEpoch = 0;
    mSequences.clear();
  }
  // the first answer of a process comes at once
  Poll poll{ .mEpoch = mEpoch,
             .mSequences = mSequences,
             .mRevisions = {},
             .mWait = mSequences.empty() ? Duration::zero() : WaitOf(),
             .mIsForeign = peer.mFailureDomain != mFailureDomain };
  for (const auto& follower : mFollowers) {
    if (const auto revision = follower->Revision()) {
      poll.mRevisions[follower->Kind()] = *revision;
    }
  }
  net::RequestMessage request{ .mMethod = "POST",
                               .mTarget = "/v1/relay",
                               .mHeaders = {},
                               .mBody = EncodePoll(poll) };
  const auto limit = TimeoutOf(aStep, poll);
  const auto sentAt = ReadBootClock();
  const auto result = co_await mClient.Call(std::move(request), "poll", limit);
  Failure failure{ .mKind = SourceFailure::Unreachable,
                   .mReason = {},
                   .mFollowed = {} };
  if (result.mOutcome != store::CallOutcome::Answered) {
    failure.mReason = result.mReason;
    co_return failure;
  }
  if (result.mStatus != kOk) {
    failure.mReason = "status " + std::to_string(result.mStatus);
    co_return failure;
  }
  const auto answer = DecodeAnswer(result.mBody);
  if (!answer) {
    failure.mReason = error::JoinMessages(answer.assume_error());
    co_return failure;
  }
  const auto refusal = Take(peer, answer.assume_value(), sentAt);
  if (!refusal) {
    co_return std::nullopt;
  }
  failure = { .mKind = SourceFailure::NoCopy,
              .mReason = *refusal,
              .mFollowed = answer.assume_value().mSource };
  co_return failure;
}

milliseconds
RelayFollower::TimeoutOf(const AskInstance& aStep, const Poll& aPoll) const
{
  if (!HasCopy()) {
    return kFindAnswerLimit;
  }
  const auto usual =
    std::chrono::duration_cast<milliseconds>(aPoll.mWait) + kAnswerLimit;
  if (!aStep.mUntil) {
    return usual;
  }
  const auto left =
    std::chrono::duration_cast<milliseconds>(*aStep.mUntil - ReadBootClock());
  return std::clamp(left, kSuccessorAnswerLimit, kAnswerLimit);
}

std::optional<std::string>
RelayFollower::Check(const PollAnswer& aAnswer, TimePoint aSentAt) const
{
  if (!aAnswer.mIsDirect) {
    return "it does not follow the store itself";
  }
  const auto now = ReadBootClock();
  for (const auto& follower : mFollowers) {
    const auto news =
      std::ranges::find(aAnswer.mKinds, follower->Kind(), &KindNews::mKind);
    if (news == aAnswer.mKinds.end()) {
      return "a kind is missing";
    }
    const auto revision = follower->Revision();
    if (revision && store::IsBehind(news->mStoreRevision, *revision)) {
      return "its copy is older";
    }
    const bool isLease = follower->Kind() == ObjectKind::Configuration;
    if (isLease && now - (aSentAt + news->mConfirmed) > kMaxCopyAge) {
      return "its copy was confirmed too long ago";
    }
  }
  return std::nullopt;
}

std::optional<std::string>
RelayFollower::Take(const Peer& aPeer,
                    const PollAnswer& aAnswer,
                    TimePoint aSentAt)
{
  if (auto failure = Check(aAnswer, aSentAt)) {
    return failure;
  }
  FollowPeer(aPeer, aAnswer.mEpoch);
  mEpoch = aAnswer.mEpoch;
  const auto now = ReadBootClock();
  for (const auto& follower : mFollowers) {
    const auto news =
      std::ranges::find(aAnswer.mKinds, follower->Kind(), &KindNews::mKind);
    mSequences[news->mKind] = news->mDelta.mSequence;
    const auto apply = [&](store::ObjectFollower::Objects& aObjects) {
      Apply(news->mDelta, aObjects);
    };
    follower->UpdateCopy(
      news->mDelta.HasNews()
        ? std::function<void(store::ObjectFollower::Objects&)>(apply)
        : nullptr,
      news->mStoreRevision,
      std::min(now, aSentAt + news->mConfirmed));
  }
  return std::nullopt;
}

void
RelayFollower::TurnToStore(const std::string& aReason)
{
  const bool isFollowed = mHasStarted && !mSource;
  if (isFollowed) {
    return;
  }
  log::Write(log::Level::Info,
             "source_changed",
             { { "source", "store" },
               { "before", mSource.value_or("") },
               { "reason", aReason } });
  mHasStarted = true;
  mSource.reset();
  mLoggedFailures.clear();
  mChoice.OnStoreFollowed();
  mServer.SetSource({});
  mSequences.clear(); // the own copy goes on from here
  // the other kinds follow with its first answer, so that an outage costs the
  // calls of one kind
  mAwaitsStore = true;
  FollowerOf(mFollowers, ObjectKind::Configuration).Start();
}

void
RelayFollower::OnStoreAnswered()
{
  if (!mAwaitsStore || mSource) {
    return;
  }
  mAwaitsStore = false;
  for (const auto& follower : mFollowers) {
    if (follower->Kind() != ObjectKind::Configuration) {
      follower->Start();
    }
  }
  mServer.SetDirect(mIsServing);
}

void
RelayFollower::FollowPeer(const Peer& aPeer, std::uint64_t aEpoch)
{
  mSourceEpoch = aEpoch;
  mSourceEndpoint = ParseEndpoint(aPeer.mAddress).value_or(net::Endpoint{});
  mSourceDomain = aPeer.mFailureDomain;
  if (mSource == aPeer.mInstance) {
    return;
  }
  log::Write(log::Level::Info,
             "source_changed",
             { { "source", aPeer.mInstance },
               { "before", mSource.value_or("store") },
               { "reason", "it follows the store and is up to date" } });
  mSource = aPeer.mInstance;
  mLoggedFailures.clear();
  mAwaitsStore = false;
  for (const auto& follower : mFollowers) {
    follower->Stop();
  }
  mServer.SetDirect(false);
}

CopyState
RelayFollower::State() const
{
  return { .mHasCopy = HasCopy(),
           .mFollowsStore = mHasStarted && !mSource,
           .mHasLostStore = HasLostStore(),
           .mAge = HasCopy() ? CopyAge() : Duration::zero() };
}

bool
RelayFollower::HasCopy() const
{
  return std::ranges::all_of(mFollowers, [](const auto& aFollower) {
    return aFollower->Revision().has_value();
  });
}

bool
RelayFollower::HasLostStore() const
{
  return !mSource && std::ranges::any_of(mFollowers, [](const auto& aFollower) {
    return aFollower->IsLost();
  });
}

Duration
RelayFollower::CopyAge() const
{
  return ReadBootClock() -
         FollowerOf(mFollowers, ObjectKind::Configuration).ConfirmedAt();
}

Duration
RelayFollower::WaitOf() const
{
  // an answer is due before the copy is too old
  return std::clamp(kMaxCopyAge - CopyAge(), kShortestWait, kLongestWait);
}

} // namespace figslip::relay
