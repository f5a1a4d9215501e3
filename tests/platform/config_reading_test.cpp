/**
 * @file config_reading_test.cpp
 * How daemons come by a new configuration where it is large, links are thin, the store is slow or
 * answers are lost. Real daemons on the stand-in of the platform.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <csignal>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Time in which a change must be in force at every daemon, from the store's answer, where links
 * are thin, and elsewhere; ms. */
constexpr int kInForceMs = 3000;
constexpr int kShortInForceMs = 2000;
/** How long the store is silent: several reads of 0.7 s and twice as long each; ms. */
constexpr int kSilenceMs = 6500;
/** Silences after which a wait of 3 s has just begun, and the time until a write; ms. */
constexpr std::array<int, 2> kSilencesMs{ 5000, 6050 };
constexpr int kWriteAfterMs = 100;
/** What a call to a slow store takes more; ms. */
constexpr int kSlowMs = 450;
/** Time between two positions that are out of date; ms. */
constexpr int kOldReportIntervalMs = 30;
/** A link that carries 1 MB in 0.25 s, in KB a second. */
constexpr int kFasterLinkKBytesPerS = 5000;
/** Whole reads of the two versions that a daemon may take in: one each, and one more. */
constexpr std::uint64_t kMaxReads = 3;
/** How long calls to the store are counted; ms. */
constexpr int kWatchMs = 3000;
/** Calls that a daemon may make meanwhile for what it can't get: two a second, for the
 * configuration and for the runners each. */
constexpr std::uint64_t kMaxCalls = 12;
/** A version that nobody writes, and the time between two claims of it; ms. */
constexpr std::uint64_t kNeverWritten = 99;
constexpr int kReportIntervalMs = 300;
/** Until a daemon leaves the store to another: it's told, and the wait that it has begun is over;
 * ms.
 */
constexpr int kUntilReportsUsedMs = 4000;
/** A link of 10 Mbit/s, in KB a second. */
constexpr int kSlowLinkKBytesPerS = 1250;

/** @return a message in which another daemon tells of a version. */
run_message
PositionReport(std::uint64_t aVersion)
{
  run_message message;
  message.mDaemon = 77;
  message.mStore = store_position{ { 1, 1 }, aVersion };
  return message;
}

} // namespace

TEST_GROUP(config_reading)
{
  /** Starts a daemon on a fast link and one on a thin one, which hear each other. */
  void StartTwo()
  {
    mBed.AddRunner("desk-1");
    mBed.PutConfig(1);
    mBed.StartDaemon();
    platform_daemon_options options;
    options.mOwnStoreLink = true;
    mBed.StartDaemon(options);
    CHECK(mBed.Daemon(0).WaitForLine("daemon_heard") != "");
    CHECK(mBed.Daemon(1).WaitForLine("daemon_heard") != "");
    CHECK_FALSE(Eventually([] { return false; }, kUntilReportsUsedMs));
    mBed.SetProxy(fleet_bed::StoreLink(1), { { "answer_kb_s", kSlowLinkKBytesPerS } });
  }

  /** Writes a large version, and tells the second daemon of it while the first, which would hand it
   * on, stands still. */
  void ReportWithoutPeer()
  {
    mBed.Daemon(0).Signal(SIGSTOP);
    mBed.PutConfig(2, ManyRoutes(2));
    mBed.SendToRuns(PositionReport(2), 1);
  }

  fleet_bed mBed; ///< The deployment.

  /** Starts a daemon that reads the runners and one that is told, and has one more read lately. */
  void StartReaderAndListener()
  {
    mBed.StartUsual();
    mBed.StartDaemon();
    CHECK(mBed.Daemon(1).WaitForLine("daemon_heard") != "");
    CHECK_FALSE(
      Eventually([] { return false; }, kUntilReportsUsedMs)); // The second leaves the store to it.
    mBed.AddRunner("desk-3");
    CHECK(mBed.Daemon(1).WaitForLine("\"runner\":\"desk-3\"") != "");
  }

  /** @return a message of another hall's reader, which was first with what comes next after
   * StartReaderAndListener(): six entries lie in the store by then. */
  run_message LeaveReport() const
  {
    run_message first;
    first.mDaemon = 77;
    first.mStore = store_position{ { 1, 7 }, 1 };
    runner_entry leaving;
    leaving.mName = "desk-1";
    leaving.mService = "desk";
    leaving.mHall = "hall-a";
    leaving.mSlots = 8;
    leaving.mAddress = ParseEndpoint(mBed.EntryOf("desk-1").value("address", "")).value();
    leaving.mLeaving = true;
    first.mRunners = runner_changes{ { 1, 6 }, { 1, 7 }, { leaving }, {}, false };
    return first;
  }
};

