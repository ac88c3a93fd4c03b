#pragma once

#include <figslip/admission/account_queue.hpp>
#include <figslip/fairshare/fair_shares.hpp>
#include <figslip/placement/upstream_selector.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figslip::test {

/// Describes instances in front of a plain service with fewer slots than
/// instances.
struct ScarceLoadOptions
{
  int mInstances = 27;
  int mDomains = 4;
  int mUpstreams = 4;
  int mSlots = 6;
  int mQueue = 24; ///< of an upstream; further requests are rejected
  double mServiceMs = 30.0;
  Duration mTarget = std::chrono::milliseconds(150);
  Duration mTimeout = std::chrono::milliseconds(800);
  bool mHasLargeAccount = true;
  double mOthersLoad = 0.63;   ///< of the other accounts, of the capacity
  bool mKillsQuarter = false;  ///< one instance in four, half-way
  bool mLosesUpstream = false; ///< half-way; it completes what it has
  /// fraction of the responses without a load report and of the messages
  /// between instances that are lost
  double mLostReports = 0.0;
  Duration mLength = std::chrono::seconds(14); ///< of the burst
};

/// Plays the load in virtual time: each instance has its own shares, queue and
/// selector, which are connected as in `gateway::RequestFlow`. Callers don't
/// return: a third of their time is less than the least `Retry-After`.
class ScarceLoad
{
public:
  static constexpr int kAccounts = 24;
  static constexpr int kLarge = 0; ///< the account with 12 times its load

  /// Holds the requests of an account that arrive during the burst.
  struct Tally
  {
    double mOffered = 0.0;
    double mServed = 0.0;
    double mInTime = 0.0;
  };

  explicit ScarceLoad(const ScarceLoadOptions& aOptions)
    : mOptions(aOptions)
    , mUpstreams(static_cast<std::size_t>(aOptions.mUpstreams))
  {
    std::vector<membership::InstanceLocation> locations;
    locations.reserve(static_cast<std::size_t>(aOptions.mInstances));
    for (int index = 0; index < aOptions.mInstances; ++index) {
      locations.push_back({ .mName = "i-" + std::to_string(index),
                            .mFailureDomain = DomainOf(index),
                            .mAddress = std::to_string(index) });
    }
    for (int index = 0; index < aOptions.mUpstreams; ++index) {
      mEntries.push_back({ .mId = "u" + std::to_string(index),
                           .mService = kService,
                           .mAddress = "127.0.0.1",
                           .mPort = 80,
                           .mDomain = DomainOf(index),
                           .mVersion = "v1",
                           .mSlots = aOptions.mSlots,
                           .mStartedAtMs = 1 });
    }
    for (const auto& location : locations) {
      mNodes.push_back(std::make_unique<Node>(location, mNodes.size()));
      auto& node = *mNodes.back();
      node.mSelector.OnConfiguration(MakeConfiguration());
      node.mSelector.OnUpstreams(mEntries, kStart);
      node.mSelector.SetInstances(locations);
      node.mSelector.SetInstanceCount(aOptions.mInstances);
      node.mShares.OnInstances(locations);
    }
  }

  void Run()
  {
    const auto end = kStart + kWarmUp + mOptions.mLength;
    ScheduleArrivals(end);
    for (auto at = kStart; at < end; at += kTick) {
      At(at, [this](TimePoint aNow) { Tick(aNow); });
    }
    for (auto at = kStart; at < end; at += fairshare::FairShares::kInterval) {
      At(at, [this](TimePoint aNow) { Exchange(aNow); });
    }
    if (mOptions.mKillsQuarter) {
      At(kStart + kWarmUp + mOptions.mLength / 2, [this](TimePoint) {
        for (std::size_t index = 1; index < mNodes.size(); index += 4) {
          mNodes[index]->mIsAlive = false;
        }
      });
    }
    if (mOptions.mLosesUpstream) {
      At(kStart + kWarmUp + mOptions.mLength / 2, [this](TimePoint aNow) {
        auto left = mEntries;
        left.pop_back();
        for (auto& node : mNodes) {
          node->mSelector.OnUpstreams(left, aNow);
        }
      });
    }
    while (!mEvents.empty()) {
      const auto node = mEvents.extract(mEvents.begin());
      node.mapped()(node.key());
    }
  }

