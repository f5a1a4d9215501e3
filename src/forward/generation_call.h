/**
 * @file generation_call.h
 * Forwards generations to model engines: finds a place, reserves it at the decode engine, has a
 * prefill engine read the prompt, hands over, and passes the events on as they come. The prompt is
 * read only once a place to generate is reserved, so that no read is thrown away.
 */
#pragma once

#include "forward/engine_calls.h"
#include "forward/event_splitter.h"
#include "forward/upstream_send.h"

namespace dunehook {

/** Part of the latency target in which a request may wait for a place: later, a refusal costs the
 * caller its chance to be on time elsewhere. */
inline constexpr double kWaitShare = 0.2;
/** Time between looks for a place while a request waits. */
inline constexpr duration kLookAgain = std::chrono::milliseconds(15);
/** Kept off the latency target for the way to the caller. */
inline constexpr duration kWayToCaller = std::chrono::milliseconds(30);
/** A resumed answer is expected to go on for so many tokens at least. */
inline constexpr std::uint32_t kLeastLeft = 64;
/** Part of the most tokens that is expected where the caller has no guess. */
inline constexpr double kNoGuessShare = 0.5;
/** A reservation outlives the expected end of the read by this. */
inline constexpr duration kReservationSlack = std::chrono::milliseconds(600);
/** An engine that had no room isn't asked again before this. */
inline constexpr duration kFullRest = std::chrono::milliseconds(60);
/** A read that takes this much longer than expected is given up. */
inline constexpr duration kReadSlack = std::chrono::milliseconds(900);
/** Earliest and latest time for a refused caller to come back, beside the expected free time. */
inline constexpr duration kEarliestComeBack = std::chrono::milliseconds(1500);
inline constexpr duration kComeBackSpread = std::chrono::milliseconds(3000);

/** One generation. */
template<wire_format Wire>
class generation_call
{
public:
  generation_call(forward_state& aState,
                  caller_exchange_ptr aExchange,
                  request_facts aFacts,
                  std::shared_ptr<const route_table> aRoutes,
                  const forward_route& aRoute,
                  const forward_service& aService,
                  instant aArrived)
    : mState(aState)
    , mEngines(aState)
    , mExchange(std::move(aExchange))
    , mFacts(std::move(aFacts))
    , mRoutes(std::move(aRoutes))
    , mRoute(aRoute)
    , mService(aService)
    , mTraits(*aService.mEngines)
    , mArrived(aArrived)
    , mDeadline(aArrived + std::min(aRoute.mTimeout, mFacts.mTimeLeft.value_or(aRoute.mTimeout)))
  {
    mDemand.mRun = { HashBytes(mFacts.mId) | 1U };
    mDemand.mService = aService.mName;
    mDemand.mModel = mFacts.mModel;
    mDemand.mHall = mState.mSettings.mHall;
    mDemand.mEventGap = aRoute.mEventGap;
    mDemand.mReturned = mState.mRefused.Contains(mFacts.mPromptKey, aArrived);
    mDemand.mPromptTokens = mFacts.mPromptTokens;
    mDemand.mAnswerTokens = GuessedTokens();
    mDemand.mMostTokens = mFacts.mMostTokens;
    if (mFacts.mLastEvent) {
      SkipMade(*mFacts.mLastEvent);
    }
  }

  /** Serves the request to its end. */
  asio::awaitable<void> Run()
  {
    mState.BudgetOf(mService.mName).NoteRequest();
    bool again = true;
    while (again && !mExchange->Gone()) {
      again = co_await TryOnce();
      Forget();
    }
  }

private:
  duration TimeLeft() const { return mDeadline - mState.Now(); }

  /** @return whether the request may be placed anew, which sends it to a reader and a generator. */
  bool TakeReplacement()
  {
    const bool allowed = mState.BudgetOf(mService.mName).Take(mState.Now(), kSendsOfPlacement);
    if (allowed) {
      mState.mMetrics.CountRepeats(mService.mName, kSendsOfPlacement);
    }
    return allowed;
  }

