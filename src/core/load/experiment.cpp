#include <figslip/load/experiment.hpp>
#include <figslip/load/fakes.hpp>
#include <figslip/routing/router.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <ranges>
#include <set>
#include <utility>

namespace figslip::load {

namespace {

using routing::AttemptEnd;
using routing::Decision;
using routing::TicketId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kTick = milliseconds(250);
constexpr Duration kGossipPeriod = seconds(1);
constexpr Duration kLoadLag = milliseconds(500);
constexpr Duration kGrantLength = seconds(3);
constexpr Duration kRestartTime = seconds(10);
constexpr Duration kConnectFailure = milliseconds(2);
constexpr Duration kClaimTime = milliseconds(5);
constexpr Duration kServiceWork = milliseconds(40);
constexpr Duration kOperatorDelay = seconds(10);
constexpr double kBookShare = 0.3;
constexpr double kGreedyFactor = 10.0;
constexpr std::string_view kLostDomain = "domain-1";
constexpr std::string_view kDyingUpstream = "shared-1";

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/// Follows a request of a caller over all entries that it visits.
struct Caller
{
  routing::Request mRequest;
  double mDifficulty = 0.0;
  std::int64_t mTokens = 0;
  TimePoint mArrival;
  bool mInFault = false;
};

using CallerPtr = std::shared_ptr<const Caller>;

/// Follows a request in one entry.
struct Visit
{
  CallerPtr mCaller;
  std::optional<std::pair<std::size_t, TicketId>> mOrigin; ///< who forwarded
  std::map<routing::AttemptId, bool> mGood; ///< quality of whole answers
  std::set<std::string> mBadVersions; ///< that were bad when they answered
  int mWaits = 0; ///< tells a stale timer from a present one
};

class Experiment
{
public:
  Experiment(const Deployment& aDeployment, const ExperimentOptions& aOptions)
    : mDeployment(aDeployment)
    , mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mAnswers(aDeployment.mProfiles)
    , mManifest(
        std::make_shared<manifest::ManifestIndex>(aDeployment.mManifest))
  {
    mMeasures.mDeployment = aDeployment.mName;
    mMeasures.mScenario = NameOf(aOptions.mScenario);
    mMeasures.mPolicy = cascade::NameOf(aOptions.mPolicy);
    for (const auto& upstream : aDeployment.mManifest.mUpstreams) {
      mUpstreams.emplace(upstream.mName, FakeUpstream(upstream));
    }
    for (const auto& instance : aDeployment.mInstances.mEntries) {
      mEntries.push_back({ &instance, MakeRouter(instance), {} });
    }
  }

  Measures Run()
  {
    const auto end = kStart + mOptions.mLength;
    mQueue.At(kStart, [this](TimePoint aNow) { Tick(aNow); });
    mQueue.At(kStart, [this](TimePoint aNow) { Gossip(aNow); });
    mQueue.At(kStart + kTick, [this](TimePoint aNow) { Arrive(aNow); });
    PlanFaults();
    mQueue.RunUntil(end);
    return std::move(mMeasures);
  }

private:
  struct Entry
  {
    const membership::EntryInstance* mInstance;
    std::unique_ptr<routing::Router> mRouter;
    std::map<TicketId, Visit> mVisits;
  };

  std::unique_ptr<routing::Router> MakeRouter(
    const membership::EntryInstance& aInstance)
  {
    return std::make_unique<routing::Router>(
      routing::Router::Options{ .mFailureDomain = aInstance.mFailureDomain,
                                .mSelf = { aInstance.mName, 1 },
                                .mSeed = mRandom(),
                                .mStagePolicy = mOptions.mPolicy });
  }

  double Chance()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
  }

  [[nodiscard]] TimePoint AtShare(double aShare) const
  {
    return kStart + std::chrono::duration_cast<Duration>(
                      aShare * std::chrono::duration<double, std::micro>(
                                 mOptions.mLength));
  }

