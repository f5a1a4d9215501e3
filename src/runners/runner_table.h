/**
 * @file runner_table.h
 * The table of runners: which there are, which may be given new work, and how they have done.
 * Pure: it's told of listings and outcomes with their instants.
 */
#pragma once

#include "routing/config_type.h"
#include "runners/runner_type.h"
#include "runners/send_type.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** A runner as this daemon sees it. */
struct runner_state
{
  service_runner_id mId;       ///< Its id.
  runner_entry mEntry;         ///< As last listed.
  bool mListed = true;         ///< It was in the newest listing.
  instant mUnlistedAt{ 0 };    ///< When it was first missing.
  instant mGraceUntil{ 0 };    ///< Missing since the store went back: not gone before this.
  bool mGone = false;          ///< Missing for longer than a lapse may last.
  bool mDraining = false;      ///< It said that it leaves; never false again within this life.
  instant mPausedUntil{ 0 };   ///< It told this daemon that it wants nothing before this.
  std::uint32_t mUnderWay = 0; ///< Requests of this daemon there.
  double mFailureShare = 0.0;  ///< Of late, by outcome; within 0 and 1.
  instant mAvoidUntil{ 0 };    ///< No new work before this.
  instant mRoleChangeUntil{
    0
  };                           ///< It was ordered to another role: no work until its entry changes.
  std::uint32_t mRefusals = 0; ///< Refusals since it last served.
  instant mMisdirectedUntil{ 0 }; ///< Its entry is out of date: no work until it changes.
  duration mBackOff{ 0 };         ///< Last span of avoidance; grows while it stays unreachable.
  instant mProbeUntil{
    0
  }; ///< A request finds out whether it's reached again: no other until then.
};

/** The table. */
class runner_table
{
public:
  /**
   * Applies a read of the discovery. One that is older than an earlier read is ignored. A store
   * that has come back from an older copy may lack entries and hold older ones until their writers
   * have written them again. So for a while a runner that is missing is kept, and what contradicts
   * what is known is left open: a life that is gone doesn't come back, and an entry isn't replaced.
   * @param aAway whether the store was away lately, so that entries may have lapsed unasked.
   * @return ids of runners that are new, or that changed what they are.
   */
  std::vector<service_runner_id> Apply(const runner_listing& aListing, instant aNow, bool aAway);

  /**
   * Applies what another daemon has read. Nothing happens unless this table is between the two
   * positions of the changes.
   * @param aAway as for Apply().
   * @return ids of runners that changed.
   */
  std::vector<service_runner_id> ApplyChanges(const runner_changes& aChanges,
                                              instant aNow,
                                              bool aAway);

  /** Drops runners that are gone and have no work left, and takes in what was left open; call it
   * each tick. @return ids of runners that changed. */
  std::vector<service_runner_id> RemoveGone(instant aNow, bool aAway);

  runner_state* Find(service_runner_id aId);
  const runner_state* Find(service_runner_id aId) const;
  /** @return the newest life of a runner, or null. */
  runner_state* FindNamed(const std::string& aName);
  const runner_state* FindNamed(const std::string& aName) const;

  /** @return whether the runner may be given new work, by whichever daemon. */
  bool TakesWork(const runner_state& aRunner, instant aNow) const;
  /** @return whether this daemon may send the runner anything new: it neither leaves nor has told
   * this daemon that it wants nothing now. */
  bool MayReceive(const runner_state& aRunner, instant aNow) const;
  /** @return runners with an entry that MayReceive() nothing: for whoever chooses for this daemon.
   */
  std::vector<service_runner_id> Barred(instant aNow) const;
  /** @return when the first runner of a service that doesn't leave wants requests again; past if
   * one does now. @pre HasRunner(). */
  instant AcceptsRequestsFrom(const std::string& aService) const;

  /**
   * Chooses a runner of a plain service: the least loaded of those that do well.
   * @param aTried runners that this request was sent to.
   * @param aDraw a number from 0 up to 1 that breaks ties.
   * @return null if none may be given work.
   */
  runner_state* Choose(const std::string& aService,
                       const std::set<service_runner_id>& aTried,
                       instant aNow,
                       double aDraw);

  /** @return whether the service has a runner that isn't leaving, though it may rest. */
  bool HasRunner(const std::string& aService) const;

  /** Notes that an engine took an order to change its role: it gives no new work a place. */
  void NoteRoleChange(service_runner_id aId, instant aUntil);

  /** Notes engines that a generation was given: of one that wasn't reached lately this is a trial,
   * and others are kept off it until the trial's outcome is known. */
  void NoteProbes(const std::vector<service_runner_id>& aEngines, instant aNow);
  /** Notes that an engine was reached: a trial is over. */
  void NoteReached(service_runner_id aId);

  /** Notes that a runner said itself that it leaves. The list may tell it late: the store may be
   * away for longer than the runner serves on. @return whether that's news. */
  bool NoteLeaves(service_runner_id aId);
  /** Notes that a runner wants nothing from this daemon before an instant. */
  void NotePause(service_runner_id aId, instant aUntil);

  /** Notes how a send ended. */
  void NoteOutcome(service_runner_id aId, send_outcome aOutcome, instant aNow);

  const std::unordered_map<service_runner_id, runner_state>& Rows() const { return mRunners; }
  const store_mark& End() const { return mEnd; }

private:
  /** The newest life of a runner. */
  struct newest_incarnation
  {
    service_runner_id mId;   ///< Its id.
    std::uint64_t mBorn = 0; ///< When it began, in ms; never goes down.
  };

  /** A life whose row was dropped. */
  struct ended_incarnation
  {
    instant mAt{ 0 };   ///< When.
    bool mLeft = false; ///< It had said that it leaves.
  };

  /** Notes the position of a read. @return whether the store has gone back since the last one. */
  bool Advance(const store_mark& aEnd, instant aNow);
  /** @return whether an entry of an older copy contradicts what is known. */
  bool Contradicts(const runner_entry& aEntry) const;
  /** Takes in an entry, and adds the lives that change by it to @p aChanged. */
  void ApplyEntry(const runner_entry& aEntry,
                  instant aNow,
                  std::vector<service_runner_id>& aChanged);
  /** Ends the life before @p aEntry of the same runner, if there's one. @return whether @p aEntry
   * is of a life before the newest one known. */
  bool EndFormerIncarnation(const runner_entry& aEntry,
                            instant aNow,
                            std::vector<service_runner_id>& aChanged);
  /** Notes that a runner has no entry. @param aWentBack since the store came back older. */
  void MarkUnlisted(runner_state& aRunner, instant aNow, bool aWentBack);
  /** Marks runners as gone that are missing for longer than a lapse may last. */
  void MarkGone(instant aNow, bool aAway);

  std::unordered_map<service_runner_id, runner_state> mRunners; ///< By id.
  std::map<std::string, newest_incarnation>
    mNewestIncarnations;                     ///< By name; outlives the life's row.
  std::set<service_runner_id> mSelfReported; ///< Rows that may be barred: those that told anything.
  std::map<service_runner_id, ended_incarnation>
    mEndedIncarnations; ///< Lives whose rows were dropped.
  std::vector<runner_entry>
    mDeferredEntries;         ///< Entries that contradict what is known, until mReconciledAt.
  instant mReconciledAt{ 0 }; ///< When an older copy has been written up to date.
  store_mark mEnd;            ///< Position of the newest read; never goes down.
};

} // namespace dunehook
