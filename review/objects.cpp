#include "objects.hpp"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kRoot = "/-/objects/";

/// Returns a whole number of a query.
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

/// Returns a spec without the number that a worker raises with each heartbeat.
Json
WithoutSequence(Json aSpec)
{
  if (aSpec.is_object()) {
    aSpec.erase("seq");
  }
  return aSpec;
}

Json
NewObject(const std::string& aName, std::int64_t aCreated)
{
  return { { "metadata",
             { { "name", aName },
               { "created", aCreated },
               { "finalizers", Json::array() },
               { "deleting", false } } },
           { "spec", nullptr },
           { "status", nullptr } };
}

} // namespace

Store::Store(const std::string& aAddress)
{
  mState.mRevision = 100;
  mServer = std::make_unique<Server>(
    aAddress, 0, [this](const Message& aRequest) { return Serve(aRequest); });
}

std::int64_t
Store::Put(const std::string& aKind,
           const std::string& aName,
           const Json& aSpec)
{
  const std::scoped_lock lock(mMutex);
  if (!mServer->IsUp()) {
    return 0;
  }
  auto& objects = mState.mObjects[aKind];
  const bool isNew = !objects.contains(aName);
  auto& object = objects[aName];
  if (isNew) {
    object = NewObject(aName, mState.mRevision + 1);
  }
  const bool isChanged =
    isNew || WithoutSequence(object["spec"]) != WithoutSequence(aSpec);
  object["spec"] = aSpec;
  if (isChanged) {
    Note(aKind, object, false);
  }
  return object["metadata"]["revision"];
}

void
Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  auto& objects = mState.mObjects[aKind];
  if (objects.contains(aName)) {
    auto object = objects[aName];
    objects.erase(aName);
    Note(aKind, object, true);
  }
}

std::int64_t
Store::Revision()
{
  const std::scoped_lock lock(mMutex);
  return mState.mRevision;
}

Json
Store::Get(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  const auto& objects = mState.mObjects[aKind];
  const auto found = objects.find(aName);
  return found == objects.end() ? Json() : found->second;
}

std::vector<std::string>
Store::Names(const std::string& aKind)
{
  const std::scoped_lock lock(mMutex);
  std::vector<std::string> names;
  for (const auto& [name, object] : mState.mObjects[aKind]) {
    names.push_back(name);
  }
  return names;
}

Store::Copy
Store::TakeCopy()
{
  const std::scoped_lock lock(mMutex);
  return mState;
}

void
Store::ReturnWith(const Copy& aCopy)
{
  const std::scoped_lock lock(mMutex);
  mState = aCopy;
  std::erase_if(mEvents, [&](const Event& aEvent) {
    return aEvent.mRevision > aCopy.mRevision;
  });
  ++mEra;
  mServer->SetUp(true);
}

void
Store::Note(const std::string& aKind, Json& aObject, bool aIsDeleted)
{
  aObject["metadata"]["revision"] = ++mState.mRevision;
  mEvents.push_back({ aKind, mState.mRevision, aObject, aIsDeleted });
  mChanged.notify_all();
}

std::string
Store::Serve(const Message& aRequest)
{
  const auto target = aRequest.Word(1);
  auto path = target.substr(0, target.find('?'));
  path.erase(0, std::min(path.size(), kRoot.size()));
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  const auto isStatus = name.ends_with("/status");
  if (isStatus) {
    name.resize(name.size() - std::string_view("/status").size());
  }
  mWrites += aRequest.Word(0) == "GET" ? 0 : 1;
  if (aRequest.Word(0) == "DELETE" && mDelayedRemovals > 0) {
    --mDelayedRemovals;
    std::this_thread::sleep_for(mRemovalDelay.load());
    Remove(kind, name);
    return {}; // the caller has given up
  }
  std::unique_lock lock(mMutex);
  Answer answer;
  if (aRequest.Word(0) != "GET") {
    answer = Write(aRequest, kind, name, isStatus);
  } else if (!name.empty()) {
    const auto& objects = mState.mObjects[kind];
    const auto found = objects.find(name);
    answer = found == objects.end() ? Answer{ 404, Json::object() }
                                    : Answer{ 200, found->second };
  } else if (const auto from = Parameter(target, "watch", -1); from >= 0) {
    const milliseconds wait(Parameter(target, "wait_ms", 0));
    answer = Watch(kind, from, wait, lock);
  } else {
    answer = List(kind);
  }
  return FormatAnswer(answer.mStatus,
                      { { "Content-Type", "application/json" },
                        { "Store-Era", std::to_string(mEra) } },
                      answer.mBody.dump());
}

Store::Answer
Store::List(const std::string& aKind)
{
  auto items = Json::array();
  for (const auto& [name, object] : mState.mObjects[aKind]) {
    items.push_back(object);
  }
  return { 200,
           { { "items", items },
             { "has_more", false },
             { "store_revision", mState.mRevision } } };
}

Store::Answer
Store::Watch(const std::string& aKind,
             std::int64_t aFrom,
             milliseconds aWait,
             std::unique_lock<std::mutex>& aLock)
{
  const auto until = Clock::now() + aWait;
  const auto era = mEra;
  if (aFrom > mState.mRevision) {
    return { 410, Json::object() }; // it does not have this revision
  }
  auto events = Json::array();
  while (true) {
    for (const auto& event : mEvents) {
      if (event.mKind == aKind && event.mRevision > aFrom) {
        events.push_back(
          { { "object", event.mObject }, { "deleted", event.mIsDeleted } });
      }
    }
    const bool isOver = !events.empty() || era != mEra || !mServer->IsUp();
    if (isOver || Clock::now() >= until) {
      break;
    }
    mChanged.wait_until(aLock, until);
  }
  return { 200,
           { { "events", events }, { "store_revision", mState.mRevision } } };
}

Store::Answer
Store::Write(const Message& aRequest,
             const std::string& aKind,
             const std::string& aName,
             bool aIsStatus)
{
  const auto body = Json::parse(aRequest.mBody, nullptr, false);
  const auto& metadata =
    body.is_object() ? body.value("metadata", Json::object()) : Json::object();
  const auto method = aRequest.Word(0);
  const auto name = method == "POST" ? metadata.value("name", "") : aName;
  auto& objects = mState.mObjects[aKind];
  const bool isThere = objects.contains(name);
  if (method == "POST") {
    if (isThere) {
      return { 409, objects[name] };
    }
    auto& object = objects[name] = NewObject(name, mState.mRevision + 1);
    object["spec"] = body.value("spec", Json());
    Note(aKind, object, false);
    return { 200, object };
  }
  if (!isThere) {
    return { 404, Json::object() };
  }
  auto& object = objects[name];
  const auto wanted =
    metadata.value("revision", Parameter(aRequest.Word(1), "revision", -1));
  if (wanted >= 0 && wanted != object["metadata"]["revision"]) {
    return { 409, object };
  }
  if (method == "DELETE") {
    auto removed = object;
    objects.erase(name);
    Note(aKind, removed, true);
    return { 200, removed };
  }
  const char* const part = aIsStatus ? "status" : "spec";
  if (object[part] != body.value(part, Json())) {
    object[part] = body.value(part, Json());
    Note(aKind, object, false);
  }
  return { 200, object };
}

} // namespace review
