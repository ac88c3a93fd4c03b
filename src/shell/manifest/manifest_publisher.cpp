#include <figslip/json/field_or.hpp>
#include <figslip/manifest/manifest.hpp>
#include <figslip/manifest/manifest_publisher.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace figslip::manifest {

using error::ErrorKind;
using platform::StoredObject;

namespace {

constexpr auto kPlace = "manifest/current";

platform::ObjectName
CurrentObject()
{
  return { .mKind = "manifest", .mName = "current" };
}

/// Reads the generation of a stored manifest; 0 where there is none.
Result<std::int64_t>
GenerationOf(const StoredObject& aObject)
{
  if (aObject.mVersion == 0) {
    return 0;
  }
  const auto document = nlohmann::json::parse(aObject.mValue, nullptr, false);
  const auto generation =
    document.is_object()
      ? json::NumberOr(document, "generation", std::int64_t{ 0 })
      : 0;
  if (generation < 1) {
    return Failure(ErrorKind::PlatformMalformed,
                   kPlace,
                   "the object in force names no generation");
  }
  return generation;
}

std::string
GenerationText(std::int64_t aGeneration)
{
  return aGeneration == 0 ? "no generation"
                          : "generation " + std::to_string(aGeneration);
}

/// Publishes one manifest.
class Publisher
{
public:
  Publisher(const platform::PlatformClient& aPlatform,
            std::string_view aText,
            std::int64_t aGeneration,
            std::int64_t aExpected)
    : mPlatform(aPlatform)
    , mText(aText)
    , mGeneration(aGeneration)
    , mExpected(aExpected)
  {
  }

  Result<Published> Run(int aMaxTries)
  {
    BOOST_OUTCOME_TRY(current, mPlatform.Read(CurrentObject()));
    if (IsOurs(current)) {
      return Published{ .mGeneration = mGeneration, .mAlreadyThere = true };
    }
    BOOST_OUTCOME_TRY(CheckGeneration(current));
    for (int tries = 1; tries < aMaxTries; ++tries) {
      auto written = Write(current.mVersion);
      if (written || !MayHaveEffect(written.assume_error())) {
        return written;
      }
      BOOST_OUTCOME_TRY(readBack, ReadBack());
      if (readBack.mVersion != current.mVersion) {
        return Settle(current.mVersion, readBack);
      }
      // the update is bound to the version, so a second one is harmless
    }
    return Write(current.mVersion);
  }

private:
  [[nodiscard]] bool IsOurs(const StoredObject& aObject) const
  {
    return aObject.mVersion > 0 && aObject.mValue == mText;
  }

  [[nodiscard]] static bool MayHaveEffect(const error::Findings& aFindings)
  {
    return aFindings.front().mKind == ErrorKind::PlatformOutcomeUnknown;
  }

  [[nodiscard]] Result<void> CheckGeneration(const StoredObject& aCurrent) const
  {
    BOOST_OUTCOME_TRY(inForce, GenerationOf(aCurrent));
    if (mGeneration <= inForce) {
      return Failure(ErrorKind::LowerGeneration,
                     "/generation",
                     std::to_string(mGeneration) + " is not higher than " +
                       std::to_string(inForce) + ", which is in force");
    }
    if (inForce != mExpected) {
      return Failure(ErrorKind::PlatformConflict,
                     kPlace,
                     GenerationText(inForce) + " is in force, expected " +
                       GenerationText(mExpected));
    }
    return outcome::success();
  }

  [[nodiscard]] Result<Published> Write(std::int64_t aVersion) const
  {
    BOOST_OUTCOME_TRY(written,
                      mPlatform.Write(CurrentObject(), aVersion, mText));
    if (const auto* const conflict =
          std::get_if<platform::Conflict>(&written)) {
      return Settle(aVersion, conflict->mCurrent);
    }
    return Published{ .mGeneration = mGeneration };
  }

  [[nodiscard]] Result<StoredObject> ReadBack() const
  {
    auto object = mPlatform.Read(CurrentObject());
    if (!object) {
      return Failure(ErrorKind::PlatformOutcomeUnknown,
                     kPlace,
                     "the answer to the update got lost, and the object "
                     "cannot be read back");
    }
    return object;
  }

  /// Says what became of an update from what stands in its place.
  [[nodiscard]] Result<Published> Settle(std::int64_t aVersion,
                                         const StoredObject& aCurrent) const
  {
    if (IsOurs(aCurrent)) {
      return Published{ .mGeneration = mGeneration };
    }
    BOOST_OUTCOME_TRY(winner, GenerationOf(aCurrent));
    if (aCurrent.mVersion > aVersion + 1) {
      return Failure(ErrorKind::PlatformOutcomeUnknown,
                     kPlace,
                     GenerationText(winner) +
                       " is in force; this one may have been before it");
    }
    return Failure(ErrorKind::PlatformConflict,
                   kPlace,
                   GenerationText(winner) + " won the race");
  }

  const platform::PlatformClient& mPlatform;
  std::string_view mText;
  std::int64_t mGeneration;
  std::int64_t mExpected;
};

} // namespace

Result<Published>
PublishManifest(const platform::PlatformClient& aPlatform,
                std::string_view aText,
                const PublishOptions& aOptions)
{
  BOOST_OUTCOME_TRY(manifest, ParseManifest(aText));
  const auto expected =
    aOptions.mExpectedGeneration.value_or(manifest.mGeneration - 1);
  return Publisher(aPlatform, aText, manifest.mGeneration, expected)
    .Run(aOptions.mMaxTries);
}

} // namespace figslip::manifest
