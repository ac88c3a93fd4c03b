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

enum class CommandKind
{
  StartChat,
  StartBooking,
  StartLookup,
  Complete,
  Fail,
  Reject,
  Withdraw,
  Drain,
  Leave,
  Forbid,
  AdvanceTime,
  Grant
};
constexpr std::uint64_t kCommandKinds = 12;

struct Command
{
  CommandKind mKind;
  std::uint64_t mSelector; ///< selects an account, version, upstream or request
};

std::vector<Command>
GenerateCommands()
{
  const auto raw = *rc::gen::container<std::vector<std::uint64_t>>(
    rc::gen::inRange<std::uint64_t>(0, kCommandKinds * 1000));
  std::vector<Command> commands;
  commands.reserve(raw.size());
  for (const auto number : raw) {
    commands.push_back({ static_cast<CommandKind>(number % kCommandKinds),
                         number / kCommandKinds });
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

/// Test oracle that tracks the open requests and their attempts in plain maps.
struct Oracle
{
  struct OpenRequest
  {
    Request mRequest;
    bool mIdempotent = true;
    bool mMayHaveRun = false;
    int mSent = 0; ///< attempts whose bytes may have been sent
    std::optional<Dispatch> mDispatch;
    bool mWaiting = false;
    bool mMayChangeVersion = false; ///< a version changed state after the start
  };
  std::map<TicketId, OpenRequest> mOpen;
  std::map<std::string, int> mInFlight;
  std::map<std::string, int> mSuccesses; ///< since the last unexpected failure
};

/// Executes commands on a router and compares it with the oracle after each.
class RouterRun
{
public:
  RouterRun()
    : mManifest(MakeManifest())
    , mRouter({ .mFailureDomain = "a", .mSelf = { "entry-a", 1 } })
  {
    Publish();
    GrantAll();
  }

  void Execute(const Command& aCommand)
  {
    const auto selector = aCommand.mSelector;
    mNow += std::chrono::milliseconds(1);
    switch (aCommand.mKind) {
      case CommandKind::StartChat:
        Start(ChatTarget{ .mName = kTargets.at(selector % kTargets.size()) },
              selector);
        break;
      case CommandKind::StartBooking:
        Start(ServiceTarget{ "desk", "book" }, selector);
        break;
      case CommandKind::StartLookup:
        Start(ServiceTarget{ "desk", "look" }, selector);
        break;
      case CommandKind::Complete:
        End(selector, AttemptEnd::Completed);
        break;
      case CommandKind::Fail:
        End(selector,
            selector % 2 == 0 ? AttemptEnd::Broken : AttemptEnd::TimedOut);
        break;
      case CommandKind::Reject:
        End(selector,
            selector % 2 == 0 ? AttemptEnd::NotConnected
                              : AttemptEnd::Rejected);
        break;
      case CommandKind::AdvanceTime:
        mNow += std::chrono::milliseconds(selector % 3000);
        Publish();
        break;
      case CommandKind::Grant:
        GrantAll();
        break;
      default:
        ChangeManifest(aCommand.mKind, selector);
    }
    ResumeWoken();
    CheckNoMissedWakeUp();
  }

  void Finish()
  {
    while (!mOracle.mOpen.empty()) {
      Close(mOracle.mOpen.begin()->first);
      (void)mRouter.PopWakeUps();
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
        .mHeartbeatAt = mNow,
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

  void ChangeManifest(CommandKind aStep, std::uint64_t aSelector)
  {
    auto& versions = mManifest.mModels[0].mVersions;
    auto& state = versions[aSelector % versions.size()].mState;
    auto& domain = mManifest.mFailureDomains[0].mState;
    auto& allow = mManifest.mClientAccounts[aSelector % 2].mAllow;
    if (aStep == CommandKind::Withdraw) {
      state = state == VersionState::Stable ? VersionState::Withdrawn
                                            : VersionState::Stable;
      for (auto& [ticket, open] : mOracle.mOpen) {
        open.mMayChangeVersion = true;
      }
    } else if (aStep == CommandKind::Drain) {
      domain = domain == DomainState::In ? DomainState::Out : DomainState::In;
    } else if (aStep == CommandKind::Leave) {
      const auto& name =
        mManifest.mUpstreams[aSelector % mManifest.mUpstreams.size()].mName;
      if (std::erase(mLeaving, name) == 0) {
        mLeaving.push_back(name);
      }
    } else if (std::erase(allow, "desk") == 0) {
      allow.emplace_back("desk");
    }
    ++mManifest.mGeneration;
    Publish();
  }

  void Start(Target aTarget, std::uint64_t aSelector)
  {
    const auto ticket = ++mLastTicket;
    const auto* const service = std::get_if<ServiceTarget>(&aTarget);
    const bool isBooking = service != nullptr && service->mOperation == "book";
    Request request{ .mId = "r" + std::to_string(ticket),
                     .mAccount = kAccounts.at(aSelector / 8 % 2),
                     .mTarget = std::move(aTarget),
                     .mDeadline = mNow + std::chrono::seconds(30),
                     .mIdempotencyKey = isBooking ? "k" : "",
                     .mFingerprint = ticket };
    const auto* const chat = std::get_if<ChatTarget>(&request.mTarget);
    if (chat != nullptr && chat->mName == "small") {
      request.mSession = { request.mAccount, "small", "s1" };
    }
    mOracle.mOpen[ticket] = { .mRequest = request, .mIdempotent = !isBooking };
    CarryOut(ticket, mRouter.Start(ticket, request, mNow));
  }

  void End(std::uint64_t aSelector, AttemptEnd aEnd)
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
    const auto ticket = running[aSelector % running.size()];
    auto& open = mOracle.mOpen.at(ticket);
    const auto upstream = open.mDispatch->mUpstream;
    const bool mayRun = MayHaveRun(aEnd);
    open.mMayHaveRun = open.mMayHaveRun || mayRun;
    open.mSent += mayRun || aEnd == AttemptEnd::Rejected ? 1 : 0;
    open.mDispatch.reset();
    --mOracle.mInFlight[upstream];
    auto& successes = mOracle.mSuccesses[upstream];
    successes = aEnd == AttemptEnd::Completed ? successes + 1 : 0;
    const AttemptOutcome outcome{ .mEnd = aEnd,
                                  .mBootId = upstream,
                                  .mScore = aSelector % 4 < 2 ? 0.2 : 0.9 };
    CarryOut(ticket, mRouter.OnOutcome(ticket, outcome, mNow));
  }

  /// Checks a decision and carries it out as the shell does.
  void CarryOut(TicketId aTicket, const Decision& aDecision)
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
      CarryOut(aTicket,
               mRouter.OnClaim(aTicket, claim::ClaimOutcome::Won, mNow));
    } else {
      if (const auto* const refusal = std::get_if<Refuse>(&aDecision)) {
        RC_ASSERT(refusal->mRun != RunState::NotRun || !open.mMayHaveRun);
      }
      Close(aTicket);
    }
  }

  void CheckDispatchAllowed(const Oracle::OpenRequest& aOpen,
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
      session && !aOpen.mMayChangeVersion &&
      mIndex->FindVersion("s1")->mVersion->mState == VersionState::Stable;
    RC_ASSERT(!mustStay || aDispatch.mVersion == session->mVersion);
    RC_ASSERT(mIndex->DomainTakesWork("a"));
    RC_ASSERT(std::ranges::count(mLeaving, aDispatch.mUpstream) == 0);
    // a non-idempotent request is sent once, and only while its key is claimed
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
    // requests sent before an unexpected failure may still run there
    const bool countsAgree =
      mRouter.Upstreams().InFlight(aUpstream) == inFlight;
    RC_ASSERT(countsAgree);
    RC_ASSERT(inFlight <= (mustBeCold ? kColdConcurrency : kConcurrency));
  }

  void ResumeWoken()
  {
    auto woken = mRouter.PopWakeUps();
    while (!woken.empty()) {
      for (const auto ticket : woken) {
        const auto found = mOracle.mOpen.find(ticket);
        if (found != mOracle.mOpen.end() && found->second.mWaiting) {
          CarryOut(ticket, mRouter.Resume(ticket, mNow));
        }
      }
      woken = mRouter.PopWakeUps();
    }
  }

  /// Checks that a waiting request gets no slot when it is resumed without a
  /// wake-up; a free slot would mean that its wake-up was missed.
  void CheckNoMissedWakeUp()
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
      CarryOut(ticket, decision);
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

TEST_CASE("router invariants hold under any order of events")
{
  CHECK(rc::check("router against oracle", [] {
    RouterRun run;
    for (const auto& command : GenerateCommands()) {
      run.Execute(command);
    }
    run.Finish();
  }));
}
