#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::stream {

/// @brief Splits the bytes of a server-sent event stream into complete events.
///
/// Only complete events may be forwarded, so that a stream that breaks in the
/// middle of an event can resume at another upstream.
class EventSplitter
{
public:
  /// @param[in] aMaxEventBytes maximum size of an incomplete event
  explicit EventSplitter(std::size_t aMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  /// @brief Appends received bytes and extracts the events that they complete.
  /// @return the complete events, unchanged; may be empty
  [[nodiscard]] std::string Append(std::string_view aBytes);

  /// @brief Discards the bytes of an incomplete event.
  void DiscardPartial() { mPending.clear(); }

  /// @brief Returns whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool HasPartial() const { return !mPending.empty(); }

  /// @brief Returns whether the incomplete event exceeds the maximum size.
  [[nodiscard]] bool IsOverlong() const
  {
    return mPending.size() > mMaxEventBytes;
  }

  /// @brief Returns the last id that a complete event carried; empty without
  /// one.
  [[nodiscard]] const std::string& LastId() const { return mLastId; }

  /// @brief Returns the number of complete events so far.
  [[nodiscard]] std::int64_t EventCount() const { return mEventCount; }

private:
  void ParseId(std::string_view aEvent);

  std::size_t mMaxEventBytes;
  std::string mPending;
  std::string mLastId;
  std::int64_t mEventCount = 0;
};

} // namespace figslip::stream
