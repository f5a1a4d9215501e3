/**
 * @file generation_call.h
 * Forwards generations to model engines: finds a placement, reserves memory at the decode engine,
 * has a prefill engine process the prompt, hands the result over, and streams the events to the
 * caller. The prompt is processed only once decode memory is reserved, so that no prefill is
 * wasted.
 */
#pragma once

#include "forward/crash_watch.h"
#include "forward/generation_place.h"
#include "forward/held_events.h"
#include "forward/prompt_read.h"
#include "forward/relay_call.h"

#include <absl/strings/str_join.h>

namespace dunehook {

/** Part of the latency target reserved for delivery to the caller. */
inline constexpr duration kCallerDeliveryMargin = std::chrono::milliseconds(30);
/** A resumed response is expected to produce at least this many more tokens. */
inline constexpr std::uint32_t kMinRemainingTokens = 64;
/** Expected answer length as a share of the token limit, where the caller gives no estimate. */
inline constexpr double kDefaultAnswerShare = 0.5;

/** Serves one generation request. */
template<wire_format Wire>
class generation_call
{
public:
  /** @param aSoftware software that began the stream; none if it begins with this request. */
  generation_call(forward_state& aState,
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
    , mTraits(*aService.mEngines)
    , mArrived(aArrived)
    , mDeadline(aArrived + std::min(aRoute.mTimeout, mFacts.mTimeLeft.value_or(aRoute.mTimeout)))
    , mCrashWatch(aState,
                  *mExchange,
                  mFacts,
                  PartsOf(aService.mName, mFacts.mModel, mFacts.mSharedParts))
    , mTrial(aState, mCrashWatch)
    , mPlace(aState, *mExchange, mFacts, aRoute.mRank, mTrial)
    , mPromptRead(aState, *mExchange, mFacts.mId)
    , mEvents(aState.mHeldAnswers)
  {
    mDemand.mRun = { HashBytes(mFacts.mId) | 1U };
    mDemand.mService = aService.mName;
    mDemand.mModel = mFacts.mModel;
    mDemand.mSoftware = aSoftware;
    mDemand.mHall = mState.mSettings.mHall;
    mDemand.mEventGap = aRoute.mEventGap;
    // A caller that resumes a broken stream is already late, as one that was refused is. When many
    // of them return after a loss of hosts, they wait instead of being refused for a prefill that
    // would come too late.
    mDemand.mReturned =
      mFacts.mLastEvent.has_value() || mState.mRefused.Contains(mFacts.mPromptKey, aArrived);
    mDemand.mPromptTokens = mFacts.mPromptTokens;
    mDemand.mAnswerTokens = ExpectedAnswerTokens();
    mDemand.mMostTokens = mFacts.mMostTokens;
    if (mFacts.mLastEvent) {
      SkipDeliveredEvents(*mFacts.mLastEvent);
    }
  }

  /**
   * Serves the request until it ends.
   * @param aMayRelay whether another daemon may serve it where this one reaches no engine.
   */
  asio::awaitable<void> Run(bool aMayRelay)
  {
    mMayRelay = aMayRelay;
    mRelayed = !aMayRelay;
    if (mRelayed) {
      mRunsElsewhere = ReadRelayNumber(mExchange->Request(), kRelayRunsHeader);
    }
    if (mState.ShouldRelay(mService.mName)) {
      const bool ended = co_await Relay();
      if (ended) {
        co_return;
      }
    }
    if (mRunsElsewhere == 0) {
      mState.BudgetOf(mService.mName).NoteRequest(mState.Now());
    }
    if (mCrashWatch.Quarantined()) {
      co_await GiveUpQuarantined();
      co_return;
    }
    bool again = true;
    while (again && !mExchange->Disconnected()) {
      again = co_await TryOnce();
      mPlace.EndRun();
      mTrial.End();
      mCrashWatch.EndRun();
    }
  }

private:
  duration TimeLeft() const { return mState.TimeLeft(mDeadline); }
  instant LatestResponse() const { return mDeadline + kResponseSlack; }

  /**
   * @param aSends sends to the service in addition to those of a request without failures.
   * @return whether the retry budget allows a new placement.
   */
  asio::awaitable<bool> TakeReplacementBudget(std::uint32_t aSends)
  {
    if (aSends == 0) {
      co_return true;
    }
    retry_demand demand;
    demand.mService = mService.mName;
    demand.mRequest = mFacts.mId;
    demand.mSends = aSends;
    if (mStarted) { // It's lost otherwise, whereas a refused caller may return.
      demand.mMaxWait = std::min(kMaxRetryWait, TimeLeft() / 2);
    } else {
      demand.mRank = kNewRequestRank + mRoute.mRank;
    }
    const bool allowed = co_await mState.mTakeRetries(std::move(demand));
    co_return allowed && !mExchange->Disconnected();
  }

  std::uint32_t ExpectedAnswerTokens() const
  {
    const double most = mFacts.mMostTokens > 0 ? mFacts.mMostTokens : mTraits.mMemoryTokens / 8;
    const double guess =
      mFacts.mGuessedTokens > 0 ? mFacts.mGuessedTokens : kDefaultAnswerShare * most;
    return std::max(1U, static_cast<std::uint32_t>(std::min(most, guess)));
  }

  /**
   * Adds events that the caller already has to the prompt, and subtracts them from the expected
   * answer.
   */
  void SkipDeliveredEvents(std::uint64_t aEvents)
  {
    const auto made = static_cast<std::uint32_t>(aEvents * mTraits.mTokensPerEvent);
    mDemand.mPromptTokens += made;
    const auto left = [&](std::uint32_t aAll) {
      return aAll > made + kMinRemainingTokens ? aAll - made : kMinRemainingTokens;
    };
    mDemand.mAnswerTokens = left(mDemand.mAnswerTokens);
    mDemand.mMostTokens = mDemand.mMostTokens > 0 ? left(mDemand.mMostTokens) : 0;
  }

  /**
   * Places the request and runs it once.
   * @return whether to try another placement.
   */
  asio::awaitable<bool> TryOnce()
  {
    if (mDemand.mSoftware && !mState.mRunners.HasRunner(mService.mName, mDemand.mSoftware)) {
      mPromptRead.Discard("no_place");
      co_await GiveUp("software_gone");
      co_return false;
    }
    const instant firstEventBy =
      mStarted ? mDeadline : mArrived + mRoute.mFirstAnswer - kCallerDeliveryMargin;
    const duration target = mRoute.mFirstAnswer - kCallerDeliveryMargin;
    const place_wait wait = place_wait::Make(mRoute.mFirstAnswer, TimeLeft());
    const bool found = co_await mPlace.Find(
      mDemand, mTraits, firstEventBy, target, wait.After(mState.Now() - mArrived));
    if (!found) {
      mPromptRead.Discard("no_place");
      if (mSends > 0 && MayLackReach()) { // The budget for it has been taken.
        const bool ended = co_await RelayFrom(Progress());
        if (ended) {
          co_return false;
        }
      }
      co_await GiveUp(mPrefillFailed ? "prefill_failed" : NoPlaceReason());
      co_return false;
    }
    if (mCrashWatch.Quarantined()) { // Other attempts of it may have crashed engines meanwhile.
      co_await GiveUpQuarantined();
      co_return false;
    }
    const bool hasResult = mPromptRead.IsUsable(mTraits.mResultLifetime, DecodeVersion());
    if (!hasResult) {
      mPromptRead.Discard("result_lapsed");
    }
    if (!hasResult && mPlace.Choice().mPrefill) {
      const bool read = co_await ReadPrompt();
      if (!read) {
        mPlace.Release();
        bool again = !mExchange->Disconnected();
        if (again) {
          again = co_await TakeReplacementBudget(mExtraReadSends);
        }
        if (again && ++mFailedReads <= kMaxFailedAttempts) {
          co_return true;
        }
        co_await GiveUp("prefill_failed");
        co_return false;
      }
      mTrial.KeepOnly(mPlace.Choice().mDecode);
    }
    co_return co_await Generate();
  }

  /**
   * Has another daemon serve the request, once at most. If a prefill engine got its prompt, another
   * one gets it again, which the retry budget must allow.
   * @pre no engine may have run it.
   * @return whether it has ended.
   */
  asio::awaitable<bool> Relay()
  {
    const bool allowed = co_await TakeReplacementBudget(mPromptSent && mMayRelay ? 1 : 0);
    if (!allowed) {
      co_return false;
    }
    co_return co_await RelayFrom(Progress());
  }

  /** @return whether this daemon's own reach may be why the request found no engine. */
  bool MayLackReach() const
  {
    return mState.IsCutOff(mService.mName) ||
           (!mTrial.WasDenied() && mState.MayBeCutOff(mService.mName));
  }

  /** @return what the request has got so far, for the daemon that resumes it. */
  relay_progress Progress() const
  {
    relay_progress progress;
    progress.mRuns = mSends;
    progress.mStarted = mStarted;
    progress.mAfterEvent = LastEvent();
    progress.mSoftware = mDemand.mSoftware;
    return progress;
  }

  /** Has another daemon serve the request, or resume it, once at most. @return whether it has
   * ended. */
  asio::awaitable<bool> RelayFrom(relay_progress aProgress)
  {
    if (!std::exchange(mMayRelay, false)) {
      co_return false;
    }
    mPlace.Release();
    mPlace.EndRun();
    mTrial.End();
    mPromptRead.Discard("relayed");
    relay_call<Wire> relay(mState, *mExchange, mFacts.mId, mRoute, mService.mName, aProgress);
    const relay_outcome end = co_await relay.Run(mDeadline);
    if (end == relay_outcome::eUncertain) {
      mMayHaveRun = true;
      co_await GiveUp("relay_lost");
    }
    co_return end != relay_outcome::eNoDaemon;
  }

  /** @return why no engine was found. */
  std::string_view NoPlaceReason() const
  {
    if (mTrial.WasDenied()) {
      return "crash_suspected";
    }
    const bool held = mPlace.WasHeld() || (mPlace.NoPlace() == no_place::eNoEngine &&
                                           mState.IsHeldByLimit(mService.mName, mRoute.mRank));
    return held ? "runner_limit" : ReasonName(mPlace.NoPlace());
  }

  /** @return the version of the weights at the chosen decode engine. */
  std::uint64_t DecodeVersion() const
  {
    const runner_state* const decode = mState.mRunners.Find(mPlace.Choice().mDecode);
    return decode == nullptr ? 0 : decode->mEntry.VersionOf(mDemand.mModel);
  }

  /**
   * Has the chosen prefill engine process the prompt.
   * @return whether there's a result to hand over.
   */
  asio::awaitable<bool> ReadPrompt()
  {
    const send_plan plan = PlanFor(std::string());
    const read_outcome end =
      co_await mPromptRead.Read(mPlace.Choice(), mPlace.ReadPermit(), plan, mDemand, [this] {
        return TakeReplacementBudget(1);
      });
    if (mExchange->Disconnected()) {
      if (end == read_outcome::eFailed) {
        mCrashWatch.ReportAbandoned(mPromptRead.EngineAddress(), send_status::eUnknown, false);
      }
      mPromptRead.Discard("caller_left");
      co_return false;
    }
    mPrefillFailed = end != read_outcome::eRead;
    mPromptSent = mPromptSent || end != read_outcome::eNotSent;
    if (end == read_outcome::eConnectionLost) {
      co_await mCrashWatch.ReportConnectionLost(
        *mPlace.Choice().mPrefill, mPromptRead.EngineAddress(), false);
    }
    if (mPrefillFailed) {
      mDemand.mFailed.push_back(*mPlace.Choice().mPrefill);
      // One send was wasted, unless nothing reached the engine.
      mExtraReadSends = end == read_outcome::eNotSent ? 0 : 1;
    }
    co_return !mPrefillFailed;
  }

  send_plan PlanFor(const std::string& aName) const
  {
    send_plan plan;
    plan.mRunnerName = aName;
    plan.mTimeLeft = TimeLeft();
    plan.mRank = mRoute.mRank;
    if (mStarted) {
      plan.mAfterEvent = LastEvent();
    }
    return plan;
  }

  std::optional<std::uint64_t> LastEvent() const
  {
    return mEvents.LastId() ? mEvents.LastId() : mFacts.mLastEvent;
  }

  /**
   * Has the decode engine generate, and forwards the events.
   * @return whether to try another placement.
   */
  asio::awaitable<bool> Generate()
  {
    if (mCrashWatch.Quarantined()) {
      co_await GiveUpQuarantined();
      co_return false;
    }
    if (!DecodeAcceptsRequests()) {
      mPlace.Release();
      upstream_response unsent;
      co_return co_await HandleRefusedHandoff(unsent, send_outcome::eAbandoned);
    }
    send_plan plan = PlanFor(mPlace.DecodeName());
    plan.mReservation = mPlace.UseReservation();
    plan.mPrefillAt = mPromptRead.ResultLocation();
    plan.mRunner = mPlace.Choice().mDecode;
    mRunStartedAt = mState.Now();
    mCrashWatch.BeginRun();
    upstream_response answer = co_await SendToRunner<Wire>(mState,
                                                           *mExchange,
                                                           mPlace.DecodeAddress(),
                                                           plan,
                                                           mPlace.RunPermit(),
                                                           mFacts.mId,
                                                           true,
                                                           LatestResponse());
    if (mExchange->Disconnected()) {
      if (answer.mConnection) {
        answer.mConnection->Abort();
      }
      mCrashWatch.ReportAbandoned(mPlace.DecodeAddress(), answer.mSendStatus, false);
      mPromptRead.Discard("caller_left");
      co_return false;
    }
    if (answer.mSendStatus == send_status::eNotRun || answer.mSendStatus == send_status::eNotSent) {
      co_return co_await HandleRefusedHandoff(answer, OutcomeOf(answer));
    }
    mPromptRead.MarkConsumed();
    ++mSends;
    if (answer.mSendStatus == send_status::eUnknown) {
      const run_break broken = answer.mConnectionLost ? run_break::eConnectionLost
                               : answer.mTimedOut     ? run_break::eTimedOut
                                                      : run_break::eWrongAnswer;
      co_return co_await HandleInterruptedRun(broken, false);
    }
    const bool success = answer.mFacts.mStatus < 300;
    if (!IsOwnAnswer(answer.mFacts)) {
      answer.mConnection->Abort();
      co_return co_await HandleInterruptedRun(run_break::eWrongAnswer, false);
    }
    if (!success) {
      co_await ForwardFailure(answer);
      co_return false;
    }
    co_return co_await ForwardEvents(answer);
  }

  /**
   * @return whether the decode engine accepts requests of this daemon. After it granted the
   * reservation it may have left or asked for a pause, or the permit may have lapsed.
   */
  bool DecodeAcceptsRequests() const
  {
    if (!mPlace.RunPermit().IsValid(mState.Now())) {
      return false;
    }
    const runner_state* const decode = mState.mRunners.Find(mPlace.Choice().mDecode);
    return decode != nullptr && mState.MayHandOff(*decode) &&
           RunsSoftware(decode->mEntry, mPlace.DecodeSoftware());
  }

  /** Fixes the software with which the stream goes on, before its first event is sent. */
  void FixSoftware()
  {
    if (mDemand.mSoftware) {
      return;
    }
    mDemand.mSoftware = mPlace.DecodeSoftware();
    if (mRoute.mResumable) {
      mState.mNoteOrigin(mService.mName, mFacts.mId, mDemand.mSoftware);
    }
  }

  /**
   * Handles a decode engine that didn't take the request.
   * @return whether to try another placement.
   */
  asio::awaitable<bool> HandleRefusedHandoff(upstream_response& aAnswer, send_outcome aOutcome)
  {
    if (aAnswer.mConnection) {
      aAnswer.mConnection->Abort();
    }
    mState.NoteEngine(mPlace.Choice().mDecode, aOutcome);
    mDemand.mFailed.push_back(mPlace.Choice().mDecode);
    mState.LogDecision(log_level::eWarning,
                       "handoff_failed",
                       mFacts.mId,
                       { { "runner", mPlace.DecodeName() },
                         { "outcome", OutcomeName(aOutcome) },
                         { "status", aAnswer.mFacts.mStatus } });
    // An engine that wasn't reached or has another role hasn't taken the prefill result, so another
    // engine can. A refusal may mean that the result no longer exists.
    const bool keepsResult =
      aAnswer.mSendStatus == send_status::eNotSent || aOutcome == send_outcome::eMisdirected;
    if (!keepsResult) {
      mPromptRead.Discard("handoff_refused");
    }
    const bool arrived = aAnswer.mSendStatus == send_status::eNotRun;
    const bool readAgain = !mPromptRead.IsUsable(mTraits.mResultLifetime, DecodeVersion());
    const std::uint32_t sends = (arrived ? 1 : 0) + (readAgain ? 1 : 0);
    ++mFailedHandoffs;
    bool again = mFailedHandoffs <= kMaxFailedAttempts;
    if (again) {
      again = co_await TakeReplacementBudget(sends);
    }
    if (again) {
      co_return true;
    }
    mPromptRead.Discard("handoff_refused");
    co_await GiveUp("handoff_refused");
    co_return false;
  }

  asio::awaitable<void> ForwardFailure(upstream_response& aAnswer)
  {
    std::string body;
    const result<void> read = co_await ReadBody(mState,
                                                aAnswer.mConnection,
                                                large_body::eRejected,
                                                body,
                                                kMaxHeldResponseBytes,
                                                LatestResponse());
    ReturnConnection(mState, *mExchange, mPlace.DecodeAddress(), aAnswer.mConnection);
    mState.NoteEngine(mPlace.Choice().mDecode, send_outcome::eFailed);
    if (mStarted) {
      mExchange->ResetConnection();
      co_return;
    }
    if (!read) {
      mMayHaveRun = true;
      co_await GiveUp("answer_broken");
      co_return;
    }
    co_await mExchange->Respond(aAnswer.mFacts.mStatus, aAnswer.mHead, body, aAnswer.mFraming);
  }

  /**
   * Forwards a stream.
   * @return whether it broke and may be resumed elsewhere.
   */
  asio::awaitable<bool> ForwardEvents(upstream_response& aAnswer)
  {
    upstream_connection& upstream = *aAnswer.mConnection;
    const std::uint32_t before = mEvents.Count();
    mEvents.BeginRun(aAnswer.mConnection);
    instant firstAt{ 0 };
    instant lastAt{ 0 };
    for (;;) {
      std::string bytes;
      const result<bool> read = co_await upstream.ReadSome(bytes, LatestResponse());
      std::string events = mEvents.Feed(bytes, mState.Now());
      const bool ended = read && !read.value();
      const std::optional<run_break> broken = mEvents.BreakOf(read, aAnswer.mFraming, before);
      if (ended && !broken) {
        events += mEvents.PartialEvent();
        mEvents.DropPartialEvent();
      }
      if (mEvents.Count() > 0) {
        FixSoftware();
      }
      if (!events.empty() || (ended && !broken)) {
        const bool open = co_await SendEvents(aAnswer, events);
        if (!open) {
          upstream.Abort();
          mCrashWatch.ReportAbandoned(mPlace.DecodeAddress(), send_status::eAnswered, true);
          co_return false;
        }
      }
      if (!events.empty()) {
        mCrashWatch.NoteEvents();
        const instant now = mState.Now();
        if (firstAt == instant{ 0 }) {
          firstAt = now;
          NoteFirstEvent(firstAt);
        } else {
          mLongestGap = std::max(mLongestGap, now - lastAt);
        }
        lastAt = now;
      }
      const std::uint32_t made = (mEvents.Count() - before) * mTraits.mTokensPerEvent;
      if (broken) {
        upstream.Abort();
        mEvents.DropPartialEvent();
        mState.mMetrics.CountAnswerEnd(FramingName(aAnswer.mFraming), false);
        co_return co_await HandleInterruptedRun(*broken, firstAt != instant{ 0 });
      }
      mState.mPlacement.Progress(mDemand.mRun, made, mState.Now());
      if (ended) {
        co_await mExchange->EndBody(aAnswer.mFraming);
        ReturnConnection(mState, *mExchange, mPlace.DecodeAddress(), aAnswer.mConnection);
        if (firstAt != instant{ 0 }) { // A run without events says nothing of length or pace.
          NoteFinished(made, mState.Now() - firstAt);
        } else {
          mState.NoteEngine(mPlace.Choice().mDecode, send_outcome::eServed);
        }
        NoteServed(made, aAnswer.mFraming);
        co_return false;
      }
    }
  }

  /** Sends events to the caller, preceded by the response head if they are the first. */
  asio::awaitable<bool> SendEvents(const upstream_response& aAnswer, const std::string& aEvents)
  {
    if (!mStarted) {
      mStarted = true;
      const std::optional<std::uint64_t> length; // A stream's length is unknown.
      const bool open = co_await mExchange->StartBody(
        aAnswer.mFacts.mStatus, aAnswer.mHead, aAnswer.mFraming, length);
      if (!open) {
        co_return false;
      }
    }
    const bool open = co_await mExchange->Write(aEvents);
    co_return open;
  }

  /**
   * Decides how to continue after a run that ended without a complete response.
   * @param aBreak why it ended.
   * @param aProgressed events of this run were forwarded.
   * @return whether to try another placement.
   */
  asio::awaitable<bool> HandleInterruptedRun(run_break aBreak, bool aProgressed)
  {
    if (mExchange->Disconnected()) { // The run ended because the caller disconnected, not because
                                     // of the engine.
      mCrashWatch.ReportAbandoned(mPlace.DecodeAddress(), send_status::eUnknown, aProgressed);
      mPromptRead.Discard("caller_left");
      mState.mRunners.NoteOutcome(mPlace.Choice().mDecode, send_outcome::eAbandoned, mState.Now());
      co_return false;
    }
    bool atFault = !mState.IsStopOver();
    if (IsConnectionLoss(aBreak)) {
      atFault = co_await mCrashWatch.ReportConnectionLost(
        mPlace.Choice().mDecode, mPlace.DecodeAddress(), aProgressed);
    }
    if (atFault) {
      mState.NoteEngine(mPlace.Choice().mDecode, send_outcome::eFailed);
    }
    mDemand.mFailed.push_back(mPlace.Choice().mDecode);
    mMayHaveRun = true;
    mPromptRead.Discard("run_broke");
    mState.LogDecision(log_level::eWarning,
                       "generation_broke",
                       mFacts.mId,
                       { { "runner", mPlace.DecodeName() },
                         { "cause", BreakName(aBreak) },
                         { "events", mEvents.Count() },
                         { "resumable", mRoute.mResumable },
                         { "began_ms", (mState.Now() - mRunStartedAt).count() / 1000 },
                         { "fingerprint", mCrashWatch.Fingerprint().mValue },
                         { "shared_parts", absl::StrJoin(mFacts.mSharedParts, ",") },
                         { "caller", mExchange->CallerAddress() } });
    mState.mMetrics.CountBrokenAnswer(mRoute.mName);
    bool goesOn = mRoute.mResumable && !mCrashWatch.Quarantined() &&
                  mSends + mRunsElsewhere < mRoute.mMaxRunners &&
                  TimeLeft() > mRoute.mFirstAnswer && !mExchange->Disconnected();
    if (goesOn) {
      goesOn = co_await TakeReplacementBudget(kSendsPerPlacement);
    }
    if (goesOn) {
      if (mEvents.Count() > mEventsInPrompt) {
        SkipDeliveredEvents(mEvents.Count() - mEventsInPrompt);
        mEventsInPrompt = mEvents.Count();
      }
      mArrived = mState.Now();
      bool ended = false;
      if (mState.IsCutOff(mService.mName)) {
        ended = co_await RelayFrom(Progress());
      }
      co_return !ended;
    }
    if (mStarted) {
      mExchange->ResetConnection();
      co_return false;
    }
    co_await GiveUp("generation_broke");
    co_return false;
  }

  /** Sends the final response to a quarantined request. */
  asio::awaitable<void> GiveUpQuarantined()
  {
    mPlace.Release();
    mPromptRead.Discard("quarantined");
    if (mStarted) {
      mExchange->ResetConnection();
    } else if (mMayHaveRun) {
      co_await GiveUp("quarantined");
    } else {
      co_await RefuseQuarantined<Wire>(mState, *mExchange, mFacts, mRoute.mName, mCrashWatch);
    }
  }

  /** @return the expected time until there's a place. */
  duration ExpectedWait() const
  {
    const bool held = !mState.mPermits.Held(mRoute.mRank, mState.Now()).empty();
    if (!held || !mState.mRunners.HasRunner(mService.mName, mDemand.mSoftware)) {
      return mPlace.FreeIn();
    }
    const instant from =
      mState.AcceptsRequestsFrom(mService.mName, mRoute.mRank, mDemand.mSoftware);
    return std::max(mPlace.FreeIn(), from - mState.Now());
  }

  /** Sends the final response to a request that can't be served any further. */
  asio::awaitable<void> GiveUp(std::string_view aReason)
  {
    if (mExchange->Disconnected()) {
      co_return;
    }
    if (!mMayHaveRun && !mStarted && MayLackReach()) {
      const bool ended = co_await Relay();
      if (ended) {
        co_return;
      }
    }
    unsigned status = 503;
    if (mMayHaveRun) {
      status = TimeLeft() <= duration{ 0 } ? 504 : 502;
    }
    const duration back = RetryAfter(ExpectedWait(), mState.RandomFraction());
    mState.mMetrics.CountRequest(mRoute.mName, status == 503 ? "refused" : "failed", aReason);
    mState.LogDecision(log_level::eWarning,
                       "generation_given_up",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "prompt_key", mFacts.mPromptKey },
                         { "returned", mDemand.mReturned },
                         { "come_back_ms", back.count() / 1000 },
                         { "status", status },
                         { "reason", aReason },
                         { "prompt", mDemand.mPromptTokens },
                         { "answer", mDemand.mAnswerTokens },
                         { "runs", mState.mPlacement.RunCount() },
                         { "refusals", mPlace.Refusals() },
                         { "free_ms", mPlace.FreeIn().count() / 1000 },
                         { "held_ms", (mState.Now() - mArrived).count() / 1000 } });
    if (mStarted) {
      mExchange->ResetConnection();
      co_return;
    }
    if (mRelayed && status == 503 && mState.MayBeCutOff(mService.mName)) {
      co_await RefuseRelayed(*mExchange, aReason);
      co_return;
    }
    if (status == 503) {
      NoteRefused();
    }
    co_await Refuse<Wire>(
      *mExchange, mFacts.mId, status, status == 503 ? back : duration{ 0 }, aReason);
  }

