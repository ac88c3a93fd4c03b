#pragma once

#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/dialect.hpp>
#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/membership/instance_location.hpp>
#include <figslip/placement/domain_health.hpp>
#include <figslip/placement/health.hpp>
#include <figslip/placement/prefix_cache.hpp>
#include <figslip/placement/reading_load.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::placement {

/// @brief Describes a request to place.
struct PlacementQuery
{
  std::string_view mService;
  std::string_view mModel; ///< empty at a plain service
  const std::vector<ingress::PromptPart>* mPrompt = nullptr;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  /// tells whether a version may serve the request
  std::function<bool(std::string_view)> mAllowsVersion;
  const std::set<std::string>* mAvoid = nullptr; ///< upstreams that failed it
  const std::vector<std::string>* mRegions = nullptr; ///< null or empty: all
  /// the request may be sent again, so it may try a suspected failure domain
  bool mMayRepeat = false;
};

/// @brief Names the upstream chosen and what to expect there.
struct Choice
{
  const ingress::UpstreamEntry* mUpstream = nullptr;
  Duration mFirstEvent{};      ///< expected time to the first event
  std::int64_t mNewTokens = 0; ///< prompt tokens to be read
  std::int64_t mCachedTokens = 0;
};

/// @brief Lists why no upstream was chosen.
enum class NoChoice
{
  NoUpstream, ///< none is registered, ready and allowed
  AllCold,    ///< those that have room are cold and have no rate left
  AllFull     ///< all places are taken
};

/// @brief Returns the name that logs use.
[[nodiscard]] constexpr std::string_view
NameOf(NoChoice aReason)
{
  switch (aReason) {
    case NoChoice::NoUpstream:
      return "no_upstream";
    case NoChoice::AllCold:
      return "all_cold";
    case NoChoice::AllFull:
      return "all_full";
  }
  return "unknown";
}

/// @brief Counts one request on an upstream until it ends.
struct Load
{
  std::string mUpstream;
  std::string mModel;
  double mReadingMs = 0.0; ///< expected time to read its prompt
  double mDecodeWeight = 0.0;
  bool mIsReading = true;
  TimePoint mSentAt;
};

/// @brief Knows the upstreams, their load, warmth and health, and chooses.
///
/// Answers uneven load, long prompts that hold up all others of an engine,
/// lost and failing upstreams, and upstreams in cold start. The expected time
/// to the first event decides: prompts queued for reading, what the prefix
/// cache spares, and the requests that run. The load that answers state counts
/// for what other instances send.
///
/// No answer tells how long the prompts are that others have queued. So the
/// instances of a failure domain divide its upstreams, and each leaves those of
/// the others alone until its own are loaded.
class UpstreamBoard
{
public:
  struct Options
  {
    std::string mInstance;                       ///< own name
    std::string mDomain;                         ///< own failure domain
    std::map<std::string, std::string> mRegions; ///< by failure domain
    /// prompt tokens read in a millisecond by a model of pace 1
    double mTokensPerMs = 60.0;
    /// upstreams of the own subset and of other instances compared for a
    /// request; a random few, as instances that do not know of each other yet
    /// would choose the same best of all
    std::ptrdiff_t mOwnCompared = 8;
    std::ptrdiff_t mCompared = 4;
    std::uint64_t mSeed = 1; ///< of the generator of random choices
  };

  explicit UpstreamBoard(Options aOptions);

