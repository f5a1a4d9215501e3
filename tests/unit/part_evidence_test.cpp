/**
 * @file part_evidence_test.cpp
 * Which parts of prompts are blamed for crashes: single cases, and fleets in virtual time whose
 * runners crash under some parts, fail together or one by one.
 */
#include "messages/run_message.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/recent_parts.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace dunehook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr prompt_part kFirst{ 101 };
constexpr prompt_part kDeadly{ 103 };
constexpr prompt_part kBeside{ 105 };
/** Time from the send of a run to its crash. */
constexpr duration kRunTime = milliseconds(60);

} // namespace

TEST_GROUP(part_evidence)
{
  crash_ledger mLedger;         ///< Under test.
  instant mNow{ seconds(100) }; ///< Time passed to it.
  std::uint64_t mSite = 0;      ///< Last runner that crashed.
  std::uint64_t mRequest = 0;   ///< Last request.

  /** Crashes a new runner under new requests with these parts. */
  void Crash(const std::vector<part_set>& aRuns)
  {
    ++mSite;
    for (const part_set& parts : aRuns) {
      mLedger.NoteCrash({ { ++mRequest }, { mSite }, false, duration{ 0 }, kRunTime, parts }, mNow);
    }
  }
  /** Lets a run prove parts that began some time ago. */
  part_change Prove(const part_set& aParts, duration aBegan)
  {
    part_change all;
    for (const prompt_part part : aParts) {
      const part_change change = mLedger.NoteProven(part, mNow - aBegan, mNow);
      all.mEnded.insert(all.mEnded.end(), change.mEnded.begin(), change.mEnded.end());
    }
    return all;
  }
  void Advance(duration aSpan)
  {
    const instant until = mNow + aSpan;
    while (mNow < until) {
      mNow += kEvaluationInterval;
      mLedger.EvaluateDue(mNow);
      mLedger.EvaluateParts(mNow);
    }
  }
  bool IsRefused(const part_set& aParts) const
  {
    return mLedger.QuarantinedPartsIn(aParts, mNow).has_value();
  }
};

TEST(part_evidence, APartAtThreeCrashesIsRefusedAndThePopularOneBesideItIsnt)
{
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(IsRefused({ kFirst, kDeadly }));
    Crash({ { kFirst, kDeadly }, { kFirst } });
    Advance(kVerdictTime);
  }
  CHECK_TRUE(IsRefused({ kFirst, kDeadly }));
  CHECK_FALSE(IsRefused({ kFirst }));
  Advance(seconds(1));
  Prove({ kFirst }, milliseconds(700));
  CHECK_TRUE(IsRefused({ kDeadly, kBeside }));
  CHECK_FALSE(IsRefused({ kFirst, kBeside }));
}

TEST(part_evidence, APartThatWasHarmlessBeforeTheCrashesIsRefused)
{
  Prove({ kFirst, kDeadly }, milliseconds(0));
  Advance(seconds(20));
  for (std::size_t i = 0; i < kProvenPartCrashes; ++i) {
    Crash({ { kFirst, kDeadly } });
    Advance(seconds(1));
    Prove({ kFirst }, milliseconds(900));
  }
  CHECK_TRUE(IsRefused({ kFirst, kDeadly }));
  CHECK_FALSE(IsRefused({ kFirst }));
}

TEST(part_evidence, APopularPartThatNothingProvesForSecondsIsNotRefused)
{
  Prove({ kFirst }, milliseconds(0));
  Advance(seconds(5));
  for (int i = 0; i < 12; ++i) { // Two engines, crashed by one request after the other.
    Crash({ { kFirst }, { kFirst } });
    Advance(milliseconds(400));
    CHECK_FALSE(IsRefused({ kFirst }));
  }
}

TEST(part_evidence, APartThatNothingEverProvedIsNotRefusedWhereAllEnginesFailAtOnce)
{
  for (int failure = 0; failure < 3; ++failure) {
    for (int engine = 0; engine < 6; ++engine) {
      Crash({ { kFirst }, { kFirst } });
    }
    Advance(seconds(2));
    CHECK_FALSE(IsRefused({ kFirst }));
  }
}

