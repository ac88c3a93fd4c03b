#include <figslip/claim/claim_service.hpp>
#include <figslip/json/field_or.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace figslip::claim {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr std::string_view kClaimed = "claimed";
constexpr std::string_view kAnswered = "answered";
constexpr std::string_view kReleased = "released";

platform::ObjectName
ObjectOf(const ClaimRequest& aRequest)
{
  return { .mKind = "claim", .mName = aRequest.mAccount + "." + aRequest.mKey };
}

std::string
Print(const membership::Incarnation& aHolder,
      const ClaimRequest& aRequest,
      std::string_view aState,
      const std::string& aAnswer)
{
  return nlohmann::json{
    { "holder", aHolder.mInstance },
    { "started_at_ms", aHolder.mStartedAt },
    { "fingerprint", aRequest.mFingerprint },
    { "state", aState },
    { "answer", aAnswer }
  }.dump();
}

} // namespace

ClaimService::ClaimService(membership::Incarnation aSelf,
                           std::shared_ptr<platform::PlatformClient> aPlatform)
  : mSelf(std::move(aSelf))
  , mPlatform(std::move(aPlatform))
{
}

ClaimOutcome
ClaimService::Claim(const ClaimRequest& aRequest) const
{
  const auto object = ObjectOf(aRequest);
  const auto value = Print(mSelf, aRequest, kClaimed, {});
  std::int64_t expected = 0;
  bool unsure = false;
  while (ReadClock() < aRequest.mDeadline) {
    const auto written = mPlatform->Write(object, expected, value);
    if (!written) {
      const auto kind = written.assume_error().front().mKind;
      unsure = unsure || kind == error::ErrorKind::PlatformOutcomeUnknown;
      if (!unsure) {
        return { ClaimEnd::Unavailable, {} };
      }
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    if (std::holds_alternative<platform::Written>(written.assume_value())) {
      return { ClaimEnd::Won, {} };
    }
    const auto& current =
      std::get<platform::Conflict>(written.assume_value()).mCurrent;
    const auto claim = nlohmann::json::parse(current.mValue, nullptr, false);
    if (!claim.is_object()) {
      return { ClaimEnd::Unknown, {} };
    }
    if (json::NumberOr(claim, "fingerprint", std::uint64_t{ 0 }) !=
        aRequest.mFingerprint) {
      return { ClaimEnd::OtherRequest, {} };
    }
    const auto state = json::TextOr(claim, "state", "");
    if (state == kAnswered) {
      return { ClaimEnd::Answered, json::TextOr(claim, "answer", "") };
    }
    if (state == kReleased) {
      expected = current.mVersion;
      continue;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return { ClaimEnd::Unknown, {} };
}

void
ClaimService::Complete(const ClaimRequest& aRequest,
                       const std::string& aAnswer) const
{
  const auto object = ObjectOf(aRequest);
  const auto current = mPlatform->Read(object);
  if (!current) {
    log::Write(
      log::Level::Warning, "claim_not_completed", { { "key", aRequest.mKey } });
    return;
  }
  (void)mPlatform->Write(object,
                         current.assume_value().mVersion,
                         Print(mSelf, aRequest, kAnswered, aAnswer));
}

void
ClaimService::Release(const ClaimRequest& aRequest) const
{
  const auto object = ObjectOf(aRequest);
  const auto current = mPlatform->Read(object);
  if (current) {
    (void)mPlatform->Write(object,
                           current.assume_value().mVersion,
                           Print(mSelf, aRequest, kReleased, {}));
  }
}

} // namespace figslip::claim
