/**
 * @file store_contact.h
 * What a daemon knows of the store, from its own calls and from reports of other daemons: whether
 * it answers, which position it has reached, and whether another daemon reads it for this one.
 */
#pragma once

#include "core/log_func.h"
#include "links/daemon_link.h"

#include <deque>

namespace dunehook {

/** One daemon of each data hall reads the store and reports its position and the changes to all. A
 * report this recent replaces a read of one's own. A silent reader is replaced within the time in
 * which a leaving runner is still served. */
inline constexpr duration kReportLifetime = std::chrono::milliseconds(1200);
/** Number of daemons of a data hall that may read the store when nobody reports its position; they
 * take over one after the other. Several, since the store may refuse some of them; not all, since
 * every daemon would call a store that is down. */
inline constexpr std::size_t kMaxReaders = 3;
/** Delay between these take-overs. All together stay below half of the shortest time in which a
 * leaving runner must get no more work. */
inline constexpr duration kTakeOverStep = std::chrono::milliseconds(150);
/** A daemon that has taken over keeps reading for this long, even if it gets reports: daemons that
 * take over in other data halls at the same time report the position too, and otherwise none of
 * them would read the configuration. */
inline constexpr duration kTakeOverPeriod = std::chrono::milliseconds(3000);
/** The same for daemons that rank after kMaxReaders: enough to read the configuration once. */
inline constexpr duration kLateTakeOverPeriod = std::chrono::milliseconds(300);
/** While the readers report that the store is silent, each other daemon tries it about once in this
 * time, since the store may refuse only these readers. */
inline constexpr duration kProbeInterval = std::chrono::milliseconds(4000);
/** Runner changes that were reported but haven't arrived are read after this time: the datagram
 * with them was lost. */
inline constexpr duration kRunnersBehindTolerance = std::chrono::milliseconds(150);
/** Runner changes are repeated for this long, so that each is in three datagrams. */
inline constexpr duration kChangesResendPeriod = std::chrono::milliseconds(2800);
/** Maximum number of changed entries in one datagram. With more changes each daemon reads the store
 * itself. */
inline constexpr std::size_t kMaxChangesPerDatagram = 60;
/** The store counts as recently away until it has answered for this long. By then entries that
 * lapsed have been written again. */
inline constexpr duration kStoreRecoveryTime = std::chrono::milliseconds(2500);
/** Pause after a failed read of the store; doubled up to the maximum. */
inline constexpr duration kInitialStoreBackoff = std::chrono::milliseconds(150);
inline constexpr duration kMaxStoreBackoff = std::chrono::milliseconds(600);
/** A daemon whose list of runners is about to be outdated reads it itself, so long before: enough
 * for a read that waits in the queue of a full link. */
inline constexpr duration kOwnReadLead = std::chrono::milliseconds(400);
/** Time between checks for reports of other daemons. */
inline constexpr duration kReportCheckInterval = std::chrono::milliseconds(100);

/** Decides whether this daemon reads the store, and reports what it read to the others. */
class store_contact
{
public:
  store_contact(forward_state& aState, daemon_link& aLink)
    : mState(aState)
    , mLink(aLink)
  {
  }

