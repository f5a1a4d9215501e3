/**
 * @file soak_faults.h
 * Faults of a soak, drawn from a seed and injected from outside: signals to processes, the proxies
 * before runners and the store, and the stand-in's own misbehaviour. They come in series and
 * overlap; each has its time and its mend.
 */
#pragma once

#include "soak/soak_callers.h"

#include <functional>
#include <map>
#include <set>

namespace dunehook::soak {

/** Kinds of faults that aren't planned work. */
enum class fault_kind
{
  eProcess, ///< Kills and pauses.
  eNetwork, ///< Connections to runners and to the store.
  eRunner,  ///< What runners answer.
  eStore,   ///< What the store answers.
  eMemory,  ///< What the store and runners forget, and what others write.
  ePoison,  ///< Requests that crash the runners that run them.
  eLimit,   ///< Limits that runners name.
  eCut,     ///< Single daemons that reach no runner.
  eAll,     ///< Any of them.
};

/** The injector. */
class soak_faults
{
public:
  /** @param aOnly the one kind of unplanned faults to inject; eAll draws among the others. */
  soak_faults(test::fleet_bed& aBed, caller_world& aWorld, unsigned aSeed, fault_kind aOnly);

  /** Plays a span of faults: some are planned work only, others mix everything. */
  void PlayEpisode();
  /** Has the runners tell when they were born, where that is among what is played. */
  void TellBirths();
  /** Lets no runner name a limit any more. */
  void EndLimits();
  /** Mends everything: all daemons run, nothing is held up. */
  void MendAll();

  const std::vector<fault_record>& Faults() const { return mFaults; }
  const std::vector<drain_record>& Drains() const { return mDrains; }
  /** @return limits that runners named. */
  const std::vector<limit_record>& Limits() const { return mLimitRecords; }
  /** @return daemons that were cut off from all runners for long. */
  const std::vector<cut_record>& Cuts() const { return mCutRecords; }
  /** @return how a daemon of this soak is started. */
  test::platform_daemon_options DaemonOptions() const;
  /** @return how often each kind of fault was injected. */
  const std::map<std::string, int>& Counts() const { return mCounts; }
  /** @return daemons that ended by themselves, or didn't end as they should. */
  const std::vector<std::string>& BadEnds() const { return mBadEnds; }
  /** Sets up that requests may crash runners, or that engines frame nothing, where that is among
   * what is played. */
  void ArmRunners();
  /** @return runners that take work now, by id. */
  const std::vector<std::string>& Runners() const { return mRunners; }

private:
  /** Something to do at a time from the episode's start. */
  using timeline = std::multimap<std::int64_t, std::function<void()>>;

  int Draw(int aMost) { return std::uniform_int_distribution<int>(0, aMost - 1)(mRandom); }
  std::size_t DrawIndex(std::size_t aSize)
  {
    return static_cast<std::size_t>(Draw(static_cast<int>(aSize)));
  }
  /** @return times of a fault's begin and end within an episode. */
  std::pair<std::int64_t, std::int64_t> DrawSpan();
  void AddPlanned(timeline& aTimes);
  void AddUnplanned(timeline& aTimes);
  void AddProcessFault(timeline& aTimes);
  void AddNetworkFault(timeline& aTimes);
  void AddRunnerFault(timeline& aTimes);
  void AddStoreFault(timeline& aTimes);
  void AddMemoryFault(timeline& aTimes);
  void AddPoison(timeline& aTimes);
  void AddLimit(timeline& aTimes);
  void AddCut(timeline& aTimes);
  /** Cuts a daemon off from the runners of a service, or of all, for a time. */
  void CutFor(timeline& aTimes,
              std::size_t aDaemon,
              const std::string& aHow,
              const std::string& aService,
              std::pair<std::int64_t, std::int64_t> aSpan);
  /** Lets a runner name a limit, or none where @p aPerSecond is empty. */
  void SetLimit(const std::string& aRunner, std::optional<double> aPerSecond);
  /** Lets the store come back from an older copy; its writers write again later. */
  void LetStoreGoBack();
  /** Writes again what the store may have lost. */
  void WriteAgain();
  /** Lets a runner leave that says so in its answers alone. */
  void LeaveByAnswers();
  /** @return whether a runner takes work, as far as the soak has told it. */
  bool Works(const std::string& aRunner) const;
  /** Lets a runner begin anew under its id. */
  void Rebear(const std::string& aRunner);
  /** Writes what is no entry. @param aKey a key of nobody's, or a runner's. */
  void WriteRubbish(const std::string& aKey);
  /** @return the birth of a runner that begins now, in Unix ms; never the same twice. */
  std::uint64_t NextBirth();
  /** Lists a runner in a state, with the birth of its life. */
  void List(const std::string& aRunner, const std::string& aState);
  /** Adds a runner in place of another. @return the former one. */
  std::string Supersede();
  void Note(const std::string& aKind,
            std::optional<std::size_t> aDaemon,
            std::int64_t aFor,
            bool aPlanned);
  void StopAndStart(std::size_t aDaemon);
  void KillAndStart(std::size_t aDaemon);
  void Restart(std::size_t aDaemon);
  void ChangeConfig();
  void PutVersion(std::uint64_t aVersion);
  void ReplaceRunner();
  void CheckAlive();
  /** Looks for daemons that have taken more memory than a host has. */
  void CheckMemory();

  test::fleet_bed& mBed;                        ///< The deployment.
  caller_world& mWorld;                         ///< Shared with the callers.
  std::mt19937 mRandom;                         ///< From the seed.
  fault_kind mOnly;                             ///< Kind of unplanned faults, or eAll.
  bool mBytes;                                  ///< Bytes without an end and odd entries are.
  bool mCutHeads;                               ///< Answers that end in their heads are.
  bool mMemory;                                 ///< eMemory is among what is played.
  bool mPoisons;                                ///< ePoison is among what is played.
  bool mPoisonParts;                            ///< They are parts of prompts.
  bool mLimits;                                 ///< eLimit is among what is played.
  bool mFramesStreams;                          ///< Streams are chunked.
  bool mCuts;                                   ///< eCut is among what is played.
  std::vector<cut_record> mCutRecords;          ///< Daemons that were cut off for long.
  std::vector<limit_record> mLimitRecords;      ///< Limits that runners named.
  std::vector<std::string> mRunners;            ///< Ids of runners that take work.
  std::vector<fault_record> mFaults;            ///< What was done.
  std::vector<drain_record> mDrains;            ///< Runners told to leave.
  std::map<std::string, int> mCounts;           ///< Faults by kind.
  std::vector<std::string> mBadEnds;            ///< Ends that weren't ordered, in words.
  std::map<std::string, std::string> mDraining; ///< Runners whose entries go at the episode's end,
                                                ///< with the state that they're listed in.
  std::vector<std::string> mLeft;               ///< Runners whose entries have gone.
  std::uint64_t mBorn = 1;                      ///< Birth of the last runner that began anew.
  std::set<std::size_t> mPaused;                ///< Daemons that stand still.
  int mNextRunner = 0;                          ///< Makes ids of runners unique.
};

} // namespace dunehook::soak