  /**
   * Records the refusal here and at the daemons that place, so that a retry of the caller is
   * recognised.
   */
  void NoteRefused()
  {
    mState.mRefused.Note(mFacts.mPromptKey, mState.Now());
    mState.mPlacement.NoteRefused(mDemand.mPromptTokens, mDemand.mAnswerTokens);
    run_message message;
    message.mRefused.push_back({ mFacts.mPromptKey, mDemand.mPromptTokens, mDemand.mAnswerTokens });
    mState.mTellPlacers(std::move(message));
  }

  /** Records a completed run: its length and pace feed later forecasts. */
  void NoteFinished(std::uint32_t aMade, duration aTook)
  {
    const std::uint32_t first = mTraits.mTokensPerEvent;
    const finished_run run{
      mDemand.mRun, aMade, aMade > first ? aMade - first : 0, aTook, mLongestGap
    };
    mState.mPlacement.NoteFinished(run, mState.Now());
    run_message message;
    message.mFinished.push_back(run);
    mState.NoteEngine(mPlace.Choice().mDecode, send_outcome::eServed, std::move(message));
  }

  void NoteFirstEvent(instant aNow)
  {
    mState.mMetrics.ObserveFirstAnswer(mRoute.mName, ToSeconds(aNow - mArrived));
    mState.LogDecision(log_level::eInfo,
                       "generation_started",
                       mFacts.mId,
                       { { "runner", mPlace.DecodeName() },
                         { "software", mPlace.DecodeSoftwareText() },
                         { "prefill", mPromptRead.EngineName() },
                         { "prompt_key", mFacts.mPromptKey },
                         { "returned", mDemand.mReturned },
                         { "read_elsewhere", mPlace.Choice().mPrefill.has_value() },
                         { "expected_ms", mPlace.Choice().mUntilEvent.count() / 1000 },
                         { "first_ms", (aNow - mArrived).count() / 1000 },
                         { "placed_alone", mPlace.PlacedLocally() },
                         { "place_ms", mPlace.PlacementTime().count() / 1000 },
                         { "peak", mPlace.Choice().mPeakShare } });
  }

