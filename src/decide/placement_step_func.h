/**
 * @file placement_step_func.h
 * The placement steps that run over a cell's tables on each event and tick, in the order of this
 * file.
 */
#pragma once

#include "decide/chooser.h"
#include "decide/request_func.h"

#include <array>

namespace dunehook {

/** Most prefills of one rank at an engine: one running and one queued behind it. */
inline constexpr std::size_t kMaxPrefillsPerRank = 2;
/** Most chunks on a link: one being sent and one that hides the round trip. */
inline constexpr std::size_t kMaxInFlightChunks = 2;
/** Longest link backlog at which another transfer may take a slot and wait for the link. */
inline constexpr duration kMaxLinkQueueTime = std::chrono::milliseconds(30);
/** How long after the predicted end of a prefill its slot and the link may become free. */
inline constexpr duration kCapacityWaitTolerance = std::chrono::milliseconds(100);

/**
 * Step 1: serves the request that has waited longest beyond its class's aging limit before every
 * rank until its prefill is finished; one request of the cell at a time.
 */
void
AgeRequests(cell_state& aCell);

/**
 * Step 2: refuses waiting requests that can no longer meet their first-token target, and requeues
 * those whose prefill results have expired.
 */
void
ExpireRequests(cell_state& aCell, tick_result& aOut);

/** @return whether a decode slot is expected to be free when a prefill ends at @p aPrefillEnd. */
bool
ExpectsFreeSlot(const cell_state& aCell, instant aPrefillEnd);

/** @return whether the link is expected to be free when a prefill ends at @p aPrefillEnd. */
bool
ExpectsFreeLink(const cell_state& aCell, const request_entry& aRequest, instant aPrefillEnd);

/** @return whether the link's backlog is short enough for the request to take a slot. */
bool
LinkQueueHasRoom(const cell_state& aCell, const request_entry& aRequest);

/** @return the prefill engines that can take the request now. */
std::vector<const engine_entry*>
PrefillCandidates(const cell_state& aCell, const request_entry& aRequest);

/** Assigns a request to a prefill engine and orders the prefill. */
void
BeginPrefill(cell_state& aCell,
             request_entry& aRequest,
             const engine_entry& aEngine,
             std::size_t aCandidates,
             tick_result& aOut);

/** @return the decode engines with a free slot. */
std::vector<const engine_entry*>
DecodeCandidates(const cell_state& aCell);

/** Takes a decode slot for a request; ScheduleTransfers() then orders its chunks. */
void
BeginTransfer(cell_state& aCell,
              request_entry& aRequest,
              const engine_entry& aEngine,
              std::size_t aCandidates,
              tick_result& aOut);

/** Step 3: starts waiting prefills for which a decode slot and the link are expected to be free. */
template<engine_chooser Chooser>
void
StartPrefills(cell_state& aCell, Chooser& aChooser, tick_result& aOut)
{
  for (const attempt_id& attempt : AttemptsInServiceOrder(aCell, request_stage::eWaiting)) {
    request_entry& request = *aCell.FindRequest(attempt);
    const auto candidates = PrefillCandidates(aCell, request);
    if (candidates.empty()) {
      continue; // Later requests may pass one whose engines are busy.
    }
    const engine_entry* const engine = aChooser.ChoosePrefill(aCell, request, candidates);
    const duration work = PrefillBacklog(aCell, *engine, request.EffectiveRank()) +
                          PrefillTime(aCell, *engine, request.mRequest);
    const instant prefillEnd = aCell.mNow + work;
    const bool capacityExpected =
      ExpectsFreeSlot(aCell, prefillEnd) && ExpectsFreeLink(aCell, request, prefillEnd);
    if (aCell.mSettings.mSwitches.mDecodeSlotGating && !capacityExpected) {
      continue;
    }
    request.mPrefillEnd = prefillEnd;
    BeginPrefill(aCell, request, *engine, candidates.size(), aOut);
  }
}

/** Step 4: assigns free decode slots to finished prefills. */
template<engine_chooser Chooser>
void
AssignDecodeEngines(cell_state& aCell, Chooser& aChooser, tick_result& aOut)
{
  for (const attempt_id& attempt : AttemptsInServiceOrder(aCell, request_stage::eReady)) {
    request_entry& request = *aCell.FindRequest(attempt);
    const auto candidates = DecodeCandidates(aCell);
    if (candidates.empty()) {
      return;
    }
    if (!LinkQueueHasRoom(aCell, request)) {
      continue;
    }
    const engine_entry* const engine = aChooser.ChooseDecode(aCell, request, candidates);
    BeginTransfer(aCell, request, *engine, candidates.size(), aOut);
  }
}

/** Step 5: puts chunks of transfers on the link, by rank and arrival. */
void
ScheduleTransfers(cell_state& aCell, tick_result& aOut);

} // namespace dunehook