TEST(part_evidence, TwoPartsThatCrashEnginesInTurnAreRefusedWithinTwoSeconds)
{
  Prove({ kFirst }, milliseconds(0));
  for (int i = 0; i < 4; ++i) {
    Crash({ { kFirst, kDeadly } });
    Advance(milliseconds(200));
    Crash({ { kFirst, kBeside } });
    Advance(milliseconds(200));
  }
  Advance(milliseconds(400));
  CHECK_TRUE(IsRefused({ kFirst, kDeadly }));
  CHECK_TRUE(IsRefused({ kFirst, kBeside }));
}

TEST(part_evidence, TwoPartsThatAreAtTheSameCrashesInDifferentRequestsAreRefused)
{
  Prove({ kFirst }, milliseconds(0));
  for (std::size_t i = 0; i < kSurePartCrashes; ++i) {
    Crash({ { kFirst, kDeadly }, { kFirst, kBeside } });
    Advance(milliseconds(400));
  }
  CHECK_TRUE(IsRefused({ kFirst, kDeadly }));
  CHECK_TRUE(IsRefused({ kFirst, kBeside }));
}

TEST(part_evidence, APartThatCrashesSeveralEnginesAtTheSameMomentAgainAndAgainIsRefused)
{
  Prove({ kFirst }, milliseconds(0));
  for (int i = 0; i < 4; ++i) {
    for (std::size_t engine = 0; engine < kSimultaneousCrashes; ++engine) {
      Crash({ { kFirst, kDeadly } });
    }
    Advance(milliseconds(400));
  }
  CHECK_TRUE(IsRefused({ kFirst, kDeadly }));
  CHECK_FALSE(IsRefused({ kFirst, kBeside }));
}

TEST(part_evidence, ARunThatGoesOnAfterTheCrashesClearsItsParts)
{
  for (int i = 0; i < 6; ++i) {
    Crash({ { kFirst, kBeside } });
    Advance(seconds(1));
    Prove({ kFirst, kBeside }, milliseconds(700));
  }
  CHECK_FALSE(IsRefused({ kFirst, kBeside }));
}

TEST(part_evidence, ARequestThatCrashesRunnersDoesNotHaveItsPartsRefused)
{
  for (int i = 0; i < 3; ++i) {
    mLedger.NoteCrash({ { 77 }, { ++mSite }, false, duration{ 0 }, kRunTime, { kFirst } }, mNow);
    Advance(seconds(2));
  }
  CHECK_TRUE(mLedger.StatusOf({ 77 }, mNow) == quarantine_status::eQuarantined);
  CHECK_FALSE(IsRefused({ kFirst }));
}

TEST(part_evidence, WhatRanBesideARefusedPartIsNotSuspected)
{
  constexpr request_fingerprint kSound{ 77 };
  for (int i = 0; i < 5; ++i) {
    Crash({ { kFirst, kDeadly } });
    if (i > 0) {
      mLedger.NoteCrash({ kSound, { mSite }, false, duration{ 0 }, kRunTime, { kFirst } }, mNow);
    }
    Advance(milliseconds(700));
    Prove({ kFirst }, milliseconds(600));
  }
  CHECK_TRUE(IsRefused({ kFirst, kDeadly }));
  CHECK_TRUE(mLedger.StatusOf(kSound, mNow) != quarantine_status::eQuarantined);
  LONGS_EQUAL(0, mLedger.CountCrashes(kSound));
}

TEST(part_evidence, AProofOfARunFromBeforeTheCrashesClearsNothing)
{
  const instant before = mNow - seconds(1);
  for (std::size_t i = 0; i < kProvenPartCrashes; ++i) {
    Crash({ { kDeadly } });
    Advance(seconds(1));
    Prove({ kDeadly }, mNow - before);
  }
  CHECK_TRUE(IsRefused({ kDeadly }));
}

TEST(part_evidence, ASingleFurtherCrashAfterTheQuarantineRefusesThePartAgain)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ { kDeadly } });
    Advance(kVerdictTime);
  }
  Advance(kFirstPartQuarantine);
  CHECK_FALSE(IsRefused({ kDeadly }));
  CHECK_TRUE(mLedger.SuspectedPartsIn({ kDeadly }, mNow).has_value()); // A trial only.
  Crash({ { kDeadly } });
  mLedger.EvaluateParts(mNow);
  CHECK_TRUE(IsRefused({ kDeadly }));
  Advance(kFirstPartQuarantine);
  CHECK_TRUE(IsRefused({ kDeadly }));
}

