/**
 * @file size_balance.h
 * Keeps large and small requests in balance where memory is short. Large ones take up to ten times
 * the memory and time of a small one, so at a peak they leave room to others; but if far fewer of
 * them are served than of all, it's the small ones that leave room. Pure.
 */
#pragma once

#include <algorithm>

namespace dunehook {

/** The balance. All daemons learn from the same placements and refusals, told by datagrams. */
class size_balance
{
public:
  /** Notes a placement, or a refusal. @param aSize what the request takes of memory and time. */
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
   * @param aSize what a request takes of memory and time.
   * @return which part of the reserve it leaves free: 1 for the largest while they're served about
   *   as often as others; 1 for requests below the mean where the large ones fall behind.
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

  /** @return how often large requests are served, against all. */
  double Ratio() const { return mLargeServedShare / std::max(mServedShare, kMinServedShare); }

private:
  bool IsLarge(double aSize) const { return aSize >= 2.0 * mMeanSize && mMeanSize > 0.0; }

  /** A request of this many times the mean size beyond the mean counts as large in full. */
  static constexpr double kLargeFactor = 2.0;
  /** Large requests are to be served at least this often against all; the users ask for a half. */
  static constexpr double kFairRatio = 0.72;
  /** The lean is full this far from the fair ratio. */
  static constexpr double kRatioSpan = 0.12;
  /** Weights of the newest request: some hundred of all, some thirty large ones count. */
  static constexpr double kSizeWeight = 0.03;
  static constexpr double kServedWeight = 0.01;
  static constexpr double kLargeServedWeight = 0.03;
  /** Small requests leave this many times the reserve: a large one needs room all at once. */
  static constexpr double kSmallRequestReserveFactor = 3.0;
  /** Below this share served the ratio says little. */
  static constexpr double kMinServedShare = 0.05;

  double mMeanSize = 0.0;         ///< Of all requests; 0 until one was seen.
  double mServedShare = 1.0;      ///< Share of all that were served, of late.
  double mLargeServedShare = 1.0; ///< Share of the large ones that were served, of late.
};

} // namespace dunehook
