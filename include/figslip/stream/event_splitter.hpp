#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::stream {

/// @brief Splits the bytes of a server-sent event stream into complete events.
///
/// Only complete events may be forwarded, so that a stream that breaks in the
/// middle of an event can resume at another upstream. Comments and empty lines
/// are forwarded too; without an event among them they are limited in size.
class EventSplitter
{
public:
  /// @param[in] aMaxEventBytes maximum size of an incomplete event, and of the
  ///            bytes between two events
  explicit EventSplitter(std::size_t aMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  /// @brief Appends received bytes and extracts the events that they complete.
  /// @return the complete events and what is between them, unchanged; may be
  ///         empty
  [[nodiscard]] std::string Append(std::string_view aBytes);

  /// @brief Discards the bytes of an incomplete event, before bytes of another
  /// stream follow.
  void DiscardPartial()
  {
    mPending = {};
    mFillerBytes = 0;
  }

  /// @brief Returns whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool HasPartial() const { return !mPending.empty(); }

  /// @brief Returns the memory of the incomplete event in bytes.
  [[nodiscard]] std::size_t PendingBytes() const { return mPending.capacity(); }

  /// @brief Returns whether the incomplete event, or the bytes since the last
  /// event, exceed the maximum size.
  [[nodiscard]] bool IsOverlong() const
  {
    return mPending.size() > mMaxEventBytes || mFillerBytes > mMaxEventBytes;
  }

  /// @brief Returns the last id that a complete event carried; empty without
  /// one.
  [[nodiscard]] const std::string& LastId() const { return mLastId; }

  /// @brief Returns the number of complete events so far.
  [[nodiscard]] std::int64_t EventCount() const { return mEventCount; }

private:
  /// Parses a block of lines up to an empty line.
  /// @return whether it is an event, which has an id or data
  bool ParseBlock(std::string_view aBlock);

  std::size_t mMaxEventBytes;
  std::string mPending;
  std::string mLastId;
  std::size_t mFillerBytes = 0; ///< bytes since the last event
  std::int64_t mEventCount = 0;
};

} // namespace figslip::stream
