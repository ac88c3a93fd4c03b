#include <figslip/fairshare/demand_messages.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <demand_types.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace figslip::fairshare {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

/// Longest list or map that is read. Room for its items is made before they
/// are read, so a list that states more items than it has must be bounded.
constexpr std::int32_t kMaxItems = 1'024;

/// Upper bound of the bytes of an instance's sequence beside its name.
constexpr std::size_t kKnownBytes = 12;

template<typename Message>
std::string
Encode(const Message& aMessage)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

template<typename Message>
Result<Message>
Decode(std::string_view aBytes)
{
  constexpr const char* kPlace = "demand message";
  if (aBytes.size() > kMaxMessageBytes) {
    return Failure(error::ErrorKind::MalformedMessage,
                   kPlace,
                   "it has " + std::to_string(aBytes.size()) + " bytes");
  }
  std::string bytes(aBytes);
  const auto buffer = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<std::uint8_t*>(bytes.data()),
    static_cast<std::uint32_t>(bytes.size()));
  // a length beyond the message would make room for it first
  TCompactProtocol protocol(
    buffer, static_cast<std::int32_t>(bytes.size()), kMaxItems);
  Message message;
  try {
    message.read(&protocol);
  } catch (const apache::thrift::TException& exception) {
    return Failure(
      error::ErrorKind::MalformedMessage, kPlace, exception.what());
  }
  return message;
}

/// Translates the items of a list.
template<typename To>
std::vector<To>
Translate(const auto& aItems, auto aTranslate)
{
  std::vector<To> items;
  items.reserve(aItems.size());
  std::ranges::transform(aItems, std::back_inserter(items), aTranslate);
  return items;
}

wire::AccountDemand
ToWire(const AccountDemand& aDemand)
{
  wire::AccountDemand demand;
  demand.account = aDemand.mAccount;
  demand.offered = aDemand.mOffered;
  demand.served = aDemand.mServed;
  return demand;
}

wire::ServiceDemand
ToWire(const ServiceDemand& aDemand)
{
  wire::ServiceDemand demand;
  demand.name = aDemand.mService;
  demand.isShort = aDemand.mIsShort;
  demand.accounts = Translate<wire::AccountDemand>(
    aDemand.mAccounts, [](const auto& aAccount) { return ToWire(aAccount); });
  demand.otherAccounts = aDemand.mOtherAccounts;
  demand.otherOffered = aDemand.mOtherOffered;
  demand.otherServed = aDemand.mOtherServed;
  return demand;
}

wire::DemandReport
ToWire(const AgedReport& aReport)
{
  wire::DemandReport report;
  report.instance = aReport.mReport.mInstance;
  report.sequence = aReport.mReport.mSequence;
  report.ageUs = aReport.mAge.count();
  report.services = Translate<wire::ServiceDemand>(
    aReport.mReport.mServices,
    [](const auto& aService) { return ToWire(aService); });
  return report;
}

ServiceDemand
FromWire(const wire::ServiceDemand& aDemand)
{
  return { .mService = aDemand.name,
           .mIsShort = aDemand.isShort,
           .mAccounts = Translate<AccountDemand>(
             aDemand.accounts,
             [](const wire::AccountDemand& aAccount) {
               return AccountDemand{ .mAccount = aAccount.account,
                                     .mOffered = aAccount.offered,
                                     .mServed = aAccount.served };
             }),
           .mOtherAccounts = aDemand.otherAccounts,
           .mOtherOffered = aDemand.otherOffered,
           .mOtherServed = aDemand.otherServed };
}

AgedReport
FromWire(const wire::DemandReport& aReport)
{
  return { .mReport = { .mInstance = aReport.instance,
                        .mSequence = aReport.sequence,
                        .mServices =
                          Translate<ServiceDemand>(aReport.services,
                                                   [](const auto& aService) {
                                                     return FromWire(aService);
                                                   }) },
           .mAge = Duration(aReport.ageUs) };
}

std::vector<wire::DemandReport>
ToWire(const std::vector<AgedReport>& aReports)
{
  return Translate<wire::DemandReport>(
    aReports, [](const auto& aReport) { return ToWire(aReport); });
}

std::vector<AgedReport>
FromWire(const std::vector<wire::DemandReport>& aReports)
{
  return Translate<AgedReport>(
    aReports, [](const auto& aReport) { return FromWire(aReport); });
}

} // namespace

std::string
EncodePush(const DemandPush& aPush)
{
  wire::DemandPush push;
  std::size_t bytes = 0;
  for (const auto& known : aPush.mKnown) {
    bytes += known.first.size() + kKnownBytes;
    if (bytes > kMaxKnownBytes) {
      break;
    }
    push.known.insert(known);
  }
  push.reports = ToWire(aPush.mReports);
  return Encode(push);
}

Result<DemandPush>
DecodePush(std::string_view aBytes)
{
  auto decoded = Decode<wire::DemandPush>(aBytes);
  if (!decoded) {
    return outcome::failure(std::move(decoded).assume_error());
  }
  const auto& message = decoded.assume_value();
  return DemandPush{ .mKnown = message.known,
                     .mReports = FromWire(message.reports) };
}

std::string
EncodeAnswer(const DemandAnswer& aAnswer)
{
  wire::DemandAnswer answer;
  answer.reports = ToWire(aAnswer.mReports);
  return Encode(answer);
}

Result<DemandAnswer>
DecodeAnswer(std::string_view aBytes)
{
  auto decoded = Decode<wire::DemandAnswer>(aBytes);
  if (!decoded) {
    return outcome::failure(std::move(decoded).assume_error());
  }
  return DemandAnswer{ .mReports = FromWire(decoded.assume_value().reports) };
}

} // namespace figslip::fairshare
