#include <figslip/caller/caller_api.hpp>
#include <figslip/caller/caller_request.hpp>
#include <figslip/caller/caller_response.hpp>
#include <figslip/log/log.hpp>
#include <figslip/report/slo_counters.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace figslip::caller {

namespace {

constexpr int kStatusOk = 200;
constexpr std::uint64_t kRatingBuckets = 10'000;
constexpr double kMicrosPerMilli = 1000.0;

constexpr std::string_view kRelayedHeaders[] = { kSessionHeader,
                                                 kPriorityHeader,
                                                 kIdempotencyHeader };

std::string
TargetName(const routing::Request& aRequest)
{
  if (const auto* const chat =
        std::get_if<routing::ChatTarget>(&aRequest.mTarget)) {
    return chat->mName;
  }
  const auto& service = std::get<routing::ServiceTarget>(aRequest.mTarget);
  return service.mService + "/" + service.mOperation;
}

billing::BillingRecord
MakeRecord(const routing::RequestSummary& aSummary,
           TimePoint aStart,
           TimePoint aEnd)
{
  billing::BillingRecord record{
    .mRequestId = aSummary.mRequest.mId,
    .mAccount = aSummary.mRequest.mAccount,
    .mTarget = TargetName(aSummary.mRequest),
    .mVersion = aSummary.mVersion,
    .mAnsweredAtMs = ToUnixMillis(aEnd),
    .mLatencyMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(aEnd - aStart)
        .count(),
    .mAttempts = {},
  };
  for (const auto& attempt : aSummary.mAttempts) {
    if (attempt.mOutcome) {
      record.mAttempts.push_back({ .mUpstream = attempt.mUpstream,
                                   .mVersion = attempt.mVersion,
                                   .mTokens = attempt.mOutcome->mTokens,
                                   .mCost = attempt.mCost });
    }
  }
  return record;
}

} // namespace

/// Serves one request of one caller.
class CallerApi::Exchange
{
public:
  Exchange(CallerApi& aApi,
           const http::ServerRequest& aHttp,
           http::ResponseWriter& aWriter)
    : mApi(aApi)
    , mHttp(aHttp)
    , mWriter(aWriter)
    , mStart(ReadClock())
  {
  }

  void Run()
  {
    if (mHttp.mMethod != "POST") {
      Refuse({ { error::ErrorKind::WrongMethod, "method", "expected POST" } },
             routing::RunState::NotRun);
      return;
    }
    auto request =
      ReadCallerRequest(mHttp,
                        { .mSigner = mApi.mSigner,
                          .mDefaultDeadline = mApi.mDefaultDeadline,
                          .mGeneratedId = NewId() },
                        mStart);
    if (!request) {
      Refuse(request.assume_error(), routing::RunState::NotRun);
      return;
    }
    mRequest = std::move(request).assume_value();
    if (mApi.mServices.mState->Now() != entry::Phase::Serving) {
      mWriter.CloseAfterResponse();
    }
    if (mApi.mServices.mState->Now() == entry::Phase::Stopping) {
      Refuse({ { error::ErrorKind::Draining,
                 "instance",
                 "the instance finishes its work and stops" } },
             routing::RunState::NotRun);
      return;
    }
    if (!mApi.mServices.mBilling->HasRoom()) {
      Refuse(
        { { error::ErrorKind::NoCapacity,
            "billing",
            "the platform takes no billing records and memory is short" } },
        routing::RunState::NotRun);
      return;
    }
    const auto result = mApi.mServices.mRunner->Run(
      mRequest, mHttp.mBody, MakeRelay(), MakeSink(), mSummary);
    if (const auto* const answer = std::get_if<entry::Answer>(&result)) {
      Deliver(*answer);
    } else if (const auto* const relayed =
                 std::get_if<entry::Relayed>(&result)) {
      EndRelay(*relayed);
    } else {
      const auto& refusal = std::get<routing::Refuse>(result);
      Refuse({ { refusal.mKind, mHttp.mPath, refusal.mText } }, refusal.mRun);
    }
  }

private:
  [[nodiscard]] std::string NewId() const
  {
    return mApi.mIdPrefix + std::to_string(++mApi.mLastId);
  }

  [[nodiscard]] entry::RelayRequest MakeRelay() const
  {
    entry::RelayRequest relay{ .mPath = mHttp.mPath, .mHeaders = {} };
    for (const auto name : kRelayedHeaders) {
      const auto value = http::FindHeader(mHttp.mHeaders, name);
      if (!value.empty()) {
        relay.mHeaders.push_back({ std::string(name), std::string(value) });
      }
    }
    relay.mHeaders.push_back(
      { std::string(kAccountHeader), mRequest.mAccount });
    relay.mHeaders.push_back({ std::string(kRequestIdHeader), mRequest.mId });
    relay.mHeaders.push_back({ std::string(kForwardedHeader), "1" });
    relay.mHeaders.push_back({ "Content-Type", "application/json" });
    return relay;
  }

