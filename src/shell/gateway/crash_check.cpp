#include <figslip/gateway/crash_check.hpp>
#include <figslip/log/log.hpp>
#include <figslip/quarantine/part_records.hpp>
#include <figslip/time/wall_clock.hpp>

namespace figslip::gateway {

namespace {

/// An upstream that accepts no connection in this time counts as crashed.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);

std::string
JoinParts(const std::set<quarantine::PartId>& aParts)
{
  std::string text;
  for (const auto part : aParts) {
    text += (text.empty() ? "" : ",") + quarantine::FormatPart(part);
  }
  return text;
}

std::int64_t
ToUnixMilliseconds(TimePoint aBootTime)
{
  const auto time = ReadClock() - (ReadBootClock() - aBootTime);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           time.time_since_epoch())
    .count();
}

} // namespace

net::Awaitable<void>
CheckCrash(TrafficState& aState,
           net::Endpoint aUpstream,
           quarantine::CrashReport aReport,
           std::vector<quarantine::PartId> aParts)
{
  const auto executor = co_await net::asio::this_coro::executor;
  net::ClientConnection connection(executor);
  const auto startedAt = ReadBootClock();
  const auto end = co_await connection.Connect(aUpstream, kConnectTimeout);
  connection.Abort();
  if (end == net::StepEnd::Done) {
    aState.OnConnected();
  } else {
    aState.OnConnectFailed(aReport.mUpstream, startedAt);
  }
  // an instance that reaches no upstream cannot tell a crash from the cut
  const bool hasCrashed =
    end != net::StepEnd::Done && !aState.mContact.IsLost();
  const auto now = ReadBootClock();
  const quarantine::CrashSuspects suspects{
    .mEndpoint = aUpstream.mAddress + ":" + std::to_string(aUpstream.mPort),
    .mAtMs = ToUnixMilliseconds(aReport.mSeenAt),
    .mParts = aState.mParts.SuspectsAmong(aParts, now)
  };
  log::Write(log::Level::Info,
             "crash_checked",
             { { "upstream", aReport.mUpstream },
               { "fingerprint", std::to_string(aReport.mFingerprint) },
               { "connect", std::string(net::NameOf(end)) },
               { "in_flight", std::to_string(aReport.mInFlight) },
               { "suspected_parts", JoinParts(suspects.mParts) },
               { "outcome", hasCrashed ? "crashed" : "answer_lost" } });
  if (hasCrashed) {
    const bool isSuspected =
      aState.mQuarantine.OnConnectionBroken(aReport.mFingerprint,
                                            aReport.mUpstream,
                                            aReport.mInFlight,
                                            aReport.mSeenAt);
    if (isSuspected) {
      aState.mReports.mOnCrash(aReport);
    }
    if (!suspects.mParts.empty()) {
      aState.mParts.OnCrash(suspects, now);
      aState.mReports.mOnCrashSuspects(suspects);
    }
  }
}

} // namespace figslip::gateway
