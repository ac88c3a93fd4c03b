#pragma once

#include <figslip/quarantine/part_quarantine.hpp>
#include <figslip/quarantine/served_ids.hpp>

#include <set>
#include <vector>

namespace figslip::quarantine {

/// @brief Holds the served parts that this instance is to publish for itself
/// and for those that follow it, each part once.
class ServedReports
{
public:
  /// @brief Takes parts that were served.
  /// @note Parts that were published a short time ago are left out.
  void OnOwn(const std::vector<PartId>& aParts, TimePoint aNow);

  /// @brief Records parts that another instance has published.
  void OnPublished(const std::vector<PartId>& aParts, TimePoint aNow);

  /// @brief Returns the parts to publish now, each of them once.
  [[nodiscard]] std::vector<PartId> TakeDue(TimePoint aNow);

private:
  /// Instances report a part that they served after the same crash within the
  /// spread of 80 instances, 3.2 s, and the forwarding. A record stays in the
  /// store for 60 s, so a part that is left out is known to all instances.
  static constexpr Duration kRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaxPublished = 32'768; ///< bounds the memory

  std::set<PartId> mPending;
  ServedIds mPublished{ kRetention, kMaxPublished };
};

} // namespace figslip::quarantine
