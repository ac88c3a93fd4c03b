#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

/// Size of an entry at the limit of the store.
constexpr std::size_t kHugeBytes = 1'000'000;

/// Time in which an instance follows a change.
constexpr auto kFollowTime = 5s;

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  text.reserve(aText.size() * aCount);
  for (std::size_t number = 0; number < aCount; ++number) {
    text += aText;
  }
  return text;
}

std::string
Nested(const std::string& aOpen, const std::string& aClose)
{
  const auto depth = kHugeBytes / (aOpen.size() + aClose.size());
  return Repeat(aOpen, depth) + "1" + Repeat(aClose, depth);
}

/// Returns the text of an upstream's spec with one field replaced.
std::string
Entry(const std::string& aField, const std::string& aValue)
{
  std::string text = "{";
  bool isReplaced = false;
  const std::vector<std::pair<std::string, std::string>> fields = {
    { "service", "\"engines\"" },
    { "address", "\"127.0.0.1:9\"" },
    { "zone", "\"a\"" },
    { "version", "\"v1\"" },
    { "slots", "8" },
    { "state", "\"ready\"" },
    { "cold_remaining_ms", "0" },
    { "born", "1" },
    { "seq", "1" }
  };
  for (const auto& [name, value] : fields) {
    const bool isField = name == aField;
    isReplaced = isReplaced || isField;
    text += '"' + name + "\":" + (isField ? aValue : value) + ',';
  }
  if (!isReplaced) {
    text += '"' + aField + "\":" + aValue + ',';
  }
  text.back() = '}';
  return text;
}

struct Form
{
  std::string mName;
  std::string mSpec;
};

std::vector<Form>
OddEntries()
{
  return {
    { "nested arrays", Nested("[", "]") },
    { "nested objects", Nested("{\"a\":", "}") },
    { "a nested field", Entry("more", Nested("[", "]")) },
    { "a number too large", Entry("slots", "1e999") },
    { "a whole number too large", Entry("slots", "99999999999999999999") },
    { "a number too large in another field", Entry("more", "-1e999") },
    { "no number", Entry("slots", "NaN") },
    { "a port out of range", Entry("address", "\"127.0.0.1:70000\"") },
    { "a port far out of range",
      Entry("address", "\"127.0.0.1:99999999999999999999\"") },
    { "a negative port", Entry("address", "\"127.0.0.1:-1\"") },
    { "no port", Entry("address", "\"127.0.0.1\"") },
    { "no IP number", Entry("address", "\"nowhere:80\"") },
    { "another type", Entry("address", "{\"a\":[1]}") },
    { "a state that is not named", Entry("state", "\"odd\"") },
    { "a state of another type", Entry("state", "[[[]]]") },
    { "negative slots", Entry("slots", "-1") },
    { "a time too large", Entry("cold_remaining_ms", "1e300") },
    { "a start too large", Entry("born", "1e300") },
    { "bytes that are no text", Entry("zone", "\"\xff\xfe\"") },
    { "a zero byte", Entry("zone", std::string("\"a\0b\"", 5)) },
    { "a zero byte in an escape", Entry("zone", "\"a\\u0000b\"") },
    { "half a pair of an escape", Entry("zone", "\"\\ud800\"") },
    { "a huge text", Entry("zone", '"' + std::string(kHugeBytes, 'x') + '"') },
    { "a text", "\"odd\"" },
    { "nothing", "null" },
    { "no fields", "{}" },
    { "an array", "[]" },
  };
}

