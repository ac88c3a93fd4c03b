#pragma once

#include <figslip/fairshare/demand_messages.hpp>
#include <figslip/fairshare/demand_meter.hpp>
#include <figslip/fairshare/demand_table.hpp>
#include <figslip/membership/instance_location.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::fairshare {

/// @brief Holds an account that demands more than its share of a service.
struct OverShare
{
  std::string mAccount;
  double mDemand = 0.0;     ///< cost per second, over all instances
  double mAllocation = 0.0; ///< its share of the capacity, cost per second
};

/// @brief Holds the accounts over their share of a service, for a log line.
struct ShareChange
{
  std::string mService;
  double mCapacity = 0.0; ///< of all instances, cost per second
  std::vector<OverShare> mAccounts;
};

/// @brief Tells how the capacity of a service is shared among the client
/// accounts of all instances.
///
/// An account over its share gets a lower weight at instances where more of its
/// demand arrives than its share allows there. No other weight changes, so an
/// account over its share never gets more than with equal weights, and the
/// others never get less.
class FairShares
{
public:
  struct Options
  {
    std::string mInstance; ///< name of this instance
    /// failure domain of this instance; empty: unknown, all instances count as
    /// of one
    std::string mFailureDomain;
    bool mIsEnabled = true;
    /// start of the process in microseconds since the Unix epoch; a later
    /// process of the same name begins with a higher sequence
    std::int64_t mFirstSequence = 1;
  };

  /// Number of reports of a message by what became of them.
  using Outcomes = std::map<ReportOutcome, int>;

  /// Time between two calculations of shares and between two own reports: two a
  /// second, as processor time is dear on small instances.
  static constexpr Duration kInterval = std::chrono::milliseconds(500);

  /// Time after the begin of a shortage in which the shares are calculated at
  /// each tick. The rates of a burst are measured and reported in it; until an
  /// account is known to be over its share, it uses what others are entitled
  /// to.
  static constexpr Duration kOnset = std::chrono::seconds(2);

  /// Time for which an instance takes part in the exchange after it has heard
  /// of a shortage elsewhere.
  static constexpr Duration kHearsayHold = std::chrono::seconds(5);

  /// Age up to which reports of others are sent without being asked for. Older
  /// ones are sent to those that lack them. With 82 instances this sends a
  /// third of the reports that sending all of them does, and reports are 0.06 s
  /// older.
  static constexpr Duration kPushAge = std::chrono::milliseconds(250);

  /// Other instances that are asked in a round of the exchange.
  static constexpr std::ptrdiff_t kPartnersPerRound = 2;

  /// Calls to other failure domains that the instances of one make together in
  /// a round, on average. With 82 instances in 3 failure domains this sends
  /// 0.21 of the bytes between them that a choice without regard to them does,
  /// and reports are 0.15 s older; with 3, 0.16 of the bytes and 0.35 s.
  static constexpr double kForeignCalls = 4.0;

  /// Age up to which reports of the own failure domain are sent to another one
  /// without being asked for, so that a failure domain whose calls fail learns
  /// what others demand: two rounds, in which a report reaches most of its own
  /// failure domain.
  static constexpr Duration kForeignPushAge = std::chrono::seconds(1);

  /// Time between two changes of a service that are told to operators, and
  /// after which accounts that stay over their share are told again, with their
  /// present demand.
  static constexpr Duration kChangeInterval = std::chrono::seconds(1);
  static constexpr Duration kRepeatInterval = std::chrono::seconds(5);

  /// Fraction of its share by which an account may exceed it before it counts
  /// as over it. Rates that are measured over a second differ by some percent
  /// between instances.
  static constexpr double kOverShareMargin = 0.05;

  /// Lowest weight of an account. An account that is spread over some dozen
  /// instances competes with accounts that have a whole share at one of them. A
  /// wrong report never takes more of an account's weight.
  static constexpr double kMinWeight = 1.0 / 64.0;

  /// Fraction of the other instances that must report on a service before this
  /// one gets more of it than it serves now: those that are cut off from one
  /// another would each claim what others use. One instance in four may be
  /// killed and still registered.
  static constexpr double kMinReportFraction = 0.5;

  FairShares()
    : FairShares(Options{})
  {
  }
  explicit FairShares(Options aOptions);

  /// @brief Returns the weight of an account among the requests that wait at
  /// this instance.
  /// @return in (0, 1]; 1 for all accounts while nothing is known of others
  [[nodiscard]] double WeightOf(std::string_view aService,
                                std::string_view aAccount) const;

  /// @brief Returns whether an account demands more than its share of a service
  /// that is short of capacity.
  [[nodiscard]] bool IsOverShare(std::string_view aService,
                                 std::string_view aAccount) const;

