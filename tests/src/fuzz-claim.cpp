#include <figslip/claim/claim_flow.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

using namespace figslip;
using namespace figslip::claim;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1000) };
constexpr TimePoint kDeadline = kNow + std::chrono::seconds(10);
constexpr std::size_t kFlows = 3;
constexpr std::size_t kMaxSteps = 200;

/// Models one object of the platform with conditional writes.
struct PlatformModel
{
  std::int64_t mVersion = 0;
  std::string mValue;

  bool Write(const WriteClaim& aWrite)
  {
    if (aWrite.mExpectedVersion != mVersion) {
      return false;
    }
    ++mVersion;
    mValue = aWrite.mValue;
    return true;
  }
};

/// Lists the possible outcomes of one platform call.
enum class CallOutcome
{
  Completed,
  ResponseLost, ///< the call took effect, but the caller gets no response
  NotReached
};

ClaimRecord
OwnRecord(std::size_t aFlow)
{
  return { .mHolder = { .mInstance = "entry-" + std::to_string(aFlow),
                        .mStartedAt = 1 },
           .mTicket = aFlow + 1,
           .mFingerprint = 7 };
}

/// Runs one claim against the platform model, one step at a time.
struct Runner
{
  explicit Runner(std::size_t aFlow)
    : mRecord(OwnRecord(aFlow))
    , mFlow({}, mRecord, kDeadline)
    , mStep(mFlow.Start(kNow, kNow))
  {
  }

  [[nodiscard]] bool Ended() const
  {
    return !std::holds_alternative<WriteClaim>(mStep) &&
           !std::holds_alternative<WatchClaim>(mStep);
  }

  [[nodiscard]] bool Won() const
  {
    return std::holds_alternative<ClaimWon>(mStep);
  }

  void Advance(PlatformModel& aPlatform, CallOutcome aOutcome, TimePoint aNow)
  {
    if (aOutcome == CallOutcome::NotReached) {
      mStep = mFlow.OnNoResponse(false, aNow);
      return;
    }
    const auto* const write = std::get_if<WriteClaim>(&mStep);
    const bool written = write != nullptr && aPlatform.Write(*write);
    if (aOutcome == CallOutcome::ResponseLost) {
      mStep = mFlow.OnNoResponse(write != nullptr, aNow);
    } else if (written) {
      mStep = mFlow.OnWritten(aPlatform.mVersion);
    } else {
      mStep = mFlow.OnObject(aPlatform.mVersion, aPlatform.mValue, aNow);
    }
  }

  ClaimRecord mRecord;
  ClaimFlow mFlow;
  ClaimStep mStep;
};

CallOutcome
AnyCallOutcome()
{
  return *rc::gen::weightedElement<CallOutcome>(
    { { 4, CallOutcome::Completed },
      { 2, CallOutcome::ResponseLost },
      { 1, CallOutcome::NotReached } });
}

} // namespace

TEST_CASE("requests that race for one idempotency key")
{
  SUBCASE("run at most once, even if responses of the platform are lost")
  {
    const bool holds = rc::check([] {
      PlatformModel platform;
      std::vector<Runner> runners;
      runners.reserve(kFlows);
      for (std::size_t flow = 0; flow < kFlows; ++flow) {
        runners.emplace_back(flow);
      }
      auto now = kNow;
      for (std::size_t step = 0; step < kMaxSteps; ++step) {
        auto& runner =
          runners[*rc::gen::inRange<std::size_t>(0, runners.size())];
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        if (!runner.Ended()) {
          runner.Advance(platform, AnyCallOutcome(), now);
        }
        const auto winners = std::ranges::count_if(
          runners, [](const auto& aRunner) { return aRunner.Won(); });
        RC_ASSERT(winners <= 1);
      }
    });
    CHECK(holds);
  }

  SUBCASE("get the stored answer once the winner has completed")
  {
    const bool holds = rc::check([] {
      PlatformModel platform;
      Runner first(0);
      first.Advance(platform, CallOutcome::Completed, kNow);
      RC_ASSERT(first.Won());
      auto answered = first.mRecord;
      answered.mState = ClaimState::Answered;
      answered.mAnswer = "booked";
      RC_ASSERT(platform.Write({ platform.mVersion, PrintClaim(answered) }));
      Runner second(1);
      while (!second.Ended()) {
        second.Advance(platform, AnyCallOutcome(), kNow);
      }
      if (const auto* const found = std::get_if<ClaimAnswered>(&second.mStep)) {
        RC_ASSERT(found->mAnswer == "booked");
      } else {
        RC_ASSERT(std::get<ClaimRefused>(second.mStep).mOutcome ==
                  ClaimOutcome::Unavailable);
      }
    });
    CHECK(holds);
  }
}

