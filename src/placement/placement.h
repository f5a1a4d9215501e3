/**
 * @file placement.h
 * Places generations on engines. Memory of the decode engines is what is scarce: a generation
 * takes its prompt's tokens at once and grows by a token at each step until it ends. So the table
 * holds every run with its expected end, also those that other daemons told of, and a place is
 * given only where the sum stays within the engine's memory until the newcomer has ended.
 * What daemons know of each other lags; the engine's own reservation is the truth.
 * Pure: no I/O, no clock.
 */
#pragma once

#include "placement/learned_mean.h"
#include "placement/memory_forecast.h"
#include "placement/placement_type.h"
#include "placement/prompt_queue.h"
#include "placement/reading_pauses.h"
#include "placement/size_balance.h"
#include "runners/runner_table.h"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** @return the run that a choice makes of a demand. @param aDaemon that placed it; 0 is this one.
 */
run_record
RunOf(const generation_demand& aDemand,
      const placement_choice& aChoice,
      std::uint64_t aDaemon,
      instant aNow);

/** The table of runs and of the engines' measured speeds. */
class placement_table
{
public:
  explicit placement_table(placement_tuning aTuning = {})
    : mTuning(aTuning)
  {
  }

  /** Looks for a place. Nothing is taken: see Begin().
   * @param aWantsTime the time until there's a place is wanted, if there's none. */
  placement_answer Choose(const generation_demand& aDemand,
                          const engine_traits& aTraits,
                          const runner_table& aRunners,
                          instant aNow,
                          bool aWantsTime = true) const;

  /** Notes a run that was placed here or by another daemon. */
  void Begin(const run_record& aRun, instant aNow);
  /** Notes that a request was refused, here or by another daemon. */
  void NoteRefused(std::uint32_t aPromptTokens, std::uint32_t aAnswerTokens);
  /** Notes how far a run of this daemon has come. */
  void Progress(run_id aRun, std::uint32_t aMadeTokens, instant aNow);
  /** Notes that a run has ended, or was never begun. */
  void End(run_id aRun);
  /** Notes that a run's prompt was read just now, and how long the engine took in all. */
  void NoteRead(run_id aRun, service_runner_id aPrefill, duration aTook, instant aNow);
  /** Notes the length and pace of a finished run, and what reads beside it did to its events. */
  void NoteFinished(const finished_run& aRun, instant aNow);
  /** Notes that an engine had no room: what is known of it was wrong. It rests, for longer the more
   * often it says so; what was asked before the rest changes nothing. */
  void NoteFull(service_runner_id aDecode, instant aNow);
  /** Notes that an engine has given a place. */
  void NoteRoom(service_runner_id aDecode);
  /** Replaces what a daemon told of its runs. */
  void ReplaceRuns(std::uint64_t aDaemon, const std::vector<run_record>& aRuns, instant aNow);
  /** Drops runs whose expected end lies far back, and those of engines that are gone. */
  void Prune(const runner_table& aRunners, instant aNow);

  /** @return runs that this daemon placed. */
  std::vector<run_record> OwnRuns() const;
  /** @return what engines have to do and how quickly they do it. */
  engine_work Work() const;
  std::size_t RunCount() const { return mRuns.size(); }
  /** @return tokens reserved at the engine for a demand. */
  std::uint32_t ReservedTokens(const generation_demand& aDemand) const;

private:
  /** A decode engine's measured pace and recent refusals. */
  struct decode_state
  {
    double mMicrosPerToken = 800.0; ///< Time for a token of one run; a first guess until measured.
    instant mFullUntil{ 0 };        ///< It said that it has no room, and rests.
    duration mFullBackoff{ 0 };     ///< Its last rest; zero once it has given a place.
    instant mReadsUntil{ 0 };       ///< Expected end of its last read of a prompt.
  };
  /** The runs of an engine that generates. */
  struct engine_runs
  {
    std::set<run_id> mRuns;             ///< Each is in the table of runs.
    std::uint64_t mCommittedTokens = 0; ///< Tokens: their prompts, and their answers as guessed.
  };
  /** All work that an engine was given, see engine_load. */
  struct assigned_work
  {
    double mReadTokens = 0.0; ///< Of prompts.
    double mHeldTokens = 0.0; ///< Of runs.
  };
  /** An engine that could read a demand's prompt. */
  struct read_option
  {
    const runner_state* mEngine = nullptr; ///< The engine.
    std::uint64_t mVersion = 0;            ///< Of its weights.
    duration mRead{ 0 };                   ///< Expected time until it has read the prompt.
    double mFailureCostMicros = 0.0;       ///< What its failures weigh, as waiting.

