/**
 * @file event.cpp
 * Changes that each event makes to the tables of a cell.
 */
#include "decide/event_func.h"

#include "core/text_func.h"
#include "decide/forecast_func.h"
#include "decide/request_func.h"

#include <algorithm>

namespace dunehook {

namespace {

/** Weight of a new sample in the moving averages of service time and link rate. */
constexpr double kSmoothingFactor = 0.1;
/** Fraction of the first-token target that the forecast may reach at admission. */
constexpr double kAdmissionTargetFraction = 0.9;
/** Base of Retry-After where a role has no runner at all. */
constexpr duration kNoRunnerRetryAfter = std::chrono::seconds(2);

bool
HasRole(const cell_state& aCell, runner_role aRole)
{
  return std::any_of(aCell.mEngines.begin(), aCell.mEngines.end(), [&](const auto& aRow) {
    return aRow.second.mInfo.mRole == aRole && !aRow.second.mInfo.mLeaving;
  });
}

bool
TakesWork(const cell_state& aCell, runner_role aRole)
{
  return std::any_of(aCell.mEngines.begin(), aCell.mEngines.end(), [&](const auto& aRow) {
    return aRow.second.mInfo.mRole == aRole && aRow.second.TakesWork(aCell.mNow);
  });
}

/** Visitor that applies an event of each type. */
class event_applier
{
public:
  event_applier(cell_state& aCell, tick_result& aOut)
    : mCell(aCell)
    , mOut(aOut)
  {
  }

  void operator()(const request_arrived& aEvent)
  {
    if (mCell.FindRequest(aEvent.mAttempt) != nullptr) {
      return; // The frontend sent the request twice.
    }
    ++mCell.mCounters.mArrived;
    request_entry entry;
    entry.mRequest = aEvent;
    entry.mArrived = mCell.mNow;
    entry.mUncachedTokens = aEvent.mPromptTokens;
    if (!HasRole(mCell, runner_role::ePrefill) || !HasRole(mCell, runner_role::eDecode)) {
      RefuseAtAdmission(entry, errc::eNoRunner, kNoRunnerRetryAfter, "no runner");
      return;
    }
    if (mCell.mSettings.mSwitches.mAdmission && !Admit(entry)) {
      return;
    }
    ++mCell.mCounters.mAdmitted;
    mCell.mRetryCredit = std::min(kMaxRetryCredit, mCell.mRetryCredit + kRetryCreditPerRequest);
    mCell.mRequests.emplace(aEvent.mAttempt, std::move(entry));
  }

  void operator()(const request_adopted& aEvent)
  {
    request_entry* const known = mCell.FindRequest(aEvent.mRequest.mAttempt);
    // A request that decodes here but waits there has had a chunk of another owner counted here.
    const bool isKnownSo = known != nullptr && known->mStage != request_stage::ePrefilling &&
                           known->mStage != request_stage::eDecoding;
    if (aEvent.mIsRepeat && isKnownSo) {
      RepeatLostChunk(*known);
      return;
    }
    if (known != nullptr) { // Its frontend took another daemon for the owner meanwhile.
      ReleaseEngines(mCell, *known);
    }
    request_entry entry;
    entry.mRequest = aEvent.mRequest;
    entry.mArrived = mCell.mNow;
    entry.mUncachedTokens = aEvent.mRequest.mPromptTokens;
    entry.mStage = aEvent.mStage;
    entry.mPrefill = aEvent.mPrefill;
    entry.mDecode = aEvent.mDecode;
    if (aEvent.mStage == request_stage::eTransferring) {
      // The new owner doesn't know which chunks have arrived, so the transfer starts again.
      entry.mStage = request_stage::eReady;
      entry.mDecode = {};
    }
    entry.mKvBytes =
      std::max<std::uint64_t>(1, aEvent.mRequest.mPromptTokens * mCell.mSettings.mKvBytesPerToken);
    entry.mPrefillEnd = mCell.mNow;
    entry.mSlotTakenAt = mCell.mNow;
    entry.mKvExpires = mCell.mNow + mCell.mSettings.mKvLifetime;
    for (const engine_id id : { entry.mPrefill, entry.mDecode }) {
      if (engine_entry* const engine = mCell.FindEngine(id)) {
        engine->mActiveAttempts.insert(aEvent.mRequest.mAttempt);
      }
    }
    mCell.mRequests.insert_or_assign(aEvent.mRequest.mAttempt, std::move(entry));
  }

