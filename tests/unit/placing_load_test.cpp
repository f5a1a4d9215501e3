/**
 * @file placing_load_test.cpp
 * Simulates a load on engines in virtual time and counts the outcomes: once with each daemon
 * placing by itself, with delayed reports of the other daemons' runs, and once with one queue that
 * places for all. The simulated engines hold what the runs really need, refuse reservations that
 * don't fit, and preempt the newest run when their memory is full, as the users' engines do.
 */
#include "placement/placement_queue.h"
#include "tests/support/load_engines.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <ctime>
#include <deque>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

/** Load of the users' largest deployment: 60 generations per second, and 1.9 times as many in a
 * burst. */
constexpr double kRate = 60.0;
constexpr double kBurst = 1.9;
constexpr instant kBurstFrom = 6s;
constexpr instant kBurstTo = 11s;
constexpr instant kEnd = 18s;
constexpr duration kStep = 5ms;
/** Time from a placement until the other daemons know of it, where each places by itself: the
 * reservation and the report, with processes that get an eighth of a core. In a replay, first
 * events came 50 to 125 ms later than expected. */
constexpr duration kReportDelay = 80ms;

/** Counts of the outcomes. */
struct load_outcome
{
  int mAsked = 0;     ///< Generations.
  int mServed = 0;    ///< Runs that ended without being preempted.
  int mPreempted = 0; ///< Runs preempted for lack of memory.
  int mRefused = 0;   ///< Generations that found no place in 180 ms.
  int mNoRoom = 0;    ///< Reservations that engines refused.
};

/** A generation that isn't placed yet. */
struct load_request
{
  place_request mRequest; ///< The place request.
  double mAnswer = 0.0;   ///< Tokens that it will generate.
  instant mUntil{ 0 };    ///< Time at which it is refused.
};

/** The simulation. */
class load_player
{
public:
  explicit load_player(bool aCentral)
    : mCentral(aCentral)
    , mPlaceQueue(mTable, mRunners, mRefused, [this](const std::string&) {
      return std::optional(mTraits);
    })
  {
    mRunners.Apply(load_engines::List(kDecodes, kPrefills), kStep, false);
  }

  load_outcome Play()
  {
    for (instant now = kStep; now < kEnd; now += kStep) {
      Arrive(now);
      PlaceWaiting(now);
      TellLate(now);
      Generate(now);
    }
    return mOutcome;
  }

private:
  void Arrive(instant aNow)
  {
    const bool burst = aNow >= kBurstFrom && aNow < kBurstTo;
    const double expected = kRate * (burst ? kBurst : 1.0) * 0.005;
    const int count = mDraw.Count(expected);
    for (int index = 0; index < count; ++index) {
      load_request request;
      request.mRequest.mDemand = mDraw.Next(request.mAnswer);
      request.mUntil = aNow + 180ms;
      mUnplaced.push_back(request);
      ++mOutcome.mAsked;
    }
  }

  /** Tries to place all unplaced generations, the longest waiting first. */
  void PlaceWaiting(instant aNow)
  {
    std::deque<load_request> left;
    for (load_request& request : mUnplaced) {
      request.mRequest.mWait = {};
      const generation_demand& demand = request.mRequest.mDemand;
      placement_answer answer;
      if (mCentral) {
        const place_reply reply = mPlaceQueue.Take(request.mRequest, 1, {}, aNow);
        if (reply.mState == place_state::ePlaced) {
          answer.mChoice = reply.mChoice;
        }
      } else {
        answer = mTable.Choose(demand, mTraits, mRunners, aNow, false);
      }
      if (answer.mChoice && Reserve(request, *answer.mChoice, aNow)) {
        continue;
      }
      if (aNow >= request.mUntil) {
        ++mOutcome.mRefused;
        mTable.NoteRefused(demand.mPromptTokens, demand.mAnswerTokens);
      } else {
        left.push_back(request);
      }
    }
    mUnplaced = std::move(left);
  }

  bool Reserve(const load_request& aRequest, const placement_choice& aChoice, instant aNow)
  {
    const generation_demand& demand = aRequest.mRequest.mDemand;
    load_run run;
    run.mRun = demand.mRun;
    run.mPrompt = demand.mPromptTokens;
    run.mAnswer = aRequest.mAnswer;
    run.mFrom = aNow + aChoice.mUntilRead;
    if (!mEngines.Reserve(aChoice.mDecode, mTable.ReservedTokens(demand), run, aNow)) {
      ++mOutcome.mNoRoom;
      mTable.End(demand.mRun);
      if (mCentral) {
        mTable.NoteFull(aChoice.mDecode, aNow); // Refusals aren't reported to the other daemons.
      }
      return false;
    }
    if (!mCentral) {
      mUnreported.emplace_back(aNow + kReportDelay, RunOf(demand, aChoice, 1, aNow));
    }
    return true;
  }

  /** Adds the runs that other daemons placed kReportDelay ago. */
  void TellLate(instant aNow)
  {
    while (!mUnreported.empty() && mUnreported.front().first <= aNow) {
      mTable.Begin(mUnreported.front().second, aNow);
      mUnreported.pop_front();
    }
  }

  void Generate(instant aNow)
  {
    const engine_step step = mEngines.Step(mTable, aNow);
    mOutcome.mPreempted += step.mPreempted;
    for (const load_run& run : step.mEnded) {
      mOutcome.mServed += run.mPreempted ? 0 : 1;
    }
  }

