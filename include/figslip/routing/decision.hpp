#pragma once

#include <figslip/error/error_kind.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace figslip::routing {

/// @brief States what a caller may assume about a request without an answer.
enum class RunState
{
  NotRun,  ///< no byte of the request reached any upstream
  Unknown, ///< an upstream may have run the request
  Run      ///< an upstream has run the request
};

/// @brief Returns the name that headers and error bodies use.
[[nodiscard]] constexpr std::string_view
NameOf(RunState aState)
{
  switch (aState) {
    case RunState::NotRun:
      return "not_run";
    case RunState::Run:
      return "run";
    case RunState::Unknown:
      break;
  }
  return "unknown";
}

/// @brief Numbers the attempts of one instance; never 0, never used again.
using AttemptId = std::uint64_t;

/// @brief Orders one attempt at an upstream.
struct Dispatch
{
  AttemptId mAttempt = 0;
  std::string mUpstream; ///< name of the upstream
  std::string mAddress;  ///< IP number
  int mPort = 0;
  std::string mVersion;          ///< version to run; empty for plain services
  bool mFreshConnection = false; ///< no pooled connection may be used
  bool mIdempotent = true;       ///< the request is idempotent
  bool mStreamToCaller = false;  ///< stream tokens to the caller as they come
  TimePoint mDeadline;           ///< end of the time for this attempt
};

/// @brief Orders to hand the request to an entry of another failure domain.
struct Forward
{
  std::string mInstance; ///< name of the peer
  std::string mAddress;  ///< IP number of its caller port
  int mPort = 0;
  bool mMayHaveRun = false; ///< an earlier attempt may have run the request
};

/// @brief Orders to wait until woken, or until a time, and to ask again.
struct Wait
{
  TimePoint mUntil;
};

/// @brief Orders to claim the idempotency key at the platform.
struct ClaimKey
{
  std::string mKey;
};

/// @brief Orders to give the last attempt's answer to the caller.
struct Deliver
{
  AttemptId mAttempt = 0;
};

/// @brief Orders to refuse the request.
struct Refuse
{
  error::ErrorKind mKind;
  RunState mRun = RunState::NotRun;
  std::string mText;
};

/// @brief Holds the next step of a request.
using Decision =
  std::variant<Dispatch, Forward, Wait, ClaimKey, Deliver, Refuse>;

} // namespace figslip::routing