  [[nodiscard]] const Tally& Of(int aAccount) const
  {
    return mTallies.at(static_cast<std::size_t>(aAccount));
  }
  /// Returns the sum over the other accounts than the large one.
  [[nodiscard]] Tally Others() const
  {
    return std::accumulate(mTallies.begin() + 1,
                           mTallies.end(),
                           Tally{},
                           [](const Tally& aSum, const Tally& aTally) {
                             return Tally{ aSum.mOffered + aTally.mOffered,
                                           aSum.mServed + aTally.mServed,
                                           aSum.mInTime + aTally.mInTime };
                           });
  }
  [[nodiscard]] int Rejected() const { return mRejected; } ///< by upstreams
  /// Returns the answers per second of the burst, of what the slots complete.
  [[nodiscard]] double Utilization() const
  {
    const auto seconds = std::chrono::duration<double>(mOptions.mLength);
    return (Others().mServed + Of(kLarge).mServed) / seconds.count() /
           Capacity();
  }

private:
  using Ticket = routing::TicketId;

  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  static constexpr Duration kWarmUp = std::chrono::seconds(3);
  static constexpr Duration kTick = std::chrono::milliseconds(10);
  static constexpr Duration kSharesTick = std::chrono::milliseconds(100);
  static constexpr Duration kNetworkTime = std::chrono::microseconds(500);
  static constexpr double kBurstFactor = 12.0;
  static constexpr double kOthersFactor = 1.8;
  static inline const std::string kService = "plain";

  struct Request
  {
    Ticket mTicket = 0;
    int mAccount = 0;
    TimePoint mArrivedAt;
    bool mIsCounted = false;
    int mReturns = 0;
    std::optional<std::uint64_t> mArrival; ///< its rank in the queue
    bool mWasQueued = false;
    std::set<std::string> mFull; ///< upstreams that rejected it
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Node
  {
    Node(const membership::InstanceLocation& aLocation, std::size_t aIndex)
      : mShares({ .mInstance = aLocation.mName, .mFirstSequence = 1 })
      , mQueue({ .mMaxWaiting = 2000,
                 .mMaxBytes = 1 << 20,
                 .mMinRetryAfter = std::chrono::milliseconds(400),
                 .mIsOverShare =
                   [this](auto aService, auto aAccount) {
                     return mShares.IsOverShare(aService, aAccount);
                   } })
      , mSelector({ .mInstance = aLocation.mName,
                    .mDomain = aLocation.mFailureDomain,
                    .mOverloadControl = true,
                    .mSeed = aIndex + 1 })
    {
    }

    bool mIsAlive = true;
    fairshare::FairShares mShares;
    admission::AccountQueue mQueue;
    placement::UpstreamSelector mSelector;
    std::map<Ticket, RequestPtr> mWaiting;
    Duration mFirstEvent{}; ///< mean expectation
  };

  struct Job
  {
    std::size_t mNode = 0;
    std::size_t mUpstream = 0;
    TimePoint mSentAt;
    RequestPtr mRequest;
    placement::Reservation mReservation;
  };
  using JobPtr = std::shared_ptr<Job>;

  struct Upstream
  {
    int mRunning = 0;
    std::deque<JobPtr> mQueue;
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

  [[nodiscard]] double Capacity() const
  {
    constexpr double kMsPerSecond = 1'000.0;
    return mOptions.mUpstreams * mOptions.mSlots * kMsPerSecond /
           mOptions.mServiceMs;
  }

  static ingress::ConfigurationPtr MakeConfiguration()
  {
    ingress::Configuration configuration;
    configuration.mServices.push_back({ .mName = kService });
    return std::make_shared<const ingress::ConfigurationIndex>(configuration);
  }

  static std::string AccountName(int aAccount)
  {
    return "account-" + std::to_string(aAccount);
  }

  /// Returns the requests per second of an account. The large one usually
  /// sends a tenth of the capacity; three others send most of the rest.
  [[nodiscard]] double RateOf(int aAccount, TimePoint aNow) const
  {
    const bool isBurst = aNow >= kStart + kWarmUp;
    if (aAccount == kLarge) {
      constexpr double kUsualFraction = 0.1;
      return !mOptions.mHasLargeAccount
               ? 0.0
               : Capacity() * kUsualFraction * (isBurst ? kBurstFactor : 1.0);
    }
    constexpr int kMedium = 3;
    constexpr double kMediumWeight = 5.0;
    constexpr double kWeights =
      kMedium * kMediumWeight + kAccounts - 1 - kMedium;
    return Capacity() * mOptions.mOthersLoad *
           (aAccount <= kMedium ? kMediumWeight : 1.0) / kWeights /
           (isBurst ? 1.0 : kOthersFactor);
  }

