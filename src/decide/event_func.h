/**
 * @file event_func.h
 * Applies events to a cell's tables. The placement steps that follow act on the result.
 */
#pragma once

#include "decide/cell_base.h"

namespace dunehook {

/**
 * Applies one event.
 * @param aCell the tables; aCell.mNow is the time of the event.
 * @param aEvent what happened.
 * @param aOut receives the orders that the event itself causes, such as a refusal.
 */
void
ApplyEvent(cell_state& aCell, const decide_event& aEvent, tick_result& aOut);

} // namespace dunehook
