/**
 * @file placement_func.h
 * What the choice of engines and the table of runs both work out.
 */
#pragma once

#include "placement/placement_type.h"

namespace dunehook {

inline double
Micros(duration aSpan)
{
  return static_cast<double>(aSpan.count());
}

/** @return what a run takes of memory over its time, in tokens squared. */
inline double
RequestSize(std::uint32_t aPrompt, std::uint32_t aAnswer)
{
  const double answer = aAnswer;
  return answer * (aPrompt + answer / 2.0);
}

/** @return what a run holds at its end, if its answer is as long as guessed. */
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
