/**
 * @file soak_faults.cpp
 * Drawing and injecting of faults.
 */
#include "soak/soak_faults.h"

#include <algorithm>
#include <csignal>

namespace dunehook::soak {

namespace {

using test::json;
using test::NowMs;

/** Length of an episode's faults, and how long one of them lasts, in ms. */
constexpr int kEpisodeMs = 2500;
constexpr int kShortestMs = 100;
constexpr int kLongestMs = 1800;
/** Longest planned stop of a daemon, in ms: its limit is 8 s. */
constexpr int kStopMs = 9000;
/** A daemon answers what it has read and closes, at most this long after it's well again, in ms. */
constexpr std::int64_t kAfterwardsMs = 1500;
/** Seeds from here on play what is forgotten as well; those before play what they always did. */
constexpr unsigned kFirstWithMemory = 1000;
/** Seeds from here on play requests that crash runners as well. */
constexpr unsigned kFirstWithPoison = 2000;
/** Seeds from here on play limits that runners name, and no requests that crash runners. */
constexpr unsigned kFirstWithLimits = 3000;
/** Seeds from here on play engines whose streams end with their connections, and what 3000 plays.
 */
constexpr unsigned kFirstWithoutFraming = 4000;
/** Seeds from here on play single daemons that are cut off from runners, and what 4000 plays, but
 * no runner is listed anew: each daemon knows runners by addresses of its own, and daemons tell
 * each other of changed entries. */
constexpr unsigned kFirstWithCuts = 5000;
/** Seeds from here on play parts of prompts that crash engines in place of requests, and what 2000
 * plays. */
constexpr unsigned kFirstWithParts = 6000;
/** Seeds from here on play runners that send bytes without an end, and odd entries among the
 * runners', with what 1000 plays. */
constexpr unsigned kFirstWithBytes = 20000;
/** Seeds from here on play answers that end in their heads, and what 20000 plays. */
constexpr unsigned kFirstWithCutHeads = 21000;
/** Memory of a host, which a daemon must not exceed; kB. */
constexpr std::int64_t kMemoryKb = 110 << 10;
/** Length of a long cut, and of one in a series; time between the begins of those; in ms. */
constexpr std::int64_t kLongCutMs = 6000;
constexpr std::int64_t kSerialCutMs = 500;
constexpr std::int64_t kSerialCutIntervalMs = 1000;
constexpr int kCutsInSeries = 4;
/** Limits are drawn up to this many requests a second. */
constexpr int kMostPerSecond = 20;
/** Time from a runner's crash to its next life, in ms. */
constexpr int kDownMs = 700;
/** Most records that an older copy lacks, of each topic. */
constexpr int kMostLacked = 4;
/** One of so many episodes has planned work only. */
constexpr int kPlannedOf = 3;
/**
 * A program that's being loaded can't handle a signal yet, so a planned stop waits for that, at
 * most this long after the start, in ms.
 */
constexpr int kLoadingMs = 2000;
/** An entry that is a runner's but for its port. */
const std::string kPortTooLarge =
  R"({"service":"desk","address":"127.0.0.1:65536","zone":"hall-a","version":"v1","slots":4,)"
  R"("state":"ready","cold-remaining-ms":0,"sequence":1})";
/** A planned episode ends so long after its last work: a leaving runner is served until then. */
constexpr int kDrainMs = 2600;

} // namespace

soak_faults::soak_faults(test::fleet_bed& aBed,
                         caller_world& aWorld,
                         unsigned aSeed,
                         fault_kind aOnly)
  : mBed(aBed)
  , mWorld(aWorld)
  , mRandom(aSeed)
  , mOnly(aOnly)
  , mBytes(aOnly == fault_kind::eAll && aSeed >= kFirstWithBytes)
  , mCutHeads(mBytes && aSeed >= kFirstWithCutHeads)
  , mMemory(aOnly == fault_kind::eMemory || mBytes ||
            (aOnly == fault_kind::eAll && aSeed >= kFirstWithMemory && aSeed < kFirstWithCuts))
  , mPoisons(
      aOnly == fault_kind::ePoison ||
      (aOnly == fault_kind::eAll && !mBytes &&
       ((aSeed >= kFirstWithPoison && aSeed < kFirstWithLimits) || aSeed >= kFirstWithParts)))
  , mPoisonParts(mPoisons && aSeed >= kFirstWithParts && aOnly == fault_kind::eAll)
  , mLimits(aOnly == fault_kind::eLimit ||
            (aOnly == fault_kind::eAll && !mBytes && aSeed >= kFirstWithLimits && !mPoisonParts))
  , mFramesStreams(aOnly != fault_kind::eAll || aSeed < kFirstWithoutFraming)
  , mCuts(aOnly == fault_kind::eCut ||
          (aOnly == fault_kind::eAll && !mBytes && aSeed >= kFirstWithCuts && !mPoisonParts))
  , mRunners{ "desk-1", "desk-2", "prefill-1", "decode-1", "decode-2" }
{
}

std::pair<std::int64_t, std::int64_t>
soak_faults::DrawSpan()
{
  const std::int64_t from = Draw(kEpisodeMs - kShortestMs);
  return { from, from + kShortestMs + Draw(kLongestMs) };
}

void
soak_faults::Note(const std::string& aKind,
                  std::optional<std::size_t> aDaemon,
                  std::int64_t aFor,
                  bool aPlanned)
{
  ++mCounts[aKind];
  if (aDaemon && !aKind.starts_with("cut")) {
    std::erase_if(mCutRecords, [&](const cut_record& aCut) {
      return aCut.mDaemon == *aDaemon && aCut.mUntil == 0;
    });
  }
  mFaults.push_back({ NowMs(), NowMs() + aFor + kAfterwardsMs, aDaemon, aPlanned });
}

void
soak_faults::StopAndStart(std::size_t aDaemon)
{
  test::process& daemon = mBed.Daemon(aDaemon);
  test::Eventually([&] { return daemon.Handles(SIGTERM); }, kLoadingMs);
  daemon.Signal(SIGTERM);
  if (mPaused.erase(aDaemon) > 0) { // The end of its pause comes only after this stop.
    daemon.Signal(SIGCONT);
  }
  const int code = daemon.WaitForExit(kStopMs);
  if (code != 0) {
    mBadEnds.push_back("daemon " + std::to_string(aDaemon) + " ended a planned stop with " +
                       std::to_string(code));
  }
  Restart(aDaemon);
}

void
soak_faults::Restart(std::size_t aDaemon)
{
  ++mWorld.mLives[aDaemon];
  mBed.RestartDaemon(aDaemon);
}

void
soak_faults::KillAndStart(std::size_t aDaemon)
{
  mPaused.erase(aDaemon);
  mBed.Daemon(aDaemon).Signal(SIGKILL);
  Restart(aDaemon);
}

void
soak_faults::ChangeConfig()
{
  PutVersion(mWorld.mVersion + 1);
  ++mWorld.mVersion;
}

void
soak_faults::PutVersion(std::uint64_t aVersion)
{
  json routes = json::array();
  for (std::uint64_t added = 2; added <= aVersion; ++added) {
    routes.push_back(test::PageRoute("/v" + std::to_string(added) + "/"));
  }
  mBed.PutConfig(aVersion, routes);
}

void
soak_faults::ReplaceRunner()
{
  const std::string former = Supersede();
  List(former, "draining");
  mDrains.push_back({ former, NowMs(), false });
  mDraining[former] = "draining";
}

std::string
soak_faults::Supersede()
{
  const std::size_t which = DrawIndex(mRunners.size());
  std::string former = mRunners[which];
  const std::string kind = former.substr(0, former.find('-'));
  const std::string fresh = kind + "-x" + std::to_string(++mNextRunner);
  test::runner_options options;
  options.mService = kind == "desk" ? "desk" : "tutor";
  options.mRole = kind == "desk" ? "" : kind;
  options.mBorn = mMemory || mPoisons ? NextBirth() : 0;
  mBed.AddRunner(fresh, options);
  mRunners[which] = fresh;
  ArmRunners();
  return former;
}

void
soak_faults::TellBirths()
{
  if (!mMemory && !mPoisons) {
    return;
  }
  for (const std::string& runner : mRunners) {
    mBed.ListBorn(runner, NextBirth());
  }
}

std::uint64_t
soak_faults::NextBirth()
{
  if (!mPoisons) {
    return ++mBorn;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  mBorn = std::max(mBorn + 1, static_cast<std::uint64_t>(ms));
  return mBorn;
}

void
soak_faults::List(const std::string& aRunner, const std::string& aState)
{
  if (mPoisons) { // It may have crashed and begun anew since it was listed.
    mBed.TakeBirth(aRunner);
  }
  mBed.List(aRunner, aState);
}

void
soak_faults::ArmRunners()
{
  for (const std::string& runner : mRunners) {
    if (!mFramesStreams && runner.starts_with("decode")) {
      mBed.SetRunner(runner, { { "framing", "none" } });
    }
  }
  if (!mPoisons) {
    return;
  }
  mWorld.mRepeats = true;
  mWorld.mPoisonParts = mPoisonParts;
  json faults{ { "down_ms", kDownMs }, { "keeps_id", true } };
  if (mPoisonParts) {
    for (int number = 1; number <= kPoisonParts; ++number) {
      faults["crashes_on_parts"].push_back(kPoisonPart + std::to_string(number));
    }
  } else {
    faults["crashes_on"] = kPoison;
  }
  for (const std::string& runner : mRunners) {
    mBed.SetRunner(runner, faults);
  }
}

void
soak_faults::AddPoison(timeline& aTimes)
{
  const auto [from, until] = DrawSpan();
  aTimes.emplace(from, [this] {
    Note("poison", std::nullopt, 0, false);
    mWorld.mPoison = mWorld.mPoison + 1 + Draw(2);
  });
}

void
soak_faults::SetLimit(const std::string& aRunner, std::optional<double> aPerSecond)
{
  bool first = true;
  for (limit_record& record : mLimitRecords) {
    if (record.mRunner == aRunner && record.mUntil == 0) {
      record.mUntil = NowMs();
      first = false;
    }
  }
  if (aPerSecond) {
    mLimitRecords.push_back({ aRunner, *aPerSecond, NowMs(), 0, first });
  }
  mBed.SetRunner(aRunner, { { "limit", aPerSecond ? std::to_string(*aPerSecond) : "" } });
}

void
soak_faults::EndLimits()
{
  const std::vector<limit_record> records = mLimitRecords;
  for (const limit_record& record : records) {
    if (record.mUntil == 0) {
      SetLimit(record.mRunner, std::nullopt);
    }
  }
}

void
soak_faults::AddLimit(timeline& aTimes)
{
  // Most limits last for several episodes: some change, some end.
  const std::string runner = mRunners[DrawIndex(mRunners.size())];
  const double perSecond = Draw(kMostPerSecond * 10) / 10.0;
  const bool ends = Draw(4) == 0;
  const auto [from, until] = DrawSpan();
  aTimes.emplace(from, [this, runner, perSecond] {
    Note("limit", std::nullopt, 0, false);
    SetLimit(runner, perSecond);
  });
  if (ends) {
    aTimes.emplace(until, [this, runner] { SetLimit(runner, std::nullopt); });
  }
}

test::platform_daemon_options
soak_faults::DaemonOptions() const
{
  test::platform_daemon_options options;
  options.mOwnRunnerLinks = mCuts;
  return options;
}

void
soak_faults::CutFor(timeline& aTimes,
                    std::size_t aDaemon,
                    const std::string& aHow,
                    const std::string& aService,
                    std::pair<std::int64_t, std::int64_t> aSpan)
{
  const auto [from, until] = aSpan;
  const std::int64_t length = until - from;
  aTimes.emplace(from, [this, aDaemon, aHow, aService, length] {
    Note("cut: " + aHow, aDaemon, length, false);
    mBed.CutRunners(aDaemon, aHow, aService);
    if (length == kLongCutMs && aService.empty()) {
      mCutRecords.push_back({ aDaemon, NowMs(), 0 });
    }
  });
  aTimes.emplace(until, [this, aDaemon, aService] {
    for (cut_record& record : mCutRecords) {
      record.mUntil = record.mDaemon == aDaemon && record.mUntil == 0 ? NowMs() : record.mUntil;
    }
    mBed.CutRunners(aDaemon, "", aService);
  });
}

void
soak_faults::AddCut(timeline& aTimes)
{
  static const std::vector<std::string> ways{ "refuse", "hang", "closed" };
  static const std::vector<std::string> services{ "", "", "desk", "tutor" };
  const std::size_t daemon = DrawIndex(mWorld.mDaemons.size());
  const std::string& way = ways[DrawIndex(ways.size())];
  const std::string& service = services[DrawIndex(services.size())];
  const std::int64_t from = Draw(kEpisodeMs / 2);
  switch (Draw(3)) {
    case 0:
      CutFor(aTimes, daemon, way, service, { from, from + kShortestMs + Draw(kLongestMs) });
      break;
    case 1:
      for (int i = 0; i < kCutsInSeries; ++i) {
        const std::int64_t begins = from + i * kSerialCutIntervalMs;
        CutFor(aTimes, daemon, way, service, { begins, begins + kSerialCutMs });
      }
      break;
    default:
      CutFor(aTimes, daemon, way, service, { from, from + kLongCutMs });
      break;
  }
}

void
soak_faults::LetStoreGoBack()
{
  mBed.LetStoreGoBack({ { "keyed.op", Draw(kMostLacked) },
                        { "keyed.servers", Draw(kMostLacked) },
                        { "keyed.dunehook", Draw(2) } });
}

void
soak_faults::WriteAgain()
{
  for (const std::string& runner : mRunners) {
    List(runner, "ready");
  }
  for (const auto& [runner, state] : mDraining) {
    List(runner, state);
  }
  for (const std::string& runner : mLeft) {
    List(runner, "");
  }
  PutVersion(mWorld.mVersion);
}

void
soak_faults::LeaveByAnswers()
{
  const std::string former = Supersede();
  mBed.SetRunner(former, { { "leaves", true } });
  mDrains.push_back({ former, NowMs(), true });
  mDraining[former] = "ready"; // The store never says it.
}

bool
soak_faults::Works(const std::string& aRunner) const
{
  return std::find(mRunners.begin(), mRunners.end(), aRunner) != mRunners.end();
}

void
soak_faults::Rebear(const std::string& aRunner)
{
  mBed.SetProxy(aRunner, { { "reset", 1 } });
  mBed.Rebear(aRunner, NextBirth());
  mBed.MendProxy(aRunner);
}

void
soak_faults::WriteRubbish(const std::string& aKey)
{
  static const std::vector<std::string> texts{ "nothing",
                                               "[1]",
                                               R"({"service":"desk"})",
                                               R"({"service":5,"address":[],"state":"ready"})",
                                               "\xff\xfe" };
  static const std::vector<std::string> odd{ std::string(30000, '[') + std::string(30000, ']'),
                                             R"({"service":"desk","slots":1e999})",
                                             R"({"service":"desk","slots":)" +
                                               std::string(400, '9') + "}",
                                             kPortTooLarge,
                                             std::string(200000, 'x') };
  const std::vector<std::string>& drawn = mBytes ? odd : texts;
  mBed.ListRaw(aKey, drawn[DrawIndex(drawn.size())]);
}

void
soak_faults::AddMemoryFault(timeline& aTimes)
{
  const std::string runner = mRunners[DrawIndex(mRunners.size())];
  const auto [from, until] = DrawSpan();
  const std::int64_t length = until - from + kDrainMs;
  switch (Draw(4)) {
    case 0:
      aTimes.emplace(from, [this, length] {
        Note("store went back", std::nullopt, length, false);
        LetStoreGoBack();
      });
      aTimes.emplace(until, [this] { WriteAgain(); });
      break;
    case 1:
      for (const std::int64_t at : { from, until }) {
        aTimes.emplace(at, [this, runner] {
          if (!Works(runner)) { // A new life of it would take work, as it may.
            ++mCounts["left out: a leaving runner reborn"];
            return;
          }
          Note("runner reborn", std::nullopt, 0, false);
          Rebear(runner);
        });
      }
      break;
    case 2:
      aTimes.emplace(from, [this, length] {
        Note("leave told in answers", std::nullopt, length, true);
        LeaveByAnswers();
      });
      break;
    default:
      aTimes.emplace(from, [this, runner] {
        Note("rubbish", std::nullopt, 0, false);
        WriteRubbish("rubbish-" + std::to_string(++mNextRunner));
        WriteRubbish(runner);
      });
      aTimes.emplace(until, [this] { WriteAgain(); });
      break;
  }
}

void
soak_faults::AddPlanned(timeline& aTimes)
{
  const std::size_t daemon = DrawIndex(mWorld.mDaemons.size());
  switch (Draw(mCuts ? 3 : 4)) {
    case 0:
      aTimes.emplace(Draw(kEpisodeMs), [this, daemon] {
        Note("planned stop", daemon, kStopMs, true);
        StopAndStart(daemon);
      });
      break;
    case 1:
      for (int i = 0; i < 3; ++i) {
        aTimes.emplace(Draw(kEpisodeMs), [this, daemon] {
          if (mBed.Daemon(daemon).Handles(SIGHUP)) {
            Note("reload", daemon, 0, true);
            mBed.Daemon(daemon).Signal(SIGHUP);
          }
        });
      }
      break;
    case 2:
      for (int i = 0; i < 2; ++i) {
        aTimes.emplace(Draw(kEpisodeMs), [this] {
          Note("configuration", std::nullopt, 0, true);
          ChangeConfig();
        });
      }
      break;
    default:
      aTimes.emplace(Draw(kEpisodeMs), [this] {
        Note("runner replaced", std::nullopt, kDrainMs, true);
        ReplaceRunner();
      });
      break;
  }
}

void
soak_faults::AddProcessFault(timeline& aTimes)
{
  const std::size_t daemon = DrawIndex(mWorld.mDaemons.size());
  const auto [from, until] = DrawSpan();
  const std::int64_t length = until - from;
  switch (Draw(3)) {
    case 0:
      aTimes.emplace(from, [this, daemon] {
        Note("kill", daemon, 0, false);
        KillAndStart(daemon);
      });
      break;
    case 1:
      aTimes.emplace(from, [this, daemon, length] {
        Note("pause", daemon, length, false);
        mPaused.insert(daemon);
        mBed.Daemon(daemon).Signal(SIGSTOP);
      });
      aTimes.emplace(until, [this, daemon] {
        mPaused.erase(daemon);
        mBed.Daemon(daemon).Signal(SIGCONT);
      });
      break;
    default:
      aTimes.emplace(from, [this] {
        for (std::size_t each = 0; each < mWorld.mDaemons.size(); ++each) {
          Note("kill all", each, 0, false);
          KillAndStart(each);
        }
      });
      break;
  }
}

void
soak_faults::AddNetworkFault(timeline& aTimes)
{
  const int target = Draw(static_cast<int>(mRunners.size()) + 1);
  const std::string name = target == 0 ? "store" : mRunners[static_cast<std::size_t>(target) - 1];
  const auto [from, until] = DrawSpan();
  const std::int64_t length = until - from;
  static const std::vector<std::pair<std::string, json>> kinds{
    { "delayed", { { "delay_ms", 150 } } },
    { "reset", { { "reset", 1 } } },
    { "silenced", { { "stall", 1 } } },
    { "cut one way", { { "stall_answers", 1 } } },
    { "cut the other way", { { "stall_requests", 1 } } },
    { "refused", { { "refuse", 1 } } },
  };
  const auto& [kind, faults] = kinds[DrawIndex(kinds.size())];
  aTimes.emplace(from, [this, name, length, kind = kind, faults = faults] {
    Note("connections " + kind, std::nullopt, length, false);
    mBed.SetProxy(name, faults);
  });
  aTimes.emplace(until, [this, name] { mBed.MendProxy(name); });
}

void
soak_faults::AddRunnerFault(timeline& aTimes)
{
  static const std::vector<std::string> modes{ "reset",    "hang",      "refuse", "cut",  "error",
                                               "wrong_id", "no_length", "extra",  "hang", "reset" };
  // Not endless bodies that a plain runner signs: beyond what is held they are passed on, as a
  // large answer is.
  static const std::vector<std::string> endless{ "endless_head", "endless_unsigned",
                                                 "endless_line", "endless_trailer",
                                                 "endless_hold", "slow_body",
                                                 "slow_line",    "slow_hold",
                                                 "bare" };
  const std::string runner = mRunners[DrawIndex(mRunners.size())];
  const std::vector<std::string>& drawn = mBytes && Draw(2) == 0 ? endless : modes;
  static const std::vector<std::string> cutHeads{ "cut_head", "cut_head_by_reset" };
  const bool cuts = mCutHeads && Draw(3) == 0;
  const std::string& mode =
    cuts ? cutHeads[DrawIndex(cutHeads.size())] : drawn[DrawIndex(drawn.size())];
  const auto [from, until] = DrawSpan();
  const std::int64_t length = until - from;
  aTimes.emplace(from, [this, runner, mode, length] {
    Note("runner: " + mode, std::nullopt, length, false);
    mBed.SetRunner(runner, { { "mode", mode } });
  });
  aTimes.emplace(until, [this, runner] { mBed.SetRunner(runner, json::object()); });
}

void
soak_faults::AddStoreFault(timeline& aTimes)
{
  static const std::vector<std::string> modes{ "busy", "silent", "slow", "lose_one" };
  const std::string& mode = modes[DrawIndex(modes.size())];
  const auto [from, until] = DrawSpan();
  const std::int64_t length = until - from;
  aTimes.emplace(from, [this, mode, length] {
    Note("store: " + mode, std::nullopt, length, false);
    mBed.SetStore(mode);
  });
  aTimes.emplace(until, [this] { mBed.SetStore(""); });
}

void
soak_faults::AddUnplanned(timeline& aTimes)
{
  const int kinds = mPoisons || mLimits ? 6 : mMemory ? 5 : 4;
  fault_kind kind = mOnly == fault_kind::eAll ? static_cast<fault_kind>(Draw(kinds)) : mOnly;
  if (mLimits && kind == fault_kind::ePoison) {
    kind = fault_kind::eLimit;
  }
  if (mCuts && kind == fault_kind::eMemory) {
    kind = fault_kind::eCut;
  }
  switch (kind) {
    case fault_kind::eProcess:
      AddProcessFault(aTimes);
      break;
    case fault_kind::eNetwork:
      AddNetworkFault(aTimes);
      break;
    case fault_kind::eRunner:
      AddRunnerFault(aTimes);
      break;
    case fault_kind::eMemory:
      AddMemoryFault(aTimes);
      break;
    case fault_kind::ePoison:
      AddPoison(aTimes);
      break;
    case fault_kind::eLimit:
      AddLimit(aTimes);
      break;
    case fault_kind::eCut:
      AddCut(aTimes);
      break;
    default:
      AddStoreFault(aTimes);
      break;
  }
}

void
soak_faults::CheckAlive()
{
  for (std::size_t daemon = 0; daemon < mWorld.mDaemons.size(); ++daemon) {
    if (!mBed.Daemon(daemon).Running()) {
      const int code = mBed.Daemon(daemon).WaitForExit(0);
      mBadEnds.push_back("daemon " + std::to_string(daemon) + " ended by itself with " +
                         std::to_string(code));
      Restart(daemon);
    }
  }
}

void
soak_faults::PlayEpisode()
{
  timeline times;
  const bool planned = Draw(kPlannedOf) == 0;
  const int faults = 1 + Draw(4);
  for (int i = 0; i < faults; ++i) {
    if (planned || Draw(5) == 0) {
      AddPlanned(times);
    } else {
      AddUnplanned(times);
    }
  }
  if (mLimits) {
    AddLimit(times);
  }
  if (mCuts && !planned) {
    AddCut(times);
  }
  const std::int64_t began = NowMs();
  for (const auto& [at, act] : times) {
    const std::int64_t left = began + at - NowMs();
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, left)));
    act();
  }
  CheckAlive();
  CheckMemory();
  MendAll();
}

