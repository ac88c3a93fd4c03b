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
  if (mBufferedBytes + aLine.size() > mMaxBytes) {
    ++mDropped;
  } else {
    mBufferedBytes += aLine.size();
    mBufferedLines.push_back(std::move(aLine));
  }
  Flush();
}

void
LineSink::Flush()
{
  while (!mBufferedLines.empty() && IsWritable()) {
    auto& line = mBufferedLines.front();
    // a pipe that polls as writable accepts PIPE_BUF bytes without blocking
    const auto size =
      std::min<std::size_t>(line.size() - mFirstLineWrittenBytes, PIPE_BUF);
    const auto written =
      ::write(mDescriptor, line.data() + mFirstLineWrittenBytes, size);
    if (written <= 0) {
      return;
    }
    mFirstLineWrittenBytes += static_cast<std::size_t>(written);
    if (mFirstLineWrittenBytes == line.size()) {
      mBufferedBytes -= line.size();
      mBufferedLines.pop_front();
      mFirstLineWrittenBytes = 0;
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
