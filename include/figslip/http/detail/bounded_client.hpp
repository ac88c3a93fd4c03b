#pragma once

#include <figslip/time/time_point.hpp>

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <string>

namespace figslip::http::detail {

/// @brief Bounds the bytes that are read of one answer.
struct AnswerLimits
{
  std::size_t mHeadBytes = 65'536; ///< status line, headers, interim ones
  std::size_t mBytes = std::size_t{ 4 }
                       << 20U; ///< head, body and their framing
};

/// @brief Client of one server that ends an answer without end.
///
/// The library keeps a head until it is complete, and bounds neither a line nor
/// the number of headers. So the bytes are counted as they come off the socket.
class BoundedClient : public httplib::ClientImpl
{
public:
  BoundedClient(const std::string& aAddress, int aPort, AnswerLimits aLimits);

  /// @brief Sets the longest wait for the next bytes of an answer.
  void SetReadTimeout(Duration aTimeout) { mReadTimeout = aTimeout; }

  /// @brief Records that the head of the present answer is complete.
  void OnHeadRead() { mIsHeadRead = true; }

private:
  bool process_socket(
    const Socket& aSocket,
    std::function<bool(httplib::Stream& aStream)> aCallback) override;

  AnswerLimits mLimits;
  Duration mReadTimeout = std::chrono::seconds(5);
  bool mIsHeadRead = false;
};

} // namespace figslip::http::detail
