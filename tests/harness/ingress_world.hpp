#pragma once

#include <harness/engine_stand_in.hpp>
#include <harness/process.hpp>
#include <harness/relay.hpp>
#include <harness/store_stand_in.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figslip::test {

/// Holds what a caller got.
struct CallerAnswer
{
  int mStatus = 0;   ///< 0: none
  std::string mHead; ///< status line and headers
  std::string mBody; ///< decoded
  bool mIsWhole = false;
  bool mCloses = false;   ///< the connection ended after it
  bool mHasExtra = false; ///< bytes came after its end
};

/// Holds one caller's connection to an instance.
class CallerLink
{
public:
  /// @param[in] aPort port of the instance; see `IsOpen`
  explicit CallerLink(int aPort);
  CallerLink(const CallerLink&) = delete;
  CallerLink& operator=(const CallerLink&) = delete;
  ~CallerLink();

  [[nodiscard]] bool IsOpen() const { return mIsOpen; }

  /// Sends bytes and reads one answer.
  [[nodiscard]] CallerAnswer Exchange(const std::string& aBytes,
                                      std::chrono::milliseconds aPatience);

private:
  int mDescriptor = -1;
  bool mIsOpen = false;
};

/// Runs instances of figslip before stand-ins of the store and of engines.
class IngressWorld
{
public:
  struct Options
  {
    int mInstances = 1;
    int mEngines = 2;
    /// puts relays before the engines, and before the store of each instance
    bool mIsRelayed = false;
    int mMemoryMb = 256; ///< in the settings of each instance
    /// lets instances control overload and exchange demand, each at a loopback
    /// address of its own and all at the same port; the first at 127.0.0.1
    bool mOverloadControl = false;
    int mEngineSlots = 8;
    /// failure domains of the instances, in turn
    std::vector<std::string> mDomains = { "a" };
    std::string mEngineDomain = "a";
    /// lets instances hand requests over, each at a loopback address of its own
    bool mHandsOver = false;
    /// puts relays of its own before the engines for each instance; see
    /// `OwnRelay`. Instances must be in different failure domains, as they copy
    /// the addresses from each other otherwise.
    bool mHasOwnRelays = false;
    /// API key of a second account, "school"; empty: there is none
    std::string mSchoolKey;
    int mMaxDescriptors = 1024;
    int mMaxHeaderBytes = 4096; ///< of a caller's request; in configurations
    int mMaxBodyBytes = 2048;
    int mIdleTimeoutMs = 2000;
    /// in the settings: instances up to which each publishes its records
    int mMaxDirectPublishers = 10;
  };

  /// Keeps a port from other test programs; empty if another one has it.
  using PortClaim = std::shared_ptr<void>;

  IngressWorld()
    : IngressWorld(Options{})
  {
  }
  explicit IngressWorld(Options aOptions);

  [[nodiscard]] StoreStandIn& Store() { return mStore; }
  [[nodiscard]] EngineStandIn& Engine(std::size_t aIndex)
  {
    return *mEngines.at(aIndex);
  }
  [[nodiscard]] Process& Instance(std::size_t aIndex)
  {
    return *mInstances.at(aIndex).mProcess;
  }
  /// Returns the relay before an engine.
  [[nodiscard]] Relay& EngineRelay(std::size_t aIndex)
  {
    return *mEngineRelays.at(aIndex);
  }
  /// Returns the relay between an instance and an engine.
  [[nodiscard]] Relay& OwnRelay(std::size_t aInstance, std::size_t aEngine)
  {
    return *mOwnRelays.at(aInstance).at(aEngine);
  }
  /// Sets the mode of all relays between an instance and the engines.
  void SetWayToEngines(std::size_t aInstance, Relay::Mode aMode);
  /// Returns the relay between an instance and the store.
  [[nodiscard]] Relay& StoreRelay(std::size_t aIndex)
  {
    return *mStoreRelays.at(aIndex);
  }
  [[nodiscard]] int CallerPort(std::size_t aIndex) const
  {
    return mInstances.at(aIndex).mCallerPort;
  }
  /// Returns the port at which all instances exchange demand.
  [[nodiscard]] int ExchangePort() const { return mExchangePort; }
  [[nodiscard]] int ReadinessPort(std::size_t aIndex) const
  {
    return mInstances.at(aIndex).mReadinessPort;
  }
  [[nodiscard]] int MetricsPort(std::size_t aIndex) const
  {
    return mInstances.at(aIndex).mMetricsPort;
  }
  [[nodiscard]] int PeersPort(std::size_t aIndex) const
  {
    return mInstances.at(aIndex).mPeersPort;
  }
  /// Returns the most memory that the process of an instance has held, MB.
  [[nodiscard]] double PeakMemoryMb(std::size_t aIndex);
  /// Counts the sockets that the process of an instance holds open.
  [[nodiscard]] int OpenSockets(std::size_t aIndex);
  void Restart(std::size_t aIndex);
  /// Starts an instance without waiting until it is ready.
  void Start(std::size_t aIndex);
  /// Waits until an instance accepts connections of callers.
  [[nodiscard]] bool WaitForListener(std::size_t aIndex);

