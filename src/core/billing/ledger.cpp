#include <figslip/billing/ledger.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <utility>

namespace figslip::billing {

void
Ledger::AddBatch(std::string_view aName, std::string_view aText)
{
  ++mBatches;
  auto records = ParseBatch(aText);
  if (!records) {
    for (auto finding : records.assume_error()) {
      finding.mText = std::string(error::Describe(finding.mKind).mName) + ": " +
                      finding.mText;
      finding.mKind = error::ErrorKind::MalformedRecord;
      finding.mPlace = std::string(aName) + "#" + finding.mPlace;
      mFindings.push_back(std::move(finding));
    }
    return;
  }
  for (auto& record : records.assume_value()) {
    mEntries.push_back(
      { .mBatch = std::string(aName), .mRecord = std::move(record) });
  }
}

void
Ledger::AddFinding(error::Finding aFinding)
{
  mFindings.push_back(std::move(aFinding));
}

void
Ledger::Count(const BillingRecord& aRecord)
{
  ++mRequests;
  ++mTotals[{ aRecord.mAccount, aRecord.mVersion }].mRequests;
  for (const auto& attempt : aRecord.mAttempts) {
    auto& total = mTotals[{ aRecord.mAccount, attempt.mVersion }];
    ++total.mAttempts;
    total.mTokens += attempt.mTokens;
    total.mCost += attempt.mCost;
  }
}

void
Ledger::Close()
{
  std::ranges::sort(mEntries, {}, [](const Entry& aEntry) {
    return std::tie(
      aEntry.mRecord.mRequestId, aEntry.mRecord.mAnsweredAtMs, aEntry.mBatch);
  });
  const Entry* kept = nullptr;
  for (const auto& entry : mEntries) {
    if (kept == nullptr ||
        kept->mRecord.mRequestId != entry.mRecord.mRequestId) {
      kept = &entry;
      Count(entry.mRecord);
      continue;
    }
    mDropped.push_back({ .mRequestId = entry.mRecord.mRequestId,
                         .mKeptIn = kept->mBatch,
                         .mDroppedFrom = entry.mBatch,
                         .mDiffers = kept->mRecord != entry.mRecord });
  }
}

std::string
PrintText(const Ledger& aLedger)
{
  const auto differing =
    std::ranges::count_if(aLedger.Dropped(), &DroppedRecord::mDiffers);
  std::string text = "batches " + std::to_string(aLedger.Batches()) +
                     ", requests " + std::to_string(aLedger.Requests()) +
                     ", second records dropped " +
                     std::to_string(aLedger.Dropped().size()) + " (" +
                     std::to_string(differing) + " differ), findings " +
                     std::to_string(aLedger.Findings().size()) + "\n";
  constexpr std::size_t kLineBytes = 512;
  char line[kLineBytes];
  const auto append = [&](const auto&... aValues) {
    std::snprintf(line, sizeof line, aValues...);
    text += line;
  };
  append("%-24s %-24s %10s %10s %12s %16s\n",
         "client account",
         "version",
         "requests",
         "attempts",
         "tokens",
         "cost (micro)");
  for (const auto& [key, total] : aLedger.Totals()) {
    append("%-24s %-24s %10lld %10lld %12lld %16lld\n",
           key.mAccount.c_str(),
           key.mVersion.empty() ? "-" : key.mVersion.c_str(),
           static_cast<long long>(total.mRequests),
           static_cast<long long>(total.mAttempts),
           static_cast<long long>(total.mTokens),
           static_cast<long long>(total.mCost));
  }
  for (const auto& dropped : aLedger.Dropped()) {
    text += "dropped " + dropped.mRequestId + " from " + dropped.mDroppedFrom +
            ", billed in " + dropped.mKeptIn +
            (dropped.mDiffers ? ", differs" : "") + "\n";
  }
  for (const auto& finding : aLedger.Findings()) {
    text += finding.Message() + "\n";
  }
  return text;
}

std::string
PrintJson(const Ledger& aLedger)
{
  auto totals = nlohmann::ordered_json::array();
  for (const auto& [key, total] : aLedger.Totals()) {
    totals.push_back({ { "account", key.mAccount },
                       { "version", key.mVersion },
                       { "requests", total.mRequests },
                       { "attempts", total.mAttempts },
                       { "tokens", total.mTokens },
                       { "cost", total.mCost } });
  }
  auto dropped = nlohmann::ordered_json::array();
  for (const auto& record : aLedger.Dropped()) {
    dropped.push_back({ { "request_id", record.mRequestId },
                        { "kept_in", record.mKeptIn },
                        { "dropped_from", record.mDroppedFrom },
                        { "differs", record.mDiffers } });
  }
  auto findings = nlohmann::ordered_json::array();
  for (const auto& finding : aLedger.Findings()) {
    findings.push_back(finding.Message());
  }
  const nlohmann::ordered_json document = { { "batches", aLedger.Batches() },
                                            { "requests", aLedger.Requests() },
                                            { "totals", std::move(totals) },
                                            { "dropped", std::move(dropped) },
                                            { "findings",
                                              std::move(findings) } };
  return document.dump(2) + "\n";
}

} // namespace figslip::billing