// A daemon that the store turns away has the configuration from another one of its hall.
TEST(config_reading, ADaemonRefusedByTheStoreGetsTheConfigurationFromAnother)
{
  StartTwo();
  mBed.SetProxy(fleet_bed::StoreLink(1), { { "refuse", 1 }, { "reset", 1 } });
  mBed.PutConfig(2, ManyRoutes(2));
  CHECK(ServesAdded(mBed, 1, 2, kShortInForceMs));
  mBed.PutConfig(3, ManyRoutes(3));
  CHECK(ServesAdded(mBed, 1, 3, kShortInForceMs));
}

// So it has the runners: one that leaves is known there within half of the time that it has.
TEST(config_reading, ADaemonRefusedByTheStoreLearnsOfLeavingRunnersFromAnother)
{
  StartTwo();
  mBed.AddRunner("desk-2");
  CHECK_FALSE(Eventually([] { return false; }, kUntilReportsUsedMs));
  mBed.SetProxy(fleet_bed::StoreLink(1), { { "refuse", 1 }, { "reset", 1 } });
  mBed.List("desk-2", "draining");
  CHECK(mBed.Daemon(1).WaitForLine("\"leaving\":true", kShortInForceMs / 2) != "");
}

// 295 daemons made 11,313 calls to the store on a calm day of 48 s, 2,576 with the runners handed
// on; two made some 2 a second for two daemons.
TEST(config_reading, ADaemonThatGetsReportsDoesNotCallTheStore)
{
  StartTwo();
  const std::uint64_t before = mBed.ConnectionsThrough(fleet_bed::StoreLink(1));
  const std::uint64_t bytes = mBed.BytesThrough(fleet_bed::StoreLink(1));
  mBed.AddRunner("desk-2");
  mBed.PutConfig(2, ManyRoutes(2));
  CHECK(ServesAdded(mBed, 1, 2, kInForceMs));
  mBed.List("desk-2", "draining");
  CHECK(mBed.Daemon(1).WaitForLine("\"leaving\":true", kShortInForceMs) != "");
  CHECK_EQUAL(before, mBed.ConnectionsThrough(fleet_bed::StoreLink(1)));
  CHECK_EQUAL(bytes, mBed.BytesThrough(fleet_bed::StoreLink(1)));
}

// Callers of a route that had been added 6 and 8 s before got 404, at daemons on links of 10
// Mbit/s. In order: a configuration of 4,248 routes was written; the daemons on faster links had it
// in force and told the others; 18 of 62 daemons then took in all that their links carried for 20
// to 30 s, failed their readiness, lost runners, and had the next version, one route more, in force
// up to 26 s after it was written. Cause: a daemon that knew of a newer version began a read of the
// whole configuration every 250 ms, whether the last one had ended or not. Where one read takes
// longer, each slows the others, and all but one are thrown away. Evidence: 19 to 34 MB taken in
// for two versions of 1 MB; a line "config_behind" every 250 ms until the version was there; 0 to
// 6% of the processor; a store that refused nothing.
TEST(config_reading, ALargeConfigurationIsInForceInTimeOnAThinLink)
{
  StartTwo();
  const std::uint64_t before = mBed.BytesThrough(fleet_bed::StoreLink(1));
  mBed.PutConfig(2, ManyRoutes(2));
  CHECK(ServesAdded(mBed, 1, 2, kInForceMs));
  mBed.PutConfig(3, ManyRoutes(3));
  CHECK(ServesAdded(mBed, 1, 3, kInForceMs));
  const std::uint64_t taken = mBed.BytesThrough(fleet_bed::StoreLink(1)) - before;
  CHECK(taken < kMaxReads * WholeReadBytes(3));
}

// A read that is the only one at a time must not hold the next one up when its answer is lost.
TEST(config_reading, AFullReadIsRepeatedWhenItsAnswerIsLost)
{
  StartTwo();
  mBed.SetStore("lose_whole");
  ReportWithoutPeer();
  CHECK(ServesAdded(mBed, 1, 2, kInForceMs));
  CHECK(mBed.Daemon(1).WaitForLine("deadline_passed") != "");
}

