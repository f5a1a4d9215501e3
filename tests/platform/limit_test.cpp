/**
 * @file limit_test.cpp
 * Rate limits that runners name in their answers hold over all daemons together, with real
 * processes. The stand-in runners count what reaches them.
 *
 * Guards against daemons that each send on their own: a runner that named 5.8 requests a second got
 * 46 in 4 s, because no daemon read the limit.
 */
#include "tests/platform/fleet_bed.h"
#include "tests/platform/steady_callers.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <csignal>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** The users' rule: in any window of this length a runner may get its limit times the window times
 * kAllowedShare, and kAllowedMore. */
constexpr std::int64_t kWindowMs = 4000;
constexpr double kAllowedShare = 1.5;
constexpr double kAllowedMore = 5.0;
/** Time from the first answer with a limit until it holds for all daemons, in ms. */
constexpr std::int64_t kSpreadMs = 500;
/** Share of its limit that a runner is used to, where more is asked for. */
constexpr double kUsedShare = 0.8;
/** Limit of most tests, in requests a second. */
constexpr double kLimit = 5.0;
/** Latest time of a refusal in ms: a quarter of the latency target of 0.3 s, plus the delay of a
 * busy machine. */
constexpr std::int64_t kRefusalMs = 175;
constexpr std::size_t kDaemons = 3;
constexpr int kCallersPerDaemon = 4;
constexpr int kPauseMs = 50;
/** Time in which the daemons have heard each other. */
constexpr int kMeetMs = 1500;
/** Time after the end of a limit in which the runner is used again as before. */
constexpr std::int64_t kReleaseMs = 6000;

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

json
LimitFault(const std::string& aLimit)
{
  return { { "limit", aLimit } };
}

} // namespace

TEST_GROUP(limits)
{
  /** Starts some daemons, three plain runners, and engines. */
  void StartFleet()
  {
    for (int i = 1; i <= 3; ++i) {
      mBed.AddRunner("desk-" + std::to_string(i));
    }
    mBed.AddRunner("prefill-1", { "tutor", "prefill" });
    mBed.AddRunner("decode-1", { "tutor", "decode" });
    mBed.AddRunner("decode-2", { "tutor", "decode" });
    mBed.PutConfig(1);
    mBed.StartDaemons(std::vector<platform_daemon_options>(kDaemons));
    SleepMs(kMeetMs);
  }

  void StartCallers(const std::string& aMethod = "GET", const std::string& aTarget = "/pages/a")
  {
    std::vector<caller_plan> plans;
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      for (int number = 0; number < kCallersPerDaemon; ++number) {
        caller_plan plan;
        plan.mName = "c" + std::to_string(daemon) + "x" + std::to_string(number);
        plan.mAddress = mBed.Callers(daemon);
        plan.mMethod = aMethod;
        plan.mTarget = aTarget;
        plan.mHeaders =
          aTarget == "/pages/a" ? CallerHeaders("any") : GenerationHeaders("any", 2000, 2);
        plan.mPauseMs = kPauseMs;
        plans.push_back(plan);
      }
    }
    mCallers = std::make_unique<steady_callers>(std::move(plans));
  }

  void SetLimits(const std::vector<std::string>& aRunners, const std::string& aLimit)
  {
    for (const std::string& runner : aRunners) {
      mBed.SetRunner(runner, LimitFault(aLimit));
    }
  }

  /** @return when requests of any kind reached a runner from an instant on, in ms. */
  std::vector<std::int64_t> ArrivalsAt(const std::string& aRunner, std::int64_t aFrom) const
  {
    std::vector<std::int64_t> arrivals;
    for (const json& seen : mBed.Seen()) {
      const std::int64_t at = seen.at("at_ms").get<std::int64_t>();
      if (seen.value("runner", "") == aRunner && at >= aFrom) {
        arrivals.push_back(at);
      }
    }
    return arrivals;
  }

  /** @return the most requests that reached a runner in any window from an instant on. */
  std::size_t MostInAWindow(const std::string& aRunner, std::int64_t aFrom) const
  {
    const std::vector<std::int64_t> arrivals = ArrivalsAt(aRunner, aFrom);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
      while (arrivals[last] - arrivals[first] > kWindowMs) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  /** Checks that no runner got more than the rule allows from an instant on. */
  void CheckKept(const std::vector<std::string>& aRunners, double aLimit, std::int64_t aFrom)
  {
    const double allowed = kAllowedShare * aLimit * kWindowMs / 1000.0 + kAllowedMore;
    for (const std::string& runner : aRunners) {
      CHECK_TRUE(static_cast<double>(MostInAWindow(runner, aFrom)) <= allowed);
    }
  }

  std::int64_t Now() const
  {
    return boot_clock_source{}.Now().count() / 1000;
  }

  std::size_t CountRefused() const
  {
    const std::vector<caller_record> records = mCallers->Records();
    return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [](const caller_record& aRecord) {
        return aRecord.mStatus != 200;
      }));
  }

  const std::vector<std::string> mDesks{ "desk-1", "desk-2", "desk-3" }; ///< Plain runners.
  fleet_bed mBed;                                                        ///< The deployment.
  std::unique_ptr<steady_callers> mCallers; ///< More callers than the limits allow.
};

TEST(limits, ALimitHoldsOverAllDaemonsTogether)
{
  StartFleet();
  SetLimits(mDesks, "5.0");
  const std::int64_t named = Now();
  StartCallers();
  SleepMs(kSpreadMs + 2 * kWindowMs);
  CheckKept(mDesks, kLimit, named + kSpreadMs);
}

