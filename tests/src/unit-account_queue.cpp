#include <figslip/admission/account_queue.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <ranges>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using admission::AccountQueue;
using admission::AdmissionResult;
using admission::OfferedRequest;
using admission::QueuedRequest;
using admission::RefusalReason;
using routing::TicketId;

namespace {

const TimePoint kStart{ 1000s };
constexpr Duration kMinRetryAfter = 400ms;

OfferedRequest
RequestOf(TicketId aTicket,
          const std::string& aAccount,
          TimePoint aNow,
          int aPriority = 0)
{
  return { .mQueued = { .mTicket = aTicket,
                        .mCapacityClass = "chat",
                        .mAccount = aAccount,
                        .mPriority = aPriority },
           .mService = "chat",
           .mBytes = 100,
           .mInTimeBy = aNow + 1s,
           .mLateBy = aNow + 3s,
           .mHash = aTicket };
}

/// Plays 24 accounts against 60 slots of 100 ms on average, six times the usual
/// load of 100 requests a second. The largest account sends 60 of them.
class BurstPlay
{
public:
  struct Options
  {
    bool mHasHotAccount = true;
    bool mKnowsShares = true; ///< of the accounts over their share
  };

  static constexpr auto kBurstFrom = 5s;
  static constexpr auto kOthersBurstTo = 13s;
  static constexpr auto kBurstTo = 15s;
  static constexpr auto kEnd = 20s;
  static constexpr auto kHot = "account-0";

  /// Holds what became of the requests of an account and kind.
  struct Tally
  {
    double mOffered = 0.0;
    double mInTime = 0.0;

    [[nodiscard]] double FractionInTime() const { return mInTime / mOffered; }
  };

  explicit BurstPlay(Options aOptions)
    : mOptions(aOptions)
    , mQueue({ .mMaxWaiting = 2000,
               .mMaxBytes = 1 << 20,
               .mMinRetryAfter = kMinRetryAfter,
               .mIsOverShare = [this](auto /*aService*/, auto aAccount) {
                 return mOptions.mKnowsShares && aAccount == kHot &&
                        mTime > kBurstFrom + 500ms && mTime < kBurstTo + 500ms;
               } })
  {
    for (int account = 0; account < 24; ++account) {
      mDue[account] = account / 24.0; // they do not send together
    }
    for (mTime = 0s; mTime < kEnd; mTime += 10ms) {
      Step();
    }
  }

  /// Returns the counts of an account by priority.
  [[nodiscard]] const std::array<Tally, 2>& Of(const std::string& aAccount)
  {
    return mTallies[aAccount];
  }
  [[nodiscard]] Tally AllOf(const std::string& aAccount)
  {
    const auto& [urgent, other] = Of(aAccount);
    return { .mOffered = urgent.mOffered + other.mOffered,
             .mInTime = urgent.mInTime + other.mInTime };
  }

  int mRefusedOnArrival = 0;
  int mRefusedLater = 0;
  Duration mLastBacklog{}; ///< last time with waiting requests
  std::set<Duration::rep> mRetryTimes;

private:
  struct Arrival
  {
    std::string mAccount;
    int mPriority = 0;
    TimePoint mAt;
  };

  /// Returns the usual requests a second.
  [[nodiscard]] static double UsualRate(int aAccount)
  {
    constexpr int kLargeAccounts = 3;
    return aAccount == 0 ? 60.0 : (aAccount <= kLargeAccounts ? 6.0 : 1.1);
  }

  [[nodiscard]] double FactorOf(int aAccount) const
  {
    if (aAccount == 0) {
      const bool isBurst = mTime >= kBurstFrom && mTime < kBurstTo;
      return mOptions.mHasHotAccount ? (isBurst ? 12.0 : 1.0) : 0.0;
    }
    return mTime >= kBurstFrom && mTime < kOthersBurstTo ? 1.8 : 1.0;
  }

  void Step()
  {
    const auto now = kStart + mTime;
    for (int account = 0; account < 24; ++account) {
      auto& due = mDue[account];
      due += UsualRate(account) * FactorOf(account) * 0.01;
      for (; due >= 1.0; due -= 1.0) {
        Arrive("account-" + std::to_string(account), now);
      }
    }
    mRefusedLater += static_cast<int>(mQueue.RefuseUnmeetable(now).size());
    std::erase_if(mBusyUntil, [&](auto aUntil) { return aUntil <= now; });
    const auto admit = [&](const QueuedRequest& aRequest) {
      if (mBusyUntil.size() >= 60) {
        return AdmissionResult::NoCapacity;
      }
      // the times differ, so that the slots do not become free together
      mBusyUntil.push_back(now + 55ms + aRequest.mTicket * 37 % 81 * 1ms);
      const auto& arrival = mArrivals.at(aRequest.mTicket);
      if (now - arrival.mAt <= 1s) {
        mTallies[arrival.mAccount].at(arrival.mPriority).mInTime += 1.0;
      }
      return AdmissionResult::Admitted;
    };
    (void)mQueue.Admit(admit, now);
    if (mQueue.Size() > 0) {
      mLastBacklog = mTime;
    }
  }

