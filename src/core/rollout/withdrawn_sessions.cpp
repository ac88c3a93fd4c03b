#include <figslip/rollout/withdrawn_sessions.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <utility>

namespace figslip::rollout {

namespace {

/// Time in which requests end that are in flight on a withdrawn version; longer
/// than the timeouts of usual routes.
constexpr Duration kMaxRunTime = std::chrono::seconds(30);

/// Time after a withdrawal in which the sessions of all instances in touch with
/// the store become known.
constexpr Duration kSharingTime = std::chrono::seconds(2);

/// Maximum number of sessions in a report, to bound its size.
constexpr std::ptrdiff_t kMaxReportedSessions = 2'000;

bool
IsSameRollout(const Withdrawal& aLeft, const Withdrawal& aRight)
{
  return aLeft.mTarget == aRight.mTarget && aLeft.mCreated == aRight.mCreated;
}

} // namespace

WithdrawnSessions::WithdrawnSessions(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
WithdrawnSessions::OnWithdrawn(const Withdrawal& aWithdrawal, TimePoint aNow)
{
  if (mWithdrawal == aWithdrawal && !mIsExpected) {
    return;
  }
  mIsExpected = false;
  mWithdrawal = aWithdrawal;
  mWithdrawnAt = aNow;
  mStage = Stage::Begun;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aEntry.second.mWithdrawal != aWithdrawal;
  });
}

void
WithdrawnSessions::OnStopping(const Withdrawal& aExpected, TimePoint aNow)
{
  if (!IsCurrent(aNow) || mIsExpected) {
    OnWithdrawn(aExpected, aNow);
    mIsExpected = true;
  }
}

void
WithdrawnSessions::OnPeerReport(const SessionReport& aReport,
                                TimePoint aReceivedAt)
{
  const bool isOwn = aReport.mInstance == mOptions.mInstance;
  mIsEarlierNew = mIsEarlierNew || isOwn;
  if (aReport.mSessions.empty()) {
    mPeers.erase(aReport.mInstance);
    return;
  }
  PeerSessions peer{ .mWithdrawal = aReport.mWithdrawal };
  for (const auto& session : aReport.mSessions) {
    const auto left = session.mLeft.value_or(
      (isOwn ? Duration::zero() : kMaxRunTime) + mOptions.mSessionTtl);
    peer.mExpiries[session.mHash] = aReceivedAt + left;
  }
  mPeers.insert_or_assign(aReport.mInstance, std::move(peer));
}

bool
WithdrawnSessions::IsCurrent(TimePoint aNow) const
{
  return mWithdrawal &&
         aNow < mWithdrawnAt + kMaxRunTime + mOptions.mSessionTtl;
}

std::optional<Withdrawal>
WithdrawnSessions::LatestBefore(const Withdrawal& aNext, TimePoint aNow) const
{
  if (mWithdrawal && IsSameRollout(*mWithdrawal, aNext)) {
    return std::nullopt;
  }
  auto latest = IsCurrent(aNow) ? mWithdrawal : std::nullopt;
  for (const auto& peer : mPeers | std::views::values) {
    const bool isLater =
      !latest || peer.mWithdrawal.mCreated > latest->mCreated;
    if (isLater && !IsSameRollout(peer.mWithdrawal, aNext)) {
      latest = peer.mWithdrawal;
    }
  }
  return latest;
}

