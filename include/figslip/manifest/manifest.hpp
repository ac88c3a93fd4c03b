#pragma once

#include <figslip/error/result.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::manifest {

/// @brief States whether operators have taken a failure domain out.
enum class DomainState
{
  In,
  Out
};

/// @brief States how far the roll-out of a version has come.
enum class VersionState
{
  Stable,
  RollOut,
  Withdrawn
};

/// @brief Distinguishes model engines from plain services.
enum class UpstreamKind
{
  Model,
  Plain
};

/// @brief Describes a failure domain.
struct FailureDomain
{
  std::string mName;                    ///< unique name
  std::string mRegion;                  ///< region that contains the domain
  DomainState mState = DomainState::In; ///< `Out` refuses all new work
};

/// @brief Describes one version of a model.
struct ModelVersion
{
  std::string mName; ///< unique over all models
  VersionState mState = VersionState::Stable;
  std::int64_t mCostPerThousandTokens = 0; ///< micro currency units, >= 0
  double mInitialShare = 0.05; ///< share of traffic of a new roll-out, (0, 1]
};

/// @brief Describes a model with its versions.
struct Model
{
  std::string mName; ///< unique name
  std::vector<ModelVersion> mVersions;
};

/// @brief Describes one stage of a cascade.
struct Stage
{
  std::string mModel;        ///< name of a model
  double mAcceptScore = 0.0; ///< lowest engine score that is accepted, [0, 1]
};

/// @brief Describes a cascade: stages from the cheapest to the best model.
struct Cascade
{
  std::string mName;           ///< unique name
  double mQualityTarget = 0.0; ///< share of answers to be rated good, [0, 1]
  std::vector<Stage> mStages;  ///< at least one
};

/// @brief Describes an operation of a plain service.
struct Operation
{
  std::string mName;        ///< unique in its service
  bool mIdempotent = false; ///< whether the operation may be repeated
};

/// @brief Describes a plain service such as bookings.
struct Service
{
  std::string mName; ///< unique name
  std::vector<Operation> mOperations;
};

/// @brief Describes an upstream: a model engine or a plain service instance.
struct Upstream
{
  std::string mName; ///< unique name
  UpstreamKind mKind = UpstreamKind::Model;
  std::string mFailureDomain;
  std::string mAddress;               ///< IP number
  int mPort = 0;                      ///< TCP port, 1 to 65535
  std::vector<std::string> mVersions; ///< versions served; model engines only
  std::string mService;               ///< service served; plain services only
  int mConcurrency = 1;               ///< requests at a time when warm, >= 1
  int mColdConcurrency = 1;    ///< requests at a time in cold start, >= 1
  bool mChecksFencing = false; ///< whether it refuses old fencing tokens
};

/// @brief Describes a client account with its permissions.
struct ClientAccount
{
  std::string mName;                  ///< unique name
  double mShare = 1.0;                ///< weight of its fair share, > 0
  std::vector<std::string> mAllow;    ///< models, versions and services allowed
  std::vector<std::string> mCascades; ///< cascades allowed
};

/// @brief Describes a service level objective of a client account.
struct Slo
{
  std::string mName;          ///< unique name
  std::string mClientAccount; ///< account it covers
  double mObjective = 0.0;    ///< share of requests to be good, (0, 1)
  int mLatencyMs = 0;         ///< longest good latency, milliseconds, > 0
  int mWindowHours = 0;       ///< length of the budget window, hours, > 0
};

/// @brief Holds one complete configuration.
struct Manifest
{
  std::int64_t mGeneration = 0; ///< strictly increasing, > 0
  std::vector<FailureDomain> mFailureDomains;
  std::vector<Model> mModels;
  std::vector<Cascade> mCascades;
  std::vector<Service> mServices;
  std::vector<Upstream> mUpstreams;
  std::vector<ClientAccount> mClientAccounts;
  std::vector<Slo> mSlos;
};

/// @brief Parses and checks a manifest.
/// @param[in] aText the JSON text
/// @return the manifest, or all findings, each with its JSON pointer
[[nodiscard]] Result<Manifest>
ParseManifest(std::string_view aText);

/// @brief Prints a manifest as JSON.
/// @param[in] aManifest the manifest to print
/// @return text that `ParseManifest` accepts and parses to an equal manifest
[[nodiscard]] std::string
PrintManifest(const Manifest& aManifest);

} // namespace figslip::manifest