  std::uint32_t GuessedTokens() const
  {
    const double most = mFacts.mMostTokens > 0 ? mFacts.mMostTokens : mTraits.mMemoryTokens / 8;
    const double guess = mFacts.mGuessedTokens > 0 ? mFacts.mGuessedTokens : kNoGuessShare * most;
    return std::max(1U, static_cast<std::uint32_t>(std::min(most, guess)));
  }

  /** Counts events that the caller has as part of the prompt. */
  void SkipMade(std::uint64_t aEvents)
  {
    const auto made = static_cast<std::uint32_t>(aEvents * mTraits.mTokensPerEvent);
    mDemand.mPromptTokens += made;
    const auto left = [&](std::uint32_t aAll) {
      return aAll > made + kLeastLeft ? aAll - made : kLeastLeft;
    };
    mDemand.mAnswerTokens = left(mDemand.mAnswerTokens);
    mDemand.mMostTokens = mDemand.mMostTokens > 0 ? left(mDemand.mMostTokens) : 0;
  }

  /** Counts the prompt's tokens as thrown away, if it was read. */
  void ThrowAway(std::string_view aWhy)
  {
    if (mRead) {
      mState.mMetrics.CountPromptTokens(aWhy, mDemand.mPromptTokens);
      mRead = false;
    }
  }

  /** Takes the run out of the table and tells the others. */
  void Forget()
  {
    if (!mPlaced) {
      return;
    }
    mPlaced = false;
    mState.mPlacement.End(mDemand.mRun);
    if (mTold) {
      mTold = false;
      run_message message;
      message.mEnded.push_back(mDemand.mRun);
      mState.mTell(std::move(message));
    }
  }

  /** Looks for a place, waiting a little if there's none. @return false if it was refused. */
  asio::awaitable<bool> FindPlace()
  {
    const instant waitUntil = mArrived + FromSeconds(ToSeconds(mRoute.mFirstAnswer) * kWaitShare);
    for (;;) {
      const instant now = mState.Now();
      mDemand.mFirstEventWithin =
        mStarted ? TimeLeft() : mArrived + mRoute.mFirstAnswer - kWayToCaller - now;
      const placement_answer answer =
        mState.mPlacement.Choose(mDemand, mTraits, mState.mRunners, now);
      if (answer.mChoice) {
        mChoice = *answer.mChoice;
        const bool reserved = co_await ReservePlace();
        if (reserved) {
          co_return true;
        }
        if (mExchange->Gone()) {
          co_return false;
        }
      }
      const duration wait =
        std::max<duration>(kLookAgain, std::min(answer.mFreeIn, kLookAgain * 3));
      if (mState.Now() + wait > waitUntil) {
        mComeBackIn = answer.mFreeIn;
        mNoPlace = answer.mChoice ? no_place::eNoMemory : answer.mReason;
        co_return false;
      }
      co_await Sleep(wait);
      if (mExchange->Gone()) {
        co_return false;
      }
    }
  }

  /** Notes the run in the table and reserves its place at the engine. */
  asio::awaitable<bool> ReservePlace()
  {
    const runner_state* const decode = mState.mRunners.Find(mChoice.mDecode);
    if (decode == nullptr) {
      co_return false;
    }
    mDecodeAt = decode->mEntry.mAddress;
    mDecodeName = decode->mEntry.mName;
    mReservation = {};
    run_record run;
    run.mRun = mDemand.mRun;
    run.mDecode = mChoice.mDecode;
    run.mPrefill = mChoice.mPrefill.value_or(service_runner_id{});
    run.mPromptTokens = mDemand.mPromptTokens;
    run.mAnswerTokens = mDemand.mAnswerTokens;
    run.mMostTokens = mDemand.mMostTokens;
    run.mSeen = mState.Now() + mChoice.mUntilRead;
    mState.mPlacement.Begin(run, mState.Now());
    mPlaced = true;
    if (!mState.mSettings.mPlacement.mReserve) {
      Tell(run);
      co_return true;
    }
    const duration life = std::min(mChoice.mUntilRead + kReservationSlack, mTraits.mLongestHold);
    const std::uint32_t tokens = mState.mPlacement.ReservedTokens(mDemand);
    const result<reservation> granted = co_await mEngines.Reserve(mDecodeAt, tokens, life);
    if (!granted) {
      NoteNoReservation(granted.error(), tokens);
      Forget();
      co_return false;
    }
    mReservation = granted.value();
    mState.mMetrics.CountPlace("granted");
    Tell(run);
    co_return true;
  }

