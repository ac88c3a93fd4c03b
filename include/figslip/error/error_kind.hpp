#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace figslip::error {

/// @brief Lists every kind of error that figslip reports.
///
/// Each kind has a stable number, a topic and a name (see `Describe`). Numbers
/// are never used again. docs/ERRORS.md has an entry for each.
enum class ErrorKind
{
  // manifest
  MalformedJson,
  WrongType,
  UnknownField,
  DuplicateField,
  DuplicateName,
  DanglingReference,
  OutOfRange,
  MissingField,
  UnknownName,
  LowerGeneration,
  // settings
  UnreadableFile,
  BadSetting,
  // request
  MalformedBody,
  UnknownAccount,
  NotAllowed,
  UnknownTarget,
  ForgedSession,
  BodyTooLarge,
  DeadlineExpired,
  MissingHeader,
  BadHeader,
  NoCapacity,
  Quarantined,
  UpstreamFailed,
  KeyExpired,
  KeyInUse,
  ClaimUnavailable,
  NotReady,
  Draining,
  VersionWithdrawn,
  NoUpstream,
  WrongMethod,
  // platform
  PlatformUnavailable,
  PlatformConflict,
  PlatformOutcomeUnknown,
  PlatformMalformed,
  // transport
  ConnectFailed,
  ReadFailed,
  TimedOut,
  MalformedMessage,
  // ledger and report
  MalformedRecord,
};

/// @brief Holds the stable description of one error kind.
struct ErrorDescription
{
  ErrorKind mKind;         ///< the kind described
  int mNumber;             ///< the stable number, 100 to 999
  std::string_view mTopic; ///< the topic, as in `manifest`
  std::string_view mName;  ///< the name, as in `duplicate_name`
};

/// @brief Returns the descriptions of all error kinds, by rising number.
[[nodiscard]] std::span<const ErrorDescription>
AllErrors();

/// @brief Returns the description of an error kind.
/// @param[in] aKind the kind to describe
/// @return the entry of the table of kinds
[[nodiscard]] const ErrorDescription&
Describe(ErrorKind aKind);

/// @brief Finds an error kind by its number.
/// @param[in] aNumber the stable number
/// @return the description, or nothing where no kind has that number
[[nodiscard]] std::optional<ErrorDescription>
FindErrorByNumber(int aNumber);

} // namespace figslip::error
