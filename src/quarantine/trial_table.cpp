/**
 * @file trial_table.cpp
 * Decides on requests for trials.
 */
#include "quarantine/trial_table.h"

#include <algorithm>

namespace dunehook {

void
trial_table::Prune(instant aNow)
{
  std::erase_if(mTrials, [&](const auto& aRow) { return aRow.second.mUntil <= aNow; });
}

std::size_t
trial_table::Count(instant aNow)
{
  Prune(aNow);
  return mTrials.size();
}

std::vector<runner_site>
trial_table::BusyRunners(const trial_request& aRequest) const
{
  std::vector<runner_site> busy;
  for (const auto& [trial, row] : mTrials) {
    for (const runner_site runner : row.mRunners) {
      const bool wanted = std::find(aRequest.mRunners.begin(), aRequest.mRunners.end(), runner) !=
                          aRequest.mRunners.end();
      if (trial != aRequest.mTrial && wanted) {
        busy.push_back(runner);
      }
    }
  }
  return busy;
}

bool
trial_table::IsOnTrial(const trial_request& aRequest) const
{
  return std::any_of(mTrials.begin(), mTrials.end(), [&](const auto& aRow) {
    return aRow.first != aRequest.mTrial && aRow.second.mRequest == aRequest.mRequest;
  });
}

trial_reply
trial_table::Answer(const trial_request& aRequest, crash_ledger& aLedger, instant aNow)
{
  Prune(aNow);
  trial_reply reply;
  reply.mRequest = aRequest.mRequest;
  reply.mRound = aRequest.mRound;
  if (aRequest.mRunners.empty()) {
    mTrials.erase(aRequest.mTrial);
    reply.mState = trial_state::eGranted;
    return reply;
  }
  if (aLedger.StatusOf(aRequest.mRequest, aNow) == quarantine_status::eClear) {
    aLedger.ApplyNotice({ aRequest.mRequest, quarantine_status::eSuspected, duration{ 0 } }, aNow);
  }
  const duration quarantine = aLedger.RemainingQuarantine(aRequest.mRequest, aNow);
  const instant heldUntil = aLedger.HeldUntil(aRequest.mRequest);
  const bool isKept = mTrials.contains(aRequest.mTrial);
  reply.mBusy = BusyRunners(aRequest);
  if (quarantine > duration{ 0 }) {
    reply.mState = trial_state::eHeld;
    reply.mWait = quarantine;
  } else if (!isKept && !aLedger.IsSuspected(aRequest.mRequest, aNow)) {
    aLedger.ClearSuspicion(aRequest.mRequest);
    reply.mState = trial_state::eNotSuspected;
  } else if (heldUntil > aNow) {
    reply.mState = trial_state::eHeld;
    reply.mWait = heldUntil - aNow;
  } else if (IsOnTrial(aRequest)) {
    reply.mState = trial_state::eHeld;
    reply.mWait = kTrialRetryInterval;
  } else if (!reply.mBusy.empty() || (!isKept && mTrials.size() >= kMaxTrials)) {
    reply.mState = trial_state::eRunnerBusy;
    reply.mWait = kTrialRetryInterval;
  } else {
    mTrials[aRequest.mTrial] = { aRequest.mRequest, aRequest.mRunners, aNow + kTrialLease };
    reply.mState = trial_state::eGranted;
  }
  return reply;
}

} // namespace dunehook
