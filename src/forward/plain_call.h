/**
 * @file plain_call.h
 * Forwards requests to plain services. A request that may not be repeated is sent to one runner
 * only, unless it's certain that nothing ran; only then is the caller told that it didn't run.
 */
#pragma once

#include "forward/relay_call.h"
#include "forward/suspect_trial.h"

namespace dunehook {

/**
 * Bytes of a response that are buffered before the caller gets the first: a response cut below this
 * size can still be replaced by another runner's.
 */
inline constexpr std::size_t kMaxBufferedBytes = 65536;
/** A repeatable request waits this many latency targets for one runner before it tries another. */
inline constexpr int kTargetsBeforeRetry = 2;
/**
 * A request waits for a backing-off runner for its latency target divided by this: a later refusal
 * is of no use to the caller.
 */
inline constexpr int kRunnerWaitDivisor = 5;
/** Time between checks for an available runner. */
inline constexpr duration kRunnerPollInterval = std::chrono::milliseconds(10);
/** Attempts after which a request is abandoned; a failed connection sends nothing. */
inline constexpr std::uint32_t kMaxConnectAttempts = 4;
/** The same while no runner is reached: a refusal would come too late after further ones. */
inline constexpr std::uint32_t kMaxAttemptsCutOff = 1;
/** Mean time after which the caller of a request that found no runner may retry. */
inline constexpr duration kPlainRetryAfter = std::chrono::milliseconds(150);

/** Serves one plain request. */
template<wire_format Wire>
class plain_call
{
public:
  /** @param aSoftware software that began the stream; none if it begins with this request. */
  plain_call(forward_state& aState,
             caller_exchange_ptr aExchange,
             request_facts aFacts,
             std::shared_ptr<const route_table> aRoutes,
             const forward_route& aRoute,
             const forward_service& aService,
             instant aArrived,
             software_id aSoftware)
    : mState(aState)
    , mExchange(std::move(aExchange))
    , mFacts(std::move(aFacts))
    , mRoutes(std::move(aRoutes))
    , mRoute(aRoute)
    , mService(aService)
    , mCrashWatch(aState, *mExchange, mFacts)
    , mTrial(aState, mCrashWatch)
    , mSoftware(aSoftware)
    , mArrived(aArrived)
    , mDeadline(aArrived + std::min(aRoute.mTimeout, mFacts.mTimeLeft.value_or(aRoute.mTimeout)))
  {
  }

  /**
   * Serves the request until it ends.
   * @param aMayRelay whether another daemon may serve it where this one reaches no runner.
   */
  asio::awaitable<void> Run(bool aMayRelay)
  {
    mMayRelay = aMayRelay;
    mRelayed = !aMayRelay;
    if (mState.ShouldRelay(mService.mName)) {
      const bool ended = co_await Relay();
      if (ended) {
        co_return;
      }
    }
    mState.BudgetOf(mService.mName).NoteRequest(mState.Now());
    bool again = true;
    while (again && !mExchange->Disconnected()) {
      again = co_await TryOnce();
    }
    mTrial.End();
  }

private:
  bool MayRetry() const { return mRoute.mRepeat == repeat_rule::eRepeatable; }
  duration TimeLeft() const { return mState.TimeLeft(mDeadline); }
  instant LatestResponse() const { return mDeadline + kResponseSlack; }
  duration MaxRunnerWait() const { return mRoute.mFirstAnswer / kRunnerWaitDivisor; }

  /**
   * @return whether a backing-off runner accepts requests again while this one may wait. Scans all
   * runners, so it's called only for a request that found none.
   */
  bool RunnerWillAcceptSoon() const
  {
    return mState.mRunners.HasRunner(mService.mName, mSoftware) &&
           mState.AcceptsRequestsFrom(mService.mName, mRoute.mRank, mSoftware) <
             mArrived + MaxRunnerWait();
  }

