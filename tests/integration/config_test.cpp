/**
 * @file config_test.cpp
 * Promise: a configuration that was accepted is in force everywhere within seconds and never
 * reverts, through races, outages, restarts and retention.
 */
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace dunehook;
using namespace dunehook::test;

namespace {

json
Team(int aRate)
{
  return { { "requests_per_second", aRate }, { "burst", 10 } };
}

double
RateAt(testbed& aBed, const entry_daemon& aDaemon, const std::string& aTeam)
{
  const json found = aBed.Operate(aDaemon, "GET", "/api/v1/team/" + aTeam).Json();
  return found.is_object() && found.contains("spec")
           ? found["spec"]["requests_per_second"].get<double>()
           : -1;
}

json
StatusOf(testbed& aBed, const entry_daemon& aDaemon)
{
  return aBed.Operate(aDaemon, "GET", "/api/v1/status").Json();
}

} // namespace

TEST_GROUP(config){};

TEST(config, OfTwoOperatorsRacingOneWinsEverywhere)
{
  testbed bed;
  for (const char* const name : { "entry-1", "entry-2", "entry-3" }) {
    bed.StartDaemon(name);
  }
  for (int round = 1; round <= 5; ++round) {
    const std::string team = "race-" + std::to_string(round);
    const auto write = [&](const char* aDaemon, int aRate) {
      return std::async(std::launch::async, [&, aDaemon, aRate] {
        return bed.Put(bed.Daemon(aDaemon), "team", team, Team(aRate)).mStatus;
      });
    };
    auto one = write("entry-1", 1);
    auto two = write("entry-2", 2);
    const unsigned first = one.get();
    const unsigned second = two.get();
    LONGS_EQUAL(200 + 409, first + second);
    const double winner = first == 200 ? 1 : 2;
    for (const char* const name : { "entry-1", "entry-2", "entry-3" }) {
      CHECK_TRUE(Eventually([&] { return RateAt(bed, bed.Daemon(name), team) == winner; }));
    }
  }
  const json digest = StatusOf(bed, bed.Daemon("entry-1"))["digest"];
  CHECK_TRUE(Eventually([&] { return StatusOf(bed, bed.Daemon("entry-2"))["digest"] == digest; }));
}

TEST(config, AWriteWhoseAnswerIsLostIsAcceptedOnce)
{
  testbed bed;
  const entry_daemon& entry = bed.StartDaemon("entry-1");
  Control(bed.Platform(), { { "lose_answers", 2 } });
  const answer first = bed.Put(entry, "team", "north", Team(5), 0, "write-1");
  LONGS_EQUAL(200, first.mStatus);
  const answer repeated = bed.Put(entry, "team", "north", Team(5), 0, "write-1");
  LONGS_EQUAL(200, repeated.mStatus);
  CHECK_TRUE(first.Json()["version"] == repeated.Json()["version"]);
}

TEST(config, AWriteDuringAnOutageIsRefusedAndNeverComesIntoForce)
{
  testbed bed;
  const entry_daemon& entry = bed.StartDaemon("entry-1");
  Control(bed.Platform(), { { "log_down", 1 } });
  const answer refused = bed.Put(entry, "team", "north", Team(5));
  LONGS_EQUAL(503, refused.mStatus);
  Control(bed.Platform(), { { "log_down", 0 } });
  CHECK_TRUE(Eventually([&] { return bed.Put(entry, "team", "south", Team(6)).mStatus == 200; }));
  const std::string code = refused.Json()["error"]["code"].get<std::string>();
  CHECK_TRUE(code == "log_ambiguous" || RateAt(bed, entry, "north") < 0);
}

TEST(config, ADaemonCutOffFromTheLogKeepsUpThroughTheOthers)
{
  testbed bed;
  bed.StartDaemon("entry-1");
  standin& proxy = bed.StartProxy("proxy-1", bed.Platform().mAddress);
  daemon_options cut;
  cut.mLog = proxy.mProxy;
  const entry_daemon& lagging = bed.StartDaemon("entry-2", cut);
  Eventually([&] { return StatusOf(bed, lagging)["daemons"].size() == 2; });
  Control(proxy, { { "refuse", 1 }, { "stall", 1 } });
  LONGS_EQUAL(200, bed.Put(bed.Daemon("entry-1"), "team", "north", Team(5)).mStatus);
  const std::int64_t start = NowMs();
  CHECK_TRUE(Eventually([&] { return RateAt(bed, lagging, "north") == 5; }, 5000));
  CHECK_TRUE(NowMs() - start < 3000);
}

