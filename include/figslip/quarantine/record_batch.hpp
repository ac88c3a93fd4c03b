#pragma once

#include <figslip/error/result.hpp>
#include <figslip/quarantine/part_quarantine.hpp>
#include <figslip/quarantine/quarantine.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::quarantine {

/// @brief Largest message with records that an instance accepts, bytes.
inline constexpr std::size_t kMaxRecordMessageBytes = 262'144;

/// @brief Most records in a message; all parts that were served are one.
inline constexpr std::size_t kMaxMessageRecords = 64;

/// @brief Most parts in a message, suspected and served. In JSON one takes at
/// most 19 bytes, so that these fill about half of the largest message; the
/// other half is for the names of upstreams.
inline constexpr std::size_t kMaxMessageParts = 6'000;

/// @brief Holds what an instance has to publish about crashes.
struct RecordBatch
{
  std::vector<CrashReport> mReports; ///< of whole requests
  std::vector<CrashSuspects> mSuspects;
  std::vector<PartId> mServed;
  /// names of the crash records to remove, as their request was served
  std::vector<std::string> mWithdrawn;

  [[nodiscard]] bool IsEmpty() const { return RecordCount() == 0; }

  /// @brief Returns the number of records; all served parts are one.
  [[nodiscard]] std::size_t RecordCount() const
  {
    return mReports.size() + mSuspects.size() + mWithdrawn.size() +
           (mServed.empty() ? 0 : 1);
  }

  /// @brief Returns the number of parts, suspected and served.
  [[nodiscard]] std::size_t PartCount() const;
};

/// @brief Passes records to the instance that the sender follows.
struct RecordMessage
{
  std::string mInstance; ///< sender
  RecordBatch mBatch;    ///< the times of its reports are not sent
};

/// @brief Formats a message as JSON.
[[nodiscard]] std::string
FormatRecordMessage(const RecordMessage& aMessage);

/// @brief Parses a message.
/// @return a finding if it is malformed, empty or over a bound
[[nodiscard]] Result<RecordMessage>
ParseRecordMessage(std::string_view aText);

} // namespace figslip::quarantine
