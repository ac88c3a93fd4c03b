#include "peer_codec.hpp"

#include <figslip/peer/digest_size.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace figslip::peer {

std::size_t
EncodedSize(const Digest& aDigest, TimePoint aNow)
{
  const auto buffer =
    std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  return ToWire(aDigest, aNow).write(&protocol);
}

} // namespace figslip::peer
