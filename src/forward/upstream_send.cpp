/**
 * @file upstream_send.cpp
 * Header filtering, request fingerprints and reading of response bodies.
 */
#include "forward/upstream_send.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace dunehook {

bool
IsHopByHopHeader(std::string_view aName)
{
  static constexpr std::array<std::string_view, 10> kNames{ "Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Expect" };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aHop) {
    return beast::iequals({ aHop.data(), aHop.size() }, { aName.data(), aName.size() });
  });
}

std::vector<std::string>
ConnectionHeaderTokens(const http::fields& aHead)
{
  std::vector<std::string> names;
  const auto range = aHead.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    const auto value = field->value();
    for (const auto part : absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
      names.push_back(absl::AsciiStrToLower(absl::StripAsciiWhitespace(part)));
    }
  }
  return names;
}

http::fields
FieldsForCaller(const http::fields& aHead)
{
  const std::vector<std::string> listed = ConnectionHeaderTokens(aHead);
  http::fields out;
  for (const auto& field : aHead) {
    const std::string_view name{ field.name_string().data(), field.name_string().size() };
    const bool isListed =
      std::any_of(listed.begin(), listed.end(), [&](const std::string& aListed) {
        return beast::iequals(aListed, field.name_string());
      });
    if (!IsHopByHopHeader(name) && !isListed && field.name() != http::field::content_length) {
      out.insert(field.name_string(), field.value());
    }
  }
  return out;
}

request_fingerprint
FingerprintOf(const caller_exchange& aExchange, const request_facts& aFacts)
{
  const auto& request = aExchange.Request();
  const auto method = request.method_string();
  const auto host = request[http::field::host];
  request_identity identity;
  identity.mMethod = { method.data(), method.size() };
  identity.mHost = { host.data(), host.size() };
  identity.mTarget = aExchange.Target();
  identity.mPromptKey = aFacts.mPromptKey;
  identity.mBody = *aExchange.Body();
  return FingerprintOf(identity);
}

asio::awaitable<result<void>>
ReadBody(forward_state& aState,
         upstream_ptr aConnection,
         large_body aLarge,
         std::string& aOut,
         std::size_t aMaxBytes,
         instant aUntil)
{
  const instant until = std::max(aUntil, aState.Now() + kBodyGrace);
  held_answer held(aState.mHeldAnswers, [aConnection] { aConnection->Abort(); });
  bool more = true;
  while (more) {
    const bool crowded =
      aLarge == large_body::ePassedOn && aOut.size() > aState.mHeldAnswers.MostOfPassable();
    if (crowded || aOut.size() > aMaxBytes) {
      co_return make_error_code(errc::eBodyTooLarge);
    }
    const result<bool> read = co_await aConnection->ReadSome(aOut, until);
    more = read && read.value();
    held.Set(more ? aOut.capacity() : 0, aState.Now());
    const bool whole = read && !more;
    if (!whole && held.IsGivenUp()) {
      co_return make_error_code(errc::eWrongAnswer);
    }
    if (!read) {
      co_return read.error();
    }
  }
  co_return boost::outcome_v2::success();
}

} // namespace dunehook
