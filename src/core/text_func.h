/**
 * @file text_func.h
 * Joining of texts. Debian's Abseil has a string_view of its own, so std's is converted here.
 */
#pragma once

#include <absl/strings/str_cat.h>

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

} // namespace dunehook
