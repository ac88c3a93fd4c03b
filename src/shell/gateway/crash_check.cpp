#include <figslip/gateway/crash_check.hpp>
#include <figslip/log/log.hpp>

namespace figslip::gateway {

namespace {

/// An upstream that accepts no connection in this time counts as crashed.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);

} // namespace

net::Awaitable<void>
CheckCrash(TrafficState& aState,
           net::Endpoint aUpstream,
           quarantine::CrashReport aReport)
{
  const auto executor = co_await net::asio::this_coro::executor;
  net::ClientConnection connection(executor);
  const auto end = co_await connection.Connect(aUpstream, kConnectTimeout);
  connection.Abort();
  const bool hasCrashed = end != net::StepEnd::Done;
  log::Write(log::Level::Info,
             "crash_checked",
             { { "upstream", aReport.mUpstream },
               { "fingerprint", std::to_string(aReport.mFingerprint) },
               { "connect", std::string(net::NameOf(end)) },
               { "in_flight", std::to_string(aReport.mInFlight) },
               { "outcome", hasCrashed ? "crashed" : "answer_lost" } });
  if (hasCrashed) {
    aState.mQuarantine.OnConnectionBroken(aReport.mFingerprint,
                                          aReport.mUpstream,
                                          aReport.mInFlight,
                                          aReport.mSeenAt);
    aState.mReports.mOnCrash(aReport);
  }
}

} // namespace figslip::gateway