  void operator()(const prefill_finished& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr || request->mStage != request_stage::ePrefilling) {
      return;
    }
    request->mStage = request_stage::eReady;
    request->mAged = false;
    request->mPrefillEnd = mCell.mNow;
    request->mKvExpires = mCell.mNow + mCell.mSettings.mKvLifetime;
    request->mKvBytes = std::max<std::uint64_t>(1, aEvent.mKvBytes);
    request->mScheduledBytes = 0;
    request->mUncachedTokens = request->mRequest.mPromptTokens -
                               std::min(aEvent.mCachedTokens, request->mRequest.mPromptTokens);
    mCell.mCounters.mPrefillTokens += request->mUncachedTokens;
    for (const prefix_block& block : request->mRequest.mBlocks) {
      mCell.mPrefixes.RecordCached(request->mPrefill, block.mHash, mCell.mNow);
    }
  }

  void operator()(const chunk_finished& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr || request->mInFlightChunkCount == 0) {
      return;
    }
    --request->mInFlightChunkCount;
    CompleteOldestChunk(aEvent.mAttempt);
    if (request->mScheduledBytes == request->mKvBytes && request->mInFlightChunkCount == 0) {
      request->mStage = request_stage::eDecoding;
      ReleasePrefillEngine(*request);
    }
  }

  void operator()(const stream_finished& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr) {
      return;
    }
    if (request->mStage == request_stage::eDecoding) {
      UpdateServiceTime(*request);
    }
    ++mCell.mCounters.mFinished;
    ReleaseEngines(mCell, *request);
    mCell.mRequests.erase(aEvent.mAttempt);
  }

  void operator()(const work_failed& aEvent)
  {
    if (engine_entry* const engine = mCell.FindEngine(aEvent.mEngine)) {
      engine->mAvoidUntil = mCell.mNow + (aEvent.mRefused ? kRefusalBackoff : kFailureBackoff);
    }
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr) {
      return;
    }
    const bool prefillResultRemains = request->mStage == request_stage::eTransferring &&
                                      aEvent.mEngine == request->mDecode && !aEvent.mKvLost;
    if (prefillResultRemains) {
      AbortTransfer(*request);
      return;
    }
    Requeue(mCell, aEvent.mAttempt, aEvent.mRefused ? "refused by engine" : "engine failed", mOut);
  }

  void operator()(const request_cancelled& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr) {
      return;
    }
    Cancel(*request);
    mCell.mRequests.erase(aEvent.mAttempt);
  }

  void operator()(const request_moved& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr) {
      return;
    }
    ReleaseEngines(mCell, *request);
    mCell.mRequests.erase(aEvent.mAttempt);
  }

  void operator()(const engine_updated& aEvent)
  {
    mCell.mEngines[aEvent.mInfo.mId].mInfo = aEvent.mInfo;
  }

  void operator()(const engine_removed& aEvent)
  {
    mCell.mEngines.erase(aEvent.mEngine);
    mCell.mPrefixes.RemoveEngine(aEvent.mEngine);
  }

  void operator()(const engine_unreachable& aEvent)
  {
    if (engine_entry* const engine = mCell.FindEngine(aEvent.mEngine)) {
      engine->mAvoidUntil = mCell.mNow + kFailureBackoff;
    }
  }

  void operator()(const load_reported& aEvent)
  {
    if (engine_entry* const engine = mCell.FindEngine(aEvent.mEngine)) {
      engine->mOtherSlots = aEvent.mOtherSlots;
    }
  }

  void operator()(const cache_changed& aEvent)
  {
    if (aEvent.mPresent) {
      mCell.mPrefixes.RecordCached(aEvent.mEngine, aEvent.mHash, mCell.mNow);
    } else {
      mCell.mPrefixes.RecordEvicted(aEvent.mEngine, aEvent.mHash);
    }
  }

  void operator()(const incarnation_ended& aEvent)
  {
    for (auto row = mCell.mRequests.begin(); row != mCell.mRequests.end();) {
      if (row->first.mIncarnation == aEvent.mIncarnation) {
        Cancel(row->second);
        row = mCell.mRequests.erase(row);
      } else {
        ++row;
      }
    }
  }

  void operator()(const cell_settings_changed& aEvent) { mCell.mSettings = aEvent.mSettings; }

