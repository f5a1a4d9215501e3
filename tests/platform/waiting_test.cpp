/**
 * @file waiting_test.cpp
 * Who waits for a place and for how long, as callers see it: real daemons on the stand-in of the
 * platform, engines that are silent or full for a while.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Engines have no room for so long: longer than a new caller may wait for a place; ms. */
constexpr int kFullForMs = 800;
/** Engines of a full service have room for fewer tokens than any prompt has. */
constexpr int kTooFewTokens = 10;

} // namespace

TEST_GROUP(waiting)
{
  void StartWith(const runner_options& aFirst, const runner_options& aSecond)
  {
    runner_options prefill;
    prefill.mService = "tutor";
    prefill.mRole = "prefill";
    mBed.AddRunner("prefill-1", prefill);
    mBed.AddRunner("decode-1", aFirst);
    mBed.AddRunner("decode-2", aSecond);
    mBed.PutConfig(1);
    mBed.StartDaemon();
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

// An engine that has gone dark is asked for a place and says nothing. The others have room.
TEST(waiting, ASilentEngineDoesNotGetANewCallerRefused)
{
  StartWith(Decode("hall-a"), Decode("hall-b")); // The one in the daemon's hall is asked first.
  mBed.SetProxy("decode-1", { { "stall", 1 } });
  const answer got =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 5));
  CHECK_EQUAL(200U, got.mStatus);
  CHECK(mBed.Daemon().WaitForLine("\"reached\":false") != "");
}

// A caller whose stream broke comes back for the rest: it's late already, so it waits as one that
// was refused does, instead of being refused with the engines full for a moment.
TEST(waiting, AResumedStreamWaitsAsLongAsARetriedRequest)
{
  StartWith(Decode("hall-a"), Decode("hall-a"));
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

// Without a word of an earlier try a caller is new, and hears at once that there's no room.
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
