#pragma once

#include <figslip/json/object_reader.hpp>
#include <figslip/manifest/manifest.hpp>

namespace figslip::manifest {

inline constexpr json::EnumName<DomainState> kDomainStateNames[] = {
  { DomainState::In, "in" },
  { DomainState::Out, "out" },
};

inline constexpr json::EnumName<VersionState> kVersionStateNames[] = {
  { VersionState::Stable, "stable" },
  { VersionState::RollOut, "roll_out" },
  { VersionState::Withdrawn, "withdrawn" },
};

inline constexpr json::EnumName<UpstreamKind> kUpstreamKindNames[] = {
  { UpstreamKind::Model, "model" },
  { UpstreamKind::Plain, "plain" },
};

} // namespace figslip::manifest
