/**
 * @file placing_return_test.cpp
 * Simulates a burst that exceeds the engines' memory, with callers that are refused and retry once,
 * as the users' clients do. Counts the final outcomes: an answer in time, a late one, or none. Runs
 * in virtual time through the placement queue.
 */
#include "placement/placement_queue.h"
#include "placement/return_plan.h"
#include "tests/support/load_engines.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr duration kStep = 5ms;
constexpr duration kQueueTickInterval = 15ms;
constexpr duration kTarget = 900ms;
/** Wait limits of new and returned callers in the former mode, in which returned ones go first. */
constexpr duration kFormerWait = 180ms;
/** Callers' time limit, counted from their first attempt. */
constexpr duration kLimit = 14s;

/** A load over time. */
struct load_shape
{
  double mRate = 60.0;        ///< Generations per second.
  double mBurst = 3.6;        ///< Factor of the rate in the burst.
  instant mBurstFrom = 6s;    ///< Begin of the burst.
  instant mBurstTo = 10500ms; ///< End of the burst.
  instant mEnd = 24s;         ///< End of the arrivals.
};

/** Counts of the outcomes. */
struct return_outcome
{
  int mAsked = 0;     ///< Callers.
  int mInTime = 0;    ///< First event in time, and never preempted.
  int mLate = 0;      ///< Served, but late, or with a long pause.
  int mNone = 0;      ///< Refused for good.
  int mReturned = 0;  ///< Refused once, and retried.
  int mInVain = 0;    ///< Refusals after a wait of more than an eighth of the target.
  int mPreempted = 0; ///< Runs preempted for lack of memory.

  /** @return share of the best possible outcome: a late answer counts a fifth of one in time. */
  double Worth() const { return (mInTime + 0.2 * mLate) / mAsked; }
};

/** A caller. */
struct load_caller
{
  place_request mRequest; ///< Its place request.
  double mAnswer = 0.0;   ///< Tokens that its run will generate.
  instant mFirst{ 0 };    ///< Time of its first attempt.
  instant mAsked{ 0 };    ///< Time of its last attempt.
  instant mNext{ 0 };     ///< Time of its next attempt.
  bool mReturned = false; ///< Whether it was refused before.
};

/** The simulation. */
class return_player
{
public:
  return_player(const load_shape& aShape, bool aReturnedFirst)
    : mShape(aShape)
    , mReturnedFirst(aReturnedFirst)
    , mTable(aReturnedFirst ? ReturnedFirstTuning() : placement_tuning{})
    , mPlaceQueue(mTable, mRunners, mRefused, [](const std::string&) {
      return std::optional(load_engines::Traits());
    })
  {
    mRunners.Apply(load_engines::List(kDecodes, kPrefills), kStep, false);
  }

  return_outcome Play()
  {
    for (instant now = kStep; now < mShape.mEnd + kLimit; now += kStep) {
      Arrive(now);
      ComeBack(now);
      if (now % kQueueTickInterval == duration{ 0 }) {
        for (const addressed_reply& reply : mPlaceQueue.Tick(now)) {
          Take(reply.mReply, now);
        }
      }
      Generate(now);
    }
    mOutcome.mNone += static_cast<int>(mAsking.size() + mRefusedCallers.size());
    return mOutcome;
  }

private:
  /** Returned callers need less memory margin from the start of their wait. */
  static placement_tuning ReturnedFirstTuning()
  {
    placement_tuning tuning;
    tuning.mReturnedReserve = -tuning.mReturnedCredit;
    return tuning;
  }

  void Arrive(instant aNow)
  {
    const bool burst = aNow >= mShape.mBurstFrom && aNow < mShape.mBurstTo;
    const double rate = aNow < mShape.mEnd ? mShape.mRate * (burst ? mShape.mBurst : 1.0) : 0.0;
    const int count = mDraw.Count(rate * ToSeconds(kStep));
    for (int index = 0; index < count; ++index) {
      load_caller caller;
      caller.mRequest.mDemand = mDraw.Next(caller.mAnswer);
      caller.mRequest.mPromptKey = caller.mRequest.mDemand.mRun.mValue;
      caller.mFirst = aNow;
      ++mOutcome.mAsked;
      Ask(caller, aNow);
    }
  }

  void ComeBack(instant aNow)
  {
    for (auto away = mRefusedCallers.begin(); away != mRefusedCallers.end();) {
      if (away->mNext > aNow) {
        ++away;
        continue;
      }
      load_caller caller = *away;
      away = mRefusedCallers.erase(away);
      caller.mReturned = true;
      caller.mRequest.mDemand.mFirstEventWithin = 870ms;
      Ask(caller, aNow);
    }
  }

  void Ask(load_caller aCaller, instant aNow)
  {
    aCaller.mRequest.mWait = place_wait::Make(kTarget, kLimit - (aNow - aCaller.mFirst));
    if (mReturnedFirst) {
      aCaller.mRequest.mWait.mNew = kFormerWait;
      aCaller.mRequest.mWait.mReturned = kFormerWait;
    }
    aCaller.mAsked = aNow;
    const place_reply reply = mPlaceQueue.Take(aCaller.mRequest, 1, {}, aNow);
    mAsking[reply.mRun] = aCaller;
    Take(reply, aNow);
  }