void
soak_faults::CheckMemory()
{
  for (std::size_t daemon = 0; daemon < mWorld.mDaemons.size(); ++daemon) {
    const std::int64_t peak = mBed.Daemon(daemon).PeakKb();
    if (peak > kMemoryKb) {
      mBadEnds.push_back("daemon " + std::to_string(daemon) + " took " + std::to_string(peak) +
                         " kB");
    }
  }
}

void
soak_faults::MendAll()
{
  mBed.SetStore("");
  for (const std::size_t daemon : mPaused) {
    mBed.Daemon(daemon).Signal(SIGCONT);
  }
  mPaused.clear();
  mBed.MendProxies();
  for (std::size_t daemon = 0; mCuts && daemon < mWorld.mDaemons.size(); ++daemon) {
    mBed.CutRunners(daemon, "");
  }
  for (const std::string& runner : mRunners) {
    mBed.SetRunner(runner, json::object());
  }
  if (!mDraining.empty()) { // Their entries go only when they would have ended.
    std::this_thread::sleep_for(std::chrono::milliseconds(kDrainMs));
    for (const auto& [runner, state] : mDraining) {
      List(runner, "");
      mLeft.push_back(runner);
    }
    mDraining.clear();
  }
  if (mMemory) {
    WriteAgain();
  }
}

} // namespace dunehook::soak
