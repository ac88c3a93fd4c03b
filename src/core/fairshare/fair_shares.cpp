#include <figslip/fairshare/compute_shares.hpp>
#include <figslip/fairshare/fair_shares.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace figslip::fairshare {

namespace {

/// Largest value that counts of an instance relative to the second largest. A
/// single wrong report adds little to what a few dozen others say. With 4, one
/// that overstated 16 accounts took 2 in 100 from each of them. An account that
/// does arrive at one instance mostly seems smaller to the others only.
constexpr double kMaxOutlier = 2.0;

/// Adds what this instance has measured and others say, so that a single wrong
/// report changes the sum little, and at most doubles it.
class CautiousSum
{
public:
  /// Adds what this instance has measured itself.
  void AddOwn(double aValue) { mOwn += aValue; }

  void Add(double aValue)
  {
    mOthers += aValue;
    mSecond = std::max(mSecond, std::min(mLargest, aValue));
    mLargest = std::max(mLargest, aValue);
  }

  [[nodiscard]] double Value() const
  {
    const double rest = std::max(0.0, mOthers - mLargest) + mOwn;
    const double second = std::max(mSecond, mOwn);
    return rest + std::min({ mLargest, rest, kMaxOutlier * second });
  }

private:
  double mOwn = 0.0;
  double mOthers = 0.0;
  double mLargest = 0.0; ///< of the others
  double mSecond = 0.0;
};

/// Holds the demand for a service over all instances.
struct TotalDemand
{
  struct Account
  {
    double mOwn = 0.0; ///< at this instance
    CautiousSum mOffered;
  };

  std::map<std::string_view, Account> mAccounts;
  CautiousSum mOtherOffered; ///< of accounts that reports do not name
  std::int32_t mOtherAccounts = 0;
  double mOwnServed = 0.0;
  /// by all instances; a report that says too much makes shares too large, and
  /// fairness is local then
  double mServed = 0.0;
};

const ServiceDemand*
FindService(const DemandReport& aReport, std::string_view aService)
{
  const auto found =
    std::ranges::find(aReport.mServices, aService, &ServiceDemand::mService);
  return found == aReport.mServices.end() ? nullptr : &*found;
}

void
AddOwn(const std::vector<AccountDemand>& aDemand, TotalDemand& aTotal)
{
  for (const auto& account : aDemand) {
    auto& total = aTotal.mAccounts[account.mAccount];
    total.mOwn = account.mOffered;
    total.mOffered.AddOwn(account.mOffered);
    aTotal.mOwnServed += account.mServed;
  }
  aTotal.mServed += aTotal.mOwnServed;
}

void
AddReport(const ServiceDemand& aDemand, TotalDemand& aTotal)
{
  aTotal.mServed += aDemand.mOtherServed;
  for (const auto& account : aDemand.mAccounts) {
    aTotal.mAccounts[account.mAccount].mOffered.Add(account.mOffered);
    aTotal.mServed += account.mServed;
  }
  aTotal.mOtherOffered.Add(aDemand.mOtherOffered);
  aTotal.mOtherAccounts =
    std::max(aTotal.mOtherAccounts, aDemand.mOtherAccounts);
}

/// Returns the claims of the accounts, and of all that are not named as one.
std::vector<Claim>
ClaimsOf(const TotalDemand& aTotal)
{
  std::vector<Claim> claims;
  claims.reserve(aTotal.mAccounts.size() + 1);
  std::ranges::transform(
    aTotal.mAccounts, std::back_inserter(claims), [](const auto& aEntry) {
      return Claim{ .mDemand = aEntry.second.mOffered.Value() };
    });
  claims.push_back(
    { .mDemand = aTotal.mOtherOffered.Value(),
      .mWeight = static_cast<double>(std::max(1, aTotal.mOtherAccounts)) });
  return claims;
}

/// Returns what a weight of 1 gets at this instance if no account gets more
/// than a limit.
double
LocalLevel(const std::vector<Claim>& aLimits, double aCapacity)
{
  const double level = ComputeShares(aLimits, aCapacity).mLevel;
  if (std::isfinite(level)) {
    return level;
  }
  const auto largest = std::ranges::max_element(aLimits, {}, &Claim::mDemand);
  return largest == aLimits.end() ? 0.0 : largest->mDemand;
}

} // namespace

FairShares::FairShares(Options aOptions)
  : mOptions(std::move(aOptions))
  , mTable(mOptions.mInstance)
  , mSequence(std::max<std::int64_t>(1, mOptions.mFirstSequence))
{
}

