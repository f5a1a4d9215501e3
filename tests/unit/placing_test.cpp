/**
 * @file placing_test.cpp
 * Tests of the queue that places generations for all daemons, and of the encoding of its requests
 * and replies.
 */
#include "messages/place_message.h"
#include "placement/placement_queue.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr instant kNow = 100s;
const endpoint kRequester{ "10.0.0.7", 7000 };

engine_traits
Traits()
{
  engine_traits traits;
  traits.mSlots = 24;
  traits.mMemoryTokens = 18000;
  traits.mTokensPerEvent = 64;
  return traits;
}

runner_entry
Engine(const std::string& aName, engine_role aRole)
{
  runner_entry entry;
  entry.mName = aName;
  entry.mService = "tutor";
  entry.mHall = "a";
  entry.mRole = aRole;
  entry.mModels["m"] = 1;
  return entry;
}

place_request
Request(std::uint64_t aRun, std::uint32_t aRank = 1)
{
  place_request request;
  request.mDaemon = 70;
  request.mRound = 3;
  request.mRank = aRank;
  request.mPromptKey = 1000 + aRun;
  request.mWait.mNew = 180ms;
  generation_demand& demand = request.mDemand;
  demand.mRun = { aRun };
  demand.mService = "tutor";
  demand.mModel = "m";
  demand.mHall = "a";
  demand.mPromptTokens = 5000;
  demand.mAnswerTokens = 3000;
  demand.mMostTokens = 11000;
  demand.mFailed = { { 5 } };
  demand.mExcluded = { { 6 } };
  demand.mEventGap = 300ms;
  demand.mFirstEventWithin = 850ms;
  return request;
}

} // namespace

TEST_GROUP(placing)
{
  void setup() override
  {
    runner_listing listing;
    listing.mEnd = { 0, 1 };
    listing.mRunners = { Engine("p", engine_role::ePrefill), Engine("d", engine_role::eDecode) };
    mRunners.Apply(listing, kNow, false);
  }

  place_reply Ask(const place_request& aRequest, instant aNow = kNow)
  {
    return mPlaceQueue.Take(aRequest, aRequest.mDaemon, kRequester, aNow);
  }

  runner_table mRunners;      ///< A prefill and a decode engine.
  placement_table mPlacement; ///< All runs.
  refused_table mRefused;     ///< Recently refused prompts.
  /** Queue under test; the decode engine has room for one run. */
  placement_queue mPlaceQueue{ mPlacement, mRunners, mRefused, [](const std::string& aService) {
                                return aService == "tutor" ? std::optional(Traits()) : std::nullopt;
                              } };
};

TEST(placing, APlacementIsRecordedAtOnce)
{
  CHECK(Ask(Request(1)).mState == place_state::ePlaced);
  LONGS_EQUAL(1, mPlacement.RunCount());
  CHECK(Ask(Request(2)).mState == place_state::eQueued);
  LONGS_EQUAL(1, mPlaceQueue.Waiting());
}

TEST(placing, AQueuedRequestIsPlacedOnceThereIsRoom)
{
  Ask(Request(1));
  Ask(Request(2));
  LONGS_EQUAL(0, mPlaceQueue.Tick(kNow + 20ms).size());
  mPlacement.End({ 1 });
  const std::vector<addressed_reply> replies = mPlaceQueue.Tick(kNow + 40ms);
  LONGS_EQUAL(1, replies.size());
  CHECK(replies[0].mTo == kRequester);
  CHECK(replies[0].mReply.mState == place_state::ePlaced);
  CHECK(replies[0].mReply.mRun == run_id{ 2 });
  LONGS_EQUAL(3, replies[0].mReply.mRound);
  LONGS_EQUAL(0, mPlaceQueue.Waiting());
}

TEST(placing, TheMostUrgentIsPlacedFirstAndThenTheOneThatWaitsLongest)
{
  Ask(Request(1, 0));
  Ask(Request(2, 1));
  Ask(Request(3, 1));
  Ask(Request(4, 0));
  mPlacement.End({ 1 });
  const std::vector<addressed_reply> first = mPlaceQueue.Tick(kNow + 20ms);
  LONGS_EQUAL(1, first.size());
  CHECK(first[0].mReply.mRun == run_id{ 4 });
  mPlacement.End({ 4 });
  const std::vector<addressed_reply> second = mPlaceQueue.Tick(kNow + 40ms);
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].mReply.mRun == run_id{ 2 });
}