  /**
   * Takes a retry from the budget.
   * @return whether another runner may be tried after one that the request reached.
   */
  asio::awaitable<bool> TakeRetryBudget()
  {
    if (mSends >= mRoute.mMaxRunners || TimeLeft() <= duration{ 0 }) {
      co_return false;
    }
    retry_demand demand;
    demand.mService = mService.mName;
    demand.mRequest = mFacts.mId;
    demand.mRank = kNewRequestRank + mRoute.mRank;
    const bool allowed = co_await mState.mTakeRetries(std::move(demand));
    co_return allowed && !mExchange->Disconnected();
  }

  /**
   * Tries one runner.
   * @return whether to try another.
   */
  asio::awaitable<bool> TryOnce()
  {
    if (mCrashWatch.Quarantined()) {
      co_await GiveUpQuarantined();
      co_return false;
    }
    const runner_state* const runner = mState.mRunners.Choose(
      mService.mName, UnavailableRunners(), mState.Now(), mState.RandomFraction(), mSoftware);
    const duration waited = mState.Now() - mArrived;
    const bool mayWait = mAttempts == 0 && waited < MaxRunnerWait();
    if (runner == nullptr && !mTrial.Busy().empty()) {
      mTrial.ForgetBusy();
      const bool again = co_await WaitForTrial();
      co_return again;
    }
    if (runner == nullptr && mayWait && RunnerWillAcceptSoon()) {
      co_await Sleep(kRunnerPollInterval);
      co_return true;
    }
    const bool cut = mState.IsCutOff(mService.mName);
    const std::uint32_t attempts = cut ? kMaxAttemptsCutOff : kMaxConnectAttempts;
    if (runner == nullptr || mAttempts >= attempts || TimeLeft() <= duration{ 0 }) {
      // A relayed request may run on as many runners as a new one.
      if (mSends == 0 && mState.MayBeCutOff(mService.mName)) {
        const bool ended = co_await Relay();
        if (ended) {
          co_return false;
        }
      }
      co_await GiveUp(runner == nullptr ? NoRunnerReason() : "unreachable");
      co_return false;
    }
    const service_runner_id id = runner->mId;
    std::vector<service_runner_id> runners(1, id);
    const bool trial = co_await mTrial.Begin(std::move(runners));
    if (!trial) {
      const bool again = co_await WaitForTrial();
      co_return again;
    }
    const permit_demand demand{ id, 1, mRoute.mRank, kPermitValidity };
    const result<send_permit> permit = co_await mState.mTakePermit(demand);
    if (!permit) { // The runner is held now, so another one is chosen.
      co_return true;
    }
    const bool again = co_await SendTo(id, permit.value());
    mTrial.End();
    co_return again;
  }

  /**
   * Has another daemon serve the request, once at most.
   * @pre it hasn't reached a runner.
   * @return whether it has ended.
   */
  asio::awaitable<bool> Relay()
  {
    if (!std::exchange(mMayRelay, false)) {
      co_return false;
    }
    relay_progress progress;
    progress.mSoftware = mSoftware;
    relay_call<Wire> relay(mState, *mExchange, mFacts.mId, mRoute, mService.mName, progress);
    const relay_outcome end = co_await relay.Run(mDeadline);
    if (end == relay_outcome::eUncertain) {
      mMayHaveRun = true;
      co_await GiveUp("relay_lost");
    }
    co_return end != relay_outcome::eNoDaemon;
  }

  /** Waits for a trial of a suspected request. @return whether to try again. */
  asio::awaitable<bool> WaitForTrial()
  {
    if (mTrial.WasBusy()) { // Another runner may be free of suspected requests.
      co_return true;
    }
    const bool again = co_await mTrial.WaitForRetry(TimeLeft());
    if (!again) {
      co_await GiveUp("crash_suspected");
    }
    co_return again;
  }

