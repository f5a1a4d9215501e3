/**
 * @file load_engines.h
 * Simulated engines in virtual time for load tests. They hold what the runs really need, refuse
 * reservations that don't fit, and preempt the newest run when their memory is full, as the users'
 * engines do.
 */
#pragma once

#include "placement/placement.h"

#include <cmath>
#include <random>

namespace dunehook {

/** The engines of the users' largest deployment: 50 of 64 generate. */
inline constexpr std::size_t kDecodes = 50;
inline constexpr std::size_t kPrefills = 14;
inline constexpr double kEngineMemory = 62870.0;
inline constexpr std::uint32_t kEngineSlots = 24;
/** Tokens per microsecond that one run generates. */
inline constexpr double kPace = 1.0 / 750.0;
/** Tokens of prompts and answers: means, and standard deviations of the logarithm; kGuessSpread is
 * that of the estimate relative to the answer.
 */
inline constexpr double kPrompt = 5200.0;
inline constexpr double kPromptSpread = 0.5;
inline constexpr double kAnswer = 4416.0;
inline constexpr double kAnswerSpread = 0.7;
inline constexpr double kMaxAnswer = 10880.0;
inline constexpr double kGuessSpread = 0.5;
/** Time to read the prompt of a preempted run again. */
inline constexpr duration kPreemptedReadTime = std::chrono::milliseconds(200);

/** A run on an engine. */
struct load_run
{
  run_id mRun;             ///< Id of the run.
  double mPrompt = 0.0;    ///< Tokens held from the start.
  double mAnswer = 0.0;    ///< Tokens that it will generate.
  instant mFrom{ 0 };      ///< When it starts to generate.
  bool mPreempted = false; ///< Whether it was preempted before.

  double Made(instant aNow) const
  {
    const auto micros = static_cast<double>(std::max(duration{ 0 }, aNow - mFrom).count());
    return std::min(mAnswer, micros * kPace);
  }
};

/** What the engines did in one step. */
struct engine_step
{
  std::vector<load_run> mEnded; ///< Runs that ended.
  int mPreempted = 0;           ///< Runs preempted for the first time.
};

/** The simulated engines. */
class load_engines
{
public:
  static engine_traits Traits();
  /** @return a listing of @p aDecodes decode and @p aPrefills prefill engines. */
  static runner_listing List(std::size_t aDecodes, std::size_t aPrefills);

  /** @return false if the engine has no room for the reservation. */
  bool Reserve(service_runner_id aEngine,
               std::uint32_t aReserved,
               const load_run& aRun,
               instant aNow);
  /** Advances all runs to @p aNow and reports their progress to the table. */
  engine_step Step(placement_table& aTable, instant aNow);

private:
  std::unordered_map<service_runner_id, std::vector<load_run>> mRuns; ///< Runs by engine.
};

/** Draws random generations. */
class load_draw
{
public:
  /** @return number of arrivals in a step with @p aExpected arrivals on average. */
  int Count(double aExpected) { return std::poisson_distribution<int>(aExpected)(mRandom); }
  /** @return a number from 0 up to 1. */
  double Share() { return std::uniform_real_distribution<double>(0.0, 1.0)(mShares); }
  /** Draws the next generation. @param aAnswer is set to the tokens that it will generate. */
  generation_demand Next(double& aAnswer);

private:
  double Normal() { return std::normal_distribution<double>(0.0, 1.0)(mRandom); }
  /** @return a log-normal draw. @param aSpread standard deviation of the logarithm. */
  double Draw(double aMean, double aSpread)
  {
    return aMean * std::exp(aSpread * Normal() - aSpread * aSpread / 2.0);
  }

  std::mt19937_64 mRandom{ 7 }; ///< Fixed seed: the same load in each simulation.
  std::mt19937_64 mShares{ 8 }; ///< Separate, so that draws of shares don't change the load.
  std::uint64_t mIds = 0;       ///< Number of generations so far.
};

} // namespace dunehook
