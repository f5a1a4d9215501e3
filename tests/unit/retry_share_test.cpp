/**
 * @file retry_share_test.cpp
 * The retry budget of a service, shared by 8 to 1,400 daemons in virtual time, seeded: the sends
 * beyond the first of each request in any window, while daemons are killed, started and cut off and
 * the runners fail everything.
 */
#include "limits/permit_broker.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <random>
#include <set>

using namespace dunehook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTick = milliseconds(10);
/** Time between a daemon's passes over its members, in a small fleet and a large one. */
constexpr duration kPass = milliseconds(250);
constexpr duration kPassOfMany = seconds(1);
constexpr std::size_t kMany = 100;
/** Time until others notice that a daemon is gone, and that one has started. */
constexpr duration kGoneNoticed = milliseconds(1000);
constexpr duration kStartNoticed = milliseconds(400);
/** Time from the kill of a daemon to its next start. */
constexpr duration kDown = milliseconds(300);
/** Daemons that the settings of each one name. */
constexpr std::size_t kSeeds = 3;
/** Requests before the first fault: the daemons know each other by then. */
constexpr duration kCalm = seconds(12);
/** Share of the requests that still come, once few do. */
constexpr double kFewShare = 0.2;

/** What to play. */
struct retry_plan
{
  std::size_t mDaemons = 8;           ///< Daemons that serve.
  double mRequests = 50.0;            ///< Requests a second, at all daemons together.
  retry_limits mLimits{};             ///< The users' rule.
  duration mLength = seconds(12);     ///< Time played after kCalm.
  std::vector<duration> mKills{};     ///< When all daemons are killed, after kCalm.
  duration mFailFrom{ 0 };            ///< From when on all runners fail, after kCalm.
  std::optional<duration> mFewFrom{}; ///< From when on few requests come, after kCalm.
  bool mHalved = false;               ///< Half of the daemons are cut from the others.
  bool mRandomFaults = false;         ///< Daemons are killed and cut off at random.
  bool mOneAsks = false;              ///< Requests come to one daemon only.
  unsigned mSeed = 1;                 ///< Of everything random.
};

/** Daemons with their budgets, and what reached the runners. */
class retry_fleet
{
public:
  explicit retry_fleet(const retry_plan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.mSeed)
    , mDaemons(aPlan.mDaemons)
  {
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      Begin(i);
    }
  }

  void Run()
  {
    std::size_t killed = 0;
    for (; mNow < kStart + kCalm + mPlan.mLength; mNow += kTick) {
      const duration played = mNow - kStart - kCalm;
      if (killed < mPlan.mKills.size() && played >= mPlan.mKills[killed]) {
        ++killed;
        for (std::size_t i = 0; i < mDaemons.size(); ++i) {
          Kill(i);
        }
      }
      if (mPlan.mRandomFaults && played > duration{ 0 } && Share() < 0.03) {
        Disturb();
      }
      for (std::size_t i = 0; i < mDaemons.size(); ++i) {
        Advance(i);
      }
      const bool few = mPlan.mFewFrom && played >= *mPlan.mFewFrom;
      mDue += mPlan.mRequests * ToSeconds(kTick) * (few ? kFewShare : 1.0);
      for (; mDue >= 1.0; mDue -= 1.0) {
        Request(played >= mPlan.mFailFrom);
      }
    }
  }

  /** @return how far above the rule any window is; 0 if none. */
  double Excess() const
  {
    double excess = 0.0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < mRetries.size(); ++last) {
      while (mRetries[last] - mRetries[first] >= mPlan.mLimits.mWindow) {
        ++first;
      }
      excess = std::max(excess, static_cast<double>(last - first + 1) - Allowed(mRetries[last]));
    }
    return excess;
  }

  /** @return retries in the last window, per retry that the rule allows there. */
  double UsedShare() const
  {
    const auto from =
      std::lower_bound(mRetries.begin(), mRetries.end(), mNow - mPlan.mLimits.mWindow);
    return static_cast<double>(mRetries.end() - from) / Allowed(mNow);
  }

