#include <harness/store_stand_in.hpp>

#include <figslip/net/sleep.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <numeric>
#include <utility>

namespace figslip::test {

namespace {

using nlohmann::json;

constexpr auto kWatchPoll = std::chrono::milliseconds(5);
constexpr std::string_view kAfter = "?after=";
constexpr std::string_view kRoot = "/-/objects/";

/// Returns a parameter of a query, or a fallback.
std::int64_t
Parameter(const std::string& aTarget,
          const std::string& aName,
          std::int64_t aFallback)
{
  const auto place = aTarget.find(aName + "=");
  return place == std::string::npos
           ? aFallback
           : std::atoll(aTarget.c_str() + place + aName.size() + 1);
}

/// Returns the kind and the name in the target of a call; the name may be
/// empty.
std::pair<std::string, std::string>
Split(const std::string& aTarget)
{
  auto path = aTarget.substr(0, aTarget.find('?'));
  path.erase(0, kRoot.size());
  const auto slash = path.find('/');
  return { path.substr(0, slash),
           slash == std::string::npos ? "" : path.substr(slash + 1) };
}

/// Replaces a part of a text wherever it stands.
void
Replace(std::string& aText, const std::string& aPart, const std::string& aOther)
{
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aOther.size())) {
    aText.replace(at, aPart.size(), aOther);
  }
}

} // namespace

struct StoreStandIn::Copy
{
  std::int64_t mRevision = 0;
  std::int64_t mForgotten = 0;
  decltype(StoreStandIn::mObjects) mObjects;
  std::vector<Event> mEvents;
};

StoreStandIn::StoreStandIn()
  : mPort(AddPort({}))
{
  mThread = std::thread([this] { mContext.run(); });
}

StoreStandIn::~StoreStandIn()
{
  mContext.stop();
  mThread.join();
}

int
StoreStandIn::AddPort(Replacements aReplacements)
{
  const net::tcp::endpoint any(net::asio::ip::make_address("127.0.0.1"), 0);
  auto listener = std::make_shared<Listener>(
    Listener{ .mAcceptor = net::tcp::acceptor(mContext, any),
              .mReplacements = std::move(aReplacements) });
  const int port = listener->mAcceptor.local_endpoint().port();
  net::asio::co_spawn(
    mContext, Accept(std::move(listener)), net::asio::detached);
  return port;
}

void
StoreStandIn::Put(const std::string& aKind,
                  const std::string& aName,
                  const json& aSpec)
{
  const std::scoped_lock lock(mMutex);
  auto& object = mObjects[aKind][aName];
  if (!object.is_object()) {
    object = { { "metadata",
                 { { "name", aName }, { "created", mRevision + 1 } } },
               { "status", nullptr } };
  }
  object["spec"] = aSpec;
  object["metadata"]["revision"] = mRevision + 1;
  Note(aKind, object, false);
}

void
StoreStandIn::PutRaw(const std::string& aKind,
                     const std::string& aName,
                     const std::string& aText,
                     const std::string& aPart)
{
  const std::scoped_lock lock(mMutex);
  auto& object = mObjects[aKind][aName];
  if (!object.is_object()) {
    object = { { "metadata",
                 { { "name", aName }, { "created", mRevision + 1 } } },
               { "spec", nullptr },
               { "status", nullptr } };
  }
  object[aPart] = MarkRaw(aText);
  object["metadata"]["revision"] = mRevision + 1;
  Note(aKind, object, false);
}

void
StoreStandIn::PutRawObject(const std::string& aKind,
                           const std::string& aName,
                           std::string aText)
{
  constexpr std::string_view kRevision = "{revision}";
  const std::scoped_lock lock(mMutex);
  if (const auto at = aText.find(kRevision); at != std::string::npos) {
    aText.replace(at, kRevision.size(), std::to_string(mRevision + 1));
  }
  mObjects[aKind][aName] = MarkRaw(aText);
  Note(aKind, mObjects[aKind][aName], false);
}

std::string
StoreStandIn::MarkRaw(const std::string& aText)
{
  auto mark = "@raw-" + std::to_string(mRaw.size()) + "@";
  mRaw[mark] = aText;
  return mark;
}

std::string
StoreStandIn::Print(const json& aBody)
{
  auto text = aBody.dump();
  for (const auto& [mark, raw] : mRaw) {
    Replace(text, '"' + mark + '"', raw);
  }
  return text;
}