// A new caller can still be in time. A returned one can't, but gets a place afterwards.
TEST(placing, NewCallersArePlacedBeforeReturnedOnes)
{
  Ask(Request(1));
  place_request back = Request(2);
  back.mDemand.mReturned = true;
  back.mWait.mReturned = 3s;
  const place_reply queued = Ask(back);
  CHECK(queued.mState == place_state::eQueued);
  CHECK(queued.mWaitsFor == 3s);
  Ask(Request(3), kNow + 10ms);
  mPlacement.End({ 1 });
  const std::vector<addressed_reply> first = mPlaceQueue.Tick(kNow + 20ms);
  LONGS_EQUAL(1, first.size());
  CHECK(first[0].mReply.mRun == run_id{ 3 });
  mPlacement.End({ 3 });
  const std::vector<addressed_reply> second = mPlaceQueue.Tick(kNow + 2900ms);
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].mReply.mRun == run_id{ 2 });
  CHECK(second[0].mReply.mState == place_state::ePlaced);
}

// Priority comes before the order of new and returned callers.
TEST(placing, AMoreUrgentRouteGoesFirstEvenForAReturnedCaller)
{
  Ask(Request(1));
  Ask(Request(2, 1));
  place_request urgent = Request(3, 0);
  urgent.mDemand.mReturned = true;
  urgent.mWait.mReturned = 150ms;
  Ask(urgent);
  mPlacement.End({ 1 });
  const std::vector<addressed_reply> first = mPlaceQueue.Tick(kNow + 149ms);
  LONGS_EQUAL(1, first.size());
  CHECK(first[0].mReply.mRun == run_id{ 3 });
}

// Guards against requests that wait only to be refused: the queue must not be longer than the
// places given during the wait.
TEST(placing, ARequestThatWouldWaitInVainIsRefusedAtOnce)
{
  Ask(Request(1));
  std::uint64_t next = 2;
  while (Ask(Request(next)).mState == place_state::eQueued && next < 100) {
    ++next;
  }
  LONGS_EQUAL(10, next);                                     // Eight are queued.
  CHECK(Ask(Request(50, 0)).mState == place_state::eQueued); // More urgent than the eight.
  const place_reply refused = Ask(Request(51));
  CHECK(refused.mState == place_state::eNone);
  CHECK(refused.mFreeIn > duration{ 0 });
}

TEST(placing, AHighPlacementRateLetsMoreRequestsWait)
{
  for (std::uint64_t run = 1; run <= 100; ++run) {
    const instant at = kNow + 10ms * static_cast<int>(run);
    CHECK(Ask(Request(run), at).mState == place_state::ePlaced);
    mPlacement.End({ run });
  }
  const instant full = kNow + 1010ms;
  Ask(Request(101), full);
  int waiting = 0;
  while (waiting < 100 && Ask(Request(200 + static_cast<std::uint64_t>(waiting)), full).mState ==
                            place_state::eQueued) {
    ++waiting;
  }
  printf("waiting for 180 ms where 63 a second were placed of late: %d\n", waiting);
  CHECK(waiting >= 8);
  CHECK(waiting <= 12);
}

TEST(placing, ARequestWithoutAPlaceIsAnsweredAtTheEndOfItsWait)
{
  Ask(Request(1));
  Ask(Request(2));
  LONGS_EQUAL(0, mPlaceQueue.Tick(kNow + 170ms).size());
  const std::vector<addressed_reply> replies = mPlaceQueue.Tick(kNow + 180ms);
  LONGS_EQUAL(1, replies.size());
  CHECK(replies[0].mReply.mState == place_state::eNone);
  CHECK(replies[0].mReply.mReason == no_place::eNoMemory);
  CHECK(replies[0].mReply.mFreeIn > duration{ 0 });
  LONGS_EQUAL(0, mPlaceQueue.Waiting());
}

TEST(placing, ARequestThatMayNotWaitIsAnsweredAtOnce)
{
  Ask(Request(1));
  place_request hasty = Request(2);
  hasty.mWait.mNew = 0ms;
  CHECK(Ask(hasty).mState == place_state::eNone);
  LONGS_EQUAL(0, mPlaceQueue.Waiting());
}

TEST(placing, AWithdrawnRequestLeavesTheQueue)
{
  Ask(Request(1));
  Ask(Request(2));
  mPlaceQueue.Withdraw({ 2 });
  mPlacement.End({ 1 });
  LONGS_EQUAL(0, mPlaceQueue.Tick(kNow + 20ms).size());
  LONGS_EQUAL(0, mPlacement.RunCount());
}

TEST(placing, ARepeatedRequestIsQueuedOnce)
{
  Ask(Request(1));
  Ask(Request(2));
  Ask(Request(2), kNow + 50ms);
  LONGS_EQUAL(1, mPlaceQueue.Waiting());
}

TEST(placing, ARefusalByAnotherDaemonIsKnown)
{
  mRefused.Note(1001, kNow - 2s);
  CHECK_TRUE(Ask(Request(1)).mReturned);
  CHECK_FALSE(Ask(Request(2)).mReturned);
}