  /** @return whether this daemon has a configuration and runners. */
  bool Known() const { return mState.mRoutes && mRunnersKnown; }
  /** @return whether the store answered the last call. */
  bool IsAnswering() const { return mIsAnswering; }
  /** @return whether a call of this daemon to the store failed recently, for whatever reason. */
  bool HasFailedRecently() const { return IsRecent(mLastFailureAt); }
  /** @return whether the store was recently away, so that entries may have lapsed although their
   * runners are well. A call that fails beside reads of the runners that are answered, to this or
   * another daemon, says nothing of that: this daemon's link may be full. */
  bool WasRecentlyAway() const { return IsRecent(mLastAwayAt); }
  /** @return whether this daemon reads the store for news. Otherwise other daemons read it and
   * report. */
  bool IsReader() const
  {
    if (!Known()) {
      return true;
    }
    return mLink.RankInHall() == 0 || mState.Now() < mTakeOverUntil || ShouldTakeOver();
  }
  /** @return the newest configuration version that any daemon has reported. */
  std::uint64_t NewestReportedConfig() const
  {
    return std::max(mState.mPeerStorePosition.mConfig, mLink.Members().HighestNextOffset());
  }
  /** @return whether another daemon has a newer configuration than this one. */
  bool IsBehind() const
  {
    return mState.mRoutes && NewestReportedConfig() > mState.mRoutes->Config().mVersion;
  }
  /** @return whether this daemon must read the runners itself. Call it before each read. */
  bool MustReadRunners()
  {
    const instant now = mState.Now();
    const bool behind = mState.mPeerStorePosition.mRunners > mState.mRunners.End();
    mBehindSince = !behind ? instant{ 0 } : mBehindSince == instant{ 0 } ? now : mBehindSince;
    if (Known() && ShouldTakeOver()) {
      const bool first = mLink.RankInHall() < kMaxReaders;
      mTakeOverUntil = now + (first ? kTakeOverPeriod : kLateTakeOverPeriod);
    }
    return mConfigTimedOut || IsReader() || mState.IsListOutdated(kOwnReadLead) ||
           (behind && now - mBehindSince >= kRunnersBehindTolerance);
  }
  /** @return whether the last read of the runners failed. Then nothing else is read from the store.
   */
  bool RunnerReadFailed() const { return mRunnerReadFailed; }
  /** @return whether this daemon had an answered read of the runners since @p aInstant. */
  bool RunnersAnsweredSince(instant aInstant) const { return mRunnersAnsweredAt >= aInstant; }

