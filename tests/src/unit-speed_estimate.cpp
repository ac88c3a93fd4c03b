#include <figslip/placement/speed_estimate.hpp>
#include <harness/engine_load.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <limits>

using namespace figslip;
using namespace std::chrono_literals;
using placement::SpeedEstimate;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Adds samples of an upstream that takes a multiple of the expected time.
void
AddSamples(SpeedEstimate& aSpeed, int aCount, double aFactor, TimePoint aNow)
{
  for (int sample = 0; sample < aCount; ++sample) {
    aSpeed.OnReport(1.0, aNow);
    aSpeed.OnSample(
      std::chrono::duration_cast<Duration>(100ms * aFactor), 100ms, 1.0, aNow);
  }
}

} // namespace

TEST_CASE("the speed of an upstream")
{
  SpeedEstimate speed;

  SUBCASE("is the usual one while it has reported no factor")
  {
    speed.OnSample(900ms, 100ms, 1.0, kStart);
    CHECK(speed.Scale(100ms, 0.7, kStart) == 100ms);
  }

  SUBCASE("follows the reported factor")
  {
    speed.OnReport(2.5, kStart);
    CHECK(speed.MomentaryFactor(kStart) == doctest::Approx(2.5));
    CHECK(speed.Scale(10ms, 0.0, kStart) > 20ms);

    SUBCASE("which soon returns to the mean")
    {
      CHECK(speed.MomentaryFactor(kStart + 800ms) < 1.05);
      CHECK(speed.Scale(10ms, 0.0, kStart + 800ms) < 11ms);
    }
    SUBCASE("and matters less for work that goes on for longer")
    {
      CHECK(speed.Scale(2'000ms, 0.0, kStart) < 2'500ms);
    }
  }

  SUBCASE("is learnt from the times of many requests")
  {
    AddSamples(speed, 60, 2.0, kStart);
    CHECK(speed.Scale(100ms, 0.0, kStart) > 180ms);
    CHECK(speed.Scale(100ms, 0.0, kStart) < 210ms);

    SUBCASE("and learnt anew when the machine has become faster")
    {
      AddSamples(speed, 60, 1.0, kStart + 1s);
      CHECK(speed.Scale(100ms, 0.0, kStart + 1s) < 120ms);
    }
    SUBCASE("and is near the mean again without recent samples")
    {
      CHECK(speed.Scale(100ms, 0.0, kStart + 200s) < 105ms);
    }
    SUBCASE("and is unknown after a restart")
    {
      speed.Reset();
      CHECK(speed.Scale(100ms, 0.0, kStart) == 100ms);
    }
  }

  SUBCASE("is not ranked best for a single fast answer")
  {
    AddSamples(speed, 1, 0.3, kStart);
    SpeedEstimate known;
    AddSamples(known, 60, 0.8, kStart);
    CHECK(known.Scale(100ms, 0.1, kStart) < speed.Scale(100ms, 0.1, kStart));
  }

  SUBCASE("is not taken for slow while the slowdown was reported")
  {
    for (int sample = 0; sample < 60; ++sample) {
      speed.OnReport(2.5, kStart + sample * 10ms);
      speed.OnSample(250ms, 100ms, 2.5, kStart + sample * 10ms);
    }
    CHECK(std::abs(speed.LastingLog(0.0, kStart + 600ms)) < 0.05);
  }

  SUBCASE("stays within bounds if the reports are false")
  {
    speed.OnReport(std::numeric_limits<double>::max(), kStart);
    CHECK(speed.Scale(100ms, 0.0, kStart) <= 800ms);
    speed.OnReport(std::numeric_limits<double>::min(), kStart + 1s);
    CHECK(speed.Scale(100ms, 0.0, kStart + 1s) >= 25ms);
  }
}

TEST_CASE("82 instances before 140 engines on machines of uneven speed")
{
  const test::EngineLoadOptions uneven{ .mLength = 20s,
                                        .mSlowFraction = 0.25,
                                        .mMomentaryFraction = 0.15 };
  const auto run = [](test::EngineLoadOptions aOptions) {
    auto load = std::make_unique<test::EngineLoad>(aOptions);
    load->Run();
    return load;
  };
  const auto with = run(uneven);

  SUBCASE("answer sooner than without knowing the speeds")
  {
    auto options = uneven;
    options.mReportsFactor = false;
    const auto without = run(options);
    MESSAGE("p95 ", with->P95(), " ms, without ", without->P95(), " ms");
    MESSAGE("busiest ", with->Busiest(), ", without ", without->Busiest());
    CHECK(with->P95() < without->P95() * 0.95);
  }

  SUBCASE("do not crowd the fast engines")
  {
    CHECK(with->Busiest() <= 1.4);
  }

  SUBCASE("do so while a tenth of the reports is lost")
  {
    auto options = uneven;
    options.mLostReports = 0.1;
    const auto lossy = run(options);
    CHECK(lossy->P95() < with->P95() * 1.1);
    CHECK(lossy->Busiest() <= 1.4);
  }

  SUBCASE("do not follow engines that claim to be idle and fast")
  {
    auto options = uneven;
    options.mLyingEngines = 5;
    const auto deceived = run(options);
    CHECK(deceived->P95() < with->P95() * 1.2);
    CHECK(deceived->Busiest() <= 2.0);
  }
}
