#pragma once

#include <figslip/error/result.hpp>
#include <figslip/kernel/kernel.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/settings/entry_settings.hpp>

#include <memory>

namespace figslip::entry {

/// @brief Composes the services of an entry instance.
class EntryDaemon
{
public:
  explicit EntryDaemon(const settings::EntrySettings& aSettings);

  /// @brief Starts all services.
  Result<void> Start() { return mKernel.Start(); }

  /// @brief Returns the port that callers use; only after `Start`.
  [[nodiscard]] int CallerPort() const;

  /// @brief Returns the port that peers use; only after `Start`.
  [[nodiscard]] int PeerPort() const;

  /// @brief Stops gracefully: not ready first, then the balancer's lag, then
  /// the open requests, then the billing records, then all services.
  void Stop();

private:
  void RegisterFoundations(const settings::EntrySettings& aSettings);
  void RegisterControl(const settings::EntrySettings& aSettings);
  void RegisterBilling(const settings::EntrySettings& aSettings);
  void RegisterPeers(const settings::EntrySettings& aSettings);
  void RegisterWatcher(const settings::EntrySettings& aSettings);
  void RegisterOrders(const settings::EntrySettings& aSettings);
  void RegisterTraffic(const settings::EntrySettings& aSettings);
  void WaitForOpenRequests();

  settings::EntrySettings mSettings;
  membership::Incarnation mSelf;
  kernel::Kernel mKernel;
};

} // namespace figslip::entry