TEST(part_evidence, APartThatATrialHasConfirmedStaysSoWhenALargerSetOfItIsCleared)
{
  Prove({ kFirst }, milliseconds(0));
  for (int i = 0; i < 3; ++i) {
    Crash({ { kDeadly } });
    Advance(kVerdictTime);
  }
  Advance(kFirstPartQuarantine);
  Crash({ { kDeadly } });
  Advance(kVerdictTime);
  mLedger.ApplyNotice({ FingerprintOf(part_set{ kFirst, kDeadly }),
                        quarantine_status::eQuarantined,
                        kFirstPartQuarantine,
                        { kFirst, kDeadly },
                        false },
                      mNow);
  Advance(seconds(1));
  Prove({ kFirst }, milliseconds(700));
  Advance(kFirstPartQuarantine);
  CHECK_TRUE(IsRefused({ kDeadly }));
}

TEST(part_evidence, ADaemonThatStartsIsToldOfASetThatAwaitsItsTrial)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ { kDeadly } });
    Advance(kVerdictTime);
  }
  Advance(kFirstPartQuarantine);
  crash_ledger started;
  CHECK_TRUE(started.Digest(mNow) != mLedger.Digest(mNow));
  for (const quarantine_notice& notice : mLedger.NewestQuarantined(mNow, 10)) {
    started.ApplyNotice(notice, mNow);
  }
  CHECK_TRUE(started.SuspectedPartsIn({ kFirst, kDeadly }, mNow).has_value());
  CHECK_TRUE(started.Digest(mNow) == mLedger.Digest(mNow));
}

TEST(part_evidence, ATrialThatGoesOnLiftsTheQuarantine)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ { kFirst, kBeside } });
    Advance(kVerdictTime);
  }
  Advance(kFirstPartQuarantine + seconds(1));
  LONGS_EQUAL(2, Prove({ kFirst, kBeside }, milliseconds(800)).mEnded.size());
  CHECK_FALSE(mLedger.SuspectedPartsIn({ kFirst, kBeside }, mNow).has_value());
}

TEST(part_evidence, ProofsAreSentOnlyOfPartsThatWereAskedFor)
{
  recent_parts recent;
  CHECK_TRUE(recent.NoteWentOn({ kFirst, kBeside }, mNow, mNow).empty());
  LONGS_EQUAL(1, recent.NoteAsked({ kFirst, kDeadly }, mNow).size());
  CHECK_TRUE(recent.NoteWentOn({ kFirst, kBeside }, mNow, mNow).empty()); // Not newer.
  LONGS_EQUAL(1, recent.NoteWentOn({ kFirst, kBeside }, mNow + seconds(1), mNow).size());
  mNow += kPartWatchTime;
  CHECK_TRUE(recent.NoteWentOn({ kFirst }, mNow + seconds(2), mNow).empty());
}

TEST(part_evidence, ADaemonThatBeginsToJudgeGetsProofsThatAnotherOneHasHad)
{
  recent_parts recent;
  recent.NoteWentOn({ kFirst }, mNow, mNow);
  LONGS_EQUAL(1, recent.NoteAsked({ kFirst }, mNow).size());
  mNow += seconds(1);
  LONGS_EQUAL(1, recent.NoteAsked({ kFirst }, mNow).size());
}

TEST(part_evidence, PartsAreSentBetweenDaemons)
{
  run_message message;
  message.mDaemon = 7;
  quarantine_message& sent = message.mQuarantine.emplace();
  sent.mCrashes.push_back({ { 1 }, { 2 }, false, milliseconds(3), milliseconds(4), { kFirst } });
  sent.mCrashes.push_back({ { 1 }, { 3 }, true, milliseconds(3), {}, {} });
  sent.mNotices.push_back(
    { { 5 }, quarantine_status::eQuarantined, milliseconds(6), { kFirst, kDeadly }, true });
  sent.mAsked = { kFirst, kBeside };
  sent.mProven = { { kFirst, std::chrono::minutes(7) } };
  CHECK_TRUE(DecodeRunMessage(Encode(message, mNow), mNow) == message);
}

