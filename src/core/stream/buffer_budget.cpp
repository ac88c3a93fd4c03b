#include <figslip/stream/buffer_budget.hpp>

#include <algorithm>
#include <utility>

namespace figslip::stream {

BufferBudget::Buffer::Buffer(BufferBudget& aBudget,
                             std::function<void()> aOnEvicted)
  : mBudget(aBudget)
  , mOnEvicted(std::move(aOnEvicted))
{
  mBudget.mGrowing.insert(this);
}

BufferBudget::Buffer::~Buffer()
{
  mBudget.mUsedBytes -= mBytes;
  mBudget.mGrowing.erase(this);
}

void
BufferBudget::Buffer::Resize(std::size_t aBytes)
{
  if (mIsEvicted) {
    return;
  }
  mBudget.mUsedBytes += aBytes;
  mBudget.mUsedBytes -= std::exchange(mBytes, aBytes);
  while (mBudget.mUsedBytes > mBudget.mMaxBytes && !mBudget.mGrowing.empty()) {
    mBudget.EvictLargest();
  }
}

void
BufferBudget::Buffer::Retain()
{
  mBudget.mGrowing.erase(this);
}

void
BufferBudget::EvictLargest()
{
  auto* const largest =
    *std::ranges::max_element(mGrowing, {}, &Buffer::mBytes);
  mGrowing.erase(largest);
  mUsedBytes -= std::exchange(largest->mBytes, 0);
  largest->mIsEvicted = true;
  largest->mOnEvicted();
}

} // namespace figslip::stream
