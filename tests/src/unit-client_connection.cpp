#include <figslip/net/client_connection.hpp>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <tuple>

using namespace figslip;
using namespace std::chrono_literals;
using net::StepEnd;
using net::tcp;

namespace {

/// More than the buffers of both ends hold, so that a part stays unsent.
constexpr std::size_t kRequestBytes = 8 << 20;
constexpr int kWindowBytes = 16'384;

const std::string kHead = "HTTP/1.1 200 OK\r\n";

/// Holds how the end of a response was read.
struct Outcome
{
  StepEnd mEnd = StepEnd::Closed;
  bool mIsWhole = false;
  std::string mBody;
};

/// Lists how an upstream ends its connection after its answer.
enum class Ending
{
  Reset,              ///< closes with a part of the request unread
  HalfCloseAndRead,   ///< stops sending and reads the rest
  HalfCloseThenReset, ///< stops sending, then closes with a part unread
};

void
ReadAll(int aSocket)
{
  std::array<char, 65'536> bytes{};
  while (::recv(aSocket, bytes.data(), bytes.size(), 0) > 0) {
  }
}

/// Answers one request before it was read, and ends the connection.
void
AnswerEarly(tcp::acceptor& aAcceptor, const std::string& aAnswer, Ending aHow)
{
  auto socket = aAcceptor.accept();
  const int descriptor = socket.native_handle();
  std::array<char, 512> begin{};
  ::recv(descriptor, begin.data(), begin.size(), 0);
  ::send(descriptor, aAnswer.data(), aAnswer.size(), MSG_NOSIGNAL);
  if (aHow != Ending::Reset) {
    ::shutdown(descriptor, SHUT_WR);
  }
  if (aHow == Ending::HalfCloseAndRead) {
    ReadAll(descriptor);
  } else {
    std::this_thread::sleep_for(50ms); // what was sent has arrived
  }
}

net::Awaitable<Outcome>
Exchange(net::ClientConnection& aConnection,
         std::uint16_t aPort,
         std::chrono::milliseconds aDelay,
         std::chrono::milliseconds aPatience = 5s)
{
  Outcome outcome;
  const net::Endpoint upstream{ .mAddress = "127.0.0.1", .mPort = aPort };
  outcome.mEnd = co_await aConnection.Connect(upstream, 1s);
  aConnection.StartSend(
    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kRequestBytes) +
    "\r\n\r\n" + std::string(kRequestBytes, 'b'));
  outcome.mEnd = co_await aConnection.ReadHead(aPatience);
  net::asio::steady_timer timer(aConnection.Executor(), aDelay);
  co_await timer.async_wait(net::asio::use_awaitable);
  while (outcome.mEnd == StepEnd::Done && !aConnection.BodyIsWhole()) {
    outcome.mEnd = co_await aConnection.ReadBody(5s);
    outcome.mBody += aConnection.Piece();
  }
  outcome.mIsWhole = aConnection.BodyIsWhole();
  aConnection.Abort();
  co_return outcome;
}

