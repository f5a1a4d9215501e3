/**
 * @file store_contact.h
 * What a daemon knows of the store, by its own calls and by what other daemons tell: whether it
 * answers, how far it is, and whether another daemon reads it for this one.
 */
#pragma once

#include "core/log_func.h"
#include "links/daemon_link.h"

#include <deque>

namespace dunehook {

/** One daemon of each hall reads the store and tells all how far it is, and what changed. What was
 * told lately stands for a read of one's own: a reader that is silent is passed over within the
 * time in which a leaving runner is still served. */
inline constexpr duration kReportLifetime = std::chrono::milliseconds(1200);
/** Daemons of a hall that ask the store when nobody tells how far it is, one step after the other.
 * Several, since the store may turn some away; not all, since a store that is away would be called
 * by every daemon. */
inline constexpr std::size_t kMaxReaders = 3;
/** Time between the steps; all together stay below half of the shortest time in which a leaving
 * runner must get no more work. */
inline constexpr duration kTakeOverStep = std::chrono::milliseconds(150);
/** A daemon that has taken over reads on for this long, whatever it's told: those that take over in
 * other halls at the same time tell the position as well, and none would read the configuration. */
inline constexpr duration kTakeOverPeriod = std::chrono::milliseconds(3000);
/** While the askers tell that the store is silent, each other daemon asks it about once in this
 * time: the store may turn away just the askers. */
inline constexpr duration kProbeInterval = std::chrono::milliseconds(4000);
/** What was told to have changed and hasn't come is read after this: the datagram that has it is
 * lost. */
inline constexpr duration kRunnersBehindTolerance = std::chrono::milliseconds(150);
/** Changes of runners are told for so long: three datagrams have each. */
inline constexpr duration kChangesResendPeriod = std::chrono::milliseconds(2800);
/** Most entries in one datagram; with more, each daemon reads them itself. */
inline constexpr std::size_t kMaxChangesPerDatagram = 60;
/** The store counts as away until it has answered for this long: lapsed entries are back by then.
 */
inline constexpr duration kStoreRecoveryTime = std::chrono::milliseconds(2500);
/** Rest after a failed read of the store; doubled up to the longest. */
inline constexpr duration kInitialStoreBackoff = std::chrono::milliseconds(150);
inline constexpr duration kMaxStoreBackoff = std::chrono::milliseconds(600);
/** Time between looks at what was told. */
inline constexpr duration kReportCheckInterval = std::chrono::milliseconds(100);

/** The contact of one daemon with the store. */
class store_contact
{
public:
  store_contact(forward_state& aState, daemon_link& aLink)
    : mState(aState)
    , mLink(aLink)
  {
  }

  /** @return whether a configuration and runners are known. */
  bool Known() const { return mState.mRoutes && mRunnersKnown; }
  /** @return whether the last call was answered. */
  bool IsAnswering() const { return mIsAnswering; }
  /** @return whether the store was away lately, so that entries may have lapsed unasked. Only this
   * daemon's own calls count: another may be cut off from a store that is well. */
  bool WasRecentlyAway() const
  {
    return mLastFailureAt != instant{ 0 } && mState.Now() - mLastFailureAt < kStoreRecoveryTime;
  }
  /** @return whether this daemon asks the store for what is new. Else others do, and tell. */
  bool IsReader() const
  {
    if (!Known()) {
      return true;
    }
    return mLink.RankInHall() == 0 || mState.Now() < mTakeOverUntil || ShouldTakeOver();
  }
  /** @return the newest version that any daemon has told of. */
  std::uint64_t NewestReportedConfig() const
  {
    return std::max(mState.mToldStore.mConfig, mLink.Members().HighestNextOffset());
  }
  /** @return whether another daemon has a newer configuration than this one. */
  bool IsBehind() const
  {
    return mState.mRoutes && NewestReportedConfig() > mState.mRoutes->Config().mVersion;
  }
  /** @return whether the runners must be read by this daemon itself. Call it before each read. */
  bool MustReadRunners()
  {
    const instant now = mState.Now();
    const bool behind = mState.mToldStore.mRunners > mState.mRunners.End();
    mBehindSince = !behind ? instant{ 0 } : mBehindSince == instant{ 0 } ? now : mBehindSince;
    if (Known() && ShouldTakeOver() && mLink.RankInHall() < kMaxReaders) {
      mTakeOverUntil = now + kTakeOverPeriod;
    }
    return mConfigTimedOut || IsReader() ||
           (behind && now - mBehindSince >= kRunnersBehindTolerance);
  }
  /** @return whether the last read of the runners failed: the store is asked for nothing else. */
  bool RunnerReadFailed() const { return mRunnerReadFailed; }
  /** @return whether a read of the runners by this daemon was answered since an instant. */
  bool RunnersAnsweredSince(instant aInstant) const { return mRunnersAnsweredAt >= aInstant; }

