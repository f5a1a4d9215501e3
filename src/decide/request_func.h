/**
 * @file request_func.h
 * Steps in the life of a request, shared by the systems: refusing, sending back to the queue,
 * ending.
 */
#pragma once

#include "decide/cell_base.h"

#include <string_view>

namespace dunehook {

/** An engine that refused gets no new work for this long. */
inline constexpr duration kRefusalBackoff = std::chrono::milliseconds(100);
/** An engine that failed gets no new work for this long. */
inline constexpr duration kFailureBackoff = std::chrono::seconds(1);

/** Adds a decision record. */
void
AppendDecision(tick_result& aOut,
               const request_entry& aRequest,
               std::string_view aDecision,
               std::size_t aCandidates,
               std::string_view aChosen,
               std::string_view aReason);

/** @return when a refused caller may come back: the predicted drain, spread by up to a half. */
duration
JitteredRetryAfter(cell_state& aCell, duration aPredictedWait);

/** Removes a request from the engines' tables. */
void
ReleaseEngines(cell_state& aCell, request_entry& aRequest);

/** Forgets the pieces of a request's transfer that are on the link. */
void
DropInFlightChunks(cell_state& aCell, request_entry& aRequest);

/** Counts the prompt tokens computed for a request as wasted, if there are any. */
void
CountWastedTokens(cell_state& aCell, const request_entry& aRequest);

/** Orders the engines to free what they hold for a request. */
void
CancelEngineWork(const request_entry& aRequest, tick_result& aOut);

/** Refuses a request and removes it. */
void
Refuse(cell_state& aCell, const attempt_id& aAttempt, std::string_view aReason, tick_result& aOut);

/** Sends a request back to the queue if the retry budget allows, else refuses it. */
void
Requeue(cell_state& aCell, const attempt_id& aAttempt, std::string_view aReason, tick_result& aOut);

/**
 * @return attempts at the given stage, in the order in which they go: rank, then arrival; prefill
 * results that wait for a slot go by the end of their lives, since each was capacityExpected one.
 */
std::vector<attempt_id>
AttemptsInServiceOrder(const cell_state& aCell, request_stage aStage);

} // namespace dunehook
