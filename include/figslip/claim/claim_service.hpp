#pragma once

#include <figslip/claim/claim_outcome.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace figslip::claim {

/// @brief Names one use of an idempotency key.
struct ClaimRequest
{
  std::string mAccount;
  std::string mKey;               ///< UUIDv7 text
  std::uint64_t mFingerprint = 0; ///< hash of account and body
  TimePoint mDeadline;            ///< waits for another holder until then
};

/// @brief Claims idempotency keys at the platform.
///
/// One object a key: created before the request is sent, completed with the
/// answer, released if the request was not run after all.
class ClaimService
{
public:
  ClaimService(membership::Incarnation aSelf,
               std::shared_ptr<platform::PlatformClient> aPlatform);

  /// @brief Claims a key, or finds what became of its earlier use.
  [[nodiscard]] ClaimOutcome Claim(const ClaimRequest& aRequest) const;

  /// @brief Stores the answer of a claimed request.
  void Complete(const ClaimRequest& aRequest, const std::string& aAnswer) const;

  /// @brief Gives a claimed key back, since its request was not run.
  void Release(const ClaimRequest& aRequest) const;

private:
  membership::Incarnation mSelf;
  std::shared_ptr<platform::PlatformClient> mPlatform;
};

} // namespace figslip::claim
