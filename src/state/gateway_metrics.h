/**
 * @file gateway_metrics.h
 * Metrics of a forwarding daemon, kept by prometheus-cpp and served as text.
 */
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace dunehook {

/** Values that are set just before they're served. */
using gateway_gauges = std::map<std::string, double>;

/** The daemon's metrics. */
class gateway_metrics
{
public:
  gateway_metrics();

  /**
   * Counts the end of a request.
   * @param aOutcome "served", "refused", "failed", "left".
   * @param aReason why, if it wasn't served.
   */
  void CountRequest(const std::string& aRoute, std::string_view aOutcome, std::string_view aReason);
  /** Observes the time to the first event, or to a whole plain answer, in seconds. */
  void ObserveFirstAnswer(const std::string& aRoute, double aSeconds);
  /** Observes the longest pause between events of a stream, in seconds. */
  void ObserveLongestGap(const std::string& aRoute, double aSeconds);
  /** Counts an answer in which a runner says something of itself: "leaves", "wants_nothing". */
  void CountNotice(std::string_view aNotice);
  /** Counts an answer that broke off, or never came, after the request was sent to a runner. */
  void CountBrokenAnswer(const std::string& aRoute);
  /** Counts a request that was put into quarantine: "judged" here, or "told" by another. */
  void CountQuarantine(std::string_view aHow);
  /** Counts a place that was asked for at an engine, by what came of it. */
  void CountPlace(std::string_view aOutcome);
  /** Counts prompt tokens: "read", or thrown away for a reason. */
  void CountPromptTokens(std::string_view aWhat, double aTokens);
  /** Counts sends of requests beyond the first. */
  void CountRepeats(const std::string& aService, double aSends);
  /** Counts a call to the store. */
  void CountStoreCall(std::string_view aCall, bool aAnswered);

  /** @return all metrics as text. */
  std::string Serialize(const gateway_gauges& aValues);

private:
  /** @return the route as a label; beyond a number of routes they share one. */
  std::string RouteLabel(const std::string& aRoute);

  static constexpr std::size_t kMaxRouteLabels = 100; ///< Routes with labels of their own.

  prometheus::Registry mRegistry;                           ///< Owns all families.
  prometheus::Family<prometheus::Counter>* mRequests;       ///< By route, outcome, reason.
  prometheus::Family<prometheus::Histogram>* mFirstAnswers; ///< By route.
  prometheus::Family<prometheus::Histogram>* mLongestGaps;  ///< By route.
  prometheus::Family<prometheus::Counter>* mBrokenAnswers;  ///< By route.
  prometheus::Family<prometheus::Counter>* mQuarantines;    ///< By how it was learned.
  prometheus::Family<prometheus::Counter>* mPlaces;         ///< By outcome.
  prometheus::Family<prometheus::Counter>* mRunnerNotices;  ///< By notice.
  prometheus::Family<prometheus::Counter>* mPromptTokens;   ///< Tokens, by what became of them.
  prometheus::Family<prometheus::Counter>* mRepeats;        ///< By service.
  prometheus::Family<prometheus::Counter>* mStoreCalls;     ///< By call and answer.
  prometheus::Family<prometheus::Gauge>* mGauges;           ///< One family, by name.
  std::set<std::string> mLabelledRoutes;                    ///< Routes with labels of their own.
};

} // namespace dunehook
