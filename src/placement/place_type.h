/**
 * @file place_type.h
 * What a daemon asks the daemon that places generations for all, and what it's answered.
 */
#pragma once

#include "placement/placement_type.h"
#include "placement/return_plan.h"

namespace dunehook {

/** A generation that wants a place, as another daemon asks. */
struct place_request
{
  std::uint64_t mDaemon = 0;    ///< The asker's run: its incarnation.
  std::uint32_t mRound = 0;     ///< Tells the questions for one generation apart.
  generation_demand mDemand;    ///< What is wanted; mFirstEventWithin counts from the sending.
  std::uint64_t mPromptKey = 0; ///< Hash of the prompt's own part; 0 if it has none.
  std::uint32_t mRank = 0;      ///< Of the route: 0 is the most urgent.
  place_wait mWait;             ///< How long the question may wait for a place.

  auto operator<=>(const place_request&) const = default;
};

/** How a question was answered. */
enum class place_state
{
  ePlaced,     ///< There's a place, and it's taken for the generation.
  eNone,       ///< There's none in the time that the question may wait.
  eQueued,     ///< It waits; another answer follows.
  eNotPlacing, ///< This daemon doesn't place: it starts, stops, or has just stood still.
};

/** The answer. */
struct place_reply
{
  run_id mRun;                                   ///< The generation.
  std::uint32_t mRound = 0;                      ///< Of the question.
  place_state mState = place_state::eNotPlacing; ///< How it was answered.
  placement_choice mChoice;                      ///< Where to, if there's a place.
  no_place mReason = no_place::eNoEngine;        ///< Why there's none.
  duration mFreeIn{ 0 };   ///< Expected time until there's one, if there's none.
  duration mWaitsFor{ 0 }; ///< The last answer comes by then, if it waits.
  bool mReturned = false;  ///< The request was refused before by some daemon.
};

} // namespace dunehook
