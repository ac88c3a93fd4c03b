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

/// @brief Monotonically increasing count of events; thread-safe.
class Counter
{
public:
  /// @brief Increments the count.
  void Add(std::uint64_t aCount = 1)
  {
    mValue.fetch_add(aCount, std::memory_order_relaxed);
  }

  /// @brief Returns the current count.
  [[nodiscard]] std::uint64_t Value() const
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/// @brief Value that rises and falls; thread-safe.
class Gauge
{
public:
  /// @brief Replaces the value.
  void Set(double aValue) { mValue.store(aValue, std::memory_order_relaxed); }

  /// @brief Returns the current value.
  [[nodiscard]] double Value() const
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<double> mValue{ 0.0 };
};

/// @brief Histogram of durations with fixed bucket bounds; thread-safe.
///
/// The buckets are stored per interval; `Registry::Print` writes them as
/// cumulative counts.
class LatencyHistogram
{
public:
  /// @brief Inclusive upper bounds of the buckets in milliseconds; one more
  /// bucket counts all longer durations.
  static constexpr std::int64_t kBoundsMs[] = { 1,    2,    5,     10,   20,
                                                50,   100,  200,   500,  1000,
                                                1700, 5000, 10000, 30000 };
  /// @brief Number of buckets, including the unbounded one.
  static constexpr std::size_t kBucketCount = std::size(kBoundsMs) + 1;

  /// @brief Adds a duration to its bucket and to the sum.
  /// @param[in] aMillis duration in milliseconds, >= 0
  void Observe(double aMillis);

  /// @brief Returns the non-cumulative count of one bucket.
  /// @param[in] aIndex index of the bucket, < `kBucketCount`
  [[nodiscard]] std::uint64_t Bucket(std::size_t aIndex) const
  {
    return mBuckets[aIndex].Value();
  }

  /// @brief Returns the sum of all durations in milliseconds.
  [[nodiscard]] double SumMillis() const;

private:
  Counter mBuckets[kBucketCount];
  Counter mSumMicros;
};

/// @brief Name and value of one label of a metric.
struct Label
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const Label&) const = default;
};

/// @brief Stores all counters, gauges and histograms of a daemon; thread-safe.
///
/// Look-ups lock a mutex. Metrics are never removed, so the returned references
/// stay valid for the lifetime of the registry.
class Registry
{
public:
  /// @brief Returns the counter with this name and these labels, which is
  /// created on first use.
  /// @note The order of the labels is part of the identity of the metric.
  [[nodiscard]] Counter& CounterOf(std::string_view aName,
                                   std::vector<Label> aLabels = {});

  /// @brief Returns the gauge with this name and these labels, which is created
  /// on first use.
  /// @note The order of the labels is part of the identity of the metric.
  [[nodiscard]] Gauge& GaugeOf(std::string_view aName,
                               std::vector<Label> aLabels = {});

  /// @brief Returns the histogram with this name and these labels, which is
  /// created on first use.
  /// @note The order of the labels is part of the identity of the metric.
  [[nodiscard]] LatencyHistogram& HistogramOf(std::string_view aName,
                                              std::vector<Label> aLabels = {});

  /// @brief Renders all metrics in the Prometheus text exposition format.
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
  std::map<Key, std::unique_ptr<Gauge>> mGauges;
  std::map<Key, std::unique_ptr<LatencyHistogram>> mHistograms;
};

} // namespace figslip::metrics
