#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>
#include <figslip/platform/platform_client.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace figslip::platform {

using error::ErrorKind;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusConflict = 409;
constexpr int kStatusServerError = 500;
constexpr json::Range<std::int64_t> kAnyCount{
  0,
  std::numeric_limits<std::int64_t>::max()
};
constexpr json::Range<std::int64_t> kPort{ 0, 65'535 };
constexpr json::EnumName<membership::InstanceState> kStateNames[] = {
  { membership::InstanceState::Live, "live" },
  { membership::InstanceState::Leaving, "leaving" },
};

std::string
PathOf(const ObjectName& aObject)
{
  return "/objects/" + aObject.mKind + "/" + aObject.mName;
}

/// Parses a response body with a reader and checks it whole.
template<typename Value, typename Read>
Result<Value>
Parse(const http::ClientResponse& aResponse, Read aRead)
{
  auto document = json::ParseDocument(aResponse.mBody);
  if (!document) {
    return outcome::failure(std::move(document).assume_error());
  }
  error::Findings findings;
  json::ObjectReader reader(document.assume_value(), "", findings);
  Value value = aRead(reader);
  if (!findings.empty()) {
    return Failure(ErrorKind::PlatformMalformed,
                   "platform",
                   error::JoinMessages(findings, "; "));
  }
  return value;
}

StoredObject
ReadStored(json::ObjectReader& aReader)
{
  return { .mVersion = aReader.Whole("version", kAnyCount),
           .mValue = aReader.Text("value", "") };
}

membership::EntryInstance
ReadEntry(json::ObjectReader& aReader)
{
  return {
    .mName = aReader.Name("name"),
    .mFailureDomain = aReader.Name("failure_domain"),
    .mAddress = aReader.Name("address"),
    .mCallerPort = static_cast<int>(aReader.Whole("caller_port", kPort)),
    .mPeerPort = static_cast<int>(aReader.Whole("peer_port", kPort, 0)),
    .mState = aReader.Choice<membership::InstanceState>("state", kStateNames),
  };
}

auto
UnexpectedStatus(const http::ClientResponse& aResponse)
{
  return Failure(ErrorKind::PlatformUnavailable,
                 "platform",
                 "unexpected status " + std::to_string(aResponse.mStatus));
}

} // namespace

PlatformClient::PlatformClient(Options aOptions,
                               std::shared_ptr<http::HttpClient> aClient)
  : mOptions(std::move(aOptions))
  , mClient(std::move(aClient))
{
}

Result<http::ClientResponse>
PlatformClient::Call(const http::ClientRequest& aRequest,
                     Duration aTimeout) const
{
  auto result = mClient->Call(mOptions.mEndpoint,
                              aRequest,
                              { .mConnectTimeout = mOptions.mTimeout,
                                .mFirstByteTimeout = aTimeout,
                                .mNextByteTimeout = mOptions.mTimeout });
  if (const auto* const failure = std::get_if<http::CallFailure>(&result)) {
    const bool mayHaveEffect =
      aRequest.mMethod != http::Method::Get && failure->mBytesMayHaveLeft;
    return Failure(mayHaveEffect ? ErrorKind::PlatformOutcomeUnknown
                                 : ErrorKind::PlatformUnavailable,
                   "platform",
                   failure->mTimedOut ? "no answer in time"
                                      : "the connection failed");
  }
  auto& response = std::get<http::ClientResponse>(result);
  if (response.mStatus >= kStatusServerError) {
    return UnexpectedStatus(response);
  }
  return std::move(response);
}

Result<StoredObject>
PlatformClient::Read(const ObjectName& aObject) const
{
  auto response =
    Call({ .mTarget = PathOf(aObject), .mHeaders = {}, .mBody = {} },
         mOptions.mTimeout);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  return Parse<StoredObject>(response.assume_value(), ReadStored);
}