  entry::CallerSink MakeSink()
  {
    return {
      .mOnToken =
        [this](std::string_view aVersion, std::string_view aToken) {
          BeginStream(aVersion);
          return mWriter.SendChunk(PrintChatEvent(mRequest, aVersion, aToken));
        },
      .mOnRelayHead =
        [this](const http::ClientResponse& aHead) { BeginRelay(aHead); },
      .mOnRelayBody =
        [this](std::string_view aBody) {
          return aBody.empty() || mWriter.SendChunk(aBody);
        },
    };
  }

  /// Returns the generation in force, 0 if none is.
  [[nodiscard]] std::int64_t Generation() const
  {
    const auto snapshot = mApi.mServices.mControl->Snapshot();
    return snapshot->mManifest == nullptr ? 0
                                          : snapshot->mManifest->Generation();
  }

  [[nodiscard]] std::vector<http::Header> CommonHeaders(
    routing::RunState aRun,
    std::string_view aContentType) const
  {
    return {
      { "Content-Type", std::string(aContentType) },
      { std::string(kRequestIdHeader), mRequest.mId },
      { std::string(kRunHeader), std::string(routing::NameOf(aRun)) },
      { std::string(kGenerationHeader), std::to_string(Generation()) },
    };
  }

  [[nodiscard]] std::vector<http::Header> AnswerHeaders(
    std::string_view aVersion,
    std::string_view aContentType) const
  {
    auto headers = CommonHeaders(routing::RunState::Run, aContentType);
    if (!aVersion.empty()) {
      const routing::SessionPin pin{ .mAccount = mRequest.mAccount,
                                     .mTarget = TargetName(mRequest),
                                     .mVersion = std::string(aVersion) };
      headers.push_back(
        { std::string(kSessionHeader), mApi.mSigner.Sign(pin) });
      headers.push_back({ std::string(kVersionHeader), std::string(aVersion) });
    }
    return headers;
  }

  void BeginStream(std::string_view aVersion)
  {
    if (!mWriter.Begun()) {
      (void)mWriter.Begin(kStatusOk,
                          AnswerHeaders(aVersion, "text/event-stream"));
    }
  }

  void BeginRelay(const http::ClientResponse& aHead)
  {
    constexpr std::string_view kKept[] = { "Content-Type", kRequestIdHeader,
                                           kRunHeader,     kGenerationHeader,
                                           kSessionHeader, kVersionHeader };
    std::vector<http::Header> headers;
    for (const auto name : kKept) {
      const auto value = http::FindHeader(aHead.mHeaders, name);
      if (!value.empty()) {
        headers.push_back({ std::string(name), std::string(value) });
      }
    }
    (void)mWriter.Begin(aHead.mStatus, headers);
  }

  void EndRelay(const entry::Relayed& aRelayed)
  {
    if (aRelayed.mWhole) {
      (void)mWriter.End();
    } else {
      mWriter.Abort();
    }
    Count("relayed", "none");
  }

  void Deliver(const entry::Answer& aAnswer)
  {
    const auto end = ReadClock();
    // billed before the answer leaves, so that no answer goes unbilled
    Bill(aAnswer, end);
    SendAnswer(aAnswer);
    Rate(aAnswer);
    Count("answered", "none");
    CountForSlos(report::AnsweredRequest{ .mLatency = end - mStart });
    const auto micros = static_cast<double>(Duration(end - mStart).count());
    mApi.mServices.mMetrics
      ->HistogramOf("figslip_request_latency_ms",
                    { { "account", AccountLabel() } })
      .Observe(micros / kMicrosPerMilli);
  }

  void Bill(const entry::Answer& aAnswer, TimePoint aEnd)
  {
    if (aAnswer.mReplayedRecord) {
      // the earlier holder may have crashed before it billed; the ledger
      // drops the second record of a request
      const auto stored = billing::ParseBatch(*aAnswer.mReplayedRecord);
      if (stored) {
        for (const auto& record : stored.assume_value()) {
          mApi.mServices.mBilling->Add(record);
        }
      }
      return;
    }
    const auto record = MakeRecord(mSummary, mStart, aEnd);
    if (aAnswer.mClaim) {
      mApi.mServices.mRunner->CompleteClaim(
        mRequest, aAnswer, billing::PrintBatch({ record }));
    }
    mApi.mServices.mBilling->Add(record);
  }

