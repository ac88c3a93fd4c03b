#include <figslip/placement/concurrency_limit.hpp>
#include <harness/engine_load.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>

using namespace figslip;
using namespace std::chrono_literals;
using placement::ConcurrencyLimit;
using placement::LimitChange;
using placement::SpreadLimit;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

std::unique_ptr<test::EngineLoad>
Run(const test::EngineLoadOptions& aOptions)
{
  auto load = std::make_unique<test::EngineLoad>(aOptions);
  load->Run();
  return load;
}

} // namespace

TEST_CASE("the concurrency limit at an upstream of 16 slots")
{
  const ConcurrencyLimit::Bounds own{ .mInitial = 16, .mMax = 16 };
  const ConcurrencyLimit::Bounds shared{ .mInitial = 1,
                                         .mMax = 16,
                                         .mMayPause = true };
  ConcurrencyLimit limit;

  SUBCASE("starts with this instance's part of the slots")
  {
    CHECK(limit.Value(own, kStart) == 16);
    CHECK(limit.Value(shared, kStart) == 1);
  }
  SUBCASE("grows by one while all of it is in use and nothing waits")
  {
    CHECK(limit.OnReport(0, 1, kStart, shared, kStart + 1ms) ==
          LimitChange::Grown);
    CHECK(limit.Value(shared, kStart + 1ms) == 2);
    CHECK(limit.OnReport(0, 1, kStart, shared, kStart + 2ms) ==
          LimitChange::None);
  }
  SUBCASE("never exceeds the slots")
  {
    CHECK(limit.OnReport(0, 16, kStart, own, kStart + 1ms) ==
          LimitChange::None);
    CHECK(limit.Value(own, kStart + 1ms) == 16);
  }
  SUBCASE("falls when requests wait there")
  {
    CHECK(limit.OnReport(3, 16, kStart + 1ms, own, kStart + 9ms) ==
          LimitChange::Waiting);
    CHECK(limit.Value(own, kStart + 9ms) == 11);

    SUBCASE("once for requests that were sent before it fell")
    {
      CHECK(limit.OnRejected(kStart + 5ms, own, kStart + 12ms) ==
            LimitChange::None);
      CHECK(limit.Value(own, kStart + 12ms) == 11);
    }
    SUBCASE("and again for a later one that is rejected")
    {
      CHECK(limit.OnRejected(kStart + 10ms, own, kStart + 12ms) ==
            LimitChange::Rejected);
      CHECK(limit.Value(own, kStart + 12ms) == 7);
    }
    SUBCASE("until the upstream was not used for a while")
    {
      CHECK(limit.Value(own, kStart + 10s) == 16);
    }
    SUBCASE("until the upstream has restarted")
    {
      limit.Reset();
      CHECK(limit.Value(own, kStart + 9ms) == 16);
    }
  }
  SUBCASE("never falls below one, but may pause")
  {
    for (int count = 1; count <= 9; ++count) {
      const auto at = kStart + count * 1s;
      (void)limit.OnReport(5, 1, at - 800ms, shared, at);
      CHECK(limit.Value(shared, at) == 1);
      CHECK_FALSE(limit.IsOpen(at));
      CHECK(limit.IsOpen(at + 8s));
    }
  }
  SUBCASE("does not pause at an upstream of its own")
  {
    for (int count = 1; count <= 9; ++count) {
      (void)limit.OnReport(
        5, 1, kStart + count * 1s - 1ms, own, kStart + count * 1s);
    }
    CHECK(limit.IsOpen(kStart + 9s));
  }
}

TEST_CASE("the limit on requests that are spread over many upstreams")
{
  SpreadLimit limit;
  const int initial = limit.Value(kStart);

  SUBCASE("grows with the answers while all of it is in use")
  {
    limit.OnReport(false, initial, kStart);
    CHECK(limit.Value(kStart) == initial + 1);
    limit.OnReport(false, 1, kStart);
    CHECK(limit.Value(kStart) == initial + 1);
  }
  SUBCASE("falls to one where all are full")
  {
    for (int count = 0; count < 20; ++count) {
      limit.OnReport(true, initial, kStart);
    }
    CHECK(limit.Value(kStart) == 1);
    CHECK(limit.Value(kStart + 10s) == initial);
  }
}

TEST_CASE("27 instances before 112 engines at 6 times the load")
{
  const test::EngineLoadOptions options{ .mInstances = 27,
                                         .mDomains = 4,
                                         .mEngines = 112,
                                         .mLoad = 6.0,
                                         .mLength = 8s,
                                         .mReportsFactor = false,
                                         .mOverloadControl = true };
  const auto check = [](const test::EngineLoad& aLoad) {
    CHECK(aLoad.RejectedFraction() < 0.01);
    CHECK(aLoad.MeanWaiting() < 1.0); // of 48 places
    CHECK(aLoad.Utilization() > 0.95);
  };

  SUBCASE("use the slots and leave the queues of the engines nearly empty")
  {
    check(*Run(options));
  }
  SUBCASE("fill the queues without limits")
  {
    auto without = options;
    without.mOverloadControl = false;
    CHECK(Run(without)->RejectedFraction() > 0.5);
  }
  SUBCASE("do so while a tenth of the reports is lost")
  {
    auto lossy = options;
    lossy.mLostReports = 0.1;
    check(*Run(lossy));
  }
  SUBCASE("do so while ten engines restart")
  {
    auto restarting = options;
    restarting.mRestartedEngines = 10;
    check(*Run(restarting));
  }
  SUBCASE("do not flood engines that claim to be idle")
  {
    auto deceived = options;
    deceived.mLyingEngines = 5;
    const auto load = Run(deceived);
    CHECK(load->Utilization() > 0.95);
    // its own queue and the rejections bound what a false report does
    CHECK(load->RejectedBy(0) < load->SentTo(0) * 3);
  }
}

TEST_CASE("82 instances before 140 uneven engines")
{
  test::EngineLoadOptions options{ .mLength = 8s,
                                   .mSlowFraction = 0.25,
                                   .mMomentaryFraction = 0.15,
                                   .mOverloadControl = true };
  SUBCASE("at twice the load use the slots and leave the queues empty")
  {
    options.mLoad = 2.0;
    const auto load = Run(options);
    CHECK(load->RejectedFraction() < 0.01);
    CHECK(load->MeanWaiting() < 1.0);
    CHECK(load->Utilization() > 0.95);
  }
  SUBCASE("at usual load are hardly slowed by the limits")
  {
    const auto limited = Run(options);
    options.mOverloadControl = false;
    const auto unlimited = Run(options);
    MESSAGE("p95 ", limited->P95(), " ms, without ", unlimited->P95(), " ms");
    CHECK(limited->P95() < unlimited->P95() * 1.1);
  }
}
