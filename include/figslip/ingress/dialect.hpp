#pragma once

#include <figslip/error/result.hpp>
#include <figslip/net/message.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figslip::ingress {

/// @brief Identifies a segment of a prompt that other requests may share.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;
};

/// @brief Holds what a caller declares about its request.
struct RequestMetadata
{
  std::string mAttemptId;           ///< unique for each attempt of the caller
  std::string mApiKey;              ///< empty if none was sent
  std::optional<Duration> mTimeout; ///< time that the caller waits
  std::string mModel;               ///< empty if none was named
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  /// in order; the last part is unique to the request
  std::vector<PromptPart> mPrompt;
  std::string mSession;     ///< empty if none was named
  std::string mLastEventId; ///< event after which a stream resumes
};

/// @brief Holds what an attempt adds to the caller's request.
struct AttemptMetadata
{
  Duration mTimeLeft{};  ///< until the timeout of the caller or the route
  std::string mUpstream; ///< id of the intended upstream
  std::string mAccount;  ///< empty on routes without API keys
  std::string mModel;    ///< empty: as named by the caller
  std::optional<int> mPriority; ///< 0 (most urgent) to 9
  std::string mLastEventId;     ///< event after which the stream resumes
};

/// @brief Holds the load that an upstream reports with a response.
struct ReportedLoad
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 1;
  /// time that work takes on the upstream's machine at this moment, relative to
  /// its usual time; nothing if it was not reported
  std::optional<double> mTimeFactor;
};

/// @brief Holds what an upstream declares in the head of a response.
struct ResponseMetadata
{
  bool mNotExecuted = false;  ///< the upstream guarantees that it ran nothing
  bool mHasSignature = false; ///< response of an upstream to a request
  std::string mAttemptId;     ///< id of the request; may be empty
  std::optional<ReportedLoad> mLoad;
  std::optional<int> mConfidence; ///< stated by the model, 0 to 100
  bool mIsLeaving = false;        ///< the upstream is about to stop serving
  /// time for which the upstream wants no requests, as stated; NaN if it is not
  /// a number
  std::optional<double> mPauseSeconds;
  /// requests per second that the upstream takes from all instances together,
  /// as stated; NaN if it is not a number >= 0
  std::optional<double> mMaxRate;
  /// the intended upstream did not answer; another one has its address
  bool mIsMisdirected = false;
};

/// @brief Translates between messages on the wire and the types above.
struct Dialect
{
  std::function<Result<RequestMetadata>(const net::RequestMessage&)>
    mReadRequest;
  std::function<net::RequestMessage(const net::RequestMessage&,
                                    const AttemptMetadata&)>
    mWriteAttempt;
  std::function<ResponseMetadata(const net::ResponseHead&)> mReadResponse;
};

} // namespace figslip::ingress
