/**
 * @file limit_share_test.cpp
 * Limits shared by 8, 300 and 1,400 daemons in virtual time, seeded: what each runner receives in
 * any window, while limits come, change and end and daemons are killed, started, frozen and cut
 * off.
 */
#include "limits/permit_broker.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <queue>
#include <random>

using namespace dunehook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The users' rule: a runner may get its limit times the window times kAllowedShare, and
 * kAllowedMore. */
constexpr duration kWindow = seconds(4);
constexpr double kAllowedShare = 1.5;
constexpr double kAllowedMore = 5.0;
/** From the first answer that names a limit until it counts. */
constexpr duration kSpreadTime = milliseconds(500);
/** Share of a limit that is used, where more is asked for. */
constexpr double kUsedShare = 0.8;
/** Time between a daemon's passes over its members, under faults and without. */
constexpr duration kPass = milliseconds(250);
constexpr duration kCalmPass = seconds(1);
/** Time until others notice that a daemon is gone, and that one has started. */
constexpr duration kMinGoneNoticed = milliseconds(1800);
constexpr duration kMinStartNoticed = milliseconds(100);
constexpr duration kNoticeSpread = milliseconds(500);
/** Messages for permits per permit granted, at all daemons together. */
constexpr double kMaxMessagesPerPermit = 12.0;

/** What to play. */
struct share_plan
{
  std::size_t mDaemons = 8;       ///< Daemons that serve.
  std::size_t mAsking = 8;        ///< Daemons whose callers want the runners.
  double mLimit = 5.8;            ///< First limit of each runner.
  std::size_t mRunners = 3;       ///< Runners.
  double mDemand = 10.0;          ///< Requests per permit that callers want.
  bool mFaults = false;           ///< Daemons are killed, frozen and cut off.
  bool mChanges = false;          ///< Limits change, end and begin again; runners restart.
  duration mLength = seconds(30); ///< Time played.
  unsigned mSeed = 1;             ///< Of everything random.
};

/** Daemons, runners and the messages between them. */
class share_world
{
public:
  explicit share_world(const share_plan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.mSeed)
  {
    for (std::size_t i = 0; i < aPlan.mDaemons; ++i) {
      mDaemons.push_back({ incarnation_id{ Draw64() | 1U } });
    }
    for (std::size_t i = 0; i < aPlan.mRunners; ++i) {
      mRunners.push_back({ service_runner_id{ Draw64() | 1U }, aPlan.mLimit });
    }
    for (daemon& one : mDaemons) {
      mServing.insert(one.mIncarnation);
    }
    for (std::size_t i = 0; i < aPlan.mDaemons; ++i) {
      At(DrawUpTo(PassInterval()), [this, i] { Pass(i); });
    }
    for (std::size_t i = 0; i < aPlan.mRunners; ++i) {
      At(kSettling, [this, i] { SendNext(i); });
      if (aPlan.mChanges) {
        At(kSettling + seconds(3), [this, i] { ChangeLimit(i); });
      }
    }
    if (aPlan.mFaults) {
      At(kSettling + seconds(2), [this] { Fault(); });
    }
  }

  void Run()
  {
    while (!mEvents.empty() && mEvents.top().mAt < kSettling + mPlan.mLength) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mAction();
    }
  }

  /** @return how far above the rule any window of any runner is; 0 if none. */
  double Excess() const
  {
    double excess = 0.0;
    for (const arrivals& log : mLogs) {
      std::size_t first = 0;
      for (std::size_t last = 0; last < log.mAt.size(); ++last) {
        while (log.mAt[last] - log.mAt[first] > kWindow) {
          ++first;
        }
        excess = std::max(excess,
                          static_cast<double>(last - first + 1) -
                            log.Allowed(log.mAt[first], log.mAt[last]));
      }
    }
    return excess;
  }

  /** @return requests that all runners got in the last part of the time, per permitted one. */
  double UsedShare(duration aLast) const
  {
    std::size_t used = 0;
    const instant from = kSettling + mPlan.mLength - aLast;
    for (const arrivals& log : mLogs) {
      used += static_cast<std::size_t>(
        std::count_if(log.mAt.begin(), log.mAt.end(), [&](instant aAt) { return aAt >= from; }));
    }
    return static_cast<double>(used) /
           (mPlan.mLimit * ToSeconds(aLast) * static_cast<double>(mRunners.size()));
  }

  double MessagesPerPermit() const
  {
    return static_cast<double>(mMessages) / static_cast<double>(std::max<std::size_t>(1, mGranted));
  }
  /** @return messages a second that the busiest daemon received. */
  double BusiestPerSecond() const
  {
    std::size_t most = 0;
    for (const daemon& one : mDaemons) {
      most = std::max(most, one.mReceived);
    }
    return static_cast<double>(most) / ToSeconds(mPlan.mLength);
  }

  /** Time before the first request: the daemons have long known each other. */
  static constexpr duration kSettling = seconds(10);