  /** @return runners that the request was sent to, or that a limit keeps it from. */
  std::set<service_runner_id> UnavailableRunners() const
  {
    std::set<service_runner_id> unavailable = mTriedRunners;
    for (const auto& [runner, until] : mState.mPermits.Held(mRoute.mRank, mState.Now())) {
      unavailable.insert(runner);
    }
    unavailable.insert(mTrial.Busy().begin(), mTrial.Busy().end());
    return unavailable;
  }

  /** @return why no runner was found. */
  std::string_view NoRunnerReason() const
  {
    return mState.IsHeldByLimit(mService.mName, mRoute.mRank) ? "runner_limit" : "no_runner";
  }

  /**
   * Sends the request to a runner.
   * @return whether to try another.
   */
  asio::awaitable<bool> SendTo(service_runner_id aRunner, send_permit aPermit)
  {
    runner_state* const runner = mState.mRunners.Find(aRunner);
    // All of this may have changed while the permit was awaited.
    if (runner == nullptr || mCrashWatch.Quarantined() || mExchange->Disconnected() ||
        !mState.mRunners.MayReceive(*runner, mState.Now())) {
      co_return true;
    }
    const endpoint address = runner->mEntry.mAddress;
    mRunnerName = runner->mEntry.mName;
    mRunSoftware = SoftwareOf(runner->mEntry);
    send_plan plan;
    plan.mRunnerName = runner->mEntry.mName;
    plan.mRunner = aRunner;
    plan.mTimeLeft = TimeLeft();
    plan.mRank = mRoute.mRank;
    mTriedRunners.insert(aRunner);
    ++mAttempts;
    ++runner->mUnderWay;
    const bool mayRetryLater = MayRetry() && mSends + 1 < mRoute.mMaxRunners;
    const instant retryAt = mState.Now() + mRoute.mFirstAnswer * kTargetsBeforeRetry;
    const instant until = mayRetryLater ? std::min(LatestResponse(), retryAt) : LatestResponse();
    upstream_response answer = co_await SendToRunner<Wire>(
      mState, *mExchange, address, plan, aPermit, mFacts.mId, !MayRetry(), until);
    const bool again = co_await HandleSendResult(aRunner, address, answer, until);
    if (runner_state* const still = mState.mRunners.Find(aRunner)) {
      --still->mUnderWay;
    }
    co_return again;
  }

  /**
   * Handles the outcome of a send.
   * @param aUntil when a response that is held must be whole.
   * @return whether to try another runner.
   */
  asio::awaitable<bool> HandleSendResult(service_runner_id aRunner,
                                         endpoint aAddress,
                                         upstream_response& aAnswer,
                                         instant aUntil)
  {
    if (mExchange->Disconnected()) {
      NoteOutcome(aRunner, send_outcome::eAbandoned);
      mCrashWatch.ReportAbandoned(aAddress, aAnswer.mSendStatus, false);
      co_return false;
    }
    if (aAnswer.mSendStatus == send_status::eNotSent) {
      NoteOutcome(aRunner, send_outcome::eUnreachable);
      co_return true; // Nothing was sent, so another runner isn't a retry.
    }
    ++mSends;
    std::string body;
    if (aAnswer.mConnection) {
      const result<void> read = co_await ReadBody(
        mState, aAnswer.mConnection, large_body::ePassedOn, body, kMaxBufferedBytes, aUntil);
      NoteOrigin(aAnswer, body);
      if (!read && read.error() == errc::eBodyTooLarge && IsOwnAnswer(aAnswer.mFacts)) {
        co_await Stream(aRunner, aAddress, aAnswer, body);
        co_return false;
      }
      ReturnConnection(mState, *mExchange, aAddress, aAnswer.mConnection);
      mState.mMetrics.CountAnswerEnd(FramingName(aAnswer.mFraming), read.has_value());
      if (!read && aAnswer.mSendStatus == send_status::eAnswered) {
        aAnswer.mSendStatus = send_status::eUnknown;
        aAnswer.mConnectionLost = read.error() == errc::eConnectionLost;
      }
    }
    if (mExchange->Disconnected()) {
      NoteOutcome(aRunner, send_outcome::eAbandoned);
      if (aAnswer.mSendStatus == send_status::eUnknown) { // Else the run has ended.
        mCrashWatch.ReportAbandoned(aAddress, aAnswer.mSendStatus, false);
      }
      co_return false;
    }
    if (aAnswer.mSendStatus == send_status::eAnswered && !IsOwnAnswer(aAnswer.mFacts)) {
      aAnswer.mSendStatus = send_status::eUnknown;
    }
    bool again = false;
    if (aAnswer.mSendStatus == send_status::eNotRun) {
      again = co_await HandleRefusal(aRunner, aAnswer);
    } else if (aAnswer.mSendStatus == send_status::eUnknown) {
      again = co_await HandleLostResponse(aRunner, aAddress, aAnswer);
    } else {
      again = co_await ForwardResponse(aRunner, aAnswer, body);
    }
    co_return again;
  }