  /** Notes whether the store answered a call. */
  void NoteAnswer(bool aAnswered, std::string_view aCall)
  {
    mState.mMetrics.CountStoreCall(aCall, aAnswered);
    if (!aAnswered) {
      mLastFailureAt = mState.Now();
    }
    if (aAnswered != mIsAnswering) {
      mIsAnswering = aAnswered;
      LogEvent(
        log_level::eInfo, aAnswered ? "store_regained" : "store_lost", { { "call", aCall } });
    }
  }
  /** Notes whether a read got no answer in its time: the store may be silent to this daemon. */
  void NoteConfigTimeout(bool aInDoubt) { mConfigTimedOut = aInDoubt; }
  /** Notes an answered read of the runners. What the store says goes before what was told.
   * @param aFrom position of the list before it.
   * @param aChanged runners that changed by it. */
  void NoteRunners(const store_mark& aFrom, const std::vector<service_runner_id>& aChanged)
  {
    const instant now = mState.Now();
    mRunnerReadFailed = false;
    mRunnersKnown = mRunnersKnown || !mState.mRunners.Rows().empty();
    mRunnersAnsweredAt = now;
    mState.mListedAt = now;
    mState.mToldStore.mRunners = std::min(mState.mToldStore.mRunners, mState.mRunners.End());
    if (aFrom != mChangesEnd) {
      // Another daemon told what lies between: it isn't among the changes kept here, and who
      // applied these would pass it over.
      mChanges.clear();
    }
    mChangesEnd = mState.mRunners.End();
    if (aFrom != store_mark{} && aFrom < mState.mRunners.End()) {
      read_changes changes;
      changes.mAt = now;
      changes.mFrom = aFrom;
      for (const service_runner_id id : aChanged) {
        const runner_state* const runner = mState.mRunners.Find(id);
        changes.mNames.push_back(runner == nullptr ? std::string() : runner->mEntry.mName);
      }
      mChanges.push_back(std::move(changes));
    }
    while (!mChanges.empty() && now - mChanges.front().mAt > kChangesResendPeriod) {
      mChanges.pop_front();
    }
  }
  /** Notes that the store has come back from an older copy: entries may be missing unasked. */
  void NoteStoreRolledBack()
  {
    mLastFailureAt = mState.Now();
    mState.mStoreAway = true;
  }
  /** Notes that a read of the runners failed, and tells the others if this daemon asks for them. */
  void NoteRunnerReadFailed()
  {
    mRunnerReadFailed = true;
    mTakeOverUntil = instant{ 0 };
    const double spread = 0.5 + mState.Draw();
    mProbeAt = mState.Now() + FromSeconds(ToSeconds(kProbeInterval) * spread);
    if (Known() && mLink.RankInHall() < kMaxReaders) {
      run_message message;
      message.mStoreSilent = true;
      mLink.Broadcast(std::move(message));
    }
  }
  /** Notes the version that a read of the newest configuration gave. */
  void NoteConfig(std::uint64_t aVersion)
  {
    mState.mToldStore.mConfig = std::min(mState.mToldStore.mConfig, aVersion);
  }
  /** Tells the others how far the store is and what changed of the runners, if this daemon asks it
   * for them. */
  void BroadcastPosition()
  {
    if (!Known() || !IsReader()) {
      return;
    }
    run_message message;
    message.mStore = store_position{ mState.mRunners.End(), mState.mRoutes->Config().mVersion };
    message.mRunners = RecentChanges();
    mLink.Broadcast(std::move(message));
  }
  /** Call it some times a second. */
  void Tick()
  {
    mState.mStoreAway = WasRecentlyAway();
    if (mKnownSince == instant{ 0 } && Known()) {
      mKnownSince = mState.Now();
    }
  }

private:
  /** @return whether this daemon asks since no reader has told how far the store is. */
  bool ShouldTakeOver() const
  {
    const instant now = mState.Now();
    const duration quiet = now - std::max(mState.mToldStoreAt, mKnownSince);
    if (quiet < kReportLifetime) {
      return false;
    }
    const std::size_t rank = mLink.RankInHall(); // Counts all members.
    if (rank == 0) {
      return false;
    }
    if (rank >= kMaxReaders && now - mState.mToldSilentAt < kReportLifetime) {
      return now >= mProbeAt;
    }
    return quiet >=
           kReportLifetime + kTakeOverStep * static_cast<std::int64_t>(std::min(rank, kMaxReaders));
  }
  /** Changes that one read brought. */
  struct read_changes
  {
    instant mAt{ 0 };                ///< When it was read.
    store_mark mFrom;                ///< Position of the list before.
    std::vector<std::string> mNames; ///< Ids of the runners that changed.
  };