const FairShares::AccountShare*
FairShares::FindOver(std::string_view aService, std::string_view aAccount) const
{
  const auto service = mShares.find(aService);
  if (service == mShares.end()) {
    return nullptr;
  }
  const auto account = service->second.mOver.find(aAccount);
  return account == service->second.mOver.end() ? nullptr : &account->second;
}

double
FairShares::WeightOf(std::string_view aService, std::string_view aAccount) const
{
  const auto* const share = FindOver(aService, aAccount);
  return share == nullptr ? 1.0 : share->mWeight;
}

bool
FairShares::IsOverShare(std::string_view aService,
                        std::string_view aAccount) const
{
  return FindOver(aService, aAccount) != nullptr;
}

std::optional<double>
FairShares::InstanceShare(std::string_view aService) const
{
  const auto found = mShares.find(aService);
  return found == mShares.end() ? std::nullopt
                                : std::optional(found->second.mInstanceShare);
}

std::vector<std::string>
FairShares::ScarceServices() const
{
  std::vector<std::string> names;
  std::ranges::transform(mShares,
                         std::back_inserter(names),
                         [](const auto& aEntry) { return aEntry.first; });
  return names;
}

void
FairShares::OnOffered(std::string_view aService,
                      std::string_view aAccount,
                      double aCost,
                      TimePoint aNow)
{
  if (mOptions.mIsEnabled) {
    mMeter.OnOffered(aService, aAccount, aCost, aNow);
  }
}

void
FairShares::OnAdmitted(std::string_view aService,
                       std::string_view aAccount,
                       double aCost,
                       TimePoint aNow)
{
  if (mOptions.mIsEnabled) {
    mMeter.OnAdmitted(aService, aAccount, aCost, aNow);
  }
}

void
FairShares::OnRejected(std::string_view aService,
                       std::string_view aAccount,
                       double aCost,
                       TimePoint aNow)
{
  if (mOptions.mIsEnabled) {
    mMeter.OnRejected(aService, aAccount, aCost, aNow);
  }
}

void
FairShares::OnShortage(std::string_view aService, TimePoint aNow)
{
  if (mOptions.mIsEnabled) {
    mMeter.OnShortage(aService, aNow);
  }
}

void
FairShares::OnTick(TimePoint aNow)
{
  if (!mOptions.mIsEnabled) {
    return;
  }
  const bool isNewlyShort =
    std::ranges::any_of(mMeter.ShortServices(aNow), [&](const auto& aService) {
      return !mShares.contains(aService);
    });
  if (isNewlyShort) {
    mNewlyShortAt = aNow;
  }
  const bool isOnset = mNewlyShortAt && aNow - *mNewlyShortAt < kOnset;
  const bool isDue =
    isOnset || !mCalculatedAt || aNow - *mCalculatedAt >= kInterval;
  if (!isDue) {
    return;
  }
  mCalculatedAt = aNow;
  mMeter.Expire(aNow);
  mTable.Expire(aNow);
  std::erase_if(mHeard, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kHearsayHold;
  });
  mShares.clear();
  for (const auto& service : ShortServices(aNow)) {
    mShares.emplace(service, SharesOf(service, aNow));
  }
}

std::vector<std::string>
FairShares::ShortServices(TimePoint aNow) const
{
  auto names = mMeter.ShortServices(aNow);
  for (const auto& [instance, entry] : mTable.Entries()) {
    for (const auto& service : entry.mReport.mServices) {
      if (service.mIsShort && instance != mOptions.mInstance) {
        names.push_back(service.mService);
      }
    }
  }
  std::ranges::sort(names);
  const auto repeated = std::ranges::unique(names);
  names.erase(repeated.begin(), repeated.end());
  return names;
}

