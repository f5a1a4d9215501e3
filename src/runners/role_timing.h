/**
 * @file role_timing.h
 * How long a change of an engine's role may take.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook {

/** An engine that took an order gets no work until its entry changes, or for this long: its runs
 * end first, and then it's out of work for some seconds. */
inline constexpr duration kMaxRoleChangeTime = std::chrono::seconds(20);

} // namespace dunehook
