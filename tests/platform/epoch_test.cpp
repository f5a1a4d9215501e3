/**
 * @file epoch_test.cpp
 * Runners that restart under the same id, and a store that comes back with older data, with real
 * processes. Data from before must not be applied to what exists now.
 */
#include "platform/store_client.h"
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Time from the store's answer until a configuration must be in force; ms. */
constexpr int kInForceMs = 2000;
/** Time within which a runner notices that its entry is missing after the store rolled back; ms. */
constexpr int kEntriesBackMs = 2000;
/** @return a run message with something in each field. */
run_message
FullMessage()
{
  run_message message;
  message.mDaemon = 77;
  message.mBegun = { { { 1 }, { 2 }, { 3 }, 4, 5, 6, 7, boot_clock_source{}.Now(), 0 } };
  message.mEnded = { { 8 } };
  message.mOrdered = { { 9 } };
  message.mRefused = { { 10, 11, 12 } };
  message.mStore = store_position{ { 1, 1 }, 1 };
  message.mRunners = runner_changes{ { 1, 0 }, { 1, 1 }, { runner_entry{} }, { "gone" }, false };
  message.mFinished = {
    { { 13 }, 14, 15, std::chrono::milliseconds(16), std::chrono::milliseconds(29) }
  };
  message.mReads = { { { 17 }, { 18 }, std::chrono::milliseconds(2) } };
  message.mOutcomes = { { { 19 }, send_outcome::eServed } };
  message.mFull = { { 20 } };
  message.mLeaving = { { 21 } };
  return message;
}

/** Number of requests after which an eligible runner has got at least one: with two equal runners,
 * one of them gets none in one case of a million. */
constexpr int kRequestsPerCheck = 20;

} // namespace

TEST_GROUP(epochs)
{
  fleet_bed mBed;   ///< The deployment.
  int mRequest = 0; ///< Number of the last request.

  /** @return how many of kRequestsPerCheck requests a runner answers. */
  int CountAt(const std::string& aRunner, std::size_t aDaemon = 0)
  {
    int count = 0;
    for (int i = 0; i < kRequestsPerCheck; ++i) {
      const std::string id = "r" + std::to_string(++mRequest);
      const answer got = Call(mBed.Callers(aDaemon), "GET", "/pages/a", "", CallerHeaders(id));
      const std::vector<json> seen = mBed.Seen(id);
      const bool there = !seen.empty() && seen.back().value("runner", "") == aRunner;
      count += got.mStatus == 200 && there ? 1 : 0;
    }
    return count;
  }

  bool Generates()
  {
    const std::string id = "g" + std::to_string(++mRequest);
    return Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders(id, 2000, 1))
             .mStatus == 200;
  }

  /** Starts a daemon with runners that report their start time. */
  void StartWithStartTimes()
  {
    mBed.AddRunner("desk-1", { .mBorn = 100 });
    mBed.AddRunner("prefill-1", { .mService = "tutor", .mRole = "prefill", .mBorn = 100 });
    mBed.AddRunner("decode-1", { .mService = "tutor", .mRole = "decode", .mBorn = 100 });
    mBed.PutConfig(1);
    mBed.StartDaemon();
  }

  /** Waits until the daemon has read everything written so far. */
  void WaitUntilRead()
  {
    const std::string marker = "marker-" + std::to_string(++mRequest);
    mBed.ListUnreachable(marker, { .mService = "none", .mBorn = 100 });
    CHECK_TRUE(mBed.Daemon().WaitForLine("\"runner\":\"" + marker + "\"") != "");
  }
};

TEST(epochs, ARestartedRunnerGetsRequestsAfterItsEarlierIncarnationLeft)
{
  StartWithStartTimes();
  mBed.SetRunner("desk-1", { { "leaves", true } });
  CountAt("desk-1");
  LONGS_EQUAL(0, CountAt("desk-1"));
  mBed.Rebear("desk-1", 200);
  WaitUntilRead();
  LONGS_EQUAL(kRequestsPerCheck, CountAt("desk-1"));
}

