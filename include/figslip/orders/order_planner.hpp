#pragma once

#include <figslip/lease/lease_flow.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::orders {

/// @brief Lists the orders that an engine can receive.
enum class OrderKind
{
  Load,  ///< fetch a version from the weight store and serve it
  Unload ///< stop serving a version
};

/// @brief Returns the name of a kind as sent to engines.
[[nodiscard]] constexpr std::string_view
NameOf(OrderKind aKind)
{
  return aKind == OrderKind::Load ? "load" : "unload";
}

/// @brief Holds one order for one engine.
struct Order
{
  OrderKind mKind = OrderKind::Load;
  std::string mUpstream;
  std::string mVersion;
  std::int64_t mFencingToken = 0; ///< engines may refuse lower tokens

  bool operator==(const Order&) const = default;
};

/// @brief Plans the orders that make engines serve the versions of the
/// manifest.
///
/// Only the holder of the lease of a failure domain plans orders for the
/// engines of the domain. Each engine has at most one order in progress. The
/// number of concurrent loads is limited because the weight store is
/// rate-limited. Stable versions are loaded before versions in roll-out.
class OrderPlanner
{
public:
  struct Options
  {
    std::size_t mMaxConcurrentLoads = 2; ///< loads in progress, >= 1
    Duration mMaxTransitTime = std::chrono::seconds(2); ///< for an order
    Duration mRetryBackoff = std::chrono::seconds(5); ///< after a failed order
  };

  OrderPlanner(Options aOptions, std::string aFailureDomain);

  /// @brief Stores the versions that an engine reports as loaded.
  void OnEngineReport(std::string_view aUpstream,
                      std::vector<std::string> aLoaded);

  /// @brief Returns the orders to send now.
  /// @note Each returned order counts as in progress until `OnOrderEnded`.
  /// Engines that have not reported their versions receive no orders.
  [[nodiscard]] std::vector<Order> Plan(
    const manifest::ManifestIndex& aManifest,
    const lease::HeldLease& aLease,
    TimePoint aNow);

  /// @brief Handles the end of an order.
  /// @param[in] aSucceeded whether the engine executed the order; otherwise the
  /// engine receives no order for `Options::mRetryBackoff`
  void OnOrderEnded(const Order& aOrder, bool aSucceeded, TimePoint aNow);

private:
  struct Engine
  {
    std::vector<std::string> mLoaded;
    bool mIsBusy = false;    ///< an order is in progress
    bool mIsLoading = false; ///< the order in progress is a load
    TimePoint mRetryAt;      ///< no order before this time
  };

  [[nodiscard]] std::vector<Order> RequiredOrders(
    const manifest::ManifestIndex& aManifest,
    const manifest::Upstream& aUpstream,
    const Engine& aEngine) const;
  [[nodiscard]] std::size_t LoadsInProgress() const;

  Options mOptions;
  std::string mFailureDomain;
  std::map<std::string, Engine, std::less<>> mEngines;
};

} // namespace figslip::orders