  void Arrive(const std::string& aAccount, TimePoint aNow)
  {
    const auto ticket = ++mLastTicket;
    const int priority = mOffers[aAccount]++ % 2;
    mArrivals[ticket] = { aAccount, priority, aNow };
    mTallies[aAccount].at(priority).mOffered += 1.0;
    const auto result =
      mQueue.Offer(RequestOf(ticket, aAccount, aNow, priority), aNow);
    if (result.mRefusal) {
      ++mRefusedOnArrival;
      CHECK(result.mRefusal->mRetryAfter >= kMinRetryAfter);
      CHECK(result.mRefusal->mLargestAccount == kHot);
      mRetryTimes.insert(result.mRefusal->mRetryAfter.count());
    }
  }

  Options mOptions;
  AccountQueue mQueue;
  Duration mTime{};
  TicketId mLastTicket = 0;
  std::map<int, double> mDue; ///< fractions of a request, by account
  std::map<std::string, int> mOffers;
  std::map<TicketId, Arrival> mArrivals;
  std::map<std::string, std::array<Tally, 2>> mTallies;
  std::vector<TimePoint> mBusyUntil;
};

} // namespace

// Load: one account of 24 sends 12 times its usual load for 10 s, all others
// 1.8 times theirs for 8 s. Guards against an account that slows down others.
TEST_CASE("a burst of one account")
{
  BurstPlay without({ .mHasHotAccount = false });
  for (const bool knowsShares : { true, false }) {
    CAPTURE(knowsShares);
    BurstPlay burst({ .mKnowsShares = knowsShares });
    for (int index = 1; index < 24; ++index) {
      const auto account = "account-" + std::to_string(index);
      CAPTURE(account);
      CHECK(burst.AllOf(account).FractionInTime() >=
            0.95 * without.AllOf(account).FractionInTime());
    }
    const auto& [urgent, other] = burst.Of(BurstPlay::kHot);
    MESSAGE("hot account in time: urgent ",
            urgent.FractionInTime(),
            ", other ",
            other.FractionInTime(),
            "; refused on arrival ",
            burst.mRefusedOnArrival,
            ", later ",
            burst.mRefusedLater,
            "; last backlog at ms ",
            burst.mLastBacklog.count() / 1000);
    CHECK(urgent.FractionInTime() >= other.FractionInTime());
    // capacity is not left unused: 5 s of usual load before and after the
    // burst, and in it what the other accounts leave of 600 a second
    CHECK(burst.AllOf(BurstPlay::kHot).mInTime + (knowsShares ? 0.0 : 3000.0) >=
          5000.0);
    // most refusals come at once; the others correct an estimate
    CHECK(burst.mRefusedOnArrival > 9 * burst.mRefusedLater);
    // callers are not told to come back together
    CHECK(burst.mRetryTimes.size() * 2 >
          static_cast<std::size_t>(burst.mRefusedOnArrival));
    CHECK(burst.mLastBacklog <= BurstPlay::kBurstTo + 2s);
  }
}

