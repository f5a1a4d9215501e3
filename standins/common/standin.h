/**
 * @file standin.h
 * What the stand-ins share: a JSON HTTP server on a port of the kernel's choice, announced on
 * standard output, and texts of tokens.
 */
#pragma once

#include "core/hash_func.h"
#include "net/http_server.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <string>

namespace dunehook {

/** Words that token texts are made of. */
inline constexpr std::array<std::string_view, 16> kWords{
  "ang",  "lake",  "tide",  "road", "basura", "paper", "turn",  "home",
  "oras", "level", "bukas", "read", "hall",   "water", "gabay", "light",
};

/**
 * @return the text of a token: a function of the prompt and the index alone, so that a crossed,
 * doubled or torn answer is seen by the caller.
 */
inline std::string
TokenText(std::uint64_t aPromptHash, std::uint32_t aIndex)
{
  const std::uint64_t mixed = HashBytes(std::to_string(aIndex), aPromptHash);
  return std::string(kWords[mixed % kWords.size()]) + "-" + std::to_string(mixed % 997) + " ";
}

/** @return the whole answer to a prompt. */
inline std::string
AnswerText(std::string_view aPrompt, std::uint32_t aTokens)
{
  const std::uint64_t hash = HashBytes(aPrompt);
  std::string text;
  for (std::uint32_t index = 0; index < aTokens; ++index) {
    text += TokenText(hash, index);
  }
  return text;
}

/** Opens a listener and announces its address as a line of JSON. */
inline std::unique_ptr<http_listener>
OpenAndAnnounce(asio::io_context& aIo, const std::string& aListen, http_handler aHandler)
{
  const result<endpoint> at = ParseEndpoint(aListen);
  http_limits limits;
  limits.mBodyBytes = std::uint64_t{ 64 } << 20U;
  limits.mReadTime = std::chrono::hours(1);
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

/** @return the request's body as a JSON object, empty if it isn't one. */
inline nlohmann::json
BodyOf(const http_exchange& aExchange)
{
  nlohmann::json body = nlohmann::json::parse(aExchange.Body(), nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

} // namespace dunehook
