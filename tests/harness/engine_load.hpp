#pragma once

#include <figslip/placement/upstream_selector.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace figslip::test {

/// Describes instances that send to engines on machines of uneven speed.
struct EngineLoadOptions
{
  int mInstances = 82;
  int mDomains = 3;
  int mEngines = 140;
  int mSlots = 16;
  int mQueue = 48;
  double mLoad = 0.6; ///< requests, as a fraction of what the slots complete
  Duration mLength = std::chrono::seconds(10);
  double mSlowFraction = 0.0; ///< of the engines, slow all the time
  double mSlowFactor = 1.8;
  double mMomentaryFraction = 0.0; ///< of the time, each engine by itself
  double mMomentaryFactor = 2.5;
  Duration mMomentaryTime = std::chrono::milliseconds(600);
  bool mReportsFactor = true;
  double mLostReports = 0.0; ///< fraction of the responses without a report
  int mLyingEngines = 0;     ///< engines that always report to be idle
  int mRestartedEngines = 0; ///< engines that restart half-way
  bool mOverloadControl = false;
  Duration mMaxWait = std::chrono::milliseconds(500); ///< for a slot
};

/// Plays the load in virtual time.
class EngineLoad
{
public:
  explicit EngineLoad(EngineLoadOptions aOptions)
    : mOptions(aOptions)
    , mEngines(static_cast<std::size_t>(aOptions.mEngines))
    , mWaiting(static_cast<std::size_t>(aOptions.mInstances))
  {
    for (int index = 0; index < aOptions.mEngines; ++index) {
      InitEngine(index);
    }
    std::vector<membership::InstanceLocation> instances;
    instances.reserve(mWaiting.size());
    for (int index = 0; index < aOptions.mInstances; ++index) {
      instances.push_back({ .mName = "entry-" + std::to_string(index),
                            .mFailureDomain = DomainOf(index) });
    }
    for (int index = 0; index < aOptions.mInstances; ++index) {
      mSelectors.push_back(std::make_unique<placement::UpstreamSelector>(
        placement::UpstreamSelector::Options{
          .mInstance = "entry-" + std::to_string(index),
          .mDomain = DomainOf(index),
          .mOverloadControl = aOptions.mOverloadControl,
          .mSeed = static_cast<std::uint64_t>(index) + 1 }));
      mSelectors.back()->OnConfiguration(MakeConfiguration());
      mSelectors.back()->OnUpstreams(mEntries, kStart);
      mSelectors.back()->SetInstances(instances);
      mSelectors.back()->SetInstanceCount(aOptions.mInstances);
    }
  }

  void Run()
  {
    constexpr double kMeanMs = kDecodeMs + kIdleMs + kPrefillMs;
    const double perMs =
      mOptions.mLoad * mOptions.mEngines * mOptions.mSlots / kMeanMs;
    std::exponential_distribution<double> intervalMs(perMs);
    for (auto at = kStart; at < kStart + mOptions.mLength;
         at += FromMs(intervalMs(mRandom))) {
      const auto instance =
        mRandom() % static_cast<std::uint64_t>(mOptions.mInstances);
      At(at, [this, instance](TimePoint aNow) {
        ++mArrived;
        mWaiting[instance].push_back({ ++mLastId, aNow });
        Serve(instance, aNow);
      });
    }
    for (auto at = kStart; at < kStart + mOptions.mLength; at += kTick) {
      At(at, [this](TimePoint aNow) { Tick(aNow); });
    }
    At(kStart + mOptions.mLength / 2,
       [this](TimePoint aNow) { Restart(aNow); });
    while (!mEvents.empty() &&
           mEvents.begin()->first < kStart + mOptions.mLength) {
      const auto node = mEvents.extract(mEvents.begin());
      node.mapped()(node.key());
    }
  }