  /** Notes that the decode engine didn't reserve a place. */
  void NoteNoReservation(const std::error_code& aError, std::uint32_t aTokens)
  {
    const bool reached = aError == errc::eRunnerRefused || aError == errc::eBadRequest;
    ++mRefusals;
    mState.mPlacement.NoteFull(mChoice.mDecode, mState.Now() + kFullRest);
    if (!reached) {
      mState.mRunners.NoteOutcome(mChoice.mDecode, send_outcome::eUnreachable, mState.Now());
    }
    mState.mMetrics.CountPlace(reached ? "refused" : "unreachable");
    mState.LogDecision(log_level::eWarning,
                       "reservation_refused",
                       mFacts.mId,
                       { { "runner", mDecodeName },
                         { "reached", reached },
                         { "tokens", aTokens },
                         { "expected_peak", mChoice.mPeakShare } });
  }

  void Tell(const run_record& aRun)
  {
    mTold = true;
    run_message message;
    message.mBegun.push_back(aRun);
    mState.mTell(std::move(message));
  }

  void ReleaseReservation()
  {
    if (!mReservation.mId.empty()) {
      mEngines.Release(mDecodeAt, mReservation);
      mReservation = {};
    }
  }

  /** One placement and its run. @return whether to go on with another. */
  asio::awaitable<bool> TryOnce()
  {
    const bool found = co_await FindPlace();
    if (!found) {
      co_await GiveUp(mPrefillFailed ? "prefill_failed" : ReasonName(mNoPlace));
      co_return false;
    }
    std::string prefillAt;
    if (mChoice.mPrefill) {
      const result<std::string> read = co_await ReadPrompt();
      if (mExchange->Gone()) {
        ThrowAway("caller_left");
        ReleaseReservation();
        co_return false;
      }
      if (!read) {
        ReleaseReservation();
        mPrefillFailed = true;
        if (++mReads <= kMostReads && TakeReplacement()) {
          co_return true;
        }
        co_await GiveUp("prefill_failed");
        co_return false;
      }
      prefillAt = read.value();
    }
    co_return co_await Generate(prefillAt);
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

  /** Has the chosen prefill engine read the prompt. @return where its result lies. */
  asio::awaitable<result<std::string>> ReadPrompt()
  {
    const service_runner_id id = *mChoice.mPrefill;
    const runner_state* const prefill = mState.mRunners.Find(id);
    if (prefill == nullptr) {
      co_return make_error_code(errc::eNoRunner);
    }
    const endpoint address = prefill->mEntry.mAddress;
    mPrefillName = prefill->mEntry.mName;
    send_plan plan = PlanFor(mPrefillName);
    plan.mPrefillOnly = true;
    const instant began = mState.Now();
    const duration limit = std::min(TimeLeft(), mChoice.mUntilRead + kReadSlack);
    upstream_answer answer =
      co_await SendToRunner<Wire>(mState, *mExchange, address, plan, mFacts.mId, false, limit);
    std::string body;
    if (answer.mConnection) {
      const result<void> read =
        co_await ReadBody(*answer.mConnection, body, kMostPrefillAnswer, limit);
      GiveBack(mState, *mExchange, address, answer.mConnection);
      if (!read) {
        answer.mEnd = send_end::eUnknown;
      }
    }
    if (answer.mEnd != send_end::eAnswered || answer.mFacts.mStatus != 200) {
      NotePrefillFailure(id, answer);
      co_return make_error_code(errc::eRunnerRefused);
    }
    const result<prefill_result> read = Wire::ReadPrefill(body);
    if (!read) {
      LogEvent(log_level::eWarning, "prefill_answer_unreadable", { { "request", mFacts.mId } });
      co_return read.error();
    }
    mState.mRunners.NoteOutcome(id, send_outcome::eServed, mState.Now());
    mRead = true;
    mState.mMetrics.CountPromptTokens("read", mDemand.mPromptTokens);
    mState.mPlacement.NoteRead(id, mChoice.mUntilRead, mState.Now() - began);
    if (mExchange->Gone()) {
      mEngines.Free(address, read.value());
    }
    co_return Join(ToText(address), "/", read.value().mHandle);
  }

  void NotePrefillFailure(service_runner_id aRunner, const upstream_answer& aAnswer)
  {
    if (mExchange->Gone()) {
      return;
    }
    const send_outcome outcome = OutcomeOf(aAnswer);
    mState.mRunners.NoteOutcome(aRunner, outcome, mState.Now());
    mDemand.mFailed.push_back(aRunner);
    mState.LogDecision(log_level::eWarning,
                       "prefill_failed",
                       mFacts.mId,
                       { { "runner", mPrefillName },
                         { "outcome", OutcomeName(outcome) },
                         { "status", aAnswer.mFacts.mStatus } });
  }

  /** Has the decode engine generate, and passes the events on. @return whether to go on elsewhere.
   */
  asio::awaitable<bool> Generate(const std::string& aPrefillAt)
  {
    send_plan plan = PlanFor(mDecodeName);
    plan.mReservation = mReservation.mId;
    plan.mPrefillAt = aPrefillAt;
    mReservation = {};
    upstream_answer answer = co_await SendToRunner<Wire>(
      mState, *mExchange, mDecodeAt, plan, mFacts.mId, true, TimeLeft() + kAnswerSlack);
    if (mExchange->Gone()) {
      if (answer.mConnection) {
        answer.mConnection->Abort();
      }
      co_return false;
    }
    if (answer.mEnd == send_end::eNotRun || answer.mEnd == send_end::eNotSent) {
      if (answer.mConnection) {
        answer.mConnection->Abort();
      }
      const send_outcome outcome = OutcomeOf(answer);
      mState.mRunners.NoteOutcome(mChoice.mDecode, outcome, mState.Now());
      mDemand.mFailed.push_back(mChoice.mDecode);
      ThrowAway("handoff_refused");
      mState.LogDecision(log_level::eWarning,
                         "handoff_failed",
                         mFacts.mId,
                         { { "runner", mDecodeName },
                           { "outcome", OutcomeName(outcome) },
                           { "status", answer.mFacts.mStatus } });
      ++mHandoffsLost;
      if (mHandoffsLost <= kMostReads && TakeReplacement()) {
        co_return true;
      }
      co_await GiveUp("handoff_refused");
      co_return false;
    }
    ++mSends;
    if (answer.mEnd == send_end::eUnknown) {
      co_return co_await AfterBreak();
    }
    const bool success = answer.mFacts.mStatus < 300;
    if (success && !answer.mFacts.mHasReceipt) {
      answer.mConnection->Abort();
      co_return co_await AfterBreak();
    }
    if (!success) {
      co_await PassFailure(answer);
      co_return false;
    }
    co_return co_await PassEvents(answer);
  }

  asio::awaitable<void> PassFailure(upstream_answer& aAnswer)
  {
    std::string body;
    const result<void> read =
      co_await ReadBody(*aAnswer.mConnection, body, kMostPrefillAnswer, TimeLeft() + kAnswerSlack);
    GiveBack(mState, *mExchange, mDecodeAt, aAnswer.mConnection);
    mState.mRunners.NoteOutcome(mChoice.mDecode, send_outcome::eFailed, mState.Now());
    if (mStarted) {
      mExchange->Tear();
      co_return;
    }
    if (!read) {
      mUnknown = true;
      co_await GiveUp("answer_broken");
      co_return;
    }
    co_await mExchange->Answer(aAnswer.mFacts.mStatus, aAnswer.mHead, body);
  }

  /** Passes a stream on. @return whether it broke and may go on elsewhere. */
  asio::awaitable<bool> PassEvents(upstream_answer& aAnswer)
  {
    upstream_connection& upstream = *aAnswer.mConnection;
    const std::uint32_t before = mEvents.Count();
    instant firstAt{ 0 };
    instant lastAt{ 0 };
    for (;;) {
      std::string bytes;
      const result<bool> read = co_await upstream.ReadSome(bytes, TimeLeft() + kAnswerSlack);
      std::string events = mEvents.Feed(bytes);
      const bool ended = read && !read.value();
      if (ended) {
        events += mEvents.Rest();
        mEvents.DropRest();
      }
      if (!events.empty()) {
        const bool open = co_await PassOn(aAnswer, events);
        if (!open) {
          upstream.Abort();
          co_return false;
        }
      }
      if (!events.empty()) {
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
      if (!read) {
        upstream.Abort();
        mEvents.DropRest();
        co_return co_await AfterBreak();
      }
      mState.mPlacement.Progress(mDemand.mRun, made, mState.Now());
      if (ended) {
        co_await mExchange->EndBody();
        GiveBack(mState, *mExchange, mDecodeAt, aAnswer.mConnection);
        mState.mRunners.NoteOutcome(mChoice.mDecode, send_outcome::eServed, mState.Now());
        const std::uint32_t paced =
          made > mTraits.mTokensPerEvent ? made - mTraits.mTokensPerEvent : 0;
        mState.mPlacement.NoteFinished(mDemand.mRun, made, paced, mState.Now() - firstAt);
        NoteServed(made);
        co_return false;
      }
    }
  }

  /** Sends events to the caller, with the head before the first ones. */
  asio::awaitable<bool> PassOn(const upstream_answer& aAnswer, const std::string& aEvents)
  {
    if (!mStarted) {
      mStarted = true;
      const std::optional<std::uint64_t> length; // Streams tell none.
      const bool open =
        co_await mExchange->StartBody(aAnswer.mFacts.mStatus, aAnswer.mHead, length);
      if (!open) {
        co_return false;
      }
    }
    const bool open = co_await mExchange->Write(aEvents);
    co_return open;
  }

  /** Decides how a request goes on whose run ended without a whole answer. */
  asio::awaitable<bool> AfterBreak()
  {
    if (mExchange->Gone()) { // The caller's leave ended the run, not the engine.
      ThrowAway("caller_left");
      mState.mRunners.NoteOutcome(mChoice.mDecode, send_outcome::eAbandoned, mState.Now());
      co_return false;
    }
    mState.mRunners.NoteOutcome(mChoice.mDecode, send_outcome::eFailed, mState.Now());
    mDemand.mFailed.push_back(mChoice.mDecode);
    mUnknown = true;
    ThrowAway("run_broke");
    mState.LogDecision(log_level::eWarning,
                       "generation_broke",
                       mFacts.mId,
                       { { "runner", mDecodeName },
                         { "events", mEvents.Count() },
                         { "resumable", mRoute.mResumable } });
    const bool mayGoOn = mRoute.mResumable && mSends < mRoute.mMaxRunners &&
                         TimeLeft() > mRoute.mFirstAnswer && !mExchange->Gone();
    if (mayGoOn && TakeReplacement()) {
      if (mEvents.Count() > mCountedEvents) {
        SkipMade(mEvents.Count() - mCountedEvents);
        mCountedEvents = mEvents.Count();
      }
      mArrived = mState.Now();
      co_return true;
    }
    if (mStarted) {
      mExchange->Tear();
      co_return false;
    }
    co_await GiveUp("generation_broke");
    co_return false;
  }

  /** Gives the final answer of a request that got no events. */
  asio::awaitable<void> GiveUp(std::string_view aReason)
  {
    if (mExchange->Gone()) {
      co_return;
    }
    unsigned status = 503;
    if (mUnknown) {
      status = TimeLeft() <= duration{ 0 } ? 504 : 502;
    }
    const duration spread = FromSeconds(ToSeconds(kComeBackSpread) * mState.Draw());
    const duration back = std::max(mComeBackIn, kEarliestComeBack) + spread;
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
                         { "refusals", mRefusals },
                         { "free_ms", mComeBackIn.count() / 1000 },
                         { "held_ms", (mState.Now() - mArrived).count() / 1000 } });
    if (mStarted) {
      mExchange->Tear();
      co_return;
    }
    if (status == 503) {
      NoteRefused();
    }
    co_await Refuse<Wire>(
      *mExchange, mFacts.mId, status, status == 503 ? back : duration{ 0 }, aReason);
  }

