#include <figslip/http/detail/bounded_client.hpp>
#include <figslip/http/http_client.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace figslip::http {

namespace {

struct Connection
{
  explicit Connection(const Endpoint& aEndpoint)
    : mClient(aEndpoint.mAddress, aEndpoint.mPort, {})
    , mOpenedAt(ReadClock())
    , mIdleSince(mOpenedAt)
  {
    mClient.set_keep_alive(true);
    mClient.set_tcp_nodelay(true);
  }

  detail::BoundedClient mClient;
  TimePoint mOpenedAt;
  TimePoint mIdleSince;
  bool mUsed = false; ///< has served a call
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// Shuts connections down whose present step takes too long.
class StepTimer
{
public:
  StepTimer()
    : mThread([this] { Run(); })
  {
  }

  StepTimer(const StepTimer&) = delete;
  StepTimer& operator=(const StepTimer&) = delete;

  ~StepTimer()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mChanged.notify_one();
    mThread.join();
  }

  /// Tells whether a step that has taken its time may be given up.
  using MayGiveUp = std::function<bool()>;

  /// Starts the time of a step anew.
  /// @param[in] aGiveUpAt end of a step that `aMayGiveUp` has prolonged
  void Arm(httplib::ClientImpl& aClient,
           Duration aTimeout,
           TimePoint aGiveUpAt,
           MayGiveUp aMayGiveUp)
  {
    {
      const std::lock_guard lock(mMutex);
      mSteps[&aClient] = { .mDeadline = ReadClock() + aTimeout,
                           .mTimeout = aTimeout,
                           .mGiveUpAt = aGiveUpAt,
                           .mMayGiveUp = std::move(aMayGiveUp) };
    }
    mChanged.notify_one();
  }

  /// Returns whether the step had run out of time.
  bool Disarm(httplib::ClientImpl& aClient)
  {
    const std::lock_guard lock(mMutex);
    const auto step = mSteps.extract(&aClient);
    return !step.empty() && step.mapped().mExpired;
  }

private:
  struct Step
  {
    TimePoint mDeadline;
    Duration mTimeout{};
    TimePoint mGiveUpAt;
    MayGiveUp mMayGiveUp; ///< empty: always
    bool mExpired = false;

    /// Checks whether the step is over, or gives it more time.
    [[nodiscard]] bool Expires(TimePoint aNow)
    {
      if (aNow < mDeadline) {
        return false;
      }
      if (aNow >= mGiveUpAt || !mMayGiveUp || mMayGiveUp()) {
        return true;
      }
      mDeadline = std::min(aNow + mTimeout, mGiveUpAt);
      return false;
    }
  };

  static constexpr Duration kLongestSleep = std::chrono::seconds(1);

  void Run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      const auto now = ReadClock();
      auto next = now + kLongestSleep;
      for (auto& [client, step] : mSteps) {
        if (step.mExpired) {
          continue;
        }
        if (step.Expires(now)) {
          step.mExpired = true;
          client->stop();
        } else {
          next = std::min(next, step.mDeadline);
        }
      }
      mChanged.wait_for(lock, next - now);
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<httplib::ClientImpl*, Step> mSteps;
  bool mStopping = false;
  std::thread mThread;
};

httplib::Request
MakeRequest(const ClientRequest& aRequest)
{
  httplib::Request request;
  request.path = aRequest.mTarget;
  request.body = aRequest.mBody;
  switch (aRequest.mMethod) {
    case Method::Get:
      request.method = "GET";
      break;
    case Method::Post:
      request.method = "POST";
      break;
    case Method::Put:
      request.method = "PUT";
      break;
  }
  for (const auto& header : aRequest.mHeaders) {
    request.headers.emplace(header.mName, header.mValue);
  }
  return request;
}

ClientResponse
MakeResponse(const httplib::Response& aResponse, std::string aBody)
{
  ClientResponse response{ .mStatus = aResponse.status,
                           .mHeaders = {},
                           .mBody = std::move(aBody) };
  for (const auto& [name, value] : aResponse.headers) {
    response.mHeaders.push_back({ name, value });
  }
  return response;
}

constexpr int kStatusOk = 200;

/// Lowest status that ends an exchange. The library hands over other heads too,
/// but those of "100 Continue".
constexpr int kFirstFinalStatus = 200;

} // namespace

class HttpClient::Implementation
{
public:
  explicit Implementation(Options aOptions)
    : mOptions(aOptions)
  {
  }

