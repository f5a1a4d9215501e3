/**
 * @file attempt_type.h
 * Identity of a daemon's process run and of each attempt it makes. Runners echo the attempt id;
 * an answer with another id is dropped.
 */
#pragma once

#include "core/error_type.h"
#include "core/strong_id.h"

#include <string>
#include <string_view>

namespace dunehook {

struct incarnation_tag;
/** One run of a daemon process: a random number drawn at its start, never used again. */
using incarnation_id = strong_id<incarnation_tag>;

/** One attempt of one daemon run to have a request served. */
struct attempt_id
{
  incarnation_id mIncarnation; ///< The daemon run that makes the attempt.
  std::uint64_t mCounter = 0;  ///< Counts the attempts of that run from 1.

  auto operator<=>(const attempt_id&) const = default;
};

/** @return a fresh random incarnation, never 0. */
incarnation_id
DrawIncarnation();

/** @return 16 hexadecimal digits. */
std::string
ToText(incarnation_id aIncarnation);

/** @return the incarnation in hexadecimal, a dash, the counter in decimal. */
std::string
ToText(const attempt_id& aAttempt);

/** @return the incarnation written as ToText() writes it, or eBadRequest. */
result<incarnation_id>
ParseIncarnation(std::string_view aText);

/** @return the attempt written as ToText() writes it, or eBadRequest. */
result<attempt_id>
ParseAttempt(std::string_view aText);

} // namespace dunehook

template<>
struct std::hash<dunehook::attempt_id>
{
  std::size_t operator()(const dunehook::attempt_id& aId) const noexcept
  {
    return aId.mIncarnation.mValue ^ (aId.mCounter * 0x9E3779B97F4A7C15ULL);
  }
};
