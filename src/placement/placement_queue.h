/**
 * @file placement_queue.h
 * Places generations for all daemons. One daemon that knows every run decides one after the other,
 * so that no two decisions take the same room; what finds no room waits here: the most urgent
 * first, then new callers, then those that have come back, and the longest waiting of each. The
 * engine's own reservation stays the truth: two daemons that place at once cost a refused
 * reservation. Pure: no I/O, no clock.
 */
#pragma once

#include "placement/event_rate.h"
#include "placement/place_type.h"
#include "placement/placement.h"
#include "placement/refused_table.h"

#include <functional>

namespace dunehook {

/** Tries for questions that wait, on one tick, so that those that come in a peak aren't kept
 * waiting behind them. */
inline constexpr std::size_t kMaxAttemptsPerTick = 6;

/** A question waits only where this part of the places that are given meanwhile, at the rate of
 * late, is enough for it and all before it: else it's refused at once, since it would wait in
 * vain. */
inline constexpr double kExpectedPlacesShare = 0.8;
/** So many may wait however few places were given lately: at a start none were. */
inline constexpr double kMinQueueAllowance = 8.0;

/** An answer and whom it's for. */
struct addressed_reply
{
  endpoint mTo;       ///< The asker.
  place_reply mReply; ///< The answer.
};

/** The queue. */
class placement_queue
{
public:
  /** @return the traits of a service's engines, or nothing if it's not known. */
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
   * Takes a question.
   * @param aDaemon the asker in the table of runs; 0 is this daemon.
   * @return the answer: also that it waits.
   */
  place_reply Take(const place_request& aQuestion,
                   std::uint64_t aDaemon,
                   const endpoint& aFrom,
                   instant aNow);
  /** Tries for those that wait, and answers those whose time is over. Call it some times a tenth of
   * a second while there are any. */
  std::vector<addressed_reply> Tick(instant aNow);
  /** Forgets a question: its caller has left. */
  void Withdraw(run_id aRun);
  /** @return questions that wait. */
  std::size_t Waiting() const { return mWaiting.size(); }

private:
  /** A question that waits. */
  struct waiting_question
  {
    place_request mQuestion;   ///< As it was asked.
    std::uint64_t mDaemon = 0; ///< The asker in the table of runs.
    endpoint mFrom;            ///< The asker's address.
    instant mAsked{ 0 };       ///< When it came.
    duration mWaitsFor{ 0 };   ///< How long it may wait.
  };

  /** @return whether a question gets a place within @p aWait if places are given as fast as lately.
   */
  bool ExpectsPlaceWithin(const waiting_question& aQuestion, duration aWait, instant aNow) const;
  /** The order of those that wait: the most urgent first, then those that can still be in time. */
  static bool GoesBefore(const waiting_question& aOne, const waiting_question& aTwo);

  place_reply Try(const waiting_question& aWaiting, instant aNow, bool aLast);

  placement_table& mPlacement;            ///< All runs.
  runner_table& mRunners;                 ///< All engines.
  const refused_table& mRefused;          ///< Requests refused lately by any daemon.
  traits_lookup mTraits;                  ///< Of services.
  std::vector<waiting_question> mWaiting; ///< The next to be tried first.
  event_rate mPlaced;                     ///< Places given.
};

} // namespace dunehook
