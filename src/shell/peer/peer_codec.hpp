#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/peer/digest.hpp>
#include <figslip/peer/peer_messages.hpp>
#include <figslip/time/time_point.hpp>

#include <peer_types.h>

#include <vector>

namespace figslip::peer {

/// @name Between the messages of the program and those on the wire
/// @brief Times become ages at `aNow` and the other way round.
/// @{
[[nodiscard]] wire::Incarnation
ToWire(const membership::Incarnation& aIncarnation);
[[nodiscard]] membership::Incarnation
FromWire(const wire::Incarnation& aIncarnation);
[[nodiscard]] wire::Digest
ToWire(const Digest& aDigest, TimePoint aNow);
[[nodiscard]] Digest
FromWire(const wire::Digest& aDigest, TimePoint aNow);
[[nodiscard]] wire::GrantRequest
ToWire(const GrantRequest& aRequest);
[[nodiscard]] GrantRequest
FromWire(const wire::GrantRequest& aRequest);
[[nodiscard]] wire::GrantAnswer
ToWire(const std::vector<coldstart::ColdGrant>& aGrants);
[[nodiscard]] std::vector<coldstart::ColdGrant>
FromWire(const wire::GrantAnswer& aAnswer);
[[nodiscard]] wire::ManifestText
ToWire(const ManifestText& aManifest, TimePoint aNow);
[[nodiscard]] ManifestText
FromWire(const wire::ManifestText& aManifest, TimePoint aNow);
[[nodiscard]] wire::BillingCopies
ToWire(const BillingCopies& aCopies);
[[nodiscard]] BillingCopies
FromWire(const wire::BillingCopies& aCopies);
/// @}

} // namespace figslip::peer
