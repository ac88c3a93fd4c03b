#pragma once

#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace figslip::test {

using namespace std::chrono_literals;

inline constexpr int kInstances = 2;
inline constexpr int kEngines = 4;

/// Requests with a deadly part that may still reach upstreams once all
/// instances have had the time to refuse them.
inline constexpr int kMaxLateRuns = 3;

/// Time after the fifth crash in which all instances must refuse the part.
inline constexpr auto kContactTime = 3s;

inline const std::string kFirstPart = "a1";
inline const std::string kDeadlyPart = "dead";
inline const std::string kOtherDeadlyPart = "fade";

/// Time in which a crashed engine is back.
inline constexpr auto kRestartTime = 500ms;

inline constexpr int kSubjects = 6; ///< of sound requests

inline std::string
SubjectOf(int aNumber)
{
  return "b" + std::to_string(aNumber);
}

/// Builds a stream request with its own body and last part.
/// @param[in] aParts parts of the prompt after the first, in hexadecimal
inline std::string
FormatPrompt(const std::vector<std::string>& aParts, int aNumber)
{
  const auto number = std::to_string(aNumber);
  std::string prompt = kFirstPart + ":100,";
  for (const auto& part : aParts) {
    prompt += part + ":50,";
  }
  prompt += "f" + number + ":10";
  const auto body = "body of " + number;
  return "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r" +
         number + "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key-1" +
         "\r\nX-Model: m\r\nX-Token-Usage: 210,6\r\nX-Prompt-Prefix: " +
         prompt + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline bool
IsServed(const CallerAnswer& aAnswer)
{
  return aAnswer.mStatus == 200 && aAnswer.mIsWhole;
}

/// Sends requests from several callers at the same time.
class PromptWorld
{
public:
  PromptWorld()
    : mWorld(
        IngressWorld::Options{ .mInstances = kInstances, .mEngines = kEngines })
  {
  }

  void SetDeadlyParts(const std::vector<std::string>& aParts)
  {
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      mWorld.Engine(engine).SetDeadlyParts(aParts);
    }
  }

  [[nodiscard]] int Crashes()
  {
    int crashes = 0;
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      crashes += mWorld.Engine(engine).Crashes();
    }
    return crashes;
  }

  /// Sends a request to the instances in turn.
  [[nodiscard]] CallerAnswer Send(const std::vector<std::string>& aParts)
  {
    const auto number = mSent++;
    return mWorld.SendRaw(static_cast<std::size_t>(number % kInstances),
                          FormatPrompt(aParts, number));
  }

  [[nodiscard]] std::future<CallerAnswer> SendLater(
    std::vector<std::string> aParts)
  {
    return std::async(
      std::launch::async, [this, number = mSent++, parts = std::move(aParts)] {
        return mWorld.SendRaw(static_cast<std::size_t>(number % kInstances),
                              FormatPrompt(parts, number));
      });
  }

  [[nodiscard]] int Runs()
  {
    int runs = 0;
    for (const auto& [attempt, count] : mWorld.CountRuns()) {
      runs += count;
    }
    return runs;
  }

private:
  IngressWorld mWorld;
  int mSent = 0;
};

/// Parts of a prompt after the first.
using Parts = std::vector<std::string>;

/// Sends requests with a deadly part, no two alike, until five upstreams have
/// crashed or the time is over.
inline void
CrashUpstreams(PromptWorld& aWorld, const std::vector<Parts>& aPrompts)
{
  const auto until = std::chrono::steady_clock::now() + 4s;
  while (aWorld.Crashes() < 5 && std::chrono::steady_clock::now() < until) {
    for (const auto& parts : aPrompts) {
      std::ignore = aWorld.Send(parts);
    }
    std::this_thread::sleep_for(250ms);
  }
}

/// Sends requests with deadly parts until upstreams have crashed, and checks
/// that no instance sends any more of them while sound requests are served.
/// @param[in] aBeside answers to sound requests that run meanwhile
inline void
CheckDeadlyParts(PromptWorld& aWorld,
                 const std::vector<Parts>& aDeadly,
                 std::vector<std::future<CallerAnswer>>& aBeside)
{
  aWorld.SetDeadlyParts({ kDeadlyPart, kOtherDeadlyPart });
  CrashUpstreams(aWorld, aDeadly);
  for (auto& answer : aBeside) {
    std::ignore = answer.get();
  }
  std::this_thread::sleep_for(kContactTime);

  const int runsBefore = aWorld.Runs();
  for (int number = 0; number < 8; ++number) {
    for (const auto& parts : aDeadly) {
      CHECK(aWorld.Send(parts).mStatus == 503);
    }
  }
  CHECK(aWorld.Runs() - runsBefore <= kMaxLateRuns);

  std::this_thread::sleep_for(kRestartTime);
  for (int number = 0; number < kSubjects; ++number) {
    CHECK(IsServed(aWorld.Send({ SubjectOf(number) })));
  }
}

} // namespace figslip::test
