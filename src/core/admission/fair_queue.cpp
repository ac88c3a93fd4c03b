#include <figslip/admission/fair_queue.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace figslip::admission {

void
FairQueue::Push(QueuedRequest aRequest)
{
  assert(aRequest.mShare > 0.0 && aRequest.mCost > 0.0);
  auto& line = mLines[aRequest.mAccount];
  line.mWaiting.push_back({ std::move(aRequest), mArrivals++ });
  std::ranges::sort(line.mWaiting, {}, [](const Waiting& aWaiting) {
    return std::tuple(aWaiting.mRequest.mPriority, aWaiting.mArrival);
  });
  ++mSize;
}

std::optional<routing::TicketId>
FairQueue::Pop(const std::function<bool(const QueuedRequest&)>& aAccepts)
{
  Line* bestLine = nullptr;
  std::size_t bestIndex = 0;
  double bestStart = 0.0;
  for (auto& [account, line] : mLines) {
    const auto found =
      std::ranges::find_if(line.mWaiting, [&](const Waiting& aWaiting) {
        return aAccepts(aWaiting.mRequest);
      });
    if (found == line.mWaiting.end()) {
      continue;
    }
    const double start = std::max(line.mFinish, mVirtualTime);
    if (bestLine == nullptr || start < bestStart) {
      bestLine = &line;
      bestStart = start;
      bestIndex = static_cast<std::size_t>(found - line.mWaiting.begin());
    }
  }
  if (bestLine == nullptr) {
    return std::nullopt;
  }
  const auto position =
    bestLine->mWaiting.begin() + static_cast<std::ptrdiff_t>(bestIndex);
  const auto request = std::move(position->mRequest);
  bestLine->mWaiting.erase(position);
  --mSize;
  Charge(request.mAccount, request.mShare, request.mCost);
  mVirtualTime = std::max(mVirtualTime, bestStart);
  return request.mTicket;
}

bool
FairQueue::Remove(routing::TicketId aTicket)
{
  for (auto& [account, line] : mLines) {
    const auto removed =
      std::erase_if(line.mWaiting, [&](const Waiting& aWaiting) {
        return aWaiting.mRequest.mTicket == aTicket;
      });
    if (removed > 0) {
      mSize -= removed;
      return true;
    }
  }
  return false;
}

void
FairQueue::Charge(const std::string& aAccount, double aShare, double aCost)
{
  auto& line = mLines[aAccount];
  line.mFinish = std::max(line.mFinish, mVirtualTime) + aCost / aShare;
}

} // namespace figslip::admission