private:
  /** Requests of a daemon in a row that want a retry, so that some have a failure in common. */
  static constexpr int kRetriesWanted = 3;
  static constexpr instant kStart = seconds(1000);

  /** One daemon. */
  struct daemon
  {
    std::optional<retry_budget> mBudget; ///< Empty while it's down.
    permit_broker mBroker{};
    incarnation_id mIncarnation{};
    instant mStartsAt{ 0 }; ///< While it's down.
    instant mBornAt{ 0 };
    instant mCutUntil{ 0 };
    instant mNextPass{ 0 };
  };

  /** @return what the rule allows in the window that ends at an instant. The requests are those of
   * the window, of the one before it, or of the one that lies half a window earlier. */
  double Allowed(instant aEnd) const
  {
    const duration window = mPlan.mLimits.mWindow;
    std::size_t most = 0;
    for (const duration earlier : { duration{ 0 }, window / 2, window }) {
      const auto from =
        std::upper_bound(mRequests.begin(), mRequests.end(), aEnd - window - earlier);
      const auto until = std::upper_bound(from, mRequests.end(), aEnd - earlier);
      most = std::max(most, static_cast<std::size_t>(until - from));
    }
    return mPlan.mLimits.mShare * static_cast<double>(most) + mPlan.mLimits.mAllowance;
  }

  double Share() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }
  std::size_t Draw()
  {
    return std::uniform_int_distribution<std::size_t>(0, mDaemons.size() - 1)(mRandom);
  }

  void Begin(std::size_t aIndex)
  {
    daemon& one = mDaemons[aIndex];
    one.mBudget.emplace(mPlan.mLimits);
    one.mBroker = {};
    one.mBroker.SetRetryLimits(mPlan.mLimits, kSeeds);
    one.mIncarnation = { mRandom() | 1U };
    one.mBornAt = mNow;
    one.mNextPass = mNow;
  }
  void Kill(std::size_t aIndex)
  {
    mDaemons[aIndex].mBudget.reset();
    mDaemons[aIndex].mStartsAt = mNow + kDown;
  }
  void Disturb()
  {
    const std::size_t index = Draw();
    if (mRandom() % 2 == 0) {
      Kill(index);
    } else {
      mDaemons[index].mCutUntil = mNow + FromSeconds(4.0 * Share());
    }
  }

  /** @return whether two daemons can't reach each other. */
  bool IsCut(std::size_t aOne, std::size_t aOther) const
  {
    const bool halves = mPlan.mHalved && mNow > kStart + kCalm && aOne % 2 != aOther % 2;
    return aOne != aOther &&
           (halves || mNow < mDaemons[aOne].mCutUntil || mNow < mDaemons[aOther].mCutUntil);
  }

  /** @return whether a daemon hears another one, or hasn't noticed yet that it doesn't. */
  bool Hears(std::size_t aOne, std::size_t aOther) const
  {
    const daemon& one = mDaemons[aOne];
    const daemon& other = mDaemons[aOther];
    if (aOne == aOther) {
      return true;
    }
    const bool halved = mNow > kStart + kCalm + kGoneNoticed;
    const bool cut = IsCut(aOne, aOther) && (halved || !mPlan.mHalved);
    return other.mBudget && !cut && mNow >= other.mBornAt + kStartNoticed &&
           mNow >= one.mBornAt + kStartNoticed;
  }

  void Advance(std::size_t aIndex)
  {
    daemon& one = mDaemons[aIndex];
    if (!one.mBudget) {
      if (mNow >= one.mStartsAt) {
        Begin(aIndex);
      }
      return;
    }
    if (mNow < one.mNextPass) {
      return;
    }
    one.mNextPass = mNow + (mDaemons.size() > kMany ? kPassOfMany : kPass);
    std::set<incarnation_id> serving;
    for (std::size_t other = 0; other < mDaemons.size(); ++other) {
      if (Hears(aIndex, other)) {
        serving.insert(mDaemons[other].mIncarnation);
      }
    }
    one.mBroker.SetMembers(one.mIncarnation, std::move(serving), false, mNow);
    one.mBroker.Prune([](service_runner_id) { return true; }, mNow);
  }

  /** A request reaches a daemon that runs. */
  void Request(bool aFails)
  {
    const std::size_t index = mPlan.mOneAsks ? 0 : Draw();
    if (!mDaemons[index].mBudget) {
      return;
    }
    mRequests.push_back(mNow);
    mDaemons[index].mBudget->NoteRequest(mNow);
    for (int i = 0; aFails && i < kRetriesWanted && Retry(index); ++i) {
      mRetries.push_back(mNow);
    }
  }

  /** As permit_link does. @return whether a daemon may send once more. */
  bool Retry(std::size_t aIndex)
  {
    daemon& one = mDaemons[aIndex];
    if (one.mBudget->Take(mNow)) {
      return true;
    }
    const service_runner_id budget = RetryBudgetOf("desk");
    const std::optional<incarnation_id> grantor = one.mBroker.GrantorOf(budget);
    if (!grantor || one.mBroker.RetriesHeldUntil(budget, 1) > mNow) {
      return false;
    }
    const permit_request request = one.mBroker.MakeRetryRequest(budget, 1, 1, mNow);
    const auto other = std::find_if(mDaemons.begin(), mDaemons.end(), [&](const daemon& aOther) {
      return aOther.mIncarnation == *grantor;
    });
    const auto to = static_cast<std::size_t>(other - mDaemons.begin());
    if (other == mDaemons.end() || !other->mBudget || IsCut(aIndex, to)) {
      one.mBroker.NoteNoReply(*grantor, request, mNow);
      return false;
    }
    const permit_reply reply = other->mBroker.Answer(request, one.mIncarnation, mNow);
    one.mBroker.NoteHeard(*grantor, mNow);
    one.mBroker.NoteReply(reply, 1, mNow);
    return reply.mState == permit_state::eGranted;
  }

  retry_plan mPlan;
  std::mt19937_64 mRandom;
  instant mNow = kStart;
  std::vector<daemon> mDaemons;
  std::vector<instant> mRequests;
  std::vector<instant> mRetries;
  double mDue = 0.0;
};