void
StoreStandIn::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  auto object = mObjects[aKind][aName];
  mObjects[aKind].erase(aName);
  if (!object.is_object()) {
    object = json::object();
  }
  object["metadata"]["name"] = aName;
  object["metadata"]["revision"] = mRevision + 1;
  Note(aKind, object, true);
}

void
StoreStandIn::Compact()
{
  const std::scoped_lock lock(mMutex);
  ++mRevision;
  mForgotten = mRevision;
  mEvents.clear();
}

std::shared_ptr<const StoreStandIn::Copy>
StoreStandIn::TakeCopy()
{
  const std::scoped_lock lock(mMutex);
  return std::make_shared<const Copy>(Copy{ .mRevision = mRevision,
                                            .mForgotten = mForgotten,
                                            .mObjects = mObjects,
                                            .mEvents = mEvents });
}

void
StoreStandIn::Restore(const Copy& aCopy)
{
  const std::scoped_lock lock(mMutex);
  ++mEra;
  mRevision = aCopy.mRevision;
  mForgotten = aCopy.mForgotten;
  mObjects = aCopy.mObjects;
  mEvents = aCopy.mEvents;
}

json
StoreStandIn::StatusOf(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  const auto& object = mObjects[aKind][aName];
  return object.is_object() ? object.value("status", json()) : json();
}

std::vector<std::string>
StoreStandIn::NamesOf(const std::string& aKind)
{
  const std::scoped_lock lock(mMutex);
  std::vector<std::string> names;
  for (const auto& [name, object] : mObjects[aKind]) {
    names.push_back(name);
  }
  return names;
}

void
StoreStandIn::Note(const std::string& aKind, const json& aObject, bool aDeleted)
{
  ++mRevision;
  mEvents.push_back(
    { .mKind = aKind,
      .mRevision = mRevision,
      .mBody = { { "object", aObject }, { "deleted", aDeleted } } });
}

int
StoreStandIn::Calls()
{
  const std::scoped_lock lock(mMutex);
  return std::accumulate(
    mCalls.begin(), mCalls.end(), 0, [](int aSum, const auto& aEntry) {
      return aSum + aEntry.second;
    });
}

int
StoreStandIn::CallsOf(const std::string& aKind)
{
  const std::scoped_lock lock(mMutex);
  return mCalls[aKind];
}

net::Awaitable<void>
StoreStandIn::Accept(std::shared_ptr<Listener> aListener)
{
  while (true) {
    net::error_code error;
    net::tcp::socket socket(mContext);
    co_await aListener->mAcceptor.async_accept(
      socket, net::asio::redirect_error(net::asio::use_awaitable, error));
    if (!error) {
      auto connection =
        std::make_shared<net::CallerConnection>(std::move(socket));
      net::asio::co_spawn(
        mContext,
        Serve(std::move(connection), aListener->mReplacements),
        net::asio::detached);
    }
  }
}

net::Awaitable<void>
StoreStandIn::Serve(Connection aConnection, const Replacements& aReplacements)
{
  ingress::CallerLimits limits;
  limits.mIdleTimeout = std::chrono::seconds(60);
  while (true) {
    const auto end = co_await aConnection->Read(limits);
    if (end != net::ReadEnd::Whole) {
      co_return;
    }
    {
      const std::scoped_lock lock(mMutex);
      ++mCalls[Split(aConnection->Request().mTarget).first];
    }
    const auto wait = Parameter(aConnection->Request().mTarget, "wait_ms", 0);
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    auto answer = AnswerTo(aConnection->Request());
    while (answer.mMustWait && std::chrono::steady_clock::now() < until) {
      co_await net::Sleep(kWatchPoll);
      answer = AnswerTo(aConnection->Request());
    }
    if (mMode == Mode::Trickle) {
      co_await Trickle(aConnection);
      co_return;
    }
    while (mMode == Mode::Silent) {
      co_await net::Sleep(kWatchPoll);
    }
    const net::Headers headers = { { .mName = "Store-Era",
                                     .mValue = std::to_string(answer.mEra) } };
    std::string body;
    {
      const std::scoped_lock lock(mMutex);
      body = Print(answer.mBody);
    }
    for (const auto& [text, other] : aReplacements) {
      Replace(body, text, other);
    }
    const bool isSent =
      co_await aConnection->Respond(answer.mStatus, headers, body, false);
    if (!isSent) {
      co_return;
    }
  }
}

