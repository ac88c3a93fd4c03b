#include <figslip/caller/caller_request.hpp>

#include <doctest/doctest.h>

#include <chrono>

using figslip::TimePoint;
using figslip::caller::ReadCallerRequest;
using figslip::http::Header;
using figslip::http::ServerRequest;
using figslip::session::SessionSigner;
using namespace std::chrono_literals;

namespace {

constexpr auto kGoodChat =
  R"({"model":"chat","messages":[{"role":"user","content":"hello"}]})";
const TimePoint kNow{ 1000s };

const SessionSigner&
Signer()
{
  static const SessionSigner sSigner(
    std::vector<figslip::session::SigningKey>{ { "k1", "secret" } });
  return sSigner;
}

ServerRequest
ChatRequest(std::vector<Header> aHeaders = {}, std::string aBody = kGoodChat)
{
  aHeaders.push_back({ "Figslip-Account", "salon" });
  return { .mMethod = "POST",
           .mPath = "/v1/chat/completions",
           .mQuery = {},
           .mHeaders = std::move(aHeaders),
           .mBody = std::move(aBody) };
}

figslip::Result<figslip::routing::Request>
Read(const ServerRequest& aRequest)
{
  return ReadCallerRequest(aRequest,
                           { .mSigner = Signer(),
                             .mDefaultDeadline = 30s,
                             .mGeneratedId = "generated-1" },
                           kNow);
}

std::string
Refusal(const ServerRequest& aRequest)
{
  const auto read = Read(aRequest);
  return read ? "" : figslip::error::JoinMessages(read.assume_error());
}

struct Example
{
  std::string mText;
  std::string mMessage;
};

} // namespace

