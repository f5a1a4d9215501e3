/**
 * @file reading_pauses.h
 * Pauses between events of the runs on a decode engine that also reads prompts. While it reads a
 * prompt between their tokens, their events are delayed. By how much depends on the engine's speed
 * and on the chunk size of its reads, which it doesn't report, so it's learned from the runs during
 * which a prompt was read. Pure.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook {

/** Mean and deviation of the runs' longest pauses between events. */
class reading_pauses
{
public:
  /** Adds a finished run. @param aLongest longest pause between its events. */
  void Learn(duration aLongest, instant aNow);
  /** @return whether runs most likely stay within the allowed pause while their engine reads a
   * prompt; true also without recent measurements, so that reads are tried again. */
  bool Fit(duration aAllowed, instant aNow) const;

private:
  double mMean = 0.0;        ///< Mean of the longest pauses, in microseconds.
  double mDeviation = 0.0;   ///< Mean absolute deviation of the longest pauses, in microseconds.
  int mRunCount = 0;         ///< Runs added since the measurements last expired.
  instant mLastLearned{ 0 }; ///< Time of the last added run.
};

} // namespace dunehook
