/**
 * @file waiting_test.cpp
 * Which requests wait for a placement and for how long, seen by callers: real daemons on the
 * platform stand-in, with engines that are silent or full for a while.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Time in ms during which engines have no room: longer than a new caller may wait. */
constexpr int kFullForMs = 800;
/** Free tokens of a full engine: fewer than any prompt has. */
constexpr int kTooFewTokens = 10;

} // namespace

TEST_GROUP(waiting)
{
  void StartWith(
    const runner_options& aFirst, const runner_options& aSecond, bool aFirstStart = false)
  {
    runner_options prefill;
    prefill.mService = "tutor";
    prefill.mRole = "prefill";
    mBed.AddRunner("prefill-1", prefill);
    mBed.AddRunner("decode-1", aFirst);
    mBed.AddRunner("decode-2", aSecond);
    mBed.PutConfig(1);
    platform_daemon_options options;
    options.mFirstStart = aFirstStart;
    mBed.StartDaemon(options);
  }
  static runner_options Decode(const std::string& aHall)
  {
    runner_options options;
    options.mService = "tutor";
    options.mRole = "decode";
    options.mHall = aHall;
    return options;
  }
  void SetFreeTokens(int aTokens)
  {
    mBed.SetRunner("decode-1", { { "free", aTokens } });
    mBed.SetRunner("decode-2", { { "free", aTokens } });
  }

  fleet_bed mBed{ true }; ///< The deployment; runners are behind proxies.
};

// Guards against refusing a new caller because the first engine asked for a reservation doesn't
// answer, although the others have room.
TEST(waiting, ASilentEngineDoesNotGetANewCallerRefused)
{
  StartWith(Decode("hall-a"),
            Decode("hall-b")); // The engine in the daemon's data hall is asked first.
  mBed.SetProxy("decode-1", { { "stall", 1 } });
  const answer got =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 5));
  CHECK_EQUAL(200U, got.mStatus);
  CHECK(mBed.Daemon().WaitForLine("\"reached\":false") != "");
}

// Guards against refusing a caller that resumes a broken stream while the engines are full for a
// moment. It's late already, so it waits as a refused caller does that retries.
TEST(waiting, AResumedStreamWaitsAsLongAsARetriedRequest)
{
  // Which software began a stream that nobody has a record of is known once the store says so.
  StartWith(Decode("hall-a"), Decode("hall-a"), true);
  CHECK(mBed.Daemon().WaitForLine("software_marked") != "");
  SetFreeTokens(kTooFewTokens);
  auto asking = std::async(std::launch::async, [&] {
    return Call(mBed.Callers(),
                "POST",
                "/resumed/a",
                "prompt",
                GenerationHeaders("g1", 2000, 10, { { "Last-Event-Id", "4" } }));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(kFullForMs));
  SetFreeTokens(1000000);
  const answer got = asking.get();
  CHECK_EQUAL(200U, got.mStatus);
  CHECK(mBed.Daemon().WaitForLine("\"returned\":true") != "");
}

// A request without signs of an earlier attempt is new, and is refused promptly when there's no
// room.
TEST(waiting, ANewCallerIsRefusedWhileTheEnginesAreFull)
{
  StartWith(Decode("hall-a"), Decode("hall-a"));
  SetFreeTokens(kTooFewTokens);
  const std::int64_t began = NowMs();
  const answer got =
    Call(mBed.Callers(), "POST", "/resumed/a", "prompt", GenerationHeaders("g1", 2000, 10));
  CHECK_EQUAL(503U, got.mStatus);
  CHECK(NowMs() - began < kFullForMs);
}
