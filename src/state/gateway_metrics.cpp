/**
 * @file gateway_metrics.cpp
 * Metric families and their text format.
 */
#include "state/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace dunehook {

namespace {

/** Histogram bounds in seconds, around the latency targets of 0.3 s and 0.9 s. */
const prometheus::Histogram::BucketBoundaries kFirstAnswerBounds{ 0.05, 0.1, 0.2, 0.3, 0.5,
                                                                  0.7,  0.9, 1.5, 3.0, 10.0 };
/** Histogram bounds in seconds, around the target of 0.3 s. */
const prometheus::Histogram::BucketBoundaries kLongestGapBounds{
  0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 3.0
};

/** Label of routes and runners that have none of their own. */
const std::string kOtherLabel = "other";

prometheus::Family<prometheus::Counter>*
Counters(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return &prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Family<prometheus::Histogram>*
Histograms(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return &prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry);
}

} // namespace

gateway_metrics::gateway_metrics()
  : mRequests(Counters(mRegistry,
                       "dunehook_requests_total",
                       "Requests ended, by route, outcome and reason."))
  , mFirstAnswers(Histograms(mRegistry,
                             "dunehook_first_answer_seconds",
                             "Time to the first event of a stream, or to a whole plain answer."))
  , mLongestGaps(Histograms(mRegistry,
                            "dunehook_longest_gap_seconds",
                            "Longest pause between two events of a stream."))
  , mBrokenAnswers(
      Counters(mRegistry, "dunehook_answers_broken_total", "Sends that gave no whole answer."))
  , mAnswerEnds(Counters(mRegistry,
                         "dunehook_answer_ends_total",
                         "Answers of runners, by what marks their end and how they ended."))
  , mRelays(Counters(mRegistry,
                     "dunehook_relays_total",
                     "Requests that other daemons were to relay, by outcome."))
  , mQuarantines(Counters(mRegistry, "dunehook_quarantines_total", "Requests put into quarantine."))
  , mPlaces(Counters(mRegistry, "dunehook_places_total", "Places asked for, by outcome."))
  , mRunnerNotices(Counters(mRegistry,
                            "dunehook_runner_notices_total",
                            "Answers in which a runner says something of itself, by notice."))
  , mPromptTokens(Counters(mRegistry,
                           "dunehook_prompt_tokens_total",
                           "Prompt tokens read, and of them thrown away, by reason."))
  , mRetries(Counters(mRegistry, "dunehook_repeats_total", "Sends beyond the first, by service."))
  , mDeniedRetries(Counters(mRegistry,
                            "dunehook_repeats_denied_total",
                            "Sends beyond the first that the budget denied, by service."))
  , mStoreCalls(Counters(mRegistry, "dunehook_store_calls_total", "Calls to the store, by answer."))
  , mGauges(&prometheus::BuildGauge()
               .Name("dunehook_state")
               .Help("Current values, by name.")
               .Register(mRegistry))
  , mLimitedSends(Counters(mRegistry,
                           "dunehook_limited_sends_total",
                           "Requests to runners that name a limit, sent or held back."))
  , mLimits(&prometheus::BuildGauge()
               .Name("dunehook_runner_limit")
               .Help("Requests a second that a runner says it accepts, from all daemons together.")
               .Register(mRegistry))
{
}

std::string
gateway_metrics::RouteLabel(const std::string& aRoute)
{
  if (mLabelledRoutes.size() < kMaxRouteLabels) {
    mLabelledRoutes.insert(aRoute);
  }
  return mLabelledRoutes.count(aRoute) > 0 ? aRoute : kOtherLabel;
}

void
gateway_metrics::CountRequest(const std::string& aRoute,
                              std::string_view aOutcome,
                              std::string_view aReason)
{
  mRequests
    ->Add({ { "route", RouteLabel(aRoute) },
            { "outcome", std::string(aOutcome) },
            { "reason", std::string(aReason) } })
    .Increment();
}

void
gateway_metrics::ObserveFirstAnswer(const std::string& aRoute, double aSeconds)
{
  mFirstAnswers->Add({ { "route", RouteLabel(aRoute) } }, kFirstAnswerBounds).Observe(aSeconds);
}

void
gateway_metrics::ObserveLongestGap(const std::string& aRoute, double aSeconds)
{
  mLongestGaps->Add({ { "route", RouteLabel(aRoute) } }, kLongestGapBounds).Observe(aSeconds);
}

void
gateway_metrics::CountBrokenAnswer(const std::string& aRoute)
{
  mBrokenAnswers->Add({ { "route", RouteLabel(aRoute) } }).Increment();
}

void
gateway_metrics::CountAnswerEnd(std::string_view aFraming, bool aWhole)
{
  mAnswerEnds->Add({ { "framing", std::string(aFraming) }, { "end", aWhole ? "whole" : "broken" } })
    .Increment();
}

void
gateway_metrics::CountRelay(std::string_view aOutcome)
{
  mRelays->Add({ { "outcome", std::string(aOutcome) } }).Increment();
}

void
gateway_metrics::CountQuarantine(std::string_view aHow)
{
  mQuarantines->Add({ { "how", std::string(aHow) } }).Increment();
}

void
gateway_metrics::CountPlace(std::string_view aOutcome)
{
  mPlaces->Add({ { "outcome", std::string(aOutcome) } }).Increment();
}

void
gateway_metrics::CountNotice(std::string_view aNotice)
{
  mRunnerNotices->Add({ { "notice", std::string(aNotice) } }).Increment();
}

void
gateway_metrics::CountPromptTokens(std::string_view aWhat, double aTokens)
{
  mPromptTokens->Add({ { "what", std::string(aWhat) } }).Increment(aTokens);
}

void
gateway_metrics::CountRetries(const std::string& aService, double aSends, bool aGranted)
{
  (aGranted ? mRetries : mDeniedRetries)->Add({ { "service", aService } }).Increment(aSends);
}

void
gateway_metrics::CountStoreCall(std::string_view aCall, bool aAnswered)
{
  mStoreCalls->Add({ { "call", std::string(aCall) }, { "answered", aAnswered ? "yes" : "no" } })
    .Increment();
}

void
gateway_metrics::CountLimited(const std::string& aRunner, std::string_view aWhat)
{
  if (mLabelledRunners.size() < kMaxRunnerLabels) {
    mLabelledRunners.insert(aRunner);
  }
  const std::string& label = mLabelledRunners.contains(aRunner) ? aRunner : kOtherLabel;
  mLimitedSends->Add({ { "runner", label }, { "what", std::string(aWhat) } }).Increment();
}

void
gateway_metrics::SetLimits(const std::map<std::string, double>& aLimits)
{
  std::erase_if(mLimitGauges, [&](const auto& aRow) {
    const bool ended = !aLimits.contains(aRow.first);
    if (ended) {
      mLimits->Remove(aRow.second);
    }
    return ended;
  });
  for (const auto& [runner, limit] : aLimits) {
    prometheus::Gauge& gauge = mLimits->Add({ { "runner", runner } });
    gauge.Set(limit);
    mLimitGauges[runner] = &gauge;
  }
}

std::string
gateway_metrics::Serialize(const gateway_gauges& aValues)
{
  for (const auto& [name, value] : aValues) {
    mGauges->Add({ { "name", name } }).Set(value);
  }
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace dunehook
