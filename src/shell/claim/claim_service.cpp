#include <figslip/claim/claim_service.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <utility>

namespace figslip::claim {

namespace {

constexpr Duration kMaxWatchTime = std::chrono::seconds(5);
constexpr Duration kFailureBackoff = std::chrono::milliseconds(50);
constexpr Duration kReleaseRetryInterval = std::chrono::milliseconds(500);
constexpr int kMaxCompletionAttempts = 3;
/// Bounds the releases queued while the platform is unavailable; beyond it,
/// the oldest are dropped.
constexpr std::size_t kMaxPendingReleases = 10'000;

platform::ObjectName
ObjectOf(const ClaimRequest& aRequest)
{
  return { .mKind = "claim", .mName = aRequest.mAccount + "." + aRequest.mKey };
}

bool
MayHaveEffect(const error::Findings& aFindings)
{
  return aFindings.front().mKind == error::ErrorKind::PlatformOutcomeUnknown;
}

} // namespace

ClaimService::ClaimService(membership::Incarnation aSelf,
                           std::shared_ptr<platform::PlatformClient> aPlatform)
  : mSelf(std::move(aSelf))
  , mPlatform(std::move(aPlatform))
{
}

void
ClaimService::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
ClaimService::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
}

ClaimRecord
ClaimService::RecordOf(const ClaimRequest& aRequest, ClaimState aState) const
{
  return { .mHolder = mSelf,
           .mTicket = aRequest.mTicket,
           .mFingerprint = aRequest.mFingerprint,
           .mState = aState };
}

ClaimStep
ClaimService::Execute(const ClaimRequest& aRequest,
                      ClaimFlow& aFlow,
                      const WriteClaim& aStep) const
{
  const auto written =
    mPlatform->Write(ObjectOf(aRequest), aStep.mExpectedVersion, aStep.mValue);
  if (!written) {
    std::this_thread::sleep_for(kFailureBackoff);
    return aFlow.OnNoResponse(MayHaveEffect(written.assume_error()),
                              ReadClock());
  }
  if (const auto* const done =
        std::get_if<platform::Written>(&written.assume_value())) {
    return aFlow.OnWritten(done->mVersion);
  }
  const auto& current =
    std::get<platform::Conflict>(written.assume_value()).mCurrent;
  return aFlow.OnObject(current.mVersion, current.mValue, ReadClock());
}

ClaimStep
ClaimService::Execute(const ClaimRequest& aRequest,
                      ClaimFlow& aFlow,
                      const WatchClaim& aStep) const
{
  const auto timeLeft = std::clamp(
    aRequest.mDeadline - ReadClock(), Duration::zero(), kMaxWatchTime);
  const auto object =
    mPlatform->Watch(ObjectOf(aRequest), aStep.mKnownVersion, timeLeft);
  if (!object) {
    std::this_thread::sleep_for(kFailureBackoff);
    return aFlow.OnNoResponse(false, ReadClock());
  }
  const auto& current = object.assume_value();
  return aFlow.OnObject(current.mVersion, current.mValue, ReadClock());
}

ClaimResult
ClaimService::Claim(const ClaimRequest& aRequest,
                    const std::function<void()>& aOnHeldByOther)
{
  const auto keyTime = TimeOfKey(aRequest.mKey);
  if (!keyTime) {
    return ClaimRefused{ ClaimOutcome::Expired };
  }
  ClaimFlow flow(
    {}, RecordOf(aRequest, ClaimState::Claimed), aRequest.mDeadline);
  auto step = flow.Start(*keyTime, ReadClock());
  bool held = false;
  while (true) {
    if (const auto* const write = std::get_if<WriteClaim>(&step)) {
      step = Execute(aRequest, flow, *write);
    } else if (const auto* const watch = std::get_if<WatchClaim>(&step)) {
      if (!std::exchange(held, true)) {
        aOnHeldByOther();
      }
      step = Execute(aRequest, flow, *watch);
    } else {
      break;
    }
  }
  if (const auto* const won = std::get_if<ClaimWon>(&step)) {
    return *won;
  }
  if (auto* const answered = std::get_if<ClaimAnswered>(&step)) {
    return std::move(*answered);
  }
  if (flow.MayHoldKey()) {
    Release(aRequest);
  }
  return std::get<ClaimRefused>(step);
}

void
ClaimService::Complete(const ClaimRequest& aRequest,
                       const ClaimWon& aWon,
                       std::string aAnswer,
                       std::string aBillingRecord)
{
  auto record = RecordOf(aRequest, ClaimState::Answered);
  record.mAnswer = std::move(aAnswer);
  record.mBillingRecord = std::move(aBillingRecord);
  const auto value = PrintClaim(record);
  for (int attempt = 0; attempt < kMaxCompletionAttempts; ++attempt) {
    // a conflict counts as success too: an earlier attempt took effect, but
    // its response was lost
    if (mPlatform->Write(ObjectOf(aRequest), aWon.mVersion, value)) {
      return;
    }
  }
  log::Write(log::Level::Warning,
             "claim_not_completed",
             { { "account", aRequest.mAccount }, { "key", aRequest.mKey } });
}

void
ClaimService::Release(const ClaimRequest& aRequest)
{
  if (TryRelease(aRequest)) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mPendingReleases.push_back(aRequest);
  if (mPendingReleases.size() > kMaxPendingReleases) {
    mPendingReleases.pop_front();
  }
}

bool
ClaimService::TryRelease(const ClaimRequest& aRequest) const
{
  const auto current = mPlatform->Read(ObjectOf(aRequest));
  if (!current) {
    return false;
  }
  const auto& object = current.assume_value();
  const auto claim = ParseClaim(object.mValue);
  const auto released = RecordOf(aRequest, ClaimState::Released);
  if (object.mVersion == 0 || !claim ||
      !claim.assume_value().IsSameUse(released) ||
      claim.assume_value().mState != ClaimState::Claimed) {
    return true;
  }
  return static_cast<bool>(mPlatform->Write(
    ObjectOf(aRequest), object.mVersion, PrintClaim(released)));
}

void
ClaimService::Run()
{
  std::unique_lock lock(mMutex);
  while (!mChanged.wait_for(
    lock, kReleaseRetryInterval, [this] { return mStopping; })) {
    const auto releases = std::exchange(mPendingReleases, {});
    lock.unlock();
    std::deque<ClaimRequest> failed;
    std::ranges::copy_if(
      releases, std::back_inserter(failed), [this](const auto& aRequest) {
        return !TryRelease(aRequest);
      });
    lock.lock();
    mPendingReleases.insert(
      mPendingReleases.begin(), failed.begin(), failed.end());
  }
}

} // namespace figslip::claim
