#pragma once

// g++ 12 needs <utility> before the coroutine headers of Boost.Asio 1.74
#include <utility>

// Boost.Asio 1.74 looks for the coroutines of the standard in g++ only
#if defined(__clang__) && !defined(BOOST_ASIO_HAS_CO_AWAIT)
#define BOOST_ASIO_HAS_CO_AWAIT 1
#define BOOST_ASIO_HAS_STD_COROUTINE 1
#endif

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace figslip::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

template<typename Value>
using Awaitable = asio::awaitable<Value>;

} // namespace figslip::net
