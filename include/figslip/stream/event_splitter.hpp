#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::stream {

/// @brief Cuts the bytes of an event stream at the ends of whole events.
///
/// Only whole events may be passed on, so that a stream that breaks off in the
/// middle of an event can go on at another upstream.
class EventSplitter
{
public:
  /// @param[in] aMaxEventBytes longest event accepted
  explicit EventSplitter(std::size_t aMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  /// @brief Takes the next bytes.
  /// @return the whole events among what has come, as sent; may be empty
  [[nodiscard]] std::string Append(std::string_view aBytes);

  /// @brief Forgets the part of an event that has come.
  void DiscardPartial() { mPending.clear(); }

  /// @brief Tells whether bytes of an unfinished event are held.
  [[nodiscard]] bool HasPartial() const { return !mPending.empty(); }

  [[nodiscard]] bool IsOverlong() const
  {
    return mPending.size() > mMaxEventBytes;
  }

  /// @brief Returns the id of the last whole event.
  [[nodiscard]] const std::string& LastId() const { return mLastId; }

  /// @brief Returns the number of whole events.
  [[nodiscard]] std::int64_t EventCount() const { return mEventCount; }

private:
  void ParseId(std::string_view aEvent);

  std::size_t mMaxEventBytes;
  std::string mPending;
  std::string mLastId;
  std::int64_t mEventCount = 0;
};

} // namespace figslip::stream
