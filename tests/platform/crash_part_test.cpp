/**
 * @file crash_part_test.cpp
 * Tests with real processes that a part of prompts which crashes each engine that begins an answer
 * to it is refused by all daemons, in requests that have nothing else in common, and that prompts
 * with the same other parts stay served.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Crashes from which on the time until the refusal counts. */
constexpr std::size_t kCrashesKnown = 5;
/** Time after them within which machines in touch may still send prompts with the part; ms. */
constexpr std::int64_t kContactMs = 3000;
/** Requests with the part that may reach engines later than that. */
constexpr std::size_t kMaxLaterRequests = 3;
/** Share of the sound requests that must begin at their first attempt, later than twice that time:
 * half as many as without the fault, of which all begin. */
constexpr double kMinSoundShare = 0.5;
/** Fewer sound requests than this show nothing. */
constexpr std::size_t kMinSoundRequests = 20;
/** How long callers send; ms. */
constexpr int kCallersMs = 13000;
/** Time until the daemons know each other for long; ms. */
constexpr int kSettleMs = 3000;
/** Time from a crash to the engine's restart; ms. */
constexpr int kRestartMs = 400;
/** Pause between two requests of one caller; ms. */
constexpr int kPauseMs = 120;
constexpr int kCallLimitMs = 8000;
constexpr int kPromptTokens = 2000;
constexpr int kEvents = 12;
constexpr std::size_t kEngines = 9;
/** Daemons that judge, which a test kills. */
constexpr std::size_t kKilled = 2;
/** The same, which a test freezes, and for how long; ms. */
constexpr std::size_t kFrozen = 2;
constexpr int kFrozenMs = 5000;
/** Time until the trial after the first quarantine has ended; ms. */
constexpr int kUntilConfirmedMs = 16000;
const std::string kDeadly = "dead01";
const std::string kSecondDeadly = "dead02";

/** A caller's request that has ended. */
struct ended_call
{
  bool mSound = true;        ///< Its prompt crashes no engine.
  std::int64_t mSentAt = 0;  ///< When it was sent.
  unsigned mStatus = 0;      ///< Status of the answer.
  std::size_t mDaemon = 0;   ///< Where it was sent.
  std::int64_t mEndedAt = 0; ///< When its answer ended.
};

} // namespace

