#include <figslip/rollout/session_table.hpp>

#include <algorithm>
#include <cstddef>

namespace figslip::rollout {

namespace {

/// Number of sessions from which those that are no longer active are removed.
constexpr std::size_t kMaxSessions = 20'000;

} // namespace

TimePoint
SessionTable::ExpiryOf(const Session& aSession, TimePoint aNow) const
{
  return (aSession.mInFlight > 0 ? aNow : aSession.mLastActivity) + mTimeToLive;
}

bool
SessionTable::IsActive(const Session& aSession, TimePoint aNow) const
{
  return aNow < ExpiryOf(aSession, aNow);
}

TimePoint
SessionTable::ExpiryOf(std::uint64_t aHash, TimePoint aNow) const
{
  const auto found = mSessions.find(aHash);
  return found == mSessions.end() ? aNow : ExpiryOf(found->second, aNow);
}

std::vector<SessionState>
SessionTable::ActiveOn(const std::function<bool(std::string_view)>& aIsWanted,
                       TimePoint aNow) const
{
  std::vector<SessionState> states;
  for (const auto& [hash, session] : mSessions) {
    const bool isWanted = !session.mIsSingle && IsActive(session, aNow) &&
                          aIsWanted(session.mVersion);
    if (isWanted) {
      states.push_back(
        { .mHash = hash,
          .mLeft = session.mInFlight > 0
                     ? std::nullopt
                     : std::optional(ExpiryOf(session, aNow) - aNow) });
    }
  }
  return states;
}

std::string_view
SessionTable::ActiveVersion(std::uint64_t aHash, TimePoint aNow) const
{
  const auto found = mSessions.find(aHash);
  return found != mSessions.end() && IsActive(found->second, aNow)
           ? std::string_view(found->second.mVersion)
           : std::string_view();
}

void
SessionTable::OnSent(const SessionId& aSession,
                     std::string_view aVersion,
                     TimePoint aNow)
{
  const bool isKnown = mSessions.contains(aSession.mHash);
  if (mSessions.size() >= kMaxSessions && !isKnown) {
    std::erase_if(mSessions, [&](const auto& aEntry) {
      return !IsActive(aEntry.second, aNow);
    });
  }
  auto& session = mSessions[aSession.mHash];
  session.mVersion = aVersion;
  session.mIsSingle = aSession.mIsSingle;
  session.mLastActivity = aNow;
  ++session.mInFlight;
}

void
SessionTable::OnEnded(const SessionId& aSession, TimePoint aNow)
{
  const auto found = mSessions.find(aSession.mHash);
  if (found != mSessions.end()) {
    found->second.mInFlight = std::max(0, found->second.mInFlight - 1);
    found->second.mLastActivity = aNow;
  }
}

} // namespace figslip::rollout
