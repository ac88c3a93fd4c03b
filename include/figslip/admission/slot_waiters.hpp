#pragma once

#include <map>
#include <memory>
#include <string>

namespace figslip::admission {

/// @brief Knows for which services requests wait for a slot, so that pipelined
/// requests yield to them.
///
/// A pipelined request arrives at the moment at which the one before it on its
/// connection frees a slot. Without a queue it would take that slot before the
/// requests that poll for one, and a crowd of such connections would keep all
/// slots.
class SlotWaiters
{
  using Counts = std::map<std::string, int>;

public:
  /// @brief Marks a request as waiting from its construction to its
  /// destruction.
  class Wait
  {
  public:
    /// @param[in] aWaiters may be destroyed before the wait
    /// @param[in] aService at which the request needs a slot
    Wait(SlotWaiters& aWaiters, std::string aService);
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait();

  private:
    std::shared_ptr<Counts> mCounts;
    std::string mService;
  };

  /// @brief Returns whether a request must leave free slots to others.
  /// @param[in] aIsPipelined the request had come before the response to the
  ///            one before it was sent
  [[nodiscard]] bool MustYield(const std::string& aService,
                               bool aIsPipelined) const;

private:
  std::shared_ptr<Counts> mCounts = std::make_shared<Counts>(); ///< by service
};

} // namespace figslip::admission