  void PlanFaults()
  {
    const auto turnAllBad = [this](TimePoint) {
      for (const auto& profile : mDeployment.mProfiles) {
        if (profile.mName.ends_with("-2")) {
          mAnswers.TurnBad(profile.mName);
        }
      }
    };
    switch (mOptions.mScenario) {
      case Scenario::Steady:
      case Scenario::GreedyAccount:
        return;
      case Scenario::BadRollOut:
        mQueue.At(kStart, turnAllBad);
        return;
      case Scenario::TurnsBad:
        mQueue.At(AtShare(0.5), turnAllBad);
        return;
      case Scenario::DomainLost:
        PlanDomainLoss();
        return;
      case Scenario::UpstreamDies:
        mFaultFrom = AtShare(0.4);
        mFaultTo = mFaultFrom + seconds(60);
        mQueue.At(mFaultFrom, [this](TimePoint aNow) {
          TakeDown(mUpstreams.at(std::string(kDyingUpstream)), aNow);
        });
        return;
    }
  }

  /// The domain dies unannounced, operators take it out, later bring it back.
  void PlanDomainLoss()
  {
    mFaultFrom = AtShare(0.3);
    mFaultTo = AtShare(0.8);
    mQueue.At(mFaultFrom, [this](TimePoint) {
      ForLostDomain([](FakeUpstream& aUpstream) { aUpstream.GoDown(); });
    });
    mQueue.At(mFaultFrom + kOperatorDelay,
              [this](TimePoint) { SetDomain(manifest::DomainState::Out); });
    mQueue.At(AtShare(0.6), [this](TimePoint aNow) {
      ForLostDomain([&](FakeUpstream& aUpstream) { aUpstream.ComeUp(aNow); });
      SetDomain(manifest::DomainState::In);
    });
  }

  template<class Function>
  void ForLostDomain(Function aFunction)
  {
    for (auto& [name, upstream] : mUpstreams) {
      if (upstream.Config().mFailureDomain == kLostDomain) {
        aFunction(upstream);
      }
    }
  }

  void SetDomain(manifest::DomainState aState)
  {
    auto content = mManifest->Content();
    ++content.mGeneration;
    std::ranges::find(
      content.mFailureDomains, kLostDomain, &manifest::FailureDomain::mName)
      ->mState = aState;
    mManifest = std::make_shared<manifest::ManifestIndex>(std::move(content));
  }

  void TakeDown(FakeUpstream& aUpstream, TimePoint aNow)
  {
    if (aUpstream.IsUp()) {
      aUpstream.GoDown();
    }
    mQueue.At(aNow + kRestartTime,
              [&aUpstream](TimePoint aLater) { aUpstream.ComeUp(aLater); });
  }

  // -- control state of the entries

  void Tick(TimePoint aNow)
  {
    for (std::size_t index = 0; index < mEntries.size(); ++index) {
      auto& router = *mEntries[index].mRouter;
      auto snapshot = std::make_shared<routing::ControlSnapshot>();
      snapshot->mManifest = mManifest;
      snapshot->mConfirmedAt = aNow;
      snapshot->mHeartbeatAt = aNow;
      snapshot->mInstances = mDeployment.mInstances;
      router.OnSnapshot(std::move(snapshot), aNow);
      GiveGrants(mEntries[index], aNow);
      for (const auto& version : router.OnTick(aNow)) {
        ++(mAnswers.IsBad(version) ? mMeasures.mBadStops
                                   : mMeasures.mFalseStops);
      }
      Wake(index, aNow);
    }
    mQueue.At(aNow + kTick, [this](TimePoint aLater) { Tick(aLater); });
  }

