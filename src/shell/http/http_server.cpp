#include <figslip/http/http_server.hpp>

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace figslip::http {

namespace {

constexpr int kHandled = 1;

std::string_view
ReasonOf(int aStatus)
{
  return mg_get_response_code_text(nullptr, aStatus);
}

/// Reads a body; stops once it is over the limit, as a chunked one tells no
/// length beforehand.
std::string
ReadBody(mg_connection* aConnection, std::size_t aMaxBytes)
{
  std::string body;
  std::array<char, 16384> buffer{};
  int count = mg_read(aConnection, buffer.data(), buffer.size());
  while (count > 0 && body.size() <= aMaxBytes) {
    body.append(buffer.data(), static_cast<std::size_t>(count));
    count = mg_read(aConnection, buffer.data(), buffer.size());
  }
  return body;
}

ServerRequest
ReadRequest(mg_connection* aConnection, std::size_t aMaxBodyBytes)
{
  const auto* const info = mg_get_request_info(aConnection);
  ServerRequest request;
  request.mMethod = info->request_method;
  request.mPath = info->local_uri;
  request.mQuery = info->query_string == nullptr ? "" : info->query_string;
  for (int index = 0; index < info->num_headers; ++index) {
    const auto& header = info->http_headers[index];
    request.mHeaders.push_back({ header.name, header.value });
  }
  if (info->content_length > static_cast<long long>(aMaxBodyBytes)) {
    request.mBodyTooLarge = true;
  } else {
    request.mBody = ReadBody(aConnection, aMaxBodyBytes);
    request.mBodyTooLarge = request.mBody.size() > aMaxBodyBytes;
  }
  return request;
}

struct BoundRoute
{
  HttpServer::Route mRoute;
  std::size_t mMaxBodyBytes;
};

int
Serve(mg_connection* aConnection, void* aData)
{
  const auto& route = *static_cast<const BoundRoute*>(aData);
  const auto request = ReadRequest(aConnection, route.mMaxBodyBytes);
  ResponseWriter writer(aConnection);
  route.mRoute.mHandler(request, writer);
  if (writer.EndsConnection() || request.mBodyTooLarge) {
    mg_disable_connection_keep_alive(aConnection);
  }
  return kHandled;
}

} // namespace

std::string
ResponseWriter::HeadOf(int aStatus, const std::vector<Header>& aHeaders) const
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  text += ReasonOf(aStatus);
  text += "\r\n";
  for (const auto& header : aHeaders) {
    text += header.mName + ": " + header.mValue + "\r\n";
  }
  if (mCloseAfter) {
    text += "Connection: close\r\n";
  }
  return text;
}

bool
ResponseWriter::Write(const std::string& aText)
{
  return mg_write(mConnection, aText.data(), aText.size()) ==
         static_cast<int>(aText.size());
}

bool
ResponseWriter::Send(int aStatus,
                     const std::vector<Header>& aHeaders,
                     std::string_view aBody)
{
  mBegun = true;
  auto text = HeadOf(aStatus, aHeaders);
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  text += aBody;
  return Write(text);
}

bool
ResponseWriter::Begin(int aStatus, const std::vector<Header>& aHeaders)
{
  mBegun = true;
  return Write(HeadOf(aStatus, aHeaders) +
               "Transfer-Encoding: chunked\r\n\r\n");
}

bool
ResponseWriter::SendChunk(std::string_view aChunk)
{
  return mg_send_chunk(mConnection,
                       aChunk.data(),
                       static_cast<unsigned int>(aChunk.size())) > 0;
}

bool
ResponseWriter::End()
{
  return mg_send_chunk(mConnection, "", 0) > 0;
}

class HttpServer::Implementation
{
public:
  Implementation(const Options& aOptions, std::vector<Route> aRoutes)
  {
    for (auto& route : aRoutes) {
      mRoutes.push_back(std::make_unique<BoundRoute>(
        BoundRoute{ std::move(route), aOptions.mMaxBodyBytes }));
    }
    const auto listen =
      aOptions.mAddress + ":" + std::to_string(aOptions.mPort);
    const auto threads = std::to_string(aOptions.mThreads);
    const char* settings[] = { "listening_ports",
                               listen.c_str(),
                               "num_threads",
                               threads.c_str(),
                               "enable_keep_alive",
                               "yes",
                               "keep_alive_timeout_ms",
                               "10000",
                               "tcp_nodelay",
                               "1",
                               "request_timeout_ms",
                               "30000",
                               nullptr };
    const mg_callbacks callbacks{};
    mContext = mg_start(&callbacks, nullptr, settings);
    if (mContext == nullptr) {
      return;
    }
    for (const auto& route : mRoutes) {
      mg_set_request_handler(
        mContext, route->mRoute.mPath.c_str(), Serve, route.get());
    }
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation()
  {
    if (mContext != nullptr) {
      mg_stop(mContext);
    }
  }

  [[nodiscard]] bool IsRunning() const { return mContext != nullptr; }

  [[nodiscard]] int Port() const
  {
    std::array<mg_server_port, 1> ports{};
    mg_get_server_ports(mContext, static_cast<int>(ports.size()), ports.data());
    return ports.front().port;
  }

private:
  std::vector<std::unique_ptr<BoundRoute>> mRoutes;
  mg_context* mContext = nullptr;
};

HttpServer::HttpServer(std::unique_ptr<Implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(const Options& aOptions, std::vector<Route> aRoutes)
{
  auto implementation =
    std::make_unique<Implementation>(aOptions, std::move(aRoutes));
  if (!implementation->IsRunning()) {
    return Failure(error::ErrorKind::BadSetting,
                   aOptions.mAddress + ":" + std::to_string(aOptions.mPort),
                   "the address cannot be listened on");
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

int
HttpServer::Port() const
{
  return mImplementation->Port();
}

std::string
FindParameter(std::string_view aQuery, std::string_view aName)
{
  std::array<char, 4096> value{};
  const int length = mg_get_var(aQuery.data(),
                                aQuery.size(),
                                std::string(aName).c_str(),
                                value.data(),
                                value.size());
  return length > 0
           ? std::string(value.data(), static_cast<std::size_t>(length))
           : std::string();
}

} // namespace figslip::http
