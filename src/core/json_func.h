/**
 * @file json_func.h
 * Reading of JSON and CBOR that others wrote. A value may nest as deep as it's long, and what
 * copies, writes or compares it, or decodes CBOR, calls itself once a level: the stack would end
 * first.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace dunehook {

/** Deepest nesting that is read. */
inline constexpr std::size_t kMaxNesting = 32;

/** @return the value of a JSON text; discarded if it's none or nests too deep. */
nlohmann::json
ParseJson(std::string_view aText);

/** @return the value of CBOR bytes; discarded if they're none or nest too deep. */
nlohmann::json
ParseCbor(std::string_view aBytes);

/** @return a field of an object, or @p aElse if there's none or it's of another type. */
template<typename T>
T
ValueOr(const nlohmann::json& aObject, const char* aName, T aElse)
{
  try {
    return aObject.value(aName, aElse);
  } catch (const nlohmann::json::exception&) {
    return aElse;
  }
}

} // namespace dunehook
