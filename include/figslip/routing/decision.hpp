#pragma once

#include <figslip/error/error_kind.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace figslip::routing {

/// @brief Reports to the caller whether an unanswered request was run.
enum class RunState
{
  NotRun,  ///< no byte of the request reached any upstream
  Unknown, ///< an upstream may have run the request
  Run      ///< an upstream has run the request
};

/// @brief Returns the name of a run state as sent in headers and error bodies.
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

/// @brief Identifies an attempt within one instance; never 0, never reused.
using AttemptId = std::uint64_t;

/// @brief Instructs the shell to start one attempt at an upstream.
struct Dispatch
{
  AttemptId mAttempt = 0;
  std::string mUpstream; ///< name of the upstream
  std::string mAddress;  ///< IP address
  int mPort = 0;
  std::string mVersion;          ///< version to run; empty for a plain service
  bool mFreshConnection = false; ///< pooled connections must not be used
  bool mIdempotent = true;       ///< the request may be sent more than once
  bool mStreamToCaller = false;  ///< stream tokens to the caller as they arrive
  TimePoint mDeadline;           ///< time at which the attempt is given up
};

/// @brief Instructs the shell to forward the request to an entry instance of
/// another failure domain.
struct Forward
{
  std::string mInstance; ///< name of the peer
  std::string mAddress;  ///< IP address of its caller port
  int mPort = 0;
  bool mMayHaveRun = false; ///< an earlier attempt may have run the request
};

/// @brief Instructs the shell to call `Router::Resume` once the request is
/// woken up, and no later than a given time.
struct Wait
{
  TimePoint mUntil;
};

/// @brief Instructs the shell to claim the idempotency key at the platform.
struct ClaimKey
{
  std::string mKey;
};

/// @brief Instructs the shell to return the answer of an attempt to the caller.
///
/// @note The attempt is 0 if the answer is that of the earlier request with
/// the same idempotency key.
struct Deliver
{
  AttemptId mAttempt = 0;
};

/// @brief Instructs the shell to refuse the request.
struct Refuse
{
  error::ErrorKind mKind;
  RunState mRun = RunState::NotRun;
  std::string mText;
};

/// @brief Holds the next step of a request, which the shell carries out.
using Decision =
  std::variant<Dispatch, Forward, Wait, ClaimKey, Deliver, Refuse>;

} // namespace figslip::routing