TEST_GROUP(crash_parts)
{
  fleet_bed mBed;                            ///< The deployment.
  std::atomic<int> mRequests{ 0 };           ///< Requests so far, over all callers.
  std::atomic<bool> mStopping{ false };      ///< Callers end.
  std::atomic<std::size_t> mFirstAlive{ 0 }; ///< Daemons before it are dead.
  std::mutex mMutex;                         ///< Guards mEnded.
  std::vector<ended_call> mEnded;            ///< Calls that have ended.
  std::vector<std::thread> mCallers;         ///< Under way.

  void StartFleet(std::size_t aDaemons)
  {
    mBed.AddRunner("prefill-1", { "tutor", "prefill" });
    mBed.AddRunner("prefill-2", { "tutor", "prefill" });
    for (std::size_t i = 1; i <= kEngines; ++i) {
      mBed.AddRunner(EngineName(i), { "tutor", "decode", "ready", { { "down_ms", kRestartMs } } });
    }
    mBed.PutConfig(1);
    mBed.StartDaemons(std::vector<platform_daemon_options>(aDaemons));
    Wait(kSettleMs);
  }

  static std::string EngineName(std::size_t aNumber)
  {
    return "decode-" + std::to_string(aNumber);
  }

  /** Lets all engines crash on each of these parts. */
  void CrashOn(const std::vector<std::string>& aParts)
  {
    for (std::size_t i = 1; i <= kEngines; ++i) {
      mBed.SetRunner(EngineName(i), { { "crashes_on_parts", aParts } });
    }
  }

  static void Wait(std::int64_t aMs)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }

  /** Starts a caller that sends prompts to all daemons in turn, no two alike.
   * @param aParts parts before the last one, each followed by a comma. */
  void StartCaller(const std::string& aParts, bool aSound, const std::string& aPath = "/turns/a")
  {
    mCallers.emplace_back([this, aParts, aSound, aPath] {
      while (!mStopping) {
        const int number = ++mRequests;
        SendOne(aParts, aSound, aPath, number);
        Wait(kPauseMs);
      }
    });
  }

  void SendOne(const std::string& aParts, bool aSound, const std::string& aPath, int aNumber)
  {
    ended_call call;
    call.mSound = aSound;
    call.mDaemon = mFirstAlive + static_cast<std::size_t>(aNumber) % (mBed.Daemons() - mFirstAlive);
    call.mSentAt = NowMs();
    headers all = GenerationHeaders("part" + std::to_string(aNumber), kPromptTokens, kEvents, {});
    for (auto& [name, value] : all) {
      if (name == "X-Prefix-Hash") {
        value = aParts + std::to_string(100000 + aNumber) + ":1500";
      }
    }
    const std::string body = "prompt " + std::to_string(aNumber);
    const std::string& to = mBed.Callers(call.mDaemon);
    call.mStatus = Call(to, "POST", aPath, body, all, kCallLimitMs).mStatus;
    call.mEndedAt = NowMs();
    const std::scoped_lock lock(mMutex);
    mEnded.push_back(call);
  }

  /** Four sound callers and two of each deadly prompt, which share the first part. */
  void StartUsualCallers(const std::vector<std::string>& aDeadly,
                         const std::string& aPath = "/turns/a")
  {
    StartCaller("aa:200,", true, aPath);
    StartCaller("aa:200,", true, aPath);
    StartCaller("aa:200,cc:100,", true, aPath);
    StartCaller("aa:200,dd:100,ee:50,", true, aPath);
    for (const std::string& parts : aDeadly) {
      StartCaller(parts, false, aPath);
      StartCaller(parts, false, aPath);
    }
  }

  /** Waits until engines have crashed so often. */
  void AwaitCrashes(std::size_t aCount) const
  {
    const std::int64_t until = NowMs() + kCallLimitMs;
    while (mBed.Crashes().size() < aCount && NowMs() < until) {
      Wait(kPauseMs / 4);
    }
  }

  void EndCallers()
  {
    mStopping = true;
    for (std::thread& caller : mCallers) {
      caller.join();
    }
    mCallers.clear();
    mStopping = false;
  }

  /** Kills all daemons at once, starts them again, and waits until they are ready. */
  void KillAndRestartAll()
  {
    for (std::size_t i = 0; i < mBed.Daemons(); ++i) {
      mBed.Daemon(i).Signal(SIGKILL);
    }
    for (std::size_t i = 0; i < mBed.Daemons(); ++i) {
      mBed.RestartDaemon(i);
    }
    for (std::size_t i = 0; i < mBed.Daemons(); ++i) {
      mBed.AwaitReady(i);
    }
  }

  /** @return when the part had crashed kCrashesKnown engines; when the last one crashed, if fewer.
   */
  std::int64_t KnownAt(const std::string& aPart) const
  {
    std::vector<std::int64_t> at;
    for (const json& crash : mBed.Crashes()) {
      if (crash.value("by", "") == aPart) {
        at.push_back(crash.value("at_ms", std::int64_t{ 0 }));
      }
    }
    CHECK_TRUE(!at.empty());
    return at[std::min(at.size(), kCrashesKnown) - 1];
  }

  /** @return how many requests with a part reached engines after some time. */
  std::size_t CountReached(const std::string& aPart, std::int64_t aAfter) const
  {
    std::set<std::string> ids;
    for (const json& seen : mBed.Seen()) {
      const std::string parts = seen["headers"].value("X-Prefix-Hash", "");
      if (seen.value("at_ms", std::int64_t{ 0 }) > aAfter &&
          parts.find(aPart + ":") != std::string::npos) {
        ids.insert(seen["headers"].value("X-Request-Id", ""));
      }
    }
    return ids.size();
  }

  /** Checks that hardly any request with a part reached engines once it was known. */
  void CheckStopped(const std::string& aPart)
  {
    const std::size_t later = CountReached(aPart, KnownAt(aPart) + kContactMs);
    const std::string text =
      std::to_string(later) + " later; crashed " + std::to_string(mBed.Crashes().size());
    CHECK_TEXT(later <= kMaxLaterRequests, text.c_str());
  }

  /** Checks that the sound requests of the last seconds began at the first attempt. */
  void CheckSoundServed(std::int64_t aFrom)
  {
    std::size_t sent = 0;
    std::size_t began = 0;
    for (const ended_call& call : mEnded) {
      if (call.mSound && call.mSentAt >= aFrom) {
        ++sent;
        began += call.mStatus == 200 ? 1 : 0;
      }
    }
    const std::string text = std::to_string(began) + " of " + std::to_string(sent);
    CHECK_TEXT(sent >= kMinSoundRequests, text.c_str());
    CHECK_TEXT(static_cast<double>(began) >= kMinSoundShare * static_cast<double>(sent),
               text.c_str());
  }

  /** Plays deadly prompts beside sound ones, and checks both. */
  void CheckPart(const std::string& aParts, const std::string& aPath = "/turns/a")
  {
    CrashOn({ kDeadly });
    StartUsualCallers({ aParts }, aPath);
    Wait(kCallersMs);
    EndCallers();
    CheckStopped(kDeadly);
    CheckSoundServed(KnownAt(kDeadly) + 2 * kContactMs);
  }
};

