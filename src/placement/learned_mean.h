/**
 * @file learned_mean.h
 * A mean of what was seen of late, that follows the first values quickly. Pure.
 */
#pragma once

#include <algorithm>

namespace dunehook {

/** The mean. */
class learned_mean
{
public:
  /** Takes in a value. */
  void Learn(double aValue)
  {
    ++mSeen;
    mMean += std::max(kMinWeight, 1.0 / mSeen) * (aValue - mMean);
  }
  /** @return whether a value was seen. */
  bool Known() const { return mSeen > 0; }
  /** @return the mean, or @p aGuess if nothing was seen. */
  double Or(double aGuess) const { return Known() ? mMean : aGuess; }

private:
  /** Weight of the newest value once some were seen. */
  static constexpr double kMinWeight = 0.1;

  double mMean = 0.0; ///< Of the values seen.
  int mSeen = 0;      ///< Values seen.
};

} // namespace dunehook
