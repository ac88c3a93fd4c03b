#include <figslip/admission/connection_budget.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace figslip;
using admission::ConnectionBudget;
using admission::ConnectionPhase;
using admission::Shortage;

namespace {

constexpr std::size_t kMaxBytes = 400'000;
constexpr int kMaxDescriptors = 20;

/// Holds a connection and what it was told.
struct Client
{
  bool mMustClose = false;
  std::unique_ptr<ConnectionBudget::Member> mMember;
};

/// Takes a random step of a random client.
void
Step(ConnectionBudget& aBudget,
     std::vector<std::unique_ptr<Client>>& aClients,
     TimePoint aNow)
{
  const auto index = *rc::gen::inRange<std::size_t>(0, aClients.size());
  auto& client = *aClients[index];
  if (!client.mMember || !client.mMember->IsAdmitted()) {
    // a new connection takes its place
    client.mMember.reset();
    client.mMustClose = false;
    const auto address = "address " + std::to_string(index % 4);
    client.mMember = std::make_unique<ConnectionBudget::Member>(
      aBudget,
      address,
      [&client](Shortage) {
        RC_ASSERT(client.mMember->Phase() != ConnectionPhase::Running);
        client.mMustClose = true;
      },
      aNow);
    return;
  }
  switch (*rc::gen::inRange(0, 5)) {
    case 0: {
      const auto bytes = *rc::gen::inRange<std::size_t>(0, 200'000);
      const bool isDone = client.mMember->Resize(bytes, aNow);
      const bool holds = !isDone || client.mMember->Bytes() == bytes;
      RC_ASSERT(holds);
      break;
    }
    case 1: {
      const auto phase = static_cast<ConnectionPhase>(*rc::gen::inRange(0, 5));
      const bool isDone = client.mMember->Enter(phase, aNow);
      const bool holds = !isDone || client.mMember->Phase() == phase;
      RC_ASSERT(holds);
      break;
    }
    case 2:
      client.mMember->OnProgress(*rc::gen::inRange<std::size_t>(0, 70'000),
                                 aNow);
      break;
    case 3:
      client.mMember.reset();
      break;
    default:
      break;
  }
}

} // namespace

// The load: clients of several addresses that connect, send, run, stop and
// leave in any order.
TEST_CASE("a budget of connections is never exceeded and loses no byte")
{
  CHECK(rc::check([] {
    ConnectionBudget budget(
      { .mMaxBytes = kMaxBytes, .mMaxDescriptors = kMaxDescriptors });
    std::vector<std::unique_ptr<Client>> clients(30);
    std::ranges::generate(clients, [] { return std::make_unique<Client>(); });
    TimePoint now{ std::chrono::seconds(1000) };
    for (int step = 0; step < 200; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
      Step(budget, clients, now);
      RC_ASSERT(budget.UsedBytes() <= kMaxBytes);
      RC_ASSERT(budget.UsedDescriptors() <= kMaxDescriptors);
      for (const auto& client : clients) {
        // the macro evaluates all operands of an expression
        const bool isServed = client->mMember && client->mMember->IsAdmitted();
        const bool mustClose = client->mMustClose;
        RC_ASSERT(!(isServed && mustClose));
      }
    }
    clients.clear();
    RC_ASSERT(budget.UsedBytes() == 0);
    RC_ASSERT(budget.UsedDescriptors() == 0);
    RC_ASSERT(budget.Connections() == 0);
  }));
}
