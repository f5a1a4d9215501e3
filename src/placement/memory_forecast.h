/**
 * @file memory_forecast.h
 * Forecast of an engine's memory use. A generation holds its prompt and the tokens generated so far
 * until it ends, at a time not known beforehand. The length of its answer is modelled as
 * log-normal, with the caller's estimate as the median. For several future instants the forecast
 * sums the tokens that each run would hold, weighted by the probability that it still runs, and the
 * variance of that sum. Pure: no I/O, no clock.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <vector>

namespace dunehook {

/** Distribution of answer lengths relative to the callers' estimates, learned from finished runs.
 */
class answer_length_model
{
public:
  /** Adds a finished run. @param aGuess estimated tokens. @param aMade tokens generated. */
  void Learn(double aGuess, double aMade);
  /** @return mean of ln(generated / estimated). */
  double Bias() const { return mBias; }
  /** @return standard deviation of ln(generated / estimated), limited to a plausible range. */
  double Spread() const;
  /** @return expected answer length in tokens for an estimate. */
  double MeanOf(double aGuess) const;

private:
  double mBias = 0.0;      ///< Mean of the logarithm; 0 takes the estimate as the median.
  double mVariance = 0.25; ///< Variance of the logarithm, starting from a default.
};

/** A run whose memory use is forecast. */
struct forecast_run
{
  double mPrompt = 0.0;    ///< Prompt tokens, held from the start.
  double mGenerated = 0.0; ///< Tokens generated so far.
  double mGuess = 1.0;     ///< Estimated tokens of the whole answer.
  double mMaxTokens = 0.0; ///< Upper limit of the answer's tokens; 0 if unknown.
  /** Microseconds until it generates again; negative if it has been generating since. */
  double mDelay = 0.0;
};

/** Memory forecast of one engine. */
class memory_forecast
{
public:
  /**
   * @param aRuns runs that the engine generates.
   * @param aMicrosPerToken time in which a run generates one token.
   */
  memory_forecast(const std::vector<forecast_run>& aRuns,
                  double aMicrosPerToken,
                  const answer_length_model& aModel);

  /**
   * @param aNewcomer a run that would be added.
   * @param aCaution standard deviations added to the expected sum as a safety margin.
   * @return the highest number of tokens held while the newcomer is likely to run.
   */
  double Peak(const forecast_run& aNewcomer, double aCaution) const;
  /** @return whether the peak is at most @p aMemory tokens. */
  bool Fits(const forecast_run& aNewcomer, double aCaution, double aMemory) const;

private:
  /** Expected value and variance of a sum of tokens. */
  struct token_sum
  {
    double mMean = 0.0;     ///< Tokens.
    double mVariance = 0.0; ///< Tokens squared.
  };

  /** @return the peak, or the first value found above @p aEnough: the rest needn't be computed. */
  double PeakUntilAbove(const forecast_run& aNewcomer, double aCaution, double aEnough) const;
  /** A run with the values that are the same at every instant of the forecast. */
  struct prepared_run
  {
    forecast_run mRun;    ///< The run.
    double mMedian = 0.0; ///< Median of the logarithm of its answer's length.
    /** Probability that an answer with its estimate reaches the current length. */
    double mProbabilityReached = 1.0;
  };

  prepared_run Prepare(const forecast_run& aRun) const;
  /** @return probability that an answer is longer than @p aTokens. @param aMedian of the logarithm
   * of its length. */
  double ProbabilityLonger(double aMedian, double aTokens) const;
  double SurvivalProbability(const prepared_run& aRun, double aTokens) const;
  void Add(const prepared_run& aRun, double aAfterMicros, token_sum& aSum) const;

  double mMicrosPerToken;          ///< Time of one token of a run; at least 1.
  double mBias;                    ///< answer_length_model::Bias().
  double mSpread;                  ///< answer_length_model::Spread().
  std::vector<prepared_run> mRuns; ///< Runs on the engine.
};

} // namespace dunehook
