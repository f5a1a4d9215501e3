/**
 * @file retry_test.cpp
 * The retry budget of a service holds over all daemons together, with real processes. The stand-in
 * runners count what reaches them.
 *
 * Guards against daemons that each begin with a full part of the budget: killed often enough, they
 * spend it many times in one window.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <set>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** The users' rule: in any window of this length, sends beyond the first of each request are at
 * most kAllowedShare of the requests, and kAllowance. */
constexpr std::int64_t kWindowMs = 10000;
constexpr double kAllowedShare = 0.2;
constexpr int kAllowance = 160;
constexpr std::size_t kDaemons = 4;
constexpr int kKills = 12;
constexpr int kRequestsPerLife = 10;

/** Sends to the runners of a service. */
struct send_log
{
  std::vector<std::int64_t> mFirst; ///< Times of first sends, in ms.
  std::vector<std::int64_t> mMore;  ///< Times of all further ones.
};

send_log
SendsOf(const fleet_bed& aBed)
{
  send_log log;
  std::set<std::string> known;
  for (const json& seen : aBed.Seen()) {
    const std::int64_t at = seen.value("at_ms", std::int64_t{ 0 });
    const bool first = known.insert(seen["headers"].value("X-Request-Id", "")).second;
    (first ? log.mFirst : log.mMore).push_back(at);
  }
  std::sort(log.mFirst.begin(), log.mFirst.end());
  std::sort(log.mMore.begin(), log.mMore.end());
  return log;
}

std::size_t
CountBetween(const std::vector<std::int64_t>& aTimes, std::int64_t aAfter, std::int64_t aUntil)
{
  return static_cast<std::size_t>(std::upper_bound(aTimes.begin(), aTimes.end(), aUntil) -
                                  std::upper_bound(aTimes.begin(), aTimes.end(), aAfter));
}

/** @return how far above the rule any window is; 0 or less if none. */
double
ExcessOf(const send_log& aLog)
{
  double excess = 0.0;
  for (const std::int64_t end : aLog.mMore) {
    std::size_t requests = 0;
    for (const std::int64_t earlier : { std::int64_t{ 0 }, kWindowMs / 2, kWindowMs }) {
      requests =
        std::max(requests, CountBetween(aLog.mFirst, end - earlier - kWindowMs, end - earlier));
    }
    const double allowed = kAllowedShare * static_cast<double>(requests) + kAllowance;
    excess = std::max(
      excess, static_cast<double>(CountBetween(aLog.mMore, end - kWindowMs, end)) - allowed);
  }
  return excess;
}

} // namespace

TEST_GROUP(retries)
{
  /** Sends requests to a daemon one after the other. */
  void CallOften(std::size_t aDaemon, int aRound) const
  {
    for (int number = 0; number < kRequestsPerLife; ++number) {
      const std::string id =
        "r" + std::to_string(aDaemon) + "x" + std::to_string(aRound) + "x" + std::to_string(number);
      Call(mBed.Callers(aDaemon), "GET", "/pages/a", "", CallerHeaders(id));
    }
  }

  /** Sends requests to all daemons at once. */
  void CallAll(int aRound) const
  {
    std::vector<std::thread> callers;
    callers.reserve(kDaemons);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      callers.emplace_back([this, daemon, aRound] { CallOften(daemon, aRound); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  fleet_bed mBed;
};

TEST(retries, DaemonsThatAreKilledAgainAndAgainDoNotSpendTheBudgetAnew)
{
  const json fails{ { "mode", "error" }, { "step_ms", 0 } };
  mBed.AddRunner("desk-1", { "desk", "", "ready", fails });
  mBed.AddRunner("desk-2", { "desk", "", "ready", fails });
  mBed.PutConfig(1);
  platform_daemon_options options;
  options.mRetryAllowance = kAllowance;
  mBed.StartDaemons(std::vector<platform_daemon_options>(kDaemons, options));
  for (int round = 0; round < kKills; ++round) {
    CallAll(round);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      mBed.Daemon(daemon).Signal(SIGKILL);
    }
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      mBed.RestartDaemon(daemon);
    }
    CHECK(Eventually([&] {
      bool ready = true;
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        ready = ready && mBed.Readiness(daemon) == 200;
      }
      return ready;
    }));
  }
  const send_log log = SendsOf(mBed);
  const double excess = ExcessOf(log);
  std::printf(
    "%zu requests, %zu sends more, excess %.1f\n", log.mFirst.size(), log.mMore.size(), excess);
  CHECK_TRUE(!log.mMore.empty());
  CHECK_TRUE(excess <= 0.0);
}