namespace {

/** How a fleet of the property tests is set up. */
struct fleet_plan
{
  std::size_t mRunners = 9;      ///< Engines.
  std::size_t mDeadlyParts = 0;  ///< Parts that crash them.
  std::size_t mPool = 12;        ///< Parts that sound prompts share, beside the first one.
  std::size_t mMostParts = 8;    ///< Most parts of a prompt, but the last one.
  duration mArrivals{ 0 };       ///< Mean time between sound requests.
  duration mDeadlyArrivals{ 0 }; ///< The same for those that crash engines.
  std::size_t mTogether = 1;     ///< So many of these come at a time.
  std::size_t mRack = 0;         ///< Engines that fail together, at mRackFor.
  duration mRackFor{ 0 };        ///< From the first to the last failure of the rack.
  duration mSingleCrashes{ 0 };  ///< Mean time between crashes of single engines; 0: none.
};

constexpr duration kStep = milliseconds(5);
constexpr duration kDownFor = milliseconds(2000);
constexpr duration kMaxReportDelay = milliseconds(60);
constexpr duration kFirstEvent = milliseconds(30);
constexpr duration kCrashAfterEvent = milliseconds(50);
constexpr duration kRepeatAfter = milliseconds(150);
constexpr duration kPlayTime = seconds(25);
constexpr instant kBegin{ seconds(1000) };
constexpr instant kFaultsFrom = kBegin + seconds(4);
constexpr int kMostTries = 3;
constexpr std::size_t kFirstPrompts = 2; ///< Parts that prompts begin with.

/** Engines, requests and the ledger of the daemon that judges, in virtual time. */
class part_fleet
{
public:
  part_fleet(const fleet_plan& aPlan, std::uint64_t aSeed)
    : mPlan(aPlan)
    , mRandom(aSeed)
    , mDownUntil(aPlan.mRunners, instant{ 0 })
    , mCrashesOf(aPlan.mDeadlyParts, 0)
    , mFifthAt(aPlan.mDeadlyParts)
    , mSentLater(aPlan.mDeadlyParts, 0)
  {
  }

  void Play()
  {
    for (mNow = kBegin; mNow < kBegin + kPlayTime; mNow += kStep) {
      Arrive();
      FailRack();
      MoveRuns();
      Deliver();
      if ((mNow - kBegin) % kEvaluationInterval == duration{ 0 }) {
        mLedger.EvaluateDue(mNow);
        mLedger.EvaluateParts(mNow);
      }
    }
  }

  /** @return most crashes of one deadly part, without trials after a quarantine. */
  std::size_t MostCrashes() const
  {
    return mCrashesOf.empty() ? 0 : *std::max_element(mCrashesOf.begin(), mCrashesOf.end());
  }
  /** @return most runs with a deadly part that were sent later than 3 s after its fifth crash. */
  std::size_t MostSentLater() const
  {
    return mSentLater.empty() ? 0 : *std::max_element(mSentLater.begin(), mSentLater.end());
  }
  /** @return sound requests refused for their parts. */
  std::size_t SoundRefused() const { return mSoundRefused; }
  std::size_t SoundSent() const { return mSoundSent; }

private:
  /** A request, or a try of one. */
  struct fake_run
  {
    request_fingerprint mRequest;
    part_set mParts;
    std::optional<std::size_t> mDeadly; ///< Which of the deadly parts it holds.
    int mTry = 1;
    std::size_t mRunner = 0;
    instant mSent{ 0 };
    instant mEnd{ 0 };
    bool mProven = false;
    bool mTrial = false; ///< It was sent after a quarantine of its parts.
  };
  /** What the judge hears, and when. */
  struct message
  {
    instant mAt{ 0 };
    instant mNoted{ 0 };
    std::optional<crash_report> mCrash;
    part_set mProven;
    instant mBegan{ 0 };
  };

  double Fraction() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
  std::size_t Pick(std::size_t aCount)
  {
    return std::min(aCount - 1, static_cast<std::size_t>(Fraction() * static_cast<double>(aCount)));
  }
  bool HappensNow(duration aMean)
  {
    return aMean > duration{ 0 } &&
           Fraction() < static_cast<double>(kStep.count()) / static_cast<double>(aMean.count());
  }

