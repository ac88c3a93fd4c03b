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

/// @brief Describes one request that uses an idempotency key.
struct ClaimRequest
{
  std::string mAccount;           ///< client account
  std::string mKey;               ///< UUIDv7 text
  std::uint64_t mTicket = 0;      ///< number of the request at this instance
  std::uint64_t mFingerprint = 0; ///< hash of client account and body
  TimePoint mDeadline;            ///< end of the wait for another holder
};

/// @brief Claims idempotency keys at the platform.
///
/// The platform stores one object for each key. It is created before the
/// request is sent, completed with the answer, and released if the request was
/// not run. A release that the platform does not accept is retried by a
/// background thread.
class ClaimService
{
public:
  ClaimService(membership::Incarnation aSelf,
               std::shared_ptr<platform::PlatformClient> aPlatform);
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;
  ~ClaimService() { Stop(); }

  /// @brief Starts the thread that retries failed releases.
  void Start();

  /// @brief Stops and joins the thread; pending releases are not sent.
  void Stop();

  /// @brief Claims a key, or returns the result of an earlier request with it.
  ///
  /// Blocks until the claim is decided.
  /// @param[in] aOnHeldByOther called once, before the first wait for another
  /// holder of the key
  [[nodiscard]] ClaimResult Claim(const ClaimRequest& aRequest,
                                  const std::function<void()>& aOnHeldByOther);

  /// @brief Stores the answer of a claimed request.
  /// @param[in] aWon the result that `Claim` returned
  /// @param[in] aAnswer JSON text
  /// @param[in] aBillingRecord JSON text of the request's billing record
  /// @note If all attempts fail, a warning is logged; the key may stay claimed.
  void Complete(const ClaimRequest& aRequest,
                const ClaimWon& aWon,
                std::string aAnswer,
                std::string aBillingRecord);

  /// @brief Releases a key whose request was not run and never will be.
  /// @note If the platform does not accept the release, it is queued and
  /// retried.
  void Release(const ClaimRequest& aRequest);

  /// @brief Releases a key once, so that another instance can claim it.
  /// @return whether this request no longer holds the key; if false, the claim
  /// may still exist at the platform
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
  std::deque<ClaimRequest> mPendingReleases; ///< claims still to be released
  bool mStopping = false;
  std::thread mThread;
};

} // namespace figslip::claim
