#include <figslip/fairshare/demand_report.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <string_view>

namespace figslip::fairshare {

namespace {

/// Upper bounds of the bytes of Thrift's compact protocol beside the names.
constexpr std::size_t kAccountBytes = 32;
constexpr std::size_t kServiceBytes = 48;
constexpr std::size_t kReportBytes = 48;

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes;
}

bool
IsRate(double aValue)
{
  // false for NaN
  return aValue >= 0.0 && aValue <= kMaxReportedRate;
}

/// Checks that names are well-formed and occur once.
bool
AreNames(const auto& aItems, auto aNameOf)
{
  std::set<std::string_view> names;
  return std::ranges::all_of(aItems, [&](const auto& aItem) {
    const auto& name = std::invoke(aNameOf, aItem);
    return IsName(name) && names.insert(name).second;
  });
}

bool
AreRates(const ServiceDemand& aService)
{
  return IsRate(aService.mOtherOffered) && IsRate(aService.mOtherServed) &&
         aService.mOtherAccounts >= 0 &&
         std::ranges::all_of(aService.mAccounts, [](const auto& aAccount) {
           return IsRate(aAccount.mOffered) && IsRate(aAccount.mServed);
         });
}

auto
Invalid(const DemandReport& aReport, std::string aText)
{
  constexpr std::size_t kMaxPlaceBytes = 64;
  return Failure(error::ErrorKind::MalformedMessage,
                 "demand report of " +
                   aReport.mInstance.substr(0, kMaxPlaceBytes),
                 std::move(aText));
}

} // namespace

Result<void>
CheckReport(const DemandReport& aReport)
{
  if (!IsName(aReport.mInstance) || aReport.mSequence <= 0) {
    return Invalid(aReport, "the instance or the sequence is out of range");
  }
  if (aReport.mServices.size() > kMaxReportedServices ||
      !AreNames(aReport.mServices, &ServiceDemand::mService)) {
    return Invalid(aReport,
                   "there are too many services, or a name is empty, too long "
                   "or used twice");
  }
  for (const auto& service : aReport.mServices) {
    if (service.mAccounts.size() > kMaxReportedAccounts ||
        !AreNames(service.mAccounts, &AccountDemand::mAccount)) {
      return Invalid(aReport,
                     "there are too many accounts, or a name is empty, too "
                     "long or used twice");
    }
    if (!AreRates(service)) {
      return Invalid(aReport, "a rate is negative, too large or not finite");
    }
  }
  return outcome::success();
}

std::size_t
MaxEncodedSize(const DemandReport& aReport)
{
  const auto sizeOf = [](const ServiceDemand& aService) {
    return std::accumulate(aService.mAccounts.begin(),
                           aService.mAccounts.end(),
                           kServiceBytes + aService.mService.size(),
                           [](std::size_t aSum, const AccountDemand& aAccount) {
                             return aSum + kAccountBytes +
                                    aAccount.mAccount.size();
                           });
  };
  return std::accumulate(aReport.mServices.begin(),
                         aReport.mServices.end(),
                         kReportBytes + aReport.mInstance.size(),
                         [&](std::size_t aSum, const ServiceDemand& aService) {
                           return aSum + sizeOf(aService);
                         });
}

} // namespace figslip::fairshare
