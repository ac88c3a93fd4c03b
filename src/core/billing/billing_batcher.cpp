#include <figslip/billing/billing_batcher.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>
#include <utility>
#include <vector>

namespace figslip::billing {

BillingBatcher::BillingBatcher(Options aOptions)
  : mOptions(std::move(aOptions))
{
  assert(mOptions.mMaxBatchRecords >= 1);
  assert(mOptions.mReservedBytes < mOptions.mMaxPendingBytes);
}

bool
BillingBatcher::HasRoom() const
{
  return mBytes + mOptions.mReservedBytes < mOptions.mMaxPendingBytes;
}

bool
BillingBatcher::HasFullBatch() const
{
  return mTexts.size() >= mOptions.mMaxBatchRecords ||
         mBytes >= mOptions.mMaxBatchBytes;
}

std::optional<Position>
BillingBatcher::Add(const BillingRecord& aRecord)
{
  auto text = PrintRecord(aRecord);
  if (mBytes + text.size() > mOptions.mMaxPendingBytes) {
    return std::nullopt;
  }
  mBytes += text.size();
  mTexts.push_back(std::move(text));
  return Last();
}

std::optional<RecordCopy>
BillingBatcher::CopyAfter(Position aAfter, std::size_t aMaxBytes) const
{
  const auto skipped =
    static_cast<std::size_t>(std::max<Position>(aAfter - mWrittenUpTo, 0));
  if (skipped >= mTexts.size()) {
    return std::nullopt;
  }
  std::vector<std::string> texts;
  std::size_t bytes = 0;
  for (auto text = mTexts.begin() + static_cast<std::ptrdiff_t>(skipped);
       text != mTexts.end() &&
       (texts.empty() || bytes + text->size() <= aMaxBytes);
       ++text) {
    bytes += text->size();
    texts.push_back(*text);
  }
  return RecordCopy{ .mOrigin = mOptions.mSelf,
                     .mUpTo = mWrittenUpTo +
                              static_cast<Position>(skipped + texts.size()),
                     .mText = JoinBatch(texts) };
}

std::size_t
BillingBatcher::BatchLength() const
{
  std::size_t length = 0;
  std::size_t bytes = 0;
  while (
    length < std::min(mTexts.size(), mOptions.mMaxBatchRecords) &&
    (length == 0 || bytes + mTexts[length].size() <= mOptions.mMaxBatchBytes)) {
    bytes += mTexts[length].size();
    ++length;
  }
  return length;
}

std::optional<NamedBatch>
BillingBatcher::NextBatch()
{
  if (mInBatch == 0) {
    mInBatch = BatchLength();
  }
  if (mInBatch == 0) {
    return std::nullopt;
  }
  const std::vector<std::string> texts(
    mTexts.begin(), mTexts.begin() + static_cast<std::ptrdiff_t>(mInBatch));
  return NamedBatch{ .mName = mOptions.mSelf.mInstance + "-" +
                              std::to_string(mOptions.mSelf.mStartedAt) + "-" +
                              std::to_string(mSequence),
                     .mText = JoinBatch(texts),
                     .mRecords = mInBatch };
}

void
BillingBatcher::OnWritten()
{
  assert(mInBatch > 0);
  const auto end = mTexts.begin() + static_cast<std::ptrdiff_t>(mInBatch);
  mBytes = std::accumulate(
    mTexts.begin(), end, mBytes, [](std::size_t aSum, const auto& aText) {
      return aSum - aText.size();
    });
  mTexts.erase(mTexts.begin(), end);
  mWrittenUpTo += static_cast<Position>(mInBatch);
  mInBatch = 0;
  ++mSequence;
}

} // namespace figslip::billing
