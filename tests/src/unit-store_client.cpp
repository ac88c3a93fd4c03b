#include <figslip/store/store_client.hpp>

#include <harness/relay.hpp>
#include <harness/store_stand_in.hpp>
#include <platform/store_dialect.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

using namespace figslip;
using namespace std::chrono_literals;
using store::CallOutcome;
using store::CallResult;
using store::ObjectKind;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kTimeout = 1'200ms;
constexpr auto kResendAfter = 200ms;

/// Runs calls to a store over a relay.
class Calls
{
public:
  struct Ended
  {
    CallResult mResult;
    Clock::duration mTook{};
    bool mIsEnded = false;
  };

  Calls()
    : mRelay(mStore.Port())
    , mClient(mContext.get_executor(),
              { .mAddress = "127.0.0.1",
                .mPort = static_cast<std::uint16_t>(mRelay.Port()) },
              mMetrics)
  {
  }

  [[nodiscard]] test::StoreStandIn& Store() { return mStore; }
  [[nodiscard]] test::Relay& Link() { return mRelay; }

  void Start(Ended& aEnded,
             net::RequestMessage aRequest,
             std::chrono::milliseconds aTimeout,
             std::optional<std::chrono::milliseconds> aResendAfter)
  {
    net::asio::co_spawn(
      mContext,
      mClient.Call(std::move(aRequest), "call", aTimeout, aResendAfter),
      [&aEnded, begun = Clock::now()](const std::exception_ptr&,
                                      CallResult aResult) {
        aEnded = { std::move(aResult), Clock::now() - begun, true };
      });
  }
  void StartList(Ended& aEnded,
                 std::chrono::milliseconds aResendAfter = kResendAfter)
  {
    Start(
      aEnded, mDialect.mList(ObjectKind::Drains, ""), kTimeout, aResendAfter);
  }
  void StartWatch(Ended& aEnded)
  {
    const auto wait = 3s;
    // no drain is ever written, so that the watch waits
    auto watch = mDialect.mWatch(
      ObjectKind::Drains, { {}, test::StoreStandIn::kFirstRevision }, wait);
    Start(aEnded, std::move(watch), wait + kTimeout, std::nullopt);
  }
  void StartWrite(Ended& aEnded)
  {
    Start(aEnded, mDialect.mRemoveShared("x"), kTimeout, std::nullopt);
  }

  void Run(Clock::duration aTime)
  {
    mContext.restart();
    mContext.run_for(aTime);
  }
  /// Leaves idle connections behind.
  void OpenConnections(std::size_t aCount)
  {
    std::vector<Ended> ended(aCount);
    for (auto& call : ended) {
      StartList(call);
    }
    Run(150ms);
  }

private:
  test::StoreStandIn mStore;
  test::Relay mRelay;
  metrics::Registry mMetrics;
  net::asio::io_context mContext{ 1 };
  store::StoreDialect mDialect = platform::MakeStoreDialect();
  store::StoreClient mClient;
};

} // namespace

// guards against a copy of the store that grows old behind silent connections
TEST_CASE("open connections to the store fall silent")
{
  Calls calls;
  Calls::Ended list;
  Calls::Ended watch;
  calls.OpenConnections(4);
  calls.StartWatch(watch);
  calls.Run(50ms);
  calls.Link().SilenceOpenConnections();

  SUBCASE("a read is answered though several of them are idle")
  {
    calls.StartList(list);
    calls.Run(kTimeout);
    CHECK(list.mResult.mOutcome == CallOutcome::Answered);
    CHECK(list.mTook < 2 * kResendAfter);

    SUBCASE("and ends the watch that waits on one of them")
    {
      CHECK(watch.mIsEnded);
      CHECK(watch.mResult.mOutcome == CallOutcome::Unknown);
    }

    SUBCASE("and the next call is answered at once")
    {
      Calls::Ended next;
      calls.StartList(next);
      calls.Run(kResendAfter);
      CHECK(next.mResult.mOutcome == CallOutcome::Answered);
    }
  }

  SUBCASE("a write is not sent again, but the next one arrives")
  {
    Calls::Ended write;
    Calls::Ended next;
    calls.StartWrite(write);
    calls.Run(kTimeout + 100ms);
    CHECK(write.mResult.mOutcome == CallOutcome::Unknown);
    calls.StartWrite(next);
    calls.Run(kTimeout);
    CHECK(next.mResult.mOutcome == CallOutcome::Answered);
  }
}

TEST_CASE("a store that answers late")
{
  Calls calls;
  Calls::Ended list;
  Calls::Ended watch;
  calls.OpenConnections(2);
  calls.StartWatch(watch);
  calls.Run(50ms);
  calls.Link().SetMode(test::Relay::Mode::Slow);
  const int before = calls.Store().Calls();

  SUBCASE("is asked once")
  {
    calls.StartList(list, kResendAfter);
    calls.Run(kTimeout);
    CHECK(calls.Store().Calls() == before + 1);
  }

  SUBCASE("later than a call is sent again is not taken for a silent one")
  {
    calls.StartList(list, test::Relay::kDelay / 2);
    calls.Run(kTimeout);
  }
  CHECK(list.mResult.mOutcome == CallOutcome::Answered);
  CHECK_FALSE(watch.mIsEnded);
}