  /// Returns how much of an account's demand arrives at an instance, relative
  /// to others: uneven by instance and account.
  static double WeightAt(int aAccount, std::size_t aNode)
  {
    const auto account = static_cast<std::size_t>(aAccount);
    return static_cast<double>(1 + (aNode * 5 + account * 3) % 4) *
           static_cast<double>(1 + aNode % 3);
  }

  void ScheduleArrivals(TimePoint aEnd)
  {
    for (int account = 0; account < kAccounts; ++account) {
      // other random numbers for each, so that the others' requests are the
      // same with and without the large account
      std::mt19937_64 random(20261206U + static_cast<unsigned>(account));
      std::vector<double> weights;
      weights.reserve(mNodes.size());
      for (std::size_t node = 0; node < mNodes.size(); ++node) {
        weights.push_back(WeightAt(account, node));
      }
      std::discrete_distribution<std::size_t> nodeOf(weights.begin(),
                                                     weights.end());
      auto at = kStart;
      while (at < aEnd && RateOf(account, at) > 0.0) {
        constexpr double kMsPerSecond = 1'000.0;
        std::exponential_distribution<double> interval(RateOf(account, at) /
                                                       kMsPerSecond);
        at += FromMs(interval(random));
        At(at,
           [this, account, node = nodeOf(random), other = random()](
             TimePoint aNow) { Arrive(account, node, other, aNow); });
      }
    }
  }

  void At(TimePoint aAt, std::function<void(TimePoint)> aEvent)
  {
    mEvents.emplace(aAt, std::move(aEvent));
  }

  [[nodiscard]] bool IsLost()
  {
    return std::bernoulli_distribution(mOptions.mLostReports)(mRandom);
  }

  void Arrive(int aAccount,
              std::size_t aNode,
              std::uint64_t aOther,
              TimePoint aNow)
  {
    // requests for a killed instance go to others
    while (!mNodes[aNode]->mIsAlive) {
      aNode = (aNode + aOther) % mNodes.size();
      aOther = aOther / 2 + 1;
    }
    const auto request = std::make_shared<Request>(
      Request{ .mTicket = ++mLastTicket,
               .mAccount = aAccount,
               .mArrivedAt = aNow,
               .mIsCounted = aNow >= kStart + kWarmUp });
    if (request->mIsCounted) {
      mTallies.at(static_cast<std::size_t>(aAccount)).mOffered += 1.0;
    }
    mNodes[aNode]->mShares.OnOffered(
      kService, AccountName(aAccount), 1.0, aNow);
    Enter(aNode, request, aNow);
  }

  void Enter(std::size_t aNode, const RequestPtr& aRequest, TimePoint aNow)
  {
    auto& node = *mNodes[aNode];
    if (!node.mIsAlive) {
      return;
    }
    if (!node.mQueue.HasWaiting(kService) && Send(aNode, aRequest, aNow)) {
      if (!aRequest->mArrival) {
        aRequest->mArrival = node.mQueue.IssueArrival();
      }
      aRequest->mWasQueued = false;
      return;
    }
    aRequest->mFull.clear();
    const auto account = AccountName(aRequest->mAccount);
    node.mShares.OnShortage(kService, aNow);
    const auto inTimeBy =
      aRequest->mArrivedAt + mOptions.mTarget - node.mFirstEvent;
    const auto offered = node.mQueue.Offer(
      { .mQueued = { .mTicket = aRequest->mTicket,
                     .mCapacityClass = kService,
                     .mAccount = account,
                     .mShare = node.mShares.WeightOf(kService, account),
                     .mFormerArrival = aRequest->mArrival,
                     .mWasRejected =
                       std::exchange(aRequest->mWasQueued, false) },
        .mService = kService,
        .mBytes = 100,
        .mInTimeBy = std::max(inTimeBy, aNow),
        .mLateBy = aRequest->mArrivedAt + mOptions.mTimeout / 3,
        .mHash = aRequest->mTicket },
      aNow);
    Forget(node, offered.mEvicted);
    if (!offered.mRefusal) {
      aRequest->mArrival = offered.mArrival;
      node.mWaiting[aRequest->mTicket] = aRequest;
      Admit(aNode, aNow);
    }
  }

