/**
 * @file system_func.h
 * The systems that run over a cell's tables each tick, in the order of this file.
 */
#pragma once

#include "decide/chooser.h"
#include "decide/request_func.h"

#include <array>

namespace dunehook {

/** Work of one rank that a prefill engine is given at once: one under way and one behind it. */
inline constexpr std::size_t kMaxPrefillsPerRank = 2;
/** Pieces on a link at once: one moving and one that hides the round trip. */
inline constexpr std::size_t kMaxInFlightChunks = 2;
/** Transfers that hold slots while they wait for the link may add up to this. */
inline constexpr duration kMaxLinkQueueTime = std::chrono::milliseconds(30);
/** Time between the predicted end of a prefill and that of its capacityExpected slot. */
inline constexpr duration kCapacityWaitTolerance = std::chrono::milliseconds(100);

/**
 * System 1: the request that has waited longest beyond what its class allows goes before every
 * rank until it was read; one at a time.
 */
void
AgeRequests(cell_state& aCell);

/** System 2: refuses waiting requests that can no longer be on time; repeats lost prefills. */
void
ExpireRequests(cell_state& aCell, tick_result& aOut);

/** @return whether a decode slot can be capacityExpected for the end of a prefill at @p
 * aPrefillEnd. */
bool
ExpectsFreeSlot(const cell_state& aCell, instant aPrefillEnd);

/** @return whether the link can be capacityExpected for the end of a prefill at @p aPrefillEnd. */
bool
ExpectsFreeLink(const cell_state& aCell, const request_entry& aRequest, instant aPrefillEnd);

/** @return whether the link is free enough for another transfer to take a slot for it. */
bool
LinkQueueHasRoom(const cell_state& aCell, const request_entry& aRequest);

/** @return prefill engines that can be given the request now. */
std::vector<const engine_entry*>
PrefillCandidates(const cell_state& aCell, const request_entry& aRequest);

/** Notes that a prefill starts, and orders it. */
void
BeginPrefill(cell_state& aCell,
             request_entry& aRequest,
             const engine_entry& aEngine,
             std::size_t aCandidates,
             tick_result& aOut);

/** @return decode engines with a free slot. */
std::vector<const engine_entry*>
DecodeCandidates(const cell_state& aCell);

/** Notes that a slot is taken for a transfer. */
void
BeginTransfer(cell_state& aCell,
              request_entry& aRequest,
              const engine_entry& aEngine,
              std::size_t aCandidates,
              tick_result& aOut);

/** System 3: starts prefills for waiting requests whose decode slot can be capacityExpected. */
template<engine_chooser Chooser>
void
StartPrefills(cell_state& aCell, Chooser& aChooser, tick_result& aOut)
{
  for (const attempt_id& attempt : AttemptsInServiceOrder(aCell, request_stage::eWaiting)) {
    request_entry& request = *aCell.FindRequest(attempt);
    const auto candidates = PrefillCandidates(aCell, request);
    if (candidates.empty()) {
      continue; // Others may pass a request whose engines are busy.
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

/** System 4: gives free decode slots to prefill results that wait. */
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

/** System 5: puts pieces of transfers on the link, by rank and age. */
void
ScheduleTransfers(cell_state& aCell, tick_result& aOut);

} // namespace dunehook