  CallResult Call(const Endpoint& aEndpoint,
                  const ClientRequest& aRequest,
                  const CallOptions& aOptions)
  {
    auto connection = aOptions.mFreshConnection
                        ? std::make_unique<Connection>(aEndpoint)
                        : Take(aEndpoint);
    auto& client = connection->mClient;
    client.set_connection_timeout(aOptions.mConnectTimeout);
    // steps are timed by the step timer; this only has to be longer
    const auto longestStep = std::max(
      aOptions.mFirstByteTimeout + aOptions.mNextByteTimeout,
      aOptions.mMayGiveUp ? aOptions.mDeadline - ReadClock() : Duration{});
    client.SetReadTimeout(longestStep + std::chrono::seconds(1));
    StepTimer::MayGiveUp mayGiveUp;
    if (aOptions.mMayGiveUp) {
      mayGiveUp = [&aOptions, isReused = connection->mUsed] {
        return aOptions.mMayGiveUp(isReused);
      };
    }
    const auto arm = [&](Duration aTimeout) {
      mTimer.Arm(client, aTimeout, aOptions.mDeadline, mayGiveUp);
    };
    if (aOptions.mBeforeSend && !aOptions.mBeforeSend()) {
      Give(aEndpoint, std::move(connection));
      return CallFailure{ .mBytesMayHaveLeft = false };
    }
    auto request = MakeRequest(aRequest);
    std::string body;
    int status = 0;
    request.response_handler = [&](const httplib::Response& aResponse) {
      client.OnHeadRead();
      status = aResponse.status;
      if (status < kFirstFinalStatus) {
        return false; // no answer: the call fails, the connection is not kept
      }
      if (aOptions.mOnHead) {
        aOptions.mOnHead(MakeResponse(aResponse, {}));
      }
      arm(aOptions.mNextByteTimeout);
      return true;
    };
    request.content_receiver = [&](const char* aData,
                                   std::size_t aLength,
                                   std::uint64_t /*aOffset*/,
                                   std::uint64_t /*aTotal*/) {
      arm(aOptions.mNextByteTimeout);
      if (status == kStatusOk && aOptions.mReceiver) {
        return aOptions.mReceiver(std::string_view(aData, aLength));
      }
      body.append(aData, aLength);
      return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    arm(aOptions.mConnectTimeout + aOptions.mFirstByteTimeout);
    const bool whole = client.send(request, response, error);
    const bool timedOut = mTimer.Disarm(client);
    if (whole && !timedOut) {
      if (!aOptions.mFreshConnection) {
        Give(aEndpoint, std::move(connection));
      }
      return MakeResponse(response, std::move(body));
    }
    const bool notConnected = error == httplib::Error::Connection ||
                              error == httplib::Error::ConnectionTimeout ||
                              error == httplib::Error::BindIPAddress;
    return CallFailure{ .mBytesMayHaveLeft = !notConnected,
                        .mTimedOut = timedOut ||
                                     error == httplib::Error::ConnectionTimeout,
                        .mReusedConnection = connection->mUsed };
  }

  void RetireConnections(const Endpoint& aEndpoint)
  {
    const std::lock_guard lock(mMutex);
    mIdle.erase(aEndpoint);
  }

private:
  ConnectionPtr Take(const Endpoint& aEndpoint)
  {
    const std::lock_guard lock(mMutex);
    auto& idle = mIdle[aEndpoint];
    const auto now = ReadClock();
    std::erase_if(idle, [&](const ConnectionPtr& aConnection) {
      return now - aConnection->mIdleSince > mOptions.mMaxIdle ||
             now - aConnection->mOpenedAt > mOptions.mMaxAge;
    });
    if (idle.empty()) {
      return std::make_unique<Connection>(aEndpoint);
    }
    // the youngest connection is the least likely to have gone silent
    const auto youngest =
      std::ranges::max_element(idle, {}, [](const ConnectionPtr& aConnection) {
        return aConnection->mOpenedAt;
      });
    auto connection = std::move(*youngest);
    idle.erase(youngest);
    return connection;
  }

  void Give(const Endpoint& aEndpoint, ConnectionPtr aConnection)
  {
    aConnection->mIdleSince = ReadClock();
    aConnection->mUsed = true;
    const std::lock_guard lock(mMutex);
    mIdle[aEndpoint].push_back(std::move(aConnection));
  }

  Options mOptions;
  StepTimer mTimer;
  std::mutex mMutex;
  std::map<Endpoint, std::vector<ConnectionPtr>> mIdle;
};

HttpClient::HttpClient(Options aOptions)
  : mImplementation(std::make_unique<Implementation>(aOptions))
{
}

HttpClient::~HttpClient() = default;

CallResult
HttpClient::Call(const Endpoint& aEndpoint,
                 const ClientRequest& aRequest,
                 const CallOptions& aOptions)
{
  return mImplementation->Call(aEndpoint, aRequest, aOptions);
}

void
HttpClient::RetireConnections(const Endpoint& aEndpoint)
{
  mImplementation->RetireConnections(aEndpoint);
}

} // namespace figslip::http