  static void Forget(Node& aNode,
                     const std::vector<admission::Refusal>& aRefusals)
  {
    for (const auto& refusal : aRefusals) {
      aNode.mWaiting.erase(refusal.mTicket);
    }
  }

  void Admit(std::size_t aNode, TimePoint aNow)
  {
    auto& node = *mNodes[aNode];
    const auto admit = [&](const admission::QueuedRequest& aQueued) {
      const auto request = node.mWaiting.at(aQueued.mTicket);
      request->mWasQueued = true;
      using admission::AdmissionResult;
      if (Send(aNode, request, aNow)) {
        return AdmissionResult::Admitted;
      }
      const auto account = AccountName(request->mAccount);
      return node.mSelector.PacedRate(kService, aNow) &&
                 node.mShares.IsOverShare(kService, account)
               ? AdmissionResult::NoCapacityForAccount
               : AdmissionResult::NoCapacity;
    };
    for (const auto ticket : node.mQueue.Admit(admit, aNow)) {
      node.mWaiting.erase(ticket);
    }
  }

  void Tick(TimePoint aNow)
  {
    const bool isSharesTick = (aNow - kStart) % kSharesTick == Duration::zero();
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      auto& node = *mNodes[index];
      if (!node.mIsAlive) {
        continue;
      }
      if (isSharesTick) {
        node.mShares.OnTick(aNow);
        std::vector<placement::InstanceShare> shares;
        if (const auto share = node.mShares.InstanceShare(kService)) {
          shares.push_back({ .mService = kService, .mPerSecond = *share });
        }
        node.mSelector.SetInstanceShares(shares, aNow);
      }
      if (!node.mWaiting.empty()) {
        Forget(node, node.mQueue.RefuseUnmeetable(aNow));
        Admit(index, aNow);
      }
    }
  }

  void Exchange(TimePoint aNow)
  {
    for (auto& node : mNodes) {
      if (!node->mIsAlive || !node->mShares.IsExchangeDue(aNow)) {
        continue;
      }
      std::vector<membership::InstanceLocation> peers;
      std::ranges::sample(
        node->mShares.Peers(), std::back_inserter(peers), 2, mRandom);
      for (const auto& peer : peers) {
        auto& other = *mNodes[std::stoul(peer.mAddress)];
        if (!other.mIsAlive || IsLost()) {
          continue;
        }
        auto push = node->mShares.MakePush(aNow);
        auto answer = other.mShares.AnswerTo(push, aNow);
        other.mShares.Merge(std::move(push.mReports), aNow, aNow);
        if (!IsLost()) {
          node->mShares.Merge(std::move(answer.mReports), aNow, aNow);
        }
      }
    }
  }

  bool Send(std::size_t aNode, const RequestPtr& aRequest, TimePoint aNow)
  {
    auto& node = *mNodes[aNode];
    const auto account = AccountName(aRequest->mAccount);
    placement::PlacementQuery query{ .mService = kService,
                                     .mExcludedUpstreams = &aRequest->mFull,
                                     .mMayRetry = true,
                                     .mIsOverShare = node.mShares.IsOverShare(
                                       kService, account) };
    auto choice = node.mSelector.Choose(query, aNow);
    if (!choice && !aRequest->mFull.empty()) {
      aRequest->mFull.clear();
      choice = node.mSelector.Choose(query, aNow);
    }
    if (!choice) {
      return false;
    }
    constexpr int kDivisor = 8;
    node.mFirstEvent +=
      (choice->mTimeToFirstEvent - node.mFirstEvent) / kDivisor;
    const auto job = std::make_shared<Job>(
      Job{ .mNode = aNode,
           .mUpstream = std::stoul(choice->mUpstream->mId.substr(1)),
           .mSentAt = aNow,
           .mRequest = aRequest,
           .mReservation = node.mSelector.Reserve(*choice, query, aNow) });
    node.mShares.OnAdmitted(kService, account, 1.0, aNow);
    At(aNow + kNetworkTime, [this, job](TimePoint aLater) {
      auto& upstream = mUpstreams[job->mUpstream];
      if (upstream.mRunning < mOptions.mSlots) {
        Start(job, aLater);
      } else if (std::ssize(upstream.mQueue) < mOptions.mQueue) {
        upstream.mQueue.push_back(job);
      } else {
        ++mRejected;
        const auto load = LoadOf(job->mUpstream);
        At(aLater + kNetworkTime, [this, job, load](TimePoint aRejectedAt) {
          OnRejected(*job, load, aRejectedAt);
        });
      }
    });
    return true;
  }