TEST(crash_parts, APartThatCrashesEnginesInRequestsNoTwoAlikeReachesFewMore)
{
  StartFleet(8);
  CheckPart("aa:200," + kDeadly + ":300,");
}

TEST(crash_parts, APartThatCrashesEnginesInResumedStreamsReachesFewMore)
{
  StartFleet(8);
  CheckPart("aa:200," + kDeadly + ":300,", "/resumed/a");
}

TEST(crash_parts, AFirstPartThatCrashesEnginesReachesFewMore)
{
  StartFleet(8);
  CheckPart(kDeadly + ":200,");
}

TEST(crash_parts, TwoPartsThatCrashEnginesAtATimeReachFewMore)
{
  StartFleet(8);
  CrashOn({ kDeadly, kSecondDeadly });
  StartUsualCallers({ "aa:200," + kDeadly + ":300,", "aa:200,cc:100," + kSecondDeadly + ":300," });
  Wait(kCallersMs);
  EndCallers();
  CheckStopped(kDeadly);
  CheckStopped(kSecondDeadly);
  CheckSoundServed(KnownAt(kDeadly) + 2 * kContactMs);
}

TEST(crash_parts, APartIsStoppedWhereTheDaemonsThatJudgeAreKilledMeanwhile)
{
  StartFleet(8);
  CrashOn({ kDeadly });
  StartUsualCallers({ "aa:200," + kDeadly + ":300," });
  AwaitCrashes(2);
  mFirstAlive = kKilled;
  for (std::size_t i = 0; i < kKilled; ++i) {
    mBed.Daemon(i).Signal(SIGKILL);
  }
  Wait(kCallersMs);
  EndCallers();
  CheckStopped(kDeadly);
  CheckSoundServed(KnownAt(kDeadly) + 2 * kContactMs);
}

TEST(crash_parts, APartIsStoppedWhereTheDaemonsThatJudgeAreFrozenMeanwhile)
{
  StartFleet(8);
  CrashOn({ kDeadly });
  StartUsualCallers({ "aa:200," + kDeadly + ":300," });
  AwaitCrashes(2);
  mFirstAlive = kFrozen;
  for (std::size_t i = 0; i < kFrozen; ++i) {
    mBed.Daemon(i).Signal(SIGSTOP);
  }
  Wait(kFrozenMs);
  for (std::size_t i = 0; i < kFrozen; ++i) {
    mBed.Daemon(i).Signal(SIGCONT);
  }
  mFirstAlive = 0;
  Wait(kCallersMs);
  EndCallers();
  CheckStopped(kDeadly);
  CheckSoundServed(KnownAt(kDeadly) + 2 * kContactMs);
}

TEST(crash_parts, APartIsStoppedAmongFiftyEightDaemons)
{
  StartFleet(58);
  CheckPart("aa:200," + kDeadly + ":300,");
}

TEST(crash_parts, APartThatATrialHasConfirmedReachesNoEngineAfterAllDaemonsWereKilled)
{
  StartFleet(4);
  CrashOn({ kDeadly });
  StartUsualCallers({ "aa:200," + kDeadly + ":300," });
  Wait(kUntilConfirmedMs);
  EndCallers();
  const std::int64_t killed = NowMs();
  KillAndRestartAll();
  Wait(kSettleMs);
  StartUsualCallers({ "aa:200," + kDeadly + ":300," });
  Wait(kCallersMs / 2);
  EndCallers();
  LONGS_EQUAL(0, CountReached(kDeadly, killed));
}

TEST(crash_parts, APartThatIsRefusedReachesFewEnginesAfterAllDaemonsWereKilled)
{
  StartFleet(4);
  CrashOn({ kDeadly });
  StartUsualCallers({ "aa:200," + kDeadly + ":300," });
  Wait(kCallersMs / 2);
  EndCallers();
  const std::int64_t known = KnownAt(kDeadly);
  KillAndRestartAll();
  Wait(kSettleMs);
  StartUsualCallers({ "aa:200," + kDeadly + ":300," });
  Wait(kCallersMs);
  EndCallers();
  CHECK_TRUE(CountReached(kDeadly, known + kContactMs) <= kMaxLaterRequests);
  CheckSoundServed(known + 2 * kContactMs);
}
