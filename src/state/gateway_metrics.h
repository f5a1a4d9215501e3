/**
 * @file gateway_metrics.h
 * Metrics of a forwarding daemon, kept with prometheus-cpp and served as text.
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

/** Gauge values by name, set when the metrics are served. */
using gateway_gauges = std::map<std::string, double>;

/** Metrics of a forwarding daemon. */
class gateway_metrics
{
public:
  gateway_metrics();

  /**
   * Counts a request that ended.
   * @param aOutcome "served", "refused", "failed" or "left" (the caller disconnected).
   * @param aReason reason if it wasn't served.
   */
  void CountRequest(const std::string& aRoute, std::string_view aOutcome, std::string_view aReason);
  /** Records the time to the first event, or to a whole plain response, in seconds. */
  void ObserveFirstAnswer(const std::string& aRoute, double aSeconds);
  /** Records the longest pause between two events of a stream, in seconds. */
  void ObserveLongestGap(const std::string& aRoute, double aSeconds);
  /**
   * Counts a response in which a runner states that it leaves ("leaves") or accepts nothing for a
   * while ("wants_nothing").
   */
  void CountNotice(std::string_view aNotice);
  /** Counts a response that broke off or never arrived after the request was sent to a runner. */
  void CountBrokenAnswer(const std::string& aRoute);
  /**
   * Counts a runner's answer whose head was read.
   * @param aFraming what marks its end, see body_framing.h.
   * @param aWhole it was passed on to its end; else it broke off.
   */
  void CountAnswerEnd(std::string_view aFraming, bool aWhole);
  /** Counts a request that was to be relayed by another daemon, by what came of it. */
  void CountRelay(std::string_view aOutcome);
  /** Counts a request that was quarantined: "judged" by this daemon, or "told" by another. */
  void CountQuarantine(std::string_view aHow);
  /**
   * Counts a reservation that was requested at an engine, or a placement chosen locally ("alone"),
   * by outcome.
   */
  void CountPlace(std::string_view aOutcome);
  /**
   * Counts prompt tokens: "read" when processed, otherwise the reason for which they were wasted.
   */
  void CountPromptTokens(std::string_view aWhat, double aTokens);
  /** Counts sends of requests beyond the first, made or denied. */
  void CountRetries(const std::string& aService, double aSends, bool aGranted);
  /** Counts a call to the store. */
  void CountStoreCall(std::string_view aCall, bool aAnswered);

  /** Counts a request to a runner that names a limit: "sent", or "held" back. */
  void CountLimited(const std::string& aRunner, std::string_view aWhat);
  /** Sets the limits that runners name, in requests a second, by runner. */
  void SetLimits(const std::map<std::string, double>& aLimits);

  /** @return all metrics in the Prometheus text format. */
  std::string Serialize(const gateway_gauges& aValues);

private:
  /** @return the route's label; routes beyond kMaxRouteLabels share one. */
  std::string RouteLabel(const std::string& aRoute);

  static constexpr std::size_t kMaxRouteLabels = 100;  ///< Routes that have their own label.
  static constexpr std::size_t kMaxRunnerLabels = 100; ///< Limited runners that have one.

  prometheus::Registry mRegistry;                           ///< Owns all metric families.
  prometheus::Family<prometheus::Counter>* mRequests;       ///< By route, outcome, reason.
  prometheus::Family<prometheus::Histogram>* mFirstAnswers; ///< By route.
  prometheus::Family<prometheus::Histogram>* mLongestGaps;  ///< By route.
  prometheus::Family<prometheus::Counter>* mBrokenAnswers;  ///< By route.
  prometheus::Family<prometheus::Counter>* mAnswerEnds;     ///< By framing and end.
  prometheus::Family<prometheus::Counter>* mRelays;         ///< By outcome.
  prometheus::Family<prometheus::Counter>* mQuarantines;    ///< By how the daemon learned of it.
  prometheus::Family<prometheus::Counter>* mPlaces;         ///< By outcome.
  prometheus::Family<prometheus::Counter>* mRunnerNotices;  ///< By notice.
  prometheus::Family<prometheus::Counter>* mPromptTokens;   ///< Tokens, by what became of them.
  prometheus::Family<prometheus::Counter>* mRetries;        ///< By service.
  prometheus::Family<prometheus::Counter>* mDeniedRetries;  ///< By service.
  prometheus::Family<prometheus::Counter>* mStoreCalls;     ///< By call and answer.
  prometheus::Family<prometheus::Gauge>* mGauges;           ///< All gauges, by name.
  prometheus::Family<prometheus::Counter>* mLimitedSends;   ///< By runner and what became of them.
  prometheus::Family<prometheus::Gauge>* mLimits;           ///< By runner.
  std::map<std::string, prometheus::Gauge*> mLimitGauges;   ///< Those in mLimits.
  std::set<std::string> mLabelledRoutes;                    ///< Routes that have their own label.
  std::set<std::string> mLabelledRunners;                   ///< Limited runners that have one.
};

} // namespace dunehook
