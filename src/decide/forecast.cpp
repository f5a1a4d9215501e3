/**
 * @file forecast.cpp
 * Forecasts of waits, transfer times and free slots from a cell's tables.
 */
#include "decide/forecast_func.h"

#include <algorithm>

namespace dunehook {

namespace {

/** Assumed time of a decode step, as a fraction of the between-tokens target; used until measured.
 */
constexpr double kAssumedStepFraction = 0.7;

/** Work that is served before a new request of a given rank. */
struct work_ahead
{
  double mPrefillSeconds = 0.0; ///< Prefill time of the prompts at engines and in the queue.
  double mSlotDemand = 0.0;     ///< Requests that need a decode slot before it.
};

double
PrefillRate(const cell_state& aCell)
{
  double rate = 0.0;
  for (const auto& [id, engine] : aCell.mEngines) {
    if (engine.mInfo.mRole == runner_role::ePrefill && engine.TakesWork(aCell.mNow)) {
      rate += engine.mInfo.mTokensPerSecond;
    }
  }
  return rate;
}

work_ahead
SumWorkAhead(const cell_state& aCell, std::int64_t aRank, double aPrefillRate)
{
  work_ahead ahead;
  for (const auto& [attempt, request] : aCell.mRequests) {
    if (request.EffectiveRank() > aRank) {
      continue;
    }
    const bool needsPrefill = request.mStage <= request_stage::ePrefilling;
    const bool needsSlot = request.mStage <= request_stage::eReady;
    if (needsPrefill) {
      ahead.mPrefillSeconds += request.mUncachedTokens / aPrefillRate;
    }
    if (needsSlot) {
      ahead.mSlotDemand += 1.0;
    }
  }
  return ahead;
}

} // namespace

double
ServiceSeconds(const cell_state& aCell, const request_arrived& aRequest)
{
  const auto stats = aCell.mStats.find(aRequest.mClass);
  if (stats != aCell.mStats.end() && stats->second.mServiceSeconds > 0.0) {
    return stats->second.mServiceSeconds;
  }
  const std::uint32_t tokens = aRequest.mMaxTokens == 0
                                 ? aRequest.mTargets.mMeanTokens
                                 : std::min(aRequest.mMaxTokens, aRequest.mTargets.mMeanTokens);
  return tokens * kAssumedStepFraction * aRequest.mTargets.mBetweenTokensMs / 1000.0;
}

slot_supply
ForecastSlots(const cell_state& aCell)
{
  slot_supply supply;
  std::uint32_t foreign = 0;
  for (const auto& [id, engine] : aCell.mEngines) {
    if (engine.mInfo.mRole == runner_role::eDecode && engine.TakesWork(aCell.mNow)) {
      supply.mFree += engine.FreeSlots();
      supply.mTotal += engine.mInfo.mSlots;
      foreign += engine.mOtherSlots;
    }
  }
  std::uint32_t known = 0;
  for (const auto& [attempt, request] : aCell.mRequests) {
    if (request.mStage == request_stage::eDecoding) {
      supply.mReleasesPerSecond += 1.0 / ServiceSeconds(aCell, request.mRequest);
      ++known;
    }
  }
  if (known > 0) {
    supply.mReleasesPerSecond *= 1.0 + static_cast<double>(foreign) / known;
  }
  return supply;
}

duration
PrefillBacklog(const cell_state& aCell, const engine_entry& aEngine, std::int64_t aRank)
{
  duration backlog{ 0 };
  for (const attempt_id& attempt : aEngine.mActiveAttempts) {
    const auto found = aCell.mRequests.find(attempt);
    if (found == aCell.mRequests.end() || found->second.mStage != request_stage::ePrefilling ||
        found->second.EffectiveRank() > aRank) {
      continue;
    }
    const duration work =
      FromSeconds(found->second.mUncachedTokens / aEngine.mInfo.mTokensPerSecond);
    const duration left = std::max(duration{ 0 }, found->second.mPrefillEnd - aCell.mNow);
    backlog += std::min(work, left);
  }
  return backlog;
}

duration
PrefillTime(const cell_state& aCell, const engine_entry& aEngine, const request_arrived& aRequest)
{
  std::uint32_t cached = 0;
  if (aCell.mSettings.mSwitches.mPrefixAffinity) {
    cached = aCell.mPrefixes.ExpectedTokens(aEngine.mInfo.mId, aRequest.mBlocks, aCell.mNow);
  }
  const std::uint32_t tokens = aRequest.mPromptTokens - std::min(cached, aRequest.mPromptTokens);
  return FromSeconds(tokens / aEngine.mInfo.mTokensPerSecond);
}

double
LinkRate(const cell_state& aCell)
{
  const auto declared = static_cast<double>(aCell.mSettings.mLink.mBytesPerSecond);
  return aCell.mLinkRate == 0.0 ? declared : std::min(declared, aCell.mLinkRate);
}

duration
TransferTime(const cell_state& aCell, const request_arrived& aRequest)
{
  const double bytes = static_cast<double>(aRequest.mPromptTokens) *
                       static_cast<double>(aCell.mSettings.mKvBytesPerToken);
  return FromSeconds(bytes / LinkRate(aCell));
}

duration
LinkBacklog(const cell_state& aCell, std::uint32_t aRank, request_stage aFrom)
{
  double bytes = 0.0;
  for (const auto& [attempt, request] : aCell.mRequests) {
    if (request.mStage < aFrom || request.mStage > request_stage::eTransferring ||
        request.mRequest.mTargets.mRank > aRank) {
      continue;
    }
    const bool known = request.mStage >= request_stage::eReady;
    const double size = known ? static_cast<double>(request.mKvBytes - request.mScheduledBytes)
                              : static_cast<double>(request.mRequest.mPromptTokens) *
                                  static_cast<double>(aCell.mSettings.mKvBytesPerToken);
    bytes += size;
  }
  return FromSeconds(bytes / LinkRate(aCell));
}

wait_forecast
ForecastWait(const cell_state& aCell, const request_arrived& aRequest)
{
  const double prefillRate = PrefillRate(aCell);
  const work_ahead ahead = SumWorkAhead(aCell, aRequest.mTargets.mRank, prefillRate);
  const slot_supply supply = ForecastSlots(aCell);
  double slotWait = 0.0;
  const double missing = ahead.mSlotDemand + 1.0 - supply.mFree;
  if (missing > 0.0) {
    const double steady = supply.mTotal / ServiceSeconds(aCell, aRequest);
    slotWait = missing / std::max(supply.mReleasesPerSecond, 0.1 * steady);
  }
  duration bestPrefill = duration::max();
  for (const auto& [id, engine] : aCell.mEngines) {
    if (engine.mInfo.mRole == runner_role::ePrefill && engine.TakesWork(aCell.mNow)) {
      bestPrefill = std::min(bestPrefill, PrefillTime(aCell, engine, aRequest));
    }
  }
  const duration prefillEnd = FromSeconds(ahead.mPrefillSeconds) + bestPrefill;
  const duration slotAt = std::max(
    FromSeconds(slotWait), LinkBacklog(aCell, aRequest.mTargets.mRank, request_stage::eWaiting));
  wait_forecast forecast;
  forecast.mWait = std::max(FromSeconds(ahead.mPrefillSeconds), slotAt - bestPrefill);
  forecast.mFirstToken = std::max(prefillEnd, slotAt) + TransferTime(aCell, aRequest) +
                         std::chrono::milliseconds(aRequest.mTargets.mBetweenTokensMs);
  return forecast;
}

} // namespace dunehook
