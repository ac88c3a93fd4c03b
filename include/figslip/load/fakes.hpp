#pragma once

#include <figslip/load/deployment.hpp>
#include <figslip/manifest/manifest.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::load {

/// @brief Runs callbacks in the order of virtual time.
class EventQueue
{
public:
  using Callback = std::function<void(TimePoint)>;

  /// @brief Adds a callback; those of one time run in the order of adding.
  void At(TimePoint aTime, Callback aCallback);

  /// @brief Runs all callbacks up to a time, those that they add included.
  void RunUntil(TimePoint aEnd);

  [[nodiscard]] TimePoint Now() const { return mNow; }

private:
  struct Event
  {
    TimePoint mTime;
    std::uint64_t mOrder;
    Callback mCallback;

    bool operator>(const Event& aOther) const
    {
      return std::pair(mTime, mOrder) > std::pair(aOther.mTime, aOther.mOrder);
    }
  };

  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mAdded = 0;
  TimePoint mNow;
};

/// @brief Holds what an answer would be like.
struct FakeAnswer
{
  bool mGood = false;
  double mScore = 0.0;
  std::int64_t mTokens = 0;
  Duration mWork{}; ///< on an idle upstream
  bool mFails = false;
};

/// @brief Draws answers by the ability of versions and the task's difficulty.
class AnswerModel
{
public:
  explicit AnswerModel(const std::vector<VersionProfile>& aProfiles);

  /// @brief Makes a version answer badly from now on.
  void TurnBad(std::string_view aVersion);

  [[nodiscard]] bool IsBad(std::string_view aVersion) const;

  [[nodiscard]] FakeAnswer Draw(std::string_view aVersion,
                                double aDifficulty,
                                std::int64_t aTokens,
                                std::mt19937_64& aRandom) const;

private:
  struct Entry
  {
    VersionProfile mProfile;
    bool mIsBad = false;
  };

  std::map<std::string, Entry, std::less<>> mVersions;
};

/// @brief Stands for an upstream: batches, is cold at first, may die.
class FakeUpstream
{
public:
  explicit FakeUpstream(const manifest::Upstream& aConfig);

  /// @name Observers
  /// @{
  [[nodiscard]] const manifest::Upstream& Config() const { return *mConfig; }
  [[nodiscard]] bool IsUp() const { return mIsUp; }
  [[nodiscard]] bool IsCold(TimePoint aNow) const;
  [[nodiscard]] int Running() const { return mRunning; }
  [[nodiscard]] int Epoch() const { return mEpoch; }
  [[nodiscard]] std::string BootId() const;
  /// @}

  /// @brief Takes one more request.
  /// @return false where the load was more than a cold upstream bears; it is
  /// down then
  [[nodiscard]] bool Begin(TimePoint aNow);

  /// @brief Ends a request that began in the present epoch.
  void End();

  void GoDown();
  void ComeUp(TimePoint aNow);

  /// @brief Returns how much slower a request runs at the present load, >= 1.
  [[nodiscard]] double Slowdown() const;

private:
  const manifest::Upstream* mConfig;
  bool mIsUp = true;
  int mRunning = 0;
  int mEpoch = 1; ///< counts the starts
  TimePoint mUpSince;
};

} // namespace figslip::load
