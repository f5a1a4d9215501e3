/**
 * @file clock_type.h
 * Time as the router counts it. The decision core has no clock: it's given an instant with each
 * event and tick.
 */
#pragma once

#include <chrono>
#include <cmath>
#include <concepts>
#include <ctime>

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

/** The machine's monotonic clock, which goes on while the machine is suspended, as leases, budgets
 * and callers' time limits do. std::chrono::steady_clock stands still meanwhile. */
struct boot_clock
{
  using duration = dunehook::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // std::chrono asks for these names of a clock.
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
  static time_point now() noexcept        // NOLINT(readability-identifier-naming)
  {
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read); // Fails for clocks that don't exist only.
    const std::chrono::nanoseconds since =
      std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since));
  }
};

/** The source of instants of a running process. */
struct boot_clock_source
{
  instant Now() const { return boot_clock::now().time_since_epoch(); }
};

/** @return @p aSpan in seconds, as a fraction. */
inline double
ToSeconds(duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/** Longest span that FromSeconds() makes, some 30 years: sums of a few fit into a duration. */
inline constexpr double kLongestSeconds = 1e9;

/** @return the span of @p aSeconds seconds, rounded down to a microsecond; 0 for what is no number,
 * and kLongestSeconds at most. */
inline duration
FromSeconds(double aSeconds)
{
  if (!(std::abs(aSeconds) <= kLongestSeconds)) {
    const double longest = std::copysign(kLongestSeconds, aSeconds);
    aSeconds = std::isnan(aSeconds) ? 0.0 : longest;
  }
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace dunehook
