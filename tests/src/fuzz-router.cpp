#include <figslip/routing/router.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

using namespace figslip;
using namespace figslip::routing;
using manifest::DomainState;
using manifest::VersionState;

namespace {

constexpr std::array kAccounts = { "salon", "school" };
constexpr std::array kTargets = { "small", "large", "chat", "s2" };
constexpr int kConcurrency = 2;
constexpr int kColdConcurrency = 1;

enum class Step
{
  StartChat,
  StartBooking,
  StartLookup,
  Answer,
  Fail,
  Reject,
  Withdraw,
  Drain,
  Leave,
  Forbid,
  Pass,
  Grant
};
constexpr std::uint64_t kSteps = 12;

struct Command
{
  Step mStep;
  std::uint64_t mDraw; ///< selects among what there is
};

std::vector<Command>
AnyCommands()
{
  const auto raw = *rc::gen::container<std::vector<std::uint64_t>>(
    rc::gen::inRange<std::uint64_t>(0, kSteps * 1000));
  std::vector<Command> commands;
  commands.reserve(raw.size());
  for (const auto number : raw) {
    commands.push_back({ static_cast<Step>(number % kSteps), number / kSteps });
  }
  return commands;
}

manifest::Manifest
MakeManifest()
{
  manifest::Manifest manifest;
  manifest.mGeneration = 1;
  manifest.mFailureDomains = { { "a", "r" }, { "b", "r" } };
  manifest.mModels = { { "small", { { .mName = "s1" }, { .mName = "s2" } } },
                       { "large", { { .mName = "l1" } } } };
  manifest.mCascades = { { "chat", 0.8, { { "small", 0.5 }, { "large" } } } };
  manifest.mServices = { { "desk", { { "look", true }, { "book", false } } } };
  manifest.mClientAccounts = {
    { "salon", 1.0, { "small", "large", "desk" }, { "chat" } },
    { "school", 1.0, { "s1", "desk" }, { "chat" } },
  };
  const auto add = [&](manifest::Upstream aUpstream) {
    aUpstream.mFailureDomain = "a";
    aUpstream.mAddress = "127.0.0.1";
    aUpstream.mPort = 1;
    aUpstream.mConcurrency = kConcurrency;
    aUpstream.mColdConcurrency = kColdConcurrency;
    manifest.mUpstreams.push_back(std::move(aUpstream));
  };
  add({ .mName = "e1", .mVersions = { "s1", "s2" } });
  add({ .mName = "e2", .mVersions = { "s1", "l1" } });
  add({ .mName = "d1",
        .mKind = manifest::UpstreamKind::Plain,
        .mService = "desk" });
  return manifest;
}

/// Knows what is open, and what each request did, in a few plain maps.
struct Oracle
{
  struct Open
  {
    Request mRequest;
    bool mIdempotent = true;
    bool mMayHaveRun = false;
    int mSent = 0; ///< attempts whose bytes may have left
    std::optional<Dispatch> mDispatch;
    bool mWaiting = false;
    bool mMayMove = false; ///< its session's version was withdrawn meanwhile
  };
  std::map<TicketId, Open> mOpen;
  std::map<std::string, int> mInFlight;
  std::map<std::string, int> mSuccesses; ///< since the last surprise
};

/// Runs commands on a router and compares it with the oracle at every step.
class Run
{
public:
  Run()
    : mManifest(MakeManifest())
    , mRouter({ .mFailureDomain = "a", .mSelf = { "entry-a", 1 } })
  {
    Publish();
    GrantAll();
  }

  void Do(const Command& aCommand)
  {
    const auto draw = aCommand.mDraw;
    mNow += std::chrono::milliseconds(1);
    switch (aCommand.mStep) {
      case Step::StartChat:
        Start(ChatTarget{ .mName = kTargets.at(draw % kTargets.size()) }, draw);
        break;
      case Step::StartBooking:
        Start(ServiceTarget{ "desk", "book" }, draw);
        break;
      case Step::StartLookup:
        Start(ServiceTarget{ "desk", "look" }, draw);
        break;
      case Step::Answer:
        End(draw, AttemptEnd::Whole);
        break;
      case Step::Fail:
        End(draw, draw % 2 == 0 ? AttemptEnd::Broken : AttemptEnd::TimedOut);
        break;
      case Step::Reject:
        End(draw,
            draw % 2 == 0 ? AttemptEnd::NotConnected : AttemptEnd::Rejected);
        break;
      case Step::Pass:
        mNow += std::chrono::milliseconds(draw % 3000);
        Publish();
        break;
      case Step::Grant:
        GrantAll();
        break;
      default:
        Change(aCommand.mStep, draw);
    }
    WakeAll();
    CheckNobodyIsForgotten();
  }

