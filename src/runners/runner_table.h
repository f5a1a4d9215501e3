/**
 * @file runner_table.h
 * The table of runners: which exist, which may be given new work, and how reliable they are. It
 * does no I/O: the caller passes in listings, outcomes and the time.
 */
#pragma once

#include "routing/config_type.h"
#include "runners/runner_type.h"
#include "runners/send_type.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** State of a runner as known to this daemon. */
struct runner_state
{
  service_runner_id mId;       ///< Its id.
  runner_entry mEntry;         ///< As last listed.
  bool mListed = true;         ///< It was in the newest listing.
  instant mGraceUntil{ 0 };    ///< Its entry may have lapsed while it serves: not gone before this.
  bool mGone = false;          ///< Missing for longer than an expired entry may be.
  bool mDraining = false;      ///< It announced its shutdown; final for an incarnation.
  instant mStayedAt{ 0 };      ///< Newest read before it left: it hadn't left by then.
  bool mHasCrashed = false;    ///< A daemon reported its crash, and it hasn't served since.
  instant mPausedUntil{ 0 };   ///< It asked this daemon to send nothing before this.
  std::uint32_t mUnderWay = 0; ///< Requests of this daemon running there.
  double mFailureShare = 0.0;  ///< Moving average of failed sends, from 0 to 1.
  instant mAvoidUntil{ 0 };    ///< No new work before this.
  instant mRoleChangeUntil{
    0
  }; ///< Its role is changing: no work before this, unless its entry changes.
  std::uint32_t mRefusals = 0; ///< Refusals since it last served a request.
  instant mMisdirectedUntil{
    0
  };                      ///< Its entry is outdated: no work before this, unless the entry changes.
  duration mBackoff{ 0 }; ///< Last backoff; grows while it's unreachable.
  instant mProbeUntil{
    0
  }; ///< A request probes whether it's reachable: no other request before this.
};

/** The runners known to this daemon, by incarnation. */
class runner_table
{
public:
  /**
   * Applies a read of service discovery. A read that is older than an earlier one is ignored. A
   * store that was restored from an older copy may lack entries and hold outdated ones until their
   * writers have written them again. So for kExpiryGrace a missing runner is kept, and entries that
   * contradict the table are deferred: they neither bring back a runner that is gone nor replace a
   * newer entry.
   * @param aAway whether the store was unreachable lately, so that entries may have expired: a
   * runner that is missing now is kept for kExpiryGrace.
   * @return ids of runners that are new, or that changed what they are.
   */
  std::vector<service_runner_id> Apply(const runner_listing& aListing, instant aNow, bool aAway);

  /**
   * Applies changes that another daemon has read. They are ignored unless this table's position is
   * within the range of the changes.
   * @param aAway as for Apply(), as the daemon that read them found.
   * @return ids of runners that changed.
   */
  std::vector<service_runner_id> ApplyChanges(const runner_changes& aChanges,
                                              instant aNow,
                                              bool aAway);

  /** Removes runners that are gone and have no work left, and applies deferred entries once their
   * time is over; to be called at each tick. @return ids of runners that changed. */
  std::vector<service_runner_id> RemoveGone(instant aNow);

  runner_state* Find(service_runner_id aId);
  const runner_state* Find(service_runner_id aId) const;
  /** @return the newest incarnation of a runner, or null. */
  runner_state* FindNamed(const std::string& aName);
  const runner_state* FindNamed(const std::string& aName) const;

  /** @return whether the runner may be given new work by any daemon. */
  bool TakesWork(const runner_state& aRunner, instant aNow) const;
  /** @return whether this daemon may send new requests to the runner: it's neither shutting down
   * nor has it asked this daemon to pause. */
  bool MayReceive(const runner_state& aRunner, instant aNow) const;
  /** @return known runners that this daemon may not send to (see MayReceive()). Whoever places
   * requests for this daemon has to exclude them. */
  std::vector<service_runner_id> Barred(instant aNow) const;
  /**
   * @param aHeld runners that accept none before an instant for another reason.
   * @param aSoftware only runners of this version of the software; none: of any.
   * @return when the first runner of a service accepts requests from this daemon again, leaving out
   * those that shut down; in the past if one accepts them now.
   * @pre HasRunner().
   */
  instant AcceptsRequestsFrom(const std::string& aService,
                              const std::map<service_runner_id, instant>& aHeld,
                              software_id aSoftware = {}) const;

  /**
   * Chooses a runner of a plain service by its load and its share of failures.
   * @param aExcluded runners that this request can't be sent to, or was sent to already.
   * @param aDraw a number from 0 up to 1 that breaks ties.
   * @param aSoftware only runners of this version of the software; none: of any.
   * @return null if none may be given work.
   */
  runner_state* Choose(const std::string& aService,
                       const std::set<service_runner_id>& aExcluded,
                       instant aNow,
                       double aDraw,
                       software_id aSoftware = {});

  /** @return whether the service has a runner that answers callers and isn't shutting down, even if
   * it's paused or avoided now. @param aSoftware only of this version of the software; none: of
   * any.
   */
  bool HasRunner(const std::string& aService, software_id aSoftware = {}) const;

  /** @return the runners of a service that aren't shutting down. */
  std::vector<const runner_state*> RunnersOf(const std::string& aService) const;
  /** @return how many of these have a role, or any, and a correct entry that isn't about to change:
   * others aren't tried. */
  std::size_t CountRunners(const std::string& aService,
                           std::optional<engine_role> aRole,
                           instant aNow) const;