TEST_CASE("a caller's request")
{
  SUBCASE("with few facts gets defaults for the rest")
  {
    const auto read = Read(ChatRequest());
    REQUIRE(read);
    const auto& request = read.assume_value();
    CHECK(request.mId == "generated-1");
    CHECK(request.mAccount == "salon");
    CHECK(request.mDeadline == kNow + 30s);
    CHECK(request.mPriority == figslip::routing::Priority::Normal);
    CHECK(request.mExpectedTokens == 256);
    CHECK_FALSE(request.mForwarded);
    CHECK_FALSE(request.mSession);
  }

  SUBCASE("with all headers is read whole")
  {
    const auto token = Signer().Sign({ "salon", "chat", "small-1" });
    const auto read = Read(ChatRequest(
      { { "figslip-request-id", "r-1" },
        { "Figslip-Deadline-Ms", "1700" },
        { "Figslip-Priority", "batch" },
        { "Idempotency-Key", "0193904C-7C00-7ABC-8DEF-0123456789AB" },
        { "Figslip-Session", token },
        { "Figslip-Forwarded", "1" } }));
    REQUIRE(read);
    const auto& request = read.assume_value();
    CHECK(request.mId == "r-1");
    CHECK(request.mDeadline == kNow + 1700ms);
    CHECK(request.mPriority == figslip::routing::Priority::Batch);
    CHECK(request.mSession ==
          figslip::routing::SessionPin{ "salon", "chat", "small-1" });
    CHECK(request.mForwarded);

    SUBCASE("and its idempotency key in one form whatever its case")
    {
      CHECK(request.mIdempotencyKey == "0193904c-7c00-7abc-8def-0123456789ab");
    }
  }

  SUBCASE("for a service names service and operation")
  {
    auto http = ChatRequest({}, "{}");
    http.mPath = "/v1/services/bookings/book";
    const auto read = Read(http);
    REQUIRE(read);
    const auto& target =
      std::get<figslip::routing::ServiceTarget>(read.assume_value().mTarget);
    CHECK(target.mService == "bookings");
    CHECK(target.mOperation == "book");
  }

  SUBCASE("with a bad path is refused")
  {
    for (const auto* const path : { "/v1/services",
                                    "/v1/services/",
                                    "/v1/services/bookings",
                                    "/v1/services//book",
                                    "/v1/services/bookings/",
                                    "/v1/chat/completions/x" }) {
      auto http = ChatRequest({}, "{}");
      http.mPath = path;
      CHECK(Refusal(http) == "[request.unknown_target.304] " +
                               std::string(path) +
                               ": expected /v1/services/SERVICE/OPERATION");
    }
  }

  SUBCASE("without an account is refused")
  {
    auto http = ChatRequest();
    http.mHeaders.clear();
    CHECK(Refusal(http) == "[request.missing_header.308] Figslip-Account: the "
                           "header is required");
  }

  SUBCASE("with a header given twice is refused")
  {
    CHECK(Refusal(ChatRequest({ { "figslip-account", "school" } })) ==
          "[request.bad_header.309] Figslip-Account: the header is given more "
          "than once");
  }

  SUBCASE("with a bad deadline is refused")
  {
    for (const auto* const text : { "0",
                                    "-1",
                                    "3600001",
                                    "1.5",
                                    "1e3",
                                    " 5",
                                    "99999999999999999999",
                                    "soon" }) {
      CHECK(Refusal(ChatRequest({ { "Figslip-Deadline-Ms", text } })) ==
            "[request.bad_header.309] Figslip-Deadline-Ms: expected whole "
            "milliseconds between 1 and 3600000");
    }
  }

  SUBCASE("with a bad id is refused")
  {
    for (const auto& text : { std::string("a b"),
                              std::string("a\r\nb"),
                              std::string("\xff"),
                              std::string(129, 'a') }) {
      CHECK(Refusal(ChatRequest({ { "Figslip-Request-Id", text } })) ==
            "[request.bad_header.309] Figslip-Request-Id: an id has 1 to 128 "
            "letters, digits, '-', '_' or '.'");
    }
  }

  SUBCASE("with a bad idempotency key is refused")
  {
    for (const auto* const text : { "1",
                                    "0193904c-7c00-4abc-8def-0123456789ab",
                                    "0193904c-7c00-7abc-cdef-0123456789ab",
                                    "0193904c-7c00-7abc-8def-0123456789abc",
                                    "0193904c_7c00-7abc-8def-0123456789ab" }) {
      CHECK(Refusal(ChatRequest({ { "Idempotency-Key", text } })) ==
            "[request.bad_header.309] Idempotency-Key: expected a UUID of "
            "version 7");
    }
  }

  SUBCASE("with a bad priority is refused")
  {
    CHECK(Refusal(ChatRequest({ { "Figslip-Priority", "Urgent" } })) ==
          "[request.bad_header.309] Figslip-Priority: \"Urgent\" is none of "
          "interactive normal batch");
  }

  SUBCASE("with a session of another account is refused")
  {
    const auto token = Signer().Sign({ "school", "chat", "small-1" });
    CHECK(Refusal(ChatRequest({ { "Figslip-Session", token } })) ==
          "[request.forged_session.305] Figslip-Session: the session belongs "
          "to another client account");
  }

  SUBCASE("with a bad body is refused")
  {
    const Example examples[] = {
      { "[]",
        "[request.malformed_body.301] : expected an object, found array" },
      { R"({"model":"chat"})",
        "[request.malformed_body.301] /messages: at least one message is "
        "required" },
      { R"({"messages":[{"role":"u","content":"x"}]})",
        "[request.malformed_body.301] /model: the field is required" },
      { R"({"model":"","messages":[{"role":"u","content":"x"}]})",
        "[request.malformed_body.301] /model: the text must not be empty" },
      { R"({"model":"a\nb","messages":[{"role":"u","content":"x"}]})",
        "[request.malformed_body.301] /model: the text must not hold control "
        "characters" },
      { R"({"model":"a","messages":[{"role":"u","content":7}]})",
        "[request.malformed_body.301] /messages/0/content: expected a string, "
        "found number" },
      { R"({"model":"a","max_tokens":0,)"
        R"("messages":[{"role":"u","content":"x"}]})",
        "[request.malformed_body.301] /max_tokens: 0 is not between 1 and "
        "1000000" },
      { R"({"model":"a","stream":"yes",)"
        R"("messages":[{"role":"u","content":"x"}]})",
        "[request.malformed_body.301] /stream: expected true or false, found "
        "string" },
      { R"({"model":"a","top":1,"messages":[{"role":"u","content":"x"}]})",
        "[request.malformed_body.301] /top: the field is not known" },
      { R"({"model":1e999})",
        "[request.malformed_body.301] number: number overflow parsing "
        "'1e999'" },
      { R"({"model":"a","model":"b"})",
        "[request.malformed_body.301] /model: the field is given more than "
        "once" },
    };
    for (const auto& example : examples) {
      CHECK(Refusal(ChatRequest({}, example.mText)) == example.mMessage);
    }
  }

  SUBCASE("with a body over the limit is refused without being read")
  {
    auto http = ChatRequest({}, "");
    http.mBodyTooLarge = true;
    CHECK(Refusal(http) ==
          "[request.body_too_large.306] body: the body is over the limit");
  }

  SUBCASE("with countless faults gets a short refusal")
  {
    std::string body = "{\"" + std::string(5000, 'x') + "\":0";
    for (int count = 0; count < 1000; ++count) {
      body += ",\"f" + std::to_string(count) + "\":0";
    }
    const auto read = Read(ChatRequest({}, body + "}"));
    REQUIRE_FALSE(read);
    CHECK(read.assume_error().size() == 20);
    CHECK(figslip::error::JoinMessages(read.assume_error()).size() < 5000);
  }
}
