#include <figslip/billing/ledger.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip::billing;

namespace {

BillingRecord
RecordOf(const std::string& aId, std::int64_t aAnsweredAtMs)
{
  return { .mRequestId = aId,
           .mAccount = "salon",
           .mTarget = "chat",
           .mVersion = "large-1",
           .mAnsweredAtMs = aAnsweredAtMs,
           .mLatencyMs = 3,
           .mAttempts = { { "w1", "small-1", 20, 7 },
                          { "w2", "large-1", 30, 90 } } };
}

} // namespace

TEST_CASE("a ledger")
{
  Ledger ledger;
  ledger.AddBatch("e1-1-1", PrintBatch({ RecordOf("r1", 5) }));

  SUBCASE("sums up by client account and version")
  {
    ledger.AddBatch("e1-1-2", PrintBatch({ RecordOf("r2", 6) }));
    ledger.Close();
    CHECK(ledger.Requests() == 2);
    CHECK(ledger.Totals().at({ "salon", "small-1" }) ==
          LedgerTotal{ 0, 2, 40, 14 });
    CHECK(ledger.Totals().at({ "salon", "large-1" }) ==
          LedgerTotal{ 2, 2, 60, 180 });
  }

  SUBCASE("drops a second record of a request id, whatever comes first")
  {
    ledger.AddBatch("e0-1-1", PrintBatch({ RecordOf("r1", 6) }));
    ledger.AddBatch("e2-1-1", PrintBatch({ RecordOf("r1", 5) }));
    ledger.Close();
    CHECK(ledger.Requests() == 1);
    REQUIRE(ledger.Dropped().size() == 2);
    CHECK(ledger.Dropped()[0].mKeptIn == "e1-1-1");
    CHECK(ledger.Dropped()[0].mDroppedFrom == "e2-1-1");
    CHECK_FALSE(ledger.Dropped()[0].mDiffers);
    CHECK(ledger.Dropped()[1].mDiffers);
    CHECK(PrintText(ledger).starts_with(
      "batches 3, requests 1, second records dropped 2 (1 differ), findings "
      "0\n"));
    CHECK(PrintJson(ledger).find(R"("dropped_from": "e0-1-1")") !=
          std::string::npos);
  }

  SUBCASE("finds malformed batches with their place")
  {
    ledger.AddBatch("e1-1-2", R"({"records":[{"request_id":"r2"}]})");
    ledger.AddBatch("e1-1-3", "{");
    ledger.Close();
    CHECK(ledger.Requests() == 1);
    REQUIRE(ledger.Findings().size() >= 2);
    CHECK(ledger.Findings().front().Message().starts_with(
      "[ledger.malformed_record.601] e1-1-2#/records/0/"));
    CHECK(ledger.Findings().back().mPlace.starts_with("e1-1-3#"));
  }
}
