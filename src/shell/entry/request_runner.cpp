#include <figslip/entry/request_runner.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <utility>

namespace figslip::entry {

using routing::Decision;

namespace {

claim::ClaimRequest
ClaimOf(const routing::Request& aRequest, routing::TicketId aTicket)
{
  return { .mAccount = aRequest.mAccount,
           .mKey = aRequest.mIdempotencyKey,
           .mTicket = aTicket,
           .mFingerprint = aRequest.mFingerprint,
           .mDeadline = aRequest.mDeadline };
}

constexpr Duration kRelayMargin = std::chrono::milliseconds(500);

bool
IsOutOfCapacity(int aStatus)
{
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return aStatus == kTooManyRequests || aStatus == kUnavailable;
}

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

} // namespace

/// Follows one request from its first decision to its last.
class RequestRunner::Execution
{
public:
  Execution(const RequestRunner& aRunner,
            const routing::Request& aRequest,
            const std::string& aBody,
            const RelayRequest& aRelay,
            const CallerSink& aSink)
    : mRunner(aRunner)
    , mRouter(*aRunner.mServices.mRouter)
    , mRequest(aRequest)
    , mBody(aBody)
    , mRelay(aRelay)
    , mSink(aSink)
    , mTicket(mRouter.NextTicket())
  {
  }

  RunResult Run(routing::RequestSummary& aSummary)
  {
    auto decision = mRouter.With([&](routing::Router& aRouter) {
      return aRouter.Start(mTicket, mRequest, ReadClock());
    });
    while (!mResult) {
      decision = std::visit(
        Overloaded{
          [&](const routing::Dispatch& aStep) { return OnDispatch(aStep); },
          [&](const routing::Forward& aStep) { return OnForward(aStep); },
          [&](const routing::Wait& aStep) { return OnWait(aStep); },
          [&](const routing::ClaimKey&) { return OnClaimKey(); },
          [&](const routing::Deliver& aStep) { return OnDeliver(aStep); },
          [&](const routing::Refuse& aStep) { return OnRefuse(aStep); },
        },
        decision);
    }
    aSummary = mRouter.Close(mTicket, ReadClock());
    auto result = *std::move(mResult);
    SettleClaim(result);
    return result;
  }

private:
  Decision OnDispatch(const routing::Dispatch& aStep)
  {
    const upstream::UpstreamCall call{
      .mRequestId = mRequest.mId,
      .mAttemptId = mRunner.mSelf.mInstance + "-" +
                    std::to_string(mRunner.mSelf.mStartedAt) + "-" +
                    std::to_string(aStep.mAttempt),
      .mTarget = mRequest.mTarget,
      .mIdempotencyKey = mRequest.mIdempotencyKey,
      .mBody = mBody,
    };
    const auto beforeSend = [&] {
      return mRouter.With([&](const routing::Router& aRouter) {
        return !aRouter.RecheckDispatch(mTicket, ReadClock()).has_value();
      });
    };
    const auto sink = [&](std::string_view aToken) {
      return mSink.mOnToken(aStep.mVersion, aToken);
    };
    const auto mayGiveUp = [&](bool aIsReused) {
      return mRouter.With([&](const routing::Router& aRouter) {
        return aRouter.CanReplaceAttempt(mTicket, aIsReused, ReadClock());
      });
    };
    auto result = mRunner.mServices.mUpstreams->Run(
      aStep,
      call,
      { .mBeforeSend = beforeSend, .mMayGiveUp = mayGiveUp },
      sink);
    log::Write(
      log::Level::Debug,
      "attempt_ended",
      { { "request_id", mRequest.mId },
        { "attempt_id", call.mAttemptId },
        { "upstream", aStep.mUpstream },
        { "end", std::string(NameOf(result.mOutcome.mEnd)) },
        { "latency_us", std::to_string(result.mOutcome.mLatency.count()) } });
    if (result.mOutcome.mEnd == routing::AttemptEnd::Completed) {
      mAnswers[aStep.mAttempt] = { .mVersion = aStep.mVersion,
                                   .mText = std::move(result.mAnswer),
                                   .mTokens = result.mOutcome.mTokens,
                                   .mStreamed = aStep.mStreamToCaller };
    }
    return mRouter.With([&](routing::Router& aRouter) {
      return aRouter.OnOutcome(mTicket, result.mOutcome, ReadClock());
    });
  }

  /// Gives a claimed key back, so that the peer can claim it.
  /// @return false if the claim may still stand
  bool GiveClaimBack()
  {
    if (!mClaim) {
      return true;
    }
    mClaim.reset();
    mRouter.With(
      [&](routing::Router& aRouter) { aRouter.OnClaimReleased(mTicket); });
    mClaimMayStand =
      !mRunner.mServices.mClaims->TryRelease(ClaimOf(mRequest, mTicket));
    return !mClaimMayStand;
  }

