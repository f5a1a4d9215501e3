/**
 * @file cell_base.h
 * A cell: the tables for one pair of a prefill and a decode pool. One daemon owns a cell; systems
 * run over its tables each tick.
 */
#pragma once

#include "decide/engine_base.h"
#include "decide/order_type.h"
#include "decide/prefix_index.h"
#include "decide/request_base.h"

#include <deque>
#include <random>

namespace dunehook {

/** Repeats granted per admitted request. */
inline constexpr double kRetryCreditPerRequest = 0.1;
/** Most repeats saved up; also what a new owner starts with. */
inline constexpr double kMaxRetryCredit = 10.0;

/** What was measured of a class's answers. */
struct class_stats
{
  double mServiceSeconds = 0.0; ///< Mean time a decode slot is held; 0 until measured.
};

/** Counters of a cell, for metrics and the bench. All only grow. */
struct cell_counters
{
  std::uint64_t mArrived = 0;         ///< Requests that came.
  std::uint64_t mAdmitted = 0;        ///< Requests taken into the queue.
  std::uint64_t mRefused = 0;         ///< Requests refused, at any stage.
  std::uint64_t mRequeued = 0;        ///< Repeats after a failure or a lost prefill result.
  std::uint64_t mFinished = 0;        ///< Whole answers.
  std::uint64_t mCancelled = 0;       ///< Requests whose caller went.
  std::uint64_t mPrefillTokens = 0;   ///< Prompt tokens computed.
  std::uint64_t mWastedTokens = 0;    ///< Of them thrown away: lost, refused or failed later.
  std::uint64_t mCancelledTokens = 0; ///< Of them thrown away since the caller went.
};

/** A piece of a transfer that is on the link. */
struct in_flight_chunk
{
  attempt_id mAttempt;      ///< Whose.
  std::uint64_t mBytes = 0; ///< How large.
  instant mStarted{ 0 };    ///< When it was ordered.
};

/** Tables of a cell. */
struct cell_state
{
  cell_settings mSettings;                     ///< From the configuration.
  engine_table mEngines;                       ///< Prefill and decode engines.
  request_table mRequests;                     ///< Requests admitted and not ended.
  prefix_index mPrefixes;                      ///< Hints on cached prefixes.
  std::map<std::string, class_stats> mStats;   ///< By class.
  cell_counters mCounters;                     ///< Totals.
  std::deque<in_flight_chunk> mInFlightChunks; ///< Pieces on the link now, oldest first.
  instant mLastChunkFinished{ 0 };             ///< When the last piece arrived.
  double mLinkRate = 0.0;                      ///< Measured bytes a second; 0 until measured.
  double mRetryCredit = kMaxRetryCredit;       ///< Repeats allowed now; see kRetryCreditPerRequest.
  std::mt19937_64 mRandom{ 1 };                ///< Spreads Retry-After.
  instant mNow{ 0 };                           ///< Instant of the tick or event under way.

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