  part_set NewParts(std::optional<std::size_t> aDeadly)
  {
    part_set parts{ { 1000 + Pick(kFirstPrompts) } };
    const std::size_t more = Pick(mPlan.mMostParts);
    for (std::size_t i = 0; i < more; ++i) { // A few of the pool are in most prompts.
      parts.push_back({ 2000 + static_cast<std::uint64_t>(Fraction() * Fraction() *
                                                          static_cast<double>(mPlan.mPool)) });
    }
    if (aDeadly) {
      if (Fraction() < 0.2) { // Also where the others begin.
        parts.erase(parts.begin());
      }
      parts.push_back({ 9000 + *aDeadly });
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
  }

  void Arrive()
  {
    if (HappensNow(mPlan.mArrivals)) {
      Send({ { ++mRequests }, NewParts(std::nullopt), std::nullopt });
    }
    const bool deadly = mPlan.mDeadlyParts > 0 && mNow >= mNextDeadly;
    if (deadly) {
      mNextDeadly = mNow + FromSeconds(ToSeconds(mPlan.mDeadlyArrivals) * (0.5 + Fraction()));
      for (std::size_t i = 0; i < mPlan.mTogether; ++i) {
        const std::size_t which = Pick(mPlan.mDeadlyParts);
        Send({ { ++mRequests }, NewParts(which), which });
      }
    }
    std::vector<fake_run> due;
    std::erase_if(mRepeats, [&](const auto& aRepeat) {
      const bool now = aRepeat.first <= mNow;
      if (now) {
        due.push_back(aRepeat.second);
      }
      return now;
    });
    for (const fake_run& run : due) {
      Send(run);
    }
  }

  void Send(fake_run aRun)
  {
    mSoundSent += aRun.mDeadly ? 0 : 1;
    if (mLedger.QuarantinedPartsIn(aRun.mParts, mNow)) {
      mSoundRefused += aRun.mDeadly ? 0 : 1;
      return;
    }
    const bool isHeld =
      mLedger.IsSuspected(aRun.mRequest, mNow) && mLedger.HeldUntil(aRun.mRequest) > mNow;
    if (isHeld) {
      mRepeats.emplace_back(mNow + kRepeatAfter, aRun);
      return;
    }
    if (mLedger.StatusOf(aRun.mRequest, mNow) == quarantine_status::eQuarantined) {
      return;
    }
    const bool isTrial = mLedger.SuspectedPartsIn(aRun.mParts, mNow).has_value();
    if (isTrial && IsOnTrial(aRun)) {
      mRepeats.emplace_back(mNow + kRepeatAfter, aRun);
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t runner = 0; runner < mDownUntil.size(); ++runner) {
      if (mDownUntil[runner] <= mNow) {
        up.push_back(runner);
      }
    }
    if (up.empty()) {
      mRepeats.emplace_back(mNow + kRepeatAfter, aRun);
      return;
    }
    if (aRun.mDeadly) {
      const std::optional<instant> fifth = mFifthAt[*aRun.mDeadly];
      mSentLater[*aRun.mDeadly] += fifth && mNow > *fifth + seconds(3) ? 1 : 0;
    }
    aRun.mTrial = isTrial;
    aRun.mRunner = up[Pick(up.size())];
    aRun.mSent = mNow;
    aRun.mProven = false;
    aRun.mEnd = mNow + milliseconds(200 + static_cast<int>(Fraction() * 3000));
    mRuns.push_back(aRun);
  }

  /** @return whether a run with the same suspected parts is under way. */
  bool IsOnTrial(const fake_run& aRun) const
  {
    const auto key = mLedger.SuspectedPartsIn(aRun.mParts, mNow);
    return std::any_of(mRuns.begin(), mRuns.end(), [&](const fake_run& aOther) {
      return mLedger.SuspectedPartsIn(aOther.mParts, mNow) == key;
    });
  }

  duration Delay()
  {
    const bool lost = Fraction() < 0.05; // It's sent again then.
    const duration again = lost ? kMaxReportDelay + milliseconds(1000) : duration{ 0 };
    return again + FromSeconds(ToSeconds(kMaxReportDelay) * Fraction());
  }

  void Crash(std::size_t aRunner)
  {
    mDownUntil[aRunner] = mNow + kDownFor;
    std::vector<fake_run> broken;
    std::erase_if(mRuns, [&](const fake_run& aRun) {
      if (aRun.mRunner == aRunner) {
        broken.push_back(aRun);
      }
      return aRun.mRunner == aRunner;
    });
    for (fake_run& run : broken) {
      crash_report report;
      report.mRequest = run.mRequest;
      report.mSite = { 500 + aRunner };
      report.mProgressed = mNow > run.mSent + kFirstEvent;
      if (mNow < run.mSent + kFirstEvent + kRunProvenTime) {
        report.mJustBegan = mNow - run.mSent;
        report.mParts = run.mParts;
      }
      mMessages.push_back({ mNow + Delay(), mNow, report, {}, {} });
      if (++run.mTry <= kMostTries) { // Its own daemon knows at once that it's suspected.
        const duration wait = run.mTry == kMostTries ? kVerdictTime : kRepeatAfter;
        mRepeats.emplace_back(mNow + wait, run);
      }
    }
  }

  void FailRack()
  {
    if (HappensNow(mPlan.mSingleCrashes)) {
      Crash(Pick(mPlan.mRunners));
    }
    for (std::size_t i = 0; i < mPlan.mRack; ++i) {
      const duration offset = mPlan.mRackFor * static_cast<int>(i) / static_cast<int>(mPlan.mRack);
      const instant at = kFaultsFrom + offset;
      if (mNow <= at && at < mNow + kStep) {
        Crash(i);
      }
    }
  }

  void MoveRuns()
  {
    struct crash
    {
      std::size_t mRunner;
      std::size_t mPart;
      bool mTrial;
    };
    std::vector<crash> crashed;
    for (fake_run& run : mRuns) {
      if (run.mDeadly && mNow >= run.mSent + kFirstEvent + kCrashAfterEvent) {
        crashed.push_back({ run.mRunner, *run.mDeadly, run.mTrial });
      }
      const bool goesOn = mNow >= run.mSent + kFirstEvent + kRunProvenTime || mNow >= run.mEnd;
      if (!run.mDeadly && goesOn && !std::exchange(run.mProven, true)) {
        mMessages.push_back({ mNow + Delay(), mNow, std::nullopt, run.mParts, run.mSent });
      }
    }
    std::erase_if(mRuns, [&](const fake_run& aRun) { return !aRun.mDeadly && mNow >= aRun.mEnd; });
    for (const auto& [runner, part, trial] : crashed) {
      if (mDownUntil[runner] > mNow) {
        continue;
      }
      Crash(runner);
      mCrashesOf[part] += trial ? 0 : 1;
      if (!mFifthAt[part] && mCrashesOf[part] == 5) {
        mFifthAt[part] = mNow;
      }
    }
  }

  void Deliver()
  {
    std::vector<message> due;
    std::erase_if(mMessages, [&](const message& aMessage) {
      if (aMessage.mAt <= mNow) {
        due.push_back(aMessage);
      }
      return aMessage.mAt <= mNow;
    });
    for (message& one : due) {
      if (one.mCrash) {
        one.mCrash->mAge = mNow - one.mNoted;
        mLedger.NoteCrash(*one.mCrash, mNow);
      }
      for (const prompt_part part : one.mProven) {
        mLedger.NoteProven(part, one.mBegan, mNow);
      }
    }
  }

  fleet_plan mPlan;
  std::mt19937_64 mRandom;
  crash_ledger mLedger;
  instant mNow{ 0 };
  instant mNextDeadly = kFaultsFrom;
  std::uint64_t mRequests = 0;
  std::vector<fake_run> mRuns;
  std::vector<std::pair<instant, fake_run>> mRepeats;
  std::vector<message> mMessages;
  std::vector<instant> mDownUntil;
  std::vector<std::size_t> mCrashesOf;
  std::vector<std::optional<instant>> mFifthAt;
  std::vector<std::size_t> mSentLater;
  std::size_t mSoundRefused = 0;
  std::size_t mSoundSent = 0;
};

/** @return a plan drawn by a seed: engines, parts, and how many requests are under way. */
fleet_plan
DrawPlan(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed * 7919);
  const auto between = [&](int aLeast, int aMost) {
    return std::uniform_int_distribution<int>(aLeast, aMost)(random);
  };
  fleet_plan plan;
  plan.mRunners = static_cast<std::size_t>(between(2, 30));
  plan.mPool = static_cast<std::size_t>(between(1, 30));
  plan.mMostParts = static_cast<std::size_t>(between(1, 12));
  plan.mArrivals = milliseconds(1700 / between(4, 64)); // A run takes 1.7 s on average.
  return plan;
}

} // namespace

