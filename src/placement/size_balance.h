/**
 * @file size_balance.h
 * Balances large and small requests when memory is short. A large request takes up to ten times the
 * memory and time of a small one, so at a peak large ones leave a memory reserve to others. Once
 * their service rate falls far behind the overall one, small requests leave the reserve instead.
 * Pure.
 */
#pragma once

#include <algorithm>

namespace dunehook {

/** Service rates of all and of large requests. All daemons learn from the same placements and
 * refusals, which they exchange by datagrams. */
class size_balance
{
public:
  /** Records a placement or a refusal. @param aSize see RequestSize(). */
  void Note(double aSize, bool aServed)
  {
    const double served = aServed ? 1.0 : 0.0;
    const bool large = IsLarge(aSize);
    mMeanSize += (mMeanSize > 0.0 ? kSizeWeight : 1.0) * (aSize - mMeanSize);
    mServedShare += kServedWeight * (served - mServedShare);
    if (large) {
      mLargeServedShare += kLargeServedWeight * (served - mLargeServedShare);
    }
  }

  /**
   * @param aSize see RequestSize().
   * @return factor of the memory reserve that the request leaves free: up to 1 for the largest
   * while they are served about as often as others; up to kSmallRequestReserveFactor for requests
   * below the mean once large ones fall behind.
   */
  double ReserveShareKept(double aSize) const
  {
    if (mMeanSize <= 0.0) {
      return 0.0;
    }
    const double excess = aSize / mMeanSize - 1.0;
    const double lean = std::clamp((Ratio() - kFairRatio) / kRatioSpan, -1.0, 1.0);
    const double place = std::clamp(excess / kLargeFactor, 0.0, 1.0);
    return lean >= 0.0 ? lean * place : -lean * (1.0 - place) * kSmallRequestReserveFactor;
  }

  /** @return service rate of large requests relative to that of all. */
  double Ratio() const { return mLargeServedShare / std::max(mServedShare, kMinServedShare); }

private:
  bool IsLarge(double aSize) const { return aSize >= 2.0 * mMeanSize && mMeanSize > 0.0; }

  /** A request that exceeds the mean by this many times the mean counts fully as large. */
  static constexpr double kLargeFactor = 2.0;
  /** Target for Ratio(); the users require 0.5. */
  static constexpr double kFairRatio = 0.72;
  /** Distance from kFairRatio at which the reserve is applied in full. */
  static constexpr double kRatioSpan = 0.12;
  /** Weights of the newest request: about a hundred of all and thirty large ones count. */
  static constexpr double kSizeWeight = 0.03;
  static constexpr double kServedWeight = 0.01;
  static constexpr double kLargeServedWeight = 0.03;
  /** Small requests leave this many times the reserve, as a large one needs its room at once. */
  static constexpr double kSmallRequestReserveFactor = 3.0;
  /** Lower bound of the divisor in Ratio(), which is meaningless when almost nothing is served. */
  static constexpr double kMinServedShare = 0.05;

  double mMeanSize = 0.0;         ///< Mean size of all requests; 0 until the first one.
  double mServedShare = 1.0;      ///< Moving average: share of all requests served.
  double mLargeServedShare = 1.0; ///< Moving average: share of large requests served.
};

} // namespace dunehook