  /** Notes the refusal here and at the other daemons, so that a caller that comes back is known. */
  void NoteRefused()
  {
    mState.mRefused.Note(mFacts.mPromptKey, mState.Now());
    mState.mPlacement.NoteRefused(mDemand.mPromptTokens, mDemand.mAnswerTokens);
    run_message message;
    message.mRefused.push_back({ mFacts.mPromptKey, mDemand.mPromptTokens, mDemand.mAnswerTokens });
    mState.mTell(std::move(message));
  }

  void NoteFirstEvent(instant aNow)
  {
    mState.mMetrics.ObserveFirst(mRoute.mName, ToSeconds(aNow - mArrived));
    mState.LogDecision(log_level::eInfo,
                       "generation_started",
                       mFacts.mId,
                       { { "runner", mDecodeName },
                         { "prefill", mPrefillName },
                         { "prompt_key", mFacts.mPromptKey },
                         { "returned", mDemand.mReturned },
                         { "read_elsewhere", mChoice.mPrefill.has_value() },
                         { "expected_ms", mChoice.mUntilEvent.count() / 1000 },
                         { "first_ms", (aNow - mArrived).count() / 1000 },
                         { "peak", mChoice.mPeakShare } });
  }

  void NoteServed(std::uint32_t aMade)
  {
    mState.mMetrics.CountRequest(mRoute.mName, "served", "");
    mState.mMetrics.ObserveGap(mRoute.mName, ToSeconds(mLongestGap));
    mState.LogDecision(log_level::eInfo,
                       "generation_served",
                       mFacts.mId,
                       { { "route", mRoute.mName },
                         { "runner", mDecodeName },
                         { "longest_gap_ms", mLongestGap.count() / 1000 },
                         { "made", aMade },
                         { "prompt", mDemand.mPromptTokens },
                         { "expected", mDemand.mAnswerTokens },
                         { "ms", (mState.Now() - mArrived).count() / 1000 } });
  }