TEST(epochs, ARestartedRunnerGetsRequestsAfterItsEarlierEntryLeft)
{
  StartWithStartTimes();
  mBed.List("desk-1", "draining");
  CHECK_TRUE(mBed.Daemon().WaitForLine("\"leaving\":true") != "");
  mBed.Rebear("desk-1", 200);
  WaitUntilRead();
  LONGS_EQUAL(kRequestsPerCheck, CountAt("desk-1"));
}

TEST(epochs, AnEngineRestartedTwiceGeneratesAtOnce)
{
  StartWithStartTimes();
  CHECK_TRUE(Generates());
  mBed.SetRunner("decode-1", { { "free", 0 }, { "retry_after", "60" } });
  Generates(); // It asks for no requests for a minute.
  CHECK_FALSE(Generates());
  mBed.SetRunner("decode-1", { { "free", 100000 }, { "reborn", true } });
  mBed.ListBorn("decode-1", 200);
  mBed.ListBorn("decode-1", 300);
  WaitUntilRead();
  CHECK_TRUE(Generates());
}

TEST(epochs, AnEntryOfAnEarlierIncarnationIsIgnored)
{
  StartWithStartTimes();
  mBed.Rebear("desk-1", 200);
  WaitUntilRead();
  // An entry of the earlier incarnation arrives late, with an address where nothing listens any
  // more.
  mBed.ListRaw("desk-1",
               R"({"service":"desk","address":"127.0.0.250:9","zone":"hall-a","version":"v1",)"
               R"("slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":100})");
  WaitUntilRead();
  LONGS_EQUAL(kRequestsPerCheck, CountAt("desk-1"));
}

TEST(epochs, AConfigurationIsInForceAfterTheStoreWentBackThoughItsOffsetIsOld)
{
  StartWithStartTimes();
  mBed.PutConfig(2, json::array({ AddedRoute(2) }));
  CHECK_TRUE(ServesAdded(mBed, 0, 2, kInForceMs));
  mBed.PutConfig(3, json::array({ AddedRoute(2), AddedRoute(3) }), { { "keyed.op", 1 } });
  CHECK_TRUE(ServesAdded(mBed, 0, 3, kInForceMs));
}

TEST(epochs, AConfigurationInForceIsNotRevertedByAnOlderStore)
{
  StartWithStartTimes();
  mBed.StartDaemon();
  mBed.PutConfig(2, json::array({ AddedRoute(2) }));
  CHECK_TRUE(ServesAdded(mBed, 0, 2, kInForceMs));
  CHECK_TRUE(ServesAdded(mBed, 1, 2, kInForceMs));
  mBed.LetStoreGoBack({ { "keyed.op", 1 } });
  const auto reverted = [&] {
    ++mRequest;
    const headers head = CallerHeaders("r" + std::to_string(mRequest));
    return Call(mBed.Callers(mRequest % 2), "GET", AddedPath(2), "", head).mStatus == 404;
  };
  CHECK_FALSE(Eventually(reverted, kInForceMs));
}

TEST(epochs, ARunnerWhoseEntryIsMissingSinceTheStoreWentBackIsNotTakenForGone)
{
  StartWithStartTimes();
  mBed.AddRunner("late", { .mService = "tutor", .mRole = "decode", .mBorn = 100 });
  mBed.List("desk-1", "ready"); // Makes this its newest record; the other entries stay.
  WaitUntilRead();
  mBed.LetStoreGoBack({ { "keyed.servers", 100 } }); // No entry is left.
  const auto failed = [&] {
    const headers head = CallerHeaders("r" + std::to_string(++mRequest));
    return Call(mBed.Callers(), "GET", "/pages/a", "", head).mStatus != 200;
  };
  CHECK_FALSE(Eventually(failed, kEntriesBackMs));
  mBed.List("desk-1", "ready"); // The runner writes its entry again.
  CHECK_FALSE(Eventually(failed, 2 * kEntriesBackMs));
}

