/**
 * @file main.cpp
 * Plays one case: `stage CASE FOLDER`. Writes FOLDER/record.txt. Exits with 1 if the rule was
 * broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
 */
#include "clients.h"
#include "runner.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <unistd.h>

using namespace stage;
using nlohmann::json;

namespace {

constexpr int kCannotRun = 2;

/** All that takes part in a case. */
struct deployment
{
  explicit deployment(const std::string& aRecord)
    : mRecord(aRecord)
    , mStore("127.0.0.1")
    , mSeen(mRecord)
  {
  }

  recorder mRecord;                              ///< What happens.
  store mStore;                                  ///< The platform's store.
  sightings mSeen;                               ///< What runners see.
  std::vector<std::unique_ptr<runner>> mRunners; ///< All runners.
};

json
Route(const request_kind& aKind, const std::string& aService)
{
  const std::string kind = aKind.mStream ? "streaming" : aKind.mSafe ? "safe" : "unsafe";
  return { { "name", aKind.mName },
           { "host", "calls.example" },
           { "path-prefix", aKind.mPath },
           { "kind", kind },
           { "timeout-ms", aKind.mTimeoutMs },
           { "target-latency-ms", aKind.mStream ? 900 : 300 },
           { "gap_aim_ms", 300 },
           { "priority", aKind.mStream ? 1 : 2 },
           { "service", aService },
           { "max-attempts", aKind.mSafe ? 2 : 1 },
           { "resumable", false },
           { "sticky-sessions", aKind.mStream } };
}

void
PutManifest(store& aStore, const json& aRoutes)
{
  const json engine{ { "slots", 64 },         { "kv-tokens", 89659 },    { "stride", 64 },
                     { "handle-ttl-s", 0.5 }, { "stage-switch-s", 6.0 }, { "hold-ms", 2000.0 } };
  const json manifest{
    { "version", 3 },
    { "routes", aRoutes },
    { "services",
      json::array(
        { { { "name", "tutor-models" }, { "max-connections", 370 }, { "engine", engine } },
          { { "name", "lesson-desk" }, { "max-connections", 110 } } }) },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 4194304 },
        { "header-timeout-ms", 5000 },
        { "idle-timeout-ms", 10000 } } }
  };
  aStore.Put("keyed.op", "config", manifest.dump());
}

request_kind
Record()
{
  request_kind kind;
  kind.mName = "lesson-record";
  kind.mMethod = "POST";
  kind.mPath = "/records/";
  kind.mBodyBytes = 600;
  return kind;
}

request_kind
Fetch()
{
  request_kind kind;
  kind.mName = "cert-fetch";
  kind.mMethod = "GET";
  kind.mPath = "/certs/";
  kind.mSafe = true;
  return kind;
}

request_kind
Placement()
{
  request_kind kind;
  kind.mName = "placement-level";
  kind.mMethod = "POST";
  kind.mPath = "/placements/";
  kind.mStream = true;
  kind.mDeadlineMs = 14000;
  kind.mTimeoutMs = 14000;
  kind.mBodyBytes = 5000;
  return kind;
}

/** An essay that is handed in with a lesson record. */
request_kind
Upload()
{
  request_kind kind = Record();
  kind.mName = "lesson-upload";
  kind.mPath = "/uploads/";
  kind.mBodyBytes = 4000000;
  kind.mChunked = true;
  kind.mBytesPerSecond = 1500000;
  kind.mDeadlineMs = 8000;
  kind.mTimeoutMs = 8000;
  kind.mNewConnections = true;
  return kind;
}

/** Adds the runners of the two services. */
void
AddRunners(deployment& aAll, int aPrefill, int aDecode, int aPlain)
{
  const std::vector<std::string> zones{ "duluth-hall", "toledo-hall", "erie-hall" };
  int number = 0;
  const auto add =
    [&](const std::string& aService, const std::string& aStage, int aSlots, int aQueue) {
      runner_setup setup;
      setup.mId = "i-" + (aStage.empty() ? "desk" : aStage) + "-" + std::to_string(++number);
      setup.mService = aService;
      setup.mStage = aStage;
      setup.mZone = zones[static_cast<std::size_t>(number) % zones.size()];
      setup.mSlots = aSlots;
      setup.mQueue = aQueue;
      aAll.mRunners.push_back(
        std::make_unique<runner>(aAll.mStore, aAll.mSeen, "127.0.0.1", std::move(setup)));
    };
  for (int i = 0; i < aPrefill; ++i) {
    add("tutor-models", "prefill", 64, 2);
  }
  for (int i = 0; i < aDecode; ++i) {
    add("tutor-models", "decode", 64, 2);
  }
  for (int i = 0; i < aPlain; ++i) {
    add("lesson-desk", "", 6, 24);
  }
}

