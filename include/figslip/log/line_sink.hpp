#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace figslip::log {

/// @brief Writes lines to a descriptor without ever waiting for its reader.
///
/// Lines that the descriptor does not take at once are kept, up to a bound;
/// beyond it the newest are dropped and counted.
class LineSink
{
public:
  /// @param[in] aDescriptor where to write; not closed
  /// @param[in] aMaxBytes bound on the lines kept
  LineSink(int aDescriptor, std::size_t aMaxBytes)
    : mDescriptor(aDescriptor)
    , mMaxBytes(aMaxBytes)
  {
  }

  /// @brief Takes a line with its line break.
  void Write(std::string aLine);

  /// @brief Writes what the descriptor takes now.
  void Flush();

  /// @brief Returns the lines dropped for want of room.
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  [[nodiscard]] bool IsWritable() const;

  int mDescriptor;
  std::size_t mMaxBytes;
  std::deque<std::string> mBufferedLines;
  std::size_t mBufferedBytes = 0;
  std::size_t mFirstLineWrittenBytes =
    0; ///< bytes of the first line that are out
  std::uint64_t mDropped = 0;
};

} // namespace figslip::log
