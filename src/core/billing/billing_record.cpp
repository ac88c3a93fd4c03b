#include <figslip/billing/billing_record.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace figslip::billing {

namespace {

constexpr json::Range<std::int64_t> kCount{
  0,
  std::numeric_limits<std::int64_t>::max()
};

nlohmann::json
ToJson(const BilledAttempt& aAttempt)
{
  return { { "upstream", aAttempt.mUpstream },
           { "version", aAttempt.mVersion },
           { "tokens", aAttempt.mTokens },
           { "cost", aAttempt.mCost } };
}

nlohmann::json
ToJson(const BillingRecord& aRecord)
{
  auto attempts = nlohmann::json::array();
  for (const auto& attempt : aRecord.mAttempts) {
    attempts.push_back(ToJson(attempt));
  }
  return { { "request_id", aRecord.mRequestId },
           { "account", aRecord.mAccount },
           { "target", aRecord.mTarget },
           { "version", aRecord.mVersion },
           { "answered_at_ms", aRecord.mAnsweredAtMs },
           { "latency_ms", aRecord.mLatencyMs },
           { "attempts", std::move(attempts) } };
}

BilledAttempt
ReadAttempt(json::ObjectReader& aReader)
{
  return { .mUpstream = aReader.Name("upstream"),
           .mVersion = aReader.Text("version", ""),
           .mTokens = aReader.Whole("tokens", kCount),
           .mCost = aReader.Whole("cost", kCount) };
}

BillingRecord
ReadRecord(json::ObjectReader& aReader)
{
  BillingRecord record{ .mRequestId = aReader.Name("request_id"),
                        .mAccount = aReader.Name("account"),
                        .mTarget = aReader.Text("target"),
                        .mVersion = aReader.Text("version", ""),
                        .mAnsweredAtMs =
                          aReader.Whole("answered_at_ms", kCount),
                        .mLatencyMs = aReader.Whole("latency_ms", kCount),
                        .mAttempts = {} };
  aReader.ObjectArray("attempts", [&](json::ObjectReader& aAttempt) {
    record.mAttempts.push_back(ReadAttempt(aAttempt));
  });
  return record;
}

} // namespace

std::int64_t
BillingRecord::Cost() const
{
  return std::accumulate(mAttempts.begin(),
                         mAttempts.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aSum, const BilledAttempt& aAttempt) {
                           return aSum + aAttempt.mCost;
                         });
}

std::string
PrintRecord(const BillingRecord& aRecord)
{
  return ToJson(aRecord).dump();
}

std::string
JoinBatch(std::span<const std::string> aRecords)
{
  std::string text = R"({"records":[)";
  std::string_view separator;
  for (const auto& record : aRecords) {
    text += separator;
    text += record;
    separator = ",";
  }
  return text + "]}";
}

std::string
PrintBatch(const std::vector<BillingRecord>& aRecords)
{
  std::vector<std::string> texts;
  texts.reserve(aRecords.size());
  std::ranges::transform(aRecords, std::back_inserter(texts), PrintRecord);
  return JoinBatch(texts);
}

Result<std::vector<BillingRecord>>
ParseBatch(std::string_view aText)
{
  auto document = json::ParseDocument(aText);
  if (!document) {
    return outcome::failure(std::move(document).assume_error());
  }
  error::Findings findings;
  std::vector<BillingRecord> records;
  json::ObjectReader reader(document.assume_value(), "", findings);
  reader.ObjectArray("records", [&](json::ObjectReader& aRecord) {
    records.push_back(ReadRecord(aRecord));
  });
  reader.Finish();
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return records;
}

} // namespace figslip::billing
