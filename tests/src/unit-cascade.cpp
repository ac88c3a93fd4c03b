#include <figslip/cascade/latency_estimator.hpp>
#include <figslip/cascade/stage_planner.hpp>
#include <figslip/evidence/task_key.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace figslip;
using cascade::StageOption;
using cascade::StagePlanner;
using evidence::StagePath;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(10) };
constexpr int kDraws = 1000;

struct Fixture
{
  evidence::EvidenceStore mEvidence{ { .mSelf = { "self", 1 } } };
  manifest::Cascade mCascade{ .mName = "assist",
                              .mQualityTarget = 0.85,
                              .mStages = { { "small", 0.6 },
                                           { "large", 0.0 } } };
  std::vector<StageOption> mOptions{
    { .mStage = 0, .mVersion = "small-1", .mCostPerThousandTokens = 100 },
    { .mStage = 1, .mVersion = "large-1", .mCostPerThousandTokens = 1000 }
  };
  std::mt19937_64 mRandom{ 1 };

  void Rate(const std::string& aVersion,
            StagePath aPath,
            const evidence::EvidenceCounts& aCounts)
  {
    mEvidence.Add(
      { aVersion, evidence::TaskKey("assist", "tag", aPath) }, aCounts, kNow);
  }

  /// Returns how often each option is chosen as the start stage.
  std::array<int, 2> Starts(cascade::StagePolicy aPolicy = {},
                            bool aCommitted = false,
                            Duration aTimeLeft = std::chrono::seconds(10))
  {
    StagePlanner planner(mEvidence, aPolicy);
    std::array<int, 2> starts{};
    for (int draw = 0; draw < kDraws; ++draw) {
      ++starts.at(planner.ChooseStartStage({ .mCascade = mCascade,
                                             .mTaskKind = "tag",
                                             .mCommitted = aCommitted,
                                             .mTimeLeft = aTimeLeft },
                                           mOptions,
                                           mRandom));
    }
    return starts;
  }
};

} // namespace

TEST_CASE("the start stage of a cascade")
{
  Fixture fixture;

  SUBCASE("without evidence is either one")
  {
    const auto starts = fixture.Starts();
    CHECK(starts[0] > 0);
    CHECK(starts[1] > 0);
  }

  SUBCASE("when the large model has good ratings")
  {
    for (const auto path : { StagePath::Committed, StagePath::Escalated }) {
      fixture.Rate("large-1", path, { .mGood = 190, .mBad = 10 });
    }

    SUBCASE("is the small one if its accepted answers reach the quality target")
    {
      fixture.Rate(
        "small-1",
        StagePath::Checked,
        { .mAccepted = 180, .mEscalated = 20, .mGood = 190, .mBad = 10 });
      CHECK(fixture.Starts()[0] > 0.95 * kDraws);

      SUBCASE("but not for streams, whose answers cannot be checked")
      {
        fixture.Rate(
          "small-1", StagePath::Committed, { .mGood = 100, .mBad = 100 });
        CHECK(fixture.Starts({}, true)[1] > 0.95 * kDraws);
      }

      SUBCASE("but not if it would end after the deadline")
      {
        fixture.mOptions[0].mExpectedLatency = std::chrono::seconds(20);
        CHECK(fixture.Starts()[1] == kDraws);
      }
    }

    SUBCASE("is the large one if accepted small answers have bad ratings")
    {
      fixture.Rate("small-1",
                   StagePath::Checked,
                   { .mAccepted = 200, .mGood = 100, .mBad = 100 });
      CHECK(fixture.Starts()[1] > 0.95 * kDraws);
    }

    SUBCASE("is the large one if nearly all small answers escalate")
    {
      fixture.Rate(
        "small-1",
        StagePath::Checked,
        { .mAccepted = 1, .mEscalated = 400, .mGood = 190, .mBad = 10 });
      CHECK(fixture.Starts()[1] > 0.8 * kDraws);
    }
  }

  SUBCASE("follows the rule of a baseline policy")
  {
    CHECK(fixture.Starts(cascade::AlwaysBest{})[1] == kDraws);
    CHECK(fixture.Starts(cascade::CheapestFirst{})[0] == kDraws);
    CHECK(fixture.Starts(cascade::RoundRobin{})[0] == kDraws / 2);
    CHECK(fixture.Starts(cascade::FixedShares{})[0] < 0.6 * kDraws);
  }
}

TEST_CASE("the learned latency covers most answers and bounds its keys")
{
  cascade::LatencyEstimator latencies(1);
  const evidence::EvidenceKey key{ "small-1", "tag" };
  CHECK(latencies.Expected(key) == Duration::zero());
  for (int answer = 0; answer < 400; ++answer) {
    latencies.Add(key, std::chrono::milliseconds(answer % 2 == 0 ? 90 : 110));
  }
  CHECK(latencies.Expected(key) > std::chrono::milliseconds(110));
  CHECK(latencies.Expected(key) < std::chrono::milliseconds(130));
  latencies.Add({ "large-1", "tag" }, std::chrono::seconds(1));
  CHECK(latencies.Expected({ "large-1", "tag" }) == Duration::zero());
}
