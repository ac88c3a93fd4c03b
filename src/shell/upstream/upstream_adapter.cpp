#include <figslip/json/field_or.hpp>
#include <figslip/time/wall_clock.hpp>
#include <figslip/upstream/upstream_adapter.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace figslip::upstream {

using routing::AttemptEnd;
using routing::AttemptOutcome;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;
constexpr std::string_view kEventPrefix = "data: ";
constexpr Duration kLoadTimeout = std::chrono::seconds(1);
constexpr Duration kOrderTimeout = std::chrono::seconds(2);

nlohmann::json
ParseLoose(std::string_view aText)
{
  return nlohmann::json::parse(aText, nullptr, false);
}

/// Takes the answer of a body that is one JSON object.
AttemptResult
TakeBody(const std::string& aBody, const std::string& aAttemptId)
{
  AttemptResult result;
  const auto body = ParseLoose(aBody);
  // an answer to another attempt is no answer to this one
  if (!body.is_object() || json::TextOr(body, "attempt_id", "") != aAttemptId) {
    return result;
  }
  result.mOutcome = { .mEnd = AttemptEnd::Completed,
                      .mBootId = json::TextOr(body, "boot_id", ""),
                      .mTokens =
                        json::NumberOr(body, "tokens", std::int64_t{ 0 }),
                      .mScore = json::NumberOr(body, "score", 1.0) };
  result.mAnswer = body.contains("result") ? body["result"].dump()
                                           : json::TextOr(body, "text", "");
  return result;
}

/// Collects the events of a streamed answer.
class StreamReader
{
public:
  StreamReader(std::string aAttemptId, UpstreamAdapter::TokenSink aSink)
    : mAttemptId(std::move(aAttemptId))
    , mSink(std::move(aSink))
  {
  }

  bool Take(std::string_view aData)
  {
    mPending += aData;
    std::size_t end = mPending.find('\n');
    while (end != std::string::npos) {
      const auto line = mPending.substr(0, end);
      mPending.erase(0, end + 1);
      if (line.starts_with(kEventPrefix) &&
          !TakeEvent(line.substr(kEventPrefix.size()))) {
        return false;
      }
      end = mPending.find('\n');
    }
    return true;
  }

  [[nodiscard]] AttemptResult Finish(AttemptEnd aEndIfOpen) &&
  {
    if (!mDone) {
      mOutcome.mEnd = aEndIfOpen;
    }
    mOutcome.mResponseStarted = mBytesToCaller;
    return { std::move(mOutcome), std::move(mAnswer) };
  }

  [[nodiscard]] bool CallerGone() const { return mCallerGone; }
  /// @note May be called from any thread.
  [[nodiscard]] bool HasBytesAtCaller() const { return mBytesToCaller; }

private:
  bool TakeEvent(const std::string& aText)
  {
    const auto event = ParseLoose(aText);
    if (!event.is_object() ||
        json::TextOr(event, "attempt_id", "") != mAttemptId) {
      return false;
    }
    if (json::FlagOr(event, "done", false)) {
      mOutcome = { .mEnd = AttemptEnd::Completed,
                   .mBootId = json::TextOr(event, "boot_id", ""),
                   .mTokens =
                     json::NumberOr(event, "tokens", std::int64_t{ 0 }),
                   .mScore = json::NumberOr(event, "score", 1.0) };
      mDone = true;
      return true;
    }
    const auto token = json::TextOr(event, "text", "");
    mAnswer += token;
    if (mSink) {
      mBytesToCaller = true;
      mCallerGone = !mSink(token);
    }
    return !mCallerGone;
  }

  std::string mAttemptId;
  UpstreamAdapter::TokenSink mSink;
  std::string mPending;
  std::string mAnswer;
  AttemptOutcome mOutcome;
  bool mDone = false;
  std::atomic<bool> mBytesToCaller{ false };
  bool mCallerGone = false;
};

http::ClientRequest
MakeRequest(const routing::Dispatch& aDispatch, const UpstreamCall& aCall)
{
  nlohmann::json body = { { "request_id", aCall.mRequestId },
                          { "attempt_id", aCall.mAttemptId } };
  std::string target;
  if (const auto* const service =
        std::get_if<routing::ServiceTarget>(&aCall.mTarget)) {
    target = "/v1/call/" + service->mOperation;
    body["idempotency_key"] = aCall.mIdempotencyKey;
    body["payload"] = ParseLoose(aCall.mBody);
  } else {
    const auto caller = ParseLoose(aCall.mBody);
    target = "/v1/generate";
    body["version"] = aDispatch.mVersion;
    body["messages"] = caller.value("messages", nlohmann::json::array());
    body["max_tokens"] = json::NumberOr(caller, "max_tokens", 256);
    body["task_kind"] = json::TextOr(caller, "task_kind", "");
    // streamed always, so that silence shows before the deadline
    body["stream"] = true;
  }
  return { .mMethod = http::Method::Post,
           .mTarget = std::move(target),
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = body.dump() };
}

AttemptEnd
EndOfStatus(int aStatus)
{
  const bool notRun =
    aStatus == kStatusUnavailable || aStatus == kStatusConflict;
  return notRun ? AttemptEnd::Rejected : AttemptEnd::Failed;
}

AttemptEnd
EndOfFailure(const http::CallFailure& aFailure, bool aCancelled)
{
  if (aCancelled) {
    return AttemptEnd::Cancelled;
  }
  if (!aFailure.mBytesMayHaveLeft) {
    return AttemptEnd::NotConnected;
  }
  return aFailure.mTimedOut ? AttemptEnd::TimedOut : AttemptEnd::Broken;
}

} // namespace

