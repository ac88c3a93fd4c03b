#include <figslip/fairshare/compute_shares.hpp>
#include <figslip/fairshare/demand_messages.hpp>
#include <figslip/fairshare/fair_shares.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>

using namespace figslip;
using fairshare::AgedReport;
using fairshare::Claim;
using fairshare::ComputeShares;
using fairshare::FairShares;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

double
RandomNumber(int aMax)
{
  return *rc::gen::inRange(0, aMax) / 10.0;
}

/// Returns any bits as a number, often one that is not finite.
double
AnyNumber()
{
  return *rc::gen::weightedOneOf<double>(
    { { 3, rc::gen::arbitrary<double>() },
      { 1,
        rc::gen::element(std::numeric_limits<double>::quiet_NaN(),
                         std::numeric_limits<double>::infinity(),
                         -std::numeric_limits<double>::infinity(),
                         std::numeric_limits<double>::max(),
                         std::numeric_limits<double>::denorm_min(),
                         -1.0) } });
}

AgedReport
RandomReport()
{
  AgedReport report{
    .mReport = { .mInstance = "i-" + std::to_string(*rc::gen::inRange(0, 4)),
                 .mSequence = *rc::gen::inRange<std::int64_t>(0, 5) },
    .mAge = std::chrono::milliseconds(*rc::gen::inRange(-10, 3'100))
  };
  const int services = *rc::gen::inRange(0, 3);
  for (int service = 0; service < services; ++service) {
    fairshare::ServiceDemand demand{ .mService = std::to_string(service),
                                     .mIsShort = *rc::gen::arbitrary<bool>() };
    const int accounts = *rc::gen::inRange(0, 18);
    for (int account = 0; account < accounts; ++account) {
      const bool isOdd = *rc::gen::inRange(0, 60) == 0;
      demand.mAccounts.push_back(
        { .mAccount = std::to_string(account),
          .mOffered = isOdd ? AnyNumber() : RandomNumber(1'000),
          .mServed = RandomNumber(1'000) });
    }
    report.mReport.mServices.push_back(std::move(demand));
  }
  return report;
}

} // namespace

TEST_CASE("shares of random claims")
{
  SUBCASE("are weighted max-min fair")
  {
    CHECK(rc::check([] {
      std::vector<Claim> claims(*rc::gen::inRange<std::size_t>(0, 12));
      for (auto& claim : claims) {
        claim = { .mDemand = RandomNumber(1'000),
                  .mWeight = 0.1 + RandomNumber(50) };
      }
      const double capacity = RandomNumber(4'000);
      const auto shares = ComputeShares(claims, capacity);
      double used = 0.0;
      double demand = 0.0;
      for (std::size_t index = 0; index < claims.size(); ++index) {
        const auto& claim = claims[index];
        const double allocation = shares.mAllocations[index];
        RC_ASSERT(allocation >= 0.0);
        RC_ASSERT(allocation <= claim.mDemand);
        // who gets less than it wants gets the level; nobody gets more
        const double perWeight = allocation / claim.mWeight;
        RC_ASSERT(perWeight <= shares.mLevel * (1.0 + 1e-9));
        if (allocation < claim.mDemand) {
          RC_ASSERT(perWeight >= shares.mLevel * (1.0 - 1e-9));
        }
        used += allocation;
        demand += claim.mDemand;
      }
      // nothing is left over that somebody wants
      RC_ASSERT(std::abs(used - std::min(demand, capacity)) < 1e-6);
    }));
  }
  SUBCASE("stay within demand and capacity for any numbers")
  {
    CHECK(rc::check([] {
      std::vector<Claim> claims(*rc::gen::inRange<std::size_t>(0, 12));
      for (auto& claim : claims) {
        claim = { .mDemand = AnyNumber(), .mWeight = AnyNumber() };
      }
      const double capacity = AnyNumber();
      const auto shares = ComputeShares(claims, capacity);
      RC_ASSERT(!std::isnan(shares.mLevel));
      for (std::size_t index = 0; index < claims.size(); ++index) {
        const double allocation = shares.mAllocations[index];
        RC_ASSERT(std::isfinite(allocation) && allocation >= 0.0);
        RC_ASSERT(allocation <= std::max(0.0, claims[index].mDemand));
        RC_ASSERT(allocation <= std::max(0.0, capacity) * (1.0 + 1e-9));
      }
    }));
  }
}

TEST_CASE("random reports leave all weights in their bounds")
{
  CHECK(rc::check([] {
    FairShares shares({ .mInstance = "i-0" });
    shares.OnInstances({ { .mName = "i-1" }, { .mName = "i-2" } });
    auto now = kStart;
    for (int step = 0; step < 10; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
      const auto service = std::to_string(*rc::gen::inRange(0, 2));
      const auto account = std::to_string(*rc::gen::inRange(0, 18));
      shares.OnOffered(service, account, AnyNumber(), now);
      shares.OnAdmitted(service, account, RandomNumber(1'000), now);
      shares.OnShortage(service, now);
      shares.Merge({ RandomReport(), RandomReport() }, now, now);
      shares.OnTick(now);
      for (int number = 0; number < 18; ++number) {
        const double weight = shares.WeightOf(service, std::to_string(number));
        RC_ASSERT(weight >= FairShares::kMinWeight);
        RC_ASSERT(weight <= 1.0);
      }
      // what is passed on is valid
      for (const auto& report : shares.AnswerTo({}, now).mReports) {
        RC_ASSERT(fairshare::CheckReport(report.mReport).has_value());
        RC_ASSERT(report.mAge >= Duration::zero());
      }
    }
  }));
}

TEST_CASE("random messages")
{
  SUBCASE("are read as they were sent")
  {
    CHECK(rc::check([] {
      fairshare::DemandAnswer answer;
      const int reports = *rc::gen::inRange(0, 4);
      std::generate_n(
        std::back_inserter(answer.mReports), reports, RandomReport);
      const auto read =
        fairshare::DecodeAnswer(fairshare::EncodeAnswer(answer));
      RC_ASSERT(read.has_value());
      // compared by bytes, as NaN differs from itself
      RC_ASSERT(fairshare::EncodeAnswer(read.assume_value()) ==
                fairshare::EncodeAnswer(answer));
    }));
  }
  SUBCASE("of which bytes are changed are read or refused")
  {
    CHECK(rc::check([] {
      auto bytes = fairshare::EncodePush(
        { .mKnown = { { "i-1", 3 } },
          .mReports = { RandomReport(), RandomReport() } });
      const int changes = *rc::gen::inRange(1, 8);
      for (int change = 0; change < changes; ++change) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
      }
      const auto read = fairshare::DecodePush(bytes);
      RC_ASSERT((read.has_value() || !read.assume_error().empty()));
    }));
  }
}
