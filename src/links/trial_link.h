/**
 * @file trial_link.h
 * Asks for trials of suspected requests, and grants them if this daemon is the one that does: the
 * first of the serving daemons by RanksBefore(). Crashes are reported to that one, so it knows
 * which requests are suspected and which crashes aren't evaluated yet.
 */
#pragma once

#include "links/pending_replies.h"
#include "links/quarantine_link.h"
#include "quarantine/trial_table.h"

namespace dunehook {

/** A reply to a trial request that comes later is ignored, and the request isn't sent. */
inline constexpr duration kTrialReplyTimeout = std::chrono::milliseconds(100);
/** Time before the next request to a daemon that grants no trials or doesn't reply. */
inline constexpr duration kUngrantedTrialWait = std::chrono::milliseconds(100);

/** Requests and grants trials. */
class trial_link
{
public:
  trial_link(forward_state& aState, daemon_link& aLink, quarantine_link& aQuarantines);

  /** Starts the passes that keep trials. */
  void Start();

private:
  /** Asks for a trial. @return the reply; eNotGranting if none comes in time. */
  asio::awaitable<trial_reply> Request(trial_request aRequest);
  /** Sends the runners that a trial still uses, without waiting for a reply. */
  void Keep(const trial_request& aRequest);
  asio::awaitable<void> RunPasses();
  void HandleMessage(const quarantine_message& aMessage, const endpoint& aFrom);
  /** Answers a request as the daemon that grants. */
  trial_reply Answer(const trial_request& aRequest);
  /** Sends a request. @return the reply if this daemon is the one that grants. */
  std::optional<trial_reply> Send(const trial_request& aRequest);
  /** @return the daemon that grants trials; null if none serves. */
  const member_info* Grantor() const;

  forward_state& mState;                        ///< State shared by the parts of the daemon.
  daemon_link& mLink;                           ///< Sends messages to the other daemons.
  trial_table mTrials;                          ///< Trials that this daemon has granted.
  first_rank_watch mGrants{ 1 };                ///< Whether this daemon grants.
  std::map<trial_id, trial_request> mOwnTrials; ///< Trials of this daemon's callers.
  pending_replies<trial_reply> mPending;        ///< Requests of this daemon.
  std::uint32_t mRounds = 0;                    ///< Requests sent so far.
};

} // namespace dunehook
