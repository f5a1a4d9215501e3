/**
 * @file placement_step.cpp
 * The placement steps that don't depend on the chooser.
 */
#include "decide/placement_step_func.h"

#include <algorithm>

namespace dunehook {

void
AgeRequests(cell_state& aCell)
{
  if (!aCell.mSettings.mSwitches.mAging) {
    return;
  }
  request_entry* oldest = nullptr;
  for (auto& [attempt, request] : aCell.mRequests) {
    if (request.mAged) {
      return; // One at a time: a class makes progress without reversing the order of the ranks.
    }
    const duration limit = std::chrono::milliseconds(request.mRequest.mTargets.mAgingMs);
    if (request.mStage != request_stage::eWaiting || aCell.mNow - request.mArrived <= limit) {
      continue;
    }
    if (oldest == nullptr || request.mArrived < oldest->mArrived) {
      oldest = &request;
    }
  }
  if (oldest != nullptr) {
    oldest->mAged = true;
  }
}

void
ExpireRequests(cell_state& aCell, tick_result& aOut)
{
  for (const attempt_id& attempt : AttemptsInServiceOrder(aCell, request_stage::eWaiting)) {
    const request_entry& request = *aCell.FindRequest(attempt);
    const priority_class_spec& targets = request.mRequest.mTargets;
    const duration needed =
      TransferTime(aCell, request.mRequest) + std::chrono::milliseconds(targets.mBetweenTokensMs);
    const duration limit = std::chrono::milliseconds(targets.mFirstTokenMs) - needed;
    if (aCell.mSettings.mSwitches.mAdmission && aCell.mNow - request.mArrived > limit) {
      Refuse(aCell, attempt, "first token can't be in time", aOut);
    }
  }
  for (const attempt_id& attempt : AttemptsInServiceOrder(aCell, request_stage::eReady)) {
    if (aCell.mNow >= aCell.FindRequest(attempt)->mKvExpires) {
      Requeue(aCell, attempt, "prefill result lost", aOut);
    }
  }
}

bool
ExpectsFreeSlot(const cell_state& aCell, instant aPrefillEnd)
{
  const slot_supply supply = ForecastSlots(aCell);
  const instant until = aPrefillEnd + kCapacityWaitTolerance;
  std::uint32_t demand = 1;
  for (const auto& [attempt, request] : aCell.mRequests) {
    const bool prefilling =
      request.mStage == request_stage::ePrefilling && request.mPrefillEnd <= aPrefillEnd;
    if (prefilling || request.mStage == request_stage::eReady) {
      ++demand;
    }
  }
  const double released = supply.mReleasesPerSecond * ToSeconds(until - aCell.mNow);
  return demand <= supply.mFree + released;
}

bool
ExpectsFreeLink(const cell_state& aCell, const request_entry& aRequest, instant aPrefillEnd)
{
  const duration busy =
    LinkBacklog(aCell, aRequest.mRequest.mTargets.mRank, request_stage::ePrefilling);
  return aCell.mNow + busy <= aPrefillEnd + kCapacityWaitTolerance;
}

bool
LinkQueueHasRoom(const cell_state& aCell, const request_entry& aRequest)
{
  const duration busy =
    LinkBacklog(aCell, aRequest.mRequest.mTargets.mRank, request_stage::eTransferring);
  return busy <= kMaxLinkQueueTime;
}

std::vector<const engine_entry*>
PrefillCandidates(const cell_state& aCell, const request_entry& aRequest)
{
  std::vector<const engine_entry*> candidates;
  for (const auto& [id, engine] : aCell.mEngines) {
    if (engine.mInfo.mRole != runner_role::ePrefill || !engine.TakesWork(aCell.mNow)) {
      continue;
    }
    std::size_t sameRank = 0;
    for (const attempt_id& attempt : engine.mActiveAttempts) {
      const auto found = aCell.mRequests.find(attempt);
      if (found != aCell.mRequests.end() && found->second.mStage == request_stage::ePrefilling &&
          found->second.mRequest.mTargets.mRank == aRequest.mRequest.mTargets.mRank) {
        ++sameRank;
      }
    }
    if (sameRank < kMaxPrefillsPerRank) {
      candidates.push_back(&engine);
    }
  }
  return candidates;
}

void
BeginPrefill(cell_state& aCell,
             request_entry& aRequest,
             const engine_entry& aEngine,
             std::size_t aCandidates,
             tick_result& aOut)
{
  const attempt_id attempt = aRequest.mRequest.mAttempt;
  aRequest.mUncachedTokens = static_cast<std::uint32_t>(
    ToSeconds(PrefillTime(aCell, aEngine, aRequest.mRequest)) * aEngine.mInfo.mTokensPerSecond);
  aRequest.mStage = request_stage::ePrefilling;
  aRequest.mPrefill = aEngine.mInfo.mId;
  aCell.FindEngine(aEngine.mInfo.mId)->mActiveAttempts.insert(attempt);
  const std::uint32_t priority = aRequest.mAged ? 0 : aRequest.mRequest.mTargets.mRank;
  aOut.mOrders.emplace_back(start_prefill{ attempt, aEngine.mInfo.mId, priority });
  AppendDecision(aOut,
                 aRequest,
                 "prefill",
                 aCandidates,
                 aEngine.mInfo.mName,
                 aRequest.mUncachedTokens < aRequest.mRequest.mPromptTokens ? "cached prefix"
                                                                            : "read soonest");
}

std::vector<const engine_entry*>
DecodeCandidates(const cell_state& aCell)
{
  std::vector<const engine_entry*> candidates;
  for (const auto& [id, engine] : aCell.mEngines) {
    if (engine.mInfo.mRole == runner_role::eDecode && engine.TakesWork(aCell.mNow) &&
        engine.FreeSlots() > 0) {
      candidates.push_back(&engine);
    }
  }
  return candidates;
}

void
BeginTransfer(cell_state& aCell,
              request_entry& aRequest,
              const engine_entry& aEngine,
              std::size_t aCandidates,
              tick_result& aOut)
{
  aRequest.mStage = request_stage::eTransferring;
  aRequest.mDecode = aEngine.mInfo.mId;
  aRequest.mSlotTakenAt = aCell.mNow;
  AppendDecision(aOut, aRequest, "decode", aCandidates, aEngine.mInfo.mName, "most free slots");
  aCell.FindEngine(aEngine.mInfo.mId)->mActiveAttempts.insert(aRequest.mRequest.mAttempt);
}

void
ScheduleTransfers(cell_state& aCell, tick_result& aOut)
{
  const bool chunked = aCell.mSettings.mSwitches.mChunkedTransfers;
  for (const attempt_id& attempt : AttemptsInServiceOrder(aCell, request_stage::eTransferring)) {
    request_entry& request = *aCell.FindRequest(attempt);
    while (request.mScheduledBytes < request.mKvBytes) {
      if (aCell.mInFlightChunks.size() >= kMaxInFlightChunks) {
        return;
      }
      const std::uint64_t left = request.mKvBytes - request.mScheduledBytes;
      const std::uint64_t bytes =
        chunked ? std::min(left, aCell.mSettings.mLink.mChunkBytes) : left;
      aOut.mOrders.emplace_back(
        start_chunk{ attempt, request.mDecode, request.mScheduledBytes, bytes, bytes == left });
      request.mScheduledBytes += bytes;
      ++request.mInFlightChunkCount;
      aCell.mInFlightChunks.push_back({ attempt, bytes, aCell.mNow });
    }
  }
}

} // namespace dunehook
