/**
 * @file event.cpp
 * What each event changes in the tables.
 */
#include "decide/event_func.h"

#include "core/text_func.h"
#include "decide/forecast_func.h"
#include "decide/request_func.h"

#include <algorithm>

namespace dunehook {

namespace {

/** Weight of a new measurement in the mean service time. */
constexpr double kStatsWeight = 0.1;
/** Share of the first-token target that a forecast may take at admission. */
constexpr double kAdmissionShare = 0.9;
/** Retry-After where no engine is there at all. */
constexpr duration kNoEngineRetry = std::chrono::seconds(2);

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

/** Applies each kind of event. */
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
      return; // The frontend asked twice.
    }
    ++mCell.mCounters.mArrived;
    request_entry entry;
    entry.mRequest = aEvent;
    entry.mArrived = mCell.mNow;
    entry.mUncachedTokens = aEvent.mPromptTokens;
    if (!HasRole(mCell, runner_role::ePrefill) || !HasRole(mCell, runner_role::eDecode)) {
      RefuseNewcomer(entry, errc::eNoRunner, kNoEngineRetry, "no runner");
      return;
    }
    if (mCell.mSettings.mSwitches.mAdmission && !Admit(entry)) {
      return;
    }
    ++mCell.mCounters.mAdmitted;
    mCell.mRetryCredit = std::min(kMaxRetryCredit, mCell.mRetryCredit + kRetryShare);
    mCell.mRequests.emplace(aEvent.mAttempt, std::move(entry));
  }

  void operator()(const request_adopted& aEvent)
  {
    request_entry entry;
    entry.mRequest = aEvent.mRequest;
    entry.mArrived = mCell.mNow;
    entry.mUncachedTokens = aEvent.mRequest.mPromptTokens;
    entry.mStage = aEvent.mStage;
    entry.mPrefill = aEvent.mPrefill;
    entry.mDecode = aEvent.mDecode;
    if (aEvent.mStage == request_stage::eTransferring) {
      // Which pieces have arrived isn't known here: the transfer starts again.
      entry.mStage = request_stage::eReady;
      entry.mDecode = {};
    }
    entry.mKvBytes =
      std::max<std::uint64_t>(1, aEvent.mRequest.mPromptTokens * mCell.mSettings.mKvBytesPerToken);
    entry.mReadyAt = mCell.mNow;
    entry.mSlotSince = mCell.mNow;
    entry.mKvExpires = mCell.mNow + mCell.mSettings.mKvLifetime;
    for (const engine_id id : { entry.mPrefill, entry.mDecode }) {
      if (engine_entry* const engine = mCell.FindEngine(id)) {
        engine->mWork.insert(aEvent.mRequest.mAttempt);
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
    request->mReadyAt = mCell.mNow;
    request->mKvExpires = mCell.mNow + mCell.mSettings.mKvLifetime;
    request->mKvBytes = std::max<std::uint64_t>(1, aEvent.mKvBytes);
    request->mSentBytes = 0;
    request->mUncachedTokens = request->mRequest.mPromptTokens -
                               std::min(aEvent.mCachedTokens, request->mRequest.mPromptTokens);
    mCell.mCounters.mPrefillTokens += request->mUncachedTokens;
    for (const prefix_block& block : request->mRequest.mBlocks) {
      mCell.mPrefixes.NotePresent(request->mPrefill, block.mHash, mCell.mNow);
    }
  }

  void operator()(const chunk_finished& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr || request->mChunksUnderWay == 0) {
      return;
    }
    --request->mChunksUnderWay;
    MeasureLink(aEvent.mAttempt);
    if (request->mSentBytes == request->mKvBytes && request->mChunksUnderWay == 0) {
      request->mStage = request_stage::eDecoding;
      LeavePrefill(*request);
    }
  }

  void operator()(const stream_finished& aEvent)
  {
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr) {
      return;
    }
    if (request->mStage == request_stage::eDecoding) {
      NoteService(*request);
    }
    ++mCell.mCounters.mFinished;
    ReleaseEngines(mCell, *request);
    mCell.mRequests.erase(aEvent.mAttempt);
  }

  void operator()(const work_failed& aEvent)
  {
    if (engine_entry* const engine = mCell.FindEngine(aEvent.mEngine)) {
      engine->mAvoidUntil = mCell.mNow + (aEvent.mRefused ? kRefusedTime : kFailedTime);
    }
    request_entry* const request = mCell.FindRequest(aEvent.mAttempt);
    if (request == nullptr) {
      return;
    }
    const bool keepsPrefill = request->mStage == request_stage::eTransferring &&
                              aEvent.mEngine == request->mDecode && !aEvent.mKvLost;
    if (keepsPrefill) {
      ReturnToReady(*request);
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

  void operator()(const engine_seen& aEvent)
  {
    mCell.mEngines[aEvent.mInfo.mId].mInfo = aEvent.mInfo;
  }

  void operator()(const engine_gone& aEvent)
  {
    mCell.mEngines.erase(aEvent.mEngine);
    mCell.mPrefixes.Forget(aEvent.mEngine);
  }

  void operator()(const engine_silent& aEvent)
  {
    if (engine_entry* const engine = mCell.FindEngine(aEvent.mEngine)) {
      engine->mAvoidUntil = mCell.mNow + kFailedTime;
    }
  }

  void operator()(const load_reported& aEvent)
  {
    if (engine_entry* const engine = mCell.FindEngine(aEvent.mEngine)) {
      engine->mForeign = aEvent.mForeign;
    }
  }

  void operator()(const cache_changed& aEvent)
  {
    if (aEvent.mPresent) {
      mCell.mPrefixes.NotePresent(aEvent.mEngine, aEvent.mHash, mCell.mNow);
    } else {
      mCell.mPrefixes.NoteAbsent(aEvent.mEngine, aEvent.mHash);
    }
  }

  void operator()(const incarnation_gone& aEvent)
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

  void operator()(const cell_changed& aEvent) { mCell.mSettings = aEvent.mSettings; }

private:
  bool Admit(const request_entry& aEntry)
  {
    if (!TakesWork(mCell, runner_role::ePrefill) || !TakesWork(mCell, runner_role::eDecode)) {
      return true; // Engines are avoided for a moment only.
    }
    const wait_forecast forecast = ForecastWait(mCell, aEntry.mRequest);
    const priority_class_spec& targets = aEntry.mRequest.mTargets;
    const bool waitsTooLong = forecast.mWait > std::chrono::milliseconds(targets.mMaxWaitMs);
    const bool tooLate =
      ToSeconds(forecast.mFirstToken) * 1000.0 > kAdmissionShare * targets.mFirstTokenMs;
    if (!waitsTooLong && !tooLate) {
      return true;
    }
    RefuseNewcomer(aEntry,
                   errc::eOverloaded,
                   forecast.mWait,
                   waitsTooLong ? "predicted wait too long" : "predicted first token too late");
    return false;
  }

  void RefuseNewcomer(const request_entry& aEntry,
                      errc aReason,
                      duration aDrain,
                      std::string_view aText)
  {
    ++mCell.mCounters.mRefused;
    Record(mOut, aEntry, "refuse", 0, "", aText);
    mOut.mOrders.emplace_back(
      refuse_request{ aEntry.mRequest.mAttempt, aReason, SpreadRetryAfter(mCell, aDrain) });
  }

  void LeavePrefill(request_entry& aRequest)
  {
    if (engine_entry* const engine = mCell.FindEngine(aRequest.mPrefill)) {
      engine->mWork.erase(aRequest.mRequest.mAttempt);
    }
    aRequest.mPrefill = {};
  }

  void ReturnToReady(request_entry& aRequest)
  {
    if (engine_entry* const engine = mCell.FindEngine(aRequest.mDecode)) {
      engine->mWork.erase(aRequest.mRequest.mAttempt);
    }
    DropChunks(mCell, aRequest);
    aRequest.mDecode = {};
    aRequest.mSentBytes = 0;
    aRequest.mStage = request_stage::eReady;
  }

  /** Takes the oldest piece of an attempt off the link, and measures the rate by whole pieces. */
  void MeasureLink(const attempt_id& aAttempt)
  {
    const auto chunk =
      std::find_if(mCell.mChunks.begin(), mCell.mChunks.end(), [&](const chunk_entry& aChunk) {
        return aChunk.mAttempt == aAttempt;
      });
    const double seconds = ToSeconds(mCell.mNow - std::max(chunk->mStarted, mCell.mLastChunk));
    if (chunk->mBytes == mCell.mSettings.mLink.mChunkBytes && seconds > 0.0) {
      const double rate = static_cast<double>(chunk->mBytes) / seconds;
      double& mean = mCell.mLinkRate;
      mean = mean == 0.0 ? rate : mean + kStatsWeight * (rate - mean);
    }
    mCell.mLastChunk = mCell.mNow;
    mCell.mChunks.erase(chunk);
  }

  void NoteService(const request_entry& aRequest)
  {
    double& mean = mCell.mStats[aRequest.mRequest.mClass].mServiceSeconds;
    const double seconds = ToSeconds(mCell.mNow - aRequest.mSlotSince);
    mean = mean == 0.0 ? seconds : mean + kStatsWeight * (seconds - mean);
  }

  void Cancel(request_entry& aRequest)
  {
    ++mCell.mCounters.mCancelled;
    if (aRequest.mStage >= request_stage::eReady) {
      mCell.mCounters.mCancelledTokens += aRequest.mUncachedTokens;
    }
    OrderCancels(aRequest, mOut);
    ReleaseEngines(mCell, aRequest);
  }

  cell_state& mCell; ///< The tables.
  tick_result& mOut; ///< Takes orders and records.
};

} // namespace

void
ApplyEvent(cell_state& aCell, const decide_event& aEvent, tick_result& aOut)
{
  std::visit(event_applier(aCell, aOut), aEvent);
}

} // namespace dunehook
