#include <figslip/routing/dispatch_check.hpp>

#include <algorithm>

namespace figslip::routing {

using error::ErrorKind;

namespace {

bool
AllowsService(const manifest::ClientAccount& aAccount,
              const std::string& aService)
{
  return std::ranges::find(aAccount.mAllow, aService) != aAccount.mAllow.end();
}

std::optional<DispatchObstacle>
CheckUpstream(const ControlSnapshot& aSnapshot,
              const ProposedDispatch& aProposed)
{
  const auto& index = *aSnapshot.mManifest;
  const auto* const upstream = index.FindUpstream(aProposed.mUpstream);
  if (upstream == nullptr || upstream->mFailureDomain != aProposed.mOwnDomain) {
    return DispatchObstacle{
      ErrorKind::NoUpstream,
      "the upstream does not belong to this failure domain",
      true
    };
  }
#ifndef FIGSLIP_WITHOUT_DRAINED
  if (!index.DomainTakesWork(upstream->mFailureDomain)) {
    return DispatchObstacle{ ErrorKind::NoUpstream,
                             "failure domain \"" + upstream->mFailureDomain +
                               "\" is out of service",
                             true };
  }
#endif
#ifndef FIGSLIP_WITHOUT_LEAVING
  const auto& leaving = aSnapshot.mInstances.mLeavingUpstreams;
  if (std::ranges::find(leaving, aProposed.mUpstream) != leaving.end()) {
    return DispatchObstacle{ ErrorKind::NoUpstream,
                             "the upstream is leaving",
                             true };
  }
#endif
  const auto& versions = upstream->mVersions;
  if (!aProposed.mVersion.empty() &&
      std::ranges::find(versions, aProposed.mVersion) == versions.end()) {
    return DispatchObstacle{ ErrorKind::NoUpstream,
                             "the upstream does not serve the version",
                             true };
  }
  return std::nullopt;
}

std::optional<DispatchObstacle>
CheckService(const ControlSnapshot& aSnapshot,
             std::string_view aAccount,
             const ServiceTarget& aTarget)
{
  const auto* const account = aSnapshot.mManifest->FindAccount(aAccount);
  if (account == nullptr) {
    return DispatchObstacle{ ErrorKind::UnknownAccount,
                             "the client account is not defined" };
  }
  if (!AllowsService(*account, aTarget.mService)) {
    return DispatchObstacle{ ErrorKind::NotAllowed,
                             "service \"" + aTarget.mService +
                               "\" is not allowed to the client account" };
  }
  return std::nullopt;
}

} // namespace

std::optional<DispatchObstacle>
CheckVersion(const ControlSnapshot& aSnapshot,
             std::string_view aAccount,
             std::string_view aVersion,
             const FreshnessLimits& aLimits,
             TimePoint aNow)
{
  const auto& index = *aSnapshot.mManifest;
  const auto* const account = index.FindAccount(aAccount);
  if (account == nullptr) {
    return DispatchObstacle{ ErrorKind::UnknownAccount,
                             "the client account is not defined" };
  }
  const auto* const version = index.FindVersion(aVersion);
#ifdef FIGSLIP_WITHOUT_WITHDRAWN
  const bool isWithdrawn = version == nullptr;
#else
  const bool isWithdrawn =
    version == nullptr ||
    version->mVersion->mState == manifest::VersionState::Withdrawn;
#endif
  if (isWithdrawn) {
    return DispatchObstacle{ ErrorKind::VersionWithdrawn,
                             "version \"" + std::string(aVersion) +
                               "\" is withdrawn" };
  }
#ifndef FIGSLIP_WITHOUT_PERMISSION
  if (!index.AllowsVersion(*account, *version)) {
    return DispatchObstacle{ ErrorKind::NotAllowed,
                             "version \"" + std::string(aVersion) +
                               "\" is not allowed to the client account" };
  }
#endif
  const bool inRollOut =
    version->mVersion->mState == manifest::VersionState::RollOut;
  if (inRollOut &&
      aNow - aSnapshot.mConfirmedAt > aLimits.mMaxConfirmationAge) {
    return DispatchObstacle{
      ErrorKind::VersionWithdrawn,
      "the manifest confirmation is too old for version \"" +
        std::string(aVersion) + "\" in roll-out"
    };
  }
  return std::nullopt;
}

std::optional<DispatchObstacle>
CheckDispatch(const ControlSnapshot& aSnapshot,
              const ProposedDispatch& aProposed,
              const FreshnessLimits& aLimits,
              TimePoint aNow)
{
  if (aNow >= aProposed.mRequest.mDeadline) {
    return DispatchObstacle{ ErrorKind::DeadlineExpired,
                             "the deadline has passed" };
  }
  if (aSnapshot.mManifest == nullptr) {
    return DispatchObstacle{ ErrorKind::NotReady,
                             "no manifest is in force yet",
                             true };
  }
  if (aNow - aSnapshot.mHeartbeatAt > aLimits.mMaxHeartbeatAge) {
    return DispatchObstacle{ ErrorKind::NotReady,
                             "the control state is stale",
                             true };
  }
  const auto& request = aProposed.mRequest;
  if (const auto* const service =
        std::get_if<ServiceTarget>(&request.mTarget)) {
    if (auto obstacle = CheckService(aSnapshot, request.mAccount, *service)) {
      return obstacle;
    }
  } else if (auto obstacle = CheckVersion(aSnapshot,
                                          request.mAccount,
                                          aProposed.mVersion,
                                          aLimits,
                                          aNow)) {
    return obstacle;
  }
  return CheckUpstream(aSnapshot, aProposed);
}

} // namespace figslip::routing
