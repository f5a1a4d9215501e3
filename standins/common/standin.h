/**
 * @file standin.h
 * What the stand-ins share: a JSON HTTP server on a port of the kernel's choice, announced on
 * standard output.
 */
#pragma once

#include "net/http_server.h"
#include "standins/common/token_text.h"

#include <nlohmann/json.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");

namespace dunehook {

/** Opens a listener and announces its address as a line of JSON. */
inline std::unique_ptr<http_listener>
OpenAndAnnounce(asio::io_context& aIo, const std::string& aListen, http_handler aHandler)
{
  const result<endpoint> at = ParseEndpoint(aListen);
  http_limits limits;
  limits.mBodyBytes = std::uint64_t{ 64 } << 20U;
  limits.mReadTimeout = std::chrono::hours(1);
  if (!at) {
    std::cerr << "bad address " << aListen << "\n";
    std::exit(2);
  }
  auto listener = http_listener::Open(aIo, at.value(), limits, std::move(aHandler));
  if (!listener) {
    std::cerr << "can't listen on " << aListen << "\n";
    std::exit(1);
  }
  std::cout << nlohmann::json{ { "listening", ToText(listener.value()->Address()) } }.dump()
            << std::endl;
  return std::move(listener.value());
}

/**
 * Runs a stand-in until its process is ended.
 * @tparam Program made with an io_context; its Serve() answers each call.
 */
template<typename Program>
int
RunStandin(int aCount, char** aValues)
{
  absl::ParseCommandLine(aCount, aValues);
  asio::io_context io(1);
  Program program(io);
  const auto listener =
    OpenAndAnnounce(io, absl::GetFlag(FLAGS_listen), [&program](exchange_ptr aExchange) {
      return program.Serve(std::move(aExchange));
    });
  io.run();
  return 0;
}

/** @return the request's body as a JSON object, empty if it isn't one. */
inline nlohmann::json
BodyOf(const http_exchange& aExchange)
{
  nlohmann::json body = nlohmann::json::parse(aExchange.Body(), nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

} // namespace dunehook
