#include <figslip/stream/event_splitter.hpp>

#include <algorithm>

namespace figslip::stream {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

} // namespace

std::string
EventSplitter::Append(std::string_view aBytes)
{
  // the end of an event may begin in bytes received earlier
  auto from = mPending.empty() ? 0 : mPending.size() - 1;
  mPending += aBytes;
  std::size_t whole = 0;
  for (auto end = mPending.find(kEventEnd, from); end != std::string::npos;
       end = mPending.find(kEventEnd, from)) {
    from = end + kEventEnd.size();
    ParseId(std::string_view(mPending).substr(whole, from - whole));
    whole = from;
    ++mEventCount;
  }
  auto events = mPending.substr(0, whole);
  mPending.erase(0, whole);
  return events;
}

void
EventSplitter::ParseId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = std::min(aEvent.find('\n'), aEvent.size());
    auto line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      mLastId = line;
    }
  }
}

} // namespace figslip::stream