  /** Records whether the store answered a call. */
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
  /** Records whether a read of the configuration timed out: the store may not answer this daemon.
   */
  void NoteConfigTimeout(bool aInDoubt) { mConfigTimedOut = aInDoubt; }
  /** Records an answered read of the runners. What the store says replaces what was reported.
   * @param aBegan when the read began.
   * @param aFrom position of the runner table before the read.
   * @param aChanged runners that the read changed. */
  void NoteRunners(instant aBegan,
                   const store_mark& aFrom,
                   const std::vector<service_runner_id>& aChanged)
  {
    const instant now = mState.Now();
    mRunnerReadFailed = false;
    mRunnersKnown = mRunnersKnown || !mState.mRunners.Rows().empty();
    mRunnersAnsweredAt = now;
    mState.mRunners.NoteRead(mState.mRunners.End(), aBegan);
    mState.mPeerStorePosition.mRunners =
      std::min(mState.mPeerStorePosition.mRunners, mState.mRunners.End());
    if (aFrom != mChangesEnd) {
      // The changes in between came from another daemon's report and aren't in mChanges. A daemon
      // that applied mChanges would miss them.
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
  /** Records that the store came back from an older copy, so that entries may be missing although
   * their runners are well. */
  void NoteStoreRolledBack()
  {
    mLastFailureAt = mState.Now();
    mLastAwayAt = mLastFailureAt;
  }
  /** Records that a read of the runners failed, and reports it if this daemon is among the first to
   * read for others. */
  void NoteRunnerReadFailed()
  {
    mRunnerReadFailed = true;
    const bool answersOthers = mState.Now() - mState.mPeerStorePositionAt < kReportLifetime;
    if (!answersOthers) {
      mLastAwayAt = mState.Now();
    }
    mTakeOverUntil = instant{ 0 };
    const double spread = 0.5 + mState.RandomFraction();
    mProbeAt = mState.Now() + FromSeconds(ToSeconds(kProbeInterval) * spread);
    if (Known() && mLink.RankInHall() < kMaxReaders) {
      run_message message;
      message.mStoreSilent = true;
      mLink.Broadcast(std::move(message));
    }
  }
  /** Records the version that a read of the newest configuration returned. */
  void NoteConfig(std::uint64_t aVersion)
  {
    mState.mPeerStorePosition.mConfig = std::min(mState.mPeerStorePosition.mConfig, aVersion);
  }
  /** If this daemon reads for others, reports the store's position and the recent runner changes to
   * them. */
  void BroadcastPosition()
  {
    if (!Known() || !IsReader()) {
      return;
    }
    run_message message;
    message.mStore = store_position{ mState.mRunners.End(), mState.mRoutes->Config().mVersion };
    message.mListReadAt = mState.mRunners.CurrentAt();
    message.mSentAt = mState.Now();
    message.mRunners = RecentChanges();
    mLink.Broadcast(std::move(message));
  }
  /** Updates what depends on time. Call it several times a second. */
  void Tick()
  {
    if (mKnownSince == instant{ 0 } && Known()) {
      mKnownSince = mState.Now();
    }
    const bool outdated = Known() && mState.IsListOutdated();
    if (outdated != mIsListOutdated) {
      mIsListOutdated = outdated;
      LogEvent(outdated ? log_level::eWarning : log_level::eInfo,
               outdated ? "runners_outdated" : "runners_current",
               { { "age_ms", mState.ListAge().count() / 1000 },
                 { "most_ms", mState.MaxListAge().count() / 1000 } });
    }
  }

private:
  /** @return whether an instant, zero for never, is within kStoreRecoveryTime. */
  bool IsRecent(instant aInstant) const
  {
    return aInstant != instant{ 0 } && mState.Now() - aInstant < kStoreRecoveryTime;
  }
  /** @return whether this daemon must read because no reader has reported for too long. */
  bool ShouldTakeOver() const
  {
    const instant now = mState.Now();
    const duration quiet = now - std::max(mState.mPeerStorePositionAt, mKnownSince);
    if (quiet < kReportLifetime) {
      return false;
    }
    const std::size_t rank = mLink.RankInHall(); // Expensive: it counts all members.
    if (rank == 0) {
      return false;
    }
    if (rank >= kMaxReaders && now - mState.mPeerStoreSilentAt < kReportLifetime) {
      return now >= mProbeAt;
    }
    return quiet >=
           kReportLifetime + kTakeOverStep * static_cast<std::int64_t>(std::min(rank, kMaxReaders));
  }
  /** Runner changes from one read. */
  struct read_changes
  {
    instant mAt{ 0 };                ///< When it was read.
    store_mark mFrom;                ///< Position of the runner table before the read.
    std::vector<std::string> mNames; ///< Names of the runners that changed.
  };

  /** @return the recent runner changes; nothing if there are none, or too many for a datagram. */
  std::optional<runner_changes> RecentChanges() const
  {
    if (mChanges.empty()) {
      return std::nullopt;
    }
    runner_changes changes;
    changes.mFrom = mChanges.front().mFrom;
    changes.mTo = mChangesEnd; // Not the position of the table, which may come from a report.
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

  forward_state& mState; ///< State shared by the parts of the daemon.
  daemon_link& mLink;    ///< Exchanges reports with the other daemons.
  /** When a call last failed or the store was found to be rolled back; zero if never. */
  instant mLastFailureAt{ 0 };
  instant mLastAwayAt{ 0 };        ///< When the store was last found to be away; zero if never.
  instant mRunnersAnsweredAt{ 0 }; ///< When a read of the runners was last answered.
  /** Since when reported runner changes haven't arrived; zero if none are missing. */
  instant mBehindSince{ 0 };
  /** Since when this daemon has a configuration and runners; zero before. */
  instant mKnownSince{ 0 };
  instant mTakeOverUntil{ 0 }; ///< Until when this daemon reads after taking over.
  instant mProbeAt{ 0 };       ///< When to try a store that is reported to be silent.
  /** Changes of the last kChangesResendPeriod, oldest first, without a gap. */
  std::deque<read_changes> mChanges;
  store_mark mChangesEnd;         ///< Position reached by applying mChanges.
  bool mRunnerReadFailed = false; ///< The last read of the runners failed.
  bool mRunnersKnown = false;     ///< A non-empty list of runners was read.
  bool mIsListOutdated = false;   ///< The list was outdated at the last Tick().
  bool mIsAnswering = true;       ///< The store answered the last call.
  bool mConfigTimedOut = false;   ///< The last read of the configuration timed out.
};

} // namespace dunehook
