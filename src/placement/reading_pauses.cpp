/**
 * @file reading_pauses.cpp
 * Mean and deviation of the pauses.
 */
#include "placement/reading_pauses.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

/** Weight of the newest run. */
constexpr double kWeight = 0.1;
/** Runs that are needed before their pauses count: one may have paused for another reason. */
constexpr int kLeastSeen = 3;
/** Part of the longest pause in time that runs may come to: the rest is for the way to the caller.
 */
constexpr double kPausePart = 0.85;
/** A run that paused for so many times the mean was held up by something else, and counts for less.
 */
constexpr double kMostTimes = 1.5;
/** Without reads nothing is learned; after this they're tried again. */
constexpr duration kKeep = std::chrono::seconds(20);

} // namespace

void
reading_pauses::Learn(duration aLongest, instant aNow)
{
  const bool isFirst = mSeen == 0 || aNow - mLearned >= kKeep;
  mSeen = isFirst ? 1 : mSeen + 1;
  mLearned = aNow;
  const auto told = static_cast<double>(aLongest.count());
  if (isFirst) {
    mMean = told;
    mDeviation = 0.0;
    return;
  }
  const double pause = std::min(told, kMostTimes * mMean);
  const double weight = std::max(kWeight, 1.0 / mSeen);
  mDeviation += weight * (std::abs(pause - mMean) - mDeviation);
  mMean += weight * (pause - mMean);
}

bool
reading_pauses::Fit(duration aAllowed, instant aNow) const
{
  if (mSeen < kLeastSeen || aNow - mLearned >= kKeep) {
    return true;
  }
  return mMean + mDeviation < kPausePart * static_cast<double>(aAllowed.count());
}

} // namespace dunehook