UpstreamAdapter::UpstreamAdapter(Options aOptions,
                                 std::shared_ptr<http::HttpClient> aClient)
  : mOptions(aOptions)
  , mClient(std::move(aClient))
{
}

http::CallOptions
UpstreamAdapter::OptionsOf(const routing::Dispatch& aDispatch,
                           const UpstreamCall& aCall,
                           TimePoint aNow) const
{
  const auto timeLeft = std::max(Duration(1), aDispatch.mDeadline - aNow);
  const bool isChat =
    std::holds_alternative<routing::ChatTarget>(aCall.mTarget);
  // a call that may not be repeated gets all the time that there is
  const auto firstByte =
    aDispatch.mIdempotent
      ? (isChat ? mOptions.mFirstTokenTimeout : mOptions.mServiceTimeout)
      : timeLeft;
  return { .mFirstByteTimeout = std::min(timeLeft, firstByte),
           .mNextByteTimeout = std::min(timeLeft, mOptions.mNextTokenTimeout),
           .mFreshConnection = aDispatch.mFreshConnection };
}

AttemptResult
UpstreamAdapter::Run(const routing::Dispatch& aDispatch,
                     const UpstreamCall& aCall,
                     const AttemptChecks& aChecks,
                     const TokenSink& aSink) const
{
  const auto start = ReadClock();
  const bool isChat =
    std::holds_alternative<routing::ChatTarget>(aCall.mTarget);
  StreamReader stream(aCall.mAttemptId,
                      aDispatch.mStreamToCaller ? aSink : TokenSink());
  bool cancelled = false;
  auto options = OptionsOf(aDispatch, aCall, start);
  options.mBeforeSend = [&] {
    cancelled = !aChecks.mBeforeSend();
    return !cancelled;
  };
  options.mMayGiveUp = [&](bool aIsReused) {
    return !stream.HasBytesAtCaller() && aChecks.mMayGiveUp(aIsReused);
  };
  options.mDeadline = aDispatch.mDeadline;
  if (isChat) {
    options.mReceiver = [&](std::string_view aData) {
      return stream.Take(aData);
    };
  }
  const http::Endpoint endpoint{ aDispatch.mAddress, aDispatch.mPort };
  const auto called =
    mClient->Call(endpoint, MakeRequest(aDispatch, aCall), options);
  AttemptResult result;
  if (const auto* const failure = std::get_if<http::CallFailure>(&called)) {
    const auto end = stream.CallerGone() ? AttemptEnd::Cancelled
                                         : EndOfFailure(*failure, cancelled);
    result = std::move(stream).Finish(end);
    result.mOutcome.mReusedConnection = failure->mReusedConnection;
    if (failure->mTimedOut) {
      // whatever silenced this connection may have silenced the older ones
      mClient->RetireConnections(endpoint);
    }
  } else {
    const auto& response = std::get<http::ClientResponse>(called);
    if (response.mStatus != kStatusOk) {
      result.mOutcome.mEnd = EndOfStatus(response.mStatus);
    } else if (isChat) {
      result = std::move(stream).Finish(AttemptEnd::Broken);
    } else {
      result = TakeBody(response.mBody, aCall.mAttemptId);
    }
  }
  result.mOutcome.mLatency = ReadClock() - start;
  return result;
}

Result<routing::LoadReport>
UpstreamAdapter::ReadLoad(const std::string& aUpstream,
                          const http::Endpoint& aEndpoint) const
{
  const auto called = mClient->Call(
    aEndpoint,
    { .mTarget = "/load", .mHeaders = {}, .mBody = {} },
    { .mConnectTimeout = kLoadTimeout, .mFirstByteTimeout = kLoadTimeout });
  const auto* const response = std::get_if<http::ClientResponse>(&called);
  if (response == nullptr || response->mStatus != kStatusOk) {
    return Failure(error::ErrorKind::ReadFailed, aUpstream, "no load report");
  }
  const auto body = ParseLoose(response->mBody);
  if (!body.is_object()) {
    return Failure(
      error::ErrorKind::ReadFailed, aUpstream, "malformed load report");
  }
  routing::LoadReport report{ .mUpstream = aUpstream,
                              .mBootId = json::TextOr(body, "boot_id", ""),
                              .mRunning = json::NumberOr(body, "running", 0),
                              .mAt = ReadClock() };
  if (const auto versions = body.find("versions");
      versions != body.end() && versions->is_array()) {
    report.mLoadedVersions.emplace();
    for (const auto& version : *versions) {
      if (version.is_string()) {
        report.mLoadedVersions->push_back(version.get<std::string>());
      }
    }
  }
  return report;
}

bool
UpstreamAdapter::SendOrder(const orders::Order& aOrder,
                           const http::Endpoint& aEndpoint) const
{
  const nlohmann::json body = { { "order", orders::NameOf(aOrder.mKind) },
                                { "version", aOrder.mVersion },
                                { "fencing_token", aOrder.mFencingToken } };
  // a pooled connection could hold the order back for longer than its transit
  const auto called = mClient->Call(
    aEndpoint,
    { .mMethod = http::Method::Post,
      .mTarget = "/v1/orders",
      .mHeaders = {},
      .mBody = body.dump() },
    { .mFirstByteTimeout = kOrderTimeout, .mFreshConnection = true });
  const auto* const response = std::get_if<http::ClientResponse>(&called);
  return response != nullptr && response->mStatus == kStatusOk;
}

} // namespace figslip::upstream
