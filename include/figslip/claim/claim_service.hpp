#pragma once

#include <figslip/claim/claim_flow.hpp>
#include <figslip/claim/claim_record.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/time/time_point.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace figslip::claim {

/// @brief Names one use of an idempotency key.
struct ClaimRequest
{
  std::string mAccount;
  std::string mKey;               ///< UUIDv7 text
  std::uint64_t mTicket = 0;      ///< number of the request at this instance
  std::uint64_t mFingerprint = 0; ///< hash of client account and body
  TimePoint mDeadline;            ///< waits for another holder until then
};

/// @brief Claims idempotency keys at the platform.
///
/// One object a key: created before the request is sent, completed with the
/// answer, released if the request was not run after all. A release that the
/// platform does not take is tried again in the background.
class ClaimService
{
public:
  ClaimService(membership::Incarnation aSelf,
               std::shared_ptr<platform::PlatformClient> aPlatform);
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;
  ~ClaimService() { Stop(); }

  void Start();
  void Stop();

  /// @brief Claims a key, or finds what became of its earlier use.
  /// @param[in] aOnHeldByOther is called before waiting for another holder
  [[nodiscard]] ClaimResult Claim(const ClaimRequest& aRequest,
                                  const std::function<void()>& aOnHeldByOther);

  /// @brief Stores the answer of a claimed request.
  /// @param[in] aWon the claim as it was won
  /// @param[in] aAnswer JSON text
  /// @param[in] aBillingRecord JSON text of the record that bills it
  void Complete(const ClaimRequest& aRequest,
                const ClaimWon& aWon,
                std::string aAnswer,
                std::string aBillingRecord);

  /// @brief Gives a key back, since its request was not run and never will be.
  void Release(const ClaimRequest& aRequest);

  /// @brief Gives a key back now, so that another instance can claim it.
  /// @return whether the platform has taken it; if not, the claim may stand
  [[nodiscard]] bool TryRelease(const ClaimRequest& aRequest) const;

private:
  [[nodiscard]] ClaimRecord RecordOf(const ClaimRequest& aRequest,
                                     ClaimState aState) const;
  [[nodiscard]] ClaimStep Execute(const ClaimRequest& aRequest,
                                  ClaimFlow& aFlow,
                                  const WriteClaim& aStep) const;
  [[nodiscard]] ClaimStep Execute(const ClaimRequest& aRequest,
                                  ClaimFlow& aFlow,
                                  const WatchClaim& aStep) const;
  void Run();

  membership::Incarnation mSelf;
  std::shared_ptr<platform::PlatformClient> mPlatform;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<ClaimRequest> mPendingReleases; ///< claims still to be given back
  bool mStopping = false;
  std::thread mThread;
};

} // namespace figslip::claim
