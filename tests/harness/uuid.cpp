#include "harness/uuid.hpp"

#include <figslip/time/wall_clock.hpp>

#include <cstdint>
#include <cstdio>
#include <random>

namespace figslip::test {

std::string
NewUuidV7()
{
  thread_local std::mt19937_64 sRandom{ std::random_device{}() };
  const auto millis = static_cast<std::uint64_t>(ToUnixMillis(ReadClock()));
  const auto first = sRandom();
  const auto second = sRandom();
  char text[64];
  std::snprintf(text,
                sizeof(text),
                "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                static_cast<unsigned long long>(millis >> 16U),
                static_cast<unsigned long long>(millis & 0xFFFFU),
                static_cast<unsigned long long>(first & 0xFFFU),
                static_cast<unsigned long long>((first >> 12U) & 0xFFFU),
                static_cast<unsigned long long>(second & 0xFFFFFFFFFFFFU));
  return text;
}

} // namespace figslip::test
