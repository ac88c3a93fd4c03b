#include <figslip/stream/event_splitter.hpp>

#include <algorithm>

namespace figslip::stream {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";

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
    const auto block = std::string_view(mPending).substr(whole, from - whole);
    whole = from;
    if (ParseBlock(block)) {
      ++mEventCount;
      mFillerBytes = 0;
    } else {
      mFillerBytes += block.size();
    }
  }
  auto events = mPending.substr(0, whole);
  mPending.erase(0, whole);
  return events;
}

bool
EventSplitter::ParseBlock(std::string_view aBlock)
{
  bool isEvent = false;
  while (!aBlock.empty()) {
    const auto end = std::min(aBlock.find('\n'), aBlock.size());
    auto line = aBlock.substr(0, end);
    aBlock.remove_prefix(std::min(end + 1, aBlock.size()));
    isEvent = isEvent || line.starts_with(kDataField);
    if (line.starts_with(kIdField)) {
      isEvent = true;
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      mLastId = line;
    }
  }
  return isEvent;
}

} // namespace figslip::stream