  /** Keeps which software began a stream that its caller may take up. */
  void NoteOrigin(const upstream_response& aAnswer, const std::string& aBody) const
  {
    if (mRoute.mResumable && !mSoftware && aAnswer.mFacts.mStatus < 300 && !aBody.empty()) {
      mState.mNoteOrigin(mService.mName, mFacts.mId, mRunSoftware);
    }
  }

  /**
   * Handles a runner's statement that it didn't run the request.
   * @return whether to try another.
   */
  asio::awaitable<bool> HandleRefusal(service_runner_id aRunner, const upstream_response& aAnswer)
  {
    NoteOutcome(aRunner, OutcomeOf(aAnswer));
    const bool again = co_await TakeRetryBudget();
    if (!again) {
      co_await GiveUp("runner_refused");
    }
    co_return again;
  }

  /**
   * Records that a response wasn't received whole.
   * @param aProgressed the caller has received part of it.
   */
  asio::awaitable<void> NoteLostResponse(service_runner_id aRunner,
                                         endpoint aAddress,
                                         const upstream_response& aAnswer,
                                         bool aProgressed)
  {
    bool atFault = true;
    if (aAnswer.mConnectionLost) {
      atFault = co_await mCrashWatch.ReportConnectionLost(aRunner, aAddress, aProgressed);
    }
    NoteOutcome(aRunner, atFault ? OutcomeOf(aAnswer) : send_outcome::eUnreachable);
    mState.LogDecision(log_level::eWarning,
                       "answer_lost",
                       mFacts.mId,
                       { { "runner", mRunnerName },
                         { "outcome", OutcomeName(OutcomeOf(aAnswer)) },
                         { "may_repeat", MayRetry() && !aProgressed },
                         { "sends", mSends },
                         { "fingerprint", mCrashWatch.Fingerprint().mValue },
                         { "caller", mExchange->CallerAddress() } });
    mState.mMetrics.CountBrokenAnswer(mRoute.mName);
  }

  /**
   * Handles a request that may have run without a complete response.
   * @return whether to try another runner.
   */
  asio::awaitable<bool> HandleLostResponse(service_runner_id aRunner,
                                           endpoint aAddress,
                                           const upstream_response& aAnswer)
  {
    co_await NoteLostResponse(aRunner, aAddress, aAnswer, false);
    mMayHaveRun = true;
    bool again = MayRetry();
    if (again) {
      again = co_await TakeRetryBudget();
    }
    if (!again) {
      co_await GiveUp(aAnswer.mTimedOut ? "runner_silent" : "answer_broken");
    }
    co_return again;
  }

