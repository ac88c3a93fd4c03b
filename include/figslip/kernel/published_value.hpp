#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace figslip::kernel {

/// @brief Hands an immutable value from the thread that replaces it to others.
///
/// Readers keep the value that they got for as long as they hold it.
///
/// @note `std::atomic<std::shared_ptr>` of libstdc++ 12 ends a load with a
/// relaxed operation. Where memory is weakly ordered, as on arm64, the pointer
/// may be read after another thread has replaced it.
template<typename Value>
class PublishedValue
{
public:
  using Pointer = std::shared_ptr<const Value>;

  explicit PublishedValue(Pointer aInitial)
    : mValue(std::move(aInitial))
  {
  }

  /// @brief Returns the value last published; callable on any thread.
  [[nodiscard]] Pointer Load() const
  {
    const std::lock_guard lock(mMutex);
    return mValue;
  }

  /// @brief Publishes a value; callable on any thread.
  void Store(Pointer aValue)
  {
    const std::lock_guard lock(mMutex);
    // the value before is destroyed with the argument, after the lock
    mValue.swap(aValue);
  }

private:
  mutable std::mutex mMutex;
  Pointer mValue;
};

} // namespace figslip::kernel