TEST(limits, ALimitIsUsedWhereMoreIsAskedFor)
{
  StartFleet();
  SetLimits(mDesks, "5.0");
  StartCallers();
  SleepMs(kWindowMs);
  const std::int64_t settled = Now();
  SleepMs(kWindowMs);
  for (const std::string& runner : mDesks) {
    const auto used = static_cast<double>(ArrivalsAt(runner, settled).size());
    CHECK_TRUE(used >= kUsedShare * kLimit * kWindowMs / 1000.0);
  }
}

TEST(limits, RunnersWithRoomServeWhatALimitedOneCannot)
{
  StartFleet();
  SetLimits({ "desk-1" }, "5.0");
  const std::int64_t named = Now();
  StartCallers();
  SleepMs(kSpreadMs + kWindowMs);
  LONGS_EQUAL(0, CountRefused());
  CheckKept({ "desk-1" }, kLimit, named + kSpreadMs);
}

TEST(limits, AChangedLimitHoldsAtOnce)
{
  StartFleet();
  SetLimits(mDesks, "40");
  StartCallers();
  SleepMs(kWindowMs / 2);
  SetLimits(mDesks, "5.0");
  const std::int64_t changed = Now();
  SleepMs(kSpreadMs + kWindowMs);
  CheckKept(mDesks, kLimit, changed + kSpreadMs);
}

TEST(limits, ARefusalForALimitComesAtOnceWithARetryAfter)
{
  StartFleet();
  SetLimits(mDesks, "0.5");
  StartCallers();
  SleepMs(kWindowMs / 2);
  for (int i = 0; i < 10; ++i) {
    const std::int64_t sent = NowMs();
    const answer got =
      Call(mBed.Callers(1), "GET", "/pages/a", "", CallerHeaders("r" + std::to_string(i)));
    CHECK_TRUE(NowMs() - sent <= kRefusalMs);
    CHECK_TRUE(got.mStatus == 200 || got.mHeaders.count("retry-after") == 1);
  }
}

TEST(limits, ARunnerThatNamesNoLimitAnyMoreIsUsedAgain)
{
  StartFleet();
  SetLimits(mDesks, "5.0");
  StartCallers();
  SleepMs(kWindowMs / 2);
  SetLimits(mDesks, "");
  SleepMs(kReleaseMs);
  const std::int64_t released = Now();
  const std::size_t refused = CountRefused();
  SleepMs(kWindowMs / 2);
  LONGS_EQUAL(refused, CountRefused());
  CHECK_TRUE(ArrivalsAt("desk-1", released).size() > 4 * kLimit);
}

TEST(limits, ANewIncarnationHasNoLimitOfTheFormerOne)
{
  StartFleet();
  SetLimits({ "desk-1" }, "0.5");
  StartCallers();
  SleepMs(kWindowMs / 2);
  mBed.SetRunner("desk-1", { { "limit", "" }, { "down_ms", 200 } });
  mBed.CrashRunner("desk-1");
  SleepMs(kReleaseMs / 2);
  CHECK_TRUE(ArrivalsAt("desk-1.2", 0).size() > 4 * kLimit);
}

TEST(limits, ALimitOfZeroIsTriedAtTimesAndEnds)
{
  StartFleet();
  SetLimits(mDesks, "0");
  const std::int64_t named = Now();
  StartCallers();
  SleepMs(kSpreadMs + kWindowMs);
  CheckKept(mDesks, 0.0, named + kSpreadMs);
  SetLimits(mDesks, "");
  SleepMs(2 * kReleaseMs);
  const std::size_t refused = CountRefused();
  SleepMs(kWindowMs / 4);
  LONGS_EQUAL(refused, CountRefused());
}

TEST(limits, WhatIsNoRateChangesNothing)
{
  StartFleet();
  for (const char* const text : { "many", "", "-1", "nan", "inf", "1e300x" }) {
    SetLimits(mDesks, text);
    for (int i = 0; i < 20; ++i) {
      const answer got =
        Call(mBed.Callers(0), "GET", "/pages/a", "", CallerHeaders("r" + std::to_string(i)));
      LONGS_EQUAL(200, got.mStatus);
    }
  }
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_TRUE(mBed.Daemon(daemon).Running());
  }
}

TEST(limits, AllCallsToAnEngineCountAgainstItsLimit)
{
  const std::vector<std::string> engines{ "decode-1", "decode-2" };
  StartFleet();
  SetLimits(engines, "5.0");
  const std::int64_t named = Now();
  StartCallers("POST", "/turns/a");
  SleepMs(kSpreadMs + 2 * kWindowMs);
  CheckKept(engines, kLimit, named + kSpreadMs);
}

TEST(limits, APrefillEngineIsNotAskedMoreThanItNamed)
{
  StartFleet();
  SetLimits({ "prefill-1" }, "5.0");
  const std::int64_t named = Now();
  StartCallers("POST", "/turns/a");
  SleepMs(kSpreadMs + 2 * kWindowMs);
  CheckKept({ "prefill-1" }, kLimit, named + kSpreadMs);
}

TEST(limits, ALimitIsKeptWhileDaemonsAreKilledAndFrozen)
{
  StartFleet();
  SetLimits(mDesks, "5.0");
  const std::int64_t named = Now();
  StartCallers();
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    SleepMs(kWindowMs / 4);
    mBed.Daemon(daemon).Signal(SIGSTOP);
    SleepMs(kWindowMs / 4);
    mBed.Daemon(daemon).Signal(SIGCONT);
    SleepMs(kWindowMs / 4);
    mBed.Daemon(daemon).Signal(SIGKILL);
    mBed.RestartDaemon(daemon);
  }
  SleepMs(kWindowMs);
  CheckKept(mDesks, kLimit, named + kSpreadMs);
}
