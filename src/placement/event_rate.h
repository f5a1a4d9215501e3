/**
 * @file event_rate.h
 * Exponentially decaying estimate of an event rate. Pure: no I/O, no clock.
 */
#pragma once

#include "core/clock_type.h"

#include <cmath>

namespace dunehook {

/** Events per second; the weight of an event decays with its age. */
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
  /** An event's weight falls to 37% in this time, which spans some tens of events on a busy
   * service. */
  static constexpr duration kTimeConstant = std::chrono::seconds(1);

  double mRate = 0.0;      ///< Events per second at mLastEvent.
  instant mLastEvent{ 0 }; ///< Time of the last event.
};

} // namespace dunehook