  /**
   * Forwards a whole response, unless it's a failure that another runner may avoid.
   * @return whether to try another runner.
   */
  asio::awaitable<bool> ForwardResponse(service_runner_id aRunner,
                                        const upstream_response& aAnswer,
                                        const std::string& aBody)
  {
    const bool failed = aAnswer.mFacts.mStatus >= 500;
    NoteOutcome(aRunner, failed ? send_outcome::eFailed : send_outcome::eServed);
    LogResponse(aAnswer);
    bool again = failed && MayRetry();
    if (again) {
      again = co_await TakeRetryBudget();
    }
    if (again) {
      mFailure.emplace(
        failure_response{ aAnswer.mFacts.mStatus, aAnswer.mHead, aBody, aAnswer.mFraming });
      co_return true;
    }
    const bool success = aAnswer.mFacts.mStatus < 300;
    mCrashWatch.ReportServed(); // An error response counts as well: the runner is still alive.
    mState.mMetrics.CountRequest(
      mRoute.mName, success ? "served" : "failed", success ? "" : "runner_failure");
    co_await mExchange->Respond(aAnswer.mFacts.mStatus, aAnswer.mHead, aBody, aAnswer.mFraming);
    co_return false;
  }

  /** Logs a runner's response and records its latency. */
  void LogResponse(const upstream_response& aAnswer)
  {
    const bool good = aAnswer.mFacts.mStatus < 500;
    const duration took = mState.Now() - mArrived;
    mState.mMetrics.ObserveFirstAnswer(mRoute.mName, ToSeconds(took));
    mState.LogDecision(good ? log_level::eInfo : log_level::eWarning,
                       "request_answered",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "service", mService.mName },
                         { "runner", mRunnerName },
                         { "status", aAnswer.mFacts.mStatus },
                         { "framing", FramingName(aAnswer.mFraming) },
                         { "sends", mSends },
                         { "ms", took.count() / 1000 } });
  }

  /** Forwards a large response piece by piece, until the request's time is over. */
  asio::awaitable<void> Stream(service_runner_id aRunner,
                               const endpoint& aAddress,
                               upstream_response& aAnswer,
                               std::string& aHeld)
  {
    upstream_connection& upstream = *aAnswer.mConnection;
    bool open = co_await mExchange->StartBody(
      aAnswer.mFacts.mStatus, aAnswer.mHead, aAnswer.mFraming, upstream.BodyLength());
    bool more = true;
    while (open && more) {
      open = co_await mExchange->Write(aHeld);
      aHeld.clear();
      aHeld.shrink_to_fit(); // A large response may take long.
      const result<bool> read = co_await upstream.ReadSome(aHeld, LatestResponse());
      if (!read) {
        upstream.Abort();
        mExchange->ResetConnection();
        aAnswer.mSendStatus = send_status::eUnknown;
        aAnswer.mConnectionLost = read.error() == errc::eConnectionLost;
        aAnswer.mTimedOut = read.error() == errc::eDeadlinePassed;
        mState.mMetrics.CountAnswerEnd(FramingName(aAnswer.mFraming), false);
        co_await NoteLostResponse(aRunner, aAddress, aAnswer, true);
        co_return;
      }
      more = read.value();
    }
    if (open) {
      open = co_await mExchange->Write(aHeld);
    }
    if (open) {
      co_await mExchange->EndBody(aAnswer.mFraming);
    }
    NoteOutcome(aRunner, more ? send_outcome::eAbandoned : send_outcome::eServed);
    ReturnConnection(mState, *mExchange, aAddress, aAnswer.mConnection);
  }

  /** Sends the final response to a quarantined request. */
  asio::awaitable<void> GiveUpQuarantined()
  {
    if (mMayHaveRun || mFailure) {
      co_await GiveUp("quarantined");
    } else {
      co_await RefuseQuarantined<Wire>(mState, *mExchange, mFacts, mRoute.mName, mCrashWatch);
    }
  }

  /** Sends the final response to a request that no runner served. */
  asio::awaitable<void> GiveUp(std::string_view aReason)
  {
    if (mFailure) {
      co_await mExchange->Respond(
        mFailure->mStatus, mFailure->mHead, mFailure->mBody, mFailure->mFraming);
      co_return;
    }
    unsigned status = 503;
    if (mMayHaveRun) {
      status = TimeLeft() <= duration{ 0 } ? 504 : 502;
    }
    const duration back = status == 503 ? RetryAfter() + mTrial.Wait() : duration{ 0 };
    mState.mMetrics.CountRequest(mRoute.mName, status == 503 ? "refused" : "failed", aReason);
    mState.LogDecision(log_level::eWarning,
                       "request_given_up",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "status", status },
                         { "reason", aReason },
                         { "sends", mSends },
                         { "held_ms", (mState.Now() - mArrived).count() / 1000 } });
    if (mRelayed && status == 503 && mSends == 0 && mState.MayBeCutOff(mService.mName)) {
      co_await RefuseRelayed(*mExchange, aReason);
      co_return;
    }
    co_await Refuse<Wire>(*mExchange, mFacts.mId, status, back, aReason);
  }

  /** @return the time after which the caller of a request that found no runner may retry. */
  duration RetryAfter()
  {
    const double spread = 0.5 + mState.RandomFraction();
    const duration back = FromSeconds(ToSeconds(kPlainRetryAfter) * spread);
    if (!mState.mRunners.HasRunner(mService.mName, mSoftware)) {
      return back;
    }
    const duration rest =
      mState.AcceptsRequestsFrom(mService.mName, mRoute.mRank, mSoftware) - mState.Now();
    return back + std::max({ duration{ 0 }, rest, TimeToReturnSlot() });
  }

  /** @return the time until a refused caller's turn, if limits keep requests from runners. */
  duration TimeToReturnSlot()
  {
    double rate = 0.0;
    for (const auto& [id, until] : mState.mPermits.Held(mRoute.mRank, mState.Now())) {
      const runner_state* const runner = mState.mRunners.Find(id);
      const bool serves = runner != nullptr && runner->mEntry.mService == mService.mName;
      rate += serves ? mState.mPermits.Limits().RateOf(id, mState.Now()) : 0.0;
    }
    if (rate <= 0.0) {
      return duration{ 0 };
    }
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, mState.mDaemons));
    return mState.mLimitReturns[mService.mName].Next(rate / daemons, mState.Now());
  }

  void NoteOutcome(service_runner_id aRunner, send_outcome aOutcome)
  {
    mState.mRunners.NoteOutcome(aRunner, aOutcome, mState.Now());
  }

  /** A runner's error response, for the caller if no other runner does better. */
  struct failure_response
  {
    unsigned mStatus = 0;                          ///< HTTP status.
    http::fields mHead;                            ///< Headers for the caller.
    std::string mBody;                             ///< Whole body.
    body_framing mFraming = body_framing::eLength; ///< How its end was marked.
  };

  forward_state& mState;                      ///< State shared by the daemon's components.
  caller_exchange_ptr mExchange;              ///< The caller's connection and request.
  request_facts mFacts;                       ///< Parsed from the request's head.
  std::shared_ptr<const route_table> mRoutes; ///< Keeps mRoute and mService alive.
  const forward_route& mRoute;                ///< The request's route.
  const forward_service& mService;            ///< The service that serves the request.
  crash_watch mCrashWatch;                    ///< Crash tracking of the request.
  suspect_trial mTrial;                       ///< Its trial, if it's suspected.
  software_id mSoftware;                      ///< Software that began a stream; none: any.
  instant mArrived;                           ///< When the request arrived.
  instant mDeadline;                          ///< End of the request's time limit.
  std::set<service_runner_id> mTriedRunners;  ///< Runners tried so far.
  std::string mRunnerName;                    ///< Name of the runner tried last.
  software_id mRunSoftware;                   ///< Its software.
  std::uint32_t mSends = 0;    ///< Runners that the request reached; at most mMaxRunners.
  std::uint32_t mAttempts = 0; ///< Runners tried, reached or not.
  bool mRelayed = false;       ///< Another daemon relays it.
  bool mMayRelay = false;      ///< It may be relayed, and wasn't yet.
  bool mMayHaveRun = false;    ///< A runner may have run the request.
  std::optional<failure_response> mFailure; ///< The last error response that was retried.
};

} // namespace dunehook