FairShares::ServiceShares
FairShares::SharesOf(const std::string& aService, TimePoint aNow) const
{
  TotalDemand total;
  std::size_t reports = 0; // of other instances, on this service
  const auto own = mMeter.DemandOf(aService, aNow);
  AddOwn(own, total);
  for (const auto& [instance, entry] : mTable.Entries()) {
    const auto* const demand = FindService(entry.mReport, aService);
    if (demand != nullptr && instance != mOptions.mInstance) {
      AddReport(*demand, total);
      ++reports;
    }
  }
  ServiceShares shares{ .mCapacity = total.mServed,
                        .mInstanceShare = 0.0,
                        .mOver = {} };
  const auto claims = ClaimsOf(total);
  const auto allocations = ComputeShares(claims, shares.mCapacity).mAllocations;
  // what each account gets at this instance at most
  std::vector<Claim> limits;
  std::size_t index = 0;
  for (const auto& [name, account] : total.mAccounts) {
    const double demand = claims[index].mDemand;
    const double allocation = allocations[index];
    ++index;
    double limit = account.mOwn;
    if (demand > allocation * (1.0 + kOverShareMargin)) {
      limit = allocation * account.mOwn / demand;
      shares.mOver.emplace(name,
                           AccountShare{ .mWeight = limit,
                                         .mDemand = demand,
                                         .mAllocation = allocation });
    }
    limits.push_back({ .mDemand = limit });
    shares.mInstanceShare += limit;
  }
  if (static_cast<double>(reports) <
      kMinReportFraction * static_cast<double>(mPeers.size())) {
    shares.mInstanceShare = std::min(shares.mInstanceShare, total.mOwnServed);
  }
  const double level = LocalLevel(limits, total.mOwnServed);
  for (auto& [name, share] : shares.mOver) {
    const bool isSplit = level > 0.0 && share.mWeight > 0.0;
    share.mWeight =
      isSplit ? std::clamp(share.mWeight / level, kMinWeight, 1.0) : 1.0;
  }
  return shares;
}

std::vector<ShareChange>
FairShares::TakeChanges(TimePoint aNow)
{
  std::vector<ShareChange> changes;
  std::set<std::string> services;
  for (const auto& [name, shares] : mShares) {
    services.insert(name);
  }
  for (const auto& [name, told] : mTold) {
    services.insert(name);
  }
  for (const auto& name : services) {
    const auto found = mShares.find(name);
    std::vector<std::string> accounts;
    if (found != mShares.end()) {
      for (const auto& [account, share] : found->second.mOver) {
        accounts.push_back(account);
      }
      std::ranges::sort(accounts);
    }
    auto& told = mTold[name];
    const bool isRepeated =
      !accounts.empty() && aNow - told.mAt >= kRepeatInterval;
    const bool isChanged = told.mAccounts != accounts;
    const bool isDue = aNow - told.mAt >= kChangeInterval;
    if (!isDue || !(isChanged || isRepeated)) {
      continue;
    }
    ShareChange change{ .mService = name, .mCapacity = 0.0, .mAccounts = {} };
    for (const auto& account : accounts) {
      const auto& share = found->second.mOver.at(account);
      change.mCapacity = found->second.mCapacity;
      change.mAccounts.push_back({ .mAccount = account,
                                   .mDemand = share.mDemand,
                                   .mAllocation = share.mAllocation });
    }
    std::ranges::sort(
      change.mAccounts, std::ranges::greater{}, &OverShare::mDemand);
    told = { .mAccounts = std::move(accounts), .mAt = aNow };
    changes.push_back(std::move(change));
  }
  std::erase_if(mTold, [&](const auto& aEntry) {
    return aEntry.second.mAccounts.empty() &&
           aNow - aEntry.second.mAt >= kChangeInterval;
  });
  return changes;
}

void
FairShares::OnInstances(
  const std::vector<membership::InstanceLocation>& aInstances)
{
  mPeers.clear();
  mDomainPeers.clear();
  std::set<std::string> names;
  for (const auto& instance : aInstances) {
    if (instance.mName != mOptions.mInstance) {
      names.insert(instance.mName);
      mPeers.push_back(instance);
      if (!IsForeign(instance)) {
        mDomainPeers.insert(instance.mName);
      }
    }
  }
  mTable.OnInstances(std::move(names));
}

bool
FairShares::IsForeign(const membership::InstanceLocation& aInstance) const
{
  return !mOptions.mFailureDomain.empty() &&
         !aInstance.mFailureDomain.empty() &&
         aInstance.mFailureDomain != mOptions.mFailureDomain;
}