TEST_GROUP(part_fleet){
  /** Plays seeds; what is wrong is collected in mWrong. */
  template<typename Change, typename Check>
  void PlaySeeds(std::uint64_t aFrom, std::size_t aCount, Change aChange, Check aCheck){
    std::string wrong;
for (std::uint64_t seed = aFrom; seed < aFrom + aCount; ++seed) {
  fleet_plan plan = DrawPlan(seed);
  aChange(plan, seed);
  part_fleet fleet(plan, seed);
  fleet.Play();
  if (!aCheck(fleet)) {
    wrong += " " + std::to_string(seed) + " (runners " + std::to_string(plan.mRunners) +
             ", crashes " + std::to_string(fleet.MostCrashes()) + ", later " +
             std::to_string(fleet.MostSentLater()) + ", refused " +
             std::to_string(fleet.SoundRefused()) + " of " + std::to_string(fleet.SoundSent()) +
             ")";
  }
}
CHECK_TEXT(wrong.empty(), wrong.c_str());
}
}
;

TEST(part_fleet, DeadlyPartsAreStoppedAndSoundPromptsAreServed)
{
  PlaySeeds(
    1,
    60,
    [](fleet_plan& aPlan, std::uint64_t aSeed) {
      aPlan.mDeadlyParts = 1 + aSeed % 3;
      aPlan.mDeadlyArrivals = milliseconds(400);
    },
    [](const part_fleet& aFleet) {
      return aFleet.MostSentLater() <= 3 && aFleet.SoundRefused() * 100 <= aFleet.SoundSent();
    });
}

