#include <figslip/quarantine/served_ids.hpp>

#include <utility>

namespace figslip::quarantine {

void
ServedIds::Touch(std::uint64_t aId, TimePoint aNow)
{
  mRecent[aId] = aNow;
  if (mRecent.size() * 2 >= mMaxIds) {
    mOlder = std::exchange(mRecent, {});
  }
}

bool
ServedIds::Contains(std::uint64_t aId, TimePoint aNow) const
{
  const auto isIn = [&](const Generation& aGeneration) {
    const auto found = aGeneration.find(aId);
    return found != aGeneration.end() && aNow - found->second < mRetention;
  };
  return isIn(mRecent) || isIn(mOlder);
}

} // namespace figslip::quarantine