runner&
RunnerNamed(deployment& aAll, const std::string& aId)
{
  for (const std::unique_ptr<runner>& one : aAll.mRunners) {
    if (one->Id() == aId) {
      return *one;
    }
  }
  std::_Exit(kCannotRun);
}

/** @return requests of a kept connection that were passed on to a sound runner and had no answer as
 * their connection was closed, by daemon. */
std::map<int, int>
ClosedWithoutAnswer(deployment& aAll, const std::vector<outcome>& aOutcomes)
{
  std::map<int, int> lost;
  for (const outcome& one : aOutcomes) {
    if (!one.mKept || !one.mClosed || one.mBegun) {
      continue;
    }
    const std::vector<sighting> seen = aAll.mSeen.Of(one.mId);
    const bool passed =
      std::any_of(seen.begin(), seen.end(), [](const sighting& aOne) { return aOne.mSound; });
    const bool ranInTrouble =
      std::any_of(seen.begin(), seen.end(), [](const sighting& aOne) { return !aOne.mSound; });
    if (passed && !ranInTrouble) {
      ++lost[one.mDaemon];
      aAll.mRecord.Line("lost: " + one.mId + " " + one.mKind->mName + ", passed on by daemon " +
                        std::to_string(one.mDaemon) + " to " + seen.front().mRunner +
                        ", connection closed without an answer");
    }
  }
  return lost;
}

void
Say(deployment& aAll, const std::string& aText)
{
  aAll.mRecord.Line(aText);
  std::printf("%s\n", aText.c_str());
  std::fflush(stdout);
}

/** Writes what was served and how the daemons fared. */
void
SaySummary(deployment& aAll, const daemons& aDaemons, const std::vector<outcome>& aOutcomes)
{
  std::map<std::string, std::map<std::string, int>> counts;
  for (const outcome& one : aOutcomes) {
    const std::string end = one.mWhole    ? std::to_string(one.mStatus)
                            : one.mClosed ? "connection ended"
                                          : "given up";
    ++counts[one.mKind->mName][end];
  }
  for (const auto& [kind, ends] : counts) {
    std::string text = kind + ":";
    for (const auto& [end, count] : ends) {
      text += " " + end + " x" + std::to_string(count);
    }
    Say(aAll, text);
  }
  for (int number = 0; number < aDaemons.Count(); ++number) {
    Say(aAll,
        "daemon " + std::to_string(number) + ": over memory-mb " +
          std::to_string(aDaemons.OverMemory(number)) + " times, ended otherwise " +
          std::to_string(aDaemons.Ended(number)) + " times, most memory " +
          std::to_string(aDaemons.Peak(number)) + " MB");
  }
}

/** The LOST rule on kept connections, more than three times at one machine. */
int
JudgeLost(deployment& aAll, const std::vector<outcome>& aOutcomes)
{
  constexpr int kAllowed = 3;
  int worst = 0;
  for (const auto& [daemon, count] : ClosedWithoutAnswer(aAll, aOutcomes)) {
    Say(
      aAll,
      "daemon " + std::to_string(daemon) + ": " + std::to_string(count) +
        " requests of kept connections, passed on to sound runners, were closed without an answer");
    worst = std::max(worst, count);
  }
  Say(aAll, worst > kAllowed ? "LOST is broken" : "LOST holds");
  return worst > kAllowed ? 1 : 0;
}

/** The CONFIG rule on the routes' timeout-ms. */
int
JudgeTimeouts(deployment& aAll, const std::vector<outcome>& aOutcomes)
{
  constexpr int kLeast = 8;
  constexpr std::int64_t kSlackMs = 500;
  int atTimeout = 0;
  int later = 0;
  for (const outcome& one : aOutcomes) {
    const std::int64_t took = one.mEndAt - one.mSentAt;
    if (!one.mSent || one.mKind->mStream || took <= one.mKind->mTimeoutMs) {
      continue;
    }
    ++atTimeout;
    later += took > one.mKind->mTimeoutMs + kSlackMs ? 1 : 0;
  }
  Say(aAll,
      std::to_string(atTimeout) + " requests had no answer at their route's timeout-ms, " +
        std::to_string(later) + " of them none half a second later");
  const bool broken = later >= kLeast && 2 * later > atTimeout;
  Say(aAll, broken ? "CONFIG is broken" : "CONFIG holds");
  return broken ? 1 : 0;
}

