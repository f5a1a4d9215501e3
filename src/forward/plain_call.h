/**
 * @file plain_call.h
 * Forwards requests to plain services. A request that may not be repeated is sent to one runner
 * only, unless it's certain that nothing ran; the caller is told that it didn't run only then.
 */
#pragma once

#include "forward/crash_watch.h"

namespace dunehook {

/** Bytes of an answer that are held before the caller gets the first: an answer cut below this
 * can still be replaced by another runner's. */
inline constexpr std::size_t kMaxBufferedBytes = 65536;
/** A repeatable request waits this many latency targets for one runner before it tries another. */
inline constexpr int kTargetsBeforeRetry = 2;
/** A request waits for a runner that rests for this part of its latency target: a refusal that
 * comes later is no use to the caller. */
inline constexpr int kRunnerWaitDivisor = 5;
/** Time between looks for a runner. */
inline constexpr duration kRunnerPollInterval = std::chrono::milliseconds(10);
/** Connections that may fail before a request is given up on; nothing is sent by them. */
inline constexpr std::uint32_t kMaxConnectAttempts = 4;
/** A caller whose request found no runner may come back about then. */
inline constexpr duration kPlainRetryAfter = std::chrono::milliseconds(150);

/** One plain request. */
template<wire_format Wire>
class plain_call
{
public:
  plain_call(forward_state& aState,
             caller_exchange_ptr aExchange,
             request_facts aFacts,
             std::shared_ptr<const route_table> aRoutes,
             const forward_route& aRoute,
             const forward_service& aService,
             instant aArrived)
    : mState(aState)
    , mExchange(std::move(aExchange))
    , mFacts(std::move(aFacts))
    , mRoutes(std::move(aRoutes))
    , mRoute(aRoute)
    , mService(aService)
    , mCrashWatch(aState, *mExchange, mFacts)
    , mArrived(aArrived)
    , mDeadline(aArrived + std::min(aRoute.mTimeout, mFacts.mTimeLeft.value_or(aRoute.mTimeout)))
  {
  }

  /** Serves the request to its end. */
  asio::awaitable<void> Run()
  {
    mState.BudgetOf(mService.mName).NoteRequest();
    bool again = true;
    while (again && !mExchange->Disconnected()) {
      again = co_await TryOnce();
    }
  }

private:
  bool MayRetry() const { return mRoute.mRepeat == repeat_rule::eRepeatable; }
  duration TimeLeft() const { return mDeadline - mState.Now(); }
  duration MaxRunnerWait() const { return mRoute.mFirstAnswer / kRunnerWaitDivisor; }

  /** @return whether a runner that rests wants requests again while this one may wait. Looks at all
   * runners: only for a request that found none. */
  bool RunnerWillAcceptSoon() const
  {
    return mState.mRunners.HasRunner(mService.mName) &&
           mState.mRunners.WantedFrom(mService.mName) < mArrived + MaxRunnerWait();
  }

  /** @return whether another runner may be tried after one that the request reached. */
  bool TakeRetryBudget()
  {
    const bool allowed = mSends < mRoute.mMaxRunners && TimeLeft() > duration{ 0 } &&
                         mState.BudgetOf(mService.mName).Take(mState.Now());
    if (allowed) {
      mState.mMetrics.CountRepeats(mService.mName, 1.0);
    }
    return allowed;
  }

  /** Tries one runner. @return whether to try another. */
  asio::awaitable<bool> TryOnce()
  {
    if (mCrashWatch.Quarantined()) {
      co_await GiveUpQuarantined();
      co_return false;
    }
    runner_state* const runner =
      mState.mRunners.Choose(mService.mName, mTriedRunners, mState.Now(), mState.RandomFraction());
    const duration waited = mState.Now() - mArrived;
    const bool mayWait = mAttempts == 0 && waited < MaxRunnerWait();
    if (runner == nullptr && mayWait && RunnerWillAcceptSoon()) {
      co_await Sleep(kRunnerPollInterval);
      co_return true;
    }
    if (runner == nullptr || mAttempts >= kMaxConnectAttempts || TimeLeft() <= duration{ 0 }) {
      co_await GiveUp(runner == nullptr ? "no_runner" : "unreachable");
      co_return false;
    }
    const service_runner_id id = runner->mId;
    const endpoint address = runner->mEntry.mAddress;
    mRunnerName = runner->mEntry.mName;
    send_plan plan;
    plan.mRunnerName = runner->mEntry.mName;
    plan.mRunner = id;
    plan.mTimeLeft = TimeLeft();
    plan.mRank = mRoute.mRank;
    mTriedRunners.insert(id);
    ++mAttempts;
    ++runner->mUnderWay;
    const bool mayRepeatLater = MayRetry() && mSends + 1 < mRoute.mMaxRunners;
    const duration limit = mayRepeatLater ? std::min(TimeLeft() + kResponseSlack,
                                                     mRoute.mFirstAnswer * kTargetsBeforeRetry)
                                          : TimeLeft() + kResponseSlack;
    upstream_response answer = co_await SendToRunner<Wire>(
      mState, *mExchange, address, plan, mFacts.mId, !MayRetry(), limit);
    const bool again = co_await HandleSendResult(id, address, answer, limit);
    if (runner_state* const still = mState.mRunners.Find(id)) {
      --still->mUnderWay;
    }
    co_return again;
  }