TEST(placing, AnEngineThatTheRequestingDaemonCannotUseIsNotChosen)
{
  place_request request = Request(1);
  request.mDemand.mExcluded = { RunnerIdOf("d") };
  CHECK(Ask(request).mState != place_state::ePlaced);
  CHECK(Ask(Request(2)).mState == place_state::ePlaced);
}

TEST(placing, AnUnknownServiceIsNotPlaced)
{
  place_request strange = Request(1);
  strange.mDemand.mService = "other";
  CHECK(Ask(strange).mState == place_state::eNotPlacing);
}

TEST(placing, TimeSpentWaitingIsTakenOffTheTimeToTheFirstEvent)
{
  place_request late = Request(2);
  late.mDemand.mFirstEventWithin = 200ms;
  Ask(Request(1));
  Ask(late);
  mPlacement.End({ 1 });
  // A read of 5,000 tokens takes 100 ms, which is more than the time left.
  LONGS_EQUAL(0, mPlaceQueue.Tick(kNow + 150ms).size());
}

// Guards against sending many callers to an unreachable engine: while one caller tries it again, no
// other is sent there. That makes 3 in 3 s, and 26 if all that arrive meanwhile are sent too.
TEST(placing, AnEngineThatWasNotReachedIsTriedByOneCallerAtATime)
{
  const service_runner_id engine = RunnerIdOf("d");
  constexpr duration kSilence = 250ms; // Timeout of a reservation.
  mRunners.NoteOutcome(engine, send_outcome::eUnreachable, kNow);
  std::deque<std::pair<instant, run_id>> waiting;
  std::uint64_t sent = 0;
  for (instant now = kNow; now < kNow + 3s; now += 20ms) {
    while (!waiting.empty() && waiting.front().first <= now) {
      mPlacement.End(waiting.front().second);
      mRunners.NoteOutcome(engine, send_outcome::eUnreachable, now);
      waiting.pop_front();
    }
    place_request request = Request(100 + sent);
    request.mDemand.mPromptTokens = 500;
    request.mDemand.mAnswerTokens = 100;
    request.mDemand.mMostTokens = 100;
    request.mWait.mNew = 0ms;
    if (Ask(request, now).mState == place_state::ePlaced) {
      ++sent;
      waiting.emplace_back(now + kSilence, request.mDemand.mRun);
    }
  }
  printf("callers sent to a silent engine in 3 s: %d\n", static_cast<int>(sent));
  CHECK(sent >= 3);
  CHECK(sent <= 6);
}

TEST(placing, AnEngineThatIsReachedAgainTakesTheNextCallerAtOnce)
{
  const service_runner_id engine = RunnerIdOf("d");
  mRunners.NoteOutcome(engine, send_outcome::eUnreachable, kNow);
  const instant back = kNow + 200ms;
  place_request first = Request(7);
  first.mDemand.mPromptTokens = 500;
  place_request second = Request(8);
  second.mDemand.mPromptTokens = 500;
  second.mWait.mNew = 0ms;
  LONGS_EQUAL(static_cast<int>(place_state::ePlaced), static_cast<int>(Ask(first, back).mState));
  LONGS_EQUAL(static_cast<int>(place_state::eNone), static_cast<int>(Ask(second, back).mState));
  mRunners.NoteReached(engine);
  LONGS_EQUAL(static_cast<int>(place_state::ePlaced), static_cast<int>(Ask(second, back).mState));
}

TEST(placing, RequestsAndRepliesSurviveEncoding)
{
  place_request request = Request(9);
  request.mWait.mReturned = 3s;
  const placing_message read = DecodePlacing(Encode(request));
  CHECK(std::get<place_request>(read) == request);
  place_reply reply;
  reply.mRun = { 9 };
  reply.mRound = 4;
  reply.mState = place_state::ePlaced;
  reply.mChoice = { { 1 }, service_runner_id{ 2 }, 30ms, 40ms, 0.5 };
  reply.mReason = no_place::eTooLate;
  reply.mFreeIn = 50ms;
  reply.mReturned = true;
  reply.mWaitsFor = 700ms;
  const placing_message answer = DecodePlacing(Encode(reply));
  const place_reply& got = std::get<place_reply>(answer);
  CHECK(got.mRun == reply.mRun && got.mRound == 4 && got.mState == place_state::ePlaced);
  CHECK(got.mChoice.mDecode == reply.mChoice.mDecode);
  CHECK(got.mChoice.mPrefill == reply.mChoice.mPrefill);
  CHECK(got.mChoice.mUntilRead == 30ms && got.mChoice.mUntilEvent == 40ms);
  CHECK(got.mReason == no_place::eTooLate && got.mFreeIn == 50ms && got.mReturned);
  CHECK(got.mWaitsFor == 700ms);
}

TEST(placing, InvalidBytesDecodeToNothing)
{
  CHECK(std::holds_alternative<std::monostate>(DecodePlacing("no message")));
  CHECK(std::holds_alternative<std::monostate>(DecodePlacing("")));
}
