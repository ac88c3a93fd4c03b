#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace figslip::log {

/// @brief Writes lines to a file descriptor without blocking on a slow reader.
///
/// Lines that cannot be written at once are buffered up to a limit in bytes;
/// when the buffer is full, new lines are dropped and counted.
/// @note Not thread-safe; the caller serializes access.
class LineSink
{
public:
  /// @brief Creates a sink with an empty buffer.
  /// @param[in] aDescriptor file descriptor to write to; the sink does not
  /// close it
  /// @param[in] aMaxBytes maximum size of the buffered lines in bytes
  LineSink(int aDescriptor, std::size_t aMaxBytes)
    : mDescriptor(aDescriptor)
    , mMaxBytes(aMaxBytes)
  {
  }

  /// @brief Buffers a line, or drops it if the buffer is full, then flushes.
  /// @param[in] aLine text that includes the trailing line break
  void Write(std::string aLine);

  /// @brief Writes buffered lines for as long as the descriptor is writable.
  void Flush();

  /// @brief Returns the number of lines dropped because the buffer was full.
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  [[nodiscard]] bool IsWritable() const;

  int mDescriptor;
  std::size_t mMaxBytes;
  std::deque<std::string> mBufferedLines;
  std::size_t mBufferedBytes = 0;
  /// bytes of the first buffered line that are already written
  std::size_t mFirstLineWrittenBytes = 0;
  std::uint64_t mDropped = 0;
};

} // namespace figslip::log
