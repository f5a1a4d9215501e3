/**
 * @file limit_test.cpp
 * Unit tests of the limits that runners name: the order of answers, the bucket of permits, and a
 * daemon's part in sharing them.
 */
#include "limits/permit_broker.h"
#include "limits/return_slots.h"
#include "messages/run_message.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr service_runner_id kRunner{ 7001 };
constexpr incarnation_id kOne{ 11 };
constexpr incarnation_id kTwo{ 12 };
constexpr instant kStart = seconds(1000);

} // namespace

TEST_GROUP(limit_table)
{
  limit_table mTable; ///< Under test.

  void CheckLimit(double aPerSecond)
  {
    CHECK_TRUE(mTable.LimitOf(kRunner).has_value());
    DOUBLES_EQUAL(aPerSecond, mTable.LimitOf(kRunner).value_or(-1.0), 1e-9);
  }
};

TEST(limit_table, ALimitIsLearnedAndChanges)
{
  CHECK_TRUE(mTable.NoteNamed(kRunner, 5.8, kStart, kStart + milliseconds(10)) ==
             limit_change::eLearned);
  CheckLimit(5.8);
  CHECK_TRUE(mTable.NoteNamed(kRunner, 6.5, kStart + milliseconds(20), kStart + milliseconds(30)) ==
             limit_change::eChanged);
  CheckLimit(6.5);
}

TEST(limit_table, AnOlderAnswerThatArrivesLaterDoesNotRaiseTheLimit)
{
  mTable.NoteNamed(kRunner, 5.0, kStart + milliseconds(5), kStart + milliseconds(10));
  mTable.NoteNamed(kRunner, 9.0, kStart, kStart + milliseconds(20));
  CheckLimit(5.0);
  mTable.NoteNamed(kRunner, 9.0, kStart + milliseconds(21), kStart + milliseconds(30));
  CheckLimit(9.0);
}

TEST(limit_table, AnAnswerFromBeforeTheLimitDoesNotEndIt)
{
  mTable.NoteNamed(kRunner, 5.0, kStart, kStart + milliseconds(10));
  CHECK_TRUE(mTable.NoteNotNamed(kRunner, kStart + milliseconds(5), kStart + milliseconds(12)) ==
             limit_change::eNone);
  CheckLimit(5.0);
  CHECK_TRUE(mTable.NoteNotNamed(kRunner, kStart + milliseconds(15), kStart + milliseconds(20)) ==
             limit_change::eEnded);
  CHECK_FALSE(mTable.LimitOf(kRunner).has_value());
}

TEST(limit_table, TheRateRisesInStepsAfterTheEndOfALimit)
{
  mTable.NoteNamed(kRunner, 5.0, kStart, kStart);
  mTable.NoteNotNamed(kRunner, kStart, kStart);
  CHECK_TRUE(mTable.NeedsPermit(kRunner, kStart + kReleaseTime / 2));
  DOUBLES_EQUAL(10.0, mTable.RateOf(kRunner, kStart + kReleaseDoubling), 1e-6);
  CHECK_FALSE(mTable.NeedsPermit(kRunner, kStart + kReleaseTime));
}

TEST(limit_table, AnOlderNoticeChangesNothing)
{
  mTable.NoteNamed(kRunner, 5.0, kStart, kStart);
  mTable.Apply({ kRunner, 50.0, seconds(1) }, kStart);
  mTable.Apply({ kRunner, std::nullopt, seconds(1) }, kStart);
  CheckLimit(5.0);
  mTable.NoteNotNamed(kRunner, kStart, kStart);
  mTable.Apply({ kRunner, 50.0, seconds(1) }, kStart);
  CHECK_FALSE(mTable.LimitOf(kRunner).has_value());
}

TEST(limit_table, ALimitOfZeroLeavesRareSends)
{
  mTable.NoteNamed(kRunner, 0.0, kStart, kStart);
  DOUBLES_EQUAL(kMinLimitedRate, mTable.RateOf(kRunner, kStart), 1e-9);
}

TEST(limit_table, AnswersKeptAreBounded)
{
  for (int i = 0; i < 1000; ++i) { // All sent before any is received.
    mTable.NoteNamed(kRunner, 100.0 - i * 0.01, kStart, kStart + milliseconds(1 + i));
  }
  CheckLimit(100.0 - 9.99);
}

TEST_GROUP(permit_bucket)
{
  permit_bucket mBucket{ kStart }; ///< Under test.

  /** Asks for permits of two ranks at equal times. @return permits taken by each. */
  std::pair<int, int> Compete(double aRate, int aSeconds, int aUrgentEveryMs, int aOtherEveryMs)
  {
    std::pair<int, int> taken{ 0, 0 };
    for (int ms = 0; ms < aSeconds * 1000; ++ms) {
      const instant now = kStart + milliseconds(ms);
      mBucket.Fill(aRate, now);
      if (ms % aUrgentEveryMs == 0 && mBucket.Take(1, 0, now)) {
        ++taken.first;
      }
      if (ms % aOtherEveryMs == 1 && mBucket.Take(1, 5, now)) {
        ++taken.second;
      }
    }
    return taken;
  }
};