  /// Splits the cold concurrency between the entries of the domain.
  void GiveGrants(Entry& aEntry, TimePoint aNow)
  {
    const auto& domain = aEntry.mInstance->mFailureDomain;
    std::vector<std::string_view> sharers;
    for (const auto& other : mEntries) {
      if (other.mInstance->mFailureDomain == domain) {
        sharers.push_back(other.mInstance->mName);
      }
    }
    const auto place = static_cast<int>(
      std::ranges::find(sharers, aEntry.mInstance->mName) - sharers.begin());
    const auto count = static_cast<int>(sharers.size());
    for (const auto& [name, upstream] : mUpstreams) {
      const auto& config = upstream.Config();
      if (config.mFailureDomain == domain) {
        const int slots = (config.mColdConcurrency + count - 1 - place) / count;
        aEntry.mRouter->OnGrant({ name, slots, aNow + kGrantLength }, aNow);
      }
    }
  }

  void Gossip(TimePoint aNow)
  {
    for (auto& entry : mEntries) {
      auto entries = std::make_shared<std::vector<evidence::EvidenceEntry>>(
        entry.mRouter->Evidence().OwnEntries(aNow - 2 * kGossipPeriod));
      mQueue.At(aNow + mOptions.mGossipDelay,
                [this, entries, sender = &entry](TimePoint aLater) {
                  for (auto& other : mEntries) {
                    if (&other != sender) {
                      other.mRouter->OnEvidence(*entries, aLater);
                    }
                  }
                });
    }
    for (const auto& [name, upstream] : mUpstreams) {
      if (upstream.IsUp()) {
        SendLoadReport(upstream, aNow);
      }
    }
    mQueue.At(aNow + kGossipPeriod,
              [this](TimePoint aLater) { Gossip(aLater); });
  }

  void SendLoadReport(const FakeUpstream& aUpstream, TimePoint aNow)
  {
    const routing::LoadReport report{ .mUpstream = aUpstream.Config().mName,
                                      .mBootId = aUpstream.BootId(),
                                      .mRunning = aUpstream.Running(),
                                      .mAt = aNow };
    const auto& domain = aUpstream.Config().mFailureDomain;
    mQueue.At(aNow + kLoadLag, [this, report, &domain](TimePoint aLater) {
      for (std::size_t index = 0; index < mEntries.size(); ++index) {
        if (mEntries[index].mInstance->mFailureDomain == domain) {
          mEntries[index].mRouter->OnLoadReport(report, aLater);
          Wake(index, aLater);
        }
      }
    });
  }

  // -- callers

  void Arrive(TimePoint aNow)
  {
    auto caller = MakeCaller(aNow);
    const auto index = mRandom() % mEntries.size();
    mQueue.At(aNow + mDeployment.mClientDelay,
              [this, index, caller](TimePoint aLater) {
                Enter(index, { .mCaller = caller }, caller->mRequest, aLater);
              });
    std::exponential_distribution<double> gap(mDeployment.mRequestsPerSecond *
                                              RateFactor());
    mQueue.At(aNow + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(gap(mRandom))),
              [this](TimePoint aLater) { Arrive(aLater); });
  }

  [[nodiscard]] double GreedyExtra() const
  {
    const auto& accounts = mDeployment.mManifest.mClientAccounts;
    double all = 0.0;
    for (const auto& account : accounts) {
      all += account.mShare;
    }
    return mOptions.mScenario == Scenario::GreedyAccount
             ? (kGreedyFactor - 1.0) * accounts.front().mShare / all
             : 0.0;
  }

  [[nodiscard]] double RateFactor() const { return 1.0 + GreedyExtra(); }

  std::string PickAccount()
  {
    const auto& accounts = mDeployment.mManifest.mClientAccounts;
    if (Chance() < GreedyExtra() / RateFactor()) {
      return accounts.front().mName;
    }
    std::vector<double> weights;
    std::ranges::transform(
      accounts, std::back_inserter(weights), &manifest::ClientAccount::mShare);
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    return accounts[pick(mRandom)].mName;
  }