/// Sends a long request to an upstream that answers early.
/// @param[in] aDelay between the reading of the head and of the body
Outcome
Play(const std::string& aAnswer, Ending aHow, std::chrono::milliseconds aDelay)
{
  net::asio::io_context context(1);
  tcp::acceptor acceptor(context, tcp::v4());
  acceptor.set_option(net::asio::socket_base::receive_buffer_size(
    kWindowBytes)); // accepted sockets inherit it
  acceptor.bind({ net::asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.listen();
  auto upstream = std::async(std::launch::async,
                             [&] { AnswerEarly(acceptor, aAnswer, aHow); });
  net::ClientConnection connection(context.get_executor());
  Outcome outcome;
  net::asio::co_spawn(
    context,
    Exchange(connection, acceptor.local_endpoint().port(), aDelay),
    [&](const std::exception_ptr&, Outcome aOutcome) {
      outcome = std::move(aOutcome);
      context.stop();
    });
  context.run();
  upstream.get();
  return outcome;
}

void
CheckEndings(std::chrono::milliseconds aDelay)
{
  SUBCASE("and ends with the connection")
  {
    const auto answer = kHead + "Connection: close\r\n\r\nhalf";

    SUBCASE("is not whole after a reset")
    {
      const auto outcome = Play(answer, Ending::Reset, aDelay);
      CHECK_FALSE(outcome.mIsWhole);
      CHECK(outcome.mEnd == StepEnd::Closed);
    }

    SUBCASE("is whole if the upstream stops sending and reads on")
    {
      const auto outcome = Play(answer, Ending::HalfCloseAndRead, aDelay);
      CHECK(outcome.mIsWhole);
      CHECK(outcome.mBody == "half");
    }

    SUBCASE("is whole if a reset comes after the end of the answer")
    {
      const auto outcome = Play(answer, Ending::HalfCloseThenReset, aDelay);
      CHECK(outcome.mIsWhole);
      CHECK(outcome.mBody == "half");
    }
  }

  SUBCASE("and has a length is whole with its last byte")
  {
    const auto outcome =
      Play(kHead + "Content-Length: 4\r\n\r\nbody", Ending::Reset, aDelay);
    CHECK(outcome.mIsWhole);
    CHECK(outcome.mBody == "body");
  }

  SUBCASE("and has a length is not whole before its last byte")
  {
    const auto outcome = Play(kHead + "Content-Length: 5\r\n\r\nbody",
                              Ending::HalfCloseAndRead,
                              aDelay);
    CHECK_FALSE(outcome.mIsWhole);
  }

  SUBCASE("and is chunked is not whole before its last chunk")
  {
    const auto outcome =
      Play(kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
           Ending::Reset,
           aDelay);
    CHECK_FALSE(outcome.mIsWhole);
  }
}

} // namespace

// guards against half of an answer that is relayed as a complete one
TEST_CASE("a response that arrives while the request is still being sent")
{
  SUBCASE("and whose end is awaited")
  {
    CheckEndings(0ms);
  }

  SUBCASE("and whose end came before it is read")
  {
    CheckEndings(200ms);
  }
}

// guards against a second run of a request whose upstream reads its body late:
// the connection was closed 3 s after the receive window had filled
TEST_CASE("a response whose status is neither interim nor final is malformed")
{
  const std::string rest =
    "Content-Length: 0\r\n\r\n" + kHead + "Content-Length: 5\r\n\r\nwhole";
  for (const std::string line :
       { "HTTP/1.1 000 ?\r\n", "HTTP/1.1 099 ?\r\n", "HTTP/1.1 101 ?\r\n" }) {
    CAPTURE(line);
    const auto outcome = Play(line + rest, Ending::HalfCloseAndRead, 0ms);
    CHECK(outcome.mEnd == StepEnd::Malformed);
    CHECK(outcome.mBody.empty());
  }
}

TEST_CASE("an upstream that reads the body later than the timeout of the path")
{
  net::asio::io_context context(1);
  tcp::acceptor acceptor(context, tcp::v4());
  acceptor.set_option(
    net::asio::socket_base::receive_buffer_size(kWindowBytes));
  acceptor.bind({ net::asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.listen();
  auto upstream = std::async(std::launch::async, [&] {
    auto socket = acceptor.accept();
    std::this_thread::sleep_for(2 *
                                std::chrono::milliseconds(net::kUserTimeoutMs));
    const auto answer = kHead + "Content-Length: 4\r\n\r\nbody";
    ::send(socket.native_handle(), answer.data(), answer.size(), MSG_NOSIGNAL);
    ReadAll(socket.native_handle());
  });
  net::ClientConnection connection(context.get_executor());
  Outcome outcome;
  net::asio::co_spawn(
    context,
    Exchange(connection, acceptor.local_endpoint().port(), 0ms, 30s),
    [&](const std::exception_ptr&, Outcome aOutcome) {
      outcome = std::move(aOutcome);
      context.stop();
    });
  context.run();
  upstream.get();
  CHECK(outcome.mEnd == StepEnd::Done);
  CHECK(outcome.mBody == "body");
}

// guards against a check of the send queue that runs after its connection was
// destroyed: its timer had expired in the same turn of the event loop
TEST_CASE("connections that are destroyed when a check of them is due")
{
  net::asio::io_context context(1);
  tcp::acceptor acceptor(context, { tcp::v4(), 0 });
  auto connection =
    std::make_unique<net::ClientConnection>(context.get_executor());
  const auto play = [&]() -> net::Awaitable<void> {
    const net::Endpoint upstream{ .mAddress = "127.0.0.1",
                                  .mPort = acceptor.local_endpoint().port() };
    std::ignore = co_await connection->Connect(upstream, 1s);
    connection->StartSend("GET / HTTP/1.1\r\n\r\n");
    // the timer of the check and this one expire in the same turn
    std::this_thread::sleep_for(1'100ms);
    net::asio::post(context, [&] { connection.reset(); });
  };
  net::asio::co_spawn(context, play(), net::asio::detached);
  context.run_for(3s);
  CHECK_FALSE(connection);
}
