#pragma once

#include <figslip/admission/connection_budget.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/net/message.hpp>
#include <figslip/net/watchdog.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::net {

/// @brief Size of the kernel's buffers of an accepted connection, each way. An
/// ordinary request fits; unlike the default, it does not grow to megabytes for
/// a client that sends ahead or does not read.
inline constexpr int kKernelBufferBytes = 65'536;

/// @brief Size of the kernel's receive buffer of a connection that waits to be
/// accepted. It holds the head of an ordinary request. The kernel took 4 KB
/// from a client then, and 122 KB with `kKernelBufferBytes`.
inline constexpr int kWaitingBufferBytes = 4'096;

/// @brief Lists how reading a request can end.
enum class ReadEnd
{
  Whole,          ///< a request was read
  Closed,         ///< the caller closed, or stayed idle for too long
  BadRequest,     ///< malformed, or framed in an ambiguous way
  HeaderTooLarge, ///< over the limit of the header
  BodyTooLarge,   ///< over the limit of the body
  TooSlow,        ///< the request began and was not whole in time
  Yielded         ///< the budget of connections is short
};

/// @brief Serves the requests of one caller's connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  explicit CallerConnection(tcp::socket aSocket);

  /// @brief Takes what it holds from a budget from now on; without one, nothing
  /// is counted.
  /// @param[in] aAddress of the client
  /// @return false if the budget has no room; then the connection must not be
  /// served
  [[nodiscard]] bool Join(admission::ConnectionBudget& aBudget,
                          std::string aAddress);

  /// @brief Sets the time after which a caller that takes none of the bytes of
  /// a stream is given up.
  void SetStreamTimeout(Duration aTimeout) { mStreamTimeout = aTimeout; }

  /// @brief Reads the next request.
  [[nodiscard]] Awaitable<ReadEnd> Read(const ingress::CallerLimits& aLimits);

  /// @brief Begins to run the request read last: the budget counts the memory
  /// and the descriptor for sending it to an upstream.
  /// @return false if the budget has no room for them
  [[nodiscard]] bool BeginRun();

  /// @brief Returns whether the caller was given up because it took no bytes.
  [[nodiscard]] bool HasStalled() const { return mHasStalled; }

  /// @brief Returns the request read last.
  [[nodiscard]] RequestMessage& Request() { return mRequest; }
  [[nodiscard]] bool KeepsAlive() const { return mKeepsAlive; }
  /// @brief Returns whether the request read last had come, at least in part,
  /// before the end of the response to the one before it was sent.
  [[nodiscard]] bool IsPipelined() const { return mIsPipelined; }
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
  using Parser = http::request_parser<http::string_body>;

  /// @param[in] aBytes are sent first
  /// @param[in] aBody must stay valid until the end
  /// @param[in] aTimeout time in which the caller takes some of them
  [[nodiscard]] Awaitable<bool> Write(std::string aBytes,
                                      std::string_view aBody,
                                      Duration aTimeout);
  /// Sends what the kernel takes at once.
  /// @return the bytes that were sent, negative if the connection failed
  [[nodiscard]] long SendNow(std::string_view aBytes, std::string_view aBody);

  /// Reads the head into `mParser`; `mInput` begins with the body.
  [[nodiscard]] Awaitable<ReadEnd> ReadHead(
    const ingress::CallerLimits& aLimits);
  [[nodiscard]] Awaitable<ReadEnd> ReadBody(
    const ingress::CallerLimits& aLimits);
  /// Waits for bytes and appends them to `mInput`, which stays valid until the
  /// next wait; see `KeepInput`.
  /// @param[in] aMost bytes that are read at most, not 0
  [[nodiscard]] Awaitable<error_code> Receive(std::size_t aMost);
  /// Removes bytes that were parsed from `mInput`.
  void Consume(std::size_t aBytes);
  /// Stores what is left of `mInput` across a wait.
  void KeepInput();
  [[nodiscard]] ReadEnd ParseHead(std::size_t aSize);
  /// Parses what has arrived of the body, once there is memory for it.
  [[nodiscard]] ReadEnd ParseBody(const ingress::CallerLimits& aLimits);
  void TakeRequest();

  /// Finds out whether the next request has come before this one was answered.
  void CheckPipelining();

  void Watch();
  [[nodiscard]] ReadEnd EndOf(const error_code& aError) const;
  void OnTooSlow();
  /// Closes or frees what the budget wants back.
  void OnYield(admission::Shortage aShortage);
  [[nodiscard]] bool Resize(std::size_t aBytes);
  [[nodiscard]] bool HasYielded() const
  {
    return mMember && !mMember->IsAdmitted();
  }

  tcp::socket mSocket;
  Watchdog mWatchdog;
  Duration mStreamTimeout;
  std::optional<admission::ConnectionBudget::Member> mMember; ///< empty: none
  /// bytes that were received and not parsed, while nothing is parsed
  boost::beast::flat_buffer mBuffer;
  std::string_view mInput;         ///< in `mBuffer` or in the thread's buffer
  std::unique_ptr<Parser> mParser; ///< null: no request is read
  RequestMessage mRequest;
  std::size_t mHeadCost = 0; ///< memory of the request without its body
  std::function<void()> mOnLeft;
  std::uint64_t mWatch = 0; ///< numbers the watches; an older one is ignored
  bool mWatching = false;
  bool mHasLeft = false;
  bool mKeepsAlive = true;
  bool mIsPipelined = false;
  bool mIsNextPipelined = false;
  bool mIdle = false;
  bool mIsReading = false; ///< a request that has begun
  bool mHasStalled = false;
};

} // namespace figslip::net