  Decision OnForward(const routing::Forward& aStep)
  {
    if (!GiveClaimBack()) {
      return mRouter.With([&](routing::Router& aRouter) {
        return aRouter.OnForwardFailed(mTicket, false, ReadClock());
      });
    }
    const auto timeLeft =
      std::max(Duration::zero(), mRequest.mDeadline - ReadClock());
    bool refusedNotRun = false;
    bool begun = false;
    http::CallOptions options{ .mFirstByteTimeout = timeLeft + kRelayMargin,
                               .mNextByteTimeout = timeLeft + kRelayMargin,
                               // a pooled connection may have gone silent
                               .mFreshConnection = true };
    options.mOnHead = [&](const http::ClientResponse& aHead) {
      // other refusals than for want of capacity would be the same at every
      // entry; but a peer that did not run the request knows of no other run
      const bool saysNotRun = http::FindHeader(aHead.mHeaders, "Figslip-Run") ==
                              routing::NameOf(routing::RunState::NotRun);
      refusedNotRun =
        saysNotRun && (aStep.mMayHaveRun || IsOutOfCapacity(aHead.mStatus));
      if (!refusedNotRun) {
        begun = true;
        mSink.mOnRelayHead(aHead);
      }
    };
    options.mReceiver = mSink.mOnRelayBody;
    auto headers = mRelay.mHeaders;
    headers.push_back({ "Figslip-Deadline-Ms",
                        std::to_string(std::max<std::int64_t>(
                          1, timeLeft / std::chrono::milliseconds(1))) });
    const auto called =
      mRunner.mServices.mClient->Call({ aStep.mAddress, aStep.mPort },
                                      { .mMethod = http::Method::Post,
                                        .mTarget = mRelay.mPath,
                                        .mHeaders = std::move(headers),
                                        .mBody = mBody },
                                      options);
    const auto* const response = std::get_if<http::ClientResponse>(&called);
    if (begun) {
      if (response != nullptr) {
        mSink.mOnRelayBody(response->mBody);
      }
      mResult = Relayed{ .mWhole = response != nullptr };
      return aStep;
    }
    const auto* const failure = std::get_if<http::CallFailure>(&called);
    const bool bytesLeft = failure != nullptr && failure->mBytesMayHaveLeft;
    return mRouter.With([&](routing::Router& aRouter) {
      return aRouter.OnForwardFailed(mTicket, bytesLeft, ReadClock());
    });
  }

  Decision OnWait(const routing::Wait& aStep)
  {
    mRouter.WaitFor(mTicket, aStep.mUntil);
    return mRouter.With([&](routing::Router& aRouter) {
      return aRouter.Resume(mTicket, ReadClock());
    });
  }

  Decision OnClaimKey()
  {
    const auto onHeld = [&] {
      mRouter.With([&](routing::Router& aRouter) {
        aRouter.OnClaimBlocked(mTicket, ReadClock());
      });
    };
    const auto result =
      mRunner.mServices.mClaims->Claim(ClaimOf(mRequest, mTicket), onHeld);
    if (const auto* const won = std::get_if<claim::ClaimWon>(&result)) {
      mClaim = *won;
    }
    if (const auto* const answered =
          std::get_if<claim::ClaimAnswered>(&result)) {
      mAnswers[0] = { .mText = answered->mAnswer,
                      .mReplayedRecord = answered->mBillingRecord };
    }
    return mRouter.With([&](routing::Router& aRouter) {
      return aRouter.OnClaim(mTicket, claim::OutcomeOf(result), ReadClock());
    });
  }

  Decision OnDeliver(const routing::Deliver& aStep)
  {
    mResult = mAnswers.at(aStep.mAttempt);
    return aStep;
  }

  Decision OnRefuse(const routing::Refuse& aStep)
  {
    mResult = aStep;
    return aStep;
  }

  /// Gives the claimed key back if nothing ran.
  void SettleClaim(RunResult& aResult) const
  {
    if (!mClaim) {
      if (mClaimMayStand) {
        mRunner.mServices.mClaims->Release(ClaimOf(mRequest, mTicket));
      }
      return;
    }
    if (auto* const answer = std::get_if<Answer>(&aResult)) {
      answer->mClaim = mClaim;
      answer->mTicket = mTicket;
      return;
    }
    const auto* const refusal = std::get_if<routing::Refuse>(&aResult);
    if (refusal != nullptr && refusal->mRun == routing::RunState::NotRun) {
      mRunner.mServices.mClaims->Release(ClaimOf(mRequest, mTicket));
    }
  }

  const RequestRunner& mRunner;
  RouterService& mRouter;
  const routing::Request& mRequest;
  const std::string& mBody;
  const RelayRequest& mRelay;
  const CallerSink& mSink;
  routing::TicketId mTicket;
  std::map<routing::AttemptId, Answer> mAnswers;
  std::optional<RunResult> mResult;
  std::optional<claim::ClaimWon> mClaim;
  bool mClaimMayStand = false; ///< given back, but without the platform's word
};

RequestRunner::RequestRunner(membership::Incarnation aSelf, Services aServices)
  : mSelf(std::move(aSelf))
  , mServices(std::move(aServices))
{
}

RunResult
RequestRunner::Run(const routing::Request& aRequest,
                   const std::string& aBody,
                   const RelayRequest& aRelay,
                   const CallerSink& aSink,
                   routing::RequestSummary& aSummary)
{
  return Execution(*this, aRequest, aBody, aRelay, aSink).Run(aSummary);
}

void
RequestRunner::CompleteClaim(const routing::Request& aRequest,
                             const Answer& aAnswer,
                             std::string aBillingRecord)
{
  if (!aAnswer.mClaim) {
    return;
  }
  mServices.mClaims->Complete(ClaimOf(aRequest, aAnswer.mTicket),
                              *aAnswer.mClaim,
                              aAnswer.mText,
                              std::move(aBillingRecord));
}

} // namespace figslip::entry
