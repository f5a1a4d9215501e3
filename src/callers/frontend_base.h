/**
 * @file frontend_base.h
 * The frontend role: answers callers. The header X-Dunehook-Outcome of every answer gives the
 * call's outcome: done, not-run, unknown, or in-stream where the last event has it.
 */
#pragma once

#include "callers/avoided_base.h"
#include "callers/frontend_metrics.h"
#include "callers/quota_base.h"
#include "control/key_registry.h"
#include "control/owner_router.h"
#include "net/http_server.h"

namespace dunehook {

/** Whether a call ran. */
enum class call_outcome
{
  eDone,     ///< The runner answered and the caller has the whole answer.
  eNotRun,   ///< No byte of the call reached a runner, and none will.
  eUnknown,  ///< The call may have run, in whole or in part.
  eInStream, ///< The stream's last event has the outcome.
};

/** @return the outcome's value in the header X-Dunehook-Outcome. */
std::string_view
OutcomeName(call_outcome aOutcome);

/** The parts of the daemon that frontends use. */
struct frontend_context
{
  asio::io_context& mIo;          ///< Event loop of the daemon.
  log_follower& mLog;             ///< Configuration and claims.
  host_directory& mHosts;         ///< Directory of runners.
  member_table& mMembers;         ///< Daemons of the deployment.
  peer_directory& mPeers;         ///< RPC to other daemons.
  owner_router& mOwners;          ///< Sends events to owners of cells.
  engine_client& mEngines;        ///< HTTP calls to engines.
  attempt_registry& mAttempts;    ///< Attempts in progress.
  key_registry& mKeys;            ///< Idempotency keys.
  team_quotas& mQuotas;           ///< Quotas of teams.
  frontend_metrics& mMetrics;     ///< Counters.
  avoided_runners mAvoided{};     ///< Service runners in back-off.
  bool mDraining = false;         ///< A planned stop has begun; /readyz answers 503.
  bool mRefusing = false;         ///< New calls get 503; set some time after mDraining.
  std::size_t mCallsUnderWay = 0; ///< Calls in progress.
  std::uint64_t mNextAttempt = 1; ///< Counter of the next attempt.

  /** @return a fresh attempt id. */
  attempt_id NextAttempt() { return { mMembers.Self().mIncarnation, mNextAttempt++ }; }
};

/** An error answer of the router itself, with the outcome and an optional retry time. */
struct error_answer
{
  /** Not an aggregate: GCC 12 destroys aggregates twice that are built within a co_await. */
  error_answer(unsigned aStatus,
               std::error_code aError,
               std::string_view aDetail,
               call_outcome aOutcome = call_outcome::eNotRun,
               duration aRetryAfter = duration{ 0 })
    : mStatus(aStatus)
    , mError(aError)
    , mDetail(aDetail)
    , mOutcome(aOutcome)
    , mRetryAfter(aRetryAfter)
  {
  }

  unsigned mStatus;       ///< HTTP status.
  std::error_code mError; ///< Gives the error code in the body.
  std::string mDetail;    ///< Explanation for a person.
  call_outcome mOutcome;  ///< Whether the call ran.
  duration mRetryAfter;   ///< Zero for no Retry-After.
};

/** Sends an error answer. */
asio::awaitable<void>
RespondError(exchange_ptr aExchange, error_answer aAnswer);

/** @return the headers with the outcome and the request id. */
header_list
OutcomeHeaders(call_outcome aOutcome, const attempt_id& aAttempt);

/** @return the team a call is counted for: X-Dunehook-Team, or "default". */
std::string
TeamOf(const http_exchange& aExchange);

/** @return the key to claim: the idempotency key, qualified by team and route. */
std::string
ScopedKey(const std::string& aTeam, const std::string& aRoute, const std::string& aKey);

/** Answers one completions call. */
asio::awaitable<void>
ServeCompletion(frontend_context& aFrontend, exchange_ptr aExchange);

/** Answers one call of a plain service. @param aRoute name of its route. */
asio::awaitable<void>
ServeService(frontend_context& aFrontend, exchange_ptr aExchange, std::string aRoute);

/** Answers any request of a caller; the entry point of the frontend. */
asio::awaitable<void>
ServeCaller(frontend_context& aFrontend, exchange_ptr aExchange);

} // namespace dunehook