  void Finish()
  {
    while (!mOracle.mOpen.empty()) {
      Close(mOracle.mOpen.begin()->first);
      (void)mRouter.TakeWakeUps();
    }
    for (const auto& upstream : mManifest.mUpstreams) {
      RC_ASSERT(mRouter.Upstreams().InFlight(upstream.mName) == 0);
    }
    RC_ASSERT(mRouter.OpenRequests() == 0U);
    RC_ASSERT(mRouter.WaitingRequests() == 0U);
  }

private:
  void Publish()
  {
    mIndex = std::make_shared<const manifest::ManifestIndex>(mManifest);
    mRouter.OnSnapshot(
      std::make_shared<const ControlSnapshot>(ControlSnapshot{
        .mManifest = mIndex,
        .mConfirmedAt = mNow,
        .mHeartbeat = mNow,
        .mInstances = { .mEntries = {}, .mLeavingUpstreams = mLeaving } }),
      mNow);
  }

  void GrantAll()
  {
    for (const auto& upstream : mManifest.mUpstreams) {
      mRouter.OnGrant(
        { upstream.mName, kColdConcurrency, mNow + std::chrono::seconds(60) },
        mNow);
    }
  }

  void Change(Step aStep, std::uint64_t aDraw)
  {
    auto& versions = mManifest.mModels[0].mVersions;
    auto& state = versions[aDraw % versions.size()].mState;
    auto& domain = mManifest.mFailureDomains[0].mState;
    auto& allow = mManifest.mClientAccounts[aDraw % 2].mAllow;
    if (aStep == Step::Withdraw) {
      state = state == VersionState::Stable ? VersionState::Withdrawn
                                            : VersionState::Stable;
      for (auto& [ticket, open] : mOracle.mOpen) {
        open.mMayMove = true;
      }
    } else if (aStep == Step::Drain) {
      domain = domain == DomainState::In ? DomainState::Out : DomainState::In;
    } else if (aStep == Step::Leave) {
      const auto& name =
        mManifest.mUpstreams[aDraw % mManifest.mUpstreams.size()].mName;
      if (std::erase(mLeaving, name) == 0) {
        mLeaving.push_back(name);
      }
    } else if (std::erase(allow, "desk") == 0) {
      allow.emplace_back("desk");
    }
    ++mManifest.mGeneration;
    Publish();
  }

  void Start(Target aTarget, std::uint64_t aDraw)
  {
    const auto ticket = ++mLastTicket;
    const auto* const service = std::get_if<ServiceTarget>(&aTarget);
    const bool isBooking = service != nullptr && service->mOperation == "book";
    Request request{ .mId = "r" + std::to_string(ticket),
                     .mAccount = kAccounts.at(aDraw / 8 % 2),
                     .mTarget = std::move(aTarget),
                     .mDeadline = mNow + std::chrono::seconds(30),
                     .mIdempotencyKey = isBooking ? "k" : "",
                     .mFingerprint = ticket };
    const auto* const chat = std::get_if<ChatTarget>(&request.mTarget);
    if (chat != nullptr && chat->mName == "small") {
      request.mSession = { request.mAccount, "small", "s1" };
    }
    mOracle.mOpen[ticket] = { .mRequest = request, .mIdempotent = !isBooking };
    Follow(ticket, mRouter.Start(ticket, request, mNow));
  }

  void End(std::uint64_t aDraw, AttemptEnd aEnd)
  {
    std::vector<TicketId> running;
    for (const auto& [ticket, open] : mOracle.mOpen) {
      if (open.mDispatch) {
        running.push_back(ticket);
      }
    }
    if (running.empty()) {
      return;
    }
    const auto ticket = running[aDraw % running.size()];
    auto& open = mOracle.mOpen.at(ticket);
    const auto upstream = open.mDispatch->mUpstream;
    const bool mayRun = MayHaveRun(aEnd);
    open.mMayHaveRun = open.mMayHaveRun || mayRun;
    open.mSent += mayRun || aEnd == AttemptEnd::Rejected ? 1 : 0;
    open.mDispatch.reset();
    --mOracle.mInFlight[upstream];
    auto& successes = mOracle.mSuccesses[upstream];
    successes = aEnd == AttemptEnd::Whole ? successes + 1 : 0;
    const AttemptOutcome outcome{ .mEnd = aEnd,
                                  .mBootId = upstream,
                                  .mScore = aDraw % 4 < 2 ? 0.2 : 0.9 };
    Follow(ticket, mRouter.OnOutcome(ticket, outcome, mNow));
  }

