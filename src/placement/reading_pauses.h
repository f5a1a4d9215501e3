/**
 * @file reading_pauses.h
 * What the runs of an engine suffer while it reads a prompt between their tokens: their events come
 * with longer pauses. How long depends on the engine's speed and on the pieces in which it reads,
 * which nobody tells, so it's learned from the runs beside which prompts were read. Pure.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook {

/** The longest pauses of late. */
class reading_pauses
{
public:
  /** Takes in a run that ended. @param aLongest pause between its events. */
  void Learn(duration aLongest, instant aNow);
  /** @return whether runs most likely keep to the longest pause that is in time, or whether nothing
   * is known of late, so that it may be tried. */
  bool Fit(duration aAllowed, instant aNow) const;

private:
  double mMean = 0.0;        ///< Of the longest pauses, in microseconds.
  double mDeviation = 0.0;   ///< Their mean distance from it, in microseconds.
  int mRunCount = 0;         ///< Runs taken in since there was nothing to go by.
  instant mLastLearned{ 0 }; ///< When the last was taken in.
};

} // namespace dunehook