net::Awaitable<void>
StoreStandIn::Trickle(Connection aConnection)
{
  constexpr auto kPause = std::chrono::milliseconds(200);
  const net::Headers headers;
  bool isOpen = co_await aConnection->BeginStream(200, headers, " ", false);
  while (isOpen) {
    co_await net::Sleep(kPause);
    isOpen = co_await aConnection->SendPiece(" ");
  }
}

StoreStandIn::Answer
StoreStandIn::AnswerTo(const net::RequestMessage& aRequest)
{
  const std::scoped_lock lock(mMutex);
  auto answer = mMode == Mode::Busy
                  ? Answer{ .mStatus = 503, .mBody = json::object() }
                  : Handle(aRequest);
  answer.mEra = mEra;
  return answer;
}

StoreStandIn::Answer
StoreStandIn::Handle(const net::RequestMessage& aRequest)
{
  const auto [kind, name] = Split(aRequest.mTarget);
  if (aRequest.mMethod != "GET") {
    return Write(aRequest, kind, name);
  }
  const auto watch = Parameter(aRequest.mTarget, "watch", -1);
  if (watch >= 0) {
    return Read(kind, watch);
  }
  const auto after = aRequest.mTarget.find(kAfter);
  return List(kind,
              after == std::string::npos
                ? ""
                : aRequest.mTarget.substr(after + kAfter.size()));
}

StoreStandIn::Answer
StoreStandIn::List(const std::string& aKind, const std::string& aAfter)
{
  constexpr std::size_t kPageBytes = 1'000'000;
  Answer answer;
  answer.mBody = { { "items", json::array() },
                   { "has_more", false },
                   { "store_revision", mRevision } };
  const auto& objects = mObjects[aKind];
  std::size_t size = 0;
  for (auto object = objects.upper_bound(aAfter); object != objects.end();
       ++object) {
    if (size > kPageBytes) {
      answer.mBody["has_more"] = true;
      break;
    }
    answer.mBody["items"].push_back(object->second);
    size += Print(object->second).size();
  }
  return answer;
}

StoreStandIn::Answer
StoreStandIn::Read(const std::string& aKind, std::int64_t aWatch)
{
  Answer answer;
  if (aWatch < mForgotten || aWatch > mRevision) {
    return { .mStatus = 410, .mBody = json::object() };
  }
  answer.mBody = { { "events", json::array() },
                   { "store_revision", mRevision } };
  for (const auto& event : mEvents) {
    if (event.mKind == aKind && event.mRevision > aWatch) {
      answer.mBody["events"].push_back(event.mBody);
    }
  }
  answer.mMustWait = answer.mBody["events"].empty();
  return answer;
}

StoreStandIn::Answer
StoreStandIn::Write(const net::RequestMessage& aRequest,
                    const std::string& aKind,
                    const std::string& aName)
{
  auto& objects = mObjects[aKind];
  if (aRequest.mMethod == "DELETE") {
    if (objects.contains(aName)) {
      auto object = objects[aName];
      objects.erase(aName);
      object["metadata"]["revision"] = mRevision + 1;
      Note(aKind, object, true);
    }
    return { .mBody = json::object() };
  }
  const auto body = json::parse(aRequest.mBody);
  if (aRequest.mMethod == "POST") {
    const std::string name = body["metadata"]["name"];
    if (objects.contains(name)) {
      return { .mStatus = 409, .mBody = objects[name] };
    }
    objects[name] = body;
    objects[name]["metadata"]["revision"] = mRevision + 1;
    Note(aKind, objects[name], false);
    return { .mBody = objects[name] };
  }
  const auto slash = aName.find('/');
  auto& object = objects[aName.substr(0, slash)];
  const auto& wanted = body["metadata"].value("revision", json());
  if (!wanted.is_null() && wanted != object["metadata"]["revision"]) {
    return { .mStatus = 409, .mBody = object };
  }
  const auto* const part = slash == std::string::npos ? "spec" : "status";
  object[part] = body.at(part);
  object["metadata"]["revision"] = mRevision + 1;
  Note(aKind, object, false);
  return { .mBody = object };
}

} // namespace figslip::test