/** The REFUSED rule: who is told that a request didn't run is told the truth. */
int
JudgeRefused(deployment& aAll, const std::vector<outcome>& aOutcomes)
{
  int refused = 0;
  int ran = 0;
  for (const outcome& one : aOutcomes) {
    const bool promise =
      one.mStatus == 503 || one.mStatus == 429 || one.mStatus == 408 || one.mStatus == 421;
    if (one.mKind->mSafe || !one.mWhole || !promise) {
      continue;
    }
    ++refused;
    for (const sighting& seen : aAll.mSeen.Of(one.mId)) {
      if (seen.mRan) {
        ++ran;
        aAll.mRecord.Line("told not to have run: " + one.mId + " " + one.mKind->mName +
                          " got status " + std::to_string(one.mStatus) + " from daemon " +
                          std::to_string(one.mDaemon) + ", and ran at " + seen.mRunner);
        break;
      }
    }
  }
  Say(aAll,
      std::to_string(refused) + " requests that may not be repeated were refused, " +
        std::to_string(ran) + " of them had run");
  Say(aAll, ran > 0 ? "REFUSED is broken" : "REFUSED holds");
  return ran > 0 ? 1 : 0;
}

void
SleepUntil(std::int64_t aFrom, double aSeconds)
{
  const auto left = aFrom + static_cast<std::int64_t>(aSeconds * 1000.0) - NowMs();
  if (left > 0) {
    std::this_thread::sleep_for(ms(left));
  }
}

/** Lets runners be in trouble for some spans of 6.5 s. */
void
Trouble(deployment& aAll,
        const std::vector<std::string>& aRunners,
        trouble aKind,
        const std::vector<double>& aBegins,
        std::int64_t aFrom,
        bool aOn)
{
  constexpr double kSpan = 6.5;
  for (const double begin : aBegins) {
    SleepUntil(aFrom, begin);
    for (const std::string& name : aRunners) {
      if (aOn) {
        Say(aAll, "trouble begins at " + name);
        RunnerNamed(aAll, name).SetTrouble(aKind);
      }
    }
    SleepUntil(aFrom, begin + kSpan);
    for (const std::string& name : aRunners) {
      if (aOn) {
        RunnerNamed(aAll, name).SetTrouble(trouble::eNone);
        Say(aAll, "trouble ends at " + name);
      }
    }
  }
}

/** A model runner in trouble answers without end. */
int
PlayEndlessHold(deployment& aAll, daemons& aDaemons, bool aTrouble)
{
  clients all(aDaemons, aAll.mRecord);
  const std::int64_t from = NowMs();
  all.Start(Record(), 48, 88.0);
  all.Start(Fetch(), 24, 36.0);
  all.Start(Placement(), 40, 10.0);
  Trouble(aAll, { "i-decode-4" }, trouble::eEndlessFast, { 8.0, 20.0, 32.0 }, from, aTrouble);
  SleepUntil(from, 46.0);
  all.Stop();
  const std::vector<outcome> outcomes = all.Outcomes();
  SaySummary(aAll, aDaemons, outcomes);
  return JudgeLost(aAll, outcomes);
}

/** A plain runner in trouble answers slowly and without end. */
int
PlayEndlessSlow(deployment& aAll, daemons& aDaemons, bool aTrouble)
{
  clients all(aDaemons, aAll.mRecord);
  const std::int64_t from = NowMs();
  all.Start(Record(), 48, 88.0);
  all.Start(Fetch(), 24, 36.0);
  Trouble(aAll, { "i-desk-1" }, trouble::eEndlessSlow, { 8.0, 20.0, 32.0 }, from, aTrouble);
  SleepUntil(from, 44.0);
  all.Stop();
  const std::vector<outcome> outcomes = all.Outcomes();
  SaySummary(aAll, aDaemons, outcomes);
  return JudgeTimeouts(aAll, outcomes);
}

/** A plain runner in trouble sends bytes that are no answer, in place of some answers. */
int
PlayNoAnswer(deployment& aAll, daemons& aDaemons, bool aTrouble)
{
  clients all(aDaemons, aAll.mRecord);
  const std::int64_t from = NowMs();
  all.Start(Record(), 48, 88.0);
  all.Start(Fetch(), 24, 36.0);
  Trouble(
    aAll, { "i-desk-1", "i-desk-2" }, trouble::eNoAnswer, { 6.0, 14.0, 22.0 }, from, aTrouble);
  SleepUntil(from, 32.0);
  all.Stop();
  const std::vector<outcome> outcomes = all.Outcomes();
  SaySummary(aAll, aDaemons, outcomes);
  return JudgeRefused(aAll, outcomes);
}

