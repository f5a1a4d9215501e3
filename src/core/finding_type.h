/**
 * @file finding_type.h
 * Findings: what is wrong with an input, with its place. Readers of settings and resources
 * collect all findings and report them together.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dunehook {

/** One fault of an input. */
struct finding
{
  std::string mPlace;        ///< Path of the key, e.g. "limits.body_bytes" or "spec.rate".
  std::string mMessage;      ///< What is wrong, in one sentence.
  std::uint32_t mLine = 0;   ///< Line from 1; 0 where the input has no lines.
  std::uint32_t mColumn = 0; ///< Column from 1; 0 where the input has no columns.

  auto operator<=>(const finding&) const = default;
};

using finding_list = std::vector<finding>;

} // namespace dunehook