TEST(permit_bucket, OneRankAloneUsesTheWholeRate)
{
  const auto [urgent, other] = Compete(5.8, 20, 1000000, 20);
  CHECK_TRUE(other >= static_cast<int>(0.95 * 5.8 * 20));
  CHECK_TRUE(other <= static_cast<int>(5.8 * 20) + 4);
}

TEST(permit_bucket, UrgentRequestsGoFirstAndTheOthersAreNotStarved)
{
  const auto [urgent, other] = Compete(10.0, 20, 20, 20);
  CHECK_TRUE(urgent >= 140);
  CHECK_TRUE(other >= 30);
  CHECK_TRUE(urgent + other <= 204);
}

TEST(permit_bucket, UrgentRequestsThatWantLittleLeaveTheRest)
{
  const auto [urgent, other] = Compete(10.0, 20, 500, 20);
  CHECK_TRUE(urgent >= 38);
  CHECK_TRUE(other >= 140);
}

TEST(permit_bucket, ChargesNeverStopItForGood)
{
  for (int i = 0; i < 1000; ++i) {
    mBucket.Charge(1);
  }
  mBucket.Fill(1.0, kStart + seconds(10));
  CHECK_TRUE(mBucket.Take(1, 0, kStart + seconds(10)));
}

TEST_GROUP(permit_broker)
{
  permit_broker mBroker; ///< Under test, of daemon kOne.

  void SetMembers(std::set<incarnation_id> aServing, instant aNow, bool aLate = false)
  {
    mBroker.SetMembers(kOne, std::move(aServing), aLate, aNow);
  }
  /** Asks as often as a daemon may for a while. @return permits granted. */
  int CountGranted(instant aFrom, duration aFor)
  {
    int granted = 0;
    for (instant now = aFrom; now < aFrom + aFor; now += milliseconds(10)) {
      const permit_request request = mBroker.MakeRequest(kRunner, 1, 1, now);
      granted += mBroker.Answer(request, kTwo, now).mState == permit_state::eGranted ? 1 : 0;
    }
    return granted;
  }
};

TEST(permit_broker, ANewGrantorBeginsWithNothingAndThenHalf)
{
  mBroker.Limits().NoteNamed(kRunner, 10.0, kStart, kStart);
  SetMembers({ kOne }, kStart);
  LONGS_EQUAL(0, CountGranted(kStart, kGrantorWarmUp));
  const int half = CountGranted(kStart + kGrantorWarmUp, kNewGrantorTime);
  CHECK_TRUE(half <= 15 + 1);
  CHECK_TRUE(half >= 13);
  const int whole = CountGranted(kStart + kGrantorWarmUp + kNewGrantorTime, seconds(4));
  CHECK_TRUE(whole >= 38);
  CHECK_TRUE(whole <= 42);
}

TEST(permit_broker, AGrantorOfStableMembersGrantsAtOnce)
{
  SetMembers({ kOne }, kStart);
  const instant now = kStart + kStableMembersTime;
  mBroker.Limits().NoteNamed(kRunner, 10.0, now, now);
  CHECK_TRUE(CountGranted(now, seconds(2)) >= 17);
}

TEST(permit_broker, AGrantorThatStoodStillBeginsAnew)
{
  SetMembers({ kOne }, kStart);
  const instant now = kStart + kStableMembersTime;
  mBroker.Limits().NoteNamed(kRunner, 10.0, now, now);
  CHECK_TRUE(CountGranted(now, seconds(1)) > 0);
  SetMembers({ kOne }, now + seconds(2), true);
  LONGS_EQUAL(0, CountGranted(now + seconds(2), kGrantorWarmUp));
}

TEST(permit_broker, ADaemonThatHearsFewGrantsTheirPartOnly)
{
  SetMembers({ kOne, kTwo, { 13 }, { 14 } }, kStart);
  SetMembers({ kOne }, kStart + seconds(1));
  const instant now = kStart + seconds(1) + kStableMembersTime;
  mBroker.Limits().NoteNamed(kRunner, 20.0, now, now);
  const int granted = CountGranted(now, seconds(4));
  CHECK_TRUE(granted <= 20 + 3);
  CHECK_TRUE(granted >= 16);
}

TEST(permit_broker, HostsThatWereTakenAwayAreForgotten)
{
  SetMembers({ kOne, kTwo, { 13 }, { 14 } }, kStart);
  SetMembers({ kOne }, kStart + seconds(1));
  const instant now = kStart + seconds(2) + kMostHeardMemory;
  SetMembers({ kOne }, now);
  mBroker.Limits().NoteNamed(kRunner, 20.0, now, now);
  CHECK_TRUE(CountGranted(now, seconds(4)) >= 76);
}