  CallerPtr MakeCaller(TimePoint aNow)
  {
    auto caller = std::make_shared<Caller>();
    caller->mArrival = aNow;
    caller->mInFault = aNow >= mFaultFrom && aNow < mFaultTo;
    auto& request = caller->mRequest;
    request.mId = std::to_string(++mLastRequest);
    request.mAccount = PickAccount();
    request.mFingerprint = mLastRequest;
    if (Chance() < mDeployment.mServiceShare) {
      const bool books = Chance() < kBookShare;
      request.mTarget =
        routing::ServiceTarget{ "bookings", books ? "book" : "lookup" };
      request.mIdempotencyKey = books ? request.mId : "";
      request.mDeadline = aNow + seconds(10);
    } else {
      FillChat(*caller);
    }
    Count(*caller);
    return caller;
  }

  void FillChat(Caller& aCaller)
  {
    std::vector<double> weights;
    std::ranges::transform(
      mDeployment.mTaskKinds, std::back_inserter(weights), &TaskKind::mShare);
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    const auto& kind = mDeployment.mTaskKinds[pick(mRandom)];
    std::normal_distribution<double> difficulty(kind.mDifficulty, 1.0);
    aCaller.mDifficulty = difficulty(mRandom);
    aCaller.mTokens =
      static_cast<std::int64_t>(kind.mTokens * (0.5 + Chance()));
    aCaller.mRequest.mTarget = routing::ChatTarget{
      .mName = "assist",
      .mTaskKind = kind.mName,
      .mStream = Chance() < kind.mStreamShare,
    };
    aCaller.mRequest.mExpectedTokens = kind.mTokens;
    aCaller.mRequest.mPrefixHash =
      1 + std::hash<std::string>{}(aCaller.mRequest.mAccount + kind.mName);
    aCaller.mRequest.mDeadline = aCaller.mArrival + kind.mDeadline;
  }

  static bool IsChat(const routing::Request& aRequest)
  {
    return std::holds_alternative<routing::ChatTarget>(aRequest.mTarget);
  }

  static bool IsIdempotent(const routing::Request& aRequest)
  {
    return aRequest.mIdempotencyKey.empty();
  }

  void Count(const Caller& aCaller)
  {
    ++mMeasures.mRequests;
    mMeasures.mChatRequests += IsChat(aCaller.mRequest) ? 1 : 0;
    if (IsIdempotent(aCaller.mRequest)) {
      ++mMeasures.mIdempotent;
      mMeasures.mFaultIdempotent += aCaller.mInFault ? 1 : 0;
    }
  }

  // -- steps of a request in one entry

  void Enter(std::size_t aEntry,
             Visit aVisit,
             routing::Request aRequest,
             TimePoint aNow)
  {
    auto& entry = mEntries[aEntry];
    const auto ticket = ++mLastTicket;
    entry.mVisits.emplace(ticket, std::move(aVisit));
    CarryOut(aEntry,
             ticket,
             entry.mRouter->Start(ticket, std::move(aRequest), aNow),
             aNow);
  }

  void CarryOut(std::size_t aEntry,
                TicketId aTicket,
                const Decision& aDecision,
                TimePoint aNow)
  {
    auto& entry = mEntries[aEntry];
    auto& visit = entry.mVisits.at(aTicket);
    ++visit.mWaits;
    std::visit(
      Overloaded{
        [&](const routing::Dispatch& aStep) {
          OnDispatch(aEntry, aTicket, aStep, aNow);
        },
        [&](const routing::Forward& aStep) {
          OnForward(aEntry, aTicket, aStep, aNow);
        },
        [&](const routing::Wait& aStep) {
          mQueue.At(
            aStep.mUntil,
            [this, aEntry, aTicket, waits = visit.mWaits](TimePoint aLater) {
              ResumeIf(aEntry, aTicket, waits, aLater);
            });
        },
        [&](const routing::ClaimKey&) {
          mQueue.At(aNow + kClaimTime,
                    [this, aEntry, aTicket](TimePoint aLater) {
                      CarryOut(aEntry,
                               aTicket,
                               mEntries[aEntry].mRouter->OnClaim(
                                 aTicket, claim::ClaimOutcome::Won, aLater),
                               aLater);
                    });
        },
        [&](const routing::Deliver& aStep) {
          Finish(aEntry, aTicket, aStep.mAttempt, std::nullopt, aNow);
        },
        [&](const routing::Refuse& aStep) {
          Finish(aEntry, aTicket, 0, aStep, aNow);
        },
      },
      aDecision);
    Wake(aEntry, aNow);
  }

