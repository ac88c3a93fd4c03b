#include <figslip/net/connection_pool.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>
#include <string_view>

namespace figslip::net {

namespace {

constexpr std::string_view kTimeoutParameter = "timeout=";

} // namespace

std::shared_ptr<ClientConnection>
ConnectionPool::Take(const Endpoint& aEndpoint, Clock::duration aMaxIdle)
{
  const auto found = mIdle.find(aEndpoint);
  if (found == mIdle.end()) {
    return nullptr;
  }
  const auto now = Clock::now();
  auto& idle = found->second;
  while (!idle.empty()) {
    auto last = std::move(idle.back());
    idle.pop_back();
    --mSize;
    if (now >= last.mUntil || now - last.mSince > aMaxIdle) {
      // those before it have been idle for longer
      mSize -= std::erase_if(
        idle, [&](const Idle& aIdle) { return now >= aIdle.mUntil; });
      return nullptr;
    }
    if (!last.mConnection->IsStale()) {
      return last.mConnection;
    }
  }
  return nullptr;
}

void
ConnectionPool::Give(const Endpoint& aEndpoint,
                     std::shared_ptr<ClientConnection> aConnection)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  const auto now = Clock::now();
  const auto until = now + IdleTimeOf(aConnection->Head());
  auto& idle = mIdle[aEndpoint];
  idle.push_back({ std::move(aConnection), now, until });
  ++mSize;
  if (idle.size() > mOptions.mMaxIdlePerEndpoint) {
    idle.pop_front();
    --mSize;
  }
}

void
ConnectionPool::Expire()
{
  const auto now = Clock::now();
  for (auto& idle : mIdle | std::views::values) {
    mSize -= std::erase_if(
      idle, [&](const Idle& aIdle) { return now >= aIdle.mUntil; });
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
ConnectionPool::Drop(const Endpoint& aEndpoint)
{
  const auto found = mIdle.find(aEndpoint);
  if (found != mIdle.end()) {
    mSize -= found->second.size();
    mIdle.erase(found);
  }
}

void
ConnectionPool::Clear()
{
  mIdle.clear();
  mSize = 0;
}

void
ConnectionPool::DropOldest()
{
  const auto oldest =
    std::ranges::min_element(mIdle, {}, [](const auto& aEntry) {
      const auto& idle = aEntry.second;
      return idle.empty() ? Clock::time_point::max() : idle.front().mSince;
    });
  if (oldest != mIdle.end() && !oldest->second.empty()) {
    oldest->second.pop_front();
    --mSize;
  }
}

ConnectionPool::Clock::duration
ConnectionPool::IdleTimeOf(const ResponseHead& aHead) const
{
  const auto keepAlive = FindHeader(aHead.mHeaders, "keep-alive").value_or("");
  const auto place = keepAlive.find(kTimeoutParameter);
  if (place == std::string_view::npos) {
    return mOptions.mMaxIdle;
  }
  const auto digits = keepAlive.substr(place + kTimeoutParameter.size());
  long seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const Clock::duration stated = std::chrono::seconds(seconds);
  return std::clamp<Clock::duration>(
    stated - mOptions.mIdleMargin, Clock::duration::zero(), mOptions.mMaxIdle);
}

} // namespace figslip::net
