/**
 * @file return_plan.h
 * How long a request may wait for a place, and when a refused caller shall come back. A load that
 * is more than the engines' memory takes makes callers late whoever is served first. What is left
 * to decide is how many: whoever has just asked can still be in time, whoever has come back can't.
 * So places go to new callers first, and those that have come back wait for what is left, with a
 * claim that grows until it goes before that of new ones. Pure.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace dunehook {

/** Part of the latency target in which a new request may wait for a place: what is left is enough
 * for the read, as long as its queue is short. */
inline constexpr double kNewWaitShare = 0.5;
/** The same once an engine has refused a new request the place that it was given: what is known of
 * the engines is wrong, and so is what was expected of the wait. */
inline constexpr double kReservationRefusedWaitShare = 0.2;
/** Longest wait of a request whose caller has come back: about the time of a run, in which each
 * engine's memory comes free once. */
inline constexpr duration kMaxReturnedWait = std::chrono::seconds(3);
/** Part of the time until its caller's deadline that a request may wait: the rest is for its run.
 */
inline constexpr double kDeadlineShare = 0.33;
/** Earliest time for a refused caller to come back, and the span over which callers are spread. */
inline constexpr duration kMinRetryDelay = std::chrono::milliseconds(1500);
inline constexpr duration kRetryDelaySpread = std::chrono::milliseconds(3000);

/** How long a request may wait for a place. */
struct place_wait
{
  duration mNew{ 0 };      ///< If its caller asks for the first time.
  duration mReturned{ 0 }; ///< If its caller has come back.

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
  /** @return what is left of it after a while. */
  place_wait After(duration aSpan) const
  {
    return { std::max(duration{ 0 }, mNew - aSpan), std::max(duration{ 0 }, mReturned - aSpan) };
  }
  duration Of(bool aReturned) const { return aReturned ? mReturned : mNew; }

  auto operator<=>(const place_wait&) const = default;
};

/** @return the part of a wait that is over; all of one that hasn't any length. */
inline double
WaitedShare(duration aSpent, duration aWait)
{
  return aWait <= aSpent ? 1.0 : ToSeconds(aSpent) / ToSeconds(aWait);
}

/**
 * @param aFreeIn expected time until there's a place.
 * @param aDraw a number from 0 up to 1 that spreads callers.
 * @return when a refused caller shall come back.
 */
inline duration
RetryDelay(duration aFreeIn, double aDraw)
{
  return std::max(aFreeIn, kMinRetryDelay) + FromSeconds(ToSeconds(kRetryDelaySpread) * aDraw);
}

} // namespace dunehook