  void ResumeIf(std::size_t aEntry,
                TicketId aTicket,
                int aWaits,
                TimePoint aNow)
  {
    auto& entry = mEntries[aEntry];
    const auto found = entry.mVisits.find(aTicket);
    if (found != entry.mVisits.end() && found->second.mWaits == aWaits) {
      CarryOut(aEntry, aTicket, entry.mRouter->Resume(aTicket, aNow), aNow);
    }
  }

  void Wake(std::size_t aEntry, TimePoint aNow)
  {
    auto& entry = mEntries[aEntry];
    for (const auto ticket : entry.mRouter->PopWakeUps()) {
      const auto found = entry.mVisits.find(ticket);
      if (found != entry.mVisits.end()) {
        mQueue.At(
          aNow,
          [this, aEntry, ticket, waits = found->second.mWaits](
            TimePoint aLater) { ResumeIf(aEntry, ticket, waits, aLater); });
      }
    }
  }

  void Report(std::size_t aEntry,
              TicketId aTicket,
              const routing::AttemptOutcome& aOutcome,
              TimePoint aNow)
  {
    auto& entry = mEntries[aEntry];
    CarryOut(
      aEntry, aTicket, entry.mRouter->OnOutcome(aTicket, aOutcome, aNow), aNow);
  }

  void ReportAt(TimePoint aTime,
                std::size_t aEntry,
                TicketId aTicket,
                const routing::AttemptOutcome& aOutcome)
  {
    mQueue.At(aTime, [this, aEntry, aTicket, aOutcome](TimePoint aLater) {
      Report(aEntry, aTicket, aOutcome, aLater);
    });
  }

  void OnDispatch(std::size_t aEntry,
                  TicketId aTicket,
                  const routing::Dispatch& aStep,
                  TimePoint aNow)
  {
    auto& upstream = mUpstreams.at(aStep.mUpstream);
    auto& visit = mEntries[aEntry].mVisits.at(aTicket);
    if (mEntries[aEntry].mRouter->RecheckDispatch(aTicket, aNow)) {
      ReportAt(aNow, aEntry, aTicket, { .mEnd = AttemptEnd::Cancelled });
      return;
    }
    ++mMeasures.mAttempts;
    if (!upstream.IsUp()) {
      ReportAt(
        aNow + kConnectFailure,
        aEntry,
        aTicket,
        { .mEnd = AttemptEnd::NotConnected, .mLatency = kConnectFailure });
      return;
    }
    if (!upstream.Begin(aNow)) {
      ++mMeasures.mOverloads;
      TakeDown(upstream, aNow);
      ReportAt(aNow + kConnectFailure,
               aEntry,
               aTicket,
               { .mEnd = AttemptEnd::Broken, .mLatency = kConnectFailure });
      return;
    }
    FakeAnswer answer{ .mGood = true, .mScore = 1.0, .mWork = kServiceWork };
    if (!aStep.mVersion.empty()) {
      answer = mAnswers.Draw(aStep.mVersion,
                             visit.mCaller->mDifficulty,
                             visit.mCaller->mTokens,
                             mRandom);
    }
    const auto work = std::chrono::duration_cast<Duration>(
      upstream.Slowdown() *
      std::chrono::duration<double, std::micro>(answer.mWork));
    const auto end = std::min(aNow + work, aStep.mDeadline);
    const bool whole = aNow + work <= aStep.mDeadline;
    mQueue.At(end,
              [this,
               aEntry,
               aTicket,
               aStep,
               answer,
               whole,
               &upstream,
               began = aNow,
               epoch = upstream.Epoch()](TimePoint aLater) {
                EndAttempt({ .mEntry = aEntry,
                             .mTicket = aTicket,
                             .mStep = aStep,
                             .mAnswer = answer,
                             .mWhole = whole,
                             .mBegan = began,
                             .mEpoch = epoch },
                           upstream,
                           aLater);
              });
  }

