#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace figslip::routing {

/// @brief Identifies the target of a chat request.
struct ChatTarget
{
  std::string mName;     ///< name of a cascade, a model or a version
  std::string mTaskKind; ///< class of similar difficulty; may be empty
  bool mStream = false;  ///< whether the answer is streamed to the caller
};

/// @brief Identifies an operation of a plain service.
struct ServiceTarget
{
  std::string mService;
  std::string mOperation;
};

/// @brief Holds the target of a chat request or of a plain service.
using Target = std::variant<ChatTarget, ServiceTarget>;

/// @brief Binds a session to one version.
struct SessionPin
{
  std::string mAccount; ///< client account that owns the session
  std::string mTarget;  ///< chat target of the first request of the session
  std::string mVersion; ///< version that serves the session

  bool operator==(const SessionPin&) const = default;
};

/// @brief Lists the priorities of requests, most urgent first.
enum class Priority
{
  Interactive,
  Normal,
  Batch
};

/// @brief Identifies an open request of one instance; assigned by the shell.
using TicketId = std::uint64_t;

/// @brief Holds the properties of a request that routing decisions depend on.
struct Request
{
  std::string mId; ///< unique per caller request; retries carry the same id
  std::string mAccount;
  Target mTarget;
  std::optional<SessionPin> mSession; ///< verified pin; empty if none was sent
  TimePoint mDeadline;
  Priority mPriority = Priority::Normal;
  std::string mIdempotencyKey;      ///< UUIDv7 text; empty if none was given
  std::uint64_t mFingerprint = 0;   ///< hash of account and body
  std::uint64_t mPrefixHash = 0;    ///< hash of the prompt prefix; 0 if none
  std::int64_t mExpectedTokens = 0; ///< upper bound on the tokens of the answer
  bool mForwarded = false;          ///< a peer sent it; not forwarded again
};

} // namespace figslip::routing
