/**
 * @file token_text.h
 * Texts of tokens, known to engines' stand-ins and to callers that check them.
 */
#pragma once

#include "core/hash_func.h"

#include <array>
#include <string>
#include <string_view>

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

} // namespace dunehook
