/**
 * @file memory_share.h
 * How the memory of a forwarding daemon's host is shared out. The rest is for connections, the
 * tables and the configuration.
 */
#pragma once

#include <cstdint>

namespace dunehook {

/** Request bodies may take the process's memory divided by this. */
inline constexpr std::uint64_t kBodyMemoryDivisor = 4;
/** The same for bodies of requests that other daemons relay, in addition. */
inline constexpr std::uint64_t kRelayedBodyMemoryDivisor = 8;
/** The same for answers of runners that aren't whole yet. */
inline constexpr std::uint64_t kHeldAnswerMemoryDivisor = 8;

} // namespace dunehook
