#pragma once

#include <figslip/http/http_server.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace figslip::test {

/// Stands in for the platform: object API, instance list, rating service.
///
/// Besides the platform's own paths it serves `/control/...` for the tests:
/// `/control/instances` sets the instance list, `/control/fault` provokes an
/// outage, slowness, answers lost after they took effect, and stale reads.
class PlatformStandIn
{
public:
  [[nodiscard]] std::vector<http::HttpServer::Route> Routes();

private:
  struct Object
  {
    std::int64_t mVersion = 0;
    std::string mValue;
    std::vector<std::string> mHistory; ///< all values, the first one first
  };

  struct Fault
  {
    bool mDown = false;        ///< every call fails with status 503
    int mDelayMs = 0;          ///< added to every call
    bool mLoseAnswers = false; ///< writes take effect, their answers get lost
    bool mStaleReads = false;  ///< reads give the value before the last
  };

  struct RatedAnswer
  {
    std::string mSource;
    std::string mText; ///< JSON object of the rating
  };

  using Writer = http::ResponseWriter;
  using Request = http::ServerRequest;

  void ServeObjects(const Request& aRequest, Writer& aWriter);
  void ReadObject(const std::string& aName,
                  const Request& aRequest,
                  Writer& aWriter);
  void WriteObject(const std::string& aName,
                   const Request& aRequest,
                   Writer& aWriter);
  void ListObjects(const std::string& aKind, Writer& aWriter);
  void ServeInstances(const Request& aRequest, Writer& aWriter);
  void ServeRatings(const Request& aRequest, Writer& aWriter);
  void ServeControl(const Request& aRequest, Writer& aWriter);
  [[nodiscard]] bool ApplyFault(Writer& aWriter);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Object> mObjects; ///< by `kind/name`
  std::string mInstances = R"({"entries":[],"leaving_upstreams":[]})";
  std::vector<RatedAnswer> mRatings;
  Fault mFault;
  std::map<std::string, std::int64_t> mCalls; ///< counted by method and kind
};

} // namespace figslip::test
