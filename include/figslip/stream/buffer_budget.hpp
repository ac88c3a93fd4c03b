#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace figslip::stream {

/// @brief Shares a bounded amount of memory among buffers of unknown size.
///
/// When the memory is exhausted, the largest buffers that still grow are
/// evicted: a sender without end loses its buffer, small buffers stay.
class BufferBudget
{
  struct Accounts;

public:
  /// @brief Accounts for one buffer from its construction to its destruction.
  class Buffer
  {
  public:
    /// @param[in] aBudget may be destroyed before the buffer: a stream that is
    ///            open at the end of the process is destroyed with its event
    ///            loop, after the state that it used
    /// @param[in] aOnEvicted called once if the buffer is evicted; must not
    ///            resize or destroy a buffer
    Buffer(BufferBudget& aBudget, std::function<void()> aOnEvicted);
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;
    ~Buffer();

    /// @brief Sets the memory that the buffer holds and evicts the largest
    /// buffers, which may include this one, while the budget is exceeded.
    /// @param[in] aBytes memory in bytes; ignored once the buffer is evicted
    void Resize(std::size_t aBytes);

    /// @brief Exempts a buffer that no longer grows from eviction.
    void Retain();

    /// @brief Returns whether the buffer must be given up.
    [[nodiscard]] bool IsEvicted() const { return mIsEvicted; }

  private:
    friend class BufferBudget;

    std::shared_ptr<Accounts> mAccounts;
    std::function<void()> mOnEvicted;
    std::size_t mBytes = 0;
    bool mIsEvicted = false;
  };

  /// @param[in] aMaxBytes memory of all buffers together, in bytes
  explicit BufferBudget(std::size_t aMaxBytes)
    : mAccounts(std::make_shared<Accounts>(Accounts{ .mMaxBytes = aMaxBytes }))
  {
  }

  /// @brief Returns the memory of all buffers that are not evicted, in bytes.
  [[nodiscard]] std::size_t UsedBytes() const { return mAccounts->mUsedBytes; }

private:
  /// Accounts of a budget, which its buffers share.
  struct Accounts
  {
    std::size_t mMaxBytes = 0;
    std::size_t mUsedBytes = 0;
    std::set<Buffer*> mGrowing; ///< buffers that can be evicted

    void EvictLargest();
  };

  std::shared_ptr<Accounts> mAccounts;
};

} // namespace figslip::stream