  void SendAnswer(const entry::Answer& aAnswer)
  {
    const auto* const chat =
      std::get_if<routing::ChatTarget>(&mRequest.mTarget);
    if (chat == nullptr) {
      (void)mWriter.Send(
        kStatusOk, AnswerHeaders({}, "application/json"), aAnswer.mText);
    } else if (chat->mStream) {
      BeginStream(aAnswer.mVersion);
      (void)mWriter.SendChunk(kLastEvent);
      (void)mWriter.End();
    } else {
      (void)mWriter.Send(kStatusOk,
                         AnswerHeaders(aAnswer.mVersion, "application/json"),
                         PrintChatAnswer(mRequest, aAnswer));
    }
  }

  void Rate(const entry::Answer& aAnswer)
  {
    const auto* const chat =
      std::get_if<routing::ChatTarget>(&mRequest.mTarget);
    const auto bucket = std::hash<std::string>{}(mRequest.mId) % kRatingBuckets;
    if (chat == nullptr ||
        static_cast<double>(bucket) >= mApi.mRatingShare * kRatingBuckets) {
      return;
    }
    mApi.mServices.mRatings->Submit({ .mSource = {},
                                      .mAccount = mRequest.mAccount,
                                      .mRequestId = mRequest.mId,
                                      .mKey = mSummary.mRatingKey,
                                      .mAnswer = aAnswer.mText });
  }

  void Refuse(const error::Findings& aFindings, routing::RunState aRun)
  {
    const auto kind = aFindings.front().mKind;
    if (mWriter.Begun()) {
      (void)mWriter.SendChunk(PrintErrorEvent(aFindings, aRun));
      mWriter.Abort();
    } else {
      auto headers = CommonHeaders(aRun, "application/json");
      if (StatusOf(kind) == StatusOf(error::ErrorKind::NotReady)) {
        headers.push_back({ "Retry-After", "1" });
      }
      if (kind == error::ErrorKind::WrongMethod) {
        headers.push_back({ "Allow", "POST" });
      }
      (void)mWriter.Send(StatusOf(kind), headers, PrintError(aFindings, aRun));
    }
    log::Write(log::Level::Info,
               "request_refused",
               { { "request_id", mRequest.mId },
                 { "account", mRequest.mAccount },
                 { "generation", std::to_string(Generation()) },
                 { "run", std::string(routing::NameOf(aRun)) },
                 { "error", error::JoinMessages(aFindings, "; ") } });
    Count("refused", error::Describe(kind).mName);
    CountForSlos(report::RefusedRequest{ .mKind = kind });
  }

  void CountForSlos(const report::SloEvent& aEvent) const
  {
    const auto snapshot = mApi.mServices.mControl->Snapshot();
    if (snapshot->mManifest != nullptr) {
      report::CountForSlos(*mApi.mServices.mMetrics,
                           snapshot->mManifest->Content(),
                           mRequest.mAccount,
                           aEvent);
    }
  }

  /// Names the client account in metrics. Accounts that are not defined share
  /// one label, since callers could make up any number of them.
  [[nodiscard]] std::string AccountLabel() const
  {
    const auto snapshot = mApi.mServices.mControl->Snapshot();
    const bool known =
      snapshot->mManifest != nullptr &&
      snapshot->mManifest->FindAccount(mRequest.mAccount) != nullptr;
    return known ? mRequest.mAccount : "unknown";
  }

  void Count(std::string_view aResult, std::string_view aError) const
  {
    mApi.mServices.mMetrics
      ->CounterOf("figslip_requests_total",
                  { { "account", AccountLabel() },
                    { "result", std::string(aResult) },
                    { "error", std::string(aError) } })
      .Add();
  }

  CallerApi& mApi;
  const http::ServerRequest& mHttp;
  http::ResponseWriter& mWriter;
  TimePoint mStart;
  routing::Request mRequest;
  routing::RequestSummary mSummary;
};

CallerApi::CallerApi(const settings::EntrySettings& aSettings,
                     const membership::Incarnation& aSelf,
                     Services aServices)
  : mSigner(aSettings.mSessionKeys)
  , mDefaultDeadline(std::chrono::milliseconds(aSettings.mDefaultDeadlineMs))
  , mRatingShare(aSettings.mRatingShare)
  , mIdPrefix(aSelf.mInstance + "-" + std::to_string(aSelf.mStartedAt) + "-r")
  , mServices(std::move(aServices))
{
}

std::vector<http::HttpServer::Route>
CallerApi::Routes()
{
  const auto serve = [this](const http::ServerRequest& aRequest,
                            http::ResponseWriter& aWriter) {
    Serve(aRequest, aWriter);
  };
  return { { std::string(kChatPath), serve },
           { std::string(kServicePath), serve } };
}

void
CallerApi::Serve(const http::ServerRequest& aRequest,
                 http::ResponseWriter& aWriter)
{
  const entry::EntryState::OpenRequest open(*mServices.mState);
  Exchange(*this, aRequest, aWriter).Run();
}

} // namespace figslip::caller
