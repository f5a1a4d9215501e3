/**
 * @file role_work.cpp
 * Moving averages of the work, and the split of the engines that suits it.
 */
#include "roles/role_work.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dunehook {

namespace {

/** Time constant of the averages: longer than a change of role takes, so that roles don't follow
 * bursts. */
constexpr double kTimeConstantSeconds = 12.0;
constexpr double kMicrosPerSecond = 1e6;
/** Time with work after which the averages are used. */
constexpr duration kMinObservation = std::chrono::seconds(5);
/** Share of an engine's memory that runs may fill; the rest is kept for answers longer than
 * expected. */
constexpr double kUsableMemoryShare = 0.8;
/** A change takes an engine out of service for some seconds. It is made if it reduces the
 * utilization of the busier role to less than this share of its current value. */
constexpr double kMaxUtilizationRatio = 0.8;

/** Number of engines that each role needs for the work. */
struct role_demand
{
  double mReading = 0.0;    ///< Prefill engines needed.
  double mGenerating = 0.0; ///< Decode engines needed.

  /** @return utilization of the busier role if @p aReading of @p aAll engines are prefill engines.
   */
  double MaxUtilization(std::int64_t aReading, std::int64_t aAll) const
  {
    if (aReading <= 0 || aReading >= aAll) {
      return std::numeric_limits<double>::max();
    }
    return std::max(mReading / static_cast<double>(aReading),
                    mGenerating / static_cast<double>(aAll - aReading));
  }
};

} // namespace

void
role_work::AddSample(double aReadTokens, double aHeldTokens, instant aNow)
{
  const double passed = ToSeconds(aNow - mLastSample);
  const bool isFirst = mLastSample == instant{ 0 };
  // A total falls when an engine is gone and its work is no longer counted.
  const double read = std::max(0.0, aReadTokens - mLastReadTokens);
  const double held = std::max(0.0, aHeldTokens - mLastHeldTokens);
  mLastReadTokens = aReadTokens;
  mLastHeldTokens = aHeldTokens;
  mLastSample = aNow;
  if (isFirst || passed <= 0.0) {
    return;
  }
  if (mFirstWork == instant{ 0 } && read > 0.0) {
    mFirstWork = aNow;
  }
  const double keep = std::exp(-passed / kTimeConstantSeconds);
  mReadRate = mReadRate * keep + (1.0 - keep) * read / passed;
  mHeldRate = mHeldRate * keep + (1.0 - keep) * held / passed;
}

bool
role_work::Known(instant aNow) const
{
  const bool longEnough = mFirstWork != instant{ 0 } && aNow - mFirstWork >= kMinObservation;
  return longEnough && mReadRate > 0.0 && mHeldRate > 0.0;
}

std::int64_t
role_work::ReadersForWork(const role_split& aNow,
                          const engine_speeds& aSpeeds,
                          double aMemory) const
{
  const role_demand need{ mReadRate / aSpeeds.mReadTokensPerMicro / kMicrosPerSecond,
                          mHeldRate * aSpeeds.mMicrosPerToken / (kUsableMemoryShare * aMemory) /
                            kMicrosPerSecond };
  const std::int64_t all = aNow.mReading + aNow.mGenerating;
  std::int64_t best = aNow.mReading;
  for (std::int64_t reading = 1; reading < all; ++reading) {
    best = need.MaxUtilization(reading, all) < need.MaxUtilization(best, all) ? reading : best;
  }
  const bool worthIt =
    need.MaxUtilization(best, all) < kMaxUtilizationRatio * need.MaxUtilization(aNow.mReading, all);
  return worthIt ? best : aNow.mReading;
}

} // namespace dunehook
