/**
 * @file completion_type.h
 * A completions call as the caller wrote it.
 */
#pragma once

#include "core/error_type.h"
#include "decide/decide_type.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace dunehook {

/** Bytes of prompt that count as one token, since no tokenizer is at hand. */
inline constexpr std::size_t kBytesPerToken = 4;
/** Bytes of one prefix block. */
inline constexpr std::size_t kPrefixBlockBytes = 1024;
/** Prefix blocks looked at. */
inline constexpr std::size_t kMaxPrefixBlocks = 64;
/** Tokens generated if the caller names no limit. */
inline constexpr std::uint32_t kDefaultMaxTokens = 64;

/** What the caller asks for. */
struct completion_request
{
  std::string mModel;                           ///< Name of the model.
  std::string mPrompt;                          ///< The prompt; never logged.
  std::uint32_t mMaxTokens = kDefaultMaxTokens; ///< Most tokens of the answer.
  bool mStream = false;                         ///< Whether to answer by events.

  auto operator<=>(const completion_request&) const = default;
};

/** @return the request, or eBadRequest with what is wrong in @p aDetail. */
result<completion_request>
ParseCompletion(std::string_view aBody, std::string& aDetail);

/** @return the number of tokens of a text. */
std::uint32_t
CountTokens(std::string_view aText);

/**
 * @return prefixes of a prompt, shortest first: those of 1, 2, 4, ... blocks of kPrefixBlockBytes,
 * and that of all whole blocks. Few, since each goes to the owner with the request.
 */
std::vector<prefix_block>
PrefixBlocks(std::string_view aPrompt);

} // namespace dunehook
