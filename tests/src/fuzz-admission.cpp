#include <figslip/admission/fair_queue.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <set>

using namespace figslip;
using admission::AdmissionResult;
using admission::FairQueue;
using admission::QueuedRequest;
using routing::TicketId;

namespace {

const TimePoint kStart{ std::chrono::seconds(1000) };

using ClassAndAccount = std::pair<std::string, std::string>;

ClassAndAccount
ClassAndAccountOf(const QueuedRequest& aRequest)
{
  return { aRequest.mCapacityClass, aRequest.mAccount };
}

/// Tracks the waiting requests independently of the queue's ordering.
struct Oracle
{
  std::map<TicketId, QueuedRequest> mWaiting;

  /// Checks that no other request of its flow should be admitted before it.
  [[nodiscard]] bool IsFirstOfFlow(const QueuedRequest& aRequest) const
  {
    return std::ranges::none_of(mWaiting, [&](const auto& aEntry) {
      const auto& other = aEntry.second;
      return other.mCapacityClass == aRequest.mCapacityClass &&
             other.mAccount == aRequest.mAccount &&
             std::pair(other.mPriority, other.mTicket) <
               std::pair(aRequest.mPriority, aRequest.mTicket);
    });
  }

  /// Checks whether a more urgent request of its account waits in another class
  /// of its group that is not known to be full, also not for the account.
  [[nodiscard]] bool HasMoreUrgent(
    const QueuedRequest& aRequest,
    const std::set<std::string>& aFull,
    const std::set<ClassAndAccount>& aFullForAccount) const
  {
    return std::ranges::any_of(mWaiting, [&](const auto& aEntry) {
      const auto& other = aEntry.second;
      return !other.mGroup.empty() && other.mGroup == aRequest.mGroup &&
             other.mAccount == aRequest.mAccount &&
             other.mPriority < aRequest.mPriority &&
             !aFull.contains(other.mCapacityClass) &&
             !aFullForAccount.contains(ClassAndAccountOf(other));
    });
  }
};

QueuedRequest
RandomRequest(TicketId aTicket, TimePoint aNow)
{
  const auto account = *rc::gen::inRange(0, 4);
  const auto capacityClass = *rc::gen::inRange(0, 3);
  return { .mTicket = aTicket,
           .mCapacityClass = "need-" + std::to_string(capacityClass),
           // two of the classes share slots
           .mGroup = capacityClass < 2 ? "service" : "",
           .mAccount = "account-" + std::to_string(account),
           .mShare = 1.0 + account,
           .mCost = *rc::gen::inRange(1, 100) * 1.0,
           .mPriority = *rc::gen::inRange(0, 3),
           .mDeadline =
             aNow + std::chrono::milliseconds(*rc::gen::inRange(0, 5000)) };
}

/// Admits with random capacity and checks each ticket against the oracle.
void
AdmitAndCheck(FairQueue& aQueue, Oracle& aOracle, TimePoint aNow)
{
  std::map<std::string, int> capacity;
  std::set<std::string> full;
  std::set<ClassAndAccount> withoutCapacity;
  std::set<ClassAndAccount> fullForAccount; // those that were tried
  std::set<TicketId> admitted;
  for (int capacityClass = 0; capacityClass < 3; ++capacityClass) {
    const auto name = "need-" + std::to_string(capacityClass);
    capacity[name] = *rc::gen::inRange(0, 4);
    for (int account = 0; account < 4; ++account) {
      if (*rc::gen::inRange(0, 4) == 0) {
        withoutCapacity.emplace(name, "account-" + std::to_string(account));
      }
    }
  }
  const auto left = aQueue.Admit(
    [&](const QueuedRequest& aRequest) {
      RC_ASSERT(aOracle.mWaiting.contains(aRequest.mTicket));
      RC_ASSERT(aOracle.IsFirstOfFlow(aRequest));
      // a class without capacity is not tried again
      RC_ASSERT(!full.contains(aRequest.mCapacityClass));
      // and an account without capacity not in this class
      const auto classAndAccount = ClassAndAccountOf(aRequest);
      RC_ASSERT(!fullForAccount.contains(classAndAccount));
      RC_ASSERT(!aOracle.HasMoreUrgent(aRequest, full, fullForAccount));
      if (withoutCapacity.contains(classAndAccount)) {
        fullForAccount.insert(classAndAccount);
        return AdmissionResult::NoCapacityForAccount;
      }
      if (capacity[aRequest.mCapacityClass]-- > 0) {
        aOracle.mWaiting.erase(aRequest.mTicket);
        admitted.insert(aRequest.mTicket);
        return AdmissionResult::Admitted;
      }
      full.insert(aRequest.mCapacityClass);
      return AdmissionResult::NoCapacity;
    },
    aNow);
  RC_ASSERT(std::set<TicketId>(left.begin(), left.end()) == admitted);
  RC_ASSERT(left.size() == admitted.size());
  for (const auto& [ticket, request] : aOracle.mWaiting) {
    // no capacity is left unused while a request waits for it
    RC_ASSERT(capacity[request.mCapacityClass] < 0 ||
              withoutCapacity.contains(ClassAndAccountOf(request)));
  }
}

} // namespace