  /** Handles the final reply to a caller. */
  void Take(const place_reply& aReply, instant aNow)
  {
    if (aReply.mState == place_state::eQueued) {
      return;
    }
    const load_caller caller = mAsking.at(aReply.mRun);
    mAsking.erase(aReply.mRun);
    if (aReply.mState == place_state::eNone && aNow - caller.mAsked > kTarget / 8) {
      ++mOutcome.mInVain;
    }
    if (aReply.mState == place_state::ePlaced && Reserve(caller, aReply.mChoice, aNow)) {
      return;
    }
    mTable.End(aReply.mRun);
    if (caller.mReturned) {
      ++mOutcome.mNone;
      return;
    }
    const generation_demand& demand = caller.mRequest.mDemand;
    mTable.NoteRefused(demand.mPromptTokens, demand.mAnswerTokens);
    mRefused.Note(caller.mRequest.mPromptKey, aNow);
    ++mOutcome.mReturned;
    load_caller away = caller;
    away.mNext = aNow + RetryAfter(aReply.mFreeIn, mDraw.Share());
    mRefusedCallers.push_back(away);
  }

  bool Reserve(const load_caller& aCaller, const placement_choice& aChoice, instant aNow)
  {
    const generation_demand& demand = aCaller.mRequest.mDemand;
    load_run run;
    run.mRun = demand.mRun;
    run.mPrompt = demand.mPromptTokens;
    run.mAnswer = aCaller.mAnswer;
    run.mFrom = aNow + aChoice.mUntilRead;
    if (!mEngines.Reserve(aChoice.mDecode, mTable.ReservedTokens(demand), run, aNow)) {
      mTable.NoteFull(aChoice.mDecode, aNow);
      return false;
    }
    mInTime[demand.mRun] = aNow + aChoice.mUntilEvent - aCaller.mFirst <= kTarget;
    return true;
  }

  void Generate(instant aNow)
  {
    const engine_step step = mEngines.Step(mTable, aNow);
    mOutcome.mPreempted += step.mPreempted;
    for (const load_run& run : step.mEnded) {
      const bool inTime = mInTime.at(run.mRun) && !run.mPreempted;
      mOutcome.mInTime += inTime ? 1 : 0;
      mOutcome.mLate += inTime ? 0 : 1;
    }
  }

  load_shape mShape;           ///< Load to simulate.
  bool mReturnedFirst;         ///< Former mode, in which returned callers go first.
  runner_table mRunners;       ///< The engines' entries.
  placement_table mTable;      ///< All runs.
  refused_table mRefused;      ///< Recently refused prompts.
  placement_queue mPlaceQueue; ///< Queue under test.
  load_engines mEngines;       ///< Simulated engines.
  load_draw mDraw;             ///< Draws the callers' generations.
  return_outcome mOutcome;     ///< So far.
  std::unordered_map<run_id, load_caller> mAsking; ///< Callers that wait for a reply.
  std::vector<load_caller> mRefusedCallers;        ///< Refused callers that will retry.
  std::unordered_map<run_id, bool> mInTime;        ///< Whether a run's first event is in time.
};

return_outcome
Play(const std::string& aName, const load_shape& aShape, bool aReturnedFirst)
{
  const return_outcome got = return_player(aShape, aReturnedFirst).Play();
  printf(
    "%s: asked %d in time %d late %d none %d, came back %d, in vain %d, put back %d, worth %.3f\n",
    aName.c_str(),
    got.mAsked,
    got.mInTime,
    got.mLate,
    got.mNone,
    got.mReturned,
    got.mInVain,
    got.mPreempted,
    got.Worth());
  return got;
}

} // namespace

TEST_GROUP(placing_return){};

// A burst of 2.2 times the engines' capacity, then a load of two thirds of it.
TEST(placing_return, AfterABurstNewCallersAreServedInTimeAndReturnedOnesToo)
{
  const return_outcome former = Play("returned first", {}, true);
  const return_outcome now = Play("new first", {}, false);
  CHECK(now.mInTime >= former.mInTime + 60);
  CHECK(now.mNone <= former.mNone);
  CHECK(now.mInVain <= former.mInVain);
  CHECK(now.Worth() >= former.Worth() + 0.02);
}

// Guards against a retry loop: with little spare capacity after the burst, returned callers took
// the places of new ones, which were refused and came back in turn, for as long as the load lasted.
TEST(placing_return, ManyReturnedCallersDoNotMakeNewOnesLate)
{
  load_shape shape;
  shape.mRate = 72.0;
  shape.mBurst = 3.2;
  const return_outcome former = Play("returned first", shape, true);
  const return_outcome now = Play("new first", shape, false);
  CHECK(now.mInTime >= former.mInTime + 150);
  CHECK(now.mNone <= former.mNone);
  CHECK(now.mInVain <= former.mInVain);
  CHECK(now.Worth() >= former.Worth() + 0.05);
}

// Without a burst, at about the engines' capacity.
TEST(placing_return, AtFullLoadMoreCallersAreServedInTime)
{
  load_shape shape;
  shape.mRate = 95.0;
  shape.mBurst = 1.0;
  const return_outcome former = Play("returned first", shape, true);
  const return_outcome now = Play("new first", shape, false);
  CHECK(now.mInTime >= former.mInTime);
  CHECK(now.mNone <= former.mAsked / 100);
  CHECK(now.Worth() >= former.Worth());
}

TEST(placing_return, AWaitLeavesTimeForTheRun)
{
  const place_wait wait = place_wait::Make(900ms, 14s);
  CHECK(wait.Of(false) == 450ms);
  CHECK(wait.Of(true) == 3s);
  CHECK(place_wait::Make(900ms, 3s).Of(true) == 990ms);
  CHECK(place_wait::Make(900ms, -1s) == place_wait{});
  CHECK(wait.After(500ms) == (place_wait{ 0ms, 2500ms }));
  CHECK(wait.Refused(900ms) == (place_wait{ 180ms, 3s }));
}

TEST(placing_return, CallersComeBackSpreadOut)
{
  CHECK(RetryAfter(0ms, 0.0) == 1500ms);
  CHECK(RetryAfter(0ms, 0.5) == 3s);
  CHECK(RetryAfter(2s, 0.0) == 2s);
}
