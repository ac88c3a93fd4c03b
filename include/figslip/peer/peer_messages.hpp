#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace figslip::peer {

/// @brief Asks the home of upstreams in cold start for capacity.
struct GrantRequest
{
  membership::Incarnation mSender;
  std::int64_t mSequence = 0; ///< grows with every request of the sender
  std::vector<coldstart::ColdUse> mUses;
};

/// @brief Holds a manifest as text.
struct ManifestText
{
  std::int64_t mGeneration = 0; ///< 0: none is in force
  TimePoint mConfirmedAt;       ///< when it was last known to be current
  std::string mText;
};

/// @brief Holds billing records that a peer keeps for their origin.
struct BillingCopies
{
  membership::Incarnation mOrigin;
  std::string mBatch;         ///< JSON text of a batch of records
  std::int64_t mSequence = 0; ///< counted by the origin
};

} // namespace figslip::peer
