/**
 * @file frontend_base.h
 * The frontend role: answers callers. Every answer says what became of the call in the header
 * X-Dunehook-Outcome: done, not-run, unknown, or in-stream where the last event says it.
 */
#pragma once

#include "callers/avoided_base.h"
#include "callers/frontend_metrics.h"
#include "callers/quota_base.h"
#include "control/key_registry.h"
#include "control/owner_router.h"
#include "net/http_server.h"

namespace dunehook {

/** What became of a call. */
enum class call_outcome
{
  eDone,     ///< The runner answered and the caller has the whole answer.
  eNotRun,   ///< No byte of the call reached a runner, and none will.
  eUnknown,  ///< The call may have run, in whole or in part.
  eInStream, ///< The stream's last event says.
};

/** @return the outcome's value of the header. */
std::string_view
OutcomeName(call_outcome aOutcome);

/** The parts of the daemon that frontends use. */
struct frontend_context
{
  asio::io_context& mIo;          ///< Runs everything.
  log_follower& mLog;             ///< Configuration and claims.
  host_directory& mHosts;         ///< Runners.
  member_table& mMembers;         ///< Daemons.
  peer_directory& mPeers;         ///< Calls to daemons.
  owner_router& mOwners;          ///< Owners of cells.
  engine_client& mEngines;        ///< Calls to engines.
  attempt_registry& mAttempts;    ///< Attempts under way.
  key_registry& mKeys;            ///< Idempotency keys.
  team_quotas& mQuotas;           ///< Quotas of teams.
  frontend_metrics& mMetrics;     ///< Counters.
  avoided_runners mAvoided{};     ///< Services that refused lately.
  bool mDraining = false;         ///< A planned stop has begun: the balancer is told to stay away.
  bool mRefusing = false;         ///< No new calls; set a while after mDraining.
  std::size_t mCallsUnderWay = 0; ///< Calls being answered.
  std::uint64_t mNextAttempt = 1; ///< Counter of the next attempt.

  /** @return a fresh attempt id. */
  attempt_id NextAttempt() { return { mMembers.Self().mIncarnation, mNextAttempt++ }; }
};

/** An answer without a runner's: an error with its outcome and, if any, when to come back. */
struct error_answer
{
  /** A constructor, since GCC 12 destroys aggregates twice that are built within a co_await. */
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
  std::error_code mError; ///< Names the body's code.
  std::string mDetail;    ///< For a person.
  call_outcome mOutcome;  ///< What became of the call.
  duration mRetryAfter;   ///< Zero for no Retry-After.
};

/** Sends an error answer. */
asio::awaitable<void>
RespondError(exchange_ptr aExchange, error_answer aAnswer);

/** @return the headers that say the outcome and the request's id. */
header_list
OutcomeHeaders(call_outcome aOutcome, const attempt_id& aAttempt);

/** @return the team a call is counted for: X-Dunehook-Team, or "default". */
std::string
TeamOf(const http_exchange& aExchange);

/** Key under which a team's idempotency key is claimed. */
std::string
ScopedKey(const std::string& aTeam, const std::string& aRoute, const std::string& aKey);

/** Answers one completions call. */
asio::awaitable<void>
ServeCompletion(frontend_context& aFrontend, exchange_ptr aExchange);

/** Answers one call of a plain service. @param aRoute name of the route it takes. */
asio::awaitable<void>
ServeService(frontend_context& aFrontend, exchange_ptr aExchange, std::string aRoute);

/** Answers any call of a caller: the frontend's entry. */
asio::awaitable<void>
ServeCaller(frontend_context& aFrontend, exchange_ptr aExchange);

} // namespace dunehook