private:
  bool Admit(const request_entry& aEntry)
  {
    if (!TakesWork(mCell, runner_role::ePrefill) || !TakesWork(mCell, runner_role::eDecode)) {
      return true; // Engines are avoided only briefly, so the request is queued.
    }
    const wait_forecast forecast = ForecastWait(mCell, aEntry.mRequest);
    const priority_class_spec& targets = aEntry.mRequest.mTargets;
    const bool waitsTooLong = forecast.mWait > std::chrono::milliseconds(targets.mMaxWaitMs);
    const bool tooLate =
      ToSeconds(forecast.mFirstToken) * 1000.0 > kAdmissionTargetFraction * targets.mFirstTokenMs;
    if (!waitsTooLong && !tooLate) {
      return true;
    }
    RefuseAtAdmission(aEntry,
                      errc::eOverloaded,
                      forecast.mWait,
                      waitsTooLong ? "predicted wait too long" : "predicted first token too late");
    return false;
  }

  void RefuseAtAdmission(const request_entry& aEntry,
                         errc aReason,
                         duration aPredictedWait,
                         std::string_view aText)
  {
    ++mCell.mCounters.mRefused;
    AppendDecision(mOut, aEntry, "refuse", 0, "", aText);
    mOut.mOrders.emplace_back(refuse_request{
      aEntry.mRequest.mAttempt, aReason, JitteredRetryAfter(mCell, aPredictedWait) });
  }

  void ReleasePrefillEngine(request_entry& aRequest)
  {
    if (engine_entry* const engine = mCell.FindEngine(aRequest.mPrefill)) {
      engine->mActiveAttempts.erase(aRequest.mRequest.mAttempt);
    }
    aRequest.mPrefill = {};
  }

  void AbortTransfer(request_entry& aRequest)
  {
    if (engine_entry* const engine = mCell.FindEngine(aRequest.mDecode)) {
      engine->mActiveAttempts.erase(aRequest.mRequest.mAttempt);
    }
    DropInFlightChunks(mCell, aRequest);
    aRequest.mDecode = {};
    aRequest.mScheduledBytes = 0;
    aRequest.mStage = request_stage::eReady;
  }

  /** Orders the transfer anew if a chunk counts as ordered: its frontend is waiting for an order,
   * so that one was lost. */
  void RepeatLostChunk(request_entry& aRequest)
  {
    if (aRequest.mStage == request_stage::eTransferring && aRequest.mInFlightChunkCount > 0) {
      AbortTransfer(aRequest);
    }
  }

  /**
   * Removes an attempt's oldest chunk from the link. Only full-sized chunks update the measured
   * link rate.
   */
  void CompleteOldestChunk(const attempt_id& aAttempt)
  {
    const auto chunk =
      std::find_if(mCell.mInFlightChunks.begin(),
                   mCell.mInFlightChunks.end(),
                   [&](const in_flight_chunk& aChunk) { return aChunk.mAttempt == aAttempt; });
    const double seconds =
      ToSeconds(mCell.mNow - std::max(chunk->mStarted, mCell.mLastChunkFinished));
    if (chunk->mBytes == mCell.mSettings.mLink.mChunkBytes && seconds > 0.0) {
      const double rate = static_cast<double>(chunk->mBytes) / seconds;
      double& mean = mCell.mLinkRate;
      mean = mean == 0.0 ? rate : mean + kSmoothingFactor * (rate - mean);
    }
    mCell.mLastChunkFinished = mCell.mNow;
    mCell.mInFlightChunks.erase(chunk);
  }

  void UpdateServiceTime(const request_entry& aRequest)
  {
    double& mean = mCell.mStats[aRequest.mRequest.mClass].mServiceSeconds;
    const double seconds = ToSeconds(mCell.mNow - aRequest.mSlotTakenAt);
    mean = mean == 0.0 ? seconds : mean + kSmoothingFactor * (seconds - mean);
  }

  void Cancel(request_entry& aRequest)
  {
    ++mCell.mCounters.mCancelled;
    if (aRequest.mStage >= request_stage::eReady) {
      mCell.mCounters.mCancelledTokens += aRequest.mUncachedTokens;
    }
    CancelEngineWork(aRequest, mOut);
    ReleaseEngines(mCell, aRequest);
  }

  cell_state& mCell; ///< The tables to change.
  tick_result& mOut; ///< Receives orders and decision records.
};

} // namespace

void
ApplyEvent(cell_state& aCell, const decide_event& aEvent, tick_result& aOut)
{
  std::visit(event_applier(aCell, aOut), aEvent);
}

} // namespace dunehook
