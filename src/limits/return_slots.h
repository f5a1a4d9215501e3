/**
 * @file return_slots.h
 * When callers that were refused for a runner's limit may return: one after the other, at the rate
 * at which this daemon expects permits, so that they don't all come at once and in vain. Pure.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace dunehook {

/** Callers are told to return within this time: those beyond are many more than the permits. */
inline constexpr duration kMaxReturnAhead = std::chrono::seconds(2);

/** Return times of refused callers. */
class return_slots
{
public:
  /** @param aPerSecond permits a second that are expected. @return time until the next slot. */
  duration Next(double aPerSecond, instant aNow)
  {
    const duration step = FromSeconds(1.0 / std::max(aPerSecond, kMinReturnRate));
    mNext = std::min(std::max(mNext, aNow) + step, aNow + kMaxReturnAhead);
    return mNext - aNow;
  }

private:
  /** Lowest rate that is counted with, per second. */
  static constexpr double kMinReturnRate = 0.1;

  instant mNext{ 0 }; ///< The last slot given.
};

} // namespace dunehook
