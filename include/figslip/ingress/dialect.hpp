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

/// @brief Names a part of a prompt that other requests may share.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;
};

/// @brief Holds what a caller states about its request.
struct RequestMetadata
{
  std::string mAttemptId;           ///< unique for each try of the caller
  std::string mApiKey;              ///< empty if none was sent
  std::optional<Duration> mTimeout; ///< how long the caller waits
  std::string mModel;               ///< empty if none was named
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  std::vector<PromptPart> mPrompt; ///< in order; the last is its own
  std::string mSession;            ///< empty if none was named
  std::string mLastEventId;        ///< event after which a stream goes on
};

/// @brief Holds what an attempt tells the upstream beyond the request.
struct AttemptMetadata
{
  Duration mTimeLeft{};         ///< until the caller or the route gives up
  std::string mUpstream;        ///< id of the upstream meant
  std::string mAccount;         ///< empty on routes without keys
  std::string mModel;           ///< empty: as the caller named it
  std::optional<int> mPriority; ///< 0 (first) to 9
  std::string mLastEventId;     ///< event after which the stream goes on
};

/// @brief Holds the load that an upstream states with an answer.
struct ReportedLoad
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 1;
};

/// @brief Holds what an upstream states in the head of an answer.
struct ResponseMetadata
{
  bool mNotExecuted = false;  ///< the upstream vouches that it ran nothing
  bool mHasSignature = false; ///< it is an answer of an upstream to a request
  std::string mAttemptId;     ///< request that it answers; may be empty
  std::optional<ReportedLoad> mLoad;
  std::optional<int> mConfidence; ///< model's opinion of its answer, 0 to 100
};

/// @brief Translates between requests on the wire and the product's types.
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
