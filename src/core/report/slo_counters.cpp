#include <figslip/json/object_reader.hpp>
#include <figslip/report/slo_counters.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace figslip::report {

using error::ErrorKind;

namespace {

constexpr json::EnumName<SloResult> kResultNames[] = {
  { SloResult::Good, "good" },
  { SloResult::Slow, "slow" },
  { SloResult::Refused, "refused" },
  { SloResult::BadRating, "bad_rating" },
};

constexpr ErrorKind kCallerFaults[] = {
  ErrorKind::MalformedJson,  ErrorKind::WrongType,      ErrorKind::UnknownField,
  ErrorKind::DuplicateField, ErrorKind::OutOfRange,     ErrorKind::MissingField,
  ErrorKind::MalformedBody,  ErrorKind::UnknownAccount, ErrorKind::NotAllowed,
  ErrorKind::UnknownTarget,  ErrorKind::ForgedSession,  ErrorKind::BodyTooLarge,
  ErrorKind::MissingHeader,  ErrorKind::BadHeader,      ErrorKind::KeyExpired,
  ErrorKind::KeyInUse,       ErrorKind::Quarantined,
};

/// Decides what an event counts as for one SLO.
struct Classify
{
  const manifest::Slo& mSlo;

  std::optional<SloResult> operator()(const AnsweredRequest& aRequest) const
  {
    const bool inTime =
      aRequest.mLatency <= std::chrono::milliseconds(mSlo.mLatencyMs);
    return inTime ? SloResult::Good : SloResult::Slow;
  }
  std::optional<SloResult> operator()(const RefusedRequest& aRequest) const
  {
    if (IsCallerFault(aRequest.mKind)) {
      return std::nullopt;
    }
    return SloResult::Refused;
  }
  std::optional<SloResult> operator()(const BadRating& /*aRating*/) const
  {
    return SloResult::BadRating;
  }
};

} // namespace

std::string_view
NameOf(SloResult aResult)
{
  return json::NameOf<SloResult>(aResult, kResultNames);
}

bool
IsCallerFault(ErrorKind aKind)
{
  return std::ranges::find(kCallerFaults, aKind) != std::end(kCallerFaults);
}

void
CountForSlos(metrics::Registry& aRegistry,
             const manifest::Manifest& aManifest,
             std::string_view aAccount,
             const SloEvent& aEvent)
{
  for (const auto& slo : aManifest.mSlos) {
    if (slo.mClientAccount != aAccount) {
      continue;
    }
    if (const auto result = std::visit(Classify{ slo }, aEvent)) {
      aRegistry
        .CounterOf(kSloCounter,
                   { { "account", std::string(aAccount) },
                     { "slo", slo.mName },
                     { "result", std::string(NameOf(*result)) } })
        .Add();
    }
  }
}

} // namespace figslip::report
