/**
 * @file event_func.h
 * Applies events to a cell's tables. The systems of the next tick act on the result.
 */
#pragma once

#include "decide/cell_base.h"

namespace dunehook {

/**
 * Applies one event.
 * @param aCell the tables; aCell.mNow is the event's instant.
 * @param aEvent what happened.
 * @param aOut takes orders that follow at once, such as a refusal.
 */
void
ApplyEvent(cell_state& aCell, const decide_event& aEvent, tick_result& aOut);

} // namespace dunehook
