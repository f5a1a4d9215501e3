/**
 * @file token_bucket.h
 * A rate limit with a burst. Carries team quotas, the share of log appends and byte budgets.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace dunehook {

/** Tokens that refill at a steady rate up to a burst. */
class token_bucket
{
public:
  /**
   * @param aRate tokens a second.
   * @param aBurst the most tokens held; also the level at the start.
   */
  token_bucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mLevel(aBurst)
  {
  }

  /**
   * Takes tokens if there are enough.
   * @param aNow the current instant.
   * @param aTokens how many.
   * @return whether they were taken.
   */
  bool Take(instant aNow, double aTokens = 1.0)
  {
    Refill(aNow);
    if (mLevel < aTokens) {
      return false;
    }
    mLevel -= aTokens;
    return true;
  }

  /** @return how long until @p aTokens are there, zero if they are there now. */
  duration WaitFor(instant aNow, double aTokens = 1.0)
  {
    Refill(aNow);
    if (mLevel >= aTokens || mRate <= 0.0) {
      return duration{ 0 };
    }
    return FromSeconds((aTokens - mLevel) / mRate);
  }

  /** Changes the rate and burst, keeping the level where it fits. */
  void Reshape(double aRate, double aBurst)
  {
    mRate = aRate;
    mBurst = aBurst;
    mLevel = std::min(mLevel, aBurst);
  }

private:
  void Refill(instant aNow)
  {
    if (aNow > mLast) {
      mLevel = std::min(mBurst, mLevel + mRate * ToSeconds(aNow - mLast));
      mLast = aNow;
    }
  }

  double mRate;       ///< Tokens a second.
  double mBurst;      ///< Upper bound of mLevel.
  double mLevel;      ///< Tokens held; always within 0 and mBurst.
  instant mLast{ 0 }; ///< When the level was last brought up to date.
};

} // namespace dunehook
