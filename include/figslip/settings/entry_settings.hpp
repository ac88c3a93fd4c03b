#pragma once

#include <figslip/error/result.hpp>
#include <figslip/http/http_message.hpp>
#include <figslip/session/session_token.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::settings {

/// @brief Holds the settings of one entry daemon.
struct EntrySettings
{
  std::string mInstance;      ///< unique name of the instance
  std::string mFailureDomain; ///< failure domain of the instance
  std::string mAddress;       ///< IP number to listen on
  int mCallerPort = 0;        ///< TCP port for callers; 0: system's choice
  int mPeerPort = 0;          ///< TCP port for peers; 0: system's choice
  http::Endpoint mPlatform;   ///< the platform's API
  std::vector<session::SigningKey> mSessionKeys; ///< the signing one first
  int mTrafficThreads = 64;                 ///< requests served at a time, >= 1
  std::int64_t mMaxBodyBytes = 1 << 20;     ///< longest request body, bytes
  std::int64_t mMaxQueue = 1000;            ///< requests waiting for capacity
  std::int64_t mDefaultDeadlineMs = 30'000; ///< without a deadline header
  std::int64_t mFirstTokenTimeoutMs = 10'000;
  std::int64_t mNextTokenTimeoutMs = 2'000;
  std::int64_t mDrainDelayMs = 1'000; ///< balancer's lag before a stop
  double mRatingShare = 1.0;      ///< share of answers sent to be rated, [0, 1]
  std::string mLogLevel = "info"; ///< `debug`, `info`, `warning` or `error`
};

/// @brief Parses and checks the settings of an entry daemon.
/// @param[in] aText the JSON text
/// @return the settings, or all findings, each with its JSON pointer
[[nodiscard]] Result<EntrySettings>
ParseEntrySettings(std::string_view aText);

} // namespace figslip::settings
