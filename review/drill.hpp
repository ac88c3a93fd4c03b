#pragma once

#include "stand_ins.hpp"

#include <atomic>

/// @brief What the cases on the drill of the store have in common.
namespace review {

constexpr long long kContactMs = 3'000;     ///< contact_ms of the sheets
constexpr long long kConfigApplyMs = 2'000; ///< config_apply_ms
constexpr long long kRevokeMs = 5'000;      ///< revoke_ms
constexpr long long kEvacuationMs = 5'000;  ///< evacuation_ms
constexpr long long kExtensionMs = 5'000;   ///< max_extension_ms

/// Time for which the store is away in a drill.
constexpr long long kAwayMs = 1'000;

/// Time after which the core is stable again and calm machines are in touch.
constexpr long long kCalmMs = kContactMs + 1'000;

/// Returns a route of a configuration.
inline json
RouteOf(const std::string& aName, const std::string& aService, bool aIsPublic)
{
  return { { "name", aName },
           { "host", "figslip.example" },
           { "path_prefix", "/" + aName + "/" },
           { "type", "non_idempotent" },
           { "timeout_ms", 1'500 },
           { "target_latency_ms", 150 },
           { "priority", 0 },
           { "service", aService },
           { "max_attempts", 3 },
           { "public", aIsPublic } };
}

inline json
ServiceOf(const std::string& aName)
{
  return { { "name", aName },
           { "health_path", "/healthz" },
           { "max_connections", 110 },
           { "cold_start_s", 0.0 },
           { "cold_per_s", 0.0 } };
}

inline json
AccountOf(const std::string& aName, const std::vector<std::string>& aKeys)
{
  return { { "name", aName }, { "api_keys", aKeys }, { "priority", 1 } };
}

inline json
ConfigurationOf(int aVersion, json aRoutes, json aServices, json aAccounts)
{
  return { { "version", aVersion },
           { "routes", std::move(aRoutes) },
           { "services", std::move(aServices) },
           { "limits",
             { { "max_header_bytes", 16'384 },
               { "max_body_bytes", 4'194'304 },
               { "header_timeout_ms", 3'000 },
               { "idle_timeout_ms", 15'000 } } },
           { "tenants", std::move(aAccounts) } };
}

/// @brief Sends requests to an instance, one after the other, in a thread.
class Client
{
public:
  struct Sent
  {
    long long mAt = 0;
    std::string mKind;
  };

  /// A request that is sent in turn.
  struct Kind
  {
    std::string mName;
    std::string mTarget;
    std::string mKey;
  };

  Client(Record& aRecord, const Instance& aInstance, std::vector<Kind> aKinds)
    : mRecord(aRecord)
    , mInstance(aInstance)
    , mKinds(std::move(aKinds))
    , mThread([this] { Run(); })
  {
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() { Stop(); }

  void Stop()
  {
    mIsOver = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /// Returns what was sent, by attempt. Call it after `Stop`.
  [[nodiscard]] const std::map<std::string, Sent>& AllSent() const
  {
    return mSent;
  }
  [[nodiscard]] int Served() const { return mServed; }

private:
  void Run()
  {
    for (int number = 1; !mIsOver; ++number) {
      const auto& kind =
        mKinds[static_cast<std::size_t>(number) % mKinds.size()];
      const auto attempt =
        mInstance.Name() + "-" + kind.mName + "-" + std::to_string(number);
      mSent[attempt] = { .mAt = Now(), .mKind = kind.mName };
      mRecord.Write("client: sends " + attempt);
      const auto answer =
        Exchange(mInstance.CallerPort(),
                 FormatCall("POST", kind.mTarget, attempt, kind.mKey),
                 3'000);
      mServed += answer.Status() == 200 ? 1 : 0;
      mRecord.Write("client: " + attempt + " answered " +
                    std::to_string(answer.Status()));
      SleepFor(60);
    }
  }

  Record& mRecord;
  const Instance& mInstance;
  std::vector<Kind> mKinds;
  std::map<std::string, Sent> mSent;
  std::atomic<int> mServed{ 0 };
  std::atomic<bool> mIsOver{ false };
  std::thread mThread;
};

/// Starts instances, in failure domains in turn, and waits until all are ready.
inline std::vector<std::unique_ptr<Instance>>
StartInstances(const Store& aStore,
               const TemporaryFolder& aFolder,
               int aCount,
               const std::vector<std::string>& aZones)
{
  std::vector<std::unique_ptr<Instance>> instances;
  for (int number = 0; number < aCount; ++number) {
    instances.push_back(std::make_unique<Instance>(Instance::Options{
      .mName = "edge-" + std::to_string(number + 1),
      .mZone = aZones[static_cast<std::size_t>(number) % aZones.size()],
      .mZones = aZones,
      .mStore = aStore.Place(),
      .mFolder = aFolder.Path() }));
  }
  for (const auto& instance : instances) {
    if (!instance->WaitForReady(10'000)) {
      throw std::runtime_error("an instance does not get ready");
    }
  }
  return instances;
}

/// Sends the kinds of requests to each instance.
inline std::vector<std::unique_ptr<Client>>
StartClients(Record& aRecord,
             const std::vector<std::unique_ptr<Instance>>& aInstances,
             const std::vector<Client::Kind>& aKinds)
{
  std::vector<std::unique_ptr<Client>> clients;
  for (const auto& instance : aInstances) {
    clients.push_back(std::make_unique<Client>(aRecord, *instance, aKinds));
  }
  return clients;
}

/// Returns whether each client was served.
inline bool
AllServed(const std::vector<std::unique_ptr<Client>>& aClients)
{
  for (const auto& client : aClients) {
    if (client->Served() == 0) {
      return false;
    }
  }
  return true;
}

/// Returns when and as what an attempt was sent.
inline std::optional<Client::Sent>
FindSent(const std::vector<std::unique_ptr<Client>>& aClients,
         const std::string& aAttempt)
{
  for (const auto& client : aClients) {
    const auto found = client->AllSent().find(aAttempt);
    if (found != client->AllSent().end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace review