  void NoteServed(std::uint32_t aMade, body_framing aFraming)
  {
    mCrashWatch.ReportServed();
    mState.mMetrics.CountAnswerEnd(FramingName(aFraming), true);
    mState.mMetrics.CountRequest(mRoute.mName, "served", "");
    mState.mMetrics.ObserveLongestGap(mRoute.mName, ToSeconds(mLongestGap));
    mState.LogDecision(log_level::eInfo,
                       "generation_served",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "runner", mPlace.DecodeName() },
                         { "longest_gap_ms", mLongestGap.count() / 1000 },
                         { "made", aMade },
                         { "framing", FramingName(aFraming) },
                         { "prompt", mDemand.mPromptTokens },
                         { "expected", mDemand.mAnswerTokens },
                         { "ms", (mState.Now() - mArrived).count() / 1000 } });
  }

  /** Extra sends of a new placement: one to the prefill engine, one to the decode engine. */
  static constexpr std::uint32_t kSendsPerPlacement = 2;
  /** Prefills, and likewise handoffs, that may fail before the request is abandoned. */
  static constexpr std::uint32_t kMaxFailedAttempts = 2;

  forward_state& mState;                      ///< State shared by the daemon's components.
  caller_exchange_ptr mExchange;              ///< The caller's connection and request.
  request_facts mFacts;                       ///< Parsed from the request's head.
  std::shared_ptr<const route_table> mRoutes; ///< Keeps mRoute and mService alive.
  const forward_route& mRoute;                ///< The request's route.
  const forward_service& mService;            ///< The service that serves the request.
  engine_traits mTraits;                      ///< Traits of the service's engines.
  instant mArrived;                           ///< When the request arrived, or its last run broke.
  instant mDeadline;                          ///< End of the request's time limit.
  generation_demand mDemand;                  ///< What the placement must provide.
  crash_watch mCrashWatch;                    ///< Crash tracking of the request.
  suspect_trial mTrial;                       ///< Its trial, if it's suspected.
  generation_place<Wire> mPlace;              ///< The chosen engines and their reservation.
  prompt_read<Wire> mPromptRead;              ///< The prefill and its result.
  held_events mEvents;                        ///< Splits the events, over all runs.
  std::uint32_t mEventsInPrompt = 0;          ///< Events already added to the demand's prompt.
  std::uint32_t mSends = 0;                   ///< Decode engines that may have run the request.
  std::uint64_t mRunsElsewhere = 0;           ///< The same by way of the daemon that relays it.
  std::uint32_t mExtraReadSends = 0;          ///< Wasted sends of the last failed prefill.
  std::uint32_t mFailedReads = 0;             ///< Failed prefills.
  std::uint32_t mFailedHandoffs = 0;          ///< Handoffs that failed.
  instant mRunStartedAt{ 0 };                 ///< When the last run was sent.
  duration mLongestGap{ 0 };                  ///< Longest pause between forwarded events.
  bool mRelayed = false;                      ///< Another daemon relays it.
  bool mMayRelay = false;                     ///< It may be relayed, and wasn't yet.
  bool mStarted = false;                      ///< The response head was sent to the caller.
  bool mMayHaveRun = false;                   ///< A runner may have run the request.
  bool mPromptSent = false;                   ///< A prefill engine has got the prompt.
  bool mPrefillFailed = false;                ///< The last prefill failed.
};

} // namespace dunehook
