/**
 * @file role_timing.h
 * Time limit for a change of an engine's role.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook {

/** An engine that accepted an order to change its role gets no work until its entry changes, but at
 * most for this long: its runs finish first, and then it's unavailable for some seconds. */
inline constexpr duration kMaxRoleChangeTime = std::chrono::seconds(20);

} // namespace dunehook
