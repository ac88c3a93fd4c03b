#pragma once

#include <figslip/claim/claim_service.hpp>
#include <figslip/entry/router_service.hpp>
#include <figslip/http/http_client.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/routing/decision.hpp>
#include <figslip/routing/request.hpp>
#include <figslip/upstream/upstream_adapter.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figslip::entry {

/// @brief Holds an answer for the caller.
struct Answer
{
  std::string mVersion; ///< empty for plain services
  std::string mText;    ///< text of a chat, JSON of a plain service
  std::int64_t mTokens = 0;
  bool mStreamed = false; ///< the text went to the caller already
  /// billing record of the earlier request whose stored answer this is
  std::optional<std::string> mReplayedRecord;
  routing::TicketId mTicket = 0;
  std::optional<claim::ClaimWon> mClaim; ///< claim to complete, if one is held
};

/// @brief Reports that a peer's response went to the caller.
struct Relayed
{
  bool mWhole = false;
};

/// @brief Holds how a request ended for its caller.
using RunResult = std::variant<Answer, Relayed, routing::Refuse>;

/// @brief Receives what goes to the caller while a request runs.
struct CallerSink
{
  /// takes one part of a streamed answer; returns false if the caller is gone
  std::function<bool(std::string_view aVersion, std::string_view aToken)>
    mOnToken;
  /// takes status and headers of a peer's response
  std::function<void(const http::ClientResponse&)> mOnRelayHead;
  /// takes a part of a peer's response body
  std::function<bool(std::string_view)> mOnRelayBody;
};

/// @brief Holds the caller's request as it goes on to a peer.
struct RelayRequest
{
  std::string mPath;
  std::vector<http::Header> mHeaders;
};

/// @brief Carries out the decisions of the router for one request at a time.
class RequestRunner
{
public:
  struct Services
  {
    std::shared_ptr<RouterService> mRouter;
    std::shared_ptr<upstream::UpstreamAdapter> mUpstreams;
    std::shared_ptr<http::HttpClient> mClient;
    std::shared_ptr<claim::ClaimService> mClaims;
  };

  RequestRunner(membership::Incarnation aSelf, Services aServices);

  /// @brief Runs a request to its end.
  /// @param[in] aRequest the facts that decisions depend on
  /// @param[in] aBody JSON text of the caller
  /// @param[in] aRelay what a peer is sent if the request is forwarded
  /// @param[in] aSink receives what goes to the caller meanwhile
  /// @param[out] aSummary receives the attempts made
  [[nodiscard]] RunResult Run(const routing::Request& aRequest,
                              const std::string& aBody,
                              const RelayRequest& aRelay,
                              const CallerSink& aSink,
                              routing::RequestSummary& aSummary);

  /// @brief Stores the answer of a claimed request under its key.
  /// @param[in] aBillingRecord JSON text of the record that bills it
  void CompleteClaim(const routing::Request& aRequest,
                     const Answer& aAnswer,
                     std::string aBillingRecord);

private:
  class Execution;

  membership::Incarnation mSelf;
  Services mServices;
};

} // namespace figslip::entry