/** A deployment of some size. */
struct fleet_size
{
  std::size_t mDaemons = 8;
  double mRequests = 50.0;
  double mAllowance = 56.0;
};
constexpr std::array<fleet_size, 4> kSizes{
  { { 8, 50.0, 56.0 }, { 58, 140.0, 156.0 }, { 300, 450.0, 630.0 }, { 1400, 1500.0, 3000.0 } }
};

retry_plan
PlanOf(const fleet_size& aSize)
{
  retry_plan plan;
  plan.mDaemons = aSize.mDaemons;
  plan.mRequests = aSize.mRequests;
  plan.mLimits.mAllowance = aSize.mAllowance;
  return plan;
}

/** @return a plan in which requests pay for no retries, so that all come from the allowance. */
retry_plan
PlanOfAllowance(unsigned aSeed)
{
  retry_plan plan = PlanOf(kSizes[aSeed % 2]);
  plan.mLimits.mShare = 0.0;
  plan.mLength = seconds(24);
  plan.mSeed = aSeed;
  return plan;
}

} // namespace

TEST_GROUP(retry_share){
  /** Plays a plan and checks that every window keeps the rule. @return the share that was used. */
  static double Play(const retry_plan& aPlan){ retry_fleet fleet(aPlan);
fleet.Run();
std::printf("%zu daemons, seed %u: excess %.1f, used %.2f\n",
            aPlan.mDaemons,
            aPlan.mSeed,
            fleet.Excess(),
            fleet.UsedShare());
CHECK_TRUE(fleet.Excess() <= 0.0);
return fleet.UsedShare();
}
}
;

TEST(retry_share, DaemonsThatAreAllKilledTwiceDoNotSpendTheBudgetAnew)
{
  for (const fleet_size& size : kSizes) {
    retry_plan plan = PlanOf(size);
    plan.mKills = { milliseconds(1000), milliseconds(4500) };
    Play(plan);
  }
}

TEST(retry_share, RunnersThatAllFailAfterCalmTimesGetNoMoreThanTheBudget)
{
  for (const fleet_size& size : kSizes) {
    retry_plan plan = PlanOf(size);
    plan.mFailFrom = seconds(3);
    Play(plan);
  }
}

TEST(retry_share, RetriesSavedUpInCalmTimesAreNotSpentAfterTheirWindow)
{
  for (const fleet_size& size : kSizes) {
    retry_plan plan = PlanOf(size);
    plan.mLength = seconds(30);
    plan.mFewFrom = duration{ 0 };
    plan.mFailFrom = seconds(21);
    Play(plan);
  }
}

TEST(retry_share, HalfOfTheDaemonsCutFromTheOthersKeepTheBudget)
{
  for (const fleet_size& size : kSizes) {
    retry_plan plan = PlanOf(size);
    plan.mHalved = true;
    Play(plan);
  }
}

TEST(retry_share, DaemonsThatAreKilledAndCutOffAtRandomKeepTheBudget)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    retry_plan plan = PlanOf(kSizes[seed % 2]);
    plan.mRandomFaults = true;
    plan.mSeed = seed;
    Play(plan);
  }
}

TEST(retry_share, OneDaemonThatAsksForAllUsesOverHalfOfTheBudget)
{
  for (const fleet_size& size : kSizes) {
    retry_plan plan = PlanOf(size);
    plan.mOneAsks = true;
    CHECK_TRUE(Play(plan) > 0.5);
  }
}

TEST(retry_share, RepeatedKillsOfAllDaemonsSpendTheAllowanceOnce)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    retry_plan plan = PlanOfAllowance(seed);
    const duration gap = milliseconds(700 + static_cast<int>(seed) * 60);
    for (int kill = 0; kill < 8; ++kill) {
      plan.mKills.push_back(milliseconds(900) + kill * gap);
    }
    Play(plan);
  }
}

TEST(retry_share, RandomFaultsSpendTheAllowanceOnce)
{
  for (unsigned seed = 21; seed <= 40; ++seed) {
    retry_plan plan = PlanOfAllowance(seed);
    plan.mRandomFaults = true;
    Play(plan);
  }
}

// Guards against daemons that start while the fleet is cut in two, and know of one half only.
TEST(retry_share, DaemonsThatStartWithinAHalfSpendTheAllowanceOnce)
{
  for (unsigned seed = 41; seed <= 60; ++seed) {
    retry_plan plan = PlanOfAllowance(seed);
    plan.mRandomFaults = true;
    plan.mHalved = true;
    Play(plan);
  }
}

// Guards against halves in which nobody is left who has heard the others.
TEST(retry_share, AHalfThatForgotTheOtherOneSpendsTheAllowanceOnce)
{
  for (const unsigned seed : { 112U, 138U, 198U }) {
    retry_plan plan = PlanOfAllowance(seed);
    plan.mRandomFaults = true;
    plan.mHalved = true;
    Play(plan);
  }
}
