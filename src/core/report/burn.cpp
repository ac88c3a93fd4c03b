#include <figslip/billing/billing_record.hpp>
#include <figslip/report/burn.hpp>
#include <figslip/report/slo_counters.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace figslip::report {

namespace {

/// What happened between two samples, by account and SLO.
struct Interval
{
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = 0;
  std::map<std::pair<std::string, std::string>, BurnCounts> mCounts;
};

std::int64_t*
FieldOf(BurnCounts& aCounts, std::string_view aResult)
{
  const std::pair<SloResult, std::int64_t*> fields[] = {
    { SloResult::Good, &aCounts.mGood },
    { SloResult::Slow, &aCounts.mSlow },
    { SloResult::Refused, &aCounts.mRefused },
    { SloResult::BadRating, &aCounts.mBadRatings },
  };
  const auto* const found = std::ranges::find(
    fields, aResult, [](const auto& aField) { return NameOf(aField.first); });
  return found == std::end(fields) ? nullptr : found->second;
}

/// Turns counters since the start of each daemon into counts of intervals.
class Differences
{
public:
  void Begin(const Sample& aFirst) { (void)Next(aFirst); }

  Interval Next(const Sample& aSample)
  {
    Interval interval{ .mToMs = aSample.mTakenAtMs, .mCounts = {} };
    for (const auto& count : aSample.mCounts) {
      auto& last =
        mLast[Key{ count.mDaemon, count.mAccount, count.mSlo, count.mResult }];
      // a counter that fell was reset by a restart
      const auto grown =
        count.mCount >= last ? count.mCount - last : count.mCount;
      last = count.mCount;
      auto& counts = interval.mCounts[{ count.mAccount, count.mSlo }];
      if (auto* const field = FieldOf(counts, count.mResult)) {
        *field += grown;
      }
    }
    return interval;
  }

private:
  using Key = std::tuple<std::string, std::string, std::string, std::string>;

  std::map<Key, std::int64_t> mLast;
};

std::vector<Interval>
IntervalsOf(const std::vector<Sample>& aSamples)
{
  Differences differences;
  differences.Begin(aSamples.front());
  std::vector<Interval> intervals;
  for (std::size_t index = 1; index < aSamples.size(); ++index) {
    intervals.push_back(differences.Next(aSamples[index]));
    intervals.back().mFromMs = aSamples[index - 1].mTakenAtMs;
  }
  return intervals;
}

double
RateOf(const BurnCounts& aCounts, const manifest::Slo& aSlo)
{
  if (aCounts.Total() == 0) {
    return 0.0;
  }
  const auto share =
    static_cast<double>(aCounts.Bad()) / static_cast<double>(aCounts.Total());
  return share / (1.0 - aSlo.mObjective);
}

BurnCounts
CountsOf(const Interval& aInterval, const manifest::Slo& aSlo)
{
  const auto found =
    aInterval.mCounts.find({ aSlo.mClientAccount, aSlo.mName });
  return found == aInterval.mCounts.end() ? BurnCounts{} : found->second;
}

BurnWindow
WindowOf(const std::vector<Interval>& aIntervals,
         const manifest::Slo& aSlo,
         Duration aLength)
{
  const auto end = aIntervals.back().mToMs;
  const auto length =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLength).count();
  BurnWindow window{ .mLength = aLength };
  for (const auto& interval : aIntervals) {
    // the window begins at a sample, at the latest one that covers all of it
    if (interval.mToMs > end - length) {
      window.mCounts += CountsOf(interval, aSlo);
      window.mCovered +=
        std::chrono::milliseconds(interval.mToMs - interval.mFromMs);
    }
  }
  window.mRate = RateOf(window.mCounts, aSlo);
  return window;
}

Spending
SpendingOf(const std::vector<billing::BillingRecord>& aRecords,
           const manifest::Slo& aSlo,
           std::int64_t aFromMs,
           std::int64_t aToMs)
{
  Spending spending;
  for (const auto& record : aRecords) {
    if (record.mAccount == aSlo.mClientAccount &&
        record.mAnsweredAtMs > aFromMs && record.mAnsweredAtMs <= aToMs) {
      ++spending.mRequests;
      spending.mCost += record.Cost();
    }
  }
  return spending;
}

/// Reads all batches and keeps one record of each request.
Result<std::vector<billing::BillingRecord>>
ReadRecords(const std::vector<std::string>& aBatches)
{
  std::vector<billing::BillingRecord> records;
  std::set<std::string> ids;
  for (const auto& batch : aBatches) {
    auto parsed = billing::ParseBatch(batch);
    if (!parsed) {
      return outcome::failure(std::move(parsed).assume_error());
    }
    for (auto& record : parsed.assume_value()) {
      if (ids.insert(record.mRequestId).second) {
        records.push_back(std::move(record));
      }
    }
  }
  return records;
}

SloBurn
BurnOf(const manifest::Slo& aSlo,
       const BurnInput& aInput,
       const std::vector<Interval>& aIntervals,
       const std::vector<billing::BillingRecord>& aRecords)
{
  const auto length = std::chrono::hours(aSlo.mWindowHours);
  SloBurn burn{ .mSlo = aSlo,
                .mShort = WindowOf(aIntervals, aSlo, aInput.mShort),
                .mLong = WindowOf(aIntervals, aSlo, aInput.mLong),
                .mBudget = WindowOf(aIntervals, aSlo, length),
                .mHistory = {} };
  burn.mBudgetLeft = 1.0 - burn.mBudget.mRate;
  for (const auto& interval : aIntervals) {
    burn.mHistory.push_back(
      { .mAtMs = interval.mToMs,
        .mRate = RateOf(CountsOf(interval, aSlo), aSlo) });
  }
  const auto end = aIntervals.back().mToMs;
  const auto from = end - std::chrono::milliseconds(length).count();
  burn.mSpending = SpendingOf(aRecords, aSlo, from, end);
  return burn;
}

} // namespace

std::int64_t
BurnCounts::Total() const
{
  return mGood + mSlow + mRefused;
}

std::int64_t
BurnCounts::Bad() const
{
  // the ratings do not tell whether the answer was slow as well
  return mSlow + mRefused + std::min(mBadRatings, mGood);
}

BurnCounts&
BurnCounts::operator+=(const BurnCounts& aOther)
{
  mGood += aOther.mGood;
  mSlow += aOther.mSlow;
  mRefused += aOther.mRefused;
  mBadRatings += aOther.mBadRatings;
  return *this;
}

Result<std::vector<SloBurn>>
ComputeBurn(const BurnInput& aInput)
{
  if (aInput.mSamples.size() < 2 ||
      aInput.mSamples.front().mTakenAtMs == aInput.mSamples.back().mTakenAtMs) {
    return Failure(error::ErrorKind::MalformedRecord,
                   "samples",
                   "a burn rate needs samples of two times or more");
  }
  const auto records = ReadRecords(aInput.mBatches);
  if (!records) {
    return outcome::failure(records.assume_error());
  }
  const auto intervals = IntervalsOf(aInput.mSamples);
  std::vector<SloBurn> burns;
  burns.reserve(aInput.mSlos.size());
  for (const auto& slo : aInput.mSlos) {
    burns.push_back(BurnOf(slo, aInput, intervals, records.assume_value()));
  }
  return burns;
}

} // namespace figslip::report
