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

/** Values of the gauges, collected when /metrics is read. */
struct gauge_values
{
  double mNextOffset = 0;        ///< Offset of the next log record to apply.
  double mLogReachable = 0;      ///< 1 if the log answered recently, else 0.
  double mHostListReachable = 0; ///< 1 if the host list answered recently, else 0.
  double mMembers = 0;           ///< Known daemons, including this one.
  double mCells = 0;             ///< Cells owned.
  double mCallsUnderWay = 0;     ///< Calls in progress.
  double mRefused = 0;           ///< Requests refused by owned cells.
  double mRequeued = 0;          ///< Requests put back into the queue in owned cells.
  double mPrefillTokens = 0;     ///< Prompt tokens computed in owned cells.
  double mWastedTokens = 0;      ///< Prefill tokens whose result was discarded.
  double mCancelledTokens = 0;   ///< Prefill tokens discarded because the caller left.
};

/** The daemon's metrics. */
class frontend_metrics
{
public:
  frontend_metrics();

  /** Counts a finished call. */
  void CountCall(const std::string& aKind, const std::string& aOutcome);
  /** Records the time to the first token of a call. @param aClass its priority class. */
  void ObserveFirstToken(const std::string& aClass, double aSeconds);
  /** Counts tokens sent to callers. */
  void CountTokens(double aTokens) { mTokens->Increment(aTokens); }
  /** Counts an answer that belonged to another attempt. */
  void CountWrongAnswer() { mWrongAnswers->Increment(); }
  /** @return all metrics as text. @param aValues current values of the gauges. */
  std::string Serialize(const gauge_values& aValues);

private:
  prometheus::Registry mRegistry;                         ///< Owns all metrics below.
  prometheus::Family<prometheus::Counter>* mCalls;        ///< Calls by kind and outcome.
  prometheus::Family<prometheus::Histogram>* mFirstToken; ///< Time to the first token.
  prometheus::Counter* mTokens;                           ///< Tokens sent.
  prometheus::Counter* mWrongAnswers;                     ///< Dropped answers of other attempts.
  prometheus::Family<prometheus::Gauge>* mGauges;         ///< All gauges, labelled by name.
};

} // namespace dunehook
