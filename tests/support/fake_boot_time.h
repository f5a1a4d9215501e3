/**
 * @file fake_boot_time.h
 * Lets the machine seem to have been suspended: clocks that count such time go ahead, the steady
 * clock does not. Replaces the C library's clock_gettime() in the program that links it.
 */
#pragma once

#include "core/clock_type.h"

namespace dunehook::test {

/** Adds a suspension to all that this process reads from then on. */
void
SuspendFor(duration aSpan);

} // namespace dunehook::test