private:
  struct event
  {
    instant mAt{ 0 };
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;
    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };
  struct daemon
  {
    incarnation_id mIncarnation;
    permit_broker mBroker{};
    instant mFrozenUntil{ 0 };
    instant mCutUntil{ 0 };
    instant mLastPass{ 0 };
    std::size_t mReceived = 0;
    bool mUp = true;
  };
  struct runner
  {
    service_runner_id mId;
    std::optional<double> mLimit;
  };
  /** What one incarnation of a runner got, and what it allowed. */
  struct arrivals
  {
    std::vector<instant> mAt;                                       ///< Arrivals that count.
    std::vector<std::pair<instant, std::optional<double>>> mLimits; ///< Limits, from when on.

    /** @return what the rule allows between two instants: the highest limit that held there. */
    double Allowed(instant aFrom, instant aUntil) const
    {
      double highest = 0.0;
      for (std::size_t i = 0; i < mLimits.size(); ++i) {
        const instant until =
          i + 1 < mLimits.size() ? mLimits[i + 1].first + kSpreadTime : instant::max();
        if (mLimits[i].first <= aUntil && until >= aFrom) {
          highest = std::max(highest, mLimits[i].second.value_or(1e9));
        }
      }
      return kAllowedShare * highest * ToSeconds(kWindow) + kAllowedMore;
    }
  };

  duration PassInterval() const { return mPlan.mFaults ? kPass : kCalmPass; }
  std::uint64_t Draw64() { return mRandom(); }
  double DrawShare() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }
  duration DrawUpTo(duration aMost) { return FromSeconds(ToSeconds(aMost) * DrawShare()); }
  std::size_t DrawIndex(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }
  void At(instant aWhen, std::function<void()> aAction)
  {
    mEvents.push({ aWhen, ++mOrder, std::move(aAction) });
  }
  duration Latency() { return milliseconds(1) + DrawUpTo(milliseconds(3)); }
  bool Runs(const daemon& aDaemon) const { return aDaemon.mUp && mNow >= aDaemon.mFrozenUntil; }
  bool Reaches(const daemon& aOne, const daemon& aTwo) const
  {
    return mNow >= aOne.mCutUntil && mNow >= aTwo.mCutUntil;
  }
  /** Passes a message on: it may be lost, and waits for a frozen daemon. */
  void Deliver(std::size_t aFrom, std::size_t aTo, std::function<void(daemon&)> aTake)
  {
    ++mMessages;
    const incarnation_id meant = mDaemons[aTo].mIncarnation;
    if (!Reaches(mDaemons[aFrom], mDaemons[aTo]) || DrawShare() < 0.005) {
      return;
    }
    const instant at = std::max(mNow + Latency(), mDaemons[aTo].mFrozenUntil);
    At(at, [this, aTo, meant, take = std::move(aTake)] {
      daemon& to = mDaemons[aTo];
      if (to.mUp && to.mIncarnation == meant) {
        ++to.mReceived;
        take(to);
      }
    });
  }
  std::size_t IndexOf(incarnation_id aDaemon) const
  {
    const auto found = std::find_if(mDaemons.begin(), mDaemons.end(), [&](const daemon& aOne) {
      return aOne.mIncarnation == aDaemon;
    });
    return static_cast<std::size_t>(found - mDaemons.begin());
  }

  void Pass(std::size_t aIndex)
  {
    daemon& one = mDaemons[aIndex];
    if (!Runs(one)) {
      At(std::max(mNow + PassInterval(), one.mFrozenUntil), [this, aIndex] { Pass(aIndex); });
      return;
    }
    std::set<incarnation_id> serving;
    for (const incarnation_id other : mServing) {
      const auto view = mNoticedAt.find({ one.mIncarnation, other });
      if (view == mNoticedAt.end() || mNow >= view->second) {
        serving.insert(other);
      }
    }
    for (const auto& [other, goneAt] : mGoneAt) {
      if (mNow < goneAt + kMinGoneNoticed + (Draw64() % 2 == 0 ? duration{ 0 } : kPass)) {
        serving.insert(other);
      }
    }
    if (mNow < one.mCutUntil && mNow + kMinGoneNoticed < one.mCutUntil) {
      serving = { one.mIncarnation };
    }
    serving.insert(one.mIncarnation);
    const bool late = one.mLastPass != instant{ 0 } && mNow - one.mLastPass > 2 * PassInterval();
    one.mLastPass = mNow;
    one.mBroker.SetMembers(one.mIncarnation, std::move(serving), late, mNow);
    one.mBroker.Prune([](service_runner_id) { return true; }, mNow);
    for (const incarnation_id asked : one.mBroker.DueChecks(mNow)) {
      Ask(aIndex, asked, permit_request{ {}, 0, 0, 0, false, {} }, nullptr);
    }
    const auto notices = one.mBroker.Limits().Notices(mNow);
    if (!notices.empty() && Draw64() % 2 == 0) {
      Tell(aIndex, DrawIndex(mDaemons.size()), notices);
    }
    At(mNow + PassInterval(), [this, aIndex] { Pass(aIndex); });
  }

  void Tell(std::size_t aFrom, std::size_t aTo, const std::vector<limit_notice>& aNotices)
  {
    Deliver(aFrom, aTo, [this, aNotices](daemon& aDaemon) {
      for (const limit_notice& notice : aNotices) {
        aDaemon.mBroker.Limits().Apply(notice, mNow);
      }
    });
  }

  /** Asks a daemon for permits. @param aEnd called with whether they were granted; may be empty. */
  void Ask(std::size_t aFrom,
           incarnation_id aGrantor,
           const permit_request& aRequest,
           const std::function<void(bool)>& aEnd)
  {
    const incarnation_id asker = mDaemons[aFrom].mIncarnation;
    const auto ended = std::make_shared<bool>(false);
    const auto finish = [this, aFrom, asker, ended, aEnd, aRequest](const permit_reply* aReply,
                                                                    incarnation_id aBy) {
      daemon& self = mDaemons[aFrom];
      if (*ended || !Runs(self) || self.mIncarnation != asker) {
        return;
      }
      *ended = true;
      if (aReply == nullptr) {
        self.mBroker.NoteNoReply(aBy, aRequest, mNow);
      } else {
        self.mBroker.NoteHeard(aBy, mNow);
        self.mBroker.NoteReply(*aReply, aRequest.mRank, mNow);
      }
      if (aEnd) {
        aEnd(aReply != nullptr && aReply->mState == permit_state::eGranted);
      }
    };
    if (aGrantor == asker) {
      const permit_reply reply = mDaemons[aFrom].mBroker.Answer(aRequest, asker, mNow);
      finish(&reply, aGrantor);
      return;
    }
    const std::size_t to = IndexOf(aGrantor);
    if (to < mDaemons.size()) {
      Deliver(aFrom, to, [this, aFrom, to, asker, aRequest, finish](daemon& aDaemon) {
        const permit_reply reply = aDaemon.mBroker.Answer(aRequest, asker, mNow);
        const incarnation_id by = aDaemon.mIncarnation;
        Deliver(to, aFrom, [finish, reply, by](daemon&) { finish(&reply, by); });
      });
    }
    At(mNow + kPermitReplyTimeout, [finish, aGrantor] { finish(nullptr, aGrantor); });
  }

  /** A caller wants runner @p aRunner; the next one follows. */
  void SendNext(std::size_t aRunner)
  {
    const double rate = mPlan.mDemand * std::max(0.5, mPlan.mLimit);
    At(mNow + FromSeconds(-std::log(1.0 - DrawShare()) / rate),
       [this, aRunner] { SendNext(aRunner); });
    const std::size_t index = DrawIndex(mPlan.mAsking);
    daemon& one = mDaemons[index];
    const service_runner_id id = mRunners[aRunner].mId;
    if (!Runs(one)) {
      return;
    }
    if (!one.mBroker.Limits().NeedsPermit(id, mNow)) {
      Send(index, aRunner);
      return;
    }
    const auto rank = static_cast<std::uint32_t>(Draw64() % 2);
    const std::optional<incarnation_id> grantor = one.mBroker.GrantorOf(id);
    if (!grantor || one.mBroker.Held(rank, mNow).contains(id)) {
      return;
    }
    const permit_request request = one.mBroker.MakeRequest(id, 1, rank, mNow);
    Ask(index, *grantor, request, [this, index, aRunner, id](bool aGranted) {
      if (aGranted) {
        ++mGranted;
        if (mRunners[aRunner].mId == id) {
          Send(index, aRunner);
        }
      }
    });
  }

  void Send(std::size_t aDaemon, std::size_t aRunner)
  {
    const instant sent = mNow;
    const incarnation_id sender = mDaemons[aDaemon].mIncarnation;
    const service_runner_id id = mRunners[aRunner].mId;
    At(mNow + Latency(), [this, aDaemon, aRunner, sender, id, sent] {
      if (mRunners[aRunner].mId != id) {
        return;
      }
      arrivals& log = LogOf(aRunner);
      if (mNow >= log.mLimits.front().first + kSpreadTime) {
        log.mAt.push_back(mNow);
      }
      const std::optional<double> limit = mRunners[aRunner].mLimit;
      const instant answered = mNow + milliseconds(5) + DrawUpTo(milliseconds(40));
      At(answered, [this, aDaemon, sender, id, sent, limit] {
        daemon& to = mDaemons[aDaemon];
        if (Runs(to) && to.mIncarnation == sender) {
          TakeAnswer(aDaemon, id, limit, sent);
        }
      });
    });
  }

  /** As permit_link does: all are told of a begin and an end, the grantor of a change. */
  void TakeAnswer(std::size_t aIndex,
                  service_runner_id aRunner,
                  std::optional<double> aLimit,
                  instant aSentAt)
  {
    permit_broker& broker = mDaemons[aIndex].mBroker;
    const limit_change change = aLimit ? broker.Limits().NoteNamed(aRunner, *aLimit, aSentAt, mNow)
                                       : broker.Limits().NoteNotNamed(aRunner, aSentAt, mNow);
    if (change == limit_change::eNone) {
      return;
    }
    const std::vector<limit_notice> notices{ *broker.Limits().NoticeOf(aRunner, mNow) };
    if (change == limit_change::eChanged) {
      const std::optional<incarnation_id> grantor = broker.GrantorOf(aRunner);
      const std::size_t to = grantor ? IndexOf(*grantor) : mDaemons.size();
      if (to < mDaemons.size()) {
        Tell(aIndex, to, notices);
      }
      return;
    }
    for (std::size_t other = 0; other < mDaemons.size(); ++other) {
      Tell(aIndex, other, notices);
    }
  }

  arrivals& LogOf(std::size_t aRunner)
  {
    const auto [place, fresh] = mLogIndex.try_emplace(mRunners[aRunner].mId, mLogs.size());
    if (fresh) {
      mLogs.push_back({ {}, { { mNow, mRunners[aRunner].mLimit } } });
    }
    return mLogs[place->second];
  }

  void ChangeLimit(std::size_t aRunner)
  {
    runner& one = mRunners[aRunner];
    const double draw = DrawShare();
    LogOf(aRunner);
    if (draw < 0.15) { // A new incarnation without a limit.
      one.mId = { Draw64() | 1U };
      one.mLimit = std::nullopt;
    } else if (draw < 0.35) {
      one.mLimit = std::nullopt;
    } else {
      one.mLimit = mPlan.mLimit * (0.3 + DrawShare());
    }
    LogOf(aRunner).mLimits.emplace_back(mNow, one.mLimit);
    At(mNow + seconds(1) + DrawUpTo(seconds(5)), [this, aRunner] { ChangeLimit(aRunner); });
  }

  void Fault()
  {
    At(mNow + milliseconds(300) + DrawUpTo(seconds(3)), [this] { Fault(); });
    // Half of the faults meet the grantor of a runner.
    std::size_t index = DrawIndex(mDaemons.size());
    const service_runner_id runner = mRunners[DrawIndex(mRunners.size())].mId;
    const std::optional<incarnation_id> grantor = mDaemons[0].mBroker.GrantorOf(runner);
    if (Draw64() % 2 == 0 && grantor && IndexOf(*grantor) < mDaemons.size()) {
      index = IndexOf(*grantor);
    }
    daemon& hit = mDaemons[index];
    switch (Draw64() % 3) {
      case 0:
        Kill(index);
        break;
      case 1:
        hit.mFrozenUntil = mNow + DrawUpTo(seconds(4));
        break;
      default:
        hit.mCutUntil = mNow + DrawUpTo(seconds(4));
        break;
    }
  }

  void Kill(std::size_t aIndex)
  {
    daemon& gone = mDaemons[aIndex];
    if (!gone.mUp) {
      return;
    }
    gone.mUp = false;
    mServing.erase(gone.mIncarnation);
    mGoneAt[gone.mIncarnation] = mNow;
    At(mNow + milliseconds(400) + DrawUpTo(seconds(1)), [this, aIndex] {
      const std::size_t received = mDaemons[aIndex].mReceived;
      mDaemons[aIndex] = daemon{ incarnation_id{ Draw64() | 1U } };
      mDaemons[aIndex].mReceived = received;
      const incarnation_id fresh = mDaemons[aIndex].mIncarnation;
      for (const daemon& other : mDaemons) {
        mNoticedAt[{ other.mIncarnation, fresh }] =
          mNow + kMinStartNoticed + DrawUpTo(kNoticeSpread);
      }
      mServing.insert(fresh);
    });
  }

  share_plan mPlan;
  std::mt19937_64 mRandom;
  instant mNow{ 0 };
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
  std::vector<daemon> mDaemons;
  std::vector<runner> mRunners;
  std::vector<arrivals> mLogs;
  std::map<service_runner_id, std::size_t> mLogIndex;
  std::set<incarnation_id> mServing;
  std::map<std::pair<incarnation_id, incarnation_id>, instant> mNoticedAt; ///< By observer.
  std::map<incarnation_id, instant> mGoneAt;
  std::size_t mMessages = 0;
  std::size_t mGranted = 0;
};