  struct Attempt
  {
    std::size_t mEntry = 0;
    TicketId mTicket = 0;
    routing::Dispatch mStep;
    FakeAnswer mAnswer;
    bool mWhole = false;
    TimePoint mBegan;
    int mEpoch = 0;
  };

  void EndAttempt(const Attempt& aAttempt,
                  FakeUpstream& aUpstream,
                  TimePoint aNow)
  {
    routing::AttemptOutcome outcome{ .mEnd = AttemptEnd::Completed,
                                     .mBootId = aUpstream.BootId(),
                                     .mTokens = aAttempt.mAnswer.mTokens,
                                     .mScore = aAttempt.mAnswer.mScore,
                                     .mLatency = aNow - aAttempt.mBegan };
    if (aUpstream.Epoch() != aAttempt.mEpoch) {
      outcome.mEnd = AttemptEnd::Broken;
      outcome.mResponseStarted = aAttempt.mStep.mStreamToCaller;
    } else {
      aUpstream.End();
      if (!aAttempt.mWhole) {
        outcome.mEnd = AttemptEnd::TimedOut;
      } else if (aAttempt.mAnswer.mFails) {
        outcome.mEnd = AttemptEnd::Failed;
      }
    }
    auto& visit = mEntries[aAttempt.mEntry].mVisits.at(aAttempt.mTicket);
    if (outcome.mEnd == AttemptEnd::Completed) {
      visit.mGood[aAttempt.mStep.mAttempt] = aAttempt.mAnswer.mGood;
      if (mAnswers.IsBad(aAttempt.mStep.mVersion)) {
        visit.mBadVersions.insert(aAttempt.mStep.mVersion);
      }
    }
    Report(aAttempt.mEntry, aAttempt.mTicket, outcome, aNow);
  }

  void OnForward(std::size_t aEntry,
                 TicketId aTicket,
                 const routing::Forward& aStep,
                 TimePoint aNow)
  {
    const auto peer = static_cast<std::size_t>(
      std::ranges::find_if(mEntries,
                           [&](const Entry& aOther) {
                             return aOther.mInstance->mName == aStep.mInstance;
                           }) -
      mEntries.begin());
    auto caller = mEntries[aEntry].mVisits.at(aTicket).mCaller;
    mQueue.At(aNow + mDeployment.mDomainDelay,
              [this, peer, aEntry, aTicket, caller](TimePoint aLater) {
                auto request = caller->mRequest;
                request.mForwarded = true;
                Enter(
                  peer,
                  { .mCaller = caller, .mOrigin = std::pair(aEntry, aTicket) },
                  std::move(request),
                  aLater);
              });
  }

