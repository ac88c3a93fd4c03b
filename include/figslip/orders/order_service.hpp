#pragma once

#include <figslip/control/control_service.hpp>
#include <figslip/http/http_client.hpp>
#include <figslip/lease/lease_flow.hpp>
#include <figslip/orders/order_planner.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/upstream/upstream_adapter.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace figslip::orders {

/// @brief Competes for the lease of a failure domain and, while holding it,
/// sends orders to load and unload versions to the engines of the domain.
class OrderService
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
  };

  struct Services
  {
    std::shared_ptr<control::ControlService> mControl;
    std::shared_ptr<platform::PlatformClient> mPlatform;
    std::shared_ptr<upstream::UpstreamAdapter> mUpstreams;
  };

  OrderService(const Options& aOptions, Services aServices);
  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;
  ~OrderService() { Stop(); }

  /// @brief Starts the thread that renews the lease and sends orders.
  void Start();

  /// @brief Stops and joins the thread.
  void Stop();

private:
  void Run();
  void AdvanceLease();
  void SendOrders();
  [[nodiscard]] bool WaitForNextPoll(); ///< false if the service is stopping

  Services mServices;
  platform::ObjectName mLeaseObject;
  std::string mFailureDomain;
  lease::LeaseFlow mLease;
  OrderPlanner mPlanner;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace figslip::orders
