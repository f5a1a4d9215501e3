/**
 * @file placer_test.cpp
 * The daemon that places generations for all is frozen, killed and stopped: callers at the others
 * are served as before. Real daemons on the stand-in of the platform.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Until a daemon that has heard the others places for them: a digest of each, and a look; ms. */
constexpr int kPlacerChangeMs = 3000;
/** A caller's answer begins and ends within this, with engines that take no time of their own,
 * while the daemon that places says nothing: it's waited for once, for 60 ms; ms. */
constexpr int kPromptMs = 500;
/** Calls in a row. */
constexpr int kCalls = 5;

void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

} // namespace

TEST_GROUP(placers)
{
  /** Starts three daemons of one hall: the first by name places, the second comes next. */
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
  /** Has callers at a daemon served one after the other, each soon. */
  void CheckServedPromptly(std::size_t aDaemon)
  {
    for (int call = 0; call < kCalls; ++call) {
      const std::string id = "g" + std::to_string(++mRequestCount);
      const instant began = boot_clock_source{}.Now();
      const answer got =
        Call(mBed.Callers(aDaemon), "POST", "/turns/a", "prompt", GenerationHeaders(id, 1000, 2));
      CHECK_EQUAL(200U, got.mStatus);
      CHECK(boot_clock_source{}.Now() - began < std::chrono::milliseconds(kPromptMs));
      LONGS_EQUAL(2, mBed.Seen(id).size()); // One read and one run, whoever placed it.
    }
  }

  fleet_bed mBed;        ///< The deployment.
  int mRequestCount = 0; ///< Requests so far.
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
  CHECK(mBed.Daemon(2).WaitForLine("\"placed_alone\":false") != ""); // By the second one.
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