  /// Ends a visit: delivers, refuses or hands the refusal to who forwarded.
  void Finish(std::size_t aEntry,
              TicketId aTicket,
              routing::AttemptId aAttempt,
              const std::optional<routing::Refuse>& aRefusal,
              TimePoint aNow)
  {
    auto& entry = mEntries[aEntry];
    const auto visit = std::move(entry.mVisits.at(aTicket));
    entry.mVisits.erase(aTicket);
    const auto summary = entry.mRouter->Close(aTicket, aNow);
    for (const auto& attempt : summary.mAttempts) {
      mMeasures.mCost += attempt.mCost;
    }
    Duration delay = mDeployment.mClientDelay;
    if (visit.mOrigin) {
      const auto [originEntry, originTicket] = *visit.mOrigin;
      if (aRefusal && aRefusal->mRun == routing::RunState::NotRun) {
        mQueue.At(aNow + mDeployment.mDomainDelay,
                  [this, originEntry, originTicket](TimePoint aLater) {
                    CarryOut(originEntry,
                             originTicket,
                             mEntries[originEntry].mRouter->OnForwardFailed(
                               originTicket, false, aLater),
                             aLater);
                  });
        return;
      }
      delay += mDeployment.mDomainDelay;
      mEntries[originEntry].mVisits.erase(originTicket);
      // the bill of the origin is empty: its peer bills the request
      const auto closed =
        mEntries[originEntry].mRouter->Close(originTicket, aNow);
      for (const auto& attempt : closed.mAttempts) {
        mMeasures.mCost += attempt.mCost;
      }
    }
    if (!aRefusal) {
      CountAnswer(visit, aAttempt, summary, aNow + delay);
      if (IsChat(visit.mCaller->mRequest)) {
        MaybeRate(aEntry, summary, visit.mGood.at(aAttempt), aNow);
      }
    }
  }

  void CountAnswer(const Visit& aVisit,
                   routing::AttemptId aAttempt,
                   const routing::RequestSummary& aSummary,
                   TimePoint aSeen)
  {
    const auto& caller = *aVisit.mCaller;
    if (IsIdempotent(caller.mRequest)) {
      ++mMeasures.mIdempotentAnswered;
      mMeasures.mFaultAnswered += caller.mInFault ? 1 : 0;
    }
    if (!IsChat(caller.mRequest)) {
      return;
    }
    ++mMeasures.mAnswered;
    mMeasures.mGood += aVisit.mGood.at(aAttempt) ? 1 : 0;
    mMeasures.mExposed += aVisit.mBadVersions.contains(aSummary.mVersion);
    mMeasures.mLatencies.push_back(aSeen - caller.mArrival);
  }

  void MaybeRate(std::size_t aEntry,
                 const routing::RequestSummary& aSummary,
                 bool aGood,
                 TimePoint aNow)
  {
    if (Chance() >= mOptions.mRatedShare) {
      return;
    }
    std::exponential_distribution<double> delay(
      1.0 / std::chrono::duration<double>(mOptions.mRatingDelay).count());
    mQueue.At(
      aNow + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(delay(mRandom))),
      [this, aEntry, key = aSummary.mRatingKey, aGood](TimePoint aLater) {
        mEntries[aEntry].mRouter->OnRating(key, aGood, aLater);
      });
  }

  const Deployment& mDeployment;
  const ExperimentOptions& mOptions;
  std::mt19937_64 mRandom;
  EventQueue mQueue;
  AnswerModel mAnswers;
  manifest::ManifestPtr mManifest;
  std::map<std::string, FakeUpstream> mUpstreams;
  std::vector<Entry> mEntries;
  Measures mMeasures;
  TimePoint mFaultFrom = TimePoint::max();
  TimePoint mFaultTo = TimePoint::max();
  std::uint64_t mLastRequest = 0;
  TicketId mLastTicket = 0;
};

} // namespace

std::string_view
NameOf(Scenario aScenario)
{
  switch (aScenario) {
    case Scenario::Steady:
      return "steady";
    case Scenario::BadRollOut:
      return "bad-roll-out";
    case Scenario::TurnsBad:
      return "turns-bad";
    case Scenario::DomainLost:
      return "domain-lost";
    case Scenario::GreedyAccount:
      return "greedy-account";
    case Scenario::UpstreamDies:
      break;
  }
  return "upstream-dies";
}

Measures
RunExperiment(const Deployment& aDeployment, const ExperimentOptions& aOptions)
{
  return Experiment(aDeployment, aOptions).Run();
}

} // namespace figslip::load
