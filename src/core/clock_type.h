/**
 * @file clock_type.h
 * Time as the router counts it. The decision core has no clock: it's given an instant with each
 * event and tick.
 */
#pragma once

#include <chrono>
#include <concepts>

namespace dunehook {

using duration = std::chrono::microseconds;

/** A point in time: microseconds since an origin of the clock's choice, never going back. */
using instant = std::chrono::microseconds;

/** A source of instants; fakes in tests satisfy it too. */
template<typename T>
concept clock_source = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::convertible_to<instant>;
};

/** The machine's monotonic clock. */
struct steady_clock_source
{
  instant Now() const
  {
    return std::chrono::duration_cast<instant>(std::chrono::steady_clock::now().time_since_epoch());
  }
};

/** @return @p aSpan in seconds, as a fraction. */
inline double
ToSeconds(duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/** @return the span of @p aSeconds seconds, rounded down to a microsecond. */
inline duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace dunehook
