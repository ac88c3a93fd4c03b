#include "harness/upstream_stand_in.hpp"

#include <figslip/json/field_or.hpp>
#include <figslip/time/wall_clock.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace figslip::test {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kMaxTokens = 40;
constexpr double kGoodScore = 0.9;
constexpr double kBadScore = 0.2;
constexpr std::uint64_t kShareBuckets = 1000;
/// Longest that a silent upstream holds on to a request.
constexpr auto kSilence = std::chrono::seconds(20);

void
SendJson(http::ResponseWriter& aWriter, const nlohmann::json& aBody)
{
  (void)aWriter.Send(
    kOk, { { "Content-Type", "application/json" } }, aBody.dump());
}

std::string
Event(const nlohmann::json& aBody)
{
  return "data: " + aBody.dump() + "\n\n";
}

} // namespace

class UpstreamStandIn::Running
{
public:
  explicit Running(UpstreamStandIn& aStandIn)
    : mStandIn(aStandIn)
    , mCount(++aStandIn.mRunning)
    , mCold(aStandIn.mServed < aStandIn.mOptions.mColdRequests)
  {
    const int bound = mCold ? mStandIn.mOptions.mColdConcurrency
                            : mStandIn.mOptions.mConcurrency;
    if (mCount > bound) {
      ++mStandIn.mOverloads;
    }
  }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;
  ~Running() { End(); }

  /// Ends the run before the last byte leaves, so that the next request of the
  /// same caller does not count beside it.
  void End()
  {
    if (!mEnded) {
      mEnded = true;
      ++mStandIn.mServed;
      --mStandIn.mRunning;
    }
  }
  [[nodiscard]] int Count() const { return mCount; }
  [[nodiscard]] bool IsCold() const { return mCold; }

private:
  UpstreamStandIn& mStandIn;
  int mCount;
  bool mCold;
  bool mEnded = false;
};

UpstreamStandIn::UpstreamStandIn(Options aOptions)
  : mOptions(std::move(aOptions))
{
  if (!mOptions.mHistoryFile.empty()) {
    constexpr int kMode = 0644;
    mHistoryHandle = open(mOptions.mHistoryFile.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                          kMode);
  }
}

std::vector<http::HttpServer::Route>
UpstreamStandIn::Routes()
{
  const auto bind = [this](auto aMethod) {
    return [this, aMethod](const Request& aRequest, Writer& aWriter) {
      (this->*aMethod)(aRequest, aWriter);
    };
  };
  return { { "/v1/generate", bind(&UpstreamStandIn::ServeGenerate) },
           { "/v1/call", bind(&UpstreamStandIn::ServeCall) },
           { "/v1/orders", bind(&UpstreamStandIn::ServeOrder) },
           { "/load", bind(&UpstreamStandIn::ServeLoad) },
           { "/control", bind(&UpstreamStandIn::ServeControl) } };
}

bool
UpstreamStandIn::ApplyFault(const Request& aRequest,
                            const Running& aRunning,
                            Writer& aWriter)
{
  Fault fault;
  {
    const std::lock_guard lock(mMutex);
    fault = mFault;
  }
  if (fault.mReject) {
    (void)aWriter.Send(kUnavailable, {}, "not run");
    return true;
  }
  Record(aRequest, &aRunning);
  if (!fault.mCrashOn.empty() &&
      aRequest.mBody.find(fault.mCrashOn) != std::string::npos) {
    std::_Exit(EXIT_FAILURE);
  }
  if (fault.mSilent) {
    std::this_thread::sleep_for(kSilence);
    aWriter.Abort();
    return true;
  }
  return false;
}

void
UpstreamStandIn::Record(const Request& aRequest, const Running* aRunning)
{
  auto body = nlohmann::json::parse(aRequest.mBody, nullptr, false);
  body["path"] = aRequest.mPath;
  body["boot_id"] = mOptions.mBootId;
  if (aRunning != nullptr) {
    body["cold"] = aRunning->IsCold();
    body["running"] = aRunning->Count();
    body["cold_bound"] = mOptions.mColdConcurrency;
  }
  body["upstream"] = mOptions.mName;
  body["at_ms"] = ToUnixMillis(ReadClock());
  body.erase("messages");
  const std::lock_guard lock(mMutex);
  mHistory.push_back(body.dump());
  if (aRunning != nullptr && mHistoryHandle >= 0) {
    const auto line = mHistory.back() + "\n";
    [[maybe_unused]] const auto written =
      write(mHistoryHandle, line.data(), line.size());
  }
}

std::string
UpstreamStandIn::AnswerText(const std::string& aVersion,
                            const std::string& aRequestId) const
{
  const auto share = mOptions.mBadShare.find(aVersion);
  const auto text = aVersion + aRequestId;
  const auto draw = XXH3_64bits(text.data(), text.size()) % kShareBuckets;
  const bool bad = share != mOptions.mBadShare.end() &&
                   static_cast<double>(draw) <
                     share->second * static_cast<double>(kShareBuckets);
  return "answer to " + aRequestId + " by " + aVersion + (bad ? " [bad]" : "");
}

