#pragma once

#include <figslip/fairshare/demand_report.hpp>
#include <figslip/time/time_point.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figslip::fairshare {

/// @brief Hashes texts so that look-ups need no copy of the name.
struct NameHash
{
  using is_transparent = void;
  [[nodiscard]] std::size_t operator()(std::string_view aName) const
  {
    return std::hash<std::string_view>{}(aName);
  }
};

/// @brief Maps names to values; look-ups by string views allocate nothing.
template<typename Value>
using NameMap =
  std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// @brief Measures a rate with exponential decay.
class DecayingRate
{
public:
  /// Time after which an event counts for 1/e. A burst of some seconds is seen
  /// while it lasts and forgotten some seconds after its end.
  static constexpr Duration kTimeConstant = std::chrono::seconds(1);

  void Add(double aAmount, TimePoint aNow);
  /// @brief Takes back what was added; the rate does not fall below 0.
  void Subtract(double aAmount, TimePoint aNow);
  [[nodiscard]] double PerSecond(TimePoint aNow) const;

private:
  [[nodiscard]] double DecayedSum(TimePoint aNow) const;

  double mSum = 0.0;
  TimePoint mUpdatedAt;
};

/// @brief Measures the demand that arrives at this instance, by service and
/// account.
class DemandMeter
{
public:
  /// Time for which a service counts as short of capacity after a request had
  /// to wait or was rejected. Requests that are refused come back after a part
  /// of a second.
  static constexpr Duration kShortageHold = std::chrono::seconds(1);

  /// Accounts and services that are told apart, which bounds memory; all
  /// further accounts count as one, and further services are not measured.
  static constexpr std::size_t kMaxAccounts = 1'000;
  static constexpr std::size_t kMaxServices = 256;

  /// @brief Records that a request arrived.
  /// @param[in] aCost expected work; ignored unless finite and positive
  void OnOffered(std::string_view aService,
                 std::string_view aAccount,
                 double aCost,
                 TimePoint aNow);
  /// @brief Records that a request was admitted to an upstream.
  void OnAdmitted(std::string_view aService,
                  std::string_view aAccount,
                  double aCost,
                  TimePoint aNow);
  /// @brief Takes the admission of a request back, as an upstream rejected it.
  void OnRejected(std::string_view aService,
                  std::string_view aAccount,
                  double aCost,
                  TimePoint aNow);
  /// @brief Records that a request has to wait or was rejected for lack of
  /// capacity.
  void OnShortage(std::string_view aService, TimePoint aNow);

  /// @brief Forgets accounts without demand.
  void Expire(TimePoint aNow);

  /// @brief Returns whether a service is short of capacity at this instance.
  [[nodiscard]] bool IsShort(std::string_view aService, TimePoint aNow) const;
  /// @brief Lists the services that are short of capacity at this instance.
  [[nodiscard]] std::vector<std::string> ShortServices(TimePoint aNow) const;
  /// @brief Returns the demand of all accounts of a service.
  [[nodiscard]] std::vector<AccountDemand> DemandOf(std::string_view aService,
                                                    TimePoint aNow) const;

private:
  struct Account
  {
    DecayingRate mOffered;
    DecayingRate mServed;
  };

  struct Service
  {
    std::optional<TimePoint> mShortAt; ///< last time; empty: never
    NameMap<Account> mAccounts;
  };

  [[nodiscard]] Service* ServiceOf(std::string_view aService);
  void Record(std::string_view aService,
              std::string_view aAccount,
              double aCost,
              TimePoint aNow,
              DecayingRate Account::* aRate);

  NameMap<Service> mServices;
};

/// @brief Makes the entry of a report from the demand of all accounts.
[[nodiscard]] ServiceDemand
SummarizeDemand(std::string aService,
                bool aIsShort,
                std::vector<AccountDemand> aAccounts);

} // namespace figslip::fairshare
