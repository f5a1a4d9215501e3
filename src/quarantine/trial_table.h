/**
 * @file trial_table.h
 * Grants trials of suspected requests. One daemon does so for all. It does no I/O: the caller
 * passes in requests of the daemons and the time.
 *
 * A suspected request runs once at a time in the whole fleet, and only on runners without another
 * suspected one, beside requests that aren't suspected. So a further crash has one suspect, and
 * crashes stop with it.
 */
#pragma once

#include "quarantine/crash_ledger.h"

#include <map>

namespace dunehook {

/** A trial ends this long after its daemon last asked to keep it: the daemon may have stopped. */
inline constexpr duration kTrialLease = std::chrono::milliseconds(1000);
/** Time between requests that keep a trial; two of them may be lost. */
inline constexpr duration kTrialKeepInterval = std::chrono::milliseconds(300);
/** Time before the next request for a trial that was refused because another one is under way. */
inline constexpr duration kTrialRetryInterval = std::chrono::milliseconds(50);
/** A daemon grants no trial before it has been the one to ask for this long: those that the former
 * one granted have ended by then, and crashes have been reported to this one again. */
inline constexpr duration kTrialWarmUp = kTrialLease + std::chrono::milliseconds(200);
/** Most trials at once. */
inline constexpr std::size_t kMaxTrials = 4096;

/** The trials under way. */
class trial_table
{
public:
  /**
   * Answers a daemon's request.
   * @param aLedger crashes known to this daemon. A request that it knows nothing of is taken for
   * suspected, since the asking daemon suspects it.
   */
  trial_reply Answer(const trial_request& aRequest, crash_ledger& aLedger, instant aNow);
  /** @return how many trials are under way. */
  std::size_t Count(instant aNow);

private:
  /** A trial under way. */
  struct trial_row
  {
    request_fingerprint mRequest;      ///< The suspected request.
    std::vector<runner_site> mRunners; ///< Where it runs.
    instant mUntil{ 0 };               ///< End of its lease.
  };

  void Prune(instant aNow);
  /** @return those of the runners on which another trial is under way. */
  std::vector<runner_site> BusyRunners(const trial_request& aRequest) const;
  /** @return whether another trial of the same request is under way. */
  bool IsOnTrial(const trial_request& aRequest) const;

  std::map<trial_id, trial_row> mTrials; ///< At most kMaxTrials.
};

} // namespace dunehook
