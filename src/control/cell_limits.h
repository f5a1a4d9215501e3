/**
 * @file cell_limits.h
 * Poll interval and timeouts shared by the source files of the owner role.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook {

/** Time between two polls of an engine that answers. */
inline constexpr duration kEnginePollInterval = std::chrono::milliseconds(250);
/** Timeout of a call to an engine. */
inline constexpr duration kEngineCallTimeout = std::chrono::milliseconds(500);
/** Timeout of an order or a query sent to a frontend. */
inline constexpr duration kFrontendCallTimeout = std::chrono::milliseconds(300);

} // namespace dunehook
