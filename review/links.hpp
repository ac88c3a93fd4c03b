#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// @brief Small stand-ins of the platform, of workers and of clients.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// @brief Holds a request or an answer of HTTP/1.1.
struct Message
{
  std::string mStart; ///< first line
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  /// @brief Returns the value of a header; empty: there is none.
  [[nodiscard]] std::string Header(std::string_view aName) const;
  /// @brief Returns a word of the first line.
  [[nodiscard]] std::string Word(int aIndex) const;
  [[nodiscard]] int Status() const;
};

/// @brief Formats an answer with a body of stated length.
[[nodiscard]] std::string
FormatAnswer(int aStatus,
             const std::vector<std::pair<std::string, std::string>>& aHeaders,
             const std::string& aBody);

/// @brief Holds an open connection.
class Link
{
public:
  explicit Link(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  ~Link();

  /// @brief Connects; the link is not open if that fails.
  [[nodiscard]] static std::unique_ptr<Link> Connect(
    const std::string& aAddress,
    int aPort);

  [[nodiscard]] bool IsOpen() const { return mDescriptor >= 0; }
  [[nodiscard]] bool Send(const std::string& aBytes);
  /// @brief Reads a message; nothing if the connection ends or time is up.
  /// @param[in] aHasBody false: what follows the head belongs to the next one,
  /// as after the answer to HEAD
  [[nodiscard]] std::optional<Message> Read(milliseconds aPatience,
                                            bool aHasBody = true);
  /// @brief Lets the connection end with a reset.
  void ResetAtEnd();

private:
  /// Receives some bytes.
  [[nodiscard]] bool Receive(Clock::time_point aUntil);
  [[nodiscard]] bool ReadChunks(Message& aMessage, Clock::time_point aUntil);

  int mDescriptor;
  std::string mInput;
};

/// @brief Serves requests on a port of a loopback address, each connection in a
/// thread of its own.
class Server
{
public:
  /// Answers a request with the bytes to send; empty: closes the connection.
  using Handler = std::function<std::string(const Message&)>;

  /// @param[in] aPort 0: a free one
  Server(std::string aAddress, int aPort, Handler aHandler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  [[nodiscard]] int Port() const { return mPort; }
  /// @brief Resets all connections, and new ones until it is up again.
  void SetUp(bool aIsUp);
  /// @brief Returns whether connections are served.
  [[nodiscard]] bool IsUp() const { return mIsUp; }

private:
  void Accept();
  void Serve(int aDescriptor);

  Handler mHandler;
  int mListener = -1;
  int mPort = 0;
  std::atomic<bool> mIsUp{ true };
  std::atomic<bool> mIsEnding{ false };
  std::mutex mMutex;
  std::set<int> mOpen;
  std::atomic<int> mServing{ 0 };
  std::thread mThread;
};

} // namespace review
