/**
 * @file reading_pauses.cpp
 * Moving mean and deviation of the pauses.
 */
#include "placement/reading_pauses.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

/** Weight of the newest run, from the tenth on. */
constexpr double kWeight = 0.1;
/** Number of runs needed before the mean is used: a single one may have paused for another reason.
 */
constexpr int kMinRuns = 3;
/** Share of the allowed pause that runs may reach at the engine; the rest is for the way to the
 * caller.
 */
constexpr double kMaxPauseShare = 0.85;
/** Longer pauses, as a multiple of the mean, are cut to this: something other than a read caused
 * them.
 */
constexpr double kMaxPauseFactor = 1.5;
/** Measurements expire after this, so that reads are tried again: without reads nothing is learned.
 */
constexpr duration kRetention = std::chrono::seconds(20);

} // namespace

void
reading_pauses::Learn(duration aLongest, instant aNow)
{
  const bool isFirst = mRunCount == 0 || aNow - mLastLearned >= kRetention;
  mRunCount = isFirst ? 1 : mRunCount + 1;
  mLastLearned = aNow;
  const auto reported = static_cast<double>(aLongest.count());
  if (isFirst) {
    mMean = reported;
    mDeviation = 0.0;
    return;
  }
  const double pause = std::min(reported, kMaxPauseFactor * mMean);
  const double weight = std::max(kWeight, 1.0 / mRunCount);
  mDeviation += weight * (std::abs(pause - mMean) - mDeviation);
  mMean += weight * (pause - mMean);
}

bool
reading_pauses::Fit(duration aAllowed, instant aNow) const
{
  if (mRunCount < kMinRuns || aNow - mLastLearned >= kRetention) {
    return true;
  }
  return mMean + mDeviation < kMaxPauseShare * static_cast<double>(aAllowed.count());
}

} // namespace dunehook
