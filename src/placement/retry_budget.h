/**
 * @file retry_budget.h
 * Limits the sends to a second runner. Daemons don't coordinate: each keeps to the share of its own
 * requests and to its part of the fixed allowance, so that all together keep the limit.
 */
#pragma once

#include "core/token_bucket.h"

namespace dunehook {

/** Limits on retries for all daemons together. */
struct retry_limits
{
  double mShare = 0.2;                         ///< Retries allowed per request.
  duration mWindow = std::chrono::seconds(10); ///< Time over which the limit applies.
  double mAllowance = 50.0; ///< Retries allowed per window in addition to the share.
};

/** One daemon's budget of retries to a service. */
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

  /** Records a request's first send, which earns a share of a retry. */
  void NoteRequest()
  {
    mEarnedRetries = std::min(mEarnedRetries + kUsedLimitShare * mLimits.mShare, kMaxEarnedRetries);
  }

  /**
   * @param aSends sends beyond those that the request may make without budget.
   * @return whether they are allowed; if so, they are taken off the budget.
   */
  bool Take(instant aNow, double aSends = 1.0)
  {
    if (mEarnedRetries >= aSends) {
      mEarnedRetries -= aSends;
      return true;
    }
    return mAllowanceBucket.Take(aNow, aSends);
  }

private:
  /** Share of the limits that is used: the windows of the daemons and of the service aren't
   * aligned. */
  static constexpr double kUsedLimitShare = 0.7;
  /** Limit of the retries saved up from the share; more would be spent after the window in which
   * they were earned.
   */
  static constexpr double kMaxEarnedRetries = 10.0;

  /** @return refill per second: a daemon's part of half the allowance, over the window. */
  double RateFor(double aDaemons) const { return BurstFor(aDaemons) / ToSeconds(mLimits.mWindow); }
  /** @return burst: a daemon's part of half the allowance, available at once. */
  double BurstFor(double aDaemons) const
  {
    return kUsedLimitShare * mLimits.mAllowance / std::max(1.0, aDaemons) / 2.0;
  }

  retry_limits mLimits;        ///< Limits of all daemons together.
  double mEarnedRetries = 0.0; ///< Retries saved up; within 0 and kMaxEarnedRetries.
  /** This daemon's part of the allowance: half at once, half over the window. */
  token_bucket mAllowanceBucket;
};

} // namespace dunehook
