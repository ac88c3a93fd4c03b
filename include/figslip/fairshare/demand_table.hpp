#pragma once

#include <figslip/fairshare/demand_report.hpp>
#include <figslip/time/time_point.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::fairshare {

/// @brief Holds a report with the time since its measurement.
struct AgedReport
{
  DemandReport mReport;
  Duration mAge{};

  bool operator==(const AgedReport&) const = default;
};

/// @brief Lists what can become of a report from another instance.
enum class ReportOutcome
{
  Accepted, ///< newer than the one that was known
  Known,    ///< not newer
  Expired,  ///< too old to be used, or of an impossible age
  Own,      ///< of this instance, which knows better
  Stranger, ///< of an instance that is not registered
  Invalid   ///< against the bounds of a report
};

/// @brief Names the outcomes, as in metrics.
inline constexpr auto kReportOutcomes =
  std::to_array<std::pair<ReportOutcome, std::string_view>>(
    { { ReportOutcome::Accepted, "accepted" },
      { ReportOutcome::Known, "known" },
      { ReportOutcome::Expired, "expired" },
      { ReportOutcome::Own, "own" },
      { ReportOutcome::Stranger, "stranger" },
      { ReportOutcome::Invalid, "invalid" } });

/// @brief Holds the newest report of each instance.
class DemandTable
{
public:
  /// Sequences of the newest reports by instance.
  using Digest = std::map<std::string, std::int64_t>;

  /// Bound on the age of a report by the name of its instance.
  using MaxAgeOf = std::function<Duration(const std::string&)>;

  struct Entry
  {
    DemandReport mReport;
    TimePoint mMeasuredAt;
  };

  /// @param[in] aInstance name of this instance
  explicit DemandTable(std::string aInstance)
    : mInstance(std::move(aInstance))
  {
  }

  /// @brief Replaces the registered instances; bounds the size of the table.
  void OnInstances(std::set<std::string> aInstances);
  /// @brief Replaces the report of this instance.
  void PutOwn(DemandReport aReport, TimePoint aNow);
  /// @brief Takes a report over if it is newer than the one that is known.
  /// @param[in] aReceivedAt time to which the age refers
  [[nodiscard]] ReportOutcome Merge(AgedReport aReport,
                                    TimePoint aReceivedAt,
                                    TimePoint aNow);
  /// @brief Removes the reports that are too old to be used.
  void Expire(TimePoint aNow);

  /// @brief Returns the reports by instance, with that of this instance.
  [[nodiscard]] const std::map<std::string, Entry>& Entries() const
  {
    return mEntries;
  }
  [[nodiscard]] Digest Sequences() const;
  /// @brief Returns reports that are newer than those of a digest.
  /// @param[in] aMaxAgeOf greatest age, by name of the instance, up to which a
  ///            report of another instance is contained
  /// @param[in] aMaxBytes bound of the encoded size; the report of this
  ///            instance is the first, then the newest ones
  [[nodiscard]] std::vector<AgedReport> NewerThan(const Digest& aKnown,
                                                  const MaxAgeOf& aMaxAgeOf,
                                                  std::size_t aMaxBytes,
                                                  TimePoint aNow) const;

private:
  std::string mInstance;
  std::set<std::string> mInstances; ///< registered
  std::map<std::string, Entry> mEntries;
};

} // namespace figslip::fairshare
