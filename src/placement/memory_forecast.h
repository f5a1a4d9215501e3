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
class answer_length_model
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
struct forecast_run
{
  double mPrompt = 0.0;    ///< Tokens held from the start.
  double mGenerated = 0.0; ///< Tokens made.
  double mGuess = 1.0;     ///< Guessed tokens of the whole answer.
  double mMaxTokens = 0.0; ///< Most tokens of the answer; 0 if unknown.
  double mDelay = 0.0;     ///< Microseconds until it goes on growing; negative if it has since.
};

/** The forecast of one engine. */
class memory_forecast
{
public:
  /**
   * @param aRuns runs on the engine.
   * @param aMicrosPerToken time of one token of a run.
   */
  memory_forecast(const std::vector<forecast_run>& aRuns,
                  double aMicrosPerToken,
                  const answer_length_model& aModel);

  /**
   * @param aNewcomer a run to add.
   * @param aCaution spreads added to the expected sum.
   * @return the highest sum of tokens while the newcomer is likely to run.
   */
  double Peak(const forecast_run& aNewcomer, double aCaution) const;
  /** @return whether the peak stays within @p aMemory tokens. */
  bool Fits(const forecast_run& aNewcomer, double aCaution, double aMemory) const;

private:
  /** Sum of expected tokens, and of their variances. */
  struct token_sum
  {
    double mMean = 0.0;     ///< Tokens.
    double mVariance = 0.0; ///< Tokens squared.
  };

  /** @return the highest sum, or any that is above @p aEnough. */
  double PeakUntilAbove(const forecast_run& aNewcomer, double aCaution, double aEnough) const;
  /** A run with what doesn't change from one instant of the forecast to the next. */
  struct prepared_run
  {
    forecast_run mRun;    ///< The run.
    double mMedian = 0.0; ///< Of the logarithm of its answer's length.
    double mProbabilityReached =
      1.0; ///< Chance that an answer of its guess is as long as it's by now.
  };

  prepared_run Prepare(const forecast_run& aRun) const;
  /** @return chance that an answer with a median is longer than @p aTokens. */
  double ProbabilityLonger(double aMedian, double aTokens) const;
  double SurvivalProbability(const prepared_run& aRun, double aTokens) const;
  void Add(const prepared_run& aRun, double aAfterMicros, token_sum& aSum) const;

  double mMicrosPerToken;          ///< Above zero.
  double mBias;                    ///< Of the guesses.
  double mSpread;                  ///< Of the guesses.
  std::vector<prepared_run> mRuns; ///< On the engine.
};

} // namespace dunehook
