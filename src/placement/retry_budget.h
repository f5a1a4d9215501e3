/**
 * @file retry_budget.h
 * Bounds the sends to a second runner. Daemons don't ask each other: each keeps to the share of its
 * own requests and to its part of the fixed allowance, so that all together keep to the whole.
 */
#pragma once

#include "core/token_bucket.h"

namespace dunehook {

/** What all daemons together may repeat. */
struct retry_limits
{
  double mShare = 0.2;                         ///< Repeats for each request.
  duration mWindow = std::chrono::seconds(10); ///< Window that the limit counts over.
  double mAllowance = 50.0;                    ///< Repeats in a window beside the share.
};

/** One daemon's part of the repeats of a service. */
class retry_budget
{
public:
  /**
   * @param aLimits limits of all daemons together.
   * @param aDaemons daemons that share them; at least 1.
   */
  retry_budget(const retry_limits& aLimits, double aDaemons)
    : mLimits(aLimits)
    , mAllowanceBucket(RateFor(aDaemons), BurstFor(aDaemons))
  {
  }

  /** Sets how many daemons share the limits. */
  void SetDaemons(double aDaemons)
  {
    mAllowanceBucket.Reshape(RateFor(aDaemons), BurstFor(aDaemons));
  }

  /** Notes a request's first send. */
  void NoteRequest()
  {
    mEarnedRepeats = std::min(mEarnedRepeats + kUsedLimitShare * mLimits.mShare, kMaxEarnedRepeats);
  }

  /**
   * @param aSends sends to be made beyond those that the request may make anyway.
   * @return whether they are allowed; they count as made.
   */
  bool Take(instant aNow, double aSends = 1.0)
  {
    if (mEarnedRepeats >= aSends) {
      mEarnedRepeats -= aSends;
      return true;
    }
    return mAllowanceBucket.Take(aNow, aSends);
  }

private:
  /** Part of the limits used, since windows of daemons and service don't agree. */
  static constexpr double kUsedLimitShare = 0.7;
  /** Most repeats saved up from the share; more would be spent after the window that earned them.
   */
  static constexpr double kMaxEarnedRepeats = 10.0;

  /** @return a daemon's part of half the allowance, spread over the window. */
  double RateFor(double aDaemons) const { return BurstFor(aDaemons) / ToSeconds(mLimits.mWindow); }
  /** @return a daemon's part of half the allowance, to be taken at once. */
  double BurstFor(double aDaemons) const
  {
    return kUsedLimitShare * mLimits.mAllowance / std::max(1.0, aDaemons) / 2.0;
  }

  retry_limits mLimits;          ///< Of all daemons together.
  double mEarnedRepeats = 0.0;   ///< Repeats saved up; within 0 and kMaxEarnedRepeats.
  token_bucket mAllowanceBucket; ///< Part of the allowance: half at once, half over the window.
};

} // namespace dunehook
