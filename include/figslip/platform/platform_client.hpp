#pragma once

#include <figslip/error/result.hpp>
#include <figslip/evidence/evidence_store.hpp>
#include <figslip/http/http_client.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figslip::platform {

/// @brief Names an object of the platform's object API.
struct ObjectName
{
  std::string mKind; ///< as in `manifest`, `claim`, `billing`
  std::string mName; ///< unique in its kind; letters, digits, `-`, `_`, `.`
};

/// @brief Holds an object with its version.
struct StoredObject
{
  std::int64_t mVersion = 0; ///< 0 where the object does not exist
  std::string mValue;
};

/// @brief Reports that a conditional update took effect.
struct Written
{
  std::int64_t mVersion = 0; ///< the new version
};

/// @brief Reports that the object was not at the expected version.
struct Conflict
{
  StoredObject mCurrent;
};

/// @brief Holds the result of a conditional update.
using WriteOutcome = std::variant<Written, Conflict>;

/// @brief Holds one rating of an answer.
struct Rating
{
  std::string mRequestId;
  evidence::EvidenceKey mKey;
  bool mGood = false;
};

/// @brief Holds a page of ratings.
struct RatingPage
{
  std::int64_t mNext = 0; ///< position to continue from
  std::vector<Rating> mRatings;
};

/// @brief Holds an answer to be rated.
struct RatableAnswer
{
  std::string mSource;  ///< instance that wants the rating
  std::string mAccount; ///< client account that was answered; stays here
  std::string mRequestId;
  evidence::EvidenceKey mKey;
  std::string mAnswer;
};

/// @brief Calls the platform: object API, instance list and rating service.
///
/// Thread-safe. Failures have the kinds `PlatformUnavailable` (nothing took
/// effect), `PlatformOutcomeUnknown` (a write may have taken effect) and
/// `PlatformMalformed`.
class PlatformClient
{
public:
  struct Options
  {
    http::Endpoint mEndpoint;
    Duration mTimeout = std::chrono::seconds(2); ///< of one call
  };

  PlatformClient(Options aOptions, std::shared_ptr<http::HttpClient> aClient);

  /// @brief Reads an object; version 0 where it does not exist.
  [[nodiscard]] Result<StoredObject> Read(const ObjectName& aObject) const;

  /// @brief Waits until an object has another version, or for a time.
  /// @param[in] aKnown the version that the caller knows
  /// @return the object as it is then
  [[nodiscard]] Result<StoredObject> Watch(const ObjectName& aObject,
                                           std::int64_t aKnown,
                                           Duration aWait) const;

  /// @brief Writes an object if it has the expected version.
  /// @param[in] aExpected the version expected; 0 to create
  [[nodiscard]] Result<WriteOutcome> Write(const ObjectName& aObject,
                                           std::int64_t aExpected,
                                           std::string_view aValue) const;

  /// @brief Lists the names of all objects of a kind.
  [[nodiscard]] Result<std::vector<std::string>> List(
    std::string_view aKind) const;

  /// @brief Reads the instance list.
  [[nodiscard]] Result<membership::InstanceList> Instances() const;

  /// @brief Hands an answer to the rating service.
  [[nodiscard]] Result<void> SubmitAnswer(const RatableAnswer& aAnswer) const;

  /// @brief Reads the ratings of answers that an instance submitted.
  [[nodiscard]] Result<RatingPage> Ratings(std::string_view aSource,
                                           std::int64_t aFrom) const;

private:
  [[nodiscard]] Result<http::ClientResponse> Call(
    const http::ClientRequest& aRequest,
    Duration aTimeout) const;

  Options mOptions;
  std::shared_ptr<http::HttpClient> mClient;
};

} // namespace figslip::platform