TEST(config, ADaemonStartedDuringAnOutageLearnsAllFromTheOthers)
{
  testbed bed;
  bed.StartDaemon("entry-1");
  bed.StartDaemon("entry-2");
  LONGS_EQUAL(200, bed.Put(bed.Daemon("entry-1"), "team", "north", Team(5)).mStatus);
  Control(bed.Platform(), { { "log_down", 1 } });
  const entry_daemon& late = bed.StartDaemon("entry-3");
  LONGS_EQUAL(5, RateAt(bed, late, "north"));
  LONGS_EQUAL(200, Call(late.mCallers, "GET", "/readyz").mStatus);
}

TEST(config, ARestartOfAllDaemonsOneByOneRevertsNothing)
{
  testbed bed;
  for (const char* const name : { "entry-1", "entry-2", "entry-3" }) {
    bed.StartDaemon(name);
  }
  LONGS_EQUAL(200, bed.Put(bed.Daemon("entry-1"), "team", "north", Team(5)).mStatus);
  std::uint64_t offset = 0;
  for (const char* const name : { "entry-1", "entry-2", "entry-3" }) {
    bed.Daemon(name).mProcess->Signal(SIGKILL);
    bed.Daemon(name).mProcess->WaitForExit();
    const entry_daemon& restarted = bed.StartDaemon(name);
    LONGS_EQUAL(5, RateAt(bed, restarted, "north"));
    const auto next = StatusOf(bed, restarted)["next_offset"].get<std::uint64_t>();
    CHECK_TRUE(next >= offset);
    offset = next;
  }
}

TEST(config, RecordsPastRetentionLiveOnInTheSnapshot)
{
  testbed bed;
  daemon_options often;
  often.mExtra = "snapshot_every = 10\n";
  bed.StartDaemon("entry-1", often);
  bed.StartDaemon("entry-2", often);
  const entry_daemon& entry = bed.Daemon("entry-1");
  LONGS_EQUAL(200, bed.Put(entry, "team", "first", Team(7)).mStatus);
  for (int number = 0; number < 30; ++number) {
    LONGS_EQUAL(200, bed.Put(entry, "team", "t" + std::to_string(number), Team(1)).mStatus);
  }
  Control(bed.Platform(), { { "keep_records", 18 } });
  bed.Daemon("entry-1").mProcess->Signal(SIGKILL);
  bed.Daemon("entry-2").mProcess->Signal(SIGKILL);
  bed.Daemon("entry-1").mProcess->WaitForExit();
  bed.Daemon("entry-2").mProcess->WaitForExit();
  const entry_daemon& alone = bed.StartDaemon("entry-3", often);
  LONGS_EQUAL(7, RateAt(bed, alone, "first"));
  LONGS_EQUAL(1, RateAt(bed, alone, "t29"));
  LONGS_EQUAL(31, StatusOf(bed, alone)["resources"].get<int>());
}

TEST(config, AnAcceptedChangeIsInForceOnEightDaemonsWithinASecond)
{
  testbed bed;
  for (int number = 1; number <= 8; ++number) {
    bed.StartDaemon("entry-" + std::to_string(number));
  }
  const entry_daemon& writer = bed.Daemon("entry-1");
  Eventually([&] { return StatusOf(bed, writer)["daemons"].size() == 8; });
  LONGS_EQUAL(200, bed.Put(writer, "team", "north", Team(5)).mStatus);
  const std::int64_t start = NowMs();
  for (int number = 1; number <= 8; ++number) {
    CHECK_TRUE(Eventually(
      [&] { return RateAt(bed, bed.Daemon("entry-" + std::to_string(number)), "north") == 5; }));
  }
  CHECK_TRUE(NowMs() - start < 1000);
}

TEST(config, ADaemonCutOffFromTheLogAndTheOthersTakesNoNewCalls)
{
  testbed bed;
  bed.StartDaemon("entry-1");
  bed.StartDaemon("entry-2");
  bed.StartDaemon("entry-3");
  Eventually([&] { return StatusOf(bed, bed.Daemon("entry-1"))["daemons"].size() == 3; });
  Control(bed.Platform(), { { "log_down", 1 } });
  // With the log down for everybody, the daemons serve on.
  CHECK_FALSE(Eventually(
    [&] { return Call(bed.Daemon("entry-1").mCallers, "GET", "/readyz").mStatus != 200; }, 4500));
  bed.Daemon("entry-2").mProcess->Signal(SIGKILL);
  bed.Daemon("entry-3").mProcess->Signal(SIGKILL);
  CHECK_TRUE(Eventually(
    [&] { return Call(bed.Daemon("entry-1").mCallers, "GET", "/readyz").mStatus != 200; }, 8000));
}
