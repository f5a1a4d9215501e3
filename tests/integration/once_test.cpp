/**
 * @file once_test.cpp
 * Guarantees: a call reported as not run did not run, and a call that may not be repeated runs at
 * most once. Runs are counted by the service itself.
 */
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Daemons before a service behind a fault-injecting proxy. */
struct record_testbed
{
  explicit record_testbed(int aDaemons)
  {
    mBed.StartTutoring(aDaemons, 1, 1);
    mBed.StartProxy("proxy-1", mBed.At("records-1").mAddress);
    mBed.SetHost("records-1", mBed.At("proxy-1").mProxy, "lesson-records");
    const std::string proxied = mBed.At("proxy-1").mProxy;
    Eventually([&] { return Record(1, "probe").mStatus == 200 && Connections() > 0; });
  }
  std::uint64_t Connections()
  {
    return Control(mBed.At("proxy-1"), json::object()).value("connections", 0U);
  }
  answer Record(int aDaemon, const std::string& aRecord, const std::string& aKey = "")
  {
    headers key;
    if (!aKey.empty()) {
      key.emplace_back("Idempotency-Key", aKey);
    }
    const std::string body =
      json{ { "record", aRecord }, { "note", std::string(200, 'n') } }.dump();
    return Call(
      mBed.Daemon("entry-" + std::to_string(aDaemon)).mCallers, "POST", "/records", body, key);
  }
  std::future<answer> RecordAsync(int aDaemon,
                                  const std::string& aRecord,
                                  const std::string& aKey = "")
  {
    return std::async(std::launch::async, [=, this] { return Record(aDaemon, aRecord, aKey); });
  }
  testbed mBed; ///< The deployment.
};

/** Checks that the reported outcome agrees with the service's own count of runs. */
void
CheckOutcomeMatchesRuns(record_testbed& aBed, const std::string& aRecord, const answer& aAnswer)
{
  const std::uint64_t runs = aBed.mBed.Runs(aRecord);
  CHECK_TRUE(runs <= 1);
  const std::string outcome = aAnswer.Outcome();
  CHECK_TRUE(outcome == "done" || outcome == "not-run" || outcome == "unknown");
  CHECK_TRUE(outcome != "not-run" || runs == 0);
  CHECK_TRUE(outcome != "done" || runs == 1);
}

} // namespace

TEST_GROUP(once){};

TEST(once, EachPointOfACutGivesATrueOutcome)
{
  record_testbed bed(1);
  const standin& proxy = bed.mBed.At("proxy-1");
  int number = 0;
  const auto outcomeWithFaults = [&](const json& aFaults) {
    Control(proxy, aFaults);
    const std::string record = "cut-" + std::to_string(++number);
    const answer reported = bed.Record(1, record);
    CheckOutcomeMatchesRuns(bed, record, reported);
    return reported.Outcome();
  };
  for (const int bytes : { 0, 1, 40, 150, 250, 350, 420 }) {
    const std::string outcome =
      outcomeWithFaults({ { "faults", 1 }, { "request_bytes", bytes }, { "answer_bytes", -1 } });
    CHECK_TRUE(outcome == "unknown" || outcome == "done");
  }
  for (const int bytes : { 0, 1, 60, 120 }) {
    const std::string outcome =
      outcomeWithFaults({ { "faults", 1 }, { "request_bytes", -1 }, { "answer_bytes", bytes } });
    STRCMP_EQUAL("unknown", outcome.c_str());
    LONGS_EQUAL(1, bed.mBed.Runs("cut-" + std::to_string(number)));
  }
  STRCMP_EQUAL("done", outcomeWithFaults({ { "faults", 0 } }).c_str());
}

TEST(once, ARunnerThatCantBeReachedMeansNotRun)
{
  record_testbed bed(1);
  bed.mBed.SetHost("records-1", "127.0.0.1:1", "lesson-records");
  std::string record;
  int number = 0;
  CHECK_TRUE(Eventually([&] {
    record = "unreachable-" + std::to_string(++number);
    const answer reported = bed.Record(1, record);
    return reported.Outcome() == "not-run" && reported.mHeaders.contains("retry-after");
  }));
  LONGS_EQUAL(0, bed.mBed.Runs(record));
}

TEST(once, AKeyUsedThroughTwoDaemonsRunsOnceAndTheAnswerIsReplayed)
{
  record_testbed bed(2);
  const std::string key = FreshKey("a");
  STRCMP_EQUAL("done", bed.Record(1, "twice", key).Outcome().c_str());
  const answer again = bed.Record(2, "twice", key);
  STRCMP_EQUAL("done", again.Outcome().c_str());
  CHECK_TRUE(again.mHeaders.contains("x-dunehook-replayed"));
  LONGS_EQUAL(1, bed.mBed.Runs("twice"));
}

TEST(once, ManyRetriesAtOnceThroughAllDaemonsRunOnce)
{
  record_testbed bed(3);
  for (int round = 0; round < 5; ++round) {
    const std::string record = "race-" + std::to_string(round);
    const std::string key = FreshKey(record);
    std::vector<std::future<answer>> calls;
    calls.reserve(9);
    for (int call = 0; call < 9; ++call) {
      calls.push_back(bed.RecordAsync(1 + call % 3, record, key));
    }
    for (auto& call : calls) {
      call.get();
    }
    LONGS_EQUAL(1, bed.mBed.Runs(record));
  }
}

