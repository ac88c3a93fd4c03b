#include "harness/platform_stand_in.hpp"

#include <figslip/json/field_or.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace figslip::test {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::string_view kObjects = "/objects/";

void
SendJson(http::ResponseWriter& aWriter,
         int aStatus,
         const nlohmann::json& aBody)
{
  (void)aWriter.Send(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

std::int64_t
WholeParameter(const http::ServerRequest& aRequest, std::string_view aName)
{
  const auto text = http::FindParameter(aRequest.mQuery, aName);
  return text.empty() ? 0 : std::stoll(text);
}

} // namespace

std::vector<http::HttpServer::Route>
PlatformStandIn::Routes()
{
  const auto bind = [this](auto aMethod) {
    return [this, aMethod](const Request& aRequest, Writer& aWriter) {
      (this->*aMethod)(aRequest, aWriter);
    };
  };
  return { { "/objects", bind(&PlatformStandIn::ServeObjects) },
           { "/instances", bind(&PlatformStandIn::ServeInstances) },
           { "/ratings", bind(&PlatformStandIn::ServeRatings) },
           { "/control", bind(&PlatformStandIn::ServeControl) } };
}

bool
PlatformStandIn::ApplyFault(Writer& aWriter)
{
  Fault fault;
  {
    const std::lock_guard lock(mMutex);
    fault = mFault;
  }
  if (fault.mDelayMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(fault.mDelayMs));
  }
  if (fault.mDown) {
    (void)aWriter.Send(kUnavailable, {}, "down");
  }
  return fault.mDown;
}

void
PlatformStandIn::ServeObjects(const Request& aRequest, Writer& aWriter)
{
  if (ApplyFault(aWriter)) {
    return;
  }
  const auto name = aRequest.mPath.substr(kObjects.size());
  const auto slash = name.find('/');
  {
    const std::lock_guard lock(mMutex);
    ++mCalls[aRequest.mMethod + " " + name.substr(0, slash)];
  }
  if (slash == std::string::npos) {
    ListObjects(name, aWriter);
  } else if (aRequest.mMethod == "PUT") {
    WriteObject(name, aRequest, aWriter);
  } else {
    ReadObject(name, aRequest, aWriter);
  }
}

void
PlatformStandIn::ReadObject(const std::string& aName,
                            const Request& aRequest,
                            Writer& aWriter)
{
  const auto known = WholeParameter(aRequest, "after");
  const auto wait =
    std::chrono::milliseconds(WholeParameter(aRequest, "wait_ms"));
  std::unique_lock lock(mMutex);
  mChanged.wait_for(
    lock, wait, [&] { return mObjects[aName].mVersion != known; });
  const auto& object = mObjects[aName];
  const auto writes = object.mHistory.size();
  if (mFault.mStaleReads && writes > 1) {
    SendJson(aWriter,
             kOk,
             { { "version", object.mVersion - 1 },
               { "value", object.mHistory[writes - 2] } });
    return;
  }
  SendJson(aWriter,
           kOk,
           { { "version", object.mVersion }, { "value", object.mValue } });
}

void
PlatformStandIn::WriteObject(const std::string& aName,
                             const Request& aRequest,
                             Writer& aWriter)
{
  const std::lock_guard lock(mMutex);
  auto& object = mObjects[aName];
  if (object.mVersion != WholeParameter(aRequest, "if_version")) {
    SendJson(aWriter,
             kConflict,
             { { "version", object.mVersion }, { "value", object.mValue } });
    return;
  }
  ++object.mVersion;
  object.mValue = aRequest.mBody;
  object.mHistory.push_back(aRequest.mBody);
  mChanged.notify_all();
  if (mFault.mLoseAnswers) {
    aWriter.Abort();
    return;
  }
  SendJson(aWriter, kOk, { { "version", object.mVersion } });
}

void
PlatformStandIn::ListObjects(const std::string& aKind, Writer& aWriter)
{
  auto names = nlohmann::json::array();
  const auto prefix = aKind + "/";
  const std::lock_guard lock(mMutex);
  for (const auto& [name, object] : mObjects) {
    if (name.starts_with(prefix) && object.mVersion > 0) {
      names.push_back(name.substr(prefix.size()));
    }
  }
  SendJson(aWriter, kOk, { { "names", names } });
}

void
PlatformStandIn::ServeInstances(const Request& /*aRequest*/, Writer& aWriter)
{
  if (ApplyFault(aWriter)) {
    return;
  }
  const std::lock_guard lock(mMutex);
  ++mCalls["GET instances"];
  (void)aWriter.Send(
    kOk, { { "Content-Type", "application/json" } }, mInstances);
}

void
PlatformStandIn::ServeRatings(const Request& aRequest, Writer& aWriter)
{
  if (ApplyFault(aWriter)) {
    return;
  }
  const std::lock_guard lock(mMutex);
  if (aRequest.mMethod == "POST") {
    const auto answer = nlohmann::json::parse(aRequest.mBody, nullptr, false);
    // an answer of the engine stand-in says by itself how good it is
    const bool good =
      json::TextOr(answer, "answer", "").find("[bad]") == std::string::npos;
    mRatings.push_back(
      { json::TextOr(answer, "source", ""),
        nlohmann::json{
          { "request_id", json::TextOr(answer, "request_id", "") },
          { "version", json::TextOr(answer, "version", "") },
          { "task_kind", json::TextOr(answer, "task_kind", "") },
          { "good", good } }
          .dump() });
    (void)aWriter.Send(kAccepted, {}, "");
    return;
  }
  const auto from = static_cast<std::size_t>(WholeParameter(aRequest, "from"));
  const auto source = http::FindParameter(aRequest.mQuery, "source");
  auto page = nlohmann::json::array();
  for (auto index = from; index < mRatings.size(); ++index) {
    if (mRatings[index].mSource == source) {
      page.push_back(nlohmann::json::parse(mRatings[index].mText));
    }
  }
  SendJson(aWriter, kOk, { { "next", mRatings.size() }, { "ratings", page } });
}

void
PlatformStandIn::ServeControl(const Request& aRequest, Writer& aWriter)
{
  const std::lock_guard lock(mMutex);
  if (aRequest.mPath == "/control/instances") {
    mInstances = aRequest.mBody;
  } else if (aRequest.mPath == "/control/fault") {
    const auto fault = nlohmann::json::parse(aRequest.mBody, nullptr, false);
    mFault = { .mDown = json::FlagOr(fault, "down", false),
               .mDelayMs = json::NumberOr(fault, "delay_ms", 0),
               .mLoseAnswers = json::FlagOr(fault, "lose_answers", false),
               .mStaleReads = json::FlagOr(fault, "stale_reads", false) };
  } else if (aRequest.mPath == "/control/calls") {
    SendJson(aWriter, kOk, nlohmann::json(mCalls));
    return;
  } else {
    (void)aWriter.Send(kBadRequest, {}, "unknown path");
    return;
  }
  (void)aWriter.Send(kOk, {}, "");
}

} // namespace figslip::test