  /// Returns the 95th percentile of the time from the arrival of a request to
  /// its first event, ms.
  [[nodiscard]] double P95() const
  {
    auto times = mFirstEventMs;
    const auto rank = static_cast<std::ptrdiff_t>(times.size() * 95 / 100);
    std::ranges::nth_element(times, times.begin() + rank);
    return times.at(static_cast<std::size_t>(rank));
  }
  /// Returns the requests of the busiest engine relative to the mean.
  [[nodiscard]] double Busiest() const
  {
    int all = 0;
    int most = 0;
    for (const auto& engine : mEngines) {
      all += engine.mStarted;
      most = std::max(most, engine.mStarted);
    }
    return static_cast<double>(most) * mOptions.mEngines / std::max(1, all);
  }
  /// Returns the fraction of the attempts that engines rejected.
  [[nodiscard]] double RejectedFraction() const
  {
    return static_cast<double>(mRejected) / std::max(1, mSent);
  }
  /// Returns the mean number of requests that wait at an engine, in the latter
  /// three quarters.
  [[nodiscard]] double MeanWaiting() const
  {
    return mQueued / std::max(1, mSlotTicks) / mOptions.mEngines;
  }
  /// Returns the fraction of the slots in use in the latter three quarters.
  [[nodiscard]] double Utilization() const
  {
    return mUsedSlots / std::max(1, mSlotTicks) /
           (static_cast<double>(mOptions.mEngines) * mOptions.mSlots);
  }
  [[nodiscard]] int SentTo(std::size_t aEngine) const
  {
    return mEngines.at(aEngine).mStarted;
  }
  /// Returns the factor of the time that work takes there, all the time.
  [[nodiscard]] double FactorOf(std::size_t aEngine) const
  {
    return mEngines.at(aEngine).mFactor;
  }
  [[nodiscard]] int SentInAll() const { return mSent; }
  [[nodiscard]] int RejectedBy(std::size_t aEngine) const
  {
    return mEngines.at(aEngine).mRejected;
  }

private:
  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  static constexpr Duration kTick = std::chrono::milliseconds(10);
  static constexpr double kDecodeMs = 800.0; ///< mean
  static constexpr double kIdleMs = 12.0;
  static constexpr double kPrefillMs = 20.0; ///< mean
  static constexpr double kMsPerRunning = 4.0;
  static constexpr double kTokensPerMs = 60.0;

  struct Waiting
  {
    std::uint64_t mId = 0;
    TimePoint mArrivedAt;
  };

  struct Job
  {
    std::size_t mInstance = 0;
    std::size_t mEngine = 0;
    TimePoint mArrivedAt;
    TimePoint mSentAt;
    placement::Reservation mReservation;
    double mPrefillMs = 0.0;
    double mDecodeMs = 0.0;
  };

  struct Engine
  {
    double mFactor = 1.0; ///< all the time
    std::vector<TimePoint> mSlowFrom;
    int mRunning = 0;
    std::deque<std::shared_ptr<Job>> mQueue;
    TimePoint mPrefillUntil;
    int mStarted = 0;
    int mRejected = 0;
  };

  static Duration FromMs(double aMs)
  {
    constexpr double kMicros = 1'000.0;
    return Duration(static_cast<Duration::rep>(aMs * kMicros));
  }

  [[nodiscard]] std::string DomainOf(int aIndex) const
  {
    return std::string(1, static_cast<char>('a' + aIndex % mOptions.mDomains));
  }

  [[nodiscard]] ingress::ConfigurationPtr MakeConfiguration() const
  {
    ingress::Configuration configuration;
    configuration.mServices.push_back(
      { .mName = "engines",
        .mEngine = ingress::EngineLimits{ .mSlots = mOptions.mSlots,
                                          .mCapacityTokens = 400'000,
                                          .mModels = { { "one", 0.1 } } } });
    return std::make_shared<const ingress::ConfigurationIndex>(configuration);
  }

  void InitEngine(int aIndex)
  {
    auto& engine = mEngines.at(static_cast<std::size_t>(aIndex));
    mEntries.push_back({ .mId = "e" + std::to_string(aIndex),
                         .mService = "engines",
                         .mAddress = "127.0.0.1",
                         .mPort = 80,
                         .mDomain = DomainOf(aIndex),
                         .mVersion = "v1",
                         .mSlots = mOptions.mSlots,
                         .mStartedAtMs = 1 });
    mEngineOf.emplace(mEntries.back().mId, static_cast<std::size_t>(aIndex));
    const bool isSlow =
      std::bernoulli_distribution(mOptions.mSlowFraction)(mRandom);
    engine.mFactor = isSlow ? mOptions.mSlowFactor : 1.0;
    if (mOptions.mMomentaryFraction <= 0.0) {
      return;
    }
    const double meanPauseMs =
      std::chrono::duration<double, std::milli>(mOptions.mMomentaryTime)
        .count() *
      (1.0 / mOptions.mMomentaryFraction - 1.0);
    std::exponential_distribution<double> pauseMs(1.0 / meanPauseMs);
    for (auto at = kStart + FromMs(pauseMs(mRandom));
         at < kStart + 2 * mOptions.mLength;
         at += mOptions.mMomentaryTime + FromMs(pauseMs(mRandom))) {
      engine.mSlowFrom.push_back(at);
    }
  }

