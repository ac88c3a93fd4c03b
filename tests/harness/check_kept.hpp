#pragma once

#include "harness/history_checker.hpp"

#include <doctest/doctest.h>

namespace figslip::test {

/// Fails the running test unless no promise was broken.
inline void
CheckKept(const BrokenPromises& aBreaches)
{
  INFO(PrintBreaches(aBreaches));
  CHECK(aBreaches.empty());
}

/// Fails the running test unless a history keeps every promise.
inline void
CheckKept(const History& aHistory)
{
  CheckKept(CheckHistory(aHistory));
}

} // namespace figslip::test
