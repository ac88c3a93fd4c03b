#include <figslip/billing/billing_record.hpp>
#include <figslip/report/print_burn.hpp>
#include <figslip/report/slo_counters.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;
using namespace figslip::report;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kHourMs = 3'600'000;

const manifest::Slo kSlo{ .mName = "chat",
                          .mClientAccount = "salon",
                          .mObjective = 0.9,
                          .mLatencyMs = 1300,
                          .mWindowHours = 24 };

manifest::Manifest
ManifestWithSlo()
{
  manifest::Manifest manifest;
  manifest.mSlos.push_back(kSlo);
  return manifest;
}

std::uint64_t
CountOf(metrics::Registry& aRegistry, SloResult aResult)
{
  return aRegistry
    .CounterOf(kSloCounter,
               { { "account", "salon" },
                 { "slo", "chat" },
                 { "result", std::string(NameOf(aResult)) } })
    .Value();
}

Sample
SampleAt(std::int64_t aHour, std::int64_t aGood, std::int64_t aRefused)
{
  return { .mTakenAtMs = aHour * kHourMs,
           .mDaemons = { "d1" },
           .mMissing = {},
           .mCounts = { { "d1", "salon", "chat", "good", aGood },
                        { "d1", "salon", "chat", "refused", aRefused } } };
}

SloBurn
BurnOf(std::vector<Sample> aSamples, std::vector<std::string> aBatches = {})
{
  auto burns = ComputeBurn({ .mSlos = { kSlo },
                             .mSamples = std::move(aSamples),
                             .mBatches = std::move(aBatches) });
  REQUIRE(burns);
  REQUIRE(burns.assume_value().size() == 1);
  return burns.assume_value().front();
}

} // namespace

TEST_CASE("the counters of an SLO")
{
  metrics::Registry registry;
  const auto manifest = ManifestWithSlo();
  const auto count = [&](const SloEvent& aEvent) {
    CountForSlos(registry, manifest, "salon", aEvent);
  };

  SUBCASE("compare the latency with the bound exactly")
  {
    count(AnsweredRequest{ milliseconds(1300) });
    count(AnsweredRequest{ milliseconds(1300) + Duration(1) });
    CHECK(CountOf(registry, SloResult::Good) == 1);
    CHECK(CountOf(registry, SloResult::Slow) == 1);
  }

  SUBCASE("count refusals that are no fault of the caller")
  {
    count(RefusedRequest{ error::ErrorKind::NoCapacity });
    count(RefusedRequest{ error::ErrorKind::NotAllowed });
    CHECK(CountOf(registry, SloResult::Refused) == 1);
  }

  SUBCASE("leave other client accounts alone")
  {
    CountForSlos(registry, manifest, "school", AnsweredRequest{});
    CHECK(registry.Print().empty());
  }

  SUBCASE("come through exposition and sample")
  {
    count(BadRating{});
    const auto points = ParseExposition(registry.Print());
    REQUIRE(points);
    Sample sample{ .mTakenAtMs = 7 };
    AddDaemon(sample, "d1", points.assume_value());
    REQUIRE(sample.mCounts.size() == 1);
    CHECK(sample.mCounts[0] ==
          SloCount{ "d1", "salon", "chat", "bad_rating", 1 });
    const auto parsed = ParseSamples("file", PrintSample(sample));
    REQUIRE(parsed);
    CHECK(parsed.assume_value().front() == sample);
  }
}

TEST_CASE("the text exposition form")
{
  SUBCASE("has the last value of a gauge")
  {
    metrics::Registry registry;
    registry.GaugeOf("g", { { "a", "x" } }).Set(3.0);
    registry.GaugeOf("g", { { "a", "x" } }).Set(1.5);
    CHECK(registry.Print() == "# TYPE g gauge\ng{a=\"x\"} 1.5\n");
  }
  SUBCASE("is parsed with escaped labels and histograms")
  {
    metrics::Registry registry;
    registry.CounterOf("c", { { "a", "x\"\\\ny" } }).Add(3);
    registry.HistogramOf("h").Observe(3.0);
    const auto points = ParseExposition(registry.Print());
    REQUIRE(points);
    CHECK(points.assume_value().front() ==
          MetricPoint{ "c", { { "a", "x\"\\\ny" } }, 3.0 });
    CHECK(points.assume_value().back() == MetricPoint{ "h_count", {}, 1.0 });
  }

  SUBCASE("gives all findings with their lines")
  {
    const auto points = ParseExposition("a 1\nb{x=} 2\nc 3x\n d 4\n");
    REQUIRE_FALSE(points);
    CHECK(points.assume_error().size() == 3);
    CHECK(points.assume_error().front().Message() ==
          "[ledger.malformed_record.601] line 2: no metric of the text "
          "exposition form");
  }

  SUBCASE("in a malformed sample gives findings with line and pointer")
  {
    const auto samples = ParseSamples("file", "{}\n{");
    REQUIRE_FALSE(samples);
    CHECK(samples.assume_error().front().mPlace == "file:1#/taken_at_ms");
    CHECK(samples.assume_error().back().mPlace.starts_with("file:2#"));
  }
}

