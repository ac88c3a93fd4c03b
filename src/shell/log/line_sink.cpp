#include <figslip/log/line_sink.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace figslip::log {

void
LineSink::Write(std::string aLine)
{
  if (mBytes + aLine.size() > mMaxBytes) {
    ++mDropped;
  } else {
    mBytes += aLine.size();
    mLines.push_back(std::move(aLine));
  }
  Flush();
}

void
LineSink::Flush()
{
  while (!mLines.empty() && IsWritable()) {
    auto& line = mLines.front();
    // a pipe that polls as writable takes this many bytes without blocking
    const auto size = std::min<std::size_t>(line.size() - mWritten, PIPE_BUF);
    const auto written = ::write(mDescriptor, line.data() + mWritten, size);
    if (written <= 0) {
      return;
    }
    mWritten += static_cast<std::size_t>(written);
    if (mWritten == line.size()) {
      mBytes -= line.size();
      mLines.pop_front();
      mWritten = 0;
    }
  }
}

bool
LineSink::IsWritable() const
{
  pollfd descriptor{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
  return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

} // namespace figslip::log