TEST(epochs, ARunnerWhoseEntryStaysMissingIsTakenForGone)
{
  StartWithStartTimes();
  mBed.LetStoreGoBack({ { "keyed.servers", 100 } });
  CHECK_TRUE(Eventually(
    [&] {
      const headers head = CallerHeaders("r" + std::to_string(++mRequest));
      return Call(mBed.Callers(), "GET", "/pages/a", "", head).mStatus == 503;
    },
    3 * kEntriesBackMs));
}

TEST(epochs, ARunnerWithAReusedOffsetIsFound)
{
  StartWithStartTimes();
  mBed.ListUnreachable("forgotten", { .mService = "none", .mBorn = 100 });
  CHECK_TRUE(mBed.Daemon().WaitForLine("\"runner\":\"forgotten\"") != "");
  mBed.LetStoreGoBack({ { "keyed.servers", 1 } });
  mBed.AddRunner("desk-2", { .mBorn = 100 }); // Gets the offset that the other entry had.
  CHECK_TRUE(mBed.Daemon().WaitForLine("\"runner\":\"desk-2\"", kEntriesBackMs) != "");
  CHECK_TRUE(CountAt("desk-2") > 0);
}

TEST(epochs, ARunnerThatLeftStaysLeftWhereAnOlderStoreListsIt)
{
  StartWithStartTimes();
  mBed.AddRunner("desk-2", { .mBorn = 100 });
  mBed.List("desk-1", "");
  CHECK_TRUE(mBed.Daemon().WaitForLine("\"listed\":false") != "");
  mBed.LetStoreGoBack({ { "keyed.servers", 1 } }); // The entry that was removed exists again.
  CHECK_TRUE(mBed.Daemon().WaitForLine("store_went_back") != "");
  LONGS_EQUAL(0, CountAt("desk-1"));
  mBed.List("desk-1", ""); // The removal is written again.
  WaitUntilRead();
  LONGS_EQUAL(0, CountAt("desk-1"));
}

TEST(epochs, TwoBedsAtOnceEachReachTheirOwnDaemon)
{
  fleet_bed other;
  other.StartUsual();
  StartWithStartTimes();
  CHECK_TRUE(mBed.Callers() != other.Callers());
  LONGS_EQUAL(kRequestsPerCheck, CountAt("desk-1"));
}

TEST(epochs, ATermNeverHasTheNumberOfOneThatTheStoreHasForgotten)
{
  asio::io_context io(1);
  platform::store_client store(ParseEndpoint(mBed.StoreAddress()).value());
  const auto take = [&](const std::string& aHolder) {
    std::uint64_t number = 0;
    asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        const result<term_record> before = co_await store.ReadTerm();
        const result<term_record> taken = co_await store.TakeTerm(before.value().mTerm, aHolder);
        number = taken.value().mTerm;
      },
      asio::detached);
    io.restart();
    io.run();
    return number;
  };
  const std::uint64_t first = take("one");
  const std::uint64_t second = take("two");
  CHECK_TRUE(second > first);
  mBed.LetStoreGoBack({ { "keyed.dunehook", 2 } });
  CHECK_TRUE(take("three") > second);
}

TEST(epochs, OneDaemonOfAHallReadsAStoreThatWentBackForAll)
{
  constexpr std::size_t kDaemons = 5;
  StartWithStartTimes();
  for (std::size_t i = 1; i < kDaemons; ++i) {
    mBed.StartDaemon();
  }
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_TRUE(mBed.Daemon(daemon).WaitForLine("daemon_heard") != "");
  }
  CHECK_FALSE(
    Eventually([] { return false; }, 1500)); // Until all daemons have exchanged heartbeats.
  mBed.ListUnreachable("forgotten", { .mService = "none", .mBorn = 100 });
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_TRUE(mBed.Daemon(daemon).WaitForLine("\"runner\":\"forgotten\"") != "");
  }
  const std::uint64_t before = mBed.WholeReads();
  mBed.LetStoreGoBack({ { "keyed.servers", 1 } });
  mBed.AddRunner("desk-2", { .mBorn = 100 });
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_TRUE(mBed.Daemon(daemon).WaitForLine("\"runner\":\"desk-2\"", kEntriesBackMs) != "");
  }
  // One daemon reads the configuration and the runners; one more read of each is allowed for a late
  // datagram.
  CHECK_TRUE(mBed.WholeReads() - before <= 4);
}