std::optional<SessionHold>
WithdrawnSessions::HoldOf(std::uint64_t aHash,
                          const SessionTable& aOwn,
                          const Withdrawal& aNext,
                          TimePoint aNow) const
{
  const auto withdrawal = LatestBefore(aNext, aNow);
  if (!withdrawal) {
    return std::nullopt;
  }
  TimePoint expiry = aNow;
  const auto version = aOwn.ActiveVersion(aHash, aNow);
  if (!version.empty()) {
    const bool isHeld =
      withdrawal->Contains(version) && version != aNext.mTarget;
    expiry = isHeld ? aOwn.ExpiryOf(aHash, aNow) : aNow;
  } else {
    for (const auto& peer : mPeers | std::views::values) {
      const auto found = peer.mExpiries.find(aHash);
      if (peer.mWithdrawal == withdrawal && found != peer.mExpiries.end()) {
        expiry = std::max(expiry, found->second);
      }
    }
  }
  if (expiry > aNow) {
    // a session whose request is in flight may expire earlier than it is known
    return SessionHold{ .mUntil =
                          std::min(expiry, aNow + mOptions.mSessionTtl) };
  }
  const auto shared = mWithdrawnAt + kSharingTime;
  const bool isUnknown =
    version.empty() && withdrawal == mWithdrawal && shared > aNow;
  return isUnknown
           ? std::optional(SessionHold{ .mUntil = shared, .mIsUnknown = true })
           : std::nullopt;
}

std::vector<SessionState>
WithdrawnSessions::EarlierSessions(const SessionTable& aOwn,
                                   TimePoint aNow) const
{
  std::vector<SessionState> states;
  const auto earlier = mPeers.find(mOptions.mInstance);
  if (earlier != mPeers.end()) {
    for (const auto& [hash, expiry] : earlier->second.mExpiries) {
      if (expiry > aNow && aOwn.ActiveVersion(hash, aNow).empty()) {
        states.push_back({ .mHash = hash, .mLeft = expiry - aNow });
      }
    }
  }
  return states;
}

std::optional<SessionReport>
WithdrawnSessions::DueEarlierReport(const SessionTable& aOwn,
                                    bool aIsNew,
                                    TimePoint aNow)
{
  const auto earlier = mPeers.find(mOptions.mInstance);
  if (earlier == mPeers.end()) {
    return std::nullopt;
  }
  SessionReport report{ .mInstance = mOptions.mInstance,
                        .mService = mOptions.mService,
                        .mWithdrawal = earlier->second.mWithdrawal,
                        .mSessions = EarlierSessions(aOwn, aNow) };
  if (report.mSessions.empty()) {
    mPeers.erase(earlier);
    return report;
  }
  return aIsNew ? std::optional(std::move(report)) : std::nullopt;
}

std::optional<SessionReport>
WithdrawnSessions::DueReport(const SessionTable& aOwn, TimePoint aNow)
{
  const bool isEarlierNew = std::exchange(mIsEarlierNew, false);
  if (mStage == Stage::Over) {
    return DueEarlierReport(aOwn, isEarlierNew, aNow);
  }
  SessionReport report{ .mInstance = mOptions.mInstance,
                        .mService = mOptions.mService,
                        .mWithdrawal = *mWithdrawal,
                        .mSessions = aOwn.ActiveOn(
                          [this](std::string_view aVersion) {
                            return mWithdrawal->Contains(aVersion);
                          },
                          aNow) };
  auto& sessions = report.mSessions;
  const bool isInFlight = std::ranges::any_of(
    sessions, [](const SessionState& aState) { return !aState.mLeft; });
  const auto earlier = mPeers.find(mOptions.mInstance);
  if (earlier != mPeers.end() && earlier->second.mWithdrawal == mWithdrawal) {
    std::ranges::copy(EarlierSessions(aOwn, aNow),
                      std::back_inserter(sessions));
  }
  if (sessions.empty()) {
    mStage = Stage::Over;
    mPeers.erase(mOptions.mInstance);
    return report;
  }
  const auto before = std::exchange(
    mStage,
    isInFlight && mStage != Stage::Ended ? Stage::InFlight : Stage::Ended);
  if (before == mStage && !isEarlierNew) {
    return std::nullopt;
  }
  if (std::ssize(sessions) > kMaxReportedSessions) {
    sessions.resize(kMaxReportedSessions);
  }
  return report;
}

} // namespace figslip::rollout