  /// Lets the last engine serve look-ups, as a service of its own, in the
  /// configurations that are written from now on.
  void MoveLookups();
  /// Writes the configuration; each one has a higher version.
  void PutConfiguration(const std::vector<std::string>& aKeys)
  {
    PutConfiguration(aKeys, mStore);
  }
  void PutConfiguration(const std::vector<std::string>& aKeys,
                        StoreStandIn& aStore);
  /// Changes a field in the settings of an instance, without a signal.
  void ChangeSetting(std::size_t aIndex,
                     const std::string& aField,
                     const nlohmann::json& aValue);
  void PutEngine(std::size_t aIndex,
                 const std::string& aState = "ready",
                 const std::string& aVersion = "v1")
  {
    PutEngine(aIndex, aState, aVersion, mStore);
  }
  void PutEngine(std::size_t aIndex,
                 const std::string& aState,
                 const std::string& aVersion,
                 StoreStandIn& aStore);
  /// Registers an engine as started anew under the id that it had.
  void RestartEngine(std::size_t aIndex)
  {
    ++mEngineStarts.at(aIndex);
    PutEngine(aIndex);
  }

  /// Waits until an instance says that it is ready, or not.
  [[nodiscard]] bool WaitForReady(std::size_t aIndex, bool aReady = true);

  /// Sends bytes to an instance and reads one answer.
  [[nodiscard]] CallerAnswer SendRaw(
    std::size_t aIndex,
    const std::string& aBytes,
    std::chrono::milliseconds aPatience = std::chrono::seconds(8));
  /// Returns the bytes of a proper request.
  [[nodiscard]] static std::string FormatCall(const std::string& aMethod,
                                              const std::string& aPath,
                                              const std::string& aAttempt,
                                              const std::string& aKey);
  /// Sends a proper request.
  [[nodiscard]] CallerAnswer Send(std::size_t aIndex,
                                  const std::string& aMethod,
                                  const std::string& aPath,
                                  const std::string& aAttempt,
                                  const std::string& aKey = "key-1");

  /// Counts the runs on all engines by request.
  [[nodiscard]] std::map<std::string, int> CountRuns();
  /// Counts the runs of a request on all engines.
  [[nodiscard]] int RunsOf(const std::string& aAttempt);

private:
  /// Returns the port of the store for an instance, behind the relays that it
  /// has.
  [[nodiscard]] int MakeStorePort();
  /// Returns the port at which an engine is registered.
  [[nodiscard]] int PortOfEngine(std::size_t aIndex) const;

  struct Running
  {
    int mCallerPort = 0;
    int mReadinessPort = 0;
    int mMetricsPort = 0;
    int mPeersPort = 0;
    std::vector<PortClaim> mPortClaims;
    std::string mSettings;
    std::unique_ptr<Process> mProcess;
  };

  Options mOptions;
  StoreStandIn mStore;
  std::vector<std::unique_ptr<EngineStandIn>> mEngines;
  std::vector<std::unique_ptr<Relay>> mEngineRelays; ///< empty: none
  std::vector<std::unique_ptr<Relay>> mStoreRelays;  ///< empty: none
  /// by instance and engine; empty: none
  std::vector<std::vector<std::unique_ptr<Relay>>> mOwnRelays;
  std::vector<Running> mInstances;
  std::vector<PortClaim> mExchangeClaim;
  int mExchangePort = 0;
  int mHandOverPort = 0;
  std::deque<std::atomic<int>> mEngineStarts; ///< by engine
  int mVersion = 0;
  bool mHasMovedLookups = false;
};

} // namespace figslip::test
