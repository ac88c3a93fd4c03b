#include <figslip/kernel/kernel.hpp>

#include <algorithm>
#include <ranges>
#include <set>

namespace figslip::kernel {

void
Kernel::Add(ServiceSpec aSpec)
{
  assert(!mObjects.contains(aSpec.mName));
  mSpecs.push_back(std::move(aSpec));
}

Result<std::vector<const ServiceSpec*>>
Kernel::Order() const
{
  std::vector<const ServiceSpec*> order;
  std::set<std::string_view> placed;
  const auto ready = [&](const ServiceSpec& aSpec) {
    return !placed.contains(aSpec.mName) &&
           std::ranges::all_of(aSpec.mDependsOn, [&](const auto& aName) {
             return placed.contains(aName);
           });
  };
  while (order.size() < mSpecs.size()) {
    const auto next = std::ranges::find_if(mSpecs, ready);
    if (next == mSpecs.end()) {
      const auto stuck = std::ranges::find_if(mSpecs, [&](const auto& aSpec) {
        return !placed.contains(aSpec.mName);
      });
      return Failure(error::ErrorKind::BadSetting,
                     "service " + stuck->mName,
                     "its dependencies are missing or circular");
    }
    placed.insert(next->mName);
    order.push_back(&*next);
  }
  return order;
}

Result<void>
Kernel::Start()
{
  auto order = Order();
  if (!order) {
    return outcome::failure(std::move(order).assume_error());
  }
  for (const auto* const spec : order.assume_value()) {
    mStarted.push_back(spec);
    if (!spec->mStart) {
      continue;
    }
    if (auto started = spec->mStart(); !started) {
      mStarted.pop_back();
      Stop();
      return started;
    }
  }
  return outcome::success();
}

void
Kernel::Stop()
{
  for (const auto* const spec : std::views::reverse(mStarted)) {
    if (spec->mStop) {
      spec->mStop();
    }
  }
  mStarted.clear();
}

} // namespace figslip::kernel
