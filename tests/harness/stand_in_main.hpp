#pragma once

#include <figslip/http/http_server.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace figslip::test {

/// Serves routes until the process is told to stop; prints the port first.
inline int
ServeUntilStopped(int aPort, std::vector<http::HttpServer::Route> aRoutes)
{
  constexpr int kThreads = 128;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto server = http::HttpServer::Start(
    { .mPort = aPort, .mThreads = kThreads }, std::move(aRoutes));
  if (!server) {
    std::cerr << error::JoinMessages(server.assume_error()) << '\n';
    return 1;
  }
  std::cout << R"({"port":)" << server.assume_value()->Port() << "}" << '\n'
            << std::flush;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

} // namespace figslip::test