/** A model runner in trouble begins a chunk of a stream, and its line goes on without end. */
int
PlayEndlessChunk(deployment& aAll, daemons& aDaemons, bool aTrouble)
{
  clients all(aDaemons, aAll.mRecord);
  const std::int64_t from = NowMs();
  all.Start(Record(), 48, 88.0);
  all.Start(Fetch(), 24, 36.0);
  all.Start(Placement(), 40, 10.0);
  Trouble(aAll, { "i-decode-4" }, trouble::eEndlessChunk, { 8.0, 20.0, 32.0 }, from, aTrouble);
  SleepUntil(from, 46.0);
  all.Stop();
  const std::vector<outcome> outcomes = all.Outcomes();
  SaySummary(aAll, aDaemons, outcomes);
  return JudgeLost(aAll, outcomes);
}

/** Most new connections go to one daemon, while clients send large bodies in chunks. */
int
PlayUploads(deployment& aAll, daemons& aDaemons, bool aTrouble)
{
  clients all(aDaemons, aAll.mRecord);
  const std::int64_t from = NowMs();
  all.Start(Record(), 72, 150.0);
  all.Start(Fetch(), 36, 60.0);
  all.Start(Upload(), 65, 21.7);
  int to = 0;
  for (const double begin : { 8.0, 20.0, 32.0 }) {
    SleepUntil(from, begin);
    if (aTrouble) {
      Say(aAll, "most new connections go to daemon " + std::to_string(to));
      aDaemons.Skew(to);
    }
    SleepUntil(from, begin + 6.5);
    aDaemons.Skew(-1);
  }
  SleepUntil(from, 44.0);
  all.Stop();
  const std::vector<outcome> outcomes = all.Outcomes();
  SaySummary(aAll, aDaemons, outcomes);
  return JudgeLost(aAll, outcomes);
}

int
Play(const std::string& aCase, const std::string& aFolder, const std::string& aWork, bool aTrouble)
{
  deployment all(aFolder + "/record.txt");
  daemon_settings settings;
  settings.mStore = all.mStore.Address();
  settings.mFolder = aWork;
  settings.mCount = aCase == "uploads" ? 5 : 3;
  json routes = json::array({ Route(Record(), "lesson-desk"),
                              Route(Fetch(), "lesson-desk"),
                              Route(Upload(), "lesson-desk") });
  routes.push_back(Route(Placement(), "tutor-models"));
  PutManifest(all.mStore, routes);
  const bool engines = aCase == "endless-hold" || aCase == "endless-chunk";
  const int plain = aCase == "endless-slow" ? 8 : 6;
  AddRunners(all, engines ? 3 : 0, engines ? 6 : 0, plain);
  daemons fleet(settings, all.mRecord);
  if (!fleet.Start()) {
    Say(all, "the daemons didn't start");
    return kCannotRun;
  }
  Say(all, "all daemons are ready");
  std::this_thread::sleep_for(ms(4000));
  if (aCase == "endless-hold") {
    return PlayEndlessHold(all, fleet, aTrouble);
  }
  if (aCase == "endless-slow") {
    return PlayEndlessSlow(all, fleet, aTrouble);
  }
  if (aCase == "no-answer") {
    return PlayNoAnswer(all, fleet, aTrouble);
  }
  if (aCase == "endless-chunk") {
    return PlayEndlessChunk(all, fleet, aTrouble);
  }
  return aCase == "uploads" ? PlayUploads(all, fleet, aTrouble) : kCannotRun;
}

} // namespace

int
main(int aCount, char** aValues)
{
  if (aCount != 3) {
    return kCannotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* const asked = std::getenv("TROUBLE");
  const bool trouble = asked == nullptr || std::string(asked) != "0";
  std::string work = "/tmp/stage-XXXXXX";
  if (::mkdtemp(work.data()) == nullptr) {
    return kCannotRun;
  }
  const int end = Play(aValues[1], aValues[2], work, trouble);
  for (int number = 0; number < 16; ++number) {
    const std::string stem = work + "/daemon-" + std::to_string(number);
    if (std::getenv("KEEP") == nullptr) {
      ::unlink((stem + ".toml").c_str());
      ::unlink((stem + ".out").c_str());
    }
  }
  ::rmdir(work.c_str());
  std::fflush(stdout);
  std::_Exit(end); // Connections of stand-ins end with the process.
}
