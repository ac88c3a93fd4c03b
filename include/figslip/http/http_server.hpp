#pragma once

#include <figslip/error/result.hpp>
#include <figslip/http/http_message.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct mg_connection;

namespace figslip::http {

/// @brief Holds a request that a server received.
struct ServerRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery; ///< without the question mark; empty if absent
  std::vector<Header> mHeaders;
  std::string mBody;
  bool mBodyTooLarge = false; ///< the body was over the limit and is not read
};

/// @brief Finds a parameter of a query, decoded.
/// @return its value, empty if absent
[[nodiscard]] std::string
FindParameter(std::string_view aQuery, std::string_view aName);

/// @brief Writes the response to one request.
class ResponseWriter
{
public:
  explicit ResponseWriter(mg_connection* aConnection)
    : mConnection(aConnection)
  {
  }

  /// @brief Sends a whole response; at most once, and not after `Begin`.
  /// @return false where the connection is broken
  bool Send(int aStatus,
            const std::vector<Header>& aHeaders,
            std::string_view aBody);

  /// @brief Begins a response that is sent in chunks.
  /// @return false where the connection is broken
  bool Begin(int aStatus, const std::vector<Header>& aHeaders);

  /// @brief Sends one chunk.
  /// @return false where the connection is broken
  bool SendChunk(std::string_view aChunk);

  /// @brief Ends a response that was begun.
  bool End();

  /// @brief Breaks the connection after this response.
  ///
  /// A chunked response without its last chunk is not whole to any reader.
  void Abort() { mAborted = true; }

  /// @brief Tells the client to send no further request on this connection.
  void CloseAfterResponse() { mCloseAfter = true; }

  [[nodiscard]] bool EndsConnection() const { return mAborted || mCloseAfter; }
  [[nodiscard]] bool Aborted() const { return mAborted; }
  [[nodiscard]] bool Begun() const { return mBegun; }

private:
  [[nodiscard]] std::string HeadOf(int aStatus,
                                   const std::vector<Header>& aHeaders) const;
  bool Write(const std::string& aText);

  mg_connection* mConnection;
  bool mBegun = false;
  bool mAborted = false;
  bool mCloseAfter = false;
};

/// @brief Serves HTTP on one port with a pool of threads.
class HttpServer
{
public:
  using Handler = std::function<void(const ServerRequest&, ResponseWriter&)>;

  /// @brief Binds a handler to a path and all paths below it.
  struct Route
  {
    std::string mPath;
    Handler mHandler;
  };

  struct Options
  {
    std::string mAddress = "127.0.0.1"; ///< IP number to listen on
    int mPort = 0;                      ///< TCP port; 0 lets the system choose
    int mThreads = 64;                  ///< requests served at a time, >= 1
    std::size_t mMaxBodyBytes = 1U << 20U;
  };

  /// @brief Starts to listen and to serve.
  /// @return the server, or a finding with the address that cannot be used
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Start(
    const Options& aOptions,
    std::vector<Route> aRoutes);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Stops: finishes the requests being served, then ends all threads.
  ~HttpServer();

  /// @brief Returns the port that the server listens on.
  [[nodiscard]] int Port() const;

private:
  class Implementation;
  explicit HttpServer(std::unique_ptr<Implementation> aImplementation);
  std::unique_ptr<Implementation> mImplementation;
};

} // namespace figslip::http
