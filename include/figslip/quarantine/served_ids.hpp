#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace figslip::quarantine {

/// @brief Remembers what was served lately, by id, in bounded memory.
class ServedIds
{
public:
  /// @param[in] aRetention time for which an id is remembered
  /// @param[in] aMaxIds number of ids after which the oldest are dropped
  ServedIds(Duration aRetention, std::size_t aMaxIds)
    : mRetention(aRetention)
    , mMaxIds(aMaxIds)
  {
  }

  void Touch(std::uint64_t aId, TimePoint aNow);
  [[nodiscard]] bool Contains(std::uint64_t aId, TimePoint aNow) const;
  [[nodiscard]] std::size_t Size() const
  {
    return mRecent.size() + mOlder.size();
  }

private:
  using Generation = std::unordered_map<std::uint64_t, TimePoint>;

  Duration mRetention;
  std::size_t mMaxIds;
  Generation mRecent;
  Generation mOlder; ///< replaced by `mRecent` as a whole
};

} // namespace figslip::quarantine
