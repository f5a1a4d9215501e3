/**
 * @file placement_queue.h
 * Places generations for all daemons. One daemon that knows every run decides on one request after
 * the other, so that no two decisions take the same memory. Requests that find no room wait in this
 * queue, ordered by priority, then new callers before returned ones, then by arrival. The engine's
 * own reservation still decides: if two daemons place at the same time, the cost is a refused
 * reservation. Pure: no I/O, no clock.
 */
#pragma once

#include "placement/event_rate.h"
#include "placement/place_type.h"
#include "placement/placement.h"
#include "placement/refused_table.h"

#include <functional>

namespace dunehook {

/** Limit of placement attempts for queued requests per tick, so that requests arriving at a peak
 * aren't delayed by them. */
inline constexpr std::size_t kMaxAttemptsPerTick = 6;

/** Share of the places expected at the recent rate that a request counts on. A request is queued
 * only if that many places are enough for it and all requests before it; otherwise it is refused at
 * once, as it would wait in vain. */
inline constexpr double kExpectedPlacesShare = 0.8;
/** Number of requests that may wait however low the recent rate is: after a start it is zero. */
inline constexpr double kMinQueueAllowance = 8.0;

/** A reply and its recipient. */
struct addressed_reply
{
  endpoint mTo;       ///< Address of the requesting daemon.
  place_reply mReply; ///< The reply.
};

/** Queue of place requests that are tried again on each tick. */
class placement_queue
{
public:
  /** @return the traits of a service's engines, or nothing if the service isn't known. */
  using traits_lookup = std::function<std::optional<engine_traits>(const std::string& aService)>;

  placement_queue(placement_table& aPlacement,
                  runner_table& aRunners,
                  const refused_table& aRefused,
                  traits_lookup aTraits)
    : mPlacement(aPlacement)
    , mRunners(aRunners)
    , mRefused(aRefused)
    , mTraits(std::move(aTraits))
  {
  }

  /**
   * Places a request or queues it. It replaces an earlier request for the same run.
   * @param aDaemon the requesting daemon in the table of runs; 0 is this daemon.
   * @return the reply, which may be that the request is queued.
   */
  place_reply Take(const place_request& aRequest,
                   std::uint64_t aDaemon,
                   const endpoint& aFrom,
                   instant aNow);
  /** Tries queued requests again, and returns the replies to those placed and those whose time is
   * over. To be called several times in a tenth of a second while any wait. */
  std::vector<addressed_reply> Tick(instant aNow);
  /** Removes the queued request of a run, for example when its caller has left. */
  void Withdraw(run_id aRun);
  /** @return number of queued requests. */
  std::size_t Waiting() const { return mWaiting.size(); }

private:
  /** A queued request. */
  struct queued_request
  {
    place_request mRequest;    ///< The request as received.
    std::uint64_t mDaemon = 0; ///< The requesting daemon in the table of runs.
    endpoint mFrom;            ///< Address of the requesting daemon.
    instant mAsked{ 0 };       ///< Time of arrival.
    duration mWaitsFor{ 0 };   ///< Longest time in the queue.
  };

  /** @return whether a request would get a place within @p aWait at the recent rate of placements.
   */
  bool ExpectsPlaceWithin(const queued_request& aRequest, duration aWait, instant aNow) const;
  /** Order of the queue: the most urgent first, then new callers, which can still be in time. */
  static bool GoesBefore(const queued_request& aOne, const queued_request& aTwo);

  /** Tries to place a request once. @param aLast whether the caller needs the time until there's a
   * place. */
  place_reply Try(const queued_request& aWaiting, instant aNow, bool aLast);

  placement_table& mPlacement;          ///< Table of all runs.
  runner_table& mRunners;               ///< Table of all engines.
  const refused_table& mRefused;        ///< Prompts refused lately by any daemon.
  traits_lookup mTraits;                ///< Looks up the engine traits of a service.
  std::vector<queued_request> mWaiting; ///< Queued requests in the order of GoesBefore().
  event_rate mPlaced;                   ///< Rate of placements.
};

} // namespace dunehook
