/**
 * @file policy_bench.cpp
 * The policy bench: policies and switches over loads, paired by seed, as CSV on standard output
 * and a table on standard error.
 */
#include "bench/policy_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <future>
#include <iostream>

ABSL_FLAG(std::string, workload, "bench/workloads/lakeshore.toml", "workload file");
ABSL_FLAG(std::string, sweep, "policies", "policies, switches, faults, lower or burst");
ABSL_FLAG(int, seeds, 3, "runs of each row, with seeds from 1");
ABSL_FLAG(std::vector<std::string>, loads, {}, "loads over capacity; the sweep's own if empty");

namespace dunehook::bench {
namespace {

/** A policy: its name and how a run with it is made. */
struct policy
{
  std::string mName;                                                   ///< Name in the rows.
  std::function<run_result(const workload&, const run_options&)> mRun; ///< Runs it.
};

/** A row: what one policy got at one load, over the seeds. */
struct row
{
  double mTopGoodput = 0;    ///< Good requests of rank 0 over the bound.
  double mLowerInTime = 1;   ///< Good requests of the lower class over those it could have had.
  double mWasted = 0;        ///< Prompt tokens wasted over computed.
  double mCancelled = 0;     ///< Prompt tokens of cancelled requests over computed.
  double mRefused = 0;       ///< Refused requests of rank 0 over arrived.
  double mSlowRefusalMs = 0; ///< Slowest refusal at arrival.
  double mLateRefusals = 0;  ///< Refusals after admission over refusals.
  double mAttempts = 0;      ///< Prefills started over requests started.
};

/** @return requests a second of rank 0 that could be good at best, the lower class served first. */
double
TopBound(const workload& aLoad, double aOverCapacity)
{
  const double rate = aLoad.Capacity() * aOverCapacity;
  const double step = aLoad.StepSeconds(aLoad.mSlots);
  double slots = aLoad.mDecodeEngines * aLoad.mSlots;
  double topRate = 0;
  double topSeconds = 0;
  for (const class_load& one : aLoad.mClasses) {
    const double seconds = one.MeanAnswer() * step;
    if (one.mTargets.mRank == 0) {
      topRate += rate * one.mShare;
      topSeconds = seconds;
    } else {
      slots -= rate * one.mShare * seconds;
    }
  }
  return std::min(topRate, slots / topSeconds);
}

/** @return share of the lower class that the prefill engines could carry, rank 0 served first. */
double
LowerBound(const workload& aLoad, double aOverCapacity)
{
  const double rate = aLoad.Capacity() * aOverCapacity;
  double prefill = aLoad.mPrefillEngines * aLoad.mTokensPerSecond;
  double lower = 0;
  for (const class_load& one : aLoad.mClasses) {
    const double tokens = (one.MeanPrompt() - one.mSharedTokens) * one.mShare;
    if (one.mTargets.mRank == 0) {
      prefill -= TopBound(aLoad, aOverCapacity) * one.MeanPrompt();
    } else {
      lower += rate * tokens;
    }
  }
  return lower == 0 ? 1.0 : std::clamp(prefill / lower, 0.0, 1.0);
}

row
Average(const workload& aLoad, const run_options& aOptions, const std::vector<run_result>& aResults)
{
  row sum;
  double lowerGood = 0;
  double lowerArrived = 0;
  for (const run_result& one : aResults) {
    double good = 0;
    double arrived = 0;
    double refused = 0;
    double refusedAll = 0;
    for (std::size_t index = 0; index < one.mClasses.size(); ++index) {
      const class_result& got = one.mClasses[index];
      refusedAll += static_cast<double>(got.mRefused);
      if (aLoad.mClasses[index].mTargets.mRank == 0) {
        good += static_cast<double>(got.mGood);
        arrived += static_cast<double>(got.mArrived);
        refused += static_cast<double>(got.mRefused);
      } else {
        lowerGood += static_cast<double>(got.mGood);
        lowerArrived += static_cast<double>(got.mArrived);
      }
    }
    // The arrivals drawn are the bound's arrivals, so that a lucky draw isn't a gain.
    const double span = ToSeconds(aOptions.mSpan);
    const double bound = std::min(arrived, TopBound(aLoad, aOptions.mLoad) * span);
    const double computed = std::max<double>(1.0, static_cast<double>(one.mComputed));
    sum.mTopGoodput += good / bound;
    sum.mWasted += static_cast<double>(one.mWasted) / computed;
    sum.mCancelled += static_cast<double>(one.mCancelled) / computed;
    sum.mRefused += refused / std::max(1.0, arrived);
    sum.mSlowRefusalMs = std::max(sum.mSlowRefusalMs, one.mSlowestRefusalMs);
    sum.mLateRefusals += static_cast<double>(one.mLateRefusals) / std::max(1.0, refusedAll);
    sum.mAttempts +=
      static_cast<double>(one.mAttempts) / std::max<double>(1.0, static_cast<double>(one.mStarted));
  }
  const auto runs = static_cast<double>(aResults.size());
  sum.mTopGoodput /= runs;
  sum.mWasted /= runs;
  sum.mCancelled /= runs;
  sum.mRefused /= runs;
  sum.mLateRefusals /= runs;
  sum.mAttempts /= runs;
  const double could = lowerArrived * LowerBound(aLoad, aOptions.mLoad);
  sum.mLowerInTime = could == 0 ? 1.0 : lowerGood / could;
  return sum;
}

row
RunRow(const workload& aLoad, const policy& aPolicy, run_options aOptions)
{
  std::vector<std::future<run_result>> runs;
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    runs.push_back(std::async(
      std::launch::async, [&aLoad, &aPolicy, aOptions] { return aPolicy.mRun(aLoad, aOptions); }));
  }
  std::vector<run_result> results;
  results.reserve(runs.size());
  for (auto& run : runs) {
    results.push_back(run.get());
  }
  return Average(aLoad, aOptions, results);
}

void
PrintHead()
{
  std::cout << "workload,policy,load,goodput,lower_in_time,wasted,cancelled,refused,"
               "slow_refusal_ms,late_refusals,attempts\n";
  std::cerr << absl::StrFormat("%-24s %5s %8s %8s %8s %9s %8s %9s %8s %8s\n",
                               "policy",
                               "load",
                               "goodput",
                               "lower",
                               "wasted",
                               "cancelled",
                               "refused",
                               "refuse ms",
                               "late ref",
                               "attempts");
}

void
PrintRow(const workload& aLoad, const std::string& aPolicy, double aAt, const row& aRow)
{
  std::cout << absl::StrFormat("%s,%s,%.2f,%.4f,%.4f,%.5f,%.5f,%.4f,%.3f,%.4f,%.4f\n",
                               aLoad.mName,
                               aPolicy,
                               aAt,
                               aRow.mTopGoodput,
                               aRow.mLowerInTime,
                               aRow.mWasted,
                               aRow.mCancelled,
                               aRow.mRefused,
                               aRow.mSlowRefusalMs,
                               aRow.mLateRefusals,
                               aRow.mAttempts);
  std::cerr << absl::StrFormat(
    "%-24s %5.2f %8.3f %8.3f %7.2f%% %8.2f%% %7.1f%% %9.2f %7.1f%% %8.3f\n",
    aPolicy,
    aAt,
    aRow.mTopGoodput,
    aRow.mLowerInTime,
    100 * aRow.mWasted,
    100 * aRow.mCancelled,
    100 * aRow.mRefused,
    aRow.mSlowRefusalMs,
    100 * aRow.mLateRefusals,
    aRow.mAttempts);
  std::cout.flush();
}

policy
Dunehook()
{
  return { "dunehook", RunPolicy<cost_chooser> };
}

template<engine_chooser Chooser>
policy
Baseline(const std::string& aName)
{
  return { aName, [](const workload& aLoad, const run_options& aOptions) {
            run_options options = aOptions;
            options.mOwnerQueue = false;
            options.mSwitches.mDecodeSlotGating = false;
            options.mSwitches.mAdmission = false;
            return RunPolicy<Chooser>(aLoad, options);
          } };
}

/** @return dunehook with one mechanism off. @param aOff switches it off. */
policy
Without(const std::string& aName, const std::function<void(run_options&)>& aOff)
{
  return { "without " + aName, [aOff](const workload& aLoad, const run_options& aOptions) {
            run_options options = aOptions;
            aOff(options);
            return RunPolicy<cost_chooser>(aLoad, options);
          } };
}

/** @return dunehook with the one mechanism that is off by default. */
policy
WithAging()
{
  return { "with aging", [](const workload& aLoad, const run_options& aOptions) {
            run_options options = aOptions;
            options.mSwitches.mAging = true;
            return RunPolicy<cost_chooser>(aLoad, options);
          } };
}

std::vector<policy>
SwitchedOff()
{
  return {
    Dunehook(),
    Without("decode promise", [](run_options& aRun) { aRun.mSwitches.mDecodeSlotGating = false; }),
    Without("owner's queue", [](run_options& aRun) { aRun.mOwnerQueue = false; }),
    Without("prefix affinity", [](run_options& aRun) { aRun.mSwitches.mPrefixAffinity = false; }),
    Without("chunked transfers",
            [](run_options& aRun) { aRun.mSwitches.mChunkedTransfers = false; }),
    Without("admission", [](run_options& aRun) { aRun.mSwitches.mAdmission = false; }),
    Without("retry budget", [](run_options& aRun) { aRun.mSwitches.mRetryBudget = false; }),
    WithAging(),
  };
}

std::vector<double>
Loads(const std::vector<double>& aDefault)
{
  std::vector<double> loads;
  for (const std::string& one : absl::GetFlag(FLAGS_loads)) {
    loads.push_back(std::stod(one));
  }
  return loads.empty() ? aDefault : loads;
}

void
Sweep(const workload& aLoad,
      const std::vector<policy>& aPolicies,
      const std::vector<double>& aLoads,
      const run_options& aOptions,
      const std::string& aSuffix = "")
{
  for (const double at : aLoads) {
    for (const policy& one : aPolicies) {
      run_options options = aOptions;
      options.mLoad = at;
      PrintRow(aLoad, one.mName + aSuffix, at, RunRow(aLoad, one, options));
    }
  }
}

void
SweepFaults(const workload& aLoad)
{
  const std::vector<policy> policies{
    Dunehook(),
    Without("retry budget", [](run_options& aRun) { aRun.mSwitches.mRetryBudget = false; }),
    WithAging(),
    Baseline<least_loaded_chooser>("least loaded"),
  };
  run_options death;
  death.mEngineDeath = true;
  Sweep(aLoad, policies, Loads({ 0.8, 1.3 }), death, " (engine dies)");
  run_options slow;
  slow.mLinkScale = 0.3;
  Sweep(aLoad, policies, Loads({ 0.8, 1.3 }), slow, " (slow link)");
  run_options leaving;
  leaving.mCancelShare = 0.2;
  Sweep(aLoad, policies, Loads({ 0.8, 1.3 }), leaving, " (a fifth leaves)");
}

void
SweepLower(const workload& aLoad)
{
  Sweep(aLoad, { Dunehook() }, Loads({ 0.8, 1.0, 1.3 }), {}, " (both classes)");
  run_options alone;
  alone.mLowerShare = 0.0;
  Sweep(aLoad, { Dunehook() }, Loads({ 0.8, 1.0, 1.3 }), alone, " (rank 0 alone)");
}

void
SweepBurst(const workload& aLoad)
{
  std::cout << "workload,second,arrived,good\n";
  run_options options;
  options.mLoad = 0.8;
  options.mBurst = 3.0;
  const run_result got = RunPolicy<cost_chooser>(aLoad, options);
  for (std::size_t second = 10; second < 45; ++second) {
    std::cout << absl::StrFormat("%s,%d,%.0f,%.0f\n",
                                 aLoad.mName,
                                 second,
                                 got.mArrivedBySecond[second],
                                 got.mGoodBySecond[second]);
  }
  std::cerr << absl::StrFormat("attempts over requests %.3f\n",
                               static_cast<double>(got.mAttempts) /
                                 static_cast<double>(got.mStarted));
}

int
Run()
{
  const workload load = LoadWorkload(absl::GetFlag(FLAGS_workload));
  std::cerr << absl::StrFormat(
    "%s: capacity %.2f requests a second\n", load.mName, load.Capacity());
  const std::string sweep = absl::GetFlag(FLAGS_sweep);
  if (sweep == "burst") {
    SweepBurst(load);
    return 0;
  }
  PrintHead();
  const std::vector<policy> policies{ Baseline<round_robin_chooser>("round robin"),
                                      Baseline<least_loaded_chooser>("least loaded"),
                                      Baseline<cost_chooser>("no promise"),
                                      Dunehook() };
  if (sweep == "policies") {
    Sweep(load, policies, Loads({ 0.5, 0.7, 0.9, 1.0, 1.1, 1.3, 1.5 }), {});
  } else if (sweep == "switches") {
    Sweep(load, SwitchedOff(), Loads({ 0.9, 1.3 }), {});
  } else if (sweep == "faults") {
    SweepFaults(load);
  } else if (sweep == "lower") {
    SweepLower(load);
  } else {
    std::cerr << "no such sweep\n";
    return 2;
  }
  return 0;
}

} // namespace
} // namespace dunehook::bench

int
main(int aCount, char** aValues)
{
  absl::SetProgramUsageMessage("runs the decision core against engines in virtual time");
  absl::ParseCommandLine(aCount, aValues);
  return dunehook::bench::Run();
}
