#include <figslip/relay/change_log.hpp>
#include <figslip/relay/relay_messages.hpp>
#include <figslip/relay/source_choice.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using relay::ChangeLog;
using relay::Peer;
using relay::SourceChoice;
using relay::SourceFailure;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

constexpr store::StoreEra kEra{ 3 };
constexpr store::StoreEra kNextEra{ 4 };

constexpr store::StoreRevision
At(std::int64_t aNumber, store::StoreEra aEra = kEra)
{
  return { aEra, aNumber };
}

store::Object
MakeObject(const std::string& aName,
           std::int64_t aRevision,
           store::StoreEra aEra = kEra)
{
  return { .mName = aName,
           .mRevision = At(aRevision, aEra),
           .mCreated = 1,
           .mSpec = { { "a", aRevision } },
           .mStatus = nullptr };
}

ChangeLog::Objects
MakeObjects(const std::vector<std::pair<std::string, std::int64_t>>& aObjects,
            store::StoreEra aEra = kEra)
{
  ChangeLog::Objects objects;
  for (const auto& [name, revision] : aObjects) {
    objects.emplace(name, MakeObject(name, revision, aEra));
  }
  return objects;
}

std::vector<std::string>
NamesOf(const relay::Delta& aDelta)
{
  std::vector<std::string> names;
  std::ranges::transform(
    aDelta.mObjects, std::back_inserter(names), &store::Object::mName);
  return names;
}

SourceChoice
MakeChoice(const std::string& aInstance, const std::vector<Peer>& aPeers)
{
  SourceChoice choice({ .mInstance = aInstance,
                        .mFailureDomain = "a",
                        .mAvoid = 3s,
                        .mMaxAvoid = 24s });
  choice.OnPeers(aPeers);
  return choice;
}

/// Returns the instance that one which follows the store asks; none: it goes on
/// with the store.
std::optional<Peer>
NextOf(const SourceChoice& aChoice, bool aHasLostStore, TimePoint aNow)
{
  const auto step = aChoice.Next({ .mHasCopy = true,
                                   .mFollowsStore = true,
                                   .mHasLostStore = aHasLostStore,
                                   .mAge = 100ms },
                                 aNow);
  const auto* const ask = std::get_if<relay::AskInstance>(&step);
  REQUIRE((ask || std::holds_alternative<relay::FollowStore>(step)));
  return ask ? std::optional(ask->mPeer) : std::nullopt;
}

} // namespace

