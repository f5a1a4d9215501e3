/**
 * @file crash_watch.h
 * Relates one request to crashes of runners: tells whether the request is quarantined, and reports
 * lost connections and completed responses.
 */
#pragma once

#include "forward/cut_check.h"

namespace dunehook {

/** Crash tracking of one request and its runs. The fingerprint is computed only when needed. */
class crash_watch
{
public:
  /** All arguments must outlive this object. @param aParts shared parts of its prompt, if it has
   * one. */
  crash_watch(forward_state& aState,
              const caller_exchange& aExchange,
              const request_facts& aFacts,
              part_set aParts = {})
    : mState(aState)
    , mExchange(aExchange)
    , mFacts(aFacts)
    , mParts(std::move(aParts))
  {
  }

  /** Records that a runner is sent the request to answer it. */
  void BeginRun()
  {
    mRunBegan = mState.Now();
    mFirstEventAt.reset();
    mRunProven = false;
  }
  /** Records that events of the run arrived. */
  void NoteEvents()
  {
    const instant now = mState.Now();
    mFirstEventAt = mFirstEventAt.value_or(now);
    if (now - *mFirstEventAt >= kRunProvenTime) {
      NoteProven();
    }
  }
  /** Records that no run is under way. */
  void EndRun() { mRunBegan.reset(); }

  /** @return whether the request is quarantined, for itself or for parts of its prompt, and must
   * not be sent to any runner. */
  bool Quarantined()
  {
    return Status() == quarantine_status::eQuarantined || QuarantinedParts().has_value();
  }
  /** @return whether the request is suspected, and may be sent as a trial only. */
  bool Suspected()
  {
    return Status() == quarantine_status::eSuspected || SuspectedParts().has_value();
  }
  /** @return the remaining time of the quarantine, after which the caller may retry. */
  duration QuarantinedFor()
  {
    return mState.mCrashes.RemainingQuarantine(QuarantineKey(), mState.Now());
  }
  /** @return what a trial is asked for: parts of its prompt, or the request. */
  request_fingerprint TrialKey() { return SuspectedParts().value_or(Fingerprint()); }
  /** @return the key of the quarantine: of parts of its prompt, or of the request. */
  request_fingerprint QuarantineKey() { return QuarantinedParts().value_or(Fingerprint()); }
  /**
   * Reports that the connection to a runner was lost while a response was awaited. If this daemon
   * may be cut off from the runners, that counts as a crash only once others report it too, or the
   * runner has ended.
   * @param aRunner the runner, and @p aAddress its address: its row may have been replaced since
   * the request was sent.
   * @param aProgressed the caller had received part of this run's response.
   * @return whether the runner is to blame.
   */
  asio::awaitable<bool> ReportConnectionLost(service_runner_id aRunner,
                                             endpoint aAddress,
                                             bool aProgressed)
  {
    const crash_report report = ReportOf(aAddress, aProgressed);
    const bool cutOff = co_await IsCutOffAfterLoss(mState, aRunner);
    if (cutOff) {
      mState.mReportUnexplainedLoss(report);
    } else {
      mState.mReportCrash(report);
    }
    co_return !cutOff;
  }
  /** Reports that the caller left: a runner that is at work on the request may crash yet.
   * @param aStatus how far the send got; nothing is reported if the runner has no work of it.
   * The other arguments are those of ReportConnectionLost(). */
  void ReportAbandoned(const endpoint& aRunner, send_status aStatus, bool aProgressed)
  {
    if (aStatus == send_status::eAnswered || aStatus == send_status::eUnknown) {
      mState.mReportAbandoned(ReportOf(aRunner, aProgressed));
    }
  }
  /** Reports that a complete response arrived. */
  void ReportServed()
  {
    if (mFirstEventAt) {
      NoteProven();
    }
    if (!mState.mCrashes.Empty()) {
      mState.mReportServed(Fingerprint());
    }
  }
  /** @return where a runner is that is about to be used. */
  runner_site SiteOf(service_runner_id aRunner) const
  {
    const runner_state* const runner = mState.mRunners.Find(aRunner);
    return runner == nullptr ? runner_site{ aRunner.mValue } : SiteAt(runner->mEntry.mAddress);
  }
  request_fingerprint Fingerprint()
  {
    if (!mFingerprint) {
      mFingerprint = FingerprintOf(mExchange, mFacts);
    }
    return mFingerprint;
  }

private:
  /** @return a report of the run that is under way, if one is, at a runner. */
  crash_report ReportOf(const endpoint& aRunner, bool aProgressed)
  {
    crash_report report{ Fingerprint(), SiteAt(aRunner), aProgressed, {}, {}, {} };
    const instant now = mState.Now();
    const bool mayHaveCaused =
      mRunBegan && (!mFirstEventAt || now - *mFirstEventAt < kRunProvenTime);
    if (mayHaveCaused) {
      report.mJustBegan = now - *mRunBegan;
      report.mParts = mParts;
    }
    return report;
  }
  /** Tells that the run's parts crash no runner, once a run. */
  void NoteProven()
  {
    if (mRunBegan && !std::exchange(mRunProven, true) && !mParts.empty()) {
      mState.mReportWentOn(mParts, *mRunBegan);
    }
  }
  std::optional<request_fingerprint> SuspectedParts() const
  {
    return mState.mCrashes.SuspectedPartsIn(mParts, mState.Now());
  }
  std::optional<request_fingerprint> QuarantinedParts() const
  {
    return mState.mCrashes.QuarantinedPartsIn(mParts, mState.Now());
  }
  quarantine_status Status()
  {
    return mState.mCrashes.Empty() ? quarantine_status::eClear
                                   : mState.mCrashes.StatusOf(Fingerprint(), mState.Now());
  }

  forward_state& mState;                ///< State shared by the daemon's components.
  const caller_exchange& mExchange;     ///< The caller's connection and request.
  const request_facts& mFacts;          ///< Parsed from the request's head.
  part_set mParts;                      ///< Shared parts of its prompt.
  request_fingerprint mFingerprint;     ///< Empty until first needed.
  std::optional<instant> mRunBegan;     ///< When the run under way was sent.
  std::optional<instant> mFirstEventAt; ///< When its first events arrived.
  bool mRunProven = false;              ///< It went on, and that was told.
};

/** Refuses a quarantined request: it hasn't run, and may be retried when the quarantine ends. */
template<wire_format Wire>
asio::awaitable<void>
RefuseQuarantined(forward_state& aState,
                  caller_exchange& aExchange,
                  const request_facts& aFacts,
                  const std::string& aRoute,
                  crash_watch& aWatch)
{
  const duration back = aWatch.QuarantinedFor();
  aState.mMetrics.CountRequest(aRoute, "refused", "quarantined");
  aState.LogDecision(log_level::eWarning,
                     "quarantine_kept",
                     aFacts.mId,
                     { { "route", aRoute },
                       { "fingerprint", aWatch.QuarantineKey().mValue },
                       { "come_back_ms", back.count() / 1000 } });
  co_await Refuse<Wire>(aExchange, aFacts.mId, 503, back, "quarantined");
}

} // namespace dunehook