// Same cause as above in another place: what another daemon tells was asked of the store again
// every 100 and every 250 ms, also while the store turned the daemon away or held nothing newer.
TEST(config_reading, ADaemonRefusedByTheStoreCallsItSeldom)
{
  StartTwo();
  mBed.SetProxy(fleet_bed::StoreLink(1), { { "refuse", 1 }, { "reset", 1 } });
  ReportWithoutPeer();
  CHECK(mBed.Daemon(1).WaitForLine("config_behind") != "");
  const std::uint64_t before = mBed.ConnectionsThrough(fleet_bed::StoreLink(1));
  CHECK_FALSE(Eventually([] { return false; }, kWatchMs));
  CHECK(mBed.ConnectionsThrough(fleet_bed::StoreLink(1)) - before <= kMaxCalls);
  mBed.MendProxy(fleet_bed::StoreLink(1));
  CHECK(ServesAdded(mBed, 1, 2, kInForceMs));
}

TEST(config_reading, AReportedVersionThatTheStoreLacksCostsFewReads)
{
  StartTwo();
  const std::uint64_t before = mBed.WholeReads();
  const instant until = boot_clock_source{}.Now() + std::chrono::milliseconds(kWatchMs);
  while (boot_clock_source{}.Now() < until) {
    mBed.SendToRuns(PositionReport(kNeverWritten), 1);
    CHECK_FALSE(Eventually([] { return false; }, kReportIntervalMs));
  }
  CHECK(mBed.WholeReads() - before <= kMaxCalls);
  mBed.PutConfig(2, ManyRoutes(2));
  CHECK(ServesAdded(mBed, 1, 2, kInForceMs));
}

// Callers were served by a configuration that had been replaced 6 s before, after a store that had
// been silent for some seconds. In order: reads of the configuration got no answer; each was given
// twice the time of the one before; the store came back while one of them, whose answer was lost
// for good, had most of 6 s left; a new configuration was written; the read had to end first.
// Cause: the longer time is meant for a store that takes long to begin, and was given to one that
// said nothing at all. Evidence: reads that ended as late after 0.7, 1.4, 2.8 and 5.6 s, and reads
// of the runners that were answered during the last one.
TEST(config_reading, AfterASilenceADaemonIsNotBehindForLong)
{
  StartTwo();
  mBed.SetProxy(fleet_bed::StoreLink(1), { { "answer_kb_s", 0 }, { "stall", 1 } });
  mBed.PutConfig(2, ManyRoutes(2));
  CHECK_FALSE(Eventually([] { return false; }, kSilenceMs));
  mBed.SetProxy(fleet_bed::StoreLink(1), { { "silence", 1 }, { "stall", 0 } });
  CHECK(ServesAdded(mBed, 1, 2, kShortInForceMs));
}

TEST(config_reading, ADaemonStartedWhileTheStoreIsSilentIsReadySoonAfter)
{
  mBed.AddRunner("desk-1");
  mBed.PutConfig(1);
  mBed.SetStore("silent");
  mBed.StartDaemon(false);
  CHECK_FALSE(Eventually([] { return false; }, kSilenceMs));
  mBed.SetStore("");
  CHECK(Eventually([&] { return mBed.Readiness() == 200; }, kShortInForceMs));
}

// A wait that began just before the store came back is lost like those before it: a read of the
// runners that is answered again ends it.
TEST(config_reading, AConfigurationWrittenAsTheStoreComesBackIsInForceInTime)
{
  mBed.AddRunner("desk-1");
  mBed.PutConfig(1);
  mBed.StartDaemon();
  int version = 1;
  for (const int silence : kSilencesMs) {
    ++version;
    mBed.SetStore("silent");
    CHECK_FALSE(Eventually([] { return false; }, silence));
    mBed.SetStore("");
    CHECK_FALSE(Eventually([] { return false; }, kWriteAfterMs));
    mBed.PutConfig(version, json::array({ AddedRoute(version) }));
    CHECK(ServesAdded(mBed, 0, version, kShortInForceMs));
  }
}

// Where a store took 350 ms and more for a call, daemons that are told by others took these for
// silent now and then, and read all of the configuration again though nothing had changed.
TEST(config_reading, ASlowStoreCostsNoWholeReadsWhileNothingChanges)
{
  StartTwo();
  mBed.SetStore("slow", kSlowMs);
  CHECK_FALSE(Eventually([] { return false; }, kSilenceMs));
  const std::uint64_t before = mBed.WholeReads();
  CHECK_FALSE(Eventually([] { return false; }, 2 * kWatchMs));
  CHECK_EQUAL(before, mBed.WholeReads());
}

// Daemons that read the store for others aren't equally far. One that was behind took back what
// another had just told, and a leaving runner became known after 3.8 s.
TEST(config_reading, AReportOfAnOlderPositionUndoesNothing)
{
  StartTwo();
  mBed.AddRunner("desk-2");
  CHECK_FALSE(Eventually([] { return false; }, kUntilReportsUsedMs));
  mBed.List("desk-2", "draining");
  bool known = false;
  const instant until = boot_clock_source{}.Now() + std::chrono::milliseconds(kShortInForceMs);
  while (!known && boot_clock_source{}.Now() < until) {
    mBed.SendToRuns(PositionReport(1), 1);
    known = mBed.Daemon(1).WaitForLine("\"leaving\":true", kOldReportIntervalMs) != "";
  }
  CHECK(known);
}

