/**
 * @file memory_forecast.cpp
 * Survival probabilities of runs and the sums of the tokens that they hold.
 */
#include "placement/memory_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dunehook {

namespace {

/** Weight of a finished run; about the last hundred runs count. */
constexpr double kNewRunWeight = 0.02;
/** Limits of the spread, so that a few unusual answers don't distort the forecast. */
constexpr double kMinSpread = 0.2;
constexpr double kMaxSpread = 1.2;
/** Number of instants at which a forecast is evaluated. */
constexpr int kSteps = 10;
/** The forecast ends one standard deviation above the median, when five of six new runs have ended.
 */
constexpr double kHorizonSpreads = 1.0;

/** @return the probability that a standard normal variable is above @p aValue. */
double
NormalTailProbability(double aValue)
{
  return 0.5 * std::erfc(aValue / std::sqrt(2.0));
}

} // namespace

void
answer_length_model::Learn(double aGuess, double aMade)
{
  if (aGuess <= 0.0 || aMade <= 0.0) {
    return;
  }
  const double off = std::log(aMade / aGuess) - mBias;
  mBias += kNewRunWeight * off;
  mVariance += kNewRunWeight * (off * off - mVariance);
}

double
answer_length_model::Spread() const
{
  return std::clamp(std::sqrt(mVariance), kMinSpread, kMaxSpread);
}

double
answer_length_model::MeanOf(double aGuess) const
{
  return aGuess * std::exp(mBias + mVariance / 2.0);
}

memory_forecast::memory_forecast(const std::vector<forecast_run>& aRuns,
                                 double aMicrosPerToken,
                                 const answer_length_model& aModel)
  : mMicrosPerToken(std::max(1.0, aMicrosPerToken))
  , mBias(aModel.Bias())
  , mSpread(aModel.Spread())
{
  mRuns.reserve(aRuns.size());
  for (const forecast_run& run : aRuns) {
    mRuns.push_back(Prepare(run));
  }
}

memory_forecast::prepared_run
memory_forecast::Prepare(const forecast_run& aRun) const
{
  prepared_run watched;
  watched.mRun = aRun;
  watched.mMedian = std::log(std::max(1.0, aRun.mGuess)) + mBias;
  watched.mProbabilityReached =
    aRun.mGenerated > 1.0 ? ProbabilityLonger(watched.mMedian, aRun.mGenerated) : 1.0;
  return watched;
}

double
memory_forecast::ProbabilityLonger(double aMedian, double aTokens) const
{
  return NormalTailProbability((std::log(aTokens) - aMedian) / mSpread);
}

double
memory_forecast::SurvivalProbability(const prepared_run& aRun, double aTokens) const
{
  const forecast_run& run = aRun.mRun;
  if (run.mMaxTokens > 0.0 && aTokens >= run.mMaxTokens) {
    return 0.0;
  }
  if (aTokens <= run.mGenerated) {
    return 1.0;
  }
  // Far beyond the estimate the probabilities are too small for the division. Such a run is taken
  // to end at a uniformly distributed length up to twice its current one.
  return aRun.mProbabilityReached < 1e-6
           ? std::max(0.0, 1.0 - (aTokens - run.mGenerated) / run.mGenerated)
           : ProbabilityLonger(aRun.mMedian, aTokens) / aRun.mProbabilityReached;
}

void
memory_forecast::Add(const prepared_run& aRun, double aAfterMicros, token_sum& aSum) const
{
  const forecast_run& run = aRun.mRun;
  const double grown = std::max(0.0, aAfterMicros - run.mDelay) / mMicrosPerToken;
  const double made = run.mGenerated + grown;
  const double held = run.mPrompt + made;
  const double there = SurvivalProbability(aRun, made);
  aSum.mMean += held * there;
  aSum.mVariance += held * held * there * (1.0 - there);
}

double
memory_forecast::Peak(const forecast_run& aNewcomer, double aCaution) const
{
  return PeakUntilAbove(aNewcomer, aCaution, std::numeric_limits<double>::max());
}

bool
memory_forecast::Fits(const forecast_run& aNewcomer, double aCaution, double aMemory) const
{
  return PeakUntilAbove(aNewcomer, aCaution, aMemory) <= aMemory;
}

double
memory_forecast::PeakUntilAbove(const forecast_run& aNewcomer,
                                double aCaution,
                                double aEnough) const
{
  const double likely = aNewcomer.mGuess * std::exp(mBias + kHorizonSpreads * mSpread);
  const double tokens =
    aNewcomer.mMaxTokens > 0.0 ? std::min(aNewcomer.mMaxTokens, likely) : likely;
  const double horizon = std::max(0.0, aNewcomer.mDelay) + tokens * mMicrosPerToken;
  const prepared_run newcomer = Prepare(aNewcomer);
  double peak = 0.0;
  for (int step = 0; step < kSteps && peak <= aEnough; ++step) {
    const double at = horizon * step / kSteps;
    token_sum sum;
    for (const prepared_run& run : mRuns) {
      Add(run, at, sum);
    }
    Add(newcomer, at, sum);
    peak = std::max(peak, sum.mMean + aCaution * std::sqrt(sum.mVariance));
  }
  return peak;
}

} // namespace dunehook
