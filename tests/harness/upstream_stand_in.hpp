#pragma once

#include <figslip/http/http_server.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace figslip::test {

/// Stands in for a model engine or a plain service.
///
/// Records every request that it starts, for the history checker, and serves
/// `/control/history` and `/control/fault` for the tests.
class UpstreamStandIn
{
public:
  struct Options
  {
    std::string mName;
    std::string mBootId;
    int mConcurrency = 8;     ///< more at a time fall over when warm
    int mColdConcurrency = 1; ///< more at a time fall over when cold
    int mColdRequests = 5;    ///< requests served before it is warm
    int mTokenMs = 1;         ///< time a token, milliseconds
    std::string mHistoryFile; ///< outlives a crash; none if empty
    std::map<std::string, double>
      mBadShare;                 ///< share of bad answers, by version
    bool mTakesOrders = false;   ///< serves only versions it is ordered to load
    bool mChecksFencing = false; ///< refuses orders with old tokens
  };

  explicit UpstreamStandIn(Options aOptions);

  [[nodiscard]] std::vector<http::HttpServer::Route> Routes();

private:
  using Writer = http::ResponseWriter;
  using Request = http::ServerRequest;

  struct Fault
  {
    bool mSilent = false;      ///< accepts requests and never answers
    bool mReject = false;      ///< answers 503 and runs nothing
    bool mBreakAnswer = false; ///< breaks each answer in the middle
    std::string mCrashOn;      ///< text in a body that ends the process
  };

  struct Run
  {
    std::string mText; ///< JSON object of the request started
  };

  /// Counts a request as running for as long as it lives.
  class Running;

  void ServeGenerate(const Request& aRequest, Writer& aWriter);
  void ServeCall(const Request& aRequest, Writer& aWriter);
  void ServeOrder(const Request& aRequest, Writer& aWriter);
  [[nodiscard]] bool Serves(const std::string& aVersion);
  void ServeLoad(const Request& aRequest, Writer& aWriter);
  void ServeControl(const Request& aRequest, Writer& aWriter);
  /// Records the request, unless it is rejected.
  /// @return whether the request is over
  [[nodiscard]] bool ApplyFault(const Request& aRequest,
                                const Running& aRunning,
                                Writer& aWriter);
  /// Records a request, or an order if there is no run.
  void Record(const Request& aRequest, const Running* aRunning);
  [[nodiscard]] std::string AnswerText(const std::string& aVersion,
                                       const std::string& aRequestId) const;

  Options mOptions;
  std::mutex mMutex;
  Fault mFault;
  std::vector<std::string> mHistory;
  int mHistoryHandle = -1; ///< file handle of the history file
  std::set<std::string> mLoaded;
  std::int64_t mHighestToken = 0;
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mOverloads{ 0 };
};

} // namespace figslip::test