  /** Acts on the end of a send. @return whether to try another runner. */
  asio::awaitable<bool> HandleSendResult(service_runner_id aRunner,
                                         endpoint aAddress,
                                         upstream_response& aAnswer,
                                         duration aLimit)
  {
    if (mExchange->Disconnected()) {
      NoteOutcome(aRunner, send_outcome::eAbandoned);
      co_return false;
    }
    if (aAnswer.mSendStatus == send_status::eNotSent) {
      NoteOutcome(aRunner, send_outcome::eUnreachable);
      co_return true; // Nothing left this daemon: another runner is no repeat.
    }
    ++mSends;
    std::string body;
    if (aAnswer.mConnection) {
      const result<void> read =
        co_await ReadBody(*aAnswer.mConnection, body, kMaxBufferedBytes, aLimit);
      if (!read && read.error() == errc::eBodyTooLarge) {
        co_await Stream(aAddress, aAnswer, body);
        NoteOutcome(aRunner, send_outcome::eServed);
        co_return false;
      }
      ReturnConnection(mState, *mExchange, aAddress, aAnswer.mConnection);
      if (!read && aAnswer.mSendStatus == send_status::eAnswered) {
        aAnswer.mSendStatus = send_status::eUnknown;
        aAnswer.mConnectionLost = read.error() == errc::eConnectionLost;
      }
    }
    if (mExchange->Disconnected()) {
      NoteOutcome(aRunner, send_outcome::eAbandoned);
      co_return false;
    }
    const bool success = aAnswer.mFacts.mStatus < 300;
    if (aAnswer.mSendStatus == send_status::eAnswered && success && !aAnswer.mFacts.mHasReceipt) {
      aAnswer.mSendStatus = send_status::eUnknown; // Not the runner's own answer.
    }
    bool again = false;
    if (aAnswer.mSendStatus == send_status::eNotRun) {
      again = co_await HandleRefusal(aRunner, aAnswer);
    } else if (aAnswer.mSendStatus == send_status::eUnknown) {
      again = co_await HandleLostResponse(aRunner, aAnswer);
    } else {
      again = co_await ForwardResponse(aRunner, aAnswer, body);
    }
    co_return again;
  }

  /** The runner didn't run the request. @return whether to try another. */
  asio::awaitable<bool> HandleRefusal(service_runner_id aRunner, const upstream_response& aAnswer)
  {
    NoteOutcome(aRunner, OutcomeOf(aAnswer));
    if (TakeRetryBudget()) {
      co_return true;
    }
    co_await GiveUp("runner_refused");
    co_return false;
  }

  /** The request may have run, and there's no whole answer. @return whether to try another. */
  asio::awaitable<bool> HandleLostResponse(service_runner_id aRunner,
                                           const upstream_response& aAnswer)
  {
    NoteOutcome(aRunner, OutcomeOf(aAnswer));
    if (aAnswer.mConnectionLost) {
      mCrashWatch.ReportConnectionLost(aRunner, false);
    }
    mState.LogDecision(log_level::eWarning,
                       "answer_lost",
                       mFacts.mId,
                       { { "runner", mRunnerName },
                         { "outcome", OutcomeName(OutcomeOf(aAnswer)) },
                         { "may_repeat", MayRetry() },
                         { "sends", mSends },
                         { "fingerprint", mCrashWatch.Fingerprint().mValue },
                         { "caller", mExchange->CallerAddress() } });
    mState.mMetrics.CountBrokenAnswer(mRoute.mName);
    mMayHaveRun = true;
    if (MayRetry() && TakeRetryBudget()) {
      co_return true;
    }
    co_await GiveUp(aAnswer.mTimedOut ? "runner_silent" : "answer_broken");
    co_return false;
  }

  /** Passes a whole answer on, unless it's a failure that another runner may mend. */
  asio::awaitable<bool> ForwardResponse(service_runner_id aRunner,
                                        const upstream_response& aAnswer,
                                        const std::string& aBody)
  {
    const bool failed = aAnswer.mFacts.mStatus >= 500;
    NoteOutcome(aRunner, failed ? send_outcome::eFailed : send_outcome::eServed);
    LogResponse(aAnswer.mFacts.mStatus);
    if (failed && MayRetry() && TakeRetryBudget()) {
      mFailure.emplace(failure_response{ aAnswer.mFacts.mStatus, aAnswer.mHead, aBody });
      co_return true;
    }
    const bool success = aAnswer.mFacts.mStatus < 300;
    mCrashWatch.ReportServed(); // A failure of the runner's own too: it lives on.
    mState.mMetrics.CountRequest(
      mRoute.mName, success ? "served" : "failed", success ? "" : "runner_failure");
    co_await mExchange->Respond(aAnswer.mFacts.mStatus, aAnswer.mHead, aBody);
    co_return false;
  }

