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

/// @brief Lists what an engine can be ordered to do.
enum class OrderKind
{
  Load,  ///< fetch a version from the weight store and serve it
  Unload ///< serve a version no more
};

/// @brief Returns the name that orders carry on the wire.
[[nodiscard]] constexpr std::string_view
NameOf(OrderKind aKind)
{
  return aKind == OrderKind::Load ? "load" : "unload";
}

/// @brief Holds one order to one engine.
struct Order
{
  OrderKind mKind = OrderKind::Load;
  std::string mUpstream;
  std::string mVersion;
  std::int64_t mFencingToken = 0; ///< engines may refuse lower ones

  bool operator==(const Order&) const = default;
};

/// @brief Plans the orders that make engines serve what the manifest says.
///
/// Only the holder of the lease of a failure domain plans for its engines. An
/// engine gets one order at a time; loads are limited, since the weight store
/// is rate-limited, and versions in roll-out wait for stable ones.
class OrderPlanner
{
public:
  struct Options
  {
    std::size_t mMaxConcurrentLoads = 2; ///< loads under way at a time, >= 1
    Duration mMaxTransitTime = std::chrono::seconds(2); ///< of an order
    Duration mRetryBackoff = std::chrono::seconds(5); ///< after a failed order
  };

  OrderPlanner(Options aOptions, std::string aFailureDomain);

  /// @brief Notes which versions an engine says it serves.
  void OnEngineReport(std::string_view aUpstream,
                      std::vector<std::string> aLoaded);

  /// @brief Returns the orders to send now; each counts as under way.
  [[nodiscard]] std::vector<Order> Plan(
    const manifest::ManifestIndex& aManifest,
    const lease::HeldLease& aLease,
    TimePoint aNow);

  /// @brief Notes that an order has ended, well or not.
  void OnOrderEnded(const Order& aOrder, bool aSucceeded, TimePoint aNow);

private:
  struct Engine
  {
    std::vector<std::string> mLoaded;
    bool mIsBusy = false;    ///< an order is under way
    bool mIsLoading = false; ///< that order is a load
    TimePoint mRetryAt;
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