TEST_CASE("a claim")
{
  PlatformModel platform;
  Runner holder(0);
  holder.Advance(platform, CallOutcome::Completed, kNow);
  REQUIRE(holder.Won());
  Runner second(1);

  SUBCASE("whose write response was lost is won by retrying the write")
  {
    PlatformModel fresh;
    Runner runner(0);
    runner.Advance(fresh, CallOutcome::ResponseLost, kNow);
    CHECK_FALSE(runner.Ended());
    runner.Advance(fresh, CallOutcome::Completed, kNow);
    CHECK(runner.Won());
  }

  SUBCASE("that another request holds")
  {
    second.Advance(platform, CallOutcome::Completed, kNow);

    SUBCASE("is watched until the deadline and then unknown")
    {
      REQUIRE(std::holds_alternative<WatchClaim>(second.mStep));
      second.Advance(platform, CallOutcome::Completed, kDeadline);
      CHECK(std::get<ClaimRefused>(second.mStep).mOutcome ==
            ClaimOutcome::Unknown);
    }

    SUBCASE("is taken over once its holder has released it")
    {
      auto released = holder.mRecord;
      released.mState = ClaimState::Released;
      REQUIRE(platform.Write({ platform.mVersion, PrintClaim(released) }));
      second.Advance(platform, CallOutcome::Completed, kNow);
      second.Advance(platform, CallOutcome::Completed, kNow);
      CHECK(second.Won());
    }
  }

  SUBCASE("for a different request is refused")
  {
    auto other = OwnRecord(1);
    other.mFingerprint = 8;
    ClaimFlow flow({}, other, kDeadline);
    (void)flow.Start(kNow, kNow);
    const auto step = flow.OnObject(platform.mVersion, platform.mValue, kNow);
    CHECK(std::get<ClaimRefused>(step).mOutcome == ClaimOutcome::OtherRequest);
  }

  SUBCASE("with a key past the retention is refused as expired")
  {
    ClaimFlow flow({}, OwnRecord(1), kDeadline);
    const auto step = flow.Start(kNow - std::chrono::hours(24), kNow);
    CHECK(std::get<ClaimRefused>(step).mOutcome == ClaimOutcome::Expired);
  }

  SUBCASE("with a key from the future is refused")
  {
    ClaimFlow flow({}, OwnRecord(1), kDeadline);
    const auto step = flow.Start(kNow + std::chrono::minutes(6), kNow);
    CHECK(std::get<ClaimRefused>(step).mOutcome == ClaimOutcome::FromFuture);
  }

  SUBCASE("that cannot be parsed is refused as unknown")
  {
    ClaimFlow flow({}, OwnRecord(1), kDeadline);
    (void)flow.Start(kNow, kNow);
    const auto step = flow.OnObject(1, "not json", kNow);
    CHECK(std::get<ClaimRefused>(step).mOutcome == ClaimOutcome::Unknown);
  }
}

TEST_CASE("the time of an idempotency key")
{
  CHECK(TimeOfKey("0193e5a0-0000-7abc-8def-0123456789ab") ==
        TimePoint(std::chrono::milliseconds(0x0193e5a00000)));
  CHECK(TimeOfKey("0193e5a0-0000-4abc-8def-0123456789ab") == std::nullopt);
  CHECK(TimeOfKey("short") == std::nullopt);
}
