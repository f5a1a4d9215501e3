/**
 * @file attempt.cpp
 * Drawing, printing and reading of incarnations and attempt ids.
 */
#include "core/attempt_type.h"

#include <absl/strings/str_format.h>

#include <charconv>
#include <random>

namespace dunehook {

namespace {

constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;

result<std::uint64_t>
ParseNumber(std::string_view aText, int aBase)
{
  std::uint64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, aBase);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return make_error_code(errc::eBadRequest);
  }
  return value;
}

} // namespace

incarnation_id
DrawIncarnation()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw(1);
  return { draw(device) };
}

std::string
ToText(incarnation_id aIncarnation)
{
  return absl::StrFormat("%016x", aIncarnation.mValue);
}

std::string
ToText(const attempt_id& aAttempt)
{
  return absl::StrFormat("%016x-%d", aAttempt.mIncarnation.mValue, aAttempt.mCounter);
}

result<incarnation_id>
ParseIncarnation(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const std::uint64_t value, ParseNumber(aText, kHexBase));
  return incarnation_id{ value };
}

result<attempt_id>
ParseAttempt(std::string_view aText)
{
  const std::size_t dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return make_error_code(errc::eBadRequest);
  }
  BOOST_OUTCOME_TRY(const incarnation_id incarnation, ParseIncarnation(aText.substr(0, dash)));
  BOOST_OUTCOME_TRY(const std::uint64_t counter, ParseNumber(aText.substr(dash + 1), kDecimalBase));
  return attempt_id{ incarnation, counter };
}

} // namespace dunehook
