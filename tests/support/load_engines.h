/**
 * @file load_engines.h
 * Engines in virtual time for tests that play a load: they hold what runs really take, refuse
 * reservations that don't fit, and put back the newest run when their memory is full, as the users'
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
/** Tokens a microsecond that one run makes. */
inline constexpr double kPace = 1.0 / 750.0;
/** Prompts and answers: means, and spreads of the logarithm; the guess's spread around the answer.
 */
inline constexpr double kPrompt = 5200.0;
inline constexpr double kPromptSpread = 0.5;
inline constexpr double kAnswer = 4416.0;
inline constexpr double kAnswerSpread = 0.7;
inline constexpr double kMaxAnswer = 10880.0;
inline constexpr double kGuessSpread = 0.5;
/** A run that was put back is read anew for so long. */
inline constexpr duration kPreemptedReadTime = std::chrono::milliseconds(200);

/** A run on an engine. */
struct load_run
{
  run_id mRun;             ///< Its id.
  double mPrompt = 0.0;    ///< Tokens held from the start.
  double mAnswer = 0.0;    ///< Tokens that it will make.
  instant mFrom{ 0 };      ///< When it generates.
  bool mPreempted = false; ///< It was put back once.

  double Made(instant aNow) const
  {
    const auto micros = static_cast<double>(std::max(duration{ 0 }, aNow - mFrom).count());
    return std::min(mAnswer, micros * kPace);
  }
};

/** What the engines did in one step. */
struct engine_step
{
  std::vector<load_run> mEnded; ///< Runs that are done.
  int mPreempted = 0;           ///< Runs put back for the first time.
};

/** The engines. */
class load_engines
{
public:
  static engine_traits Traits();
  /** @return a listing of @p aDecodes engines that generate and @p aPrefills that read. */
  static runner_listing List(std::size_t aDecodes, std::size_t aPrefills);

  /** @return false if the engine has no room for the reservation. */
  bool Reserve(service_runner_id aEngine,
               std::uint32_t aReserved,
               const load_run& aRun,
               instant aNow);
  /** Runs go on: the table is told how far they are. */
  engine_step Step(placement_table& aTable, instant aNow);

private:
  std::unordered_map<service_runner_id, std::vector<load_run>> mRuns; ///< By engine.
};

/** Draws generations. */
class load_draw
{
public:
  /** @return arrivals in a step in which so many are expected. */
  int Count(double aExpected) { return std::poisson_distribution<int>(aExpected)(mRandom); }
  /** @return a number from 0 up to 1. */
  double Share() { return std::uniform_real_distribution<double>(0.0, 1.0)(mShares); }
  /** Draws the next generation. @param aAnswer becomes the tokens that it will make. */
  generation_demand Next(double& aAnswer);

private:
  double Normal() { return std::normal_distribution<double>(0.0, 1.0)(mRandom); }
  /** @return a draw with a mean and a spread of the logarithm. */
  double Draw(double aMean, double aSpread)
  {
    return aMean * std::exp(aSpread * Normal() - aSpread * aSpread / 2.0);
  }

  std::mt19937_64 mRandom{ 7 }; ///< The same load for all that play it.
  std::mt19937_64 mShares{ 8 }; ///< Apart, so that draws of shares don't change the load.
  std::uint64_t mIds = 0;       ///< Generations so far.
};

} // namespace dunehook
