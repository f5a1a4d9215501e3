/**
 * @file completion_request.cpp
 * Parses completions calls and hashes the prefixes of their prompts.
 */
#include "callers/completion_type.h"

#include "core/hash_func.h"
#include "core/json_func.h"

#include <algorithm>
#include <bit>

namespace dunehook {

result<completion_request>
ParseCompletion(std::string_view aBody, std::string& aDetail)
{
  using json = nlohmann::json;
  constexpr std::uint32_t kMaxTokensLimit = 1'000'000;
  const json body = ParseJson(aBody);
  if (!body.is_object()) {
    aDetail = "the body isn't a JSON object";
    return make_error_code(errc::eBadRequest);
  }
  completion_request request;
  try {
    request.mModel = body.at("model").get<std::string>();
    request.mPrompt = body.at("prompt").get<std::string>();
    request.mMaxTokens = body.value("max_tokens", kDefaultMaxTokens);
    request.mStream = body.value("stream", false);
  } catch (const json::exception&) {
    aDetail = "model and prompt must be texts, max_tokens a number, stream true or false";
    return make_error_code(errc::eBadRequest);
  }
  if (request.mPrompt.empty() || request.mMaxTokens == 0 || request.mMaxTokens > kMaxTokensLimit) {
    aDetail = "the prompt must not be empty and max_tokens must be from 1 to 1000000";
    return make_error_code(errc::eBadRequest);
  }
  return request;
}

std::uint32_t
CountTokens(std::string_view aText)
{
  return static_cast<std::uint32_t>((aText.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::vector<prefix_block>
PrefixBlocks(std::string_view aPrompt)
{
  std::vector<prefix_block> blocks;
  std::uint64_t hash = 0;
  const std::size_t count = std::min(aPrompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  for (std::size_t index = 0; index < count; ++index) {
    hash = HashBytes(aPrompt.substr(index * kPrefixBlockBytes, kPrefixBlockBytes), hash);
    const std::size_t number = index + 1;
    const bool isIncluded = std::has_single_bit(number) || number == count;
    if (isIncluded) {
      const auto tokens = static_cast<std::uint32_t>(number * kPrefixBlockBytes / kBytesPerToken);
      blocks.push_back({ hash, tokens });
    }
  }
  return blocks;
}

} // namespace dunehook
