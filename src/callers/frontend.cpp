/**
 * @file frontend.cpp
 * Entry point of callers' requests: health, metrics, admission and routing.
 */
#include "callers/frontend_base.h"

#include "core/text_func.h"

#include <array>
#include <cmath>

namespace dunehook {

namespace {

constexpr std::array<std::string_view, 4> kOutcomeNames{ "done",
                                                         "not-run",
                                                         "unknown",
                                                         "in-stream" };
constexpr duration kDrainRetryAfter = std::chrono::seconds(1);
constexpr std::string_view kCompletionsPath = "/v1/completions";

gauge_values
CurrentGauges(const frontend_context& aFrontend, const cell_counters& aTotals)
{
  gauge_values values;
  values.mNextOffset = static_cast<double>(aFrontend.mLog.State().NextOffset());
  values.mLogReachable = aFrontend.mLog.LogReachable() ? 1 : 0;
  values.mHostListReachable = aFrontend.mHosts.Reachable() ? 1 : 0;
  values.mMembers = static_cast<double>(aFrontend.mMembers.Others().size() + 1);
  values.mCells = static_cast<double>(aFrontend.mOwners.OwnedCells().CellCount());
  values.mCallsUnderWay = static_cast<double>(aFrontend.mCallsUnderWay);
  values.mRefused = static_cast<double>(aTotals.mRefused);
  values.mRequeued = static_cast<double>(aTotals.mRequeued);
  values.mPrefillTokens = static_cast<double>(aTotals.mPrefillTokens);
  values.mWastedTokens = static_cast<double>(aTotals.mWastedTokens);
  values.mCancelledTokens = static_cast<double>(aTotals.mCancelledTokens);
  return values;
}

/** @return the name of the path route with the longest prefix of @p aPath, or an empty text. */
std::string
FindPathRoute(const replicated_state& aState, std::string_view aPath)
{
  std::string best;
  std::size_t length = 0;
  for (const auto& [key, resource] : aState.Resources()) {
    const auto* const route = std::get_if<route_spec>(&resource.mSpec);
    if (route != nullptr && !route->mPathPrefix.empty() && aPath.starts_with(route->mPathPrefix) &&
        route->mPathPrefix.size() > length) {
      best = key.mName;
      length = route->mPathPrefix.size();
    }
  }
  return best;
}

bool
IsReady(const frontend_context& aFrontend)
{
  return !aFrontend.mDraining && aFrontend.mMembers.Self().mServing;
}

asio::awaitable<void>
ServeHealth(frontend_context& aFrontend, exchange_ptr aExchange)
{
  const std::string_view path = aExchange->Path();
  if (path == "/healthz") {
    co_await aExchange->Respond(200, "{\"status\":\"alive\"}");
  } else if (path == "/readyz") {
    const bool ready = IsReady(aFrontend);
    co_await aExchange->Respond(ready ? 200 : 503,
                                ready ? "{\"status\":\"ready\"}" : "{\"status\":\"not ready\"}");
  } else {
    const std::string text = aFrontend.mMetrics.Serialize(
      CurrentGauges(aFrontend, aFrontend.mOwners.OwnedCells().Totals()));
    co_await aExchange->Respond(200, text, {}, "text/plain; version=0.0.4");
  }
}

bool
IsHealthPath(std::string_view aPath)
{
  return aPath == "/healthz" || aPath == "/readyz" || aPath == "/metrics";
}

asio::awaitable<void>
ServeCall(frontend_context& aFrontend, exchange_ptr aExchange)
{
  // While draining, calls are still served until the load balancer has noticed the planned stop.
  const bool takesCalls = aFrontend.mDraining ? !aFrontend.mRefusing : IsReady(aFrontend);
  if (!takesCalls) {
    co_await RespondError(aExchange,
                          { 503,
                            make_error_code(errc::eDraining),
                            "this host takes no new calls now",
                            call_outcome::eNotRun,
                            kDrainRetryAfter });
    co_return;
  }
  const std::size_t daemons = aFrontend.mMembers.CountServing();
  const duration wait = aFrontend.mQuotas.Take(
    aFrontend.mLog.State(), TeamOf(*aExchange), daemons, boot_clock_source().Now());
  if (wait > duration{ 0 }) {
    co_await RespondError(aExchange,
                          { 429,
                            make_error_code(errc::eQuotaExceeded),
                            "the team's quota is used up",
                            call_outcome::eNotRun,
                            wait });
    co_return;
  }
  if (aExchange->Path() == kCompletionsPath) {
    co_await ServeCompletion(aFrontend, aExchange);
    co_return;
  }
  const std::string route = FindPathRoute(aFrontend.mLog.State(), aExchange->Path());
  if (route.empty()) {
    co_await RespondError(aExchange, { 404, make_error_code(errc::eNotFound), "no route" });
    co_return;
  }
  co_await ServeService(aFrontend, aExchange, route);
}

} // namespace

std::string_view
OutcomeName(call_outcome aOutcome)
{
  return kOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

header_list
OutcomeHeaders(call_outcome aOutcome, const attempt_id& aAttempt)
{
  return { { "X-Dunehook-Outcome", std::string(OutcomeName(aOutcome)) },
           { "X-Dunehook-Request", ToText(aAttempt) } };
}

asio::awaitable<void>
RespondError(exchange_ptr aExchange, error_answer aAnswer)
{
  header_list headers{ { "X-Dunehook-Outcome", std::string(OutcomeName(aAnswer.mOutcome)) } };
  if (aAnswer.mRetryAfter > duration{ 0 }) {
    const auto seconds = static_cast<std::int64_t>(std::ceil(ToSeconds(aAnswer.mRetryAfter)));
    headers.emplace_back("Retry-After", std::to_string(seconds));
    headers.emplace_back("X-Dunehook-Retry-After-Ms",
                         std::to_string(aAnswer.mRetryAfter.count() / 1000));
  }
  co_await aExchange->Respond(
    aAnswer.mStatus, ErrorBody(ErrorName(aAnswer.mError), aAnswer.mDetail), headers);
}

std::string
TeamOf(const http_exchange& aExchange)
{
  const std::string team = aExchange.Header("X-Dunehook-Team");
  return team.empty() ? "default" : team;
}

std::string
ScopedKey(const std::string& aTeam, const std::string& aRoute, const std::string& aKey)
{
  return Join(aTeam, "/", aRoute, "/", aKey);
}

asio::awaitable<void>
ServeCaller(frontend_context& aFrontend, exchange_ptr aExchange)
{
  if (IsHealthPath(aExchange->Path())) {
    co_await ServeHealth(aFrontend, aExchange);
    co_return;
  }
  ++aFrontend.mCallsUnderWay;
  co_await ServeCall(aFrontend, aExchange);
  --aFrontend.mCallsUnderWay;
}

} // namespace dunehook
