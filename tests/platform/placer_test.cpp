/**
 * @file placer_test.cpp
 * The daemon that places generations for all others is suspended, killed or stopped: callers of the
 * other daemons must be served as before. Real daemons on the platform stand-in.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/**
 * Time in ms until a daemon that has heard the others places for them: one digest of each daemon
 * and one check.
 */
constexpr int kPlacerChangeMs = 3000;
/**
 * Limit in ms of a caller's whole response, with engines that take no time of their own, while the
 * placer is silent: it's waited for once, for 60 ms.
 */
constexpr int kResponseLimitMs = 500;
/** Consecutive calls. */
constexpr int kCalls = 5;

void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

} // namespace

TEST_GROUP(placers)
{
  /**
   * Starts three daemons in one data hall: the first by name places, the second is next in order.
   */
  void StartThree()
  {
    mBed.StartUsual();
    mBed.StartDaemon();
    mBed.StartDaemon();
    for (std::size_t daemon = 0; daemon < mBed.Daemons(); ++daemon) {
      CHECK(mBed.Daemon(daemon).WaitForLine("daemon_heard") != "");
    }
    SleepMs(kPlacerChangeMs);
  }
  /** Checks that consecutive calls to a daemon are served within kResponseLimitMs. */
  void CheckServedPromptly(std::size_t aDaemon)
  {
    for (int call = 0; call < kCalls; ++call) {
      const std::string id = "g" + std::to_string(++mRequestCount);
      const instant began = boot_clock_source{}.Now();
      const answer got =
        Call(mBed.Callers(aDaemon), "POST", "/turns/a", "prompt", GenerationHeaders(id, 1000, 2));
      CHECK_EQUAL(200U, got.mStatus);
      CHECK(boot_clock_source{}.Now() - began < std::chrono::milliseconds(kResponseLimitMs));
      LONGS_EQUAL(2, mBed.Seen(id).size()); // One prefill and one run, whichever daemon placed it.
    }
  }

  fleet_bed mBed;        ///< The deployment.
  int mRequestCount = 0; ///< Requests sent so far.
};

TEST(placers, OneDaemonPlacesForAllOthers)
{
  StartThree();
  CheckServedPromptly(2);
  CHECK(mBed.Daemon(2).WaitForLine("\"placed_alone\":false") != "");
  CheckServedPromptly(0);
  CHECK(mBed.Daemon(0).WaitForLine("\"placed_alone\":false") != "");
}

TEST(placers, AFrozenPlacerDelaysNoCaller)
{
  StartThree();
  mBed.Daemon(0).Signal(SIGSTOP);
  CheckServedPromptly(2);
  CHECK(mBed.Daemon(2).WaitForLine("placer_silent") != "");
  CHECK(mBed.Daemon(2).WaitForLine("\"placed_alone\":false") != ""); // Placed by the second daemon.
  mBed.Daemon(0).Signal(SIGCONT);
  SleepMs(kPlacerChangeMs);
  CheckServedPromptly(1);
}

TEST(placers, AKilledPlacerDelaysNoCaller)
{
  StartThree();
  mBed.Daemon(0).Signal(SIGKILL);
  CheckServedPromptly(2);
  CHECK(mBed.Daemon(2).WaitForLine("\"placed_alone\":false") != "");
}

TEST(placers, WithoutAnAnsweringPlacerADaemonPlacesLocally)
{
  StartThree();
  mBed.Daemon(0).Signal(SIGSTOP);
  mBed.Daemon(1).Signal(SIGSTOP);
  CheckServedPromptly(2);
  CHECK(mBed.Daemon(2).WaitForLine("\"placed_alone\":true") != "");
}

TEST(placers, AStoppingPlacerDelaysNoCaller)
{
  StartThree();
  mBed.Daemon(0).Signal(SIGTERM);
  CheckServedPromptly(2);
  CheckServedPromptly(1);
}