TEST(part_fleet, DeadlyPartsInRequestsThatComeTogetherAreStopped)
{
  PlaySeeds(
    6001,
    60,
    [](fleet_plan& aPlan, std::uint64_t aSeed) {
      aPlan.mRunners = std::max<std::size_t>(aPlan.mRunners, 8);
      aPlan.mDeadlyParts = 1 + aSeed % 2;
      aPlan.mDeadlyArrivals = milliseconds(400);
      aPlan.mTogether = 2 + aSeed % 4;
    },
    [](const part_fleet& aFleet) {
      return aFleet.MostSentLater() <= 3 && aFleet.SoundRefused() * 100 <= aFleet.SoundSent();
    });
}

TEST(part_fleet, ADeadlyPartInRareRequestsCrashesFiveEnginesAtMost)
{
  PlaySeeds(
    1001,
    60,
    [](fleet_plan& aPlan, std::uint64_t) {
      aPlan.mDeadlyParts = 1;
      aPlan.mDeadlyArrivals = milliseconds(2500);
    },
    [](const part_fleet& aFleet) {
      return aFleet.MostCrashes() <= 5 && aFleet.SoundRefused() * 100 <= aFleet.SoundSent();
    });
}

TEST(part_fleet, WhereARackFailsNoPartIsRefused)
{
  PlaySeeds(
    2001,
    60,
    [](fleet_plan& aPlan, std::uint64_t aSeed) {
      aPlan.mRack = std::max<std::size_t>(2, aPlan.mRunners * (1 + aSeed % 3) / 3);
      aPlan.mRackFor = milliseconds(aSeed % 2 == 0 ? 5 : 800);
    },
    [](const part_fleet& aFleet) { return aFleet.SoundRefused() == 0; });
}

TEST(part_fleet, WhereSingleEnginesCrashNoPartIsRefused)
{
  PlaySeeds(
    3001,
    60,
    [](fleet_plan& aPlan, std::uint64_t) { // Each engine once in some six seconds.
      aPlan.mSingleCrashes = milliseconds(6300) / static_cast<int>(aPlan.mRunners);
    },
    [](const part_fleet& aFleet) { return aFleet.SoundRefused() == 0; });
}

TEST(part_fleet, ADeadlyPartIsStoppedBesideARackThatFails)
{
  PlaySeeds(
    4001,
    60,
    [](fleet_plan& aPlan, std::uint64_t) {
      aPlan.mDeadlyParts = 1;
      aPlan.mDeadlyArrivals = milliseconds(600);
      aPlan.mRack = std::max<std::size_t>(2, aPlan.mRunners / 3);
      aPlan.mRackFor = milliseconds(800);
    },
    [](const part_fleet& aFleet) {
      return aFleet.MostSentLater() <= 3 && aFleet.SoundRefused() * 100 <= aFleet.SoundSent();
    });
}