  [[nodiscard]] ingress::ReportedLoad LoadOf(std::size_t aUpstream) const
  {
    const auto& upstream = mUpstreams[aUpstream];
    return { .mRunning = upstream.mRunning,
             .mWaiting = static_cast<int>(upstream.mQueue.size()),
             .mSlots = mOptions.mSlots };
  }

  void Start(const JobPtr& aJob, TimePoint aNow)
  {
    ++mUpstreams[aJob->mUpstream].mRunning;
    std::uniform_real_distribution<double> factor(0.6, 1.4);
    const auto end = aNow + FromMs(mOptions.mServiceMs * factor(mRandom));
    At(end, [this, aJob](TimePoint aEnd) {
      const auto load = LoadOf(aJob->mUpstream);
      auto& upstream = mUpstreams[aJob->mUpstream];
      --upstream.mRunning;
      if (!upstream.mQueue.empty()) {
        const auto next = upstream.mQueue.front();
        upstream.mQueue.pop_front();
        Start(next, aEnd);
      }
      At(aEnd + kNetworkTime, [this, aJob, load](TimePoint aLater) {
        OnAnswer(*aJob, load, aLater);
      });
    });
  }

  void OnAnswer(Job& aJob, const ingress::ReportedLoad& aLoad, TimePoint aNow)
  {
    auto& node = *mNodes[aJob.mNode];
    if (!node.mIsAlive) {
      return;
    }
    Report(aJob, aLoad, aNow);
    node.mSelector.OnFirstEvent(aJob.mReservation, aNow);
    node.mSelector.Release(aJob.mReservation);
    const auto& request = *aJob.mRequest;
    if (request.mIsCounted) {
      auto& tally = mTallies.at(static_cast<std::size_t>(request.mAccount));
      tally.mServed += 1.0;
      tally.mInTime +=
        aNow <= request.mArrivedAt + mOptions.mTarget ? 1.0 : 0.0;
    }
    Admit(aJob.mNode, aNow);
  }

  void OnRejected(Job& aJob, const ingress::ReportedLoad& aLoad, TimePoint aNow)
  {
    auto& node = *mNodes[aJob.mNode];
    if (!node.mIsAlive) {
      return;
    }
    Report(aJob, aLoad, aNow);
    (void)node.mSelector.OnRejected(
      mEntries[aJob.mUpstream].mId, aJob.mSentAt, aNow);
    (void)node.mSelector.OnPacedRejection(aJob.mReservation, aNow);
    node.mShares.OnRejected(
      kService, AccountName(aJob.mRequest->mAccount), 1.0, aNow);
    node.mSelector.Release(aJob.mReservation);
    auto& request = *aJob.mRequest;
    request.mFull.insert(mEntries[aJob.mUpstream].mId);
    // as `RequestFlow::PrepareReturn`
    const auto pause = ++request.mReturns < 2
                         ? Duration::zero()
                         : kTick * (1 << std::min(request.mReturns - 2, 4));
    At(aNow + pause,
       [this, node = aJob.mNode, entering = aJob.mRequest](TimePoint aLater) {
         Enter(node, entering, aLater);
       });
  }

  void Report(const Job& aJob,
              const ingress::ReportedLoad& aLoad,
              TimePoint aNow)
  {
    if (!IsLost()) {
      (void)mNodes[aJob.mNode]->mSelector.OnReportedLoad(
        mEntries[aJob.mUpstream].mId, aLoad, aJob.mSentAt, aNow);
    }
  }

  ScarceLoadOptions mOptions;
  std::mt19937_64 mRandom{ 61 };
  std::vector<Upstream> mUpstreams;
  std::vector<ingress::UpstreamEntry> mEntries;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::multimap<TimePoint, std::function<void(TimePoint)>> mEvents;
  std::array<Tally, kAccounts> mTallies;
  Ticket mLastTicket = 0;
  int mRejected = 0;
};

} // namespace figslip::test