TEST(once, ALostAppendAnswerRunsOnce)
{
  record_testbed bed(2);
  Control(bed.mBed.Platform(), { { "lose_answers", 3 } });
  const std::string key = FreshKey("lost");
  const answer reported = bed.Record(1, "lost", key);
  CheckOutcomeMatchesRuns(bed, "lost", reported);
  STRCMP_EQUAL("done", reported.Outcome().c_str());
  bed.Record(2, "lost", key);
  LONGS_EQUAL(1, bed.mBed.Runs("lost"));
}

TEST(once, ARefusedAppendMeansNotRunAndTheRetryRuns)
{
  record_testbed bed(2);
  Control(bed.mBed.Platform(), { { "refuse_appends", 1 } });
  const std::string key = FreshKey("refused");
  const answer reported = bed.Record(1, "refused", key);
  STRCMP_EQUAL("not-run", reported.Outcome().c_str());
  LONGS_EQUAL(0, bed.mBed.Runs("refused"));
  CHECK_TRUE(Eventually([&] { return bed.Record(2, "refused", key).Outcome() == "done"; }));
  LONGS_EQUAL(1, bed.mBed.Runs("refused"));
}

TEST(once, ADaemonFrozenAfterItsClaimAndWokenAfterTheRetryRunsItOnce)
{
  record_testbed bed(2);
  const std::string key = FreshKey("frozen");
  Control(bed.mBed.Platform(), { { "log_slow_ms", 700 } });
  const auto before = Call(bed.mBed.Platform().mAddress, "GET", "/counters").Json()["next"];
  auto first = bed.RecordAsync(1, "frozen", key);
  // Freezes the daemon when its append is in the log and the log's answer hasn't arrived.
  CHECK_TRUE(Eventually([&] {
    return Call(bed.mBed.Platform().mAddress, "GET", "/counters").Json()["next"] != before;
  }));
  bed.mBed.Daemon("entry-1").mProcess->Signal(SIGSTOP);
  Control(bed.mBed.Platform(), { { "log_slow_ms", 0 } });
  Eventually([&] {
    const json status =
      bed.mBed.Operate(bed.mBed.Daemon("entry-2"), "GET", "/api/v1/status").Json();
    return status["claims"].get<int>() > 0;
  });
  const answer retried = bed.Record(2, "frozen", key);
  STRCMP_EQUAL("unknown", retried.Outcome().c_str());
  bed.mBed.Daemon("entry-1").mProcess->Signal(SIGCONT);
  const answer reported = first.get();
  CheckOutcomeMatchesRuns(bed, "frozen", reported);
}

TEST(once, AWinnerThatIsKilledLeavesItsCallUnknownAndNeverRunsItTwice)
{
  record_testbed bed(2);
  Control(bed.mBed.At("records-1"), { { "delay_ms", 800 } });
  const std::string key = FreshKey("killed");
  const std::uint64_t before = bed.Connections();
  auto first = bed.RecordAsync(1, "killed", key);
  CHECK_TRUE(Eventually([&] { return bed.Connections() > before; }));
  bed.mBed.Daemon("entry-1").mProcess->Signal(SIGKILL);
  first.get();
  for (int tries = 0; tries < 3; ++tries) {
    STRCMP_EQUAL("unknown", bed.Record(2, "killed", key).Outcome().c_str());
  }
  Eventually([&] { return bed.mBed.Runs("killed") == 1; }, 1500);
  CHECK_TRUE(bed.mBed.Runs("killed") <= 1);
}

TEST(once, ALogOutageRefusesKeyedCallsAtOnceAndServesTheOthers)
{
  record_testbed bed(2);
  Control(bed.mBed.Platform(), { { "log_down", 1 } });
  const std::string key = FreshKey("outage");
  const std::int64_t start = NowMs();
  const answer reported = bed.Record(1, "outage", key);
  STRCMP_EQUAL("not-run", reported.Outcome().c_str());
  CHECK_TRUE(NowMs() - start < 3500);
  LONGS_EQUAL(0, bed.mBed.Runs("outage"));
  STRCMP_EQUAL("done", bed.Record(2, "unkeyed").Outcome().c_str());
  const answer turn = Call(bed.mBed.Daemon("entry-1").mCallers,
                           "POST",
                           "/v1/completions",
                           CompletionBody("in the outage", 3, false));
  STRCMP_EQUAL("done", turn.Outcome().c_str());
  Control(bed.mBed.Platform(), { { "log_down", 0 } });
  CHECK_TRUE(Eventually([&] { return bed.Record(1, "outage", key).Outcome() == "done"; }));
  LONGS_EQUAL(1, bed.mBed.Runs("outage"));
}

TEST(once, AKeyOlderThanTheWindowIsRefusedEvenWhenItsClaimIsForgotten)
{
  record_testbed bed(1);
  const answer old = bed.Record(1, "old", FreshKey("old", 601));
  LONGS_EQUAL(409, old.mStatus);
  STRCMP_EQUAL("unknown", old.Outcome().c_str());
  LONGS_EQUAL(0, bed.mBed.Runs("old"));
  // The log's clock passes the window, so the claim and its key are removed from the state.
  const std::string key = FreshKey("reused");
  STRCMP_EQUAL("done", bed.Record(1, "reused", key).Outcome().c_str());
  Control(bed.mBed.Platform(), { { "clock_ahead_ms", 700'000 } });
  bed.mBed.Put(bed.mBed.Daemon("entry-1"), "team", "clock", json::object());
  const json status = bed.mBed.Operate(bed.mBed.Daemon("entry-1"), "GET", "/api/v1/status").Json();
  LONGS_EQUAL(0, status["claims"].get<int>());
  STRCMP_EQUAL("unknown", bed.Record(1, "reused", key).Outcome().c_str());
  LONGS_EQUAL(1, bed.mBed.Runs("reused"));
}
