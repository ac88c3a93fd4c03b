#include <figslip/http/ip_number.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>
#include <figslip/settings/entry_settings.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <utility>

namespace figslip::settings {

namespace {

using json::ObjectReader;

constexpr json::Range<std::int64_t> kPort{ 0, 65'535 };
constexpr json::Range<std::int64_t> kThreads{ 1, 10'000 };
constexpr json::Range<std::int64_t> kBodyBytes{ 1, 64 << 20 };
constexpr json::Range<std::int64_t> kQueue{ 0, 1'000'000 };
constexpr json::Range<std::int64_t> kMillis{ 1, 3'600'000 };
constexpr json::Range<std::int64_t> kDelayMillis{ 0, 600'000 };
constexpr json::Range<double> kUnitInterval{ 0.0, 1.0 };
constexpr std::array<std::string_view, 4> kLogLevels = { "debug",
                                                         "info",
                                                         "warning",
                                                         "error" };

bool
IsSafeName(std::string_view aName, std::string_view aFurtherLetters)
{
  return std::ranges::all_of(aName, [&](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 ||
           aFurtherLetters.find(static_cast<char>(aLetter)) !=
             std::string_view::npos;
  });
}

/// Reads the name of the instance, which becomes part of object names.
std::string
ReadInstance(ObjectReader& aReader)
{
  auto name = aReader.Name("instance");
  if (!IsSafeName(name, "-_.")) {
    aReader.Report(error::ErrorKind::BadSetting,
                   "instance",
                   "a name has letters, digits, '-', '_' and '.' only");
  }
  return name;
}

std::string
ReadAddress(ObjectReader& aReader, std::string_view aField)
{
  auto address = aReader.Name(aField);
  if (!address.empty() && !http::IsIpNumber(address)) {
    aReader.Report(error::ErrorKind::BadSetting,
                   aField,
                   "\"" + address + "\" is no IP number");
  }
  return address;
}

void
ReadPlatform(ObjectReader& aReader, EntrySettings& aSettings)
{
  aSettings.mPlatform = { .mAddress = ReadAddress(aReader, "platform_address"),
                          .mPort = static_cast<int>(aReader.Whole(
                            "platform_port", { 1, kPort.mHigh })) };
}

void
ReadSessionKeys(ObjectReader& aReader, EntrySettings& aSettings)
{
  aReader.ObjectArray("session_keys", [&](ObjectReader& aKey) {
    aSettings.mSessionKeys.push_back(
      { .mId = aKey.Name("id"), .mSecret = aKey.Name("secret") });
  });
  std::set<std::string> ids;
  for (const auto& key : aSettings.mSessionKeys) {
    if (!IsSafeName(key.mId, "")) {
      aReader.Report(error::ErrorKind::BadSetting,
                     "session_keys",
                     "the id of a key has letters and digits only");
    }
    if (!ids.insert(key.mId).second) {
      aReader.Report(error::ErrorKind::DuplicateName,
                     "session_keys",
                     "key \"" + key.mId + "\" is given more than once");
    }
  }
  if (aSettings.mSessionKeys.empty()) {
    aReader.Report(error::ErrorKind::MissingField,
                   "session_keys",
                   "at least one key is required");
  }
}

void
ReadLogLevel(ObjectReader& aReader, EntrySettings& aSettings)
{
  aSettings.mLogLevel = aReader.Text("log_level", aSettings.mLogLevel);
  if (std::ranges::find(kLogLevels, aSettings.mLogLevel) == kLogLevels.end()) {
    aReader.Report(error::ErrorKind::BadSetting,
                   "log_level",
                   "\"" + aSettings.mLogLevel +
                     "\" is none of debug info warning error");
  }
}

EntrySettings
ReadSettings(ObjectReader& aReader)
{
  EntrySettings settings;
  settings.mInstance = ReadInstance(aReader);
  settings.mFailureDomain = aReader.Name("failure_domain");
  settings.mAddress = ReadAddress(aReader, "address");
  settings.mCallerPort =
    static_cast<int>(aReader.Whole("caller_port", kPort, 0));
  settings.mPeerPort = static_cast<int>(aReader.Whole("peer_port", kPort, 0));
  ReadPlatform(aReader, settings);
  ReadSessionKeys(aReader, settings);
  settings.mTrafficThreads = static_cast<int>(
    aReader.Whole("traffic_threads", kThreads, settings.mTrafficThreads));
  settings.mMaxBodyBytes =
    aReader.Whole("max_body_bytes", kBodyBytes, settings.mMaxBodyBytes);
  settings.mMaxQueue = aReader.Whole("max_queue", kQueue, settings.mMaxQueue);
  settings.mDefaultDeadlineMs =
    aReader.Whole("default_deadline_ms", kMillis, settings.mDefaultDeadlineMs);
  settings.mFirstTokenTimeoutMs = aReader.Whole(
    "first_token_timeout_ms", kMillis, settings.mFirstTokenTimeoutMs);
  settings.mNextTokenTimeoutMs = aReader.Whole(
    "next_token_timeout_ms", kMillis, settings.mNextTokenTimeoutMs);
  settings.mDrainDelayMs =
    aReader.Whole("drain_delay_ms", kDelayMillis, settings.mDrainDelayMs);
  settings.mRatingShare =
    aReader.Real("rating_share", kUnitInterval, settings.mRatingShare);
  ReadLogLevel(aReader, settings);
  return settings;
}

} // namespace

Result<EntrySettings>
ParseEntrySettings(std::string_view aText)
{
  auto document = json::ParseDocument(aText);
  if (!document) {
    return outcome::failure(std::move(document).assume_error());
  }
  error::Findings findings;
  ObjectReader reader(document.assume_value(), "", findings);
  EntrySettings settings;
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