  /// @name Control events
  /// @{
  void OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries,
                   TimePoint aNow);
  void OnConfiguration(ingress::ConfigurationPtr aConfiguration);
  void SetDrained(const std::set<std::string>& aDomains);
  /// @brief Sets the instances that share the upstreams and their cold rates.
  void SetInstances(
    const std::vector<membership::InstanceLocation>& aInstances);
  /// @}

  /// @brief Chooses the upstream that is expected to answer first.
  [[nodiscard]] std::optional<Choice> Choose(const PlacementQuery& aQuery,
                                             TimePoint aNow);
  /// @brief Tells why `Choose` found none.
  [[nodiscard]] NoChoice Explain(const PlacementQuery& aQuery,
                                 TimePoint aNow) const;
  /// @brief Tells whether an upstream may be sent a request, right now.
  [[nodiscard]] bool MaySend(std::string_view aUpstream, TimePoint aNow) const;

  /// @brief Counts a request on the upstream chosen.
  [[nodiscard]] Load Reserve(const Choice& aChoice,
                             const PlacementQuery& aQuery,
                             TimePoint aNow);
  /// @brief Notes that the prompt has been read.
  void OnFirstEvent(Load& aLoad, TimePoint aNow);
  /// @brief Takes a request off its upstream.
  void Release(Load& aLoad);
  void OnStatedLoad(std::string_view aUpstream,
                    const ingress::StatedLoad& aLoad,
                    TimePoint aNow);
  void OnOutcome(std::string_view aUpstream,
                 AttemptHealth aHealth,
                 TimePoint aNow);

  [[nodiscard]] const ingress::UpstreamEntry* Find(
    std::string_view aUpstream) const;
  /// @brief Returns the versions of ready upstreams of a service.
  [[nodiscard]] std::set<std::string> VersionsOf(
    std::string_view aService) const;
  /// @brief Returns the part of the places of a service that is taken.
  [[nodiscard]] double Occupancy(std::string_view aService,
                                 TimePoint aNow) const;
  /// @brief Returns the part of their time for which this instance has its
  /// engines of a service read prompts; may exceed 1 while it queues more.
  [[nodiscard]] double ReadingShare(std::string_view aService,
                                    TimePoint aNow) const;
  /// @brief Returns the requests of this instance on an upstream.
  [[nodiscard]] int InFlight(std::string_view aUpstream) const;
  [[nodiscard]] std::size_t Size() const { return mStates.size(); }

private:
  struct State
  {
    ingress::UpstreamEntry mEntry;
    int mInFlight = 0;
    double mReadingMs = 0.0;    ///< of own requests that have no event yet
    double mDecodeWeight = 0.0; ///< of own requests
    ingress::StatedLoad mStated;
    TimePoint mStatedAt;
    int mOwnAtStated = 0;
    Health mHealth;
    PrefixCache mCache;
    TimePoint mColdUntil;
    TimePoint mNextCold; ///< earliest time of the next request while cold
    bool mIsOwn = false; ///< in the subset of this instance
  };

  [[nodiscard]] bool IsCandidate(const State& aState,
                                 const PlacementQuery& aQuery) const;
  [[nodiscard]] bool IsInRegions(const State& aState,
                                 const PlacementQuery& aQuery) const;
  [[nodiscard]] double RunningOf(const State& aState, TimePoint aNow) const;
  [[nodiscard]] bool HasStated(const State& aState, TimePoint aNow) const;
  [[nodiscard]] bool HasRoom(const State& aState, TimePoint aNow) const;
  /// Tells whether its failure domain seems to be cut off, and is not due to be
  /// tried by this request.
  [[nodiscard]] bool IsCutOff(const State& aState,
                              const PlacementQuery& aQuery,
                              TimePoint aNow) const;
  [[nodiscard]] bool HasColdRate(const State& aState, TimePoint aNow) const;
  [[nodiscard]] double PaceOf(std::string_view aService,
                              std::string_view aModel) const;
  [[nodiscard]] Choice Estimate(const State& aState,
                                const PlacementQuery& aQuery,
                                double aUsualRunning,
                                TimePoint aNow) const;
  /// Returns where requests with the same subject go first, whichever instance
  /// they come to; null where the prompt has no subject.
  [[nodiscard]] static const State* HomeOf(
    const PlacementQuery& aQuery,
    const std::vector<const State*>& aOpen);
  /// Estimates the home, which is likely to keep the subject of the prompt.
  [[nodiscard]] Choice EstimateHome(const State& aHome,
                                    const PlacementQuery& aQuery,
                                    double aUsualRunning,
                                    TimePoint aNow) const;
  [[nodiscard]] std::vector<const State*> OpenFor(const PlacementQuery& aQuery,
                                                  TimePoint aNow) const;
  /// Returns the running requests of an upstream that has stated none lately.
  [[nodiscard]] double UsualRunning(std::string_view aService,
                                    TimePoint aNow) const;
  [[nodiscard]] Duration ColdInterval(std::string_view aService) const;
  /// Divides the upstreams anew, by service and version.
  void Divide();
  void BeginCold(State& aState, Duration aTime, TimePoint aNow) const;
  void Admit(State& aState,
             const ingress::UpstreamEntry& aEntry,
             bool aIsFirstList,
             TimePoint aNow) const;

  Options mOptions;
  ingress::ConfigurationPtr mConfiguration;
  std::map<std::string, State, std::less<>> mStates;
  std::set<std::string, std::less<>> mDrained;
  std::map<std::string, ReadingLoad, std::less<>> mReading; ///< by service
  DomainHealth mDomains{ {} };
  std::mt19937_64 mRandom;
  int mInstances = 1;
  std::set<std::string> mNeighbours; ///< instances of the failure domain
  bool mHasList = false;
};

} // namespace figslip::placement
