#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace figslip::routing {

/// @brief Names what a chat request asks for.
struct ChatTarget
{
  std::string mName;     ///< a cascade, a model or a version
  std::string mTaskKind; ///< groups requests of like difficulty; may be empty
  bool mStream = false;  ///< whether the caller reads the answer as it grows
};

/// @brief Names an operation of a plain service.
struct ServiceTarget
{
  std::string mService;
  std::string mOperation;
};

/// @brief Holds either kind of target.
using Target = std::variant<ChatTarget, ServiceTarget>;

/// @brief Names the version that a session stays on.
struct SessionPin
{
  std::string mAccount; ///< client account that owns the session
  std::string mTarget;  ///< the chat target of the first request
  std::string mVersion; ///< version that the session keeps

  bool operator==(const SessionPin&) const = default;
};

/// @brief Lists the priorities of requests, the most urgent first.
enum class Priority
{
  Interactive,
  Normal,
  Batch
};

/// @brief Numbers the open requests of one instance; assigned by the shell.
using TicketId = std::uint64_t;

/// @brief Holds all facts of a request that decisions depend on.
struct Request
{
  std::string mId; ///< unique per caller request; repeats carry the same id
  std::string mAccount;
  Target mTarget;
  std::optional<SessionPin> mSession; ///< verified pin, if the caller sent one
  TimePoint mDeadline;
  Priority mPriority = Priority::Normal;
  std::string mIdempotencyKey;      ///< UUIDv7 text; empty if none was given
  std::uint64_t mFingerprint = 0;   ///< hash of account and body
  std::uint64_t mPrefixHash = 0;    ///< hash of the prompt prefix; 0 if none
  std::int64_t mExpectedTokens = 0; ///< bound on the tokens of the answer
  bool mForwarded = false; ///< came from a peer; is not forwarded again
};

} // namespace figslip::routing