TEST(epochs, MalformedEntriesAddNoRunnerAndLeaveTheOthers)
{
  StartWithStartTimes();
  json ready = mBed.EntryOf("desk-1");
  ready["state"] = "ready";
  const auto with = [&](const char* aName, const json& aValue) {
    json changed = ready;
    changed[aName] = aValue;
    return changed.dump();
  };
  json lacks = ready;
  lacks.erase("born");
  mBed.ListRaw("no-birth", lacks.dump());
  lacks = ready;
  lacks.erase("slots");
  mBed.ListRaw("no-slots", lacks.dump());
  mBed.ListRaw("text-birth", with("born", "100"));
  mBed.ListRaw("list-models", with("models", 5));
  mBed.ListRaw("strange-stage", with("stage", "resting"));
  mBed.ListRaw("no-object", "\"not an entry\"");
  WaitUntilRead();
  LONGS_EQUAL(kRequestsPerCheck, CountAt("desk-1"));
  std::size_t seen = 0;
  for (const json& one : mBed.Seen()) {
    seen += one.value("target", "") == "/pages/a" ? 1 : 0;
  }
  LONGS_EQUAL(kRequestsPerCheck, seen); // No request was sent under the name of another runner.
  // Repeated bad entries of one writer are logged once.
  CHECK_TRUE(mBed.Daemon().WaitForLine("\"runner\":\"no-object\"") != "");
  for (int i = 0; i < kRequestsPerCheck; ++i) {
    mBed.ListRaw("no-object", std::to_string(i));
  }
  WaitUntilRead();
  const std::string lines = mBed.Daemon().Output();
  const std::string one = "\"runner\":\"no-object\"";
  CHECK_TRUE(lines.find(one, lines.find(one) + 1) == std::string::npos);
}

// After a foreign entry reported a start time, runners that don't report one got no requests any
// more.
TEST(epochs, AnEntryWithAStartTimeHidesNoRunnersWithoutOne)
{
  mBed.StartUsual();
  json foreign = mBed.EntryOf("desk-1");
  foreign["state"] = "ready";
  foreign["service"] = "none";
  foreign["born"] = 100;
  mBed.ListRaw("foreign", foreign.dump());
  CHECK_TRUE(mBed.Daemon().WaitForLine("\"runner\":\"foreign\"") != "");
  int served = 0;
  for (int i = 0; i < kRequestsPerCheck; ++i) {
    const headers head = CallerHeaders("r" + std::to_string(++mRequest));
    served += Call(mBed.Callers(), "GET", "/pages/a", "", head).mStatus == 200 ? 1 : 0;
  }
  LONGS_EQUAL(kRequestsPerCheck, served);
}

// The ports of the daemons are unprotected: no received data may end a daemon.
TEST(epochs, ChangedDatagramsEndNoDaemon)
{
  constexpr int kDatagrams = 4000;
  StartWithStartTimes();
  CHECK_TRUE(Generates());
  std::mt19937_64 random(27);
  const std::string run = Encode(FullMessage(), boot_clock_source{}.Now());
  for (int number = 0; number < kDatagrams; ++number) {
    std::string bytes = run;
    for (std::uint64_t change = random() % 4; change < 4; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    mBed.SendBytes(bytes, static_cast<int>(random() % 3));
  }
  mBed.SendBytes(std::string(60000, '\x81'), 1); // Deeply nested arrays.
  mBed.SendBytes(std::string(60000, '\x81'), 2);
  CHECK_TRUE(mBed.Daemon().Running());
  LONGS_EQUAL(kRequestsPerCheck, CountAt("desk-1"));
  CHECK_TRUE(Eventually([&] { return Generates(); })); // Reported runs expire.
}
