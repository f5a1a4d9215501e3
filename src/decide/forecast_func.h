/**
 * @file forecast_func.h
 * Predictions from a cell's tables: when slots come free, how long a prefill takes, how long a
 * newcomer would wait.
 */
#pragma once

#include "decide/cell_base.h"

namespace dunehook {

/** Supply of decode slots. */
struct slot_supply
{
  std::uint32_t mFree = 0;         ///< Slots not held at engines that take work.
  std::uint32_t mTotal = 0;        ///< Slots of engines that take work.
  double mReleasesPerSecond = 0.0; ///< Rate at which held slots come free.
};

/** @return the supply of decode slots now. */
slot_supply
ForecastSlots(const cell_state& aCell);

/** @return mean time that requests of a class hold a decode slot, in seconds. */
double
ServiceSeconds(const cell_state& aCell, const request_arrived& aRequest);

/**
 * @param aEngine a prefill engine.
 * @param aRank work of this rank or before it is counted as ahead.
 * @return time until the engine is through with the work ahead of a newcomer.
 */
duration
PrefillBacklog(const cell_state& aCell, const engine_entry& aEngine, std::int64_t aRank);

/** @return time the engine needs for the part of the prompt that it doesn't hold. */
duration
PrefillTime(const cell_state& aCell, const engine_entry& aEngine, const request_arrived& aRequest);

/** @return bytes a second that the link carries: as declared, or less if less was measured. */
double
LinkRate(const cell_state& aCell);

/** @return time the link needs for the request's prefill result when nothing else moves. */
duration
TransferTime(const cell_state& aCell, const request_arrived& aRequest);

/**
 * @param aRank transfers of this rank or before it are counted; aging doesn't count on the link.
 * @param aFrom the earliest stage counted; transfers under way always are.
 * @return time the link needs for the prefill results that are to move.
 */
duration
LinkBacklog(const cell_state& aCell, std::uint32_t aRank, request_stage aFrom);

/** What a newcomer would meet. */
struct wait_forecast
{
  duration mWait{ 0 };       ///< Time in queues before its prefill, or for a slot.
  duration mFirstToken{ 0 }; ///< Time to its first token.
};

/** @return the forecast for a newcomer. @pre the cell has an engine of each role taking work. */
wait_forecast
ForecastWait(const cell_state& aCell, const request_arrived& aRequest);

} // namespace dunehook