    double Cost() const { return static_cast<double>(mRead.count()) + mFailureCostMicros; }
  };
  /** Engines that may be given a demand. */
  struct candidate_engines
  {
    std::vector<read_option> mReaders;         ///< They read prompts; the cheapest first.
    std::vector<const runner_state*> mDecodes; ///< They generate.
  };
  /** The best place so far. */
  struct best_placement
  {
    double mCost = std::numeric_limits<double>::max(); ///< In microseconds of waiting.
    std::optional<placement_choice> mChoice;           ///< None yet.
  };

  candidate_engines UsableEngines(const generation_demand& aDemand,
                                  const runner_table& aRunners,
                                  instant aNow) const;
  /** @return the memory that a demand may fill: large ones leave some to smaller ones. */
  double MemoryFor(const generation_demand& aDemand, const engine_traits& aTraits) const;
  /** Keeps the decode engines that are worth a look, if there are very many. */
  void KeepMostPromising(candidate_engines& aSets,
                         const generation_demand& aDemand,
                         const engine_traits& aTraits,
                         instant aNow) const;
  /** @return whether the engine takes no run now, whatever the run's size. */
  bool AcceptsNoRuns(const runner_state& aDecode, const engine_traits& aTraits, instant aNow) const;
  /** @return spreads that the forecast adds for a demand. */
  double CautionFor(const generation_demand& aDemand) const;
  /** @return whether the demand fits into an engine's memory from @p aFrom on. */
  bool Fits(service_runner_id aDecode,
            const generation_demand& aDemand,
            double aMemory,
            instant aFrom) const;
  /** @return how long until the engine has room for the demand, zero if it has. */
  duration TimeUntilRoom(const runner_state& aDecode,
                         const generation_demand& aDemand,
                         const engine_traits& aTraits,
                         instant aNow) const;
  /** Compares the ways in which the prompt could be read for a decode engine. */
  void CompareReadOptions(const runner_state& aDecode,
                          const memory_forecast& aForecast,
                          const generation_demand& aDemand,
                          const engine_traits& aTraits,
                          const candidate_engines& aSets,
                          instant aNow,
                          best_placement& aBest) const;
  double MicrosPerToken(service_runner_id aDecode) const;
  /** @return when a run has most likely ended. */
  instant ExpectedEnd(const run_record& aRun) const;
  std::vector<const run_record*> RunsOn(service_runner_id aDecode) const;
  /** Notes what a run that is new here gives its engines to do. */
  void AddAssignedWork(const run_record& aRun, instant aNow);
  /** Takes a read that was never done out of an engine's queue. */
  void DropRead(const run_record& aRun);
  /** Takes a run out of both tables. */
  void Erase(run_id aRun);
  /** Takes out all runs for which @p aWanted holds. */
  template<typename Wanted>
  void EraseIf(Wanted aWanted)
  {
    std::vector<run_id> ids;
    for (const auto& [id, run] : mRuns) {
      if (aWanted(run)) {
        ids.push_back(id);
      }
    }
    std::for_each(ids.begin(), ids.end(), [this](run_id aRun) { Erase(aRun); });
  }
  /** @return the forecast of an engine from @p aFrom on. */
  memory_forecast ForecastOf(service_runner_id aDecode, instant aFrom) const;
  /** @return tokens a microsecond that an engine reads of which nothing was seen. */
  double ReadSpeed() const { return mReadSpeed.Or(kDefaultTokensPerMicro); }
  /** @return an engine's queue of reads; a new one takes its speed from the others. */
  prompt_queue& QueueOf(service_runner_id aPrefill);
  /** @return expected time until the prompt is read by an engine. */
  duration ReadTime(service_runner_id aPrefill, std::uint32_t aTokens, instant aNow) const;
  /** @return expected time in which a decode engine reads a prompt between its runs' tokens. */
  duration DecodeReadTime(std::uint32_t aTokens) const;
  /** @return how long until the demand fits into an engine's memory; the longest if it doesn't. */
  duration TimeUntilFits(service_runner_id aDecode,
                         const generation_demand& aDemand,
                         double aMemory,
                         instant aNow) const;

  placement_tuning mTuning;                     ///< Knobs.
  std::unordered_map<run_id, run_record> mRuns; ///< All runs known.
  /** Runs by the engine that generates; each run of mRuns once. */
  std::unordered_map<service_runner_id, engine_runs> mByEngine;
  std::unordered_map<service_runner_id, decode_state> mDecodes;       ///< By engine.
  std::unordered_map<service_runner_id, prompt_queue> mPrefills;      ///< By engine.
  std::unordered_map<service_runner_id, assigned_work> mAssignedWork; ///< By engine.
  size_balance mSizes;                                                ///< Large and small requests.
  answer_length_model mGuesses;                                       ///< Of the answers' length.
  learned_mean mReadSpeed; ///< Tokens a microsecond that engines read: of one that hasn't yet.
  learned_mean mPace;      ///< Microseconds for a token of a run, over all engines.
  reading_pauses mPauses;  ///< Of runs beside which their engine read a prompt.
};

} // namespace dunehook