TEST_CASE("changes of a copy")
{
  using Names = std::vector<std::string>;
  ChangeLog log({ .mMaxRemovals = 2 });
  CHECK(log.Update(MakeObjects({ { "x", 1 }, { "y", 2 } }), At(2)));
  const auto first = log.Sequence();

  SUBCASE("are everything for one who knows nothing")
  {
    const auto delta = log.Since(0);
    CHECK(delta.mIsWhole);
    CHECK(NamesOf(delta) == Names{ "x", "y" });
    CHECK(delta.HasNews());
  }

  SUBCASE("are nothing for one who knows all")
  {
    CHECK_FALSE(log.Update(MakeObjects({ { "x", 1 }, { "y", 2 } }), At(2)));
    CHECK_FALSE(log.Since(first).HasNews());
  }

  SUBCASE("name what changed, came and went")
  {
    CHECK(log.Update(MakeObjects({ { "y", 3 }, { "z", 4 } }), At(4)));
    const auto delta = log.Since(first);
    CHECK_FALSE(delta.mIsWhole);
    CHECK(NamesOf(delta) == Names{ "y", "z" });
    CHECK(delta.mRemoved == Names{ "x" });
  }

  SUBCASE("do not remove what came back")
  {
    log.Update(MakeObjects({ { "y", 2 } }), At(3));
    log.Update(MakeObjects({ { "x", 5 }, { "y", 2 } }), At(5));
    const auto delta = log.Since(first);
    CHECK(NamesOf(delta) == Names{ "x" });
    CHECK(delta.mRemoved.empty());
  }

  SUBCASE("are everything once removals are forgotten")
  {
    log.Update(MakeObjects({ { "a", 6 }, { "b", 6 }, { "c", 6 } }), At(6));
    log.Update({}, At(7));
    CHECK(log.Since(first).mIsWhole);
    CHECK_FALSE(log.Since(log.Sequence()).HasNews());
  }

  SUBCASE("are everything for a number of another process")
  {
    CHECK(log.Since(first + 100).mIsWhole);
  }

  SUBCASE("begin with an empty copy, too")
  {
    ChangeLog empty({});
    CHECK(empty.Update({}, At(1)));
    CHECK(empty.Since(0).mIsWhole);
    CHECK_FALSE(empty.Since(empty.Sequence()).HasNews());
  }

  SUBCASE("after the revision of a copy from another source")
  {
    log.Update(MakeObjects({ { "y", 3 }, { "z", 4 } }), At(5));
    log.Update(MakeObjects({ { "y", 6 }, { "z", 4 } }), At(7));

    SUBCASE("are those that the other copy lacks")
    {
      const auto delta = log.SinceRevision(At(5));
      REQUIRE(delta);
      CHECK_FALSE(delta->mIsWhole);
      CHECK(NamesOf(*delta) == Names{ "y" });
      CHECK(delta->mSequence == log.Sequence());
    }

    SUBCASE("contain all removals, as some may have no known revision")
    {
      CHECK(log.SinceRevision(At(7))->mRemoved == Names{ "x" });
      CHECK(log.SinceRevision(At(7))->mObjects.empty());
    }

    SUBCASE("are not known from before the second copy here")
    {
      CHECK(log.SinceRevision(At(5)));
      CHECK_FALSE(log.SinceRevision(At(4)));
    }

    SUBCASE("are not known once removals since then are forgotten")
    {
      log.Update({}, At(8));
      CHECK(log.SinceRevision(At(8)));
      CHECK_FALSE(log.SinceRevision(At(7)));
    }

    SUBCASE("contain what cannot be read, whatever its revision")
    {
      auto objects = MakeObjects({ { "y", 6 }, { "z", 4 }, { "odd", 0 } });
      objects.at("odd").mFindings.push_back(
        { error::ErrorKind::PlatformMalformed, "/spec", "no JSON" });
      log.Update(objects, At(8));
      CHECK(NamesOf(*log.SinceRevision(At(8))) == Names{ "odd" });
    }
  }

  SUBCASE("are not known by revision while the first copy is the only one")
  {
    CHECK_FALSE(log.SinceRevision(At(2)));
    CHECK_FALSE(log.SinceRevision(At(9)));
    CHECK_FALSE(log.Update(MakeObjects({ { "x", 1 }, { "y", 2 } }), At(9)));
    CHECK(log.SinceRevision(At(9)));
  }

  // guards against objects that a follower lacks for good, as the store has
  // given out the revision of its copy again
  SUBCASE("after the store has begun another era")
  {
    log.Update(MakeObjects({ { "x", 1 }, { "y", 6 } }), At(9));
    log.Update(MakeObjects({ { "y", 6 }, { "z", 4 } }, kNextEra),
               At(6, kNextEra));

    SUBCASE("are all objects, also those with the same number")
    {
      const auto delta = log.Since(first);
      CHECK(NamesOf(delta) == Names{ "y", "z" });
      CHECK(delta.mRemoved == Names{ "x" });
    }

    SUBCASE("are not known by revision before the second copy of the era")
    {
      CHECK_FALSE(log.SinceRevision(At(9)));
      CHECK_FALSE(log.SinceRevision(At(6, kNextEra)));
    }

    SUBCASE("are not known by a revision of the era before")
    {
      log.Update(MakeObjects({ { "y", 8 }, { "z", 4 } }, kNextEra),
                 At(8, kNextEra));
      CHECK_FALSE(log.SinceRevision(At(8)));
      CHECK_FALSE(log.SinceRevision(At(9)));
      CHECK(log.SinceRevision(At(8, kNextEra)));
    }
  }

  SUBCASE("are not known by revision without a copy")
  {
    const ChangeLog empty({});
    CHECK_FALSE(empty.SinceRevision(At(5)));
  }
}

