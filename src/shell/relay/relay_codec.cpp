#include <figslip/json/raw_value.hpp>
#include <figslip/relay/relay_messages.hpp>

#include <nlohmann/json.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <relay_types.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace figslip::relay {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

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
  std::string bytes(aBytes);
  const auto buffer = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<std::uint8_t*>(bytes.data()),
    static_cast<std::uint32_t>(bytes.size()));
  // a length beyond the message would make room for it first
  const auto limit = static_cast<std::int32_t>(bytes.size());
  TCompactProtocol protocol(buffer, limit, limit);
  Message message;
  try {
    message.read(&protocol);
  } catch (const apache::thrift::TException& exception) {
    return Failure(
      error::ErrorKind::MalformedMessage, "relay message", exception.what());
  }
  return message;
}

/// Finds a kind by its name; kinds of a newer version are none.
const store::ObjectKind*
KindOf(std::string_view aName)
{
  const auto* const found =
    std::ranges::find(kRelayedKinds, aName, &store::NameOf);
  return found == kRelayedKinds.end() ? nullptr : found;
}

std::int64_t
ToWire(store::StoreEra aEra)
{
  return static_cast<std::int64_t>(aEra);
}

wire::RelayedObject
ToWire(const store::Object& aObject)
{
  wire::RelayedObject object;
  object.name = aObject.mName;
  object.revision = aObject.mRevision.Number();
  object.created = aObject.mCreated;
  object.spec = aObject.mSpec.dump();
  object.status = aObject.mStatus.dump();
  return object;
}

wire::RelayedKind
ToWire(const KindNews& aNews)
{
  wire::RelayedKind kind;
  kind.kind = store::NameOf(aNews.mKind);
  kind.sequence = static_cast<std::int64_t>(aNews.mDelta.mSequence);
  kind.isWhole = aNews.mDelta.mIsWhole;
  std::ranges::transform(aNews.mDelta.mObjects,
                         std::back_inserter(kind.objects),
                         [](const auto& aObject) { return ToWire(aObject); });
  kind.removed = aNews.mDelta.mRemoved;
  kind.storeRevision = aNews.mStoreRevision.Number();
  kind.__set_storeEra(ToWire(aNews.mStoreRevision.Era()));
  kind.confirmedUs = aNews.mConfirmed.count();
  return kind;
}

/// Reads an object; contents that are no JSON make it unreadable for all.
store::Object
FromWire(const wire::RelayedObject& aObject, store::StoreEra aEra)
{
  const auto parse = [](const std::string& aText) {
    auto value = json::ParseValue(aText);
    return value ? std::move(value).assume_value() : nlohmann::json();
  };
  return { .mName = aObject.name,
           .mRevision = { aEra, aObject.revision },
           .mCreated = aObject.created,
           .mSpec = parse(aObject.spec),
           .mStatus = parse(aObject.status),
           .mFindings = {} };
}

KindNews
FromWire(store::ObjectKind aKind, const wire::RelayedKind& aNews)
{
  const store::StoreEra era{ aNews.__isset.storeEra ? aNews.storeEra : 0 };
  KindNews news{ .mKind = aKind,
                 .mDelta = { .mSequence =
                               static_cast<std::uint64_t>(aNews.sequence),
                             .mIsWhole = aNews.isWhole,
                             .mObjects = {},
                             .mRemoved = aNews.removed },
                 .mStoreRevision = { era, aNews.storeRevision },
                 .mConfirmed = Duration(aNews.confirmedUs) };
  std::ranges::transform(
    aNews.objects,
    std::back_inserter(news.mDelta.mObjects),
    [era](const auto& aObject) { return FromWire(aObject, era); });
  return news;
}

} // namespace

std::string
EncodePoll(const Poll& aPoll)
{
  wire::RelayPoll poll;
  poll.epoch = static_cast<std::int64_t>(aPoll.mEpoch);
  for (const auto kind : kRelayedKinds) {
    const auto sequence = aPoll.mSequences.find(kind);
    const auto revision = aPoll.mRevisions.find(kind);
    const bool hasSequence = sequence != aPoll.mSequences.end();
    const bool hasRevision = revision != aPoll.mRevisions.end();
    if (!hasSequence && !hasRevision) {
      continue;
    }
    wire::RelayCursor cursor;
    cursor.kind = store::NameOf(kind);
    cursor.sequence =
      hasSequence ? static_cast<std::int64_t>(sequence->second) : 0;
    if (hasRevision) {
      cursor.__set_storeRevision(revision->second.Number());
      cursor.__set_storeEra(ToWire(revision->second.Era()));
    }
    poll.cursors.push_back(std::move(cursor));
  }
  poll.waitMs =
    static_cast<std::int32_t>(aPoll.mWait / std::chrono::milliseconds(1));
  if (aPoll.mIsForeign) {
    poll.__set_isForeign(true);
  }
  return Encode(poll);
}

Result<Poll>
DecodePoll(std::string_view aBytes)
{
  auto decoded = Decode<wire::RelayPoll>(aBytes);
  if (!decoded) {
    return outcome::failure(std::move(decoded).assume_error());
  }
  const auto& message = decoded.assume_value();
  Poll poll{ .mEpoch = static_cast<std::uint64_t>(message.epoch),
             .mSequences = {},
             .mRevisions = {},
             .mWait = std::chrono::milliseconds(std::max(0, message.waitMs)),
             .mIsForeign = message.__isset.isForeign && message.isForeign };
  for (const auto& cursor : message.cursors) {
    if (const auto* const kind = KindOf(cursor.kind)) {
      if (cursor.sequence != 0) {
        poll.mSequences[*kind] = static_cast<std::uint64_t>(cursor.sequence);
      }
      if (cursor.__isset.storeRevision) {
        const store::StoreEra era{ cursor.__isset.storeEra ? cursor.storeEra
                                                           : 0 };
        poll.mRevisions[*kind] = { era, cursor.storeRevision };
      }
    }
  }
  return poll;
}

std::string
EncodeAnswer(const PollAnswer& aAnswer)
{
  wire::RelayAnswer answer;
  answer.epoch = static_cast<std::int64_t>(aAnswer.mEpoch);
  answer.isDirect = aAnswer.mIsDirect;
  std::ranges::transform(aAnswer.mKinds,
                         std::back_inserter(answer.kinds),
                         [](const auto& aNews) { return ToWire(aNews); });
  if (!aAnswer.mSource.empty()) {
    answer.__set_source(aAnswer.mSource);
  }
  return Encode(answer);
}

Result<PollAnswer>
DecodeAnswer(std::string_view aBytes)
{
  auto decoded = Decode<wire::RelayAnswer>(aBytes);
  if (!decoded) {
    return outcome::failure(std::move(decoded).assume_error());
  }
  const auto& message = decoded.assume_value();
  PollAnswer answer{ .mEpoch = static_cast<std::uint64_t>(message.epoch),
                     .mIsDirect = message.isDirect,
                     .mKinds = {},
                     .mSource = message.source };
  for (const auto& news : message.kinds) {
    if (const auto* const kind = KindOf(news.kind)) {
      answer.mKinds.push_back(FromWire(*kind, news));
    }
  }
  return answer;
}

} // namespace figslip::relay