TEST_CASE("account queue")
{
  bool isOverShare = false;
  AccountQueue queue({ .mMaxWaiting = 10,
                       .mMaxBytes = 1000,
                       .mMinRetryAfter = kMinRetryAfter,
                       .mIsOverShare = [&](auto /*aService*/, auto /*aName*/) {
                         return isOverShare;
                       } });
  auto now = kStart;
  const auto admitOne = [&] {
    bool isFree = true;
    return queue.Admit(
      [&](const QueuedRequest& /*aRequest*/) {
        return std::exchange(isFree, false) ? AdmissionResult::Admitted
                                            : AdmissionResult::NoCapacity;
      },
      now);
  };

  SUBCASE("when ten requests a second are admitted and ten wait")
  {
    for (TicketId ticket = 1; ticket <= 30; ++ticket) {
      if (ticket > 10) {
        now += 100ms;
        REQUIRE(admitOne().size() == 1);
      }
      REQUIRE_FALSE(queue.Offer(RequestOf(ticket, "a", now), now).mRefusal);
    }

    SUBCASE("refuses an account over its share whose answer would be late")
    {
      isOverShare = true;
      const auto result = queue.Offer(RequestOf(31, "a", now), now);
      REQUIRE(result.mRefusal);
      CHECK(result.mRefusal->mReason == RefusalReason::ExpectedWait);
      CHECK(result.mRefusal->mLargestAccount == "a");
      CHECK(result.mRefusal->mRetryAfter >= kMinRetryAfter);
    }

    SUBCASE("lets another account evict one of them")
    {
      const auto result = queue.Offer(RequestOf(31, "b", now), now);
      CHECK_FALSE(result.mRefusal);
      REQUIRE(result.mEvicted.size() == 1);
      CHECK(result.mEvicted.front().mTicket == 30);
      CHECK(result.mEvicted.front().mReason == RefusalReason::Evicted);
      CHECK(queue.Bytes() == 1000);
    }

    SUBCASE("refuses one more of the same account as the queue is full")
    {
      const auto result = queue.Offer(RequestOf(31, "a", now), now);
      REQUIRE(result.mRefusal);
      CHECK(result.mRefusal->mReason == RefusalReason::Full);
    }

    SUBCASE("summarizes who waits")
    {
      const auto backlogs = queue.PopBacklogs(now);
      REQUIRE(backlogs.size() == 1);
      CHECK(backlogs.front().mWaiting == 10);
      CHECK(backlogs.front().mLargest.front() ==
            std::pair(std::string("a"), std::size_t{ 10 }));
      CHECK(backlogs.front().mAdmittedPerSecond == doctest::Approx(10.0));
    }

    SUBCASE("asks to come back later, the longer service stalls")
    {
      now += 20s;
      const auto refusals = queue.RefuseUnmeetable(now);
      REQUIRE(refusals.size() == 10);
      CHECK(refusals.front().mReason == RefusalReason::WaitedOut);
      CHECK(queue.Size() == 0);
      CHECK(queue.Bytes() == 0);
    }
  }

  // guards against a less urgent kind with a longer target latency that was
  // served 99 times in 100 while the more urgent one was served 77 times
  SUBCASE("after the refusal of an urgent request")
  {
    auto patient = RequestOf(901, "large", kStart, 2);
    patient.mInTimeBy = kStart + 3s;
    CHECK_FALSE(queue.Offer(patient, kStart).mRefusal);
    auto urgent = RequestOf(902, "large", kStart - 2s, 0);
    urgent.mInTimeBy = kStart - 1s;
    urgent.mLateBy = kStart - 1s;
    REQUIRE(queue.Offer(urgent, kStart).mRefusal);

    SUBCASE("refuses less urgent ones of the account, also those that wait")
    {
      const auto refusals = queue.RefuseUnmeetable(kStart);
      REQUIRE(refusals.size() == 1);
      CHECK(refusals.front().mTicket == 901);
      CHECK(refusals.front().mReason == RefusalReason::LessUrgent);
      CHECK(refusals.front().mRetryAfter >= 1s);
      patient.mQueued.mTicket = 903;
      const auto refusal = queue.Offer(patient, kStart + 500ms).mRefusal;
      REQUIRE(refusal);
      CHECK(refusal->mReason == RefusalReason::LessUrgent);

      SUBCASE("until a second has passed")
      {
        CHECK_FALSE(queue.Offer(patient, kStart + 1s).mRefusal);
      }
    }

    SUBCASE("takes urgent ones and those of other accounts")
    {
      CHECK_FALSE(
        queue.Offer(RequestOf(904, "large", kStart), kStart).mRefusal);
      CHECK_FALSE(
        queue.Offer(RequestOf(905, "small", kStart, 2), kStart).mRefusal);
    }
  }

  SUBCASE("bounds the bytes of the waiting requests, but takes a single one")
  {
    auto large = RequestOf(1, "a", now);
    large.mBytes = 2000;
    CHECK_FALSE(queue.Offer(large, now).mRefusal);
    CHECK(queue.Offer(RequestOf(2, "a", now), now).mRefusal);
    CHECK(queue.Remove(1));
    CHECK_FALSE(queue.Remove(1));
    CHECK_FALSE(queue.Offer(RequestOf(3, "a", now), now).mRefusal);
  }

  SUBCASE("counts a long prompt and a long output as more work")
  {
    CHECK(admission::ExpectedWork(0, 0) == 1.0);
    CHECK(admission::ExpectedWork(6000, 0) == doctest::Approx(100.0));
    CHECK(admission::ExpectedWork(6000, 10) > 100.0);
  }
}