  [[nodiscard]] bool IsSlowAt(const Engine& aEngine, TimePoint aNow) const
  {
    const auto next = std::ranges::upper_bound(aEngine.mSlowFrom, aNow);
    return next != aEngine.mSlowFrom.begin() &&
           aNow < *std::prev(next) + mOptions.mMomentaryTime;
  }

  [[nodiscard]] double FactorAt(const Engine& aEngine, TimePoint aNow) const
  {
    return IsSlowAt(aEngine, aNow) ? mOptions.mMomentaryFactor : 1.0;
  }

  /// Returns the end of work that starts at a time, over changes of the speed.
  [[nodiscard]] TimePoint EndOf(const Engine& aEngine,
                                TimePoint aFrom,
                                double aMs) const
  {
    auto left = FromMs(aMs * aEngine.mFactor);
    auto now = aFrom;
    while (left > Duration::zero()) {
      const double factor = FactorAt(aEngine, now);
      const auto next = std::ranges::upper_bound(aEngine.mSlowFrom, now);
      const bool isSlow = factor > 1.0;
      const auto change = isSlow ? *std::prev(next) + mOptions.mMomentaryTime
                          : next == aEngine.mSlowFrom.end() ? TimePoint::max()
                                                            : *next;
      const auto needed = FromMs(
        std::chrono::duration<double, std::milli>(left).count() * factor);
      if (change == TimePoint::max() || now + needed <= change) {
        return now + needed;
      }
      left -=
        FromMs(std::chrono::duration<double, std::milli>(change - now).count() /
               factor);
      now = change;
    }
    return now;
  }

  void At(TimePoint aAt, std::function<void(TimePoint)> aEvent)
  {
    mEvents.emplace(aAt, std::move(aEvent));
  }

  void Tick(TimePoint aNow)
  {
    for (std::size_t instance = 0; instance < mWaiting.size(); ++instance) {
      auto& waiting = mWaiting[instance];
      while (!waiting.empty() &&
             waiting.front().mArrivedAt + mOptions.mMaxWait < aNow) {
        waiting.pop_front();
      }
      Serve(instance, aNow);
    }
    if (aNow >= kStart + mOptions.mLength / 4) {
      ++mSlotTicks;
      for (const auto& engine : mEngines) {
        mUsedSlots += engine.mRunning;
        mQueued += static_cast<double>(engine.mQueue.size());
      }
    }
  }

  void Restart(TimePoint aNow)
  {
    for (int index = 0; index < mOptions.mRestartedEngines; ++index) {
      auto& entry = mEntries.at(static_cast<std::size_t>(index));
      ++entry.mStartedAtMs;
      mEngines.at(static_cast<std::size_t>(index)).mFactor = 1.0;
    }
    for (auto& selector : mSelectors) {
      selector->OnUpstreams(mEntries, aNow);
    }
  }

  void Serve(std::size_t aInstance, TimePoint aNow)
  {
    auto& waiting = mWaiting[aInstance];
    while (!waiting.empty() && Send(aInstance, waiting.front(), aNow)) {
      waiting.pop_front();
    }
  }