TEST_CASE("no request is lost, duplicated or overtaken in its flow")
{
  CHECK(rc::check("queue and oracle agree", [] {
    FairQueue queue;
    Oracle oracle;
    auto now = kStart;
    TicketId last = 0;
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      const auto action = *rc::gen::inRange(0, 8);
      if (action < 4) {
        const auto request = RandomRequest(++last, now);
        oracle.mWaiting[last] = request;
        queue.Push(request, now);
      } else if (action < 6) {
        AdmitAndCheck(queue, oracle, now);
      } else if (action == 6) {
        const TicketId ticket = *rc::gen::inRange(1, 80);
        RC_ASSERT(queue.Remove(ticket) == (oracle.mWaiting.erase(ticket) > 0));
      } else {
        for (const auto ticket : queue.RemoveUnmeetable(now)) {
          RC_ASSERT(oracle.mWaiting.erase(ticket) == 1);
        }
      }
      RC_ASSERT(queue.Size() == oracle.mWaiting.size());
    }
    const auto rest = queue.Admit(
      [](const QueuedRequest& /*aRequest*/) {
        return AdmissionResult::Admitted;
      },
      now);
    RC_ASSERT(rest.size() == oracle.mWaiting.size());
    RC_ASSERT(queue.Empty());
    RC_ASSERT(queue.FlowCount() == 0);
  }));
}

TEST_CASE("backlogged accounts get their shares within the bound")
{
  constexpr double kMaxCost = 100.0;
  CHECK(rc::check("shares of backlogged accounts", [] {
    FairQueue queue;
    std::map<std::string, double> shares;
    std::map<std::string, double> work;
    TicketId last = 0;
    const auto accounts = *rc::gen::inRange(2, 5);
    const auto push = [&](const std::string& aAccount) {
      queue.Push({ .mTicket = ++last,
                   .mCapacityClass = "small",
                   .mAccount = aAccount,
                   .mShare = shares[aAccount],
                   .mCost = *rc::gen::inRange(1, 101) * 1.0 },
                 kStart);
    };
    for (int account = 0; account < accounts; ++account) {
      const auto name = std::to_string(account);
      shares[name] = *rc::gen::inRange(1, 11) / 2.0;
      push(name);
      push(name);
    }
    for (int round = 0; round < 100; ++round) {
      int capacity = 1;
      std::string admitted;
      (void)queue.Admit(
        [&](const QueuedRequest& aRequest) {
          if (capacity-- == 0) {
            return AdmissionResult::NoCapacity;
          }
          admitted = aRequest.mAccount;
          work[admitted] += aRequest.mCost;
          return AdmissionResult::Admitted;
        },
        kStart);
      push(admitted);
      for (const auto& [one, oneShare] : shares) {
        for (const auto& [other, otherShare] : shares) {
          RC_ASSERT(std::abs(work[one] / oneShare - work[other] / otherShare) <=
                    kMaxCost / oneShare + kMaxCost / otherShare);
        }
      }
    }
  }));
}
