/**
 * @file request.cpp
 * Operations on requests that the events and the placement steps share.
 */
#include "decide/request_func.h"

#include "decide/forecast_func.h"

#include <algorithm>
#include <tuple>

namespace dunehook {

void
AppendDecision(tick_result& aOut,
               const request_entry& aRequest,
               std::string_view aDecision,
               std::size_t aCandidates,
               std::string_view aChosen,
               std::string_view aReason)
{
  aOut.mRecords.push_back({ aRequest.mRequest.mAttempt,
                            aRequest.mRequest.mClass,
                            std::string(aDecision),
                            static_cast<std::uint32_t>(aCandidates),
                            std::string(aChosen),
                            std::string(aReason) });
}

duration
JitteredRetryAfter(cell_state& aCell, duration aPredictedWait)
{
  constexpr duration kMinRetryAfter = std::chrono::milliseconds(200);
  const duration base = std::max(aPredictedWait, kMinRetryAfter);
  std::uniform_int_distribution<std::int64_t> spread(0, base.count() / 2);
  return base + duration{ spread(aCell.mRandom) };
}

void
ReleaseEngines(cell_state& aCell, request_entry& aRequest)
{
  for (const engine_id id : { aRequest.mPrefill, aRequest.mDecode }) {
    if (engine_entry* const engine = aCell.FindEngine(id)) {
      engine->mActiveAttempts.erase(aRequest.mRequest.mAttempt);
    }
  }
  DropInFlightChunks(aCell, aRequest);
}

void
DropInFlightChunks(cell_state& aCell, request_entry& aRequest)
{
  std::erase_if(aCell.mInFlightChunks, [&](const in_flight_chunk& aChunk) {
    return aChunk.mAttempt == aRequest.mRequest.mAttempt;
  });
  aRequest.mInFlightChunkCount = 0;
}

void
CountWastedTokens(cell_state& aCell, const request_entry& aRequest)
{
  if (aRequest.mStage >= request_stage::eReady) {
    aCell.mCounters.mWastedTokens += aRequest.mUncachedTokens;
  }
}

void
CancelEngineWork(const request_entry& aRequest, tick_result& aOut)
{
  for (const engine_id id : { aRequest.mPrefill, aRequest.mDecode }) {
    if (id) {
      aOut.mOrders.emplace_back(cancel_work{ aRequest.mRequest.mAttempt, id });
    }
  }
}

void
Refuse(cell_state& aCell, const attempt_id& aAttempt, std::string_view aReason, tick_result& aOut)
{
  request_entry& request = *aCell.FindRequest(aAttempt);
  AppendDecision(aOut, request, "refuse", 0, "", aReason);
  CountWastedTokens(aCell, request);
  CancelEngineWork(request, aOut);
  ReleaseEngines(aCell, request);
  const duration drain = ForecastWait(aCell, request.mRequest).mWait;
  aOut.mOrders.emplace_back(
    refuse_request{ aAttempt, errc::eOverloaded, JitteredRetryAfter(aCell, drain) });
  ++aCell.mCounters.mRefused;
  aCell.mRequests.erase(aAttempt);
}

void
Requeue(cell_state& aCell, const attempt_id& aAttempt, std::string_view aReason, tick_result& aOut)
{
  request_entry& request = *aCell.FindRequest(aAttempt);
  if (aCell.mSettings.mSwitches.mRetryBudget) {
    if (aCell.mRetryCredit < 1.0) {
      Refuse(aCell, aAttempt, "retry budget used up", aOut);
      return;
    }
    aCell.mRetryCredit -= 1.0;
  }
  CountWastedTokens(aCell, request);
  CancelEngineWork(request, aOut);
  ReleaseEngines(aCell, request);
  AppendDecision(aOut, request, "requeue", 0, "", aReason);
  request.mStage = request_stage::eWaiting;
  request.mPrefill = {};
  request.mDecode = {};
  request.mKvBytes = 0;
  request.mScheduledBytes = 0;
  request.mUncachedTokens = request.mRequest.mPromptTokens;
  ++request.mRequeues;
  ++aCell.mCounters.mRequeued;
}

std::vector<attempt_id>
AttemptsInServiceOrder(const cell_state& aCell, request_stage aStage)
{
  using sort_key = std::tuple<std::int64_t, instant, attempt_id>;
  std::vector<sort_key> keys;
  for (const auto& [attempt, request] : aCell.mRequests) {
    if (request.mStage != aStage) {
      continue;
    }
    if (aStage == request_stage::eReady) {
      keys.emplace_back(0, request.mKvExpires, attempt);
    } else {
      keys.emplace_back(request.EffectiveRank(), request.mArrived, attempt);
    }
  }
  std::sort(keys.begin(), keys.end());
  std::vector<attempt_id> ordered;
  ordered.reserve(keys.size());
  for (const sort_key& key : keys) {
    ordered.push_back(std::get<attempt_id>(key));
  }
  return ordered;
}

} // namespace dunehook
