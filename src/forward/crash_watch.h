/**
 * @file crash_watch.h
 * What one request has to do with crashes of runners: whether it's in quarantine, and what is noted
 * when its answer breaks off or is whole.
 */
#pragma once

#include "forward/upstream_send.h"

namespace dunehook {

/** The watch over one request. Its fingerprint is worked out only if it's needed. */
class crash_watch
{
public:
  /** @param aFacts outlive the watch, as the others do. */
  crash_watch(forward_state& aState, const caller_exchange& aExchange, const request_facts& aFacts)
    : mState(aState)
    , mExchange(aExchange)
    , mFacts(aFacts)
  {
  }

  /** @return whether the request may be sent to no runner. */
  bool Quarantined()
  {
    return !mState.mCrashes.Empty() && mState.mCrashes.StandingOf(Fingerprint(), mState.Now()) ==
                                         request_standing::eQuarantined;
  }
  /** @return when its caller may come back. */
  duration QuarantinedFor() { return mState.mCrashes.QuarantinedFor(Fingerprint(), mState.Now()); }
  /** Notes that the connection to a runner broke on which an answer was awaited.
   * @param aProgressed the caller had something of this run's answer. */
  void ReportConnectionLost(service_runner_id aRunner, bool aProgressed)
  {
    mState.mReportCrash({ Fingerprint(), aRunner, aProgressed });
  }
  /** Notes that a whole answer came. */
  void ReportServed()
  {
    if (!mState.mCrashes.Empty()) {
      mState.mReportServed(Fingerprint());
    }
  }
  request_fingerprint Fingerprint()
  {
    if (!mFingerprint) {
      mFingerprint = FingerprintOf(mExchange, mFacts);
    }
    return mFingerprint;
  }

private:
  forward_state& mState;            ///< Shared.
  const caller_exchange& mExchange; ///< The caller's side.
  const request_facts& mFacts;      ///< Of the request's head.
  request_fingerprint mFingerprint; ///< 0 until it's needed.
};

/** Refuses a request that is in quarantine: it hasn't run, and may come back when that is over. */
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
                       { "fingerprint", aWatch.Fingerprint().mValue },
                       { "come_back_ms", back.count() / 1000 } });
  co_await Refuse<Wire>(aExchange, aFacts.mId, 503, back, "quarantined");
}

} // namespace dunehook
