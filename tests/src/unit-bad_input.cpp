#include "harness/cluster.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using figslip::test::Cluster;
using Json = nlohmann::json;

namespace {

constexpr auto kEntry = "entry-sul-a";
constexpr auto kChat = "/v1/chat/completions";
constexpr auto kGoodBody =
  R"({"model":"small","messages":[{"role":"user","content":"hello"}]})";

/// Sends bytes as they are and reads until the server closes, so that requests
/// can be as malformed as any.
std::string
SendRaw(int aPort, const std::string& aBytes)
{
  constexpr timeval kPatience{ .tv_sec = 20, .tv_usec = 0 };
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof(kPatience));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string received;
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    (void)send(handle, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    char buffer[4096];
    auto count = recv(handle, buffer, sizeof(buffer), 0);
    while (count > 0) {
      received.append(buffer, static_cast<std::size_t>(count));
      count = recv(handle, buffer, sizeof(buffer), 0);
    }
  }
  close(handle);
  return received;
}

struct RawRequest
{
  std::string mBody = kGoodBody;
  std::string mMethod = "POST";
  std::string mPath = kChat;
  std::string mAccount = "salon";
  std::string mHeaders;
};

std::string
Text(const RawRequest& aRequest)
{
  return aRequest.mMethod + " " + aRequest.mPath +
         " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nFigslip-Account: " +
         aRequest.mAccount + "\r\n" + aRequest.mHeaders +
         "Content-Length: " + std::to_string(aRequest.mBody.size()) +
         "\r\n\r\n" + aRequest.mBody;
}

/// Checks that a response is a typed error that says the request did not run.
void
CheckRefused(const std::string& aResponse,
             int aStatus,
             const std::string& aType)
{
  CAPTURE(aResponse);
  CHECK(aResponse.starts_with("HTTP/1.1 " + std::to_string(aStatus) + " "));
  CHECK(aResponse.find("Figslip-Run: not_run\r\n") != std::string::npos);
  const auto split = aResponse.find("\r\n\r\n");
  REQUIRE(split != std::string::npos);
  const auto body = Json::parse(aResponse.substr(split + 4), nullptr, false);
  REQUIRE(body.is_object());
  const auto& error = body.at("error");
  CHECK(error.at("type") == aType);
  CHECK(error.at("run") == "not_run");
  CHECK(error.at("message").get<std::string>().starts_with(
    "[" + aType + "." + std::to_string(error.at("code").get<int>()) + "] "));
  CHECK_FALSE(error.at("findings").empty());
}

} // namespace

TEST_CASE("an entry that gets bad input")
{
  auto plan = figslip::test::SmallPlan();
  plan.mEntries.resize(1);
  plan.mEntries.front().mSettings = { { "max_body_bytes", 10'000 } };
  Cluster cluster(std::move(plan));
  cluster.Start();
  const auto send = [&](const RawRequest& aRequest) {
    return SendRaw(cluster.EntryPort(kEntry), Text(aRequest));
  };

  // refuses each body that is malformed
  for (const std::string& body : { std::string(),
                                   std::string("{"),
                                   std::string("\"\xff\xfe\""),
                                   std::string("{\"model\":1e999}"),
                                   std::string(9'000, '['),
                                   std::string("{\"\xc3\x28\":1}"),
                                   std::string("\0\0\0", 3) }) {
    CheckRefused(send({ .mBody = body }), 400, "request.malformed_body");
  }

  // refuses each header that is bad, also one that is no text
  for (const auto* const header : { "Figslip-Deadline-Ms: soon\r\n",
                                    "Figslip-Priority: \xff\xfe\r\n",
                                    "Figslip-Request-Id: a b\r\n",
                                    "Idempotency-Key: 1\r\n",
                                    "Figslip-Account: school\r\n" }) {
    CheckRefused(send({ .mHeaders = header }), 400, "request.bad_header");
  }

  // refuses an account that is unknown, also one that is no text
  CheckRefused(send({ .mAccount = "nobody" }), 403, "request.unknown_account");
  CheckRefused(
    send({ .mAccount = "\xff\xfe" }), 403, "request.unknown_account");

  // refuses a forged session token
  CheckRefused(send({ .mHeaders = "Figslip-Session: k1.00.00\r\n" }),
               403,
               "request.forged_session");

  // refuses targets that are unknown
  CheckRefused(
    send(
      { .mBody = R"({"model":"no","messages":[{"role":"u","content":"x"}]})" }),
    404,
    "request.unknown_target");
  for (const auto* const path : { "/v1/services/bookings/none",
                                  "/v1/services/none/book",
                                  "/v1/services/%ff/%fe",
                                  "/v1/services",
                                  "/v1/chat/completions/more" }) {
    CheckRefused(
      send({ .mBody = "{}", .mPath = path }), 404, "request.unknown_target");
  }

  // refuses a non-idempotent operation without a key
  CheckRefused(send({ .mBody = "{}", .mPath = "/v1/services/bookings/book" }),
               400,
               "request.missing_header");

  // refuses other methods
  for (const auto* const method : { "GET", "PUT", "DELETE" }) {
    const auto response = send({ .mMethod = method });
    CheckRefused(response, 405, "request.wrong_method");
    CHECK(response.find("Allow: POST\r\n") != std::string::npos);
  }

  // refuses bodies over the limit, with and without their length
  CheckRefused(
    send({ .mBody = std::string(20'000, ' ') }), 413, "request.body_too_large");
  auto chunked = Text({ .mBody = "" });
  chunked.replace(chunked.find("Content-Length: 0"),
                  std::string("Content-Length: 0").size(),
                  "Transfer-Encoding: chunked");
  for (int chunk = 0; chunk < 4; ++chunk) {
    chunked += "1000\r\n" + std::string(0x1000, ' ') + "\r\n";
  }
  CheckRefused(SendRaw(cluster.EntryPort(kEntry), chunked + "0\r\n\r\n"),
               413,
               "request.body_too_large");

  // ends a request when its deadline passes, though the upstream is silent
  for (const auto* const upstream : { "sul-a-small-1", "sul-b-small-1" }) {
    cluster.SetUpstreamFault(upstream, { { "silent", true } });
  }
  const auto late = send({ .mHeaders = "Figslip-Deadline-Ms: 300\r\n" });
  CAPTURE(late);
  CHECK(late.find("\"run\":\"") != std::string::npos);
  CHECK_FALSE(late.starts_with("HTTP/1.1 200"));
  for (const auto* const upstream : { "sul-a-small-1", "sul-b-small-1" }) {
    cluster.SetUpstreamFault(upstream, Json::object());
  }

  // counts unknown accounts under one label
  for (int index = 0; index < 20; ++index) {
    (void)send({ .mAccount = "made-up-" + std::to_string(index) });
  }
  const auto metrics = cluster.Get(kEntry, "/metrics").mBody;
  CHECK(metrics.find("made-up-") == std::string::npos);
  CHECK(metrics.find("account=\"unknown\"") != std::string::npos);

  // runs nothing of all that, and still serves
  const auto good = cluster.Post(
    kEntry, kChat, Json::parse(kGoodBody), { { "Figslip-Account", "salon" } });
  CHECK(good.mStatus == 200);
  CHECK(cluster.History("sul-a-bookings").dump().find("book") ==
        std::string::npos);
}
