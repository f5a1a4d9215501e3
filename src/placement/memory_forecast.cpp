/**
 * @file memory_forecast.cpp
 * Survival of runs, and sums over them.
 */
#include "placement/memory_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dunehook {

namespace {

/** Weight of a finished run in what is learned; about the last hundred count. */
constexpr double kLearnWeight = 0.02;
/** Spreads are kept within these, so that a few odd answers don't upset the forecast. */
constexpr double kLeastSpread = 0.2;
constexpr double kMostSpread = 1.2;
/** Instants of a forecast. */
constexpr int kSteps = 10;
/** The forecast reaches to the time by which five of six newcomers have ended. */
constexpr double kHorizonSpreads = 1.0;

/** @return the chance that a standard normal number is above @p aValue. */
double
Above(double aValue)
{
  return 0.5 * std::erfc(aValue / std::sqrt(2.0));
}

} // namespace

void
guess_model::Learn(double aGuess, double aMade)
{
  if (aGuess <= 0.0 || aMade <= 0.0) {
    return;
  }
  const double off = std::log(aMade / aGuess) - mBias;
  mBias += kLearnWeight * off;
  mVariance += kLearnWeight * (off * off - mVariance);
}

double
guess_model::Spread() const
{
  return std::clamp(std::sqrt(mVariance), kLeastSpread, kMostSpread);
}

double
guess_model::MeanOf(double aGuess) const
{
  return aGuess * std::exp(mBias + mVariance / 2.0);
}

memory_forecast::memory_forecast(const std::vector<growing_run>& aRuns,
                                 double aMicrosPerToken,
                                 const guess_model& aModel)
  : mMicrosPerToken(std::max(1.0, aMicrosPerToken))
  , mBias(aModel.Bias())
  , mSpread(aModel.Spread())
{
  mRuns.reserve(aRuns.size());
  for (const growing_run& run : aRuns) {
    mRuns.push_back(Watch(run));
  }
}

memory_forecast::watched_run
memory_forecast::Watch(const growing_run& aRun) const
{
  watched_run watched;
  watched.mRun = aRun;
  watched.mMedian = std::log(std::max(1.0, aRun.mGuess)) + mBias;
  watched.mReachedNow = aRun.mMade > 1.0 ? Reaches(watched.mMedian, aRun.mMade) : 1.0;
  return watched;
}

double
memory_forecast::Reaches(double aMedian, double aTokens) const
{
  return Above((std::log(aTokens) - aMedian) / mSpread);
}

double
memory_forecast::Survival(const watched_run& aRun, double aTokens) const
{
  const growing_run& run = aRun.mRun;
  if (run.mMost > 0.0 && aTokens >= run.mMost) {
    return 0.0;
  }
  if (aTokens <= run.mMade) {
    return 1.0;
  }
  // Far beyond the guess the chances are too small to divide; such a run ends about evenly.
  return aRun.mReachedNow < 1e-6 ? std::max(0.0, 1.0 - (aTokens - run.mMade) / run.mMade)
                                 : Reaches(aRun.mMedian, aTokens) / aRun.mReachedNow;
}

void
memory_forecast::Add(const watched_run& aRun, double aAfterMicros, token_sum& aSum) const
{
  const growing_run& run = aRun.mRun;
  const double grown = std::max(0.0, aAfterMicros - run.mDelay) / mMicrosPerToken;
  const double made = run.mMade + grown;
  const double held = run.mPrompt + made;
  const double there = Survival(aRun, made);
  aSum.mMean += held * there;
  aSum.mVariance += held * held * there * (1.0 - there);
}

double
memory_forecast::Peak(const growing_run& aNewcomer, double aCaution) const
{
  return PeakUpTo(aNewcomer, aCaution, std::numeric_limits<double>::max());
}

bool
memory_forecast::Fits(const growing_run& aNewcomer, double aCaution, double aMemory) const
{
  return PeakUpTo(aNewcomer, aCaution, aMemory) <= aMemory;
}

double
memory_forecast::PeakUpTo(const growing_run& aNewcomer, double aCaution, double aEnough) const
{
  const double likely = aNewcomer.mGuess * std::exp(mBias + kHorizonSpreads * mSpread);
  const double tokens = aNewcomer.mMost > 0.0 ? std::min(aNewcomer.mMost, likely) : likely;
  const double horizon = std::max(0.0, aNewcomer.mDelay) + tokens * mMicrosPerToken;
  const watched_run newcomer = Watch(aNewcomer);
  double peak = 0.0;
  for (int step = 0; step < kSteps && peak <= aEnough; ++step) {
    const double at = horizon * step / kSteps;
    token_sum sum;
    for (const watched_run& run : mRuns) {
      Add(run, at, sum);
    }
    Add(newcomer, at, sum);
    peak = std::max(peak, sum.mMean + aCaution * std::sqrt(sum.mVariance));
  }
  return peak;
}

} // namespace dunehook
