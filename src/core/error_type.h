/**
 * @file error_type.h
 * Error codes of the router. Every fallible function returns a result<T> that carries
 * std::error_code; callers see the same conditions as the stable names of ErrorName().
 */
#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

#include <string_view>
#include <system_error>

namespace dunehook {

/** A value, or the error code that says why there is none. */
template<typename T>
using result = boost::outcome_v2::std_result<T, std::error_code>;

/** Conditions that callers, operators and peers can meet. */
enum class errc
{
  eBadRequest = 1,  ///< The message can't be read.
  eInvalidResource, ///< A resource failed validation.
  eVersionConflict, ///< The expected version isn't the current one.
  eNotFound,        ///< No such resource, route or model.
  eUnauthorized,    ///< The secret is missing or wrong.
  eLogUnavailable,  ///< The platform's log can't be reached.
  eLogAmbiguous,    ///< An append's answer was lost; it may have taken effect.
  eRetentionPassed, ///< The wanted records are no longer kept by the log.
  eNoRunner,        ///< No live runner can take the request.
  eOverloaded,      ///< The latency target can't be met now.
  eQuotaExceeded,   ///< The team's quota is used up.
  eDeadlinePassed,  ///< The request's time limit has passed.
  eConnectFailed,   ///< No connection, so nothing was sent.
  eConnectionLost,  ///< The connection ended after something may have been sent.
  eCallerGone,      ///< The caller closed its connection.
  eRunnerRefused,   ///< The runner answered that it takes no work now.
  eWrongAnswer,     ///< Bytes that are no answer to this attempt.
  eKeyMalformed,    ///< An idempotency key without its issue time.
  eKeyExpired,      ///< An idempotency key older than the claim window.
  eKeyClaimed,      ///< Another request holds the idempotency key.
  eStaleFence,      ///< The order's fence is lower than one already taken.
  eDraining,        ///< The daemon is stopping and takes no new work.
  eBodyTooLarge,    ///< The body is over its limit.
};

/** @return the category of errc values. */
const std::error_category&
RouterCategory();

/** @return the error code for @p aCode. */
std::error_code
make_error_code(errc aCode); // NOLINT(readability-identifier-naming): std's name

/**
 * @param aError an error code of any category.
 * @return the stable name used in error bodies and logs, e.g. "overloaded".
 */
std::string_view
ErrorName(const std::error_code& aError);

} // namespace dunehook

template<>
struct std::is_error_code_enum<dunehook::errc> : std::true_type
{
};