TEST_CASE("the burn of an SLO")
{
  SUBCASE("needs samples of two times")
  {
    CHECK_FALSE(
      ComputeBurn({ .mSlos = {}, .mSamples = { SampleAt(1, 0, 0) } }));
    CHECK_FALSE(ComputeBurn(
      { .mSlos = {}, .mSamples = { SampleAt(1, 0, 0), SampleAt(1, 0, 0) } }));
  }

  SUBCASE("is told for a short and a long window")
  {
    const auto burn = BurnOf(
      { SampleAt(0, 100, 0), SampleAt(5, 190, 10), SampleAt(6, 260, 40) });
    CHECK(burn.mShort.mCounts == BurnCounts{ 70, 0, 30, 0 });
    CHECK(burn.mShort.mRate == doctest::Approx(3.0));
    CHECK(burn.mLong.mCounts == BurnCounts{ 160, 0, 40, 0 });
    CHECK(burn.mLong.mRate == doctest::Approx(2.0));
    CHECK(burn.mBudgetLeft == doctest::Approx(-1.0));
    CHECK(burn.mBudget.mCovered == std::chrono::hours(6));
    CHECK(burn.mHistory.size() == 2);
  }

  SUBCASE("counts from zero after a restart of a daemon")
  {
    const auto burn = BurnOf({ SampleAt(0, 100, 0), SampleAt(1, 9, 1) });
    CHECK(burn.mShort.mCounts == BurnCounts{ 9, 0, 1, 0 });
    CHECK(burn.mShort.mRate == doctest::Approx(1.0));
  }

  SUBCASE("counts what a daemon missing from one sample did meanwhile")
  {
    const Sample gap{ .mTakenAtMs = kHourMs, .mMissing = { "d1" } };
    const auto burn = BurnOf({ SampleAt(0, 100, 0), gap, SampleAt(2, 109, 1) });
    CHECK(burn.mShort.mCounts == BurnCounts{ 9, 0, 1, 0 });
  }

  SUBCASE("takes in bad ratings, but never more of them than answers")
  {
    CHECK(BurnCounts{ 10, 1, 2, 3 }.Bad() == 6);
    CHECK(BurnCounts{ 2, 1, 2, 5 }.Bad() == 5);
    CHECK(BurnCounts{ 2, 1, 2, 5 }.Total() == 5);
  }

  SUBCASE("comes with the cost of the client account, each request once")
  {
    const billing::BillingRecord record{ .mRequestId = "r1",
                                         .mAccount = "salon",
                                         .mTarget = "chat",
                                         .mVersion = "small-1",
                                         .mAnsweredAtMs = kHourMs / 2,
                                         .mAttempts = {
                                           { "w1", "small-1", 20, 7 } } };
    const auto batch = billing::PrintBatch({ record });
    const auto burn =
      BurnOf({ SampleAt(0, 0, 0), SampleAt(1, 1, 0) }, { batch, batch });
    CHECK(burn.mSpending.mRequests == 1);
    CHECK(burn.mSpending.mCost == 7);
  }

  SUBCASE("is printed in three forms, names escaped")
  {
    auto burn = BurnOf({ SampleAt(0, 0, 0), SampleAt(1, 9, 1) });
    burn.mSlo.mName = "<chat>";
    CHECK(PrintText({ burn }).find("refusals 1") != std::string::npos);
    CHECK(PrintJson({ burn }).find("\"refused\": 1") != std::string::npos);
    const auto page = PrintHtml({ burn });
    CHECK(page.find("&lt;chat&gt;") != std::string::npos);
    CHECK(page.find("<polyline") != std::string::npos);
    CHECK(page.find("http") == std::string::npos);
  }
}
