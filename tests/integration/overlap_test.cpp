/**
 * @file overlap_test.cpp
 * Guarantee: a daemon doesn't start a periodic call before the last one has ended, and a slow
 * server gets fewer calls, not more. Calls are counted at the fake servers.
 */
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

const std::string kHolds = "/v1/holds";
const std::string kCacheEvents = "/v1/cache_events";
const std::string kCancel = "/v1/cancel";

/** @return a counter of an engine's calls to @p aPath, one of the paths that daemons poll. */
int
PollCounter(testbed& aBed,
            const std::string& aEngine,
            const char* aCounter,
            const std::string& aPath)
{
  const json counters = Call(aBed.At(aEngine).mAddress, "GET", "/counters").Json();
  return counters.value(aCounter, json::object()).value(aPath, 0);
}

/** Delays the engine's answers to polls by @p aDelayMs and counts calls for @p aSpanMs.
 * @return calls to @p aPath that began in that time. */
int
CountCallsWithDelay(testbed& aBed,
                    const std::string& aEngine,
                    const std::string& aPath,
                    int aDelayMs,
                    int aSpanMs)
{
  const int before = PollCounter(aBed, aEngine, "watch_calls", aPath);
  Control(aBed.At(aEngine), { { "watch_ms", aDelayMs } });
  std::this_thread::sleep_for(std::chrono::milliseconds(aSpanMs));
  const int after = PollCounter(aBed, aEngine, "watch_calls", aPath);
  const int maxOpen = PollCounter(aBed, aEngine, "watch_open_most", aPath);
  UT_PRINT(
    StringFromFormat("%s at %s, answered after %d ms: %d calls in %d ms, %d open at once at most",
                     aPath.c_str(),
                     aEngine.c_str(),
                     aDelayMs,
                     after - before,
                     aSpanMs,
                     maxOpen));
  return after - before;
}

/** Adds a route whose cell shares the first cell's prefill engines. */
void
AddRouteWithSamePrefillPool(testbed& aBed)
{
  const entry_daemon& entry = aBed.Daemon("entry-1");
  aBed.Put(entry, "link", "second", { { "bytes_per_second", 5000000000 } });
  aBed.Put(entry,
           "route",
           "second",
           { { "model", "tutor-second" },
             { "class", "practice" },
             { "prefill_pool", "tutor-prefill" },
             { "decode_pool", "tutor-decode" },
             { "link", "second" } });
  CHECK_TRUE(Eventually([&] {
    const std::string lines = entry.mProcess->Output();
    return lines.find("great-lakes\"") != std::string::npos &&
           lines.find("|second\"") != std::string::npos;
  }));
}

} // namespace

TEST_GROUP(overlap){};

TEST(overlap, AnEngineIsPolledOnceAtATime)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  AddRouteWithSamePrefillPool(bed);
  // Slow, but within the time limit of a call.
  CountCallsWithDelay(bed, "prefill-1", kHolds, 400, 4000);
  CountCallsWithDelay(bed, "decode-1", kHolds, 400, 2000);
  LONGS_EQUAL(1, PollCounter(bed, "prefill-1", "watch_open_most", kHolds));
  LONGS_EQUAL(1, PollCounter(bed, "prefill-1", "watch_open_most", kCacheEvents));
  LONGS_EQUAL(1, PollCounter(bed, "decode-1", "watch_open_most", kHolds));
}

TEST(overlap, ASlowEngineIsPolledLessOften)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  // Each call ends at its time limit of 500 ms. With a pause of 450 ms, one call begins every
  // 950 ms. The engine answers each after 2 s, so it has at most three open at once.
  const int calls = CountCallsWithDelay(bed, "prefill-1", kHolds, 2000, 6000);
  CHECK_TRUE(calls >= 4);
  CHECK_TRUE(calls <= 8);
  CHECK_TRUE(PollCounter(bed, "prefill-1", "watch_open_most", kHolds) <= 3);
  // Once it answers in time, it's polled as often as before.
  Control(bed.At("prefill-1"), { { "watch_ms", 0 } });
  const int before = PollCounter(bed, "prefill-1", "watch_calls", kHolds);
  CHECK_TRUE(Eventually(
    [&] { return PollCounter(bed, "prefill-1", "watch_calls", kHolds) >= before + 10; }, 5000));
}

