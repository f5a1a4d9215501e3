/**
 * @file event_rate.h
 * How often something happened lately. Pure.
 */
#pragma once

#include "core/clock_type.h"

#include <cmath>

namespace dunehook {

/** Events a second, of which older ones count less. */
class event_rate
{
public:
  void Note(instant aNow)
  {
    mRate = PerSecond(aNow) + 1.0 / ToSeconds(kTimeConstant);
    mLastEvent = aNow;
  }
  double PerSecond(instant aNow) const
  {
    return mRate * std::exp(-ToSeconds(aNow - mLastEvent) / ToSeconds(kTimeConstant));
  }

private:
  /** An event's weight falls to 37% in this time: some tens of events on a busy service. */
  static constexpr duration kTimeConstant = std::chrono::seconds(1);

  double mRate = 0.0;      ///< At mLastEvent.
  instant mLastEvent{ 0 }; ///< The last event.
};

} // namespace dunehook