void
UpstreamStandIn::ServeGenerate(const Request& aRequest, Writer& aWriter)
{
  const auto body = nlohmann::json::parse(aRequest.mBody, nullptr, false);
  if (!Serves(json::TextOr(body, "version", ""))) {
    (void)aWriter.Send(kConflict, {}, "the version is not loaded");
    return;
  }
  Running running(*this);
  if (ApplyFault(aRequest, running, aWriter)) {
    return;
  }
  const auto attempt = json::TextOr(body, "attempt_id", "");
  const auto text = AnswerText(json::TextOr(body, "version", ""),
                               json::TextOr(body, "request_id", ""));
  const bool bad = text.find("[bad]") != std::string::npos;
  const int tokens =
    std::min(kMaxTokens, json::NumberOr(body, "max_tokens", 1));
  const auto tokenTime = std::chrono::milliseconds(mOptions.mTokenMs);
  nlohmann::json last = { { "attempt_id", attempt },
                          { "boot_id", mOptions.mBootId },
                          { "tokens", tokens },
                          { "score", bad ? kBadScore : kGoodScore } };
  if (!json::FlagOr(body, "stream", false)) {
    std::this_thread::sleep_for(tokenTime * tokens);
    last["text"] = text;
    running.End();
    SendJson(aWriter, last);
    return;
  }
  (void)aWriter.Begin(kOk, { { "Content-Type", "text/event-stream" } });
  const auto half = text.size() / 2;
  (void)aWriter.SendChunk(
    Event({ { "attempt_id", attempt }, { "text", text.substr(0, half) } }));
  std::this_thread::sleep_for(tokenTime * tokens);
  {
    const std::lock_guard lock(mMutex);
    if (mFault.mBreakAnswer) {
      aWriter.Abort();
      return;
    }
  }
  (void)aWriter.SendChunk(
    Event({ { "attempt_id", attempt }, { "text", text.substr(half) } }));
  last["done"] = true;
  running.End();
  (void)aWriter.SendChunk(Event(last));
  (void)aWriter.End();
}

void
UpstreamStandIn::ServeCall(const Request& aRequest, Writer& aWriter)
{
  Running running(*this);
  if (ApplyFault(aRequest, running, aWriter)) {
    return;
  }
  const auto body = nlohmann::json::parse(aRequest.mBody, nullptr, false);
  std::this_thread::sleep_for(std::chrono::milliseconds(mOptions.mTokenMs));
  running.End();
  SendJson(aWriter,
           { { "attempt_id", json::TextOr(body, "attempt_id", "") },
             { "boot_id", mOptions.mBootId },
             { "result",
               { { "done", aRequest.mPath },
                 { "request_id", json::TextOr(body, "request_id", "") } } } });
}

bool
UpstreamStandIn::Serves(const std::string& aVersion)
{
  const std::lock_guard lock(mMutex);
  return !mOptions.mTakesOrders || mLoaded.contains(aVersion);
}

void
UpstreamStandIn::ServeOrder(const Request& aRequest, Writer& aWriter)
{
  const auto body = nlohmann::json::parse(aRequest.mBody, nullptr, false);
  const auto token = json::NumberOr(body, "fencing_token", std::int64_t{ 0 });
  const auto version = json::TextOr(body, "version", "");
  Record(aRequest, nullptr);
  const std::lock_guard lock(mMutex);
  if (mOptions.mChecksFencing && token < mHighestToken) {
    (void)aWriter.Send(kConflict, {}, "old token");
    return;
  }
  mHighestToken = std::max(mHighestToken, token);
  if (json::TextOr(body, "order", "") == "load") {
    mLoaded.insert(version);
  } else {
    mLoaded.erase(version);
  }
  (void)aWriter.Send(kOk, {}, "");
}

void
UpstreamStandIn::ServeLoad(const Request& /*aRequest*/, Writer& aWriter)
{
  nlohmann::json load = { { "boot_id", mOptions.mBootId },
                          { "running", mRunning.load() } };
  if (mOptions.mTakesOrders) {
    const std::lock_guard lock(mMutex);
    load["versions"] = mLoaded;
  }
  SendJson(aWriter, load);
}

void
UpstreamStandIn::ServeControl(const Request& aRequest, Writer& aWriter)
{
  const std::lock_guard lock(mMutex);
  if (aRequest.mPath == "/control/fault") {
    const auto fault = nlohmann::json::parse(aRequest.mBody, nullptr, false);
    mFault = { .mSilent = json::FlagOr(fault, "silent", false),
               .mReject = json::FlagOr(fault, "reject", false),
               .mBreakAnswer = json::FlagOr(fault, "break_answer", false),
               .mCrashOn = json::TextOr(fault, "crash_on", "") };
    (void)aWriter.Send(kOk, {}, "");
    return;
  }
  auto runs = nlohmann::json::array();
  for (const auto& run : mHistory) {
    runs.push_back(nlohmann::json::parse(run));
  }
  SendJson(aWriter, { { "runs", runs }, { "overloads", mOverloads.load() } });
}

} // namespace figslip::test
