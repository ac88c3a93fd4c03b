#include <figslip/rollout/version_monitor.hpp>

#include <doctest/doctest.h>

using namespace figslip;
using manifest::VersionState;
using rollout::VersionMonitor;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(10) };
constexpr Duration kStep = std::chrono::seconds(1);

manifest::ManifestIndex
MakeIndex(VersionState aState)
{
  return manifest::ManifestIndex(
    { .mGeneration = 1,
      .mModels = { { "small",
                     { { .mName = "small-1" },
                       { .mName = "small-2", .mState = aState } } } } });
}

struct Fixture
{
  evidence::EvidenceStore mEvidence{ { .mSelf = { "self", 1 } } };
  VersionMonitor mMonitor{ mEvidence };
  std::mt19937_64 mRandom;
  TimePoint mNow = kStart;

  explicit Fixture(std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
    mMonitor.OnManifest(MakeIndex(VersionState::RollOut), mNow);
  }

  void AddRating(const char* aVersion, double aGood)
  {
    const bool good = std::bernoulli_distribution(aGood)(mRandom);
    evidence::EvidenceCounts counts{ .mAnswered = 1 };
    (good ? counts.mGood : counts.mBad) = 1;
    mEvidence.Add({ aVersion, "tag" }, counts, mNow);
  }

  /// Adds one rating a second to each version.
  /// @return number of steps until small-2 is stopped, or aSteps
  int Run(int aSteps, double aGoodNew, double aGoodStable = 0.9)
  {
    for (int step = 0; step < aSteps; ++step) {
      mNow += kStep;
      AddRating("small-1", aGoodStable);
      AddRating("small-2", aGoodNew);
      mEvidence.Expire(mNow);
      mMonitor.Evaluate(mNow);
      if (mMonitor.IsStopped("small-2")) {
        return step + 1;
      }
    }
    return aSteps;
  }

  /// Estimates the share of small-2 from repeated choices.
  double MeasuredShare()
  {
    const auto index = MakeIndex(VersionState::RollOut);
    const auto& versions = index.Content().mModels.front().mVersions;
    const std::vector<const manifest::ModelVersion*> open{ &versions[0],
                                                           &versions[1] };
    constexpr int kDraws = 4000;
    int hits = 0;
    for (int draw = 0; draw < kDraws; ++draw) {
      hits += mMonitor.Choose(open, mRandom)->mName == "small-2" ? 1 : 0;
    }
    return static_cast<double>(hits) / kDraws;
  }
};

} // namespace

TEST_CASE("version in roll-out")
{
  Fixture fixture;

  SUBCASE("does not grow without ratings")
  {
    for (int step = 0; step < 600; ++step) {
      fixture.mEvidence.Add(
        { "small-2", "tag" }, { .mAnswered = 1 }, fixture.mNow);
    }
    fixture.mMonitor.Evaluate(fixture.mNow);
    CHECK(fixture.MeasuredShare() == doctest::Approx(0.05).epsilon(0.3));
  }

  SUBCASE("with the quality of the stable version")
  {
    CHECK(fixture.Run(600, 0.9) == 600);

    SUBCASE("grows to the maximum share")
    {
      CHECK(fixture.MeasuredShare() == doctest::Approx(0.5).epsilon(0.1));
    }

    SUBCASE("is stopped within 60 ratings after its quality drops")
    {
      CHECK(fixture.Run(600, 0.3) < 60);

      SUBCASE("and stays stopped until its state changes")
      {
        fixture.mMonitor.OnManifest(MakeIndex(VersionState::RollOut),
                                    fixture.mNow);
        CHECK(fixture.mMonitor.IsStopped("small-2"));
        CHECK(fixture.MeasuredShare() == 0.0);
        fixture.mMonitor.OnManifest(MakeIndex(VersionState::Stable),
                                    fixture.mNow);
        CHECK_FALSE(fixture.mMonitor.IsStopped("small-2"));
      }
    }

    SUBCASE("is stopped by errors alone, without ratings")
    {
      fixture.mEvidence.Add(
        { "small-2", "tag" }, { .mErrors = 30 }, fixture.mNow);
      CHECK(fixture.mMonitor.Evaluate(fixture.mNow) ==
            std::vector<std::string>{ "small-2" });
    }

    SUBCASE("is held back but not stopped when only its scores drop")
    {
      fixture.mEvidence.Add(
        { "small-1", "tag" }, { .mAccepted = 90, .mEscalated = 10 }, kStart);
      fixture.mEvidence.Add(
        { "small-2", "tag" }, { .mEscalated = 30 }, fixture.mNow);
      CHECK(fixture.mMonitor.Evaluate(fixture.mNow).empty());
      CHECK(fixture.MeasuredShare() < 0.04);
    }
  }
}

TEST_CASE("single stable version is compared with its own history")
{
  Fixture fixture;
  fixture.mMonitor.OnManifest(
    manifest::ManifestIndex(
      { .mModels = { { "small", { { .mName = "small-2" } } } } }),
    fixture.mNow);
  CHECK(fixture.Run(600, 0.9) == 600);
  CHECK(fixture.Run(600, 0.3) < 60);
}

// The bound is 2 exp(-12.2) per bucket, with 61 buckets in a run of 3600 s. The
// expected number of false stops in 100 runs is at most 0.06; more than 1
// contradicts the bound (probability under 0.002).
TEST_CASE("false stops of good versions stay within the documented bound")
{
  constexpr int kRuns = 100;
  constexpr int kSteps = 3600;
  int stops = 0;
  for (int seed = 0; seed < kRuns; ++seed) {
    Fixture fixture(static_cast<std::uint64_t>(seed) + 1);
    stops += fixture.Run(kSteps, 0.9) < kSteps ? 1 : 0;
  }
  MESSAGE("false stops: " << stops << " in " << kRuns << " runs of an hour");
  CHECK(stops <= 1);
}

// A stop takes 20 ratings until the reference is used, plus the threshold
// divided by the drift of the evidence. A margin of 1.5 standard errors needs
// only 24 and 78 ratings, but violates the bound on false stops.
TEST_CASE("bad versions are stopped within a bounded number of ratings")
{
  constexpr int kRuns = 200;
  for (const auto& [good, bound] :
       { std::pair(0.3, 40), std::pair(0.6, 120) }) {
    int ratings = 0;
    for (int seed = 0; seed < kRuns; ++seed) {
      Fixture fixture(static_cast<std::uint64_t>(seed) + 1);
      ratings += fixture.Run(2000, good);
    }
    MESSAGE("mean ratings to a stop at a rate of " << good << ": "
                                                   << ratings / kRuns);
    CHECK(ratings / kRuns < bound);
  }
}
