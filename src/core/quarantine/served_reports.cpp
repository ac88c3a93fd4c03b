#include <figslip/quarantine/served_reports.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace figslip::quarantine {

void
ServedReports::OnOwn(const std::vector<PartId>& aParts, TimePoint aNow)
{
  std::ranges::copy_if(
    aParts, std::inserter(mPending, mPending.end()), [&](PartId aPart) {
      return !mPublished.Contains(aPart, aNow);
    });
}

void
ServedReports::OnPublished(const std::vector<PartId>& aParts, TimePoint aNow)
{
  for (const auto part : aParts) {
    mPending.erase(part);
    mPublished.Touch(part, aNow);
  }
}

std::vector<PartId>
ServedReports::TakeDue(TimePoint aNow)
{
  const auto due = std::exchange(mPending, {});
  for (const auto part : due) {
    mPublished.Touch(part, aNow);
  }
  return { due.begin(), due.end() };
}

} // namespace figslip::quarantine
