#include <figslip/load/fakes.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace figslip::load {

namespace {

/// Steepness of the chance of a good answer over ability less difficulty.
constexpr double kSteepness = 2.0;
/// Part of the ability that a bad version keeps, as chance of a good answer.
constexpr double kBadFactor = 0.35;
constexpr double kBadErrorShare = 0.03;
constexpr double kScoreSpread = 0.15;
constexpr double kScoreOfGood = 0.72;
constexpr double kScoreOfBad = 0.42;
constexpr Duration kWarmUp = std::chrono::seconds(8);
/// Slowdown of a request on a full upstream.
constexpr double kFullSlowdown = 0.6;

} // namespace

void
EventQueue::At(TimePoint aTime, Callback aCallback)
{
  mEvents.push({ std::max(aTime, mNow), mAdded++, std::move(aCallback) });
}

void
EventQueue::RunUntil(TimePoint aEnd)
{
  while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
    auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    event.mCallback(mNow);
  }
  mNow = std::max(mNow, aEnd);
}

AnswerModel::AnswerModel(const std::vector<VersionProfile>& aProfiles)
{
  for (const auto& profile : aProfiles) {
    mVersions[profile.mName] = { profile, false };
  }
}

void
AnswerModel::TurnBad(std::string_view aVersion)
{
  mVersions.find(aVersion)->second.mIsBad = true;
}

bool
AnswerModel::IsBad(std::string_view aVersion) const
{
  const auto found = mVersions.find(aVersion);
  return found != mVersions.end() && found->second.mIsBad;
}

FakeAnswer
AnswerModel::Draw(std::string_view aVersion,
                  double aDifficulty,
                  std::int64_t aTokens,
                  std::mt19937_64& aRandom) const
{
  const auto& [profile, isBad] = mVersions.find(aVersion)->second;
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  double good =
    1.0 / (1.0 + std::exp(-kSteepness * (profile.mAbility - aDifficulty)));
  if (isBad) {
    good *= kBadFactor;
  }
  FakeAnswer answer{ .mGood = chance(aRandom) < good, .mTokens = aTokens };
  std::normal_distribution<double> score(
    answer.mGood ? kScoreOfGood : kScoreOfBad, kScoreSpread);
  answer.mScore = std::clamp(score(aRandom), 0.0, 1.0);
  answer.mFails =
    chance(aRandom) < (isBad ? kBadErrorShare : profile.mErrorShare);
  answer.mWork = profile.mFirstToken + aTokens * profile.mPerToken;
  return answer;
}

FakeUpstream::FakeUpstream(const manifest::Upstream& aConfig)
  : mConfig(&aConfig)
{
}

bool
FakeUpstream::IsCold(TimePoint aNow) const
{
  return aNow - mUpSince < kWarmUp;
}

std::string
FakeUpstream::BootId() const
{
  return mConfig->mName + "-" + std::to_string(mEpoch);
}

bool
FakeUpstream::Begin(TimePoint aNow)
{
  assert(mIsUp);
  ++mRunning;
  if (IsCold(aNow) && mRunning > mConfig->mColdConcurrency) {
    GoDown();
    return false;
  }
  return true;
}

void
FakeUpstream::End()
{
  assert(mRunning > 0);
  --mRunning;
}

void
FakeUpstream::GoDown()
{
  mIsUp = false;
  mRunning = 0;
  ++mEpoch;
}

void
FakeUpstream::ComeUp(TimePoint aNow)
{
  mIsUp = true;
  mUpSince = aNow;
}

double
FakeUpstream::Slowdown() const
{
  const double load =
    static_cast<double>(mRunning) / static_cast<double>(mConfig->mConcurrency);
  return 1.0 + kFullSlowdown * load * std::max(1.0, load);
}

} // namespace figslip::load