  /** Sends of a placement beyond the first: one for the read, one for the answer. */
  static constexpr double kSendsOfPlacement = 2.0;
  /** Reads of a prompt, or handoffs, that may fail before a request is given up on. */
  static constexpr std::uint32_t kMostReads = 2;
  /** Largest answer that is held whole. */
  static constexpr std::size_t kMostPrefillAnswer = 65536;

  forward_state& mState;                      ///< Shared.
  engine_calls<Wire> mEngines;                ///< Calls beside the request.
  caller_exchange_ptr mExchange;              ///< The caller's side.
  request_facts mFacts;                       ///< Of the request's head.
  std::shared_ptr<const route_table> mRoutes; ///< Keeps mRoute and mService alive.
  const forward_route& mRoute;                ///< Its route.
  const forward_service& mService;            ///< The service that takes it.
  engine_traits mTraits;                      ///< Of the service's engines.
  instant mArrived;                           ///< When it was read, or broke.
  instant mDeadline;                          ///< When it's too late.
  generation_demand mDemand;                  ///< What is asked of placement.
  placement_choice mChoice;                   ///< The place, once found.
  endpoint mDecodeAt;                         ///< Address of the decode engine.
  std::string mPrefillName;                   ///< Id of the engine that read the prompt.
  std::string mDecodeName;                    ///< Its id in the discovery.
  reservation mReservation;                   ///< Held and not used yet.
  event_splitter mEvents;                     ///< Events passed on, over all runs.
  std::uint32_t mCountedEvents = 0;           ///< Events counted into the demand's prompt.
  std::uint32_t mSends = 0;                   ///< Decode engines that may have run it.
  std::uint32_t mReads = 0;                   ///< Reads that failed.
  std::uint32_t mHandoffsLost = 0;            ///< Handoffs that were refused.
  std::uint32_t mRefusals = 0;                ///< Reservations that were refused.
  no_place mNoPlace = no_place::eNoEngine;    ///< Why there's no place.
  duration mComeBackIn{ 0 };                  ///< Expected time until there's a place.
  duration mLongestGap{ 0 };                  ///< Longest pause between events passed on.
  bool mRead = false;                         ///< A prefill engine has read the prompt.
  bool mPlaced = false;                       ///< The run is in the table.
  bool mTold = false;                         ///< The others know of the run.
  bool mStarted = false;                      ///< The caller has the head of the answer.
  bool mUnknown = false;                      ///< It may have run somewhere.
  bool mPrefillFailed = false;                ///< The last read failed.
};

} // namespace dunehook