  /** @return what changed lately, or nothing if that's nothing, or too much for a datagram. */
  std::optional<runner_changes> RecentChanges() const
  {
    if (mChanges.empty()) {
      return std::nullopt;
    }
    runner_changes changes;
    changes.mFrom = mChanges.front().mFrom;
    changes.mTo = mChangesEnd; // Not the table's position: that may come of what another told.
    changes.mAway = WasRecentlyAway();
    std::set<std::string> names;
    for (const read_changes& one : mChanges) {
      names.insert(one.mNames.begin(), one.mNames.end());
    }
    if (names.size() > kMaxChangesPerDatagram) {
      return std::nullopt;
    }
    for (const std::string& name : names) {
      const runner_state* const runner = mState.mRunners.FindNamed(name);
      if (runner != nullptr && runner->mListed) {
        changes.mListed.push_back(runner->mEntry);
      } else {
        changes.mDropped.push_back(name);
      }
    }
    return changes;
  }

  forward_state& mState;             ///< Shared.
  daemon_link& mLink;                ///< What other daemons tell.
  instant mLastFailureAt{ 0 };       ///< Last failed call; zero if none.
  instant mRunnersAnsweredAt{ 0 };   ///< When a read of the runners was last answered.
  instant mBehindSince{ 0 };         ///< Runners changed that weren't told; zero if none.
  instant mKnownSince{ 0 };          ///< Since when a configuration and runners are known.
  instant mTakeOverUntil{ 0 };       ///< Reads until then, having taken over.
  instant mProbeAt{ 0 };             ///< Next call while the store is told to be silent.
  std::deque<read_changes> mChanges; ///< Of the last seconds, oldest first; without a gap.
  store_mark mChangesEnd;            ///< Position that mChanges lead to.
  bool mRunnerReadFailed = false;    ///< The last read of the runners failed.
  bool mRunnersKnown = false;        ///< A listing with runners was read.
  bool mIsAnswering = true;          ///< The last call was answered.
  bool mConfigTimedOut = false; ///< The last read of the configuration got no answer in its time.
};

} // namespace dunehook
