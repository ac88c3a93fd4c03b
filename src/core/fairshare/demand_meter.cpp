#include <figslip/fairshare/demand_meter.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace figslip::fairshare {

namespace {

using Seconds = std::chrono::duration<double>;

/// Name under which accounts beyond `DemandMeter::kMaxAccounts` count.
constexpr std::string_view kFurtherAccounts = "(further accounts)";

/// Rate at which an account is forgotten; after the last request of cost 1 it
/// takes some 14 time constants to get there.
constexpr double kMinRate = 1e-6;

} // namespace

double
DecayingRate::DecayedSum(TimePoint aNow) const
{
  const auto elapsed = std::max(Duration::zero(), aNow - mUpdatedAt);
  return mSum * std::exp(-Seconds(elapsed) / Seconds(kTimeConstant));
}

void
DecayingRate::Add(double aAmount, TimePoint aNow)
{
  mSum = DecayedSum(aNow) + aAmount;
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

void
DecayingRate::Subtract(double aAmount, TimePoint aNow)
{
  mSum = std::max(0.0, DecayedSum(aNow) - aAmount);
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

double
DecayingRate::PerSecond(TimePoint aNow) const
{
  return DecayedSum(aNow) / Seconds(kTimeConstant).count();
}

DemandMeter::Service*
DemandMeter::ServiceOf(std::string_view aService)
{
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    return &found->second;
  }
  const bool isFull = mServices.size() >= kMaxServices;
  return isFull ? nullptr : &mServices[std::string(aService)];
}

void
DemandMeter::Record(std::string_view aService,
                    std::string_view aAccount,
                    double aCost,
                    TimePoint aNow,
                    DecayingRate Account::* aRate)
{
  auto* const service = ServiceOf(aService);
  const bool isCounted =
    service != nullptr && std::isfinite(aCost) && aCost > 0.0;
  if (!isCounted) {
    return;
  }
  auto& accounts = service->mAccounts;
  auto found = accounts.find(aAccount);
  if (found == accounts.end()) {
    const bool isFull = accounts.size() >= kMaxAccounts;
    const auto name = isFull ? kFurtherAccounts : aAccount;
    found = accounts.try_emplace(std::string(name)).first;
  }
  // sums of any number of costs stay finite
  (found->second.*aRate).Add(std::min(aCost, kMaxReportedRate), aNow);
}

void
DemandMeter::OnOffered(std::string_view aService,
                       std::string_view aAccount,
                       double aCost,
                       TimePoint aNow)
{
  Record(aService, aAccount, aCost, aNow, &Account::mOffered);
}

void
DemandMeter::OnAdmitted(std::string_view aService,
                        std::string_view aAccount,
                        double aCost,
                        TimePoint aNow)
{
  Record(aService, aAccount, aCost, aNow, &Account::mServed);
}

void
DemandMeter::OnRejected(std::string_view aService,
                        std::string_view aAccount,
                        double aCost,
                        TimePoint aNow)
{
  const auto service = mServices.find(aService);
  const bool isCounted =
    service != mServices.end() && std::isfinite(aCost) && aCost > 0.0;
  if (!isCounted) {
    return;
  }
  auto& accounts = service->second.mAccounts;
  const auto known = accounts.find(aAccount);
  const auto found =
    known != accounts.end() ? known : accounts.find(kFurtherAccounts);
  if (found != accounts.end()) {
    found->second.mServed.Subtract(std::min(aCost, kMaxReportedRate), aNow);
  }
}

void
DemandMeter::OnShortage(std::string_view aService, TimePoint aNow)
{
  if (auto* const service = ServiceOf(aService)) {
    service->mShortAt = aNow;
  }
}

void
DemandMeter::Expire(TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    std::erase_if(service.mAccounts, [&](const auto& aAccount) {
      return aAccount.second.mOffered.PerSecond(aNow) < kMinRate &&
             aAccount.second.mServed.PerSecond(aNow) < kMinRate;
    });
  }
  std::erase_if(mServices, [&](const auto& aService) {
    return aService.second.mAccounts.empty() && !IsShort(aService.first, aNow);
  });
}

bool
DemandMeter::IsShort(std::string_view aService, TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return false;
  }
  const auto& shortAt = found->second.mShortAt;
  return shortAt && aNow - *shortAt < kShortageHold;
}

std::vector<std::string>
DemandMeter::ShortServices(TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, service] : mServices) {
    if (IsShort(name, aNow)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<AccountDemand>
DemandMeter::DemandOf(std::string_view aService, TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return {};
  }
  const auto& accounts = found->second.mAccounts;
  std::vector<AccountDemand> demand;
  demand.reserve(accounts.size());
  std::ranges::transform(
    accounts, std::back_inserter(demand), [&](const auto& aEntry) {
      return AccountDemand{ .mAccount = aEntry.first,
                            .mOffered = aEntry.second.mOffered.PerSecond(aNow),
                            .mServed = aEntry.second.mServed.PerSecond(aNow) };
    });
  return demand;
}

ServiceDemand
SummarizeDemand(std::string aService,
                bool aIsShort,
                std::vector<AccountDemand> aAccounts)
{
  // a name that no report may have is counted with the others
  const auto hasName = [](const AccountDemand& aAccount) {
    return !aAccount.mAccount.empty() &&
           aAccount.mAccount.size() <= kMaxNameBytes;
  };
  std::ranges::sort(aAccounts, [&](const auto& aLeft, const auto& aRight) {
    return std::pair(hasName(aLeft), aLeft.mOffered) >
           std::pair(hasName(aRight), aRight.mOffered);
  });
  ServiceDemand summary{ .mService = std::move(aService),
                         .mIsShort = aIsShort,
                         .mAccounts = {} };
  for (auto& account : aAccounts) {
    account.mOffered = std::min(account.mOffered, kMaxReportedRate);
    account.mServed = std::min(account.mServed, kMaxReportedRate);
    const bool isNamed =
      hasName(account) && summary.mAccounts.size() < kMaxReportedAccounts;
    if (isNamed) {
      summary.mAccounts.push_back(std::move(account));
    } else {
      ++summary.mOtherAccounts;
      summary.mOtherOffered =
        std::min(summary.mOtherOffered + account.mOffered, kMaxReportedRate);
      summary.mOtherServed =
        std::min(summary.mOtherServed + account.mServed, kMaxReportedRate);
    }
  }
  return summary;
}

} // namespace figslip::fairshare