  bool mCentral;                                  ///< Whether one queue places for all.
  engine_traits mTraits = load_engines::Traits(); ///< Traits of the engines.
  runner_table mRunners;                          ///< The engines.
  placement_table mTable;                         ///< Runs known where placements are decided.
  refused_table mRefused;                         ///< Unused, but required by the queue.
  placement_queue mPlaceQueue;                    ///< Places for all, if mCentral.
  load_outcome mOutcome;                          ///< So far.
  load_draw mDraw;                                ///< Generations; the same for both modes.
  load_engines mEngines;                          ///< Simulated engines.
  std::deque<load_request> mUnplaced;             ///< Generations without a place.
  /** Runs, and when the other daemons learn of them. */
  std::deque<std::pair<instant, run_record>> mUnreported;
};

} // namespace

TEST_GROUP(placing_load){};

// Guards against overcommitted engines. In a replay of a calm day with 295 daemons, 372 to 403 of
// 2,900 runs were preempted and 1,938 reservations refused when each daemon placed by itself; 87
// and 117 when one placed for all.
TEST(placing_load, CentralPlacementPreventsPreemptedRuns)
{
  const load_outcome alone = load_player(false).Play();
  const load_outcome central = load_player(true).Play();
  printf("alone: asked %d served %d put back %d refused %d no room %d\n",
         alone.mAsked,
         alone.mServed,
         alone.mPreempted,
         alone.mRefused,
         alone.mNoRoom);
  printf("central: asked %d served %d put back %d refused %d no room %d\n",
         central.mAsked,
         central.mServed,
         central.mPreempted,
         central.mRefused,
         central.mNoRoom);
  CHECK(central.mPreempted * 50 <= central.mAsked);
  CHECK(central.mNoRoom * 20 <= central.mAsked);
  CHECK(central.mServed > alone.mServed);
  CHECK(alone.mPreempted > 2 * central.mPreempted);
}

// The queue must keep up with a burst on half a core: 130 requests per second, and 66 ticks per
// second that try queued ones again.
TEST(placing_load, APlaceRequestAmongManyEnginesIsCheap)
{
  const auto began = std::chrono::steady_clock::now();
  const load_outcome central = load_player(true).Play();
  const auto took = std::chrono::steady_clock::now() - began;
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(took).count();
  printf("%lld us a generation\n", static_cast<long long>(micros / std::max(1, central.mAsked)));
  CHECK(micros / std::max(1, central.mAsked) < 20000);
}

namespace {

/** Ten times the engines of the users' largest deployment; a fifth are prefill engines. */
constexpr std::size_t kManyEngines = 3000;
constexpr std::size_t kRunsOnEach = 5;

/** @return processor time of a place request, with @p aEngines engines that all have runs.
 */
std::chrono::microseconds
TimePerRequest(std::size_t aEngines)
{
  runner_table runners;
  placement_table table;
  refused_table refused;
  const engine_traits traits = load_engines::Traits();
  placement_queue queue(
    table, runners, refused, [&](const std::string&) { return std::optional(traits); });
  const runner_listing listing = load_engines::List(aEngines - aEngines / 5, aEngines / 5);
  std::uint64_t runs = 0;
  for (const runner_entry& entry : listing.mRunners) {
    for (std::size_t run = 0; entry.mRole == engine_role::eDecode && run < kRunsOnEach; ++run) {
      run_record record;
      record.mRun = { ++runs };
      record.mDecode = RunnerIdOf(entry.mName);
      record.mPromptTokens = 5200;
      record.mAnswerTokens = 3000 + static_cast<std::uint32_t>(runs % 7) * 300;
      record.mMostTokens = 10880;
      record.mSeen = kStep;
      record.mDaemon = 1;
      table.Begin(record, kStep);
    }
  }
  runners.Apply(listing, kStep, false);
  constexpr int kRequests = 10;
  place_request request;
  request.mDemand.mService = "tutor";
  request.mDemand.mModel = "m";
  request.mDemand.mHall = "hall-1";
  request.mDemand.mPromptTokens = 5200;
  request.mDemand.mAnswerTokens = 4000;
  request.mDemand.mMostTokens = 10880;
  request.mDemand.mEventGap = 300ms;
  request.mDemand.mFirstEventWithin = 870ms;
  const std::clock_t began = std::clock();
  for (int index = 0; index < kRequests; ++index) {
    request.mDemand.mRun = { ++runs };
    CHECK(queue.Take(request, 1, {}, kStep).mState == place_state::ePlaced);
  }
  const double took = static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC / kRequests;
  return std::chrono::microseconds(static_cast<std::int64_t>(took * 1e6));
}

} // namespace

// Guards against timeouts of place requests: a daemon waits 60 ms for the reply of another one that
// has only part of a core. Comparing each of 2,400 decode engines with each of 600 prefill engines
// took 69 ms of a whole core, and 0.79 ms with 64 engines. Comparing the cheapest engines only
// takes 1.2 to 1.5 ms and 0.19 to 0.26 ms.
TEST(placing_load, APlaceRequestAmongThousandsOfEnginesIsAnsweredInTime)
{
  const std::chrono::microseconds few = TimePerRequest(64);
  const std::chrono::microseconds many = TimePerRequest(kManyEngines);
  printf("a place request among 64 engines: %lld us, among %zu: %lld us\n",
         static_cast<long long>(few.count()),
         kManyEngines,
         static_cast<long long>(many.count()));
  CHECK(many < 10ms);
}