TEST(config_reading, AStalledReadIsRepeated)
{
  StartTwo();
  mBed.SetProxy(fleet_bed::StoreLink(1), { { "answer_kb_s", kFasterLinkKBytesPerS } });
  mBed.SetStore("stall_whole");
  mBed.PutConfig(2, ManyRoutes(2));
  CHECK(ServesAdded(mBed, 1, 2, kShortInForceMs));
}

// Callers were sent to a runner that had said that it leaves, for over 3 s, by 27 of 295 daemons.
// In order: the reader of one hall read the leave and told all; the reader of another hall was
// told, was at the new position by that, and told this position in its turn with the changes that
// it had read itself, which the leave wasn't among; who heard the second one first took the list
// for up to date. Cause: the changes that were kept had a gap where another's had been taken in.
// Evidence: the lines of such a daemon go from position 100 to 110 without the runners that changed
// at 103.
TEST(config_reading, ChangesFromAnotherReaderAreNotSkippedInReports)
{
  StartReaderAndListener();
  mBed.SendToRuns(LeaveReport(), 0);
  mBed.List("desk-1", "draining");
  CHECK(mBed.Daemon(0).WaitForLine("\"leaving\":true") != "");
  CHECK(mBed.Daemon(1).WaitForLine("\"leaving\":true", kShortInForceMs) != "");
}

// The same, where the reader is told while it waits for the answer of its own read.
TEST(config_reading, ChangesReportedDuringAReadAreNotSkipped)
{
  StartReaderAndListener();
  mBed.SetStore("hold_runners");
  CHECK(Eventually([&] { return mBed.HeldReads() > 0; }));
  mBed.SendToRuns(LeaveReport(), 0);
  mBed.List("desk-1", "draining");
  CHECK(mBed.Daemon(0).WaitForLine("\"leaving\":true") != "");
  mBed.SetStore("");
  CHECK(mBed.Daemon(1).WaitForLine("\"leaving\":true", kShortInForceMs) != "");
}

// Callers were served by a configuration that had been replaced 2.4 s before. In order: the store
// turned the readers of two halls away; that of the third waited for the next configuration, and
// the store answered its wait only when that was over, after 3 s, though the record was there.
// Cause: the wait was longer than the time in which a change must be in force, and all daemons
// relied on it. Evidence: a wait from 2.65 to 5.66 s, which brought what had been written at 2.67
// s; the others were told by that reader every 0.9 s that nothing was new.
TEST(config_reading, ALongPollThatMissesARecordEndsInTime)
{
  StartTwo();
  mBed.SetStore("deaf");
  CHECK_FALSE(
    Eventually([] { return false; }, kUntilReportsUsedMs)); // The waits are begun anew by then.
  mBed.PutConfig(2, json::array({ AddedRoute(2) }));
  CHECK(ServesAdded(mBed, 0, 2, kUntilReportsUsedMs)); // From then on it waits for the next.
  mBed.PutConfig(3, json::array({ AddedRoute(2), AddedRoute(3) }));
  CHECK(ServesAdded(mBed, 0, 3, kShortInForceMs));
}

// A wait takes its whole time where the store doesn't notice what has been written already.
TEST(config_reading, ADaemonThatTakesOverFindsRecordsWrittenMeanwhile)
{
  mBed.AddRunner("desk-1");
  mBed.PutConfig(1);
  platform_daemon_options options;
  options.mOwnStoreLink = true;
  mBed.StartDaemon(options);
  mBed.StartDaemon();
  CHECK(mBed.Daemon(0).WaitForLine("daemon_heard") != "");
  CHECK(mBed.Daemon(1).WaitForLine("daemon_heard") != "");
  CHECK_FALSE(
    Eventually([] { return false; }, kUntilReportsUsedMs)); // The second leaves the store to it.
  mBed.SetStore("deaf");
  mBed.SetProxy(fleet_bed::StoreLink(0), { { "refuse", 1 }, { "reset", 1 } });
  mBed.SendToRuns(PositionReport(1), 1); // The last that it hears of the store.
  mBed.PutConfig(2, json::array({ AddedRoute(2) }));
  CHECK(ServesAdded(mBed, 1, 2, kShortInForceMs));
  CHECK(ServesAdded(mBed, 0, 2, kUntilReportsUsedMs));
}
