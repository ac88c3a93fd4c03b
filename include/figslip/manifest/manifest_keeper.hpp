#pragma once

#include <figslip/error/finding.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/time/time_point.hpp>

#include <string>
#include <string_view>

namespace figslip::manifest {

/// @brief Lists what became of an offered manifest.
enum class OfferResult
{
  Adopted,   ///< it is in force now
  Confirmed, ///< it is the one already in force
  Lower,     ///< its generation is lower; ignored
  Invalid    ///< it has findings; the one in force stays
};

/// @brief Keeps the manifest in force.
///
/// Adopts a valid manifest of a higher generation, never a lower one, whoever
/// offers it.
class ManifestKeeper
{
public:
  /// @brief Offers a manifest that was just read from the platform.
  OfferResult OfferFromPlatform(std::string_view aText, TimePoint aNow);

  /// @brief Offers a manifest that a peer has in force.
  /// @param[in] aConfirmedAt when the peer last knew it to be current
  OfferResult OfferFromPeer(std::string_view aText,
                            TimePoint aConfirmedAt,
                            TimePoint aNow);

  /// @brief Notes that a peer knew a generation to be current.
  /// @param[in] aConfirmedAt when the peer last knew it; its clock may be ahead
  void ConfirmFromPeer(std::int64_t aGeneration,
                       TimePoint aConfirmedAt,
                       TimePoint aNow);

  [[nodiscard]] const ManifestPtr& InForce() const { return mInForce; }
  [[nodiscard]] const std::string& Text() const { return mText; }

  /// @brief Returns the generation in force, 0 if none is.
  [[nodiscard]] std::int64_t Generation() const;

  /// @brief Returns when the manifest was last known to be current.
  [[nodiscard]] TimePoint ConfirmedAt() const { return mConfirmedAt; }

  /// @brief Returns the findings of the last manifest refused.
  [[nodiscard]] const error::Findings& LastFindings() const
  {
    return mLastFindings;
  }

private:
  OfferResult Offer(std::string_view aText, TimePoint aConfirmedAt);

  ManifestPtr mInForce;
  std::string mText;
  std::string mRefusedText;
  TimePoint mConfirmedAt;
  error::Findings mLastFindings;
};

} // namespace figslip::manifest
