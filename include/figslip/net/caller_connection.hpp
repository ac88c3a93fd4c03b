#pragma once

#include <figslip/ingress/configuration.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/net/message.hpp>
#include <figslip/net/watchdog.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figslip::net {

/// @brief Lists how reading a request can end.
enum class ReadEnd
{
  Whole,          ///< a request was read
  Closed,         ///< the caller closed, or stayed idle for too long
  BadRequest,     ///< malformed, or framed in an ambiguous way
  HeaderTooLarge, ///< over the limit of the header
  BodyTooLarge,   ///< over the limit of the body
  TooSlow         ///< the request began and was not whole in time
};

/// @brief Serves the requests of one caller's connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  explicit CallerConnection(tcp::socket aSocket);

  /// @brief Reads the next request.
  [[nodiscard]] Awaitable<ReadEnd> Read(const ingress::CallerLimits& aLimits);

  /// @brief Returns the request read last.
  [[nodiscard]] RequestMessage& Request() { return mRequest; }
  [[nodiscard]] bool KeepsAlive() const { return mKeepsAlive; }
  [[nodiscard]] asio::any_io_executor Executor()
  {
    return mSocket.get_executor();
  }

  /// @brief Calls back once when the caller leaves before `StopWatching`.
  void WatchLeaving(std::function<void()> aOnLeft);
  void StopWatching();
  [[nodiscard]] bool HasLeft() const { return mHasLeft; }

  /// @brief Sends a whole response.
  /// @return false where the caller has gone
  [[nodiscard]] Awaitable<bool> Respond(unsigned aStatus,
                                        const Headers& aHeaders,
                                        std::string_view aBody,
                                        bool aClose);

  /// @brief Sends the head of a response whose length is not known yet.
  [[nodiscard]] Awaitable<bool> BeginStream(unsigned aStatus,
                                            const Headers& aHeaders,
                                            std::string_view aFirst,
                                            bool aClose);
  [[nodiscard]] Awaitable<bool> SendPiece(std::string_view aBytes);
  /// @brief Marks the response as complete.
  [[nodiscard]] Awaitable<bool> EndStream();

  /// @brief Closes without losing what was sent: bytes that the caller still
  /// sends are read for a while, as closing over them would reset.
  [[nodiscard]] Awaitable<void> CloseGracefully();
  /// @brief Ends whatever runs.
  void Abort();
  /// @brief Closes the connection if it waits for a request and none has
  /// arrived.
  void CloseIfIdle();
  /// @brief Returns whether a part of a request has been read.
  [[nodiscard]] bool IsReading() const { return mIsReading; }

private:
  /// @param[in] aBytes are sent first
  /// @param[in] aBody must stay valid until the end
  [[nodiscard]] Awaitable<bool> Write(std::string aBytes,
                                      std::string_view aBody = {});
  void Watch();
  [[nodiscard]] ReadEnd EndOf(const error_code& aError) const;
  void OnTooSlow();

  tcp::socket mSocket;
  Watchdog mWatchdog;
  boost::beast::flat_buffer mBuffer;
  RequestMessage mRequest;
  std::function<void()> mOnLeft;
  std::uint64_t mWatch = 0; ///< numbers the watches; an older one is ignored
  bool mWatching = false;
  bool mHasLeft = false;
  bool mKeepsAlive = true;
  bool mIdle = false;
  bool mIsReading = false; ///< a request that has begun
};

} // namespace figslip::net
