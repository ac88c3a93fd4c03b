#include <figslip/http/ip_number.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>
#include <figslip/settings/ingress_settings.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace figslip::settings {

namespace {

using json::ObjectReader;

constexpr json::Range<std::int64_t> kMegabytes{ 16, 1 << 20 };
constexpr json::Range<std::int64_t> kDescriptors{ 64, 1 << 24 };
constexpr json::Range<std::int64_t> kInstances{ 0, 1'000'000 };
constexpr json::Range<double> kSeconds{ 0.0, 3'600.0 };
constexpr json::Range<double> kMillis{ 1.0, 3'600'000.0 };
constexpr json::Range<double> kShare{ 0.0, 10.0 };
constexpr json::Range<double> kFraction{ 0.0, 1.0 };
/// The rest is for answers that are received, a quarter, and the process.
constexpr json::Range<double> kMemoryShare{ 0.01, 0.5 };
constexpr json::Range<double> kCount{ 0.0, 1e9 };

Duration
FromMillis(double aMillis)
{
  constexpr double kMicros = 1'000.0;
  return Duration(static_cast<Duration::rep>(aMillis * kMicros));
}

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMillisPerSecond = 1'000.0;
  return FromMillis(aSeconds * kMillisPerSecond);
}

net::Endpoint
ParseEndpoint(ObjectReader& aReader,
              std::string_view aField,
              const std::string& aText)
{
  const auto colon = aText.rfind(':');
  net::Endpoint endpoint{ .mAddress = aText.substr(0, colon) };
  const auto* const end = aText.data() + aText.size();
  const auto* const digits =
    colon == std::string::npos ? end : aText.data() + colon + 1;
  const auto parsed = std::from_chars(digits, end, endpoint.mPort);
  const bool isGood = parsed.ec == std::errc{} && parsed.ptr == end &&
                      endpoint.mPort > 0 && http::IsIpNumber(endpoint.mAddress);
  if (!aText.empty() && !isGood) {
    aReader.Report(error::ErrorKind::BadSetting,
                   aField,
                   "\"" + aText + "\" is no IP number with a port");
  }
  return endpoint;
}

net::Endpoint
ReadEndpoint(ObjectReader& aReader, std::string_view aField)
{
  return ParseEndpoint(aReader, aField, aReader.Name(aField));
}

std::optional<net::Endpoint>
ReadOptionalEndpoint(ObjectReader& aReader, std::string_view aField)
{
  const auto text = aReader.Text(aField, "");
  return text.empty() ? std::nullopt
                      : std::optional(ParseEndpoint(aReader, aField, text));
}

IngressSettings
ReadSettings(ObjectReader& aReader)
{
  IngressSettings settings;
  settings.mInstance = aReader.Name("instance");
  settings.mFailureDomain = aReader.Name("failure_domain");
  aReader.ObjectArray("failure_domains", [&](ObjectReader& aDomain) {
    auto name = aDomain.Name("name");
    settings.mRegions.insert_or_assign(std::move(name), aDomain.Name("region"));
  });
  settings.mCallers = ReadEndpoint(aReader, "callers");
  settings.mReadiness = ReadEndpoint(aReader, "readiness");
  settings.mMetrics = ReadEndpoint(aReader, "metrics");
  settings.mPeers = ReadEndpoint(aReader, "peers");
  settings.mStore = ReadEndpoint(aReader, "store");
  settings.mMemoryMb = static_cast<int>(aReader.Whole("memory_mb", kMegabytes));
  settings.mMaxDescriptors =
    static_cast<int>(aReader.Whole("max_descriptors", kDescriptors));
  settings.mGrace = FromSeconds(aReader.Real("grace_s", kSeconds));
  constexpr double kDefaultHeartbeatMs = 1'200.0;
  settings.mUpstreamHeartbeat = FromMillis(
    aReader.Real("upstream_heartbeat_ms", kMillis, kDefaultHeartbeatMs));
  settings.mRevocation = FromMillis(aReader.Real("revocation_ms", kMillis));
  settings.mRetryShare = aReader.Real("retry_share", kShare);
  settings.mRetrySlack = aReader.Real("retry_slack", kCount);
  settings.mRetryWindow = FromSeconds(aReader.Real("retry_window_s", kSeconds));
  settings.mSessionTtl = FromSeconds(aReader.Real("session_ttl_s", kSeconds));
  settings.mExposureShare = aReader.Real("exposure_share", kFraction);
  settings.mExposureSlack = aReader.Real("exposure_slack", kCount);
  settings.mOverloadControl = aReader.Flag("overload_control", false);
  settings.mDemandExchange = ReadOptionalEndpoint(aReader, "demand_exchange");
  settings.mHandOver = ReadOptionalEndpoint(aReader, "hand_over");
  constexpr int kDefaultDirectPublishers = 10;
  settings.mMaxDirectPublishers = static_cast<int>(aReader.Whole(
    "max_direct_publishers", kInstances, kDefaultDirectPublishers));
  constexpr double kDefaultCallerMemoryShare = 0.375;
  constexpr double kDefaultUnreadStreamMs = 3'000.0;
  settings.mCallerMemoryShare = aReader.Real(
    "caller_memory_share", kMemoryShare, kDefaultCallerMemoryShare);
  settings.mUnreadStreamTimeout = FromMillis(
    aReader.Real("unread_stream_ms", kMillis, kDefaultUnreadStreamMs));
  return settings;
}

} // namespace

Result<IngressSettings>
ParseIngressSettings(std::string_view aText)
{
  auto document = json::ParseDocument(aText);
  if (!document) {
    return outcome::failure(std::move(document).assume_error());
  }
  error::Findings findings;
  ObjectReader reader(document.assume_value(), "", findings);
  IngressSettings settings;
  if (reader.IsObject()) {
    settings = ReadSettings(reader);
    reader.Finish();
  }
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return settings;
}

} // namespace figslip::settings
