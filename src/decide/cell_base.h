/**
 * @file cell_base.h
 * State of a cell, which is one pair of a prefill and a decode pool. One daemon owns a cell and
 * runs the placement steps over its tables on every event and tick.
 */
#pragma once

#include "decide/engine_base.h"
#include "decide/order_type.h"
#include "decide/prefix_index.h"
#include "decide/request_base.h"

#include <deque>
#include <random>

namespace dunehook {

/** Retry credit that each admitted request adds; a retry costs 1. */
inline constexpr double kRetryCreditPerRequest = 0.1;
/** Upper limit of the retry credit, and the credit with which a new owner starts. */
inline constexpr double kMaxRetryCredit = 10.0;

/** Measurements of a priority class. */
struct class_stats
{
  double mServiceSeconds =
    0.0; ///< Moving average of the time a request holds a decode slot; 0 until measured.
};

/** Totals of a cell, for metrics and the bench. They never decrease. */
struct cell_counters
{
  std::uint64_t mArrived = 0;  ///< Requests received, before admission.
  std::uint64_t mAdmitted = 0; ///< Requests put into the queue.
  std::uint64_t mRefused = 0;  ///< Requests refused, at any stage.
  std::uint64_t mRequeued = 0; ///< Retries after a failure or a lost prefill result.
  std::uint64_t mFinished = 0; ///< Requests answered in full.
  std::uint64_t mCancelled =
    0; ///< Requests cancelled by the caller or by the end of its daemon run.
  std::uint64_t mPrefillTokens = 0; ///< Prompt tokens computed by prefill engines.
  std::uint64_t mWastedTokens =
    0; ///< Of mPrefillTokens, discarded after a loss, refusal or failure.
  std::uint64_t mCancelledTokens = 0; ///< Of mPrefillTokens, discarded because of a cancellation.
};

/** A chunk of a KV transfer that is on the link. */
struct in_flight_chunk
{
  attempt_id mAttempt;      ///< The request it belongs to.
  std::uint64_t mBytes = 0; ///< Size of the chunk.
  instant mStarted{ 0 };    ///< When the transfer of the chunk was ordered.
};

/** Tables of a cell. */
struct cell_state
{
  cell_settings mSettings;                     ///< From the configuration.
  engine_table mEngines;                       ///< Prefill and decode engines.
  request_table mRequests;                     ///< Requests admitted and not ended.
  prefix_index mPrefixes;                      ///< Which engine probably caches which prefix.
  std::map<std::string, class_stats> mStats;   ///< Measurements by name of the priority class.
  cell_counters mCounters;                     ///< Totals.
  std::deque<in_flight_chunk> mInFlightChunks; ///< Chunks on the link, oldest first.
  instant mLastChunkFinished{ 0 };             ///< When the latest chunk arrived.
  double mLinkRate = 0.0;                ///< Measured rate in bytes per second; 0 until measured.
  double mRetryCredit = kMaxRetryCredit; ///< Retries allowed now; see kRetryCreditPerRequest.
  std::mt19937_64 mRandom{ 1 };          ///< Source of the jitter in Retry-After.
  instant mNow{ 0 };                     ///< Time of the event or tick being handled.

  /** @return the entry of a request, or null. */
  request_entry* FindRequest(const attempt_id& aAttempt)
  {
    const auto found = mRequests.find(aAttempt);
    return found == mRequests.end() ? nullptr : &found->second;
  }
  /** @return the entry of an engine, or null. */
  engine_entry* FindEngine(engine_id aEngine)
  {
    const auto found = mEngines.find(aEngine);
    return found == mEngines.end() ? nullptr : &found->second;
  }
};

} // namespace dunehook
