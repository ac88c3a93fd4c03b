#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/relay/relay_follower.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>

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

/// Oldest confirmation of the configuration with which another instance is
/// followed. The store's own follower confirms it each 1.45 s; a source that
/// has lost the store shows by this before a change is due everywhere, 2 s
/// after it was made.
constexpr Duration kMaxAge = milliseconds(1'750);

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
  , mChoice(std::move(aOptions))
  , mClient(aContext.get_executor(), {}, aMetrics, "figslip_relay_calls_total")
{
}

void
RelayFollower::Start()
{
  net::asio::co_spawn(mContext, Run(), net::asio::detached);
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
    auto peer = std::optional<Peer>();
    if (mayAsk) {
      peer = mChoice.Next(HasLostStore(), now);
    }
    if (!peer) {
      FollowStore("no instance is to be asked");
      co_await net::Sleep(kLook);
      continue;
    }
    const auto failure = co_await Ask(*peer);
    if (!failure) {
      mChoice.OnAnswered(peer->mInstance);
      continue;
    }
    const bool isStarting =
      !HasCopy() && failure->mKind == SourceFailure::NoCopy;
    if (isStarting) {
      co_await net::Sleep(kFindPoll);
      continue;
    }
    OnFailed(*peer, *failure);
  }
}

void
RelayFollower::OnFailed(const Peer& aPeer, const Failure& aFailure)
{
  const auto age =
    HasCopy() ? std::to_string(CopyAge() / milliseconds(1)) : std::string();
  log::Write(log::Level::Info,
             "source_failed",
             { { "source", aPeer.mInstance },
               { "reason", aFailure.mReason },
               // empty: no copy yet
               { "copy_age_ms", age } });
  mChoice.OnFailed(aPeer.mInstance, aFailure.mKind, ReadBootClock());
  if (HasCopy() && CopyAge() > kMaxAge) {
    FollowStore(aFailure.mReason);
  }
}

net::Awaitable<std::optional<RelayFollower::Failure>>
RelayFollower::Ask(Peer aPeer)
{
  const auto endpoint = ParseEndpoint(aPeer.mAddress);
  if (!endpoint) {
    Failure failure{ .mKind = SourceFailure::Unreachable,
                     .mReason = "no address: " + aPeer.mAddress };
    co_return failure;
  }
  if (mClientPeer != aPeer.mInstance + "@" + aPeer.mAddress) {
    mClientPeer = aPeer.mInstance + "@" + aPeer.mAddress;
    mClient.SetEndpoint(*endpoint);
    mEpoch = 0;
    mSequences.clear();
  }
  // the first answer of a process comes at once
  Poll poll{ .mEpoch = mEpoch,
             .mSequences = mSequences,
             .mRevisions = {},
             .mWait = mSequences.empty() ? Duration::zero() : WaitOf() };
  for (const auto& follower : mFollowers) {
    if (const auto revision = follower->Revision()) {
      poll.mRevisions[follower->Kind()] = *revision;
    }
  }
  net::RequestMessage request{ .mMethod = "POST",
                               .mTarget = "/v1/relay",
                               .mHeaders = {},
                               .mBody = EncodePoll(poll) };
  const auto limit =
    HasCopy()
      ? std::chrono::duration_cast<milliseconds>(poll.mWait) + kAnswerLimit
      : kFindAnswerLimit;
  const auto sentAt = ReadBootClock();
  const auto result = co_await mClient.Call(std::move(request), "poll", limit);
  Failure failure{ .mKind = SourceFailure::Unreachable, .mReason = {} };
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
  const auto refusal = Take(aPeer, answer.assume_value(), sentAt);
  if (!refusal) {
    co_return std::nullopt;
  }
  failure = { .mKind = SourceFailure::NoCopy, .mReason = *refusal };
  co_return failure;
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
    if (news->mStoreRevision < follower->Revision().value_or(0)) {
      return "its copy is older";
    }
    const bool isLease = follower->Kind() == ObjectKind::Configuration;
    if (isLease && now - (aSentAt + news->mConfirmed) > kMaxAge) {
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
  FollowPeer(aPeer);
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
RelayFollower::FollowStore(const std::string& aReason)
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
RelayFollower::FollowPeer(const Peer& aPeer)
{
  if (mSource == aPeer.mInstance) {
    return;
  }
  log::Write(log::Level::Info,
             "source_changed",
             { { "source", aPeer.mInstance },
               { "before", mSource.value_or("store") },
               { "reason", "it follows the store and is up to date" } });
  mSource = aPeer.mInstance;
  mAwaitsStore = false;
  for (const auto& follower : mFollowers) {
    follower->Stop();
  }
  mServer.SetDirect(false);
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
  return std::clamp(kMaxAge - CopyAge(), kShortestWait, kLongestWait);
}

} // namespace figslip::relay
