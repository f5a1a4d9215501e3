/**
 * @file text_func.h
 * Joining of texts. Debian's Abseil has a string_view of its own, so std's is converted here.
 */
#pragma once

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <type_traits>

namespace dunehook {

/** @return @p aPart as Abseil's joining functions take it. */
template<typename T>
decltype(auto)
ForJoin(const T& aPart)
{
  if constexpr (std::is_same_v<T, std::string_view>) {
    return absl::string_view(aPart.data(), aPart.size());
  } else {
    return (aPart);
  }
}

/** @return the parts (texts and numbers) one after the other. */
template<typename... Parts>
std::string
Join(const Parts&... aParts)
{
  return absl::StrCat(ForJoin(aParts)...);
}

/** @return whether a text may stand in a head or a target: visible ASCII, and not empty. */
inline bool
IsVisibleAscii(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aSign) {
    return absl::ascii_isgraph(static_cast<unsigned char>(aSign));
  });
}

} // namespace dunehook
