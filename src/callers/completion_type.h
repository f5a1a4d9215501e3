/**
 * @file completion_type.h
 * The parsed request of a completions call.
 */
#pragma once

#include "core/error_type.h"
#include "decide/decide_type.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace dunehook {

/** Bytes of text that count as one token: an estimate, since the router has no tokenizer. */
inline constexpr std::size_t kBytesPerToken = 4;
/** Size of a prefix block in bytes. */
inline constexpr std::size_t kPrefixBlockBytes = 1024;
/** Number of blocks at the start of a prompt that are hashed; later ones are ignored. */
inline constexpr std::size_t kMaxPrefixBlocks = 64;
/** Value of max_tokens if the caller gives none. */
inline constexpr std::uint32_t kDefaultMaxTokens = 64;

/** The fields of a completions call that the router reads. */
struct completion_request
{
  std::string mModel;                           ///< Name of the model.
  std::string mPrompt;                          ///< The prompt; never logged.
  std::uint32_t mMaxTokens = kDefaultMaxTokens; ///< Maximum number of tokens to generate.
  bool mStream = false;                         ///< Whether to answer with server-sent events.

  auto operator<=>(const completion_request&) const = default;
};

/** @return the request, or eBadRequest with the reason in @p aDetail. */
result<completion_request>
ParseCompletion(std::string_view aBody, std::string& aDetail);

/** @return the estimated number of tokens of a text. */
std::uint32_t
CountTokens(std::string_view aText);

/**
 * @return hashes of prefixes of a prompt, shortest first: those of 1, 2, 4, ... blocks of
 * kPrefixBlockBytes, and that of all whole blocks. There are few of them, since each is sent to the
 * cell's owner with the request.
 */
std::vector<prefix_block>
PrefixBlocks(std::string_view aPrompt);

} // namespace dunehook