constexpr std::array<double, 6> kLimits{ 0.2, 1.0, 5.8, 20.0, 60.0, 200.0 };

} // namespace

TEST_GROUP(limit_share){
  /** Plays a plan and checks that every window keeps the rule. @return the world. */
  static std::unique_ptr<share_world> Play(const share_plan& aPlan){
    auto world = std::make_unique<share_world>(aPlan);
world->Run();
std::printf("%zu daemons, limit %.1f, seed %u: excess %.1f, used %.2f, messages per permit "
            "%.1f, busiest %.1f/s\n",
            aPlan.mDaemons,
            aPlan.mLimit,
            aPlan.mSeed,
            world->Excess(),
            world->UsedShare(aPlan.mLength / 2),
            world->MessagesPerPermit(),
            world->BusiestPerSecond());
CHECK_TRUE(world->Excess() <= 0.0);
return world;
}
}
;

TEST(limit_share, EightDaemonsKeepAndUseLimitsOfAnySize)
{
  for (const double limit : kLimits) {
    share_plan plan;
    plan.mLimit = limit;
    const auto world = Play(plan);
    CHECK_TRUE(world->UsedShare(seconds(15)) >= kUsedShare);
  }
}

TEST(limit_share, EightDaemonsKeepLimitsThatChangeAndEnd)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    share_plan plan;
    plan.mLimit = kLimits[seed % kLimits.size()];
    plan.mChanges = true;
    plan.mSeed = seed;
    Play(plan);
  }
}

