/**
 * @file place_type.h
 * Requests and replies between a daemon and the daemon that places generations for all daemons.
 */
#pragma once

#include "placement/placement_type.h"
#include "placement/return_plan.h"

namespace dunehook {

/** A daemon's request to place a generation. */
struct place_request
{
  std::uint64_t mDaemon = 0; ///< Incarnation of the requesting daemon's process.
  std::uint32_t mRound = 0;  ///< Distinguishes the requests made for one generation.
  /** What to place; mFirstEventWithin counts from the sending of the request. */
  generation_demand mDemand;
  /** Hash of the part of the prompt that is specific to the request; 0 if it has none. */
  std::uint64_t mPromptKey = 0;
  std::uint32_t mRank = 0; ///< Priority rank of the route: 0 is the most urgent.
  place_wait mWait;        ///< How long the request may wait in the queue.

  auto operator<=>(const place_request&) const = default;
};

/** Outcome of a place request. */
enum class place_state
{
  ePlaced,     ///< A place was found, and is taken for the generation.
  eNone,       ///< No place was found in the time that the request may wait.
  eQueued,     ///< The request waits in the queue; another reply follows.
  eNotPlacing, ///< This daemon doesn't place now: it starts, stops, or was just suspended.
};

/** The reply to a place request. */
struct place_reply
{
  run_id mRun;                                   ///< The generation.
  std::uint32_t mRound = 0;                      ///< mRound of the request.
  place_state mState = place_state::eNotPlacing; ///< Outcome.
  placement_choice mChoice;                      ///< Engines to use, if placed.
  no_place mReason = no_place::eNoEngine;        ///< Reason, if there's no place.
  duration mFreeIn{ 0 };   ///< Expected time until there's a place, if there's none.
  duration mWaitsFor{ 0 }; ///< Time until the final reply at the latest, if queued.
  /** The caller came back after an earlier attempt was refused or its stream broke. */
  bool mReturned = false;
};

} // namespace dunehook
