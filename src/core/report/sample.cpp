#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>
#include <figslip/report/sample.hpp>
#include <figslip/report/slo_counters.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace figslip::report {

namespace {

constexpr json::Range<std::int64_t> kCount{
  0,
  std::numeric_limits<std::int64_t>::max()
};

std::string
LabelOf(const MetricPoint& aPoint, const std::string& aName)
{
  const auto found = aPoint.mLabels.find(aName);
  return found == aPoint.mLabels.end() ? std::string() : found->second;
}

Sample
ReadSample(json::ObjectReader& aReader)
{
  Sample sample{ .mTakenAtMs = aReader.Whole("taken_at_ms", kCount),
                 .mDaemons = aReader.TextArray("daemons"),
                 .mMissing = aReader.TextArray("missing"),
                 .mCounts = {} };
  aReader.ObjectArray("counts", [&](json::ObjectReader& aCount) {
    sample.mCounts.push_back({ .mDaemon = aCount.Name("daemon"),
                               .mAccount = aCount.Name("account"),
                               .mSlo = aCount.Name("slo"),
                               .mResult = aCount.Name("result"),
                               .mCount = aCount.Whole("count", kCount) });
  });
  aReader.Finish();
  return sample;
}

} // namespace

void
AddDaemon(Sample& aSample,
          const std::string& aDaemon,
          const std::vector<MetricPoint>& aPoints)
{
  aSample.mDaemons.push_back(aDaemon);
  for (const auto& point : aPoints) {
    if (point.mName == kSloCounter) {
      aSample.mCounts.push_back(
        { .mDaemon = aDaemon,
          .mAccount = LabelOf(point, "account"),
          .mSlo = LabelOf(point, "slo"),
          .mResult = LabelOf(point, "result"),
          .mCount = static_cast<std::int64_t>(point.mValue) });
    }
  }
}

std::string
PrintSample(const Sample& aSample)
{
  auto counts = nlohmann::ordered_json::array();
  for (const auto& count : aSample.mCounts) {
    counts.push_back({ { "daemon", count.mDaemon },
                       { "account", count.mAccount },
                       { "slo", count.mSlo },
                       { "result", count.mResult },
                       { "count", count.mCount } });
  }
  const nlohmann::ordered_json document = { { "taken_at_ms",
                                              aSample.mTakenAtMs },
                                            { "daemons", aSample.mDaemons },
                                            { "missing", aSample.mMissing },
                                            { "counts", std::move(counts) } };
  return document.dump() + "\n";
}

Result<std::vector<Sample>>
ParseSamples(std::string_view aPlace, std::string_view aText)
{
  std::vector<Sample> samples;
  error::Findings findings;
  for (int number = 1; !aText.empty(); ++number) {
    const auto end = aText.find('\n');
    const auto line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    if (line.empty()) {
      continue;
    }
    const auto document = json::ParseDocument(line);
    error::Findings found;
    if (document) {
      json::ObjectReader reader(document.assume_value(), "", found);
      samples.push_back(ReadSample(reader));
    } else {
      found = document.assume_error();
    }
    for (auto& finding : found) {
      finding.mPlace = std::string(aPlace) + ":" + std::to_string(number) +
                       "#" + finding.mPlace;
      findings.push_back(std::move(finding));
    }
  }
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  std::ranges::sort(samples, {}, &Sample::mTakenAtMs);
  return samples;
}

} // namespace figslip::report
