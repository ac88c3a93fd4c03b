#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::metrics {

/// @brief Counts events; thread-safe.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    mValue.fetch_add(aCount, std::memory_order_relaxed);
  }

  [[nodiscard]] std::uint64_t Value() const
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/// @brief Counts durations in buckets of fixed bounds; thread-safe.
class LatencyHistogram
{
public:
  /// @brief Upper bounds of the buckets, milliseconds; a last one is open.
  static constexpr std::int64_t kBoundsMs[] = { 1,    2,    5,     10,   20,
                                                50,   100,  200,   500,  1000,
                                                1700, 5000, 10000, 30000 };
  static constexpr std::size_t kBucketCount = std::size(kBoundsMs) + 1;

  /// @param[in] aMillis duration in milliseconds, >= 0
  void Observe(double aMillis);

  [[nodiscard]] std::uint64_t Bucket(std::size_t aIndex) const
  {
    return mBuckets[aIndex].Value();
  }
  [[nodiscard]] double SumMillis() const;

private:
  Counter mBuckets[kBucketCount];
  Counter mSumMicros;
};

/// @brief Holds one label of a metric.
struct Label
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const Label&) const = default;
};

/// @brief Holds all metrics of a daemon.
///
/// Look-ups take a lock; the references that they return stay valid.
class Registry
{
public:
  [[nodiscard]] Counter& CounterOf(std::string_view aName,
                                   std::vector<Label> aLabels = {});
  [[nodiscard]] LatencyHistogram& HistogramOf(std::string_view aName,
                                              std::vector<Label> aLabels = {});

  /// @brief Prints all metrics in the text exposition form.
  [[nodiscard]] std::string Print() const;

private:
  struct Key
  {
    std::string mName;
    std::vector<Label> mLabels;

    auto operator<=>(const Key&) const = default;
  };

  mutable std::mutex mMutex;
  std::map<Key, std::unique_ptr<Counter>> mCounters;
  std::map<Key, std::unique_ptr<LatencyHistogram>> mHistograms;
};

} // namespace figslip::metrics
