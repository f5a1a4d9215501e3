/**
 * @file learned_mean.h
 * Moving average that converges quickly on its first values. Pure.
 */
#pragma once

#include <algorithm>

namespace dunehook {

/** The plain mean of the first values, and an exponential moving average from then on. */
class learned_mean
{
public:
  /** Adds a value. */
  void Learn(double aValue)
  {
    ++mSeen;
    mMean += std::max(kMinWeight, 1.0 / mSeen) * (aValue - mMean);
  }
  /** @return whether any value was added. */
  bool Known() const { return mSeen > 0; }
  /** @return the mean, or @p aGuess if no value was added yet. */
  double Or(double aGuess) const { return Known() ? mMean : aGuess; }

private:
  /** Weight of the newest value from the tenth on. */
  static constexpr double kMinWeight = 0.1;

  double mMean = 0.0; ///< Moving average of the values.
  int mSeen = 0;      ///< Number of values added.
};

} // namespace dunehook