TEST_CASE("the instances of a failure domain")
{
  const std::vector<Peer> peers = { { "i-1", "a", "10.0.0.1:1" },
                                    { "i-2", "a", "10.0.0.2:1" },
                                    { "i-3", "a", "10.0.0.3:1" },
                                    { "i-4", "b", "10.0.0.4:1" } };
  std::vector<SourceChoice> choices;
  for (const auto* const name : { "i-1", "i-2", "i-3" }) {
    choices.push_back(MakeChoice(name, peers));
  }
  const auto isDirect = [&](const SourceChoice& aChoice) {
    return !NextOf(aChoice, false, kStart);
  };
  REQUIRE(std::ranges::count_if(choices, isDirect) == 1);
  const auto follower = std::ranges::find_if_not(choices, isDirect);
  const auto source = NextOf(*follower, false, kStart)->mInstance;

  SUBCASE("follow the same one of them, which follows the store")
  {
    for (const auto& choice : choices) {
      const auto next = NextOf(choice, false, kStart);
      CHECK((!next || next->mInstance == source));
    }
  }

  SUBCASE("turn to the next one, or the store, when it fails")
  {
    for (auto& choice : choices) {
      choice.OnFailed(source, SourceFailure::Unreachable, kStart);
    }
    CHECK(std::ranges::count_if(choices, isDirect) == 2);
    CHECK(NextOf(*follower, false, kStart + 3s)->mInstance == source);
  }

  SUBCASE("ask one that fails again and again less often")
  {
    follower->OnFailed(source, SourceFailure::Unreachable, kStart);
    follower->OnFailed(source, SourceFailure::Unreachable, kStart + 3s);
    const auto next = NextOf(*follower, false, kStart + 8s);
    CHECK((!next || next->mInstance != source));
    CHECK(NextOf(*follower, false, kStart + 9s)->mInstance == source);
    follower->OnAnswered({ source, "a", "10.0.0.1:1" }, kStart + 9s);
    follower->OnStoreFollowed();
    follower->OnFailed(source, SourceFailure::Unreachable, kStart + 10s);
    CHECK(NextOf(*follower, false, kStart + 13s)->mInstance == source);
  }

  SUBCASE("ask one without a copy again soon, however often it had none")
  {
    for (auto now = kStart; now < kStart + 10s; now += 500ms) {
      CHECK(NextOf(*follower, false, now)->mInstance == source);
      follower->OnFailed(source, SourceFailure::NoCopy, now);
      const auto next = NextOf(*follower, false, now + 499ms);
      CHECK((!next || next->mInstance != source));
    }
  }

  SUBCASE("ask those of other domains once the store is lost")
  {
    auto alone = MakeChoice("i-9", { { "i-4", "b", "10.0.0.4:1" } });
    CHECK_FALSE(NextOf(alone, false, kStart));
    CHECK(NextOf(alone, true, kStart)->mInstance == "i-4");
    alone.OnFailed("i-4", SourceFailure::Unreachable, kStart);
    CHECK_FALSE(NextOf(alone, true, kStart));

    SUBCASE("a few of them, however many there are")
    {
      constexpr int kOthers = 340;
      constexpr int kMostAsked = 6;
      std::vector<Peer> many;
      many.reserve(kOthers);
      for (int number = 0; number < kOthers; ++number) {
        many.push_back({ "j-" + std::to_string(number), "b", "10.0.1.1:1" });
      }
      alone.OnPeers(many);
      int asked = 0;
      while (const auto next = NextOf(alone, true, kStart)) {
        alone.OnFailed(next->mInstance, SourceFailure::NoCopy, kStart);
        ++asked;
      }
      CHECK(asked == kMostAsked);
    }
  }
}

TEST_CASE("messages between instances")
{
  const relay::Poll poll{ .mEpoch = 0xffff'ffff'ffff'fff1,
                          .mSequences = { { store::ObjectKind::Drains, 7 } },
                          .mRevisions = { { store::ObjectKind::Drains, At(40) },
                                          { store::ObjectKind::Shared,
                                            At(44, kNextEra) } },
                          .mWait = 500ms,
                          .mIsForeign = true };
  relay::PollAnswer answer{
    .mEpoch = 5, .mIsDirect = true, .mKinds = {}, .mSource = "i-1"
  };
  answer.mKinds.push_back({ .mKind = store::ObjectKind::Upstreams,
                            .mDelta = { .mSequence = 9,
                                        .mIsWhole = true,
                                        .mObjects = { MakeObject("x", 3) },
                                        .mRemoved = { "y" } },
                            .mStoreRevision = At(44),
                            .mConfirmed = -3ms });

  SUBCASE("are read as they were written")
  {
    const auto read = relay::DecodePoll(relay::EncodePoll(poll));
    REQUIRE(read.has_value());
    CHECK(read.assume_value().mEpoch == poll.mEpoch);
    CHECK(read.assume_value().mSequences == poll.mSequences);
    CHECK(read.assume_value().mRevisions == poll.mRevisions);
    CHECK(read.assume_value().mWait == poll.mWait);
    CHECK(read.assume_value().mIsForeign);
    const auto told = relay::DecodeAnswer(relay::EncodeAnswer(answer));
    REQUIRE(told.has_value());
    CHECK(told.assume_value().mEpoch == 5);
    CHECK(told.assume_value().mIsDirect);
    CHECK(told.assume_value().mSource == "i-1");
    REQUIRE(told.assume_value().mKinds.size() == 1);
    const auto& news = told.assume_value().mKinds[0];
    CHECK(news.mKind == store::ObjectKind::Upstreams);
    CHECK(news.mStoreRevision == At(44));
    CHECK(news.mConfirmed == -3ms);
    CHECK(news.mDelta.mSequence == 9);
    CHECK(news.mDelta.mIsWhole);
    CHECK(news.mDelta.mObjects[0].mSpec == MakeObject("x", 3).mSpec);
    CHECK(news.mDelta.mObjects[0].mRevision == At(3));
    CHECK(news.mDelta.mRemoved == std::vector<std::string>{ "y" });
  }

  SUBCASE("are refused when cut short, at any place")
  {
    const auto bytes = relay::EncodeAnswer(answer);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(relay::DecodeAnswer(std::string_view(bytes).substr(0, size)));
    }
  }

  SUBCASE("are refused when they are something else")
  {
    CHECK_FALSE(relay::DecodePoll("GET / HTTP/1.1"));
    CHECK_FALSE(relay::DecodePoll("\xff\xff\xff\xff\xff\xff\xff\xff"));
  }
}
