#pragma once

#include <figslip/error/result.hpp>

#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace figslip::kernel {

/// @brief Describes a service to the kernel.
struct ServiceSpec
{
  std::string mName;                    ///< unique name
  std::vector<std::string> mDependsOn;  ///< services started before this one
  std::function<Result<void>()> mStart; ///< may be empty
  std::function<void()> mStop;          ///< may be empty
};

/// @brief Holds services by name and starts and stops them in order.
///
/// Services are registered before `Start` and find each other with `Find`.
/// Start follows the dependencies; stop runs in the reverse order of start, so
/// that every service may use its dependencies until it has stopped itself.
class Kernel
{
public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;
  ~Kernel() { Stop(); }

  /// @brief Registers a service; its name must be new.
  template<typename Service>
  void Register(ServiceSpec aSpec, std::shared_ptr<Service> aService)
  {
    auto name = aSpec.mName;
    Add(std::move(aSpec));
    mObjects.insert_or_assign(std::move(name),
                              Object{ typeid(Service), std::move(aService) });
  }

  /// @brief Finds a service by name.
  /// @return the service; its name and type must be as registered
  template<typename Service>
  [[nodiscard]] std::shared_ptr<Service> Find(std::string_view aName) const
  {
    const auto found = mObjects.find(aName);
    assert(found != mObjects.end());
    assert(found->second.mType == typeid(Service));
    return std::static_pointer_cast<Service>(found->second.mService);
  }

  /// @brief Starts all services in the order of their dependencies.
  /// @return findings where a dependency is missing or circular, or a service
  /// does not start; services started before that are stopped again
  Result<void> Start();

  /// @brief Stops all started services in reverse order; may be repeated.
  void Stop();

private:
  struct Object
  {
    std::type_index mType;
    std::shared_ptr<void> mService;
  };

  void Add(ServiceSpec aSpec);
  [[nodiscard]] Result<std::vector<const ServiceSpec*>> Order() const;

  std::vector<ServiceSpec> mSpecs;
  std::map<std::string, Object, std::less<>> mObjects;
  std::vector<const ServiceSpec*> mStarted;
};

} // namespace figslip::kernel
