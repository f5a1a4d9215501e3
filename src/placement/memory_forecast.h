/**
 * @file memory_forecast.h
 * Forecast of an engine's memory. A generation holds its prompt and what it has made until it ends,
 * and nobody knows when it ends: the caller's guess is its median, and answers spread around it
 * like a log-normal. So the forecast sums, for some instants ahead, what each run would hold then
 * times the chance that it's still there, with the spread of the sum. Pure.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <vector>

namespace dunehook {

/** How answers relate to callers' guesses; learned from finished runs. */
class guess_model
{
public:
  /** Takes in a finished run. */
  void Learn(double aGuess, double aMade);
  /** @return mean of ln(made / guess). */
  double Bias() const { return mBias; }
  /** @return standard deviation of ln(made / guess). */
  double Spread() const;
  /** @return mean length of the answers with a guess. */
  double MeanOf(double aGuess) const;

private:
  double mBias = 0.0;      ///< Mean of the logarithm; the guess is taken for the median at first.
  double mVariance = 0.25; ///< Its variance; a first guess until learned.
};

/** A run that grows. */
struct growing_run
{
  double mPrompt = 0.0; ///< Tokens held from the start.
  double mMade = 0.0;   ///< Tokens made.
  double mGuess = 1.0;  ///< Guessed tokens of the whole answer.
  double mMost = 0.0;   ///< Most tokens of the answer; 0 if unknown.
  double mDelay = 0.0;  ///< Microseconds until it goes on growing; negative if it has since.
};

/** The forecast of one engine. */
class memory_forecast
{
public:
  /**
   * @param aRuns runs on the engine.
   * @param aMicrosPerToken time of one token of a run.
   */
  memory_forecast(const std::vector<growing_run>& aRuns,
                  double aMicrosPerToken,
                  const guess_model& aModel);

  /**
   * @param aNewcomer a run to add.
   * @param aCaution spreads added to the expected sum.
   * @return the highest sum of tokens while the newcomer is likely to run.
   */
  double Peak(const growing_run& aNewcomer, double aCaution) const;
  /** @return whether the peak stays within @p aMemory tokens. */
  bool Fits(const growing_run& aNewcomer, double aCaution, double aMemory) const;

private:
  /** Sum of expected tokens, and of their variances. */
  struct token_sum
  {
    double mMean = 0.0;     ///< Tokens.
    double mVariance = 0.0; ///< Tokens squared.
  };

  /** @return the highest sum, or any that is above @p aEnough. */
  double PeakUpTo(const growing_run& aNewcomer, double aCaution, double aEnough) const;
  /** A run with what doesn't change from one instant of the forecast to the next. */
  struct watched_run
  {
    growing_run mRun;         ///< The run.
    double mMedian = 0.0;     ///< Of the logarithm of its answer's length.
    double mReachedNow = 1.0; ///< Chance that an answer of its guess is as long as it's by now.
  };

  watched_run Watch(const growing_run& aRun) const;
  /** @return chance that an answer with a median is longer than @p aTokens. */
  double Reaches(double aMedian, double aTokens) const;
  double Survival(const watched_run& aRun, double aTokens) const;
  void Add(const watched_run& aRun, double aAfterMicros, token_sum& aSum) const;

  double mMicrosPerToken;         ///< Above zero.
  double mBias;                   ///< Of the guesses.
  double mSpread;                 ///< Of the guesses.
  std::vector<watched_run> mRuns; ///< On the engine.
};

} // namespace dunehook
