/**
 * @file return_plan.h
 * How long a request may wait for a place, and when a refused caller should retry. When the load
 * exceeds the engines' memory, some callers are late in any order; the order only decides how many.
 * A new caller can still be in time, a returned one can't. Places therefore go to new callers
 * first. Returned ones wait for the remaining places, and the memory margin asked for them falls
 * during the wait until they take precedence over new ones. Pure.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace dunehook {

/** Share of the latency target that a new request may wait for a place: the rest is enough for the
 * read, as long as the read queue is short. */
inline constexpr double kNewWaitShare = 0.5;
/** The same once an engine has refused the reservation of a new request: the table's knowledge of
 * the engines is wrong then, and so is the wait expected from it. */
inline constexpr double kReservationRefusedWaitShare = 0.2;
/** Longest wait of a returned caller's request: about the time of a run, in which each engine's
 * memory becomes free once. */
inline constexpr duration kMaxReturnedWait = std::chrono::seconds(3);
/** Share of the time until the caller's deadline that a request may wait; the rest is for its run.
 */
inline constexpr double kDeadlineShare = 0.33;
/** Shortest time after which a refused caller is told to retry, and the span of the random time
 * added to it. */
inline constexpr duration kMinRetryAfter = std::chrono::milliseconds(1500);
inline constexpr duration kRetryAfterSpread = std::chrono::milliseconds(3000);

/** How long a request may wait for a place. */
struct place_wait
{
  duration mNew{ 0 };      ///< Limit for a new caller.
  duration mReturned{ 0 }; ///< Limit for a returned caller.

  /** @param aTarget the route's latency target. @param aTimeLeft until the caller's deadline. */
  static place_wait Make(duration aTarget, duration aTimeLeft)
  {
    const duration most = FromSeconds(std::max(0.0, ToSeconds(aTimeLeft)) * kDeadlineShare);
    const duration fresh = FromSeconds(ToSeconds(aTarget) * kNewWaitShare);
    return { std::min(fresh, most), std::min(kMaxReturnedWait, most) };
  }
  /** @return the wait of a request whose place an engine has refused. */
  place_wait Refused(duration aTarget) const
  {
    return { std::min(mNew, FromSeconds(ToSeconds(aTarget) * kReservationRefusedWaitShare)),
             mReturned };
  }
  /** @return the remaining wait after @p aSpan. */
  place_wait After(duration aSpan) const
  {
    return { std::max(duration{ 0 }, mNew - aSpan), std::max(duration{ 0 }, mReturned - aSpan) };
  }
  duration Of(bool aReturned) const { return aReturned ? mReturned : mNew; }

  auto operator<=>(const place_wait&) const = default;
};

/** @return the elapsed share of a wait, 0 to 1; 1 if the wait is zero. */
inline double
WaitedShare(duration aSpent, duration aWait)
{
  return aWait <= aSpent ? 1.0 : ToSeconds(aSpent) / ToSeconds(aWait);
}

/**
 * @param aFreeIn expected time until there's a place.
 * @param aDraw a random number from 0 up to 1 that spreads the callers' retries.
 * @return the time after which a refused caller is told to retry.
 */
inline duration
RetryAfter(duration aFreeIn, double aDraw)
{
  return std::max(aFreeIn, kMinRetryAfter) + FromSeconds(ToSeconds(kRetryAfterSpread) * aDraw);
}

} // namespace dunehook
