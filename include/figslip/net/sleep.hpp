#pragma once

#include <figslip/net/asio.hpp>

#include <chrono>

namespace figslip::net {

/// @brief Lets a coroutine wait for a time.
[[nodiscard]] Awaitable<void>
Sleep(std::chrono::microseconds aTime);

} // namespace figslip::net
