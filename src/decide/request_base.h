/**
 * @file request_base.h
 * The table of requests of a cell.
 */
#pragma once

#include "decide/event_type.h"

#include <map>

namespace dunehook {

/** State of an admitted request. */
struct request_entry
{
  request_arrived mRequest;                       ///< As it arrived.
  request_stage mStage = request_stage::eWaiting; ///< Its current stage.
  instant mArrived{ 0 };                          ///< When it arrived; unchanged by retries.
  engine_id mPrefill;                ///< Set from ePrefilling until the transfer is over.
  engine_id mDecode;                 ///< Set from eTransferring.
  instant mPrefillEnd{ 0 };          ///< Predicted, then actual end of the prefill.
  instant mKvExpires{ 0 };           ///< When the prefill result expires; from eReady.
  instant mSlotTakenAt{ 0 };         ///< When the decode slot was taken; from eTransferring.
  std::uint32_t mUncachedTokens = 0; ///< Prompt tokens the engine is expected to compute.
  std::uint64_t mKvBytes = 0;        ///< Size of the prefill result.
  std::uint64_t mScheduledBytes = 0; ///< Bytes of it whose transfer was ordered; at most mKvBytes.
  std::uint32_t mInFlightChunkCount = 0; ///< Chunks ordered that haven't arrived.
  std::uint32_t mRequeues = 0;           ///< How often it was put back into the queue.
  bool mAged = false; ///< Served before every rank; at most one request in a cell.

  /** @return the rank by which it is served; an aged request comes before every rank. */
  std::int64_t EffectiveRank() const
  {
    return mAged ? -1 : static_cast<std::int64_t>(mRequest.mTargets.mRank);
  }
};

using request_table = std::map<attempt_id, request_entry>;

} // namespace dunehook
