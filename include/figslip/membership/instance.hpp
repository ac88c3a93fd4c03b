#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace figslip::membership {

/// @brief Lists the states of an instance in the platform's instance list.
enum class InstanceState
{
  Live,
  Leaving
};

/// @brief Identifies one run of an instance: a restart changes it.
struct Incarnation
{
  std::string mInstance;       ///< name of the instance
  std::int64_t mStartedAt = 0; ///< start of the process, Unix milliseconds

  auto operator<=>(const Incarnation&) const = default;
};

/// @brief Describes an instance that receives requests of callers.
struct EntryInstance
{
  std::string mName;
  std::string mFailureDomain;
  std::string mAddress; ///< IP number
  int mCallerPort = 0;  ///< TCP port for callers and forwarded requests
  int mPeerPort = 0;    ///< TCP port of the peer protocol
  InstanceState mState = InstanceState::Live;

  bool operator==(const EntryInstance&) const = default;
};

/// @brief Holds the instance list as last received from the platform.
struct InstanceList
{
  std::vector<EntryInstance> mEntries;
  std::vector<std::string> mLeavingUpstreams; ///< names of upstreams

  bool operator==(const InstanceList&) const = default;
};

} // namespace figslip::membership
