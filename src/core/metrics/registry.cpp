#include <figslip/metrics/registry.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace figslip::metrics {

namespace {

constexpr double kMicrosPerMilli = 1000.0;

/// Escapes a label value for the text exposition format.
std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

std::string
FormatLabels(const std::vector<Label>& aLabels)
{
  if (aLabels.empty()) {
    return {};
  }
  std::string text = "{";
  for (const auto& label : aLabels) {
    if (text.size() > 1) {
      text += ',';
    }
    text += label.mName + "=\"" + Escape(label.mValue) + '"';
  }
  return text + "}";
}

void
PrintHistogram(std::ostream& aOut,
               const std::string& aName,
               const std::vector<Label>& aLabels,
               const LatencyHistogram& aHistogram)
{
  std::uint64_t total = 0;
  for (std::size_t index = 0; index < LatencyHistogram::kBucketCount; ++index) {
    // the exposition format expects cumulative buckets
    total += aHistogram.Bucket(index);
    auto labels = aLabels;
    const bool isLast = index + 1 == LatencyHistogram::kBucketCount;
    labels.push_back(
      { "le",
        isLast ? "+Inf" : std::to_string(LatencyHistogram::kBoundsMs[index]) });
    aOut << aName << "_bucket" << FormatLabels(labels) << ' ' << total << '\n';
  }
  aOut << aName << "_sum" << FormatLabels(aLabels) << ' '
       << aHistogram.SumMillis() << '\n';
  aOut << aName << "_count" << FormatLabels(aLabels) << ' ' << total << '\n';
}

} // namespace

void
LatencyHistogram::Observe(double aMillis)
{
  const auto* const bound =
    std::ranges::find_if(kBoundsMs, [aMillis](std::int64_t aBound) {
      return aMillis <= static_cast<double>(aBound);
    });
  mBuckets[bound - std::begin(kBoundsMs)].Add();
  mSumMicros.Add(static_cast<std::uint64_t>(aMillis * kMicrosPerMilli));
}

double
LatencyHistogram::SumMillis() const
{
  return static_cast<double>(mSumMicros.Value()) / kMicrosPerMilli;
}

Counter&
Registry::CounterOf(std::string_view aName, std::vector<Label> aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& counter = mCounters[{ std::string(aName), std::move(aLabels) }];
  if (counter == nullptr) {
    counter = std::make_unique<Counter>();
  }
  return *counter;
}

Gauge&
Registry::GaugeOf(std::string_view aName, std::vector<Label> aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& gauge = mGauges[{ std::string(aName), std::move(aLabels) }];
  if (gauge == nullptr) {
    gauge = std::make_unique<Gauge>();
  }
  return *gauge;
}

LatencyHistogram&
Registry::HistogramOf(std::string_view aName, std::vector<Label> aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& histogram = mHistograms[{ std::string(aName), std::move(aLabels) }];
  if (histogram == nullptr) {
    histogram = std::make_unique<LatencyHistogram>();
  }
  return *histogram;
}

std::string
Registry::Print() const
{
  const std::lock_guard lock(mMutex);
  std::ostringstream out;
  std::string_view previous;
  for (const auto& [key, counter] : mCounters) {
    if (key.mName != previous) {
      out << "# TYPE " << key.mName << " counter\n";
      previous = key.mName;
    }
    out << key.mName << FormatLabels(key.mLabels) << ' ' << counter->Value()
        << '\n';
  }
  previous = {};
  for (const auto& [key, gauge] : mGauges) {
    if (key.mName != previous) {
      out << "# TYPE " << key.mName << " gauge\n";
      previous = key.mName;
    }
    out << key.mName << FormatLabels(key.mLabels) << ' ' << gauge->Value()
        << '\n';
  }
  previous = {};
  for (const auto& [key, histogram] : mHistograms) {
    if (key.mName != previous) {
      out << "# TYPE " << key.mName << " histogram\n";
      previous = key.mName;
    }
    PrintHistogram(out, key.mName, key.mLabels, *histogram);
  }
  return out.str();
}

} // namespace figslip::metrics