  /// @brief Returns the cost per second of a service that belongs to this
  /// instance: what the accounts may get here, taken together.
  /// @return nothing unless the service is short of capacity; what this
  ///         instance serves now while few other instances report
  [[nodiscard]] std::optional<double> InstanceShare(
    std::string_view aService) const;
  /// @brief Lists the services that are short of capacity, as of the last
  /// calculation.
  [[nodiscard]] std::vector<std::string> ScarceServices() const;

  /// @brief Records that a request arrived.
  /// @param[in] aCost expected work, in the unit of the account queue
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

  /// @brief Records that a request of a service has to wait, or was rejected,
  /// for lack of capacity.
  void OnShortage(std::string_view aService, TimePoint aNow);

  /// @brief Calculates the shares anew if that is due; called every 100 ms.
  void OnTick(TimePoint aNow);

  /// @brief Returns the services whose accounts over their share have changed,
  /// each at most once a second, or that have such accounts for some seconds.
  [[nodiscard]] std::vector<ShareChange> TakeChanges(TimePoint aNow);

  /// @name Exchange with other instances
  /// @{
  /// @brief Replaces the registered instances.
  void OnInstances(const std::vector<membership::InstanceLocation>& aInstances);
  /// @brief Returns the other registered instances.
  [[nodiscard]] const std::vector<membership::InstanceLocation>& Peers() const
  {
    return mPeers;
  }
  /// @brief Returns whether this instance is short of capacity, or has heard of
  /// one that is.
  [[nodiscard]] bool IsExchangeDue(TimePoint aNow) const;
  /// @brief Chooses the instances that this one asks in a round.
  ///
  /// They are mostly of its own failure domain. Each instance asks another one
  /// with a chance that falls with the number of instances of its own from
  /// which it has reports, so that the calls between failure domains do not
  /// become more with the instances, nor fewer if many are killed or cut off.
  [[nodiscard]] std::vector<membership::InstanceLocation> ChoosePartners(
    std::mt19937& aRandom,
    TimePoint aNow) const;
  /// @brief Makes the message to another instance: what is known, and the
  /// reports that are new.
  /// @param[in] aTo without a failure domain: counts as of the own one
  [[nodiscard]] DemandPush MakePush(
    TimePoint aNow,
    const membership::InstanceLocation& aTo = {});
  /// @brief Makes the answer to a message: reports that its sender lacks.
  /// @note The reports of the message itself are taken over by `Merge`.
  [[nodiscard]] DemandAnswer AnswerTo(const DemandPush& aPush, TimePoint aNow);
  /// @brief Takes over the reports of a message.
  /// @param[in] aReceivedAt time to which their ages refer
  Outcomes Merge(std::vector<AgedReport> aReports,
                 TimePoint aReceivedAt,
                 TimePoint aNow);
  /// @}

private:
  struct AccountShare
  {
    double mWeight = 1.0;
    double mDemand = 0.0;
    double mAllocation = 0.0;
  };

  /// Holds the accounts over their share of a service.
  struct ServiceShares
  {
    double mCapacity = 0.0;
    double mInstanceShare = 0.0; ///< cost per second
    NameMap<AccountShare> mOver;
  };

  /// Holds what operators were told about a service.
  struct Told
  {
    std::vector<std::string> mAccounts;
    TimePoint mAt;
  };

  /// Lists the services that are short of capacity anywhere.
  [[nodiscard]] std::vector<std::string> ShortServices(TimePoint aNow) const;
  [[nodiscard]] ServiceShares SharesOf(const std::string& aService,
                                       TimePoint aNow) const;
  [[nodiscard]] const AccountShare* FindOver(std::string_view aService,
                                             std::string_view aAccount) const;
  /// Returns the reports of all instances; makes that of this one anew if the
  /// last is older than `kInterval`.
  [[nodiscard]] const DemandTable& OwnTable(TimePoint aNow);
  void MakeReport(TimePoint aNow);
  /// Returns whether an instance is known to be of another failure domain.
  [[nodiscard]] bool IsForeign(
    const membership::InstanceLocation& aInstance) const;
  /// Records the services of which an instance is short.
  void HearShortages(const DemandReport& aReport, TimePoint aNow);

  Options mOptions;
  DemandMeter mMeter;
  DemandTable mTable;
  std::vector<membership::InstanceLocation> mPeers;
  std::set<std::string> mDomainPeers; ///< those of the own failure domain
  std::int64_t mSequence;
  std::optional<TimePoint> mReportedAt;
  std::optional<TimePoint> mCalculatedAt;
  std::optional<TimePoint> mNewlyShortAt; ///< last begin of a shortage
  /// last time at which another instance was heard to be short, by service
  std::map<std::string, TimePoint> mHeard;
  NameMap<ServiceShares> mShares; ///< of the services that are short
  std::map<std::string, Told> mTold;
};

} // namespace figslip::fairshare
