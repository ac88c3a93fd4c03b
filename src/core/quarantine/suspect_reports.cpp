#include <figslip/quarantine/suspect_reports.hpp>

#include <algorithm>
#include <cstdlib>
#include <ranges>

namespace figslip::quarantine {

namespace {

bool
HaveCommonPart(const CrashSuspects& aCrash, const CrashSuspects& aOther)
{
  return std::ranges::any_of(
    aCrash.mParts, [&](PartId aPart) { return aOther.mParts.contains(aPart); });
}

/// Checks whether both crashes are evidence against a part.
bool
AreConnected(const CrashSuspects& aCrash, const CrashSuspects& aOther)
{
  return aCrash.mEndpoint != aOther.mEndpoint && HaveCommonPart(aCrash, aOther);
}

/// Leaves out the parts that were published.
void
LeaveOut(const CrashSuspects& aPublished, CrashSuspects& aCrash)
{
  std::erase_if(aCrash.mParts, [&](PartId aPart) {
    return aPublished.mParts.contains(aPart);
  });
}

} // namespace

bool
SuspectReports::IsSameCrash(const CrashSuspects& aCrash,
                            const CrashSuspects& aOther) const
{
  const auto window = mOptions.mSameCrashWindow / std::chrono::milliseconds(1);
  return aCrash.mEndpoint == aOther.mEndpoint &&
         std::abs(aCrash.mAtMs - aOther.mAtMs) < window;
}

CrashSuspects
SuspectReports::WithoutKnown(CrashSuspects aCrash) const
{
  for (const auto& known : mKnown) {
    if (IsSameCrash(aCrash, known.mCrash)) {
      LeaveOut(known.mCrash, aCrash);
    }
  }
  return aCrash;
}

bool
SuspectReports::OnOwn(const CrashSuspects& aCrash, TimePoint aNow)
{
  auto crash = WithoutKnown(aCrash);
  if (crash.mParts.empty()) {
    return true;
  }
  const bool isUrgent = std::ranges::any_of(mKnown, [&](const Known& aKnown) {
    return AreConnected(crash, aKnown.mCrash);
  });
  const auto dueAt = isUrgent ? aNow : aNow + mSpread.DelayOf(aCrash.mEndpoint);
  const auto found = mPending.find(crash.mEndpoint);
  if (found != mPending.end()) {
    auto& pending = found->second;
    pending.mCrash.mParts.merge(crash.mParts);
    pending.mDueAt = std::min(pending.mDueAt, dueAt);
    pending.mIsUrgent |= isUrgent;
    return true;
  }
  if (mPending.size() >= mOptions.mMaxPending) {
    return false;
  }
  // two own crashes with a common suspect are evidence, too
  for (auto& pending : mPending | std::views::values) {
    if (AreConnected(crash, pending.mCrash)) {
      pending.mDueAt = aNow;
      pending.mIsUrgent = true;
    }
  }
  const bool isSecond =
    std::ranges::any_of(mPending | std::views::values, [&](const auto& aOther) {
      return AreConnected(crash, aOther.mCrash);
    });
  mPending.emplace(aCrash.mEndpoint,
                   Pending{ .mCrash = std::move(crash),
                            .mDueAt = isSecond ? aNow : dueAt,
                            .mIsUrgent = isUrgent || isSecond });
  return true;
}

void
SuspectReports::OnPublished(const CrashSuspects& aCrash, TimePoint aNow)
{
  for (auto& pending : mPending | std::views::values) {
    if (IsSameCrash(pending.mCrash, aCrash)) {
      LeaveOut(aCrash, pending.mCrash);
    } else if (AreConnected(pending.mCrash, aCrash)) {
      pending.mDueAt = std::min(pending.mDueAt, aNow);
      pending.mIsUrgent = true;
    }
  }
  std::erase_if(mPending, [](const auto& aItem) {
    return aItem.second.mCrash.mParts.empty();
  });
  Remember(aCrash, aNow);
}

std::vector<CrashSuspects>
SuspectReports::TakeDue(std::size_t aMax, TimePoint aNow)
{
  std::vector<CrashSuspects> due;
  for (const bool isUrgent : { true, false }) {
    for (const auto& pending : mPending | std::views::values) {
      if (due.size() < aMax && pending.mDueAt <= aNow &&
          pending.mIsUrgent == isUrgent) {
        due.push_back(pending.mCrash);
      }
    }
  }
  for (const auto& crash : due) {
    mPending.erase(crash.mEndpoint);
  }
  std::ranges::for_each(
    due, [&](const CrashSuspects& aCrash) { Remember(aCrash, aNow); });
  return due;
}

void
SuspectReports::Remember(const CrashSuspects& aCrash, TimePoint aNow)
{
  mKnown.push_back({ .mCrash = aCrash, .mSeenAt = aNow });
  while (mKnown.size() > mOptions.mMaxKnown ||
         aNow - mKnown.front().mSeenAt >= mOptions.mRetention) {
    mKnown.pop_front();
  }
}

} // namespace figslip::quarantine
