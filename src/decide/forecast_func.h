/**
 * @file forecast_func.h
 * Forecasts from a cell's tables: when decode slots become free, how long a prefill or a transfer
 * takes, and how long a new request would wait.
 */
#pragma once

#include "decide/cell_base.h"

namespace dunehook {

/** Supply of decode slots. */
struct slot_supply
{
  std::uint32_t mFree = 0;         ///< Free slots of engines that take work.
  std::uint32_t mTotal = 0;        ///< All slots of engines that take work.
  double mReleasesPerSecond = 0.0; ///< Rate at which held slots become free.
};

/** @return the supply of decode slots now. */
slot_supply
ForecastSlots(const cell_state& aCell);

/**
 * @return the mean time in seconds for which requests of this one's class hold a decode slot; an
 * estimate from the class's targets until it was measured.
 */
double
ServiceSeconds(const cell_state& aCell, const request_arrived& aRequest);

/**
 * @param aEngine a prefill engine.
 * @param aRank work of this rank or an earlier one is counted.
 * @return the time until the engine has finished the work that it does before a new request.
 */
duration
PrefillBacklog(const cell_state& aCell, const engine_entry& aEngine, std::int64_t aRank);

/** @return the time the engine needs for the part of the prompt that it hasn't cached. */
duration
PrefillTime(const cell_state& aCell, const engine_entry& aEngine, const request_arrived& aRequest);

/** @return the link's rate in bytes per second: the lower of the declared and the measured one. */
double
LinkRate(const cell_state& aCell);

/** @return the time to transfer the request's prefill result over an otherwise idle link. */
duration
TransferTime(const cell_state& aCell, const request_arrived& aRequest);

/**
 * @param aRank transfers of this rank or an earlier one are counted; aging is ignored on the link.
 * @param aFrom the earliest stage counted; running transfers always are.
 * @return the time the link needs for the prefill results still to be transferred.
 */
duration
LinkBacklog(const cell_state& aCell, std::uint32_t aRank, request_stage aFrom);

/** Forecast for a new request. */
struct wait_forecast
{
  duration mWait{ 0 };       ///< Time queued before its prefill, or for a decode slot or the link.
  duration mFirstToken{ 0 }; ///< Time to its first token.
};

/** @return the forecast for a new request. @pre an engine of each role takes work. */
wait_forecast
ForecastWait(const cell_state& aCell, const request_arrived& aRequest);

} // namespace dunehook
