#pragma once

#include <figslip/error/result.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace figslip::fairshare {

/// @name Bounds on reports
/// @{

/// Accounts of a service that a report names. A site has a few large accounts;
/// the others count together.
inline constexpr std::size_t kMaxReportedAccounts = 16;

/// Services that a report names; sites have fewer than ten.
inline constexpr std::size_t kMaxReportedServices = 64;

/// Longest name of an instance, service or account, bytes; the same bound as
/// for the names in the list of instances.
inline constexpr std::size_t kMaxNameBytes = 256;

/// Largest rate in a report. Sums of rates stay finite and exact enough.
inline constexpr double kMaxReportedRate = 1e15;

/// Time after its measurement for which a report is used, whatever it says: six
/// rounds of the exchange, so that a few lost messages expire no report.
inline constexpr Duration kReportLifetime = std::chrono::seconds(3);
/// @}

/// @brief Holds what an account demands of a service at one instance.
struct AccountDemand
{
  std::string mAccount;
  double mOffered = 0.0; ///< cost of the requests that arrive, per second
  double mServed = 0.0;  ///< cost of those that are admitted, per second

  bool operator==(const AccountDemand&) const = default;
};

/// @brief Holds the demand for one service at one instance.
struct ServiceDemand
{
  std::string mService;
  bool mIsShort = false; ///< requests wait or are rejected for lack of capacity
  std::vector<AccountDemand> mAccounts; ///< those that offer the most
  /// @name Sums over the accounts that are left out
  /// @{
  std::int32_t mOtherAccounts = 0; ///< how many they are
  double mOtherOffered = 0.0;
  double mOtherServed = 0.0;
  /// @}

  bool operator==(const ServiceDemand&) const = default;
};

/// @brief Holds what one instance says about demand.
struct DemandReport
{
  std::string mInstance;
  /// rises with each report; a process starts with its start time
  std::int64_t mSequence = 0;
  std::vector<ServiceDemand> mServices;

  bool operator==(const DemandReport&) const = default;
};

/// @brief Checks the bounds above, that all numbers are finite and >= 0, and
/// that no service or account is named twice.
[[nodiscard]] Result<void>
CheckReport(const DemandReport& aReport);

/// @brief Returns an upper bound of the size of an encoded report, bytes.
[[nodiscard]] std::size_t
MaxEncodedSize(const DemandReport& aReport);

} // namespace figslip::fairshare
