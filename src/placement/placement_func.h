/**
 * @file placement_func.h
 * Helpers shared by the choice of engines and the table of runs.
 */
#pragma once

#include "placement/placement_type.h"

namespace dunehook {

inline double
Micros(duration aSpan)
{
  return static_cast<double>(aSpan.count());
}

/** @return a run's memory use integrated over its answer: tokens held times tokens generated. */
inline double
RequestSize(std::uint32_t aPrompt, std::uint32_t aAnswer)
{
  const double answer = aAnswer;
  return answer * (aPrompt + answer / 2.0);
}

/** @return tokens that a run holds at its end if its answer has the estimated length. */
inline std::uint64_t
CommittedTokens(const run_record& aRun)
{
  return std::uint64_t{ aRun.mPromptTokens } + aRun.mAnswerTokens;
}

inline duration
FromMicros(double aMicros)
{
  return duration(static_cast<std::int64_t>(aMicros));
}

} // namespace dunehook