  /// Carries out a decision as the shell does, and checks it.
  void Follow(TicketId aTicket, const Decision& aDecision)
  {
    auto& open = mOracle.mOpen.at(aTicket);
    open.mWaiting = false;
    if (const auto* const dispatch = std::get_if<Dispatch>(&aDecision)) {
      CheckDispatchAllowed(open, *dispatch);
      open.mDispatch = *dispatch;
      ++mOracle.mInFlight[dispatch->mUpstream];
      CheckLimit(dispatch->mUpstream);
    } else if (std::holds_alternative<Wait>(aDecision)) {
      open.mWaiting = true;
    } else if (std::holds_alternative<ClaimKey>(aDecision)) {
      RC_ASSERT(!open.mIdempotent);
      mClaimed.insert(aTicket);
      Follow(aTicket, mRouter.OnClaim(aTicket, claim::ClaimOutcome::Won, mNow));
    } else {
      if (const auto* const refusal = std::get_if<Refuse>(&aDecision)) {
        RC_ASSERT(refusal->mRun != RunState::NotRun || !open.mMayHaveRun);
      }
      Close(aTicket);
    }
  }

  void CheckDispatchAllowed(const Oracle::Open& aOpen,
                            const Dispatch& aDispatch) const
  {
    const auto& account = *mIndex->FindAccount(aOpen.mRequest.mAccount);
    if (aDispatch.mVersion.empty()) {
      RC_ASSERT(std::ranges::count(account.mAllow, "desk") == 1);
    } else {
      const auto& version = *mIndex->FindVersion(aDispatch.mVersion);
      RC_ASSERT(mIndex->AllowsVersion(account, version));
      RC_ASSERT(version.mVersion->mState != VersionState::Withdrawn);
    }
    const auto& session = aOpen.mRequest.mSession;
    const bool mustStay =
      session && !aOpen.mMayMove &&
      mIndex->FindVersion("s1")->mVersion->mState == VersionState::Stable;
    RC_ASSERT(!mustStay || aDispatch.mVersion == session->mVersion);
    RC_ASSERT(mIndex->DomainTakesWork("a"));
    RC_ASSERT(std::ranges::count(mLeaving, aDispatch.mUpstream) == 0);
    // a non-idempotent request goes out once, and only under its claim
    RC_ASSERT(aOpen.mIdempotent || aOpen.mSent == 0);
    RC_ASSERT(aOpen.mIdempotent ||
              mClaimed.contains(aOpen.mRequest.mFingerprint));
  }

  void CheckLimit(const std::string& aUpstream) const
  {
    constexpr int kWarmSuccesses = 5;
    const auto successes = mOracle.mSuccesses.find(aUpstream);
    const bool mustBeCold = successes == mOracle.mSuccesses.end() ||
                            successes->second < kWarmSuccesses;
    const int inFlight = mOracle.mInFlight.at(aUpstream);
    // work from before a surprise may still run there
    const bool isNew = mRouter.Upstreams().InFlight(aUpstream) == inFlight;
    RC_ASSERT(isNew);
    RC_ASSERT(inFlight <= (mustBeCold ? kColdConcurrency : kConcurrency));
  }

  void WakeAll()
  {
    auto woken = mRouter.TakeWakeUps();
    while (!woken.empty()) {
      for (const auto ticket : woken) {
        const auto found = mOracle.mOpen.find(ticket);
        if (found != mOracle.mOpen.end() && found->second.mWaiting) {
          Follow(ticket, mRouter.Resume(ticket, mNow));
        }
      }
      woken = mRouter.TakeWakeUps();
    }
  }

  /// A request that waits gets no slot by asking again.
  void CheckNobodyIsForgotten()
  {
    std::vector<TicketId> waiting;
    for (const auto& [ticket, open] : mOracle.mOpen) {
      if (open.mWaiting) {
        waiting.push_back(ticket);
      }
    }
    for (const auto ticket : waiting) {
      const auto decision = mRouter.Resume(ticket, mNow);
      const bool gotSlot = std::holds_alternative<Dispatch>(decision) ||
                           std::holds_alternative<ClaimKey>(decision);
      RC_ASSERT(!gotSlot);
      Follow(ticket, decision);
    }
  }

  void Close(TicketId aTicket)
  {
    const auto& open = mOracle.mOpen.at(aTicket);
    if (open.mDispatch) {
      --mOracle.mInFlight[open.mDispatch->mUpstream];
    }
    (void)mRouter.Close(aTicket, mNow);
    mOracle.mOpen.erase(aTicket);
  }

  manifest::Manifest mManifest;
  manifest::ManifestPtr mIndex;
  std::vector<std::string> mLeaving;
  TimePoint mNow{ std::chrono::hours(1000) };
  Router mRouter;
  Oracle mOracle;
  std::set<TicketId> mClaimed;
  TicketId mLastTicket = 0;
};

} // namespace

TEST_CASE("a router keeps its promises under any order of events")
{
  CHECK(rc::check("router against oracle", [] {
    Run run;
    for (const auto& command : AnyCommands()) {
      run.Do(command);
    }
    run.Finish();
  }));
}
