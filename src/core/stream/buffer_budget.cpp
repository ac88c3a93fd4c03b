#include <figslip/stream/buffer_budget.hpp>

#include <algorithm>
#include <utility>

namespace figslip::stream {

BufferBudget::Buffer::Buffer(BufferBudget& aBudget,
                             std::function<void()> aOnEvicted)
  : mAccounts(aBudget.mAccounts)
  , mOnEvicted(std::move(aOnEvicted))
{
  mAccounts->mGrowing.insert(this);
}

BufferBudget::Buffer::~Buffer()
{
  mAccounts->mUsedBytes -= mBytes;
  mAccounts->mGrowing.erase(this);
}

void
BufferBudget::Buffer::Resize(std::size_t aBytes)
{
  if (mIsEvicted) {
    return;
  }
  mAccounts->mUsedBytes += aBytes;
  mAccounts->mUsedBytes -= std::exchange(mBytes, aBytes);
  while (mAccounts->mUsedBytes > mAccounts->mMaxBytes &&
         !mAccounts->mGrowing.empty()) {
    mAccounts->EvictLargest();
  }
}

void
BufferBudget::Buffer::Retain()
{
  mAccounts->mGrowing.erase(this);
}

void
BufferBudget::Accounts::EvictLargest()
{
  auto* const largest =
    *std::ranges::max_element(mGrowing, {}, &Buffer::mBytes);
  mGrowing.erase(largest);
  mUsedBytes -= std::exchange(largest->mBytes, 0);
  largest->mIsEvicted = true;
  largest->mOnEvicted();
}

} // namespace figslip::stream
