#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace figslip::peer {

/// @brief Chooses which items go into the next digest.
///
/// An item that changed is sent a limited number of times, in turn with the
/// others, so that a digest stays small whatever the number of items.
template<typename Key>
class RumorQueue
{
public:
  /// @param[in] aSends how often a changed item is sent, >= 1
  explicit RumorQueue(int aSends)
    : mSends(aSends)
  {
  }

  /// @brief Notes that an item changed.
  void Push(const Key& aKey)
  {
    const auto [found, added] = mSendsLeft.insert_or_assign(aKey, mSends);
    if (added) {
      mOrder.push_back(found->first);
    }
  }

  /// @brief Takes the items for one digest; O(aMost log n).
  [[nodiscard]] std::vector<Key> Take(std::size_t aMost)
  {
    std::vector<Key> taken;
    const auto count = std::min(aMost, mOrder.size());
    taken.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
      auto key = std::move(mOrder.front());
      mOrder.pop_front();
      const auto found = mSendsLeft.find(key);
      taken.push_back(key);
      if (--found->second > 0) {
        mOrder.push_back(std::move(key));
      } else {
        mSendsLeft.erase(found);
      }
    }
    return taken;
  }

  [[nodiscard]] std::size_t Size() const { return mOrder.size(); }

private:
  int mSends;
  std::map<Key, int> mSendsLeft;
  std::deque<Key> mOrder;
};

} // namespace figslip::peer
