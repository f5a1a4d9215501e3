/**
 * @file soak.cpp
 * A randomized soak of real processes: daemons on the stand-in of the platform, with callers that
 * never rest and faults from outside. Prints a JSON line for each seed; the exit code is 1 if a
 * promise was broken.
 */
#include "soak/soak_check.h"
#include "soak/soak_faults.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::vector<std::string>, seeds, {}, "seeds to play, with commas between them");
ABSL_FLAG(int, episodes, 5, "spans of faults for each seed, some 3 s each");
ABSL_FLAG(std::string,
          only,
          "all",
          "kind of faults that aren't planned work: process, network, runner, store, memory, "
          "poison, limit, cut or all");
ABSL_FLAG(int, daemons, 4, "daemons");
ABSL_FLAG(int, callers, 16, "callers");

namespace dunehook::soak {
namespace {

using test::Eventually;
using test::json;

/** Longest time until all is served again after the last fault, in ms. */
constexpr int kRecoveryMs = 12000;
/** A crash may break what is under way, and what begins until the runner is back, in ms. */
constexpr std::int64_t kCrashedMs = 1500;
/** Longest time until nothing is held for anybody, in ms: a reservation's own life, and a second.
 */
constexpr int kFreeMs = 4000;

fault_kind
KindOf(const std::string& aName)
{
  static const std::map<std::string, fault_kind> kinds{
    { "process", fault_kind::eProcess }, { "network", fault_kind::eNetwork },
    { "runner", fault_kind::eRunner },   { "store", fault_kind::eStore },
    { "memory", fault_kind::eMemory },   { "poison", fault_kind::ePoison },
    { "limit", fault_kind::eLimit },     { "cut", fault_kind::eCut }
  };
  const auto found = kinds.find(aName);
  return found == kinds.end() ? fault_kind::eAll : found->second;
}

/** One seed's run. */
class soak_run
{
public:
  explicit soak_run(unsigned aSeed)
    : mSeed(aSeed)
    , mDaemons(static_cast<std::size_t>(absl::GetFlag(FLAGS_daemons)))
    , mBed(true)
    , mWorld(mDaemons)
    , mFaults(mBed, mWorld, aSeed, KindOf(absl::GetFlag(FLAGS_only)))
  {
    mBed.StartUsual(mFaults.DaemonOptions());
    mFaults.TellBirths();
    mFaults.ArmRunners();
    for (std::size_t daemon = 1; daemon < mDaemons; ++daemon) {
      mBed.StartDaemon(mFaults.DaemonOptions());
    }
    for (std::size_t daemon = 0; daemon < mDaemons; ++daemon) {
      mWorld.mDaemons.push_back(mBed.Callers(daemon));
    }
  }

  /** @return whether every promise was kept. */
  bool Run()
  {
    const auto callers = static_cast<std::size_t>(absl::GetFlag(FLAGS_callers));
    soak_callers load(mWorld, callers, mSeed);
    for (int episode = 0; episode < absl::GetFlag(FLAGS_episodes); ++episode) {
      mFaults.PlayEpisode();
      Check(load);
    }
    mFaults.EndLimits();
    mFaults.MendAll();
    CheckRecovery();
    load.Stop();
    Check(load);
    CheckNothingHeld();
    Report(load.Records());
    return mFound.empty();
  }

private:
  void Check(const soak_callers& aLoad)
  {
    evidence known;
    known.mCalls = aLoad.Records(); // Before what runners saw, so that nothing is missing there.
    known.mSeen = mBed.Seen();
    known.mFaults = mFaults.Faults();
    known.mDrains = mFaults.Drains();
    known.mLimits = mFaults.Limits();
    known.mCuts = mFaults.Cuts();
    known.mCrashes = mBed.Crashes();
    for (const json& crash : known.mCrashes) { // What ran there broke, whoever else was stopped.
      const auto at = crash.value("at_ms", std::int64_t{ 0 });
      known.mFaults.push_back({ at, at + kCrashedMs, std::nullopt, false });
    }
    mFound.merge(CheckPromises(known));
    for (const std::string& end : mFaults.BadEnds()) {
      mFound.insert({ "no process ends by itself", "", end });
    }
  }

  /** Every daemon serves each kind of request again, with the newest configuration. */
  void CheckRecovery()
  {
    const std::uint64_t version = mWorld.mVersion;
    const std::string added =
      version > 1 ? "/v" + std::to_string(version) + "/a" : std::string("/pages/a");
    for (std::size_t daemon = 0; daemon < mDaemons; ++daemon) {
      const std::string at = mBed.Callers(daemon);
      int tries = 0;
      const bool well = Eventually(
        [&] {
          const std::string id = "w" + std::to_string(daemon) + "-" + std::to_string(++tries);
          const auto page = test::Call(at, "GET", added, "", test::CallerHeaders(id), 2000);
          const auto turn = test::Call(
            at, "POST", "/turns/a", "x", test::GenerationHeaders(id + "t", 1000, 2), 3000);
          return mBed.Readiness(daemon) == 200 && page.mStatus == 200 && turn.mStatus == 200;
        },
        kRecoveryMs);
      if (!well) {
        mFound.insert({ "all is served again", "", "daemon " + std::to_string(daemon) });
      }
    }
  }

  void CheckNothingHeld()
  {
    for (const std::string& runner : mFaults.Runners()) {
      json held;
      const bool free = Eventually(
        [&] {
          held = mBed.Holds(runner);
          return held.value("runs", 1) == 0 && held.value("holds", 1) == 0;
        },
        kFreeMs);
      if (!free) {
        mFound.insert({ "nothing is held for nobody", "", runner + ": " + held.dump() });
      }
    }
  }

  /** Prints when each fault began and ended, in ms. */
  void ReportFaults() const
  {
    for (const fault_record& fault : mFaults.Faults()) {
      std::cout << json{
        { "from", fault.mFrom },
        { "until", fault.mUntil },
        { "daemon", fault.mDaemon ? json(*fault.mDaemon) : json() },
        { "planned", fault.mPlanned }
      }.dump() << std::endl;
    }
  }

  void Report(const std::vector<call_record>& aCalls) const
  {
    std::map<std::string, int> statuses;
    for (const call_record& call : aCalls) {
      ++statuses[call.mLeft ? "left" : std::to_string(call.mStatus)];
    }
    json broken = json::array();
    for (const violation& one : mFound) {
      broken.push_back(
        { { "promise", one.mPromise }, { "request", one.mRequest }, { "detail", one.mDetail } });
    }
    if (!mFound.empty()) {
      ReportFaults();
    }
    std::cout << json{
      { "seed", mSeed },
      { "calls", aCalls.size() },
      { "answers", statuses },
      { "faults", mFaults.Counts() },
      { "crashes", mBed.Crashes().size() },
      { "broken", broken }
    }.dump() << std::endl;
  }

  unsigned mSeed;             ///< Of everything drawn.
  std::size_t mDaemons;       ///< How many.
  test::fleet_bed mBed;       ///< Processes.
  caller_world mWorld;        ///< Shared by callers and faults.
  soak_faults mFaults;        ///< The injector.
  std::set<violation> mFound; ///< Broken promises.
};

} // namespace
} // namespace dunehook::soak

int
main(int aCount, char** aValues)
{
  absl::ParseCommandLine(aCount, aValues);
  bool kept = true;
  for (const std::string& seed : absl::GetFlag(FLAGS_seeds)) {
    dunehook::soak::soak_run run(static_cast<unsigned>(std::stoul(seed)));
    kept = run.Run() && kept;
  }
  return kept ? 0 : 1;
}