  /** Writes a line on a runner's answer. */
  void LogResponse(unsigned aStatus)
  {
    const bool good = aStatus < 500;
    const duration took = mState.Now() - mArrived;
    mState.mMetrics.ObserveFirstAnswer(mRoute.mName, ToSeconds(took));
    mState.LogDecision(good ? log_level::eInfo : log_level::eWarning,
                       "request_answered",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "service", mService.mName },
                         { "runner", mRunnerName },
                         { "status", aStatus },
                         { "sends", mSends },
                         { "ms", took.count() / 1000 } });
  }

  /** Passes a large answer on piece by piece. */
  asio::awaitable<void> Stream(const endpoint& aAddress,
                               upstream_response& aAnswer,
                               std::string& aHeld)
  {
    upstream_connection& upstream = *aAnswer.mConnection;
    bool open =
      co_await mExchange->StartBody(aAnswer.mFacts.mStatus, aAnswer.mHead, upstream.BodyLength());
    bool more = true;
    while (open && more) {
      open = co_await mExchange->Write(aHeld);
      aHeld.clear();
      const result<bool> read = co_await upstream.ReadSome(aHeld, TimeLeft() + kResponseSlack);
      if (!read) {
        upstream.Abort();
        mExchange->ResetConnection();
        co_return;
      }
      more = read.value();
    }
    if (open) {
      open = co_await mExchange->Write(aHeld);
    }
    if (open) {
      co_await mExchange->EndBody();
    }
    ReturnConnection(mState, *mExchange, aAddress, aAnswer.mConnection);
  }

  /** Gives the final answer of a request that may be sent to no runner any more. */
  asio::awaitable<void> GiveUpQuarantined()
  {
    if (mMayHaveRun || mFailure) {
      co_await GiveUp("quarantined");
    } else {
      co_await RefuseQuarantined<Wire>(mState, *mExchange, mFacts, mRoute.mName, mCrashWatch);
    }
  }

  /** Gives the final answer of a request that no runner served. */
  asio::awaitable<void> GiveUp(std::string_view aReason)
  {
    if (mFailure) {
      co_await mExchange->Respond(mFailure->mStatus, mFailure->mHead, mFailure->mBody);
      co_return;
    }
    unsigned status = 503;
    if (mMayHaveRun) {
      status = TimeLeft() <= duration{ 0 } ? 504 : 502;
    }
    const duration back = RetryAfter();
    mState.mMetrics.CountRequest(mRoute.mName, status == 503 ? "refused" : "failed", aReason);
    mState.LogDecision(log_level::eWarning,
                       "request_given_up",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "status", status },
                         { "reason", aReason },
                         { "sends", mSends },
                         { "held_ms", (mState.Now() - mArrived).count() / 1000 } });
    co_await Refuse<Wire>(
      *mExchange, mFacts.mId, status, status == 503 ? back : duration{ 0 }, aReason);
  }

  /** @return when the caller of a request that found no runner shall come back. */
  duration RetryAfter()
  {
    const double spread = 0.5 + mState.RandomFraction();
    const duration back = FromSeconds(ToSeconds(kPlainRetryAfter) * spread);
    if (!mState.mRunners.HasRunner(mService.mName)) {
      return back;
    }
    const duration rest = mState.mRunners.WantedFrom(mService.mName) - mState.Now();
    return back + std::max(duration{ 0 }, rest);
  }

  void NoteOutcome(service_runner_id aRunner, send_outcome aOutcome)
  {
    mState.mRunners.NoteOutcome(aRunner, aOutcome, mState.Now());
  }

  /** A failure of a runner's own, for the caller if no other runner does better. */
  struct failure_response
  {
    unsigned mStatus = 0; ///< HTTP status.
    http::fields mHead;   ///< Fields for the caller.
    std::string mBody;    ///< Whole body.
  };

  forward_state& mState;                      ///< Shared.
  caller_exchange_ptr mExchange;              ///< The caller's side.
  request_facts mFacts;                       ///< Of the request's head.
  std::shared_ptr<const route_table> mRoutes; ///< Keeps mRoute and mService alive.
  const forward_route& mRoute;                ///< Its route.
  const forward_service& mService;            ///< The service that takes it.
  crash_watch mCrashWatch;                    ///< Whether it crashes runners.
  instant mArrived;                           ///< When it was read.
  instant mDeadline;                          ///< When it's too late.
  std::set<service_runner_id> mTriedRunners;  ///< Runners tried.
  std::string mRunnerName;                    ///< Runner of the last try.
  std::uint32_t mSends = 0;                   ///< Runners that it reached; at most mMaxRunners.
  std::uint32_t mAttempts = 0;                ///< Runners tried, reached or not.
  bool mMayHaveRun = false;                   ///< It may have run somewhere.
  std::optional<failure_response> mFailure;   ///< The last failure that was repeated.
};

} // namespace dunehook