std::vector<membership::InstanceLocation>
FairShares::ChoosePartners(std::mt19937& aRandom, TimePoint aNow) const
{
  std::vector<membership::InstanceLocation> near;
  std::vector<membership::InstanceLocation> foreign;
  std::ranges::partition_copy(
    mPeers,
    std::back_inserter(foreign),
    std::back_inserter(near),
    [&](const auto& aPeer) { return IsForeign(aPeer); });
  // registered instances that are killed or cut off call nobody
  const auto heard =
    std::ranges::count_if(mTable.Entries(), [&](const auto& aEntry) {
      return mDomainPeers.contains(aEntry.first) &&
             aNow - aEntry.second.mMeasuredAt < kReportLifetime;
    });
  std::bernoulli_distribution isForeignDue(
    std::min(1.0, kForeignCalls / static_cast<double>(1 + heard)));
  // more where the own failure domain has too few instances
  const auto foreignCalls = std::max<std::ptrdiff_t>(
    isForeignDue(aRandom) ? 1 : 0, kPartnersPerRound - std::ssize(near));
  std::vector<membership::InstanceLocation> partners;
  std::ranges::sample(
    foreign, std::back_inserter(partners), foreignCalls, aRandom);
  std::ranges::sample(near,
                      std::back_inserter(partners),
                      kPartnersPerRound - std::ssize(partners),
                      aRandom);
  return partners;
}

bool
FairShares::IsExchangeDue(TimePoint aNow) const
{
  return std::ranges::any_of(mHeard,
                             [&](const auto& aEntry) {
                               return aNow - aEntry.second < kHearsayHold;
                             }) ||
         !mMeter.ShortServices(aNow).empty();
}

const DemandTable&
FairShares::OwnTable(TimePoint aNow)
{
  if (!mReportedAt || aNow - *mReportedAt >= kInterval) {
    MakeReport(aNow);
  }
  return mTable;
}

void
FairShares::MakeReport(TimePoint aNow)
{
  mReportedAt = aNow;
  auto names = mMeter.ShortServices(aNow);
  for (const auto& [name, heardAt] : mHeard) {
    if (aNow - heardAt < kHearsayHold &&
        std::ranges::find(names, name) == names.end()) {
      names.push_back(name);
    }
  }
  names.resize(std::min(names.size(), kMaxReportedServices));
  DemandReport report{ .mInstance = mOptions.mInstance,
                       .mSequence = mSequence++,
                       .mServices = {} };
  std::ranges::transform(
    names, std::back_inserter(report.mServices), [&](const auto& aName) {
      return SummarizeDemand(
        aName, mMeter.IsShort(aName, aNow), mMeter.DemandOf(aName, aNow));
    });
  mTable.PutOwn(std::move(report), aNow);
}

DemandPush
FairShares::MakePush(TimePoint aNow, const membership::InstanceLocation& aTo)
{
  const auto& table = OwnTable(aNow);
  const bool isForeign = IsForeign(aTo);
  const auto maxAgeOf = [&](const std::string& aInstance) {
    const bool isFromHere = mDomainPeers.contains(aInstance);
    return isForeign && isFromHere ? kForeignPushAge : kPushAge;
  };
  return { .mKnown = table.Sequences(),
           .mReports = table.NewerThan({}, maxAgeOf, kMaxReportBytes, aNow) };
}

DemandAnswer
FairShares::AnswerTo(const DemandPush& aPush, TimePoint aNow)
{
  // what the sender has just said is not told again
  auto known = aPush.mKnown;
  for (const auto& report : aPush.mReports) {
    auto& sequence = known[report.mReport.mInstance];
    sequence = std::max(sequence, report.mReport.mSequence);
  }
  const auto anyAge = [](const std::string&) { return kReportLifetime; };
  return { .mReports =
             OwnTable(aNow).NewerThan(known, anyAge, kMaxReportBytes, aNow) };
}

FairShares::Outcomes
FairShares::Merge(std::vector<AgedReport> aReports,
                  TimePoint aReceivedAt,
                  TimePoint aNow)
{
  Outcomes outcomes;
  for (auto& report : aReports) {
    const auto instance = report.mReport.mInstance;
    const auto outcome = mTable.Merge(std::move(report), aReceivedAt, aNow);
    ++outcomes[outcome];
    if (outcome == ReportOutcome::Accepted) {
      HearShortages(mTable.Entries().at(instance).mReport, aNow);
    }
  }
  return outcomes;
}

void
FairShares::HearShortages(const DemandReport& aReport, TimePoint aNow)
{
  for (const auto& service : aReport.mServices) {
    const bool isKept =
      service.mIsShort && (mHeard.contains(service.mService) ||
                           mHeard.size() < DemandMeter::kMaxServices);
    if (isKept) {
      mHeard[service.mService] = aNow;
    }
  }
}

} // namespace figslip::fairshare
