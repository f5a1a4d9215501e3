/**
 * @file frontend_metrics.cpp
 * Registration and serialization of a daemon's metrics.
 */
#include "callers/frontend_metrics.h"

#include <prometheus/text_serializer.h>

namespace dunehook {

namespace {

const prometheus::Histogram::BucketBoundaries&
FirstTokenBuckets()
{
  static const prometheus::Histogram::BucketBoundaries sBounds{ 0.02, 0.05, 0.1, 0.2, 0.4, 0.8,
                                                                1.2,  1.6,  2.4, 5.0, 10.0 };
  return sBounds;
}

} // namespace

frontend_metrics::frontend_metrics()
  : mCalls(&prometheus::BuildCounter()
              .Name("dunehook_calls_total")
              .Help("Finished calls by kind and outcome")
              .Register(mRegistry))
  , mFirstToken(&prometheus::BuildHistogram()
                   .Name("dunehook_first_token_seconds")
                   .Help("Time to the first token by class")
                   .Register(mRegistry))
  , mTokens(&prometheus::BuildCounter()
               .Name("dunehook_tokens_total")
               .Help("Tokens sent to callers")
               .Register(mRegistry)
               .Add({}))
  , mWrongAnswers(&prometheus::BuildCounter()
                     .Name("dunehook_wrong_answers_total")
                     .Help("Answers dropped since they belonged to another attempt")
                     .Register(mRegistry)
                     .Add({}))
  , mGauges(&prometheus::BuildGauge()
               .Name("dunehook_state")
               .Help("State of the daemon by name; see docs/OPERATIONS.md")
               .Register(mRegistry))
{
}

void
frontend_metrics::CountCall(const std::string& aKind, const std::string& aOutcome)
{
  mCalls->Add({ { "kind", aKind }, { "outcome", aOutcome } }).Increment();
}

void
frontend_metrics::ObserveFirstToken(const std::string& aClass, double aSeconds)
{
  mFirstToken->Add({ { "class", aClass } }, FirstTokenBuckets()).Observe(aSeconds);
}

std::string
frontend_metrics::Serialize(const gauge_values& aValues)
{
  const auto set = [this](const char* aName, double aValue) {
    mGauges->Add({ { "name", aName } }).Set(aValue);
  };
  set("next_offset", aValues.mNextOffset);
  set("log_reachable", aValues.mLogReachable);
  set("host_list_reachable", aValues.mHostListReachable);
  set("members", aValues.mMembers);
  set("cells_owned", aValues.mCells);
  set("calls_under_way", aValues.mCallsUnderWay);
  set("requests_refused", aValues.mRefused);
  set("requests_requeued", aValues.mRequeued);
  set("prefill_tokens", aValues.mPrefillTokens);
  set("wasted_tokens", aValues.mWastedTokens);
  set("cancelled_tokens", aValues.mCancelledTokens);
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace dunehook