  /** @return whether the runner is shutting down or gone, and since when it may be: from the newest
   * read that found it well. */
  static std::optional<instant> MayHaveLeftAt(const runner_state& aRunner)
  {
    const bool left = aRunner.mDraining || !aRunner.mListed;
    return left ? std::optional(aRunner.mStayedAt) : std::nullopt;
  }

  /** Records that an engine accepted an order to change its role: it's given no new work. */
  void NoteRoleChange(service_runner_id aId, instant aUntil);

  /** Records that a generation was sent to some engines. For an engine that was unreachable lately
   * it's a probe: no other request is sent there until the outcome is known. */
  void NoteProbes(const std::vector<service_runner_id>& aEngines, instant aNow);
  /** Records that an engine was reached, which ends a probe. */
  void NoteReached(service_runner_id aId);

  /** Records that a runner announced its own shutdown. The listing may show it too late: the store
   * may be unreachable for longer than the runner keeps serving. @return whether it's new. */
  bool NoteLeaves(service_runner_id aId);
  /** Records that a runner asked this daemon to send nothing before an instant. */
  void NotePause(service_runner_id aId, instant aUntil);

  /** Records that a runner is reported to have crashed. */
  void NoteCrashed(service_runner_id aId);

  /** Records how a send ended. */
  void NoteOutcome(service_runner_id aId, send_outcome aOutcome, instant aNow);

  /** @return the versions of the software that runners of a service have had since @p aSince, as
   * far as this table reaches back. */
  std::set<software_id> SoftwareSince(const std::string& aService, instant aSince) const;
  /** @return whether this table reaches back to @p aSince. */
  bool ReachesBackTo(instant aSince) const
  {
    return mFirstReadAt != instant{ 0 } && mFirstReadAt <= aSince;
  }

  const std::unordered_map<service_runner_id, runner_state>& Rows() const { return mRunners; }
  const store_mark& End() const { return mEnd; }
  /**
   * Records that a read of the store found the list to end at a position.
   * @param aBegan when the read began: what was stored before is in the list.
   */
  void NoteRead(const store_mark& aEnd, instant aBegan)
  {
    if (aEnd <= mEnd) {
      mCurrentAt = std::max(mCurrentAt, aBegan);
    }
  }
  /** @return when the newest read began whose result this table contains, by any daemon; zero if
   * none. */
  instant CurrentAt() const { return mCurrentAt; }

private:
  /** The newest incarnation of a runner. */
  struct newest_incarnation
  {
    service_runner_id mId;   ///< Its id.
    std::uint64_t mBorn = 0; ///< When it began, in ms; never goes down.
  };

  /** An incarnation that was removed from the table. */
  struct ended_incarnation
  {
    instant mAt{ 0 };   ///< When it was removed.
    bool mLeft = false; ///< It had announced its shutdown.
  };

  /** Records the position of a read. @return whether the store was restored from an older copy
   * since the last one. */
  bool Advance(const store_mark& aEnd, instant aNow);
  /** @return whether an entry of a restored copy contradicts the table. */
  bool Contradicts(const runner_entry& aEntry) const;
  /** Applies an entry, and adds the incarnations that it changes to @p aChanged. */
  void ApplyEntry(const runner_entry& aEntry,
                  instant aNow,
                  std::vector<service_runner_id>& aChanged);
  /** Ends the runner's previous incarnation if @p aEntry is of a newer one. @return whether
   * @p aEntry is outdated: of an incarnation before the newest known. */
  bool EndEarlierIncarnation(const runner_entry& aEntry,
                             instant aNow,
                             std::vector<service_runner_id>& aChanged);
  /** Records, before its row is changed, that a runner leaves or is missing from the list. */
  void NoteLeft(runner_state& aRunner) const;
  /** Records that a runner has no entry. @param aMayBeLapse it may serve nevertheless. */
  void MarkUnlisted(runner_state& aRunner, instant aNow, bool aMayBeLapse);
  /** Records the software of a runner that has ended, or now has another one. */
  void NoteFormerSoftware(const runner_entry& aEntry, instant aNow);
  /** Marks runners as gone that are missing for longer than an expired entry may be. */
  void MarkGone(instant aNow);

  std::unordered_map<service_runner_id, runner_state> mRunners; ///< By id.
  std::map<std::string, newest_incarnation>
    mNewestIncarnations; ///< By name; outlives the row in mRunners.
  std::set<service_runner_id>
    mSelfReported; ///< Runners that announced a shutdown or pause: candidates for Barred().
  std::map<service_runner_id, ended_incarnation>
    mEndedIncarnations; ///< Incarnations that were removed.
  std::vector<runner_entry>
    mDeferredEntries; ///< Entries that contradict the table, until mReconciledAt.
  /** When a runner of a service last had a version that it doesn't have now, by both. */
  std::map<std::pair<std::string, software_id>, instant> mFormerSoftware;
  instant mFirstReadAt{ 0 };  ///< When the first list was applied; zero before.
  instant mCurrentAt{ 0 };    ///< See CurrentAt(); never goes down.
  instant mReconciledAt{ 0 }; ///< When a restored copy is up to date again.
  store_mark mEnd;            ///< Position of the newest read; never goes down.
};

} // namespace dunehook
