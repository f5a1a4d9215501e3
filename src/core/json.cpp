/**
 * @file json.cpp
 * Parsers of JSON and CBOR with a limit on the nesting.
 */
#include "core/json_func.h"

namespace dunehook {

namespace {

using nlohmann::json;

/** Builds a value while it's parsed, and stops where it nests too deep. The parser calls the base's
 * functions for all else. */
class nesting_limiter : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
  using base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit nesting_limiter(json& aRoot)
    : base(aRoot, false)
  {
  }

  // The parser asks for these names.
  bool start_object(std::size_t aCount) // NOLINT(readability-identifier-naming)
  {
    return ++mDepth <= kMaxNesting && base::start_object(aCount);
  }
  bool end_object() // NOLINT(readability-identifier-naming)
  {
    --mDepth;
    return base::end_object();
  }
  bool start_array(std::size_t aCount) // NOLINT(readability-identifier-naming)
  {
    return ++mDepth <= kMaxNesting && base::start_array(aCount);
  }
  bool end_array() // NOLINT(readability-identifier-naming)
  {
    --mDepth;
    return base::end_array();
  }

private:
  std::size_t mDepth = 0; ///< Objects and arrays that are open.
};

json
Parse(std::string_view aBytes, json::input_format_t aFormat)
{
  json value;
  nesting_limiter limiter(value);
  try {
    if (json::sax_parse(aBytes.begin(), aBytes.end(), &limiter, aFormat)) {
      return value;
    }
  } catch (const json::exception&) { // A container that states an impossible size.
  }
  return json(json::value_t::discarded);
}

} // namespace

json
ParseJson(std::string_view aText)
{
  return Parse(aText, json::input_format_t::json);
}

json
ParseCbor(std::string_view aBytes)
{
  return Parse(aBytes, json::input_format_t::cbor);
}

} // namespace dunehook