bool
Awaits(IngressWorld& aWorld, std::size_t aIndex, int aStatus)
{
  const auto until = std::chrono::steady_clock::now() + kFollowTime;
  while (std::chrono::steady_clock::now() < until) {
    if (aWorld.Send(aIndex, "GET", "/look/1", "probe").mStatus == aStatus) {
      return true;
    }
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

/// Checks that an instance follows changes of the upstreams.
bool
IsFollowing(IngressWorld& aWorld, std::size_t aIndex = 0)
{
  aWorld.PutEngine(0, "draining");
  aWorld.PutEngine(1, "draining");
  const bool isDrained = Awaits(aWorld, aIndex, 503);
  aWorld.PutEngine(0);
  aWorld.PutEngine(1);
  return isDrained && Awaits(aWorld, aIndex, 200);
}

/// Checks that an instance follows changes of the configuration.
bool
IsConfigured(IngressWorld& aWorld)
{
  aWorld.PutConfiguration({ "key-2" });
  const bool isRevoked = Awaits(aWorld, 0, 401);
  aWorld.PutConfiguration({ "key-1" });
  return isRevoked && Awaits(aWorld, 0, 200);
}

std::ptrdiff_t
CountLines(const std::string& aLog, const std::string& aName)
{
  std::ptrdiff_t count = 0;
  for (std::size_t begin = 0; begin < aLog.size();) {
    const auto end = std::min(aLog.find('\n', begin), aLog.size());
    const auto line = aLog.substr(begin, end - begin);
    const bool isMeant =
      line.find("\"object_unreadable\"") != std::string::npos &&
      line.find("\"name\":\"" + aName) != std::string::npos;
    count += isMeant ? 1 : 0;
    begin = end + 1;
  }
  return count;
}

} // namespace

TEST_CASE("an odd entry among the upstreams")
{
  IngressWorld world;
  const auto forms = OddEntries();
  const auto nameOf = [](std::size_t aNumber) {
    return "odd-" + std::to_string(aNumber) + "-";
  };
  for (std::size_t number = 0; number < forms.size(); ++number) {
    CAPTURE(forms[number].mName);
    world.Store().PutRaw("servers", nameOf(number), forms[number].mSpec);
    REQUIRE(IsFollowing(world));
  }

  // all of them in a list
  world.Store().Compact();
  CHECK(IsFollowing(world));
  CHECK(world.PeakMemoryMb(0) > 0);
  world.Instance(0).Stop(9s);
  const auto log = world.Instance(0).Log();
  CHECK(log.find("attempt_failed") == std::string::npos);
  for (std::size_t number = 0; number < forms.size(); ++number) {
    CAPTURE(forms[number].mName);
    CHECK(CountLines(log, nameOf(number)) == 1);
  }
}

TEST_CASE("an odd entry meets an instance that starts")
{
  for (const std::string name :
       { "nested arrays", "a number too large", "bytes that are no text" }) {
    CAPTURE(name);
    const auto forms = OddEntries();
    const auto form = std::ranges::find(forms, name, &Form::mName);
    IngressWorld world;
    for (const std::string kind :
         { "servers", "config", "rollouts", "evacuations", "figslip" }) {
      world.Store().PutRaw(kind, "odd", form->mSpec);
    }
    world.Instance(0).Kill();
    world.Restart(0);
    CHECK(IsFollowing(world));
    CHECK(IsConfigured(world));
    CHECK(world.PeakMemoryMb(0) > 0);
  }
}

TEST_CASE("odd entries of another kind")
{
  for (const std::string kind :
       { "config", "rollouts", "evacuations", "figslip" }) {
    CAPTURE(kind);
    IngressWorld world;
    for (const auto& form : OddEntries()) {
      world.Store().PutRaw(kind, "odd " + form.mName, form.mSpec);
      world.Store().PutRaw(kind, "instance." + form.mName, form.mSpec);
    }
    CHECK(IsConfigured(world));
    CHECK(IsFollowing(world));
    world.Store().Put("evacuations", "a", nullptr);
    CHECK(Awaits(world, 0, 503));
    world.Store().Remove("evacuations", "a");
    CHECK(Awaits(world, 0, 200));
    CHECK(world.PeakMemoryMb(0) > 0);
  }
}

TEST_CASE("an odd status of a roll-out")
{
  IngressWorld world;
  world.Store().Put(
    "rollouts",
    "engines",
    { { "service", "engines" }, { "target", "v1" }, { "duration_s", 1 } });
  for (const std::string status : { "[]",
                                    "1e999",
                                    "{\"state\":7}",
                                    "{\"elapsed_ms\":1e300}",
                                    "\"\xff\"" }) {
    CAPTURE(status);
    world.Store().PutRaw("rollouts", "engines", status, "status");
    REQUIRE(IsFollowing(world));
  }
  CHECK(IsConfigured(world));
  CHECK(world.PeakMemoryMb(0) > 0);
}

TEST_CASE("an entry without usable metadata")
{
  const auto spec = R"(,"spec":)" + Entry("seq", "1") + "}";
  const std::vector<std::string> texts = {
    "[]",
    "7",
    "null",
    R"({"spec":{}})",
    R"({"metadata":7,"spec":{}})",
    R"({"metadata":{"name":7,"revision":{revision}})" + spec,
    R"({"metadata":{"name":"","revision":{revision}})" + spec,
    R"({"metadata":{"name":"odd","revision":1e999})" + spec,
    R"({"metadata":{"name":"odd\r\nX: 1","revision":{revision}})" + spec,
    R"({"metadata":{"name":")" + std::string(kHugeBytes, 'n') +
      R"(","revision":{revision}})" + spec
  };
  IngressWorld world;
  for (std::size_t number = 0; number < texts.size(); ++number) {
    CAPTURE(texts[number].substr(0, 80));
    // the last of the list, so that the next page would begin after it
    world.Store().PutRawObject(
      "servers", "zz" + std::to_string(number), texts[number]);
    REQUIRE(IsFollowing(world));
  }
  world.Store().Compact();
  CHECK(IsFollowing(world));
  CHECK(world.PeakMemoryMb(0) > 0);
  world.Instance(0).Stop(9s);
  const auto log = world.Instance(0).Log();
  CHECK(log.find("attempt_failed") == std::string::npos);
}

TEST_CASE("an entry that turns odd names no upstream until it is good again")
{
  IngressWorld world;
  world.PutEngine(0, "draining");
  for (const auto& form : OddEntries()) {
    CAPTURE(form.mName);
    REQUIRE(Awaits(world, 0, 200));
    world.Store().PutRaw("servers", "e-2", form.mSpec);
    CHECK(Awaits(world, 0, 503));
    world.PutEngine(1);
  }
  CHECK(Awaits(world, 0, 200));
}

TEST_CASE("instances that follow another one meet an odd entry")
{
  for (const std::string name :
       { "nested arrays", "a number too large", "a huge text" }) {
    CAPTURE(name);
    const auto forms = OddEntries();
    const auto form = std::ranges::find(forms, name, &Form::mName);
    IngressWorld world({ .mInstances = 2 });
    for (int number = 0; number < 6; ++number) {
      world.Store().PutRaw(
        "servers", "odd-" + std::to_string(number), form->mSpec);
    }
    for (std::size_t instance = 0; instance < 2; ++instance) {
      CHECK(IsFollowing(world, instance));
      CHECK(world.PeakMemoryMb(instance) > 0);
    }
  }
}
