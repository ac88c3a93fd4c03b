#pragma once

#include <figslip/manifest/manifest.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace figslip::load {

/// @brief Describes one kind of task that callers send.
struct TaskKind
{
  std::string mName;
  double mShare = 0.0;       ///< part of the chat requests, (0, 1]
  double mDifficulty = 0.0;  ///< mean of the latent difficulty
  int mTokens = 0;           ///< mean tokens of an answer
  double mStreamShare = 0.0; ///< part that the caller reads as a stream
  Duration mDeadline{};
};

/// @brief Describes how a version answers.
struct VersionProfile
{
  std::string mName;
  double mAbility = 0.0;    ///< on the scale of the difficulty
  Duration mFirstToken{};   ///< latency of the first token when idle
  Duration mPerToken{};     ///< time of each further token when idle
  double mErrorShare = 0.0; ///< part of the attempts that fail, [0, 1]
};

/// @brief Holds the sizes of one deployment of the brief.
struct Deployment
{
  std::string mName;
  manifest::Manifest mManifest;
  membership::InstanceList mInstances;
  std::vector<TaskKind> mTaskKinds;
  std::vector<VersionProfile> mProfiles;
  Duration mClientDelay{};       ///< one way
  Duration mDomainDelay{};       ///< one way between failure domains
  double mRequestsPerSecond = 0; ///< of all client accounts
  double mServiceShare = 0.2;    ///< part that goes to the plain service
};

/// @brief Builds Cooperativa Tesoura Andante at its size of today.
[[nodiscard]] Deployment
TesouraAndante();

/// @brief Builds Pointe Fitting Services at its size of today.
[[nodiscard]] Deployment
PointeFitting();

} // namespace figslip::load