TEST(overlap, CacheEventsOfASlowEngineAreTakenOnce)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  const entry_daemon& entry = bed.Daemon("entry-1");
  Control(bed.At("prefill-1"), { { "watch_ms", 400 } });
  const std::int64_t until = NowMs() + 4000;
  for (int number = 0; NowMs() < until; ++number) {
    const std::string prompt(1100, static_cast<char>('a' + number % 26));
    const std::string body = CompletionBody(std::to_string(number) + prompt, 2, false);
    Call(entry.mCallers, "POST", "/v1/completions", body);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  const json counters = Call(bed.At("prefill-1").mAddress, "GET", "/counters").Json();
  UT_PRINT(StringFromFormat("cache events: %d, handed out again: %d",
                            counters.value("cache_events_given", -1),
                            counters.value("cache_events_again", -1)));
  CHECK_TRUE(counters.value("cache_events_given", -1) > 5);
  LONGS_EQUAL(0, counters.value("cache_events_again", -1));
}

TEST(overlap, AnAbandonedHoldIsCancelledOnceAtATime)
{
  testbed bed;
  bed.StartRunner("prefill-1", "tutor-prefill", "standin_engine");
  bed.StartRunner("decode-1", "tutor-decode", "standin_engine");
  bed.StartDaemon("entry-1");
  const entry_daemon& entry = bed.Daemon("entry-1");
  bed.ApplyTutoring(entry);
  CHECK_FALSE(entry.mProcess->WaitForLine("\"event\":\"cell_taken\"").empty());
  // Holds of a daemon that isn't a member.
  const standin& engine = bed.At("prefill-1");
  std::vector<std::future<answer>> calls;
  for (int number = 1; number <= 4; ++number) {
    const json prefill{ { "attempt", "00000000000000ab-" + std::to_string(number) },
                        { "prompt", std::string(200000, 'x') } };
    calls.push_back(std::async(std::launch::async, [&engine, body = prefill.dump()] {
      return Call(engine.mAddress, "POST", "/v1/prefill", body);
    }));
  }
  CHECK_TRUE(Eventually([&] { return bed.HoldsAt("prefill-1") == 4; }));
  Control(engine, { { "watch_ms", 400 } });
  const auto freed = [&] {
    const json counters = Call(engine.mAddress, "GET", "/counters").Json();
    return counters.value("holds", 1) == 0;
  };
  CHECK_TRUE(Eventually(freed, 8000));
  std::this_thread::sleep_for(std::chrono::milliseconds(1000)); // For late cancels.
  const int cancels = PollCounter(bed, "prefill-1", "watch_calls", kCancel);
  UT_PRINT(StringFromFormat("cancels of four holds: %d, %d open at once at most",
                            cancels,
                            PollCounter(bed, "prefill-1", "watch_open_most", kCancel)));
  LONGS_EQUAL(1, PollCounter(bed, "prefill-1", "watch_open_most", kCancel));
  LONGS_EQUAL(4, cancels);
}

TEST(overlap, AFailedLoadIsOrderedLessOften)
{
  testbed bed;
  bed.StartTutoring(1, 1, 2);
  const entry_daemon& entry = bed.Daemon("entry-1");
  const standin& failing = bed.At("decode-1");
  Control(failing, { { "fail_loads", 1 } });
  json spec{
    { "model", "tutor" }, { "version", "2" }, { "weights", "w2" }, { "pool", "tutor-decode" }
  };
  const answer written = bed.Put(entry, "model_version", "tutor", spec);
  const auto loaded = [&](const char* aEngine, const std::string& aVersion) {
    const json state = Call(bed.At(aEngine).mAddress, "GET", "/v1/state").Json();
    return state.value("version", std::string()) == aVersion;
  };
  const auto orders = [&] {
    return Call(failing.mAddress, "GET", "/counters").Json().value("orders", -1);
  };
  CHECK_TRUE(Eventually([&] { return orders() > 0; }, 3000));
  std::this_thread::sleep_for(std::chrono::milliseconds(7000));
  UT_PRINT(StringFromFormat("a load that fails: ordered %d times in 7 s", orders()));
  CHECK_TRUE(orders() >= 3);
  CHECK_TRUE(orders() <= 5);
  CHECK_TRUE(loaded("decode-2", "2")); // Other engines aren't delayed.
  // Another version is ordered at once.
  Control(failing, { { "fail_loads", 0 } });
  spec["version"] = "3";
  bed.Put(entry, "model_version", "tutor", spec, written.Json()["version"]);
  CHECK_TRUE(Eventually([&] { return loaded("decode-1", "3"); }, 2500));
}
