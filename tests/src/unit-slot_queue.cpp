#include <figslip/gateway/slot_queue.hpp>
#include <figslip/time/wall_clock.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using admission::AdmissionResult;
using gateway::SlotQueue;
using gateway::WaitEnd;
using routing::TicketId;

namespace {

/// Runs a queue for an upstream with a number of free slots.
class QueueWorld
{
public:
  /// Lets a request wait, in the coroutine of its caller.
  TicketId Start(std::optional<std::uint64_t> aFormerArrival = std::nullopt)
  {
    const auto now = ReadBootClock();
    SlotQueue::Request request;
    const auto ticket = mQueue.IssueTicket();
    request.mOffered = { .mQueued = { .mTicket = ticket,
                                      .mCapacityClass = "chat",
                                      .mAccount = "studio",
                                      .mFormerArrival = aFormerArrival },
                         .mService = "chat",
                         .mInTimeBy = now + 1h,
                         .mLateBy = now + mPatience };
    request.mAttemptId = std::to_string(ticket);
    request.mExecutor = mContext.get_executor();
    request.mTry = [this, ticket] {
      if (mFreeSlots == 0) {
        return AdmissionResult::NoCapacity;
      }
      --mFreeSlots;
      mAdmitted.push_back(ticket);
      return AdmissionResult::Admitted;
    };
    net::asio::co_spawn(mContext,
                        mQueue.Wait(std::move(request)),
                        [this, ticket](const std::exception_ptr& aError,
                                       const SlotQueue::Outcome& aOutcome) {
                          CHECK(aError == nullptr);
                          mOutcomes[ticket] = aOutcome;
                        });
    mContext.poll();
    return ticket;
  }

  /// Runs until all waits have ended.
  void RunToEnd()
  {
    mContext.restart();
    mContext.run();
  }

  net::asio::io_context mContext{ 1 };
  metrics::Registry mMetrics;
  bool mIsStopping = false;
  int mFreeSlots = 0;
  Duration mPatience = 1h;
  std::vector<TicketId> mAdmitted;
  std::map<TicketId, SlotQueue::Outcome> mOutcomes;
  SlotQueue mQueue{ mMetrics, { .mMaxBytes = 1000, .mIsStopping = [this] {
                                 return mIsStopping;
                               } } };
};

} // namespace

TEST_CASE("requests that wait for a slot")
{
  QueueWorld world;
  const auto first = world.Start();
  const auto second = world.Start();
  REQUIRE(world.mQueue.HasWaiting("chat"));
  REQUIRE(world.mOutcomes.empty());

  SUBCASE("get it in their order when it becomes free")
  {
    world.mFreeSlots = 2;
    world.mQueue.OnCapacityChange();
    world.RunToEnd();
    CHECK(world.mAdmitted == std::vector{ first, second });
    CHECK(world.mOutcomes.at(first).mEnd == WaitEnd::Admitted);
    CHECK(world.mQueue.Empty());
    const auto metrics = world.mMetrics.Print();
    CHECK(metrics.find("# TYPE figslip_queue_waiting gauge\n"
                       "figslip_queue_waiting{service=\"chat\"} 0") !=
          std::string::npos);
  }

  SUBCASE("leave at once when their callers do")
  {
    world.mQueue.Cancel(first);
    world.mFreeSlots = 2;
    world.RunToEnd();
    CHECK(world.mOutcomes.at(first).mEnd == WaitEnd::PlanAgain);
    CHECK(world.mAdmitted == std::vector{ second });
  }

  // Guards against a change of the configuration that costs ranks.
  SUBCASE("keep their ranks when they plan anew")
  {
    world.mQueue.ReplanAll();
    world.RunToEnd();
    const auto rankOfFirst = world.mOutcomes.at(first).mArrival;
    const auto rankOfSecond = world.mOutcomes.at(second).mArrival;
    world.mContext.restart();
    const auto secondAgain = world.Start(rankOfSecond);
    const auto firstAgain = world.Start(rankOfFirst);
    world.mFreeSlots = 2;
    world.mQueue.OnCapacityChange();
    world.RunToEnd();
    CHECK(world.mAdmitted == std::vector{ firstAgain, secondAgain });
  }

  SUBCASE("end when the instance stops")
  {
    world.mIsStopping = true;
    world.RunToEnd();
    CHECK(world.mOutcomes.at(first).mEnd == WaitEnd::Stopping);
    CHECK(world.mOutcomes.at(second).mEnd == WaitEnd::Stopping);
  }

  SUBCASE("are refused at the end of their time, with a time to come back")
  {
    world.mPatience = 1ms;
    const auto third = world.Start();
    world.mQueue.Cancel(first);
    world.mQueue.Cancel(second);
    world.RunToEnd();
    const auto& outcome = world.mOutcomes.at(third);
    CHECK(outcome.mEnd == WaitEnd::Refused);
    CHECK(outcome.mRetryAfter.value_or(0s) >= 400ms);
    const auto metrics = world.mMetrics.Print();
    CHECK(metrics.find("figslip_queue_refused_total{service=\"chat\",reason="
                       "\"waited_out\"} 1") != std::string::npos);
  }
}
