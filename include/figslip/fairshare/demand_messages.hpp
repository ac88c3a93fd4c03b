#pragma once

#include <figslip/error/result.hpp>
#include <figslip/fairshare/demand_table.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::fairshare {

/// Largest message, bytes: the reports of more than a hundred instances on two
/// services.
inline constexpr std::size_t kMaxMessageBytes = 262'144;

/// Parts of a message that reports and sequences may take, bytes; some are left
/// for what encloses them. Without the sequence of an instance, a report that
/// is known already may be sent.
inline constexpr std::size_t kMaxReportBytes = 204'800;
inline constexpr std::size_t kMaxKnownBytes = 56'320;

/// @brief Passes recent reports on and asks for others.
struct DemandPush
{
  DemandTable::Digest mKnown;
  std::vector<AgedReport> mReports;

  bool operator==(const DemandPush&) const = default;
};

/// @brief Holds reports that the other side does not know.
struct DemandAnswer
{
  std::vector<AgedReport> mReports;

  bool operator==(const DemandAnswer&) const = default;
};

/// @name Translation to and from Thrift's compact protocol
/// Bytes that are no such message, or too many, are a finding. Reports are not
/// checked; see `CheckReport`.
/// @{
[[nodiscard]] std::string
EncodePush(const DemandPush& aPush);
[[nodiscard]] Result<DemandPush>
DecodePush(std::string_view aBytes);
[[nodiscard]] std::string
EncodeAnswer(const DemandAnswer& aAnswer);
[[nodiscard]] Result<DemandAnswer>
DecodeAnswer(std::string_view aBytes);
/// @}

} // namespace figslip::fairshare