Result<StoredObject>
PlatformClient::Watch(const ObjectName& aObject,
                      std::int64_t aKnown,
                      Duration aWait) const
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWait).count();
  auto response =
    Call({ .mTarget = PathOf(aObject) + "?after=" + std::to_string(aKnown) +
                      "&wait_ms=" + std::to_string(wait),
           .mHeaders = {},
           .mBody = {} },
         mOptions.mTimeout + aWait);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  return Parse<StoredObject>(response.assume_value(), ReadStored);
}

Result<WriteOutcome>
PlatformClient::Write(const ObjectName& aObject,
                      std::int64_t aExpected,
                      std::string_view aValue) const
{
  auto response = Call(
    { .mMethod = http::Method::Put,
      .mTarget = PathOf(aObject) + "?if_version=" + std::to_string(aExpected),
      .mHeaders = {},
      .mBody = std::string(aValue) },
    mOptions.mTimeout);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  const auto status = response.assume_value().mStatus;
  if (status != kStatusOk && status != kStatusConflict) {
    return UnexpectedStatus(response.assume_value());
  }
  auto stored = Parse<StoredObject>(response.assume_value(), ReadStored);
  if (!stored) {
    return outcome::failure(std::move(stored).assume_error());
  }
  if (status == kStatusConflict) {
    return WriteOutcome(Conflict{ std::move(stored).assume_value() });
  }
  return WriteOutcome(Written{ stored.assume_value().mVersion });
}

Result<std::vector<std::string>>
PlatformClient::List(std::string_view aKind) const
{
  auto response = Call({ .mTarget = "/objects/" + std::string(aKind),
                         .mHeaders = {},
                         .mBody = {} },
                       mOptions.mTimeout);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  return Parse<std::vector<std::string>>(
    response.assume_value(),
    [](json::ObjectReader& aReader) { return aReader.TextArray("names"); });
}

Result<membership::InstanceList>
PlatformClient::Instances() const
{
  auto response = Call({ .mTarget = "/instances", .mHeaders = {}, .mBody = {} },
                       mOptions.mTimeout);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  return Parse<membership::InstanceList>(
    response.assume_value(), [](json::ObjectReader& aReader) {
      membership::InstanceList list;
      aReader.ObjectArray("entries", [&](json::ObjectReader& aEntry) {
        list.mEntries.push_back(ReadEntry(aEntry));
      });
      list.mLeavingUpstreams = aReader.TextArray("leaving_upstreams");
      return list;
    });
}

Result<void>
PlatformClient::SubmitAnswer(const RatableAnswer& aAnswer) const
{
  const nlohmann::json body = { { "source", aAnswer.mSource },
                                { "request_id", aAnswer.mRequestId },
                                { "version", aAnswer.mKey.mVersion },
                                { "task_kind", aAnswer.mKey.mTaskKind },
                                { "answer", aAnswer.mAnswer } };
  auto response = Call({ .mMethod = http::Method::Post,
                         .mTarget = "/ratings",
                         .mHeaders = {},
                         .mBody = body.dump() },
                       mOptions.mTimeout);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  if (response.assume_value().mStatus != kStatusAccepted) {
    return UnexpectedStatus(response.assume_value());
  }
  return outcome::success();
}

Result<RatingPage>
PlatformClient::Ratings(std::string_view aSource, std::int64_t aFrom) const
{
  auto response = Call({ .mTarget = "/ratings?source=" + std::string(aSource) +
                                    "&from=" + std::to_string(aFrom),
                         .mHeaders = {},
                         .mBody = {} },
                       mOptions.mTimeout);
  if (!response) {
    return outcome::failure(std::move(response).assume_error());
  }
  return Parse<RatingPage>(
    response.assume_value(), [](json::ObjectReader& aReader) {
      RatingPage page{ .mNext = aReader.Whole("next", kAnyCount),
                       .mRatings = {} };
      aReader.ObjectArray("ratings", [&](json::ObjectReader& aRating) {
        page.mRatings.push_back(
          { .mRequestId = aRating.Name("request_id"),
            .mKey = { .mVersion = aRating.Name("version"),
                      .mTaskKind = aRating.Text("task_kind", "") },
            .mGood = aRating.Flag("good") });
      });
      return page;
    });
}

} // namespace figslip::platform
