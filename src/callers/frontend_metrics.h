/**
 * @file frontend_metrics.h
 * Metrics of a daemon, kept by prometheus-cpp and served as text at /metrics.
 */
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace dunehook {

/** Values that are set just before they're served. */
struct gauge_values
{
  double mNextOffset = 0;        ///< Offset of the next record to fold.
  double mLogReachable = 0;      ///< 1 if the log answered lately.
  double mHostListReachable = 0; ///< 1 if the host list answered lately.
  double mMembers = 0;           ///< Daemons known, this one included.
  double mCells = 0;             ///< Cells owned.
  double mCallsUnderWay = 0;     ///< Calls being answered.
  double mRefused = 0;           ///< Requests refused by owned cells.
  double mRequeued = 0;          ///< Repeats in owned cells.
  double mPrefillTokens = 0;     ///< Prompt tokens computed in owned cells.
  double mWastedTokens = 0;      ///< Of them thrown away.
  double mCancelledTokens = 0;   ///< Of them thrown away since the caller went.
};

/** The daemon's metrics. */
class frontend_metrics
{
public:
  frontend_metrics();

  /** Counts a finished call. */
  void CountCall(const std::string& aKind, const std::string& aOutcome);
  /** Counts a finished call of a class. @param aSeconds its time to the first token. */
  void ObserveFirstToken(const std::string& aClass, double aSeconds);
  /** Counts tokens sent. */
  void CountTokens(double aTokens) { mTokens->Increment(aTokens); }
  /** Counts an answer that belonged to another attempt. */
  void CountWrongAnswer() { mWrongAnswers->Increment(); }
  /** @return all metrics as text. @param aValues current values of the gauges. */
  std::string Serialize(const gauge_values& aValues);

private:
  prometheus::Registry mRegistry;                         ///< Owns all families.
  prometheus::Family<prometheus::Counter>* mCalls;        ///< Calls by kind and outcome.
  prometheus::Family<prometheus::Histogram>* mFirstToken; ///< Time to the first token.
  prometheus::Counter* mTokens;                           ///< Tokens sent.
  prometheus::Counter* mWrongAnswers;                     ///< Answers of other attempts.
  prometheus::Family<prometheus::Gauge>* mGauges;         ///< One family, by name.
};

} // namespace dunehook
