#include <figslip/admission/slot_waiters.hpp>

#include <utility>

namespace figslip::admission {

SlotWaiters::Wait::Wait(SlotWaiters& aWaiters, std::string aService)
  : mCounts(aWaiters.mCounts)
  , mService(std::move(aService))
{
  ++(*mCounts)[mService];
}

SlotWaiters::Wait::~Wait()
{
  const auto found = mCounts->find(mService);
  if (--found->second == 0) {
    mCounts->erase(found);
  }
}

bool
SlotWaiters::MustYield(const std::string& aService, bool aIsPipelined) const
{
  return aIsPipelined && mCounts->contains(aService);
}

} // namespace figslip::admission
