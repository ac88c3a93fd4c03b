#include <figslip/billing/billing_neighbour.hpp>

#include <algorithm>
#include <utility>

namespace figslip::billing {

BillingNeighbour::BillingNeighbour(Options aOptions)
  : mOptions(aOptions)
{
}

bool
BillingNeighbour::IsKnown(const RecordCopy& aCopy) const
{
  const auto found = mOrigins.find(aCopy.mOrigin);
  if (found == mOrigins.end()) {
    return false;
  }
  const auto& origin = found->second;
  const auto same = origin.mCopies.find(aCopy.mUpTo);
  // of two copies that end at one position, the longer starts earlier
  return aCopy.mUpTo <= origin.mReleasedUpTo ||
         (same != origin.mCopies.end() &&
          same->second.mText.size() >= aCopy.mText.size());
}

HoldOutcome
BillingNeighbour::Hold(const RecordCopy& aCopy, TimePoint aNow)
{
  if (IsKnown(aCopy)) {
    return HoldOutcome::Held;
  }
  if (mBytes + aCopy.mText.size() > mOptions.mMaxBytes) {
    return HoldOutcome::Full;
  }
  if (!ParseBatch(aCopy.mText)) {
    return HoldOutcome::Malformed;
  }
  OnIncarnation(aCopy.mOrigin);
  auto& origin = mOrigins[aCopy.mOrigin];
  // a message from the origin proves that it is there
  origin.mAbsentSince.reset();
  auto& copy = origin.mCopies[aCopy.mUpTo];
  mBytes += aCopy.mText.size() - copy.mText.size();
  copy = { .mText = aCopy.mText, .mSince = aNow };
  return HoldOutcome::Held;
}

void
BillingNeighbour::Release(const membership::Incarnation& aOrigin,
                          Position aUpTo)
{
  const auto found = mOrigins.find(aOrigin);
  if (found == mOrigins.end()) {
    return;
  }
  auto& origin = found->second;
  origin.mReleasedUpTo = std::max(origin.mReleasedUpTo, aUpTo);
  std::erase_if(origin.mCopies, [&](const auto& aCopy) {
    const bool isWritten = aCopy.first <= aUpTo;
    mBytes -= isWritten ? aCopy.second.mText.size() : 0;
    return isWritten;
  });
}

void
BillingNeighbour::OnIncarnation(const membership::Incarnation& aRun)
{
  for (auto& [run, origin] : mOrigins) {
    if (run.mInstance == aRun.mInstance && run.mStartedAt < aRun.mStartedAt) {
      origin.mReplaced = true;
    }
  }
}

void
BillingNeighbour::OnInstances(const membership::InstanceList& aInstances,
                              TimePoint aNow)
{
  for (auto& [run, origin] : mOrigins) {
    const bool isListed =
      std::ranges::find(aInstances.mEntries,
                        run.mInstance,
                        &membership::EntryInstance::mName) !=
      aInstances.mEntries.end();
    if (isListed) {
      origin.mAbsentSince.reset();
    } else if (!origin.mAbsentSince) {
      origin.mAbsentSince = aNow;
    }
  }
  // an origin without copies is only remembered while it is listed
  std::erase_if(mOrigins, [](const auto& aOrigin) {
    const auto& origin = aOrigin.second;
    return origin.mCopies.empty() && (origin.mAbsentSince || origin.mReplaced);
  });
}

void
BillingNeighbour::OnPlatform(bool aReached, TimePoint aNow)
{
  if (!aReached) {
    mReachedSince.reset();
  } else if (!mReachedSince) {
    mReachedSince = aNow;
  }
}

bool
BillingNeighbour::IsDue(const Origin& aOrigin, TimePoint aNow) const
{
  if (aOrigin.mCopies.empty()) {
    return false;
  }
  const bool isGone = aOrigin.mReplaced ||
                      (aOrigin.mAbsentSince &&
                       aNow - *aOrigin.mAbsentSince >= mOptions.mAbsenceLimit);
  if (isGone) {
    return true;
  }
  // after an outage the origin gets the same time again to write and release
  const auto since = aOrigin.mCopies.begin()->second.mSince;
  return mReachedSince &&
         aNow - std::max(since, *mReachedSince) >= mOptions.mReleaseLimit;
}

RecordCopy
BillingNeighbour::TakeFirst(Origins::iterator aOrigin)
{
  auto& copies = aOrigin->second.mCopies;
  const auto first = copies.begin();
  RecordCopy copy{ .mOrigin = aOrigin->first,
                   .mUpTo = first->first,
                   .mText = std::move(first->second.mText) };
  mBytes -= copy.mText.size();
  copies.erase(first);
  return copy;
}

std::optional<RecordCopy>
BillingNeighbour::TakeDue(TimePoint aNow)
{
  const auto found = std::ranges::find_if(
    mOrigins, [&](const auto& aOrigin) { return IsDue(aOrigin.second, aNow); });
  if (found == mOrigins.end()) {
    return std::nullopt;
  }
  return TakeFirst(found);
}

std::optional<RecordCopy>
BillingNeighbour::TakeAny()
{
  const auto found = std::ranges::find_if(mOrigins, [](const auto& aOrigin) {
    return !aOrigin.second.mCopies.empty();
  });
  if (found == mOrigins.end()) {
    return std::nullopt;
  }
  return TakeFirst(found);
}

} // namespace figslip::billing