TEST(limit_share, EightDaemonsKeepLimitsUnderFaults)
{
  for (unsigned seed = 101; seed <= 120; ++seed) {
    share_plan plan;
    plan.mLimit = kLimits[seed % kLimits.size()];
    plan.mFaults = true;
    plan.mChanges = seed % 2 == 0;
    plan.mSeed = seed;
    Play(plan);
  }
}

TEST(limit_share, ThreeHundredDaemonsKeepLimitsUnderFaults)
{
  for (unsigned seed = 301; seed <= 303; ++seed) {
    share_plan plan;
    plan.mDaemons = 300;
    plan.mAsking = 300;
    plan.mLimit = seed == 301 ? 5.8 : 60.0;
    plan.mFaults = seed != 303;
    plan.mLength = seconds(16);
    plan.mSeed = seed;
    const auto world = Play(plan);
    if (!plan.mFaults) {
      CHECK_TRUE(world->UsedShare(seconds(8)) >= kUsedShare);
    }
  }
}

TEST(limit_share, FourteenHundredDaemonsKeepAndUseALimit)
{
  share_plan plan;
  plan.mDaemons = 1400;
  plan.mAsking = 1400;
  plan.mRunners = 1;
  plan.mLength = seconds(12);
  const auto world = Play(plan);
  CHECK_TRUE(world->UsedShare(seconds(6)) >= kUsedShare);
  CHECK_TRUE(world->BusiestPerSecond() <= kMaxMessagesPerPermit * plan.mLimit);
}
