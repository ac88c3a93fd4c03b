#include <figslip/log/line_budget.hpp>

#include <algorithm>
#include <utility>

namespace figslip::log {

std::optional<std::uint64_t>
LineBudget::Take(std::string_view aEvent, TimePoint aNow)
{
  auto found = mAccounts.find(aEvent);
  if (found == mAccounts.end()) {
    const std::string name(mAccounts.size() < mOptions.mMaxEvents
                             ? aEvent
                             : std::string_view("other"));
    found =
      mAccounts
        .try_emplace(name, Account{ .mLines = mOptions.mBurst, .mAt = aNow })
        .first;
  }
  auto& account = found->second;
  const std::chrono::duration<double> passed = aNow - account.mAt;
  account.mLines =
    std::min(mOptions.mBurst,
             account.mLines + passed.count() * mOptions.mLinesPerSecond);
  account.mAt = aNow;
  if (account.mLines < 1.0) {
    ++account.mLeftOut;
    return std::nullopt;
  }
  account.mLines -= 1.0;
  return std::exchange(account.mLeftOut, 0);
}

} // namespace figslip::log