TEST(permit_broker, ASilentGrantorIsPassedOverUntilItIsHeard)
{
  SetMembers({ kOne, kTwo }, kStart);
  mBroker.Limits().NoteNamed(kRunner, 10.0, kStart, kStart);
  const std::optional<incarnation_id> first = mBroker.GrantorOf(kRunner);
  CHECK_TRUE(first.has_value());
  for (std::uint32_t i = 0; i < kMaxUnansweredRequests; ++i) {
    mBroker.NoteNoReply(*first, mBroker.MakeRequest(kRunner, 1, 1, kStart), kStart);
  }
  CHECK_TRUE(mBroker.GrantorOf(kRunner) != first);
  LONGS_EQUAL(1, mBroker.DueChecks(kStart).size());
  LONGS_EQUAL(0, mBroker.DueChecks(kStart).size());
  mBroker.NoteHeard(*first, kStart);
  CHECK_TRUE(mBroker.GrantorOf(kRunner) == first);
}

TEST(permit_broker, ADeniedDaemonAsksForMoreUrgentRequestsOnly)
{
  SetMembers({ kOne }, kStart);
  mBroker.Limits().NoteNamed(kRunner, 1.0, kStart, kStart);
  permit_reply denied;
  denied.mRunner = kRunner;
  denied.mState = permit_state::eDenied;
  denied.mWait = milliseconds(300);
  mBroker.NoteReply(denied, 3, kStart);
  LONGS_EQUAL(1, mBroker.Held(3, kStart).size());
  LONGS_EQUAL(1, mBroker.Held(4, kStart).size());
  LONGS_EQUAL(0, mBroker.Held(2, kStart).size());
  LONGS_EQUAL(0, mBroker.Held(3, kStart + milliseconds(300)).size());
}

TEST(permit_broker, ADaemonThatANewGrantorDeniesAsksAgainSoonAfterItBeginsToGrant)
{
  SetMembers({ kOne }, kStart);
  mBroker.Limits().NoteNamed(kRunner, 5.0, kStart, kStart);
  const permit_request request = mBroker.MakeRequest(kRunner, 1, 1, kStart);
  const permit_reply reply = mBroker.Answer(request, kOne, kStart);
  CHECK_TRUE(reply.mState == permit_state::eDenied);
  CHECK_TRUE(reply.mWait >= kGrantorWarmUp);
  CHECK_TRUE(reply.mWait <= kGrantorWarmUp + milliseconds(500));
}

TEST_GROUP(return_slots){};

TEST(return_slots, RefusedCallersReturnOneAfterTheOther)
{
  return_slots slots;
  LONGS_EQUAL(500'000, slots.Next(2.0, kStart).count());
  LONGS_EQUAL(1'000'000, slots.Next(2.0, kStart).count());
  LONGS_EQUAL(1'000'000, slots.Next(2.0, kStart + milliseconds(500)).count());
  for (int i = 0; i < 100; ++i) {
    CHECK_TRUE(slots.Next(2.0, kStart) <= kMaxReturnAhead);
  }
}

TEST_GROUP(permit_message){};

TEST(permit_message, SurvivesTheWire)
{
  run_message sent;
  sent.mDaemon = 5;
  permit_message& permits = sent.mPermits.emplace();
  permits.mNotices = { { kRunner, 5.8, milliseconds(20) },
                       { { 7002 }, std::nullopt, milliseconds(30) } };
  permit_request request;
  request.mRunner = kRunner;
  request.mRound = 9;
  request.mSends = 2;
  request.mRank = 3;
  request.mCharge = true;
  request.mRetries = true;
  request.mKnown = limit_notice{ kRunner, 5.8, milliseconds(20) };
  request.mHeard = { 300, milliseconds(40) };
  permits.mRequest = request;
  permits.mReply =
    permit_reply{ kRunner, 9, permit_state::eDenied, milliseconds(120), { 58, milliseconds(10) } };
  const std::optional<run_message> got = DecodeRunMessage(Encode(sent, kStart), kStart);
  CHECK_TRUE(got.has_value());
  CHECK_TRUE(*got == sent);
}

TEST(permit_message, LimitsThatAreNoRatesAreLeftOut)
{
  run_message sent;
  sent.mDaemon = 5;
  sent.mPermits.emplace().mNotices = { { kRunner, -1.0, duration{ 0 } },
                                       { { 7002 }, 3.0, duration{ 0 } } };
  const std::optional<run_message> got = DecodeRunMessage(Encode(sent, kStart), kStart);
  CHECK_TRUE(got && got->mPermits);
  LONGS_EQUAL(1, got->mPermits->mNotices.size());
}