  bool Send(std::size_t aInstance, const Waiting& aRequest, TimePoint aNow)
  {
    const std::vector<ingress::PromptPart> prompt = {
      { aRequest.mId, static_cast<std::int64_t>(kPrefillMs * kTokensPerMs) }
    };
    const placement::PlacementQuery query{ .mService = "engines",
                                           .mModel = "one",
                                           .mPrompt = &prompt,
                                           .mPromptTokens =
                                             prompt.front().mTokens };
    auto& selector = *mSelectors[aInstance];
    const auto choice = selector.Choose(query, aNow);
    if (!choice) {
      return false;
    }
    std::exponential_distribution<double> decodeMs(1.0 / kDecodeMs);
    const auto job = std::make_shared<Job>(
      Job{ .mInstance = aInstance,
           .mEngine = mEngineOf.at(choice->mUpstream->mId),
           .mArrivedAt = aRequest.mArrivedAt,
           .mSentAt = aNow,
           .mReservation = selector.Reserve(*choice, query, aNow),
           .mPrefillMs = kPrefillMs,
           .mDecodeMs = decodeMs(mRandom) });
    ++mSent;
    auto& engine = mEngines[job->mEngine];
    if (engine.mRunning < mOptions.mSlots) {
      Start(job, aNow);
    } else if (std::ssize(engine.mQueue) < mOptions.mQueue) {
      engine.mQueue.push_back(job);
    } else {
      ++mRejected;
      ++engine.mRejected;
      At(aNow + kTick / 10, [this, job, aRequest](TimePoint aLater) {
        Report(*job, aLater);
        auto& sender = *mSelectors[job->mInstance];
        if (mOptions.mOverloadControl) {
          (void)sender.OnRejected(
            mEntries[job->mEngine].mId, job->mSentAt, aLater);
        }
        sender.Release(job->mReservation);
        mWaiting[job->mInstance].push_front(aRequest);
      });
    }
    return true;
  }

  void Start(const std::shared_ptr<Job>& aJob, TimePoint aNow)
  {
    auto& engine = mEngines[aJob->mEngine];
    ++engine.mRunning;
    ++engine.mStarted;
    engine.mPrefillUntil =
      EndOf(engine, std::max(aNow, engine.mPrefillUntil), aJob->mPrefillMs);
    const auto first = EndOf(
      engine, engine.mPrefillUntil, kIdleMs + engine.mRunning * kMsPerRunning);
    At(first, [this, aJob](TimePoint aLater) {
      mFirstEventMs.push_back(
        std::chrono::duration<double, std::milli>(aLater - aJob->mArrivedAt)
          .count());
      Report(*aJob, aLater);
      mSelectors[aJob->mInstance]->OnFirstEvent(aJob->mReservation, aLater);
    });
    At(EndOf(engine, first, aJob->mDecodeMs), [this, aJob](TimePoint aLater) {
      auto& ended = mEngines[aJob->mEngine];
      --ended.mRunning;
      mSelectors[aJob->mInstance]->Release(aJob->mReservation);
      if (!ended.mQueue.empty()) {
        const auto next = ended.mQueue.front();
        ended.mQueue.pop_front();
        Start(next, aLater);
      }
      Serve(aJob->mInstance, aLater);
    });
  }

  void Report(const Job& aJob, TimePoint aNow)
  {
    if (std::bernoulli_distribution(mOptions.mLostReports)(mRandom)) {
      return;
    }
    const auto& engine = mEngines[aJob.mEngine];
    const bool isLying = std::cmp_less(aJob.mEngine, mOptions.mLyingEngines);
    ingress::ReportedLoad load{
      .mRunning = isLying ? 0 : engine.mRunning,
      .mWaiting = isLying ? 0 : static_cast<int>(engine.mQueue.size()),
      .mSlots = mOptions.mSlots
    };
    if (mOptions.mReportsFactor) {
      load.mTimeFactor = isLying ? 0.01 : FactorAt(engine, aNow);
    }
    (void)mSelectors[aJob.mInstance]->OnReportedLoad(
      mEntries[aJob.mEngine].mId, load, aJob.mSentAt, aNow);
  }

  EngineLoadOptions mOptions;
  std::mt19937_64 mRandom{ 20261206 };
  std::vector<Engine> mEngines;
  std::vector<ingress::UpstreamEntry> mEntries;
  std::map<std::string, std::size_t> mEngineOf;
  std::vector<std::unique_ptr<placement::UpstreamSelector>> mSelectors;
  std::vector<std::deque<Waiting>> mWaiting; ///< by instance
  std::multimap<TimePoint, std::function<void(TimePoint)>> mEvents;
  std::uint64_t mLastId = 0;
  std::vector<double> mFirstEventMs;
  int mArrived = 0;
  int mSent = 0;
  int mRejected = 0;
  double mUsedSlots = 0.0;
  double mQueued = 0.0;
  int mSlotTicks = 0;
};

} // namespace figslip::test
