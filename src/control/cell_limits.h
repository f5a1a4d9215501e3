/**
 * @file cell_limits.h
 * Time limits of the owner role that its parts share.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook {

/** Rest between looks at an engine. */
inline constexpr duration kEnginePollInterval = std::chrono::milliseconds(250);
/** Time limit of a call to an engine. */
inline constexpr duration kEngineCallTimeout = std::chrono::milliseconds(500);
/** Time limit of an order to a frontend, or of a question to it. */
inline constexpr duration kFrontendCallTimeout = std::chrono::milliseconds(300);

} // namespace dunehook
