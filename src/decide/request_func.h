/**
 * @file request_func.h
 * Operations on requests that the events and the placement steps share: refusing, requeueing and
 * releasing.
 */
#pragma once

#include "decide/cell_base.h"

#include <string_view>

namespace dunehook {

/** An engine that refused gets no new work for this long. */
inline constexpr duration kRefusalBackoff = std::chrono::milliseconds(100);
/** An engine that failed gets no new work for this long. */
inline constexpr duration kFailureBackoff = std::chrono::seconds(1);

/** Appends a decision record to the output. */
void
AppendDecision(tick_result& aOut,
               const request_entry& aRequest,
               std::string_view aDecision,
               std::size_t aCandidates,
               std::string_view aChosen,
               std::string_view aReason);

/** @return Retry-After of a refusal: the predicted wait plus a random part of up to half of it. */
duration
JitteredRetryAfter(cell_state& aCell, duration aPredictedWait);

/** Removes a request from its engines and its chunks from the link. */
void
ReleaseEngines(cell_state& aCell, request_entry& aRequest);

/** Removes the chunks of a request from those on the link. */
void
DropInFlightChunks(cell_state& aCell, request_entry& aRequest);

/** Counts the prompt tokens that were computed for a request as wasted. */
void
CountWastedTokens(cell_state& aCell, const request_entry& aRequest);

/** Orders the engines of a request to stop it and to free its slot and memory. */
void
CancelEngineWork(const request_entry& aRequest, tick_result& aOut);

/** Refuses a request and removes it. */
void
Refuse(cell_state& aCell, const attempt_id& aAttempt, std::string_view aReason, tick_result& aOut);

/** Puts a request back into the queue if the retry budget allows it, else refuses it. */
void
Requeue(cell_state& aCell, const attempt_id& aAttempt, std::string_view aReason, tick_result& aOut);

/**
 * @return the attempts at a stage in the order in which they are served: by rank, then arrival.
 * Attempts at eReady are served by the expiry of their prefill results, since a slot was expected
 * for each of them when its prefill started.
 */
std::vector<attempt_id>
AttemptsInServiceOrder(const cell_state& aCell, request_stage aStage);

} // namespace dunehook
