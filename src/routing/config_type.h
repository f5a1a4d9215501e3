/**
 * @file config_type.h
 * The routing configuration that forwarding follows: routes, services and limits of callers, as
 * immutable values. Where they come from is the business of a configuration source.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dunehook {

/** How often a route's requests may run. */
enum class repeat_rule
{
  eRepeatable, ///< Any number of times.
  eOnce,       ///< At most once for each request id.
  eStream,     ///< Answered by events; repeatable only from the last event on, if resumable.
};

/** A service and its part of a route's requests. */
struct weighted_service
{
  std::string mService; ///< Name of the service.
  double mWeight = 1.0; ///< Part in proportion to the other weights; not negative.

  auto operator<=>(const weighted_service&) const = default;
};

/** A route: which requests go to which services, and within what limits. */
struct forward_route
{
  std::string mName;                               ///< Name, for records.
  std::string mHost;                               ///< Host that callers name.
  std::string mPathPrefix;                         ///< Begins and ends with a slash.
  repeat_rule mRepeat = repeat_rule::eOnce;        ///< How often a request may run.
  bool mResumable = false;                         ///< Streams may go on at another runner.
  duration mTimeout = std::chrono::seconds(30);    ///< Longest time a request may be held.
  duration mFirstAnswer = std::chrono::seconds(1); ///< Latency target: first event, or answer.
  duration mEventGap = std::chrono::seconds(1);    ///< Target: longest pause between events.
  std::uint32_t mRank = 5;                         ///< 0 is the most urgent.
  std::uint32_t mMaxRunners = 1;                   ///< Runners that one request may be sent to.
  std::vector<weighted_service> mServices;         ///< At least one.

  auto operator<=>(const forward_route&) const = default;
};

/** What all engines of a service have in common. */
struct engine_traits
{
  std::uint32_t mSlots = 0;                                  ///< Requests that run at once.
  std::uint64_t mMemoryTokens = 0;                           ///< KV cache, in tokens.
  std::uint32_t mTokensPerEvent = 1;                         ///< Tokens that one event may hold.
  duration mResultLifetime = std::chrono::milliseconds(500); ///< Life of a prefill result.
  duration mRoleSwitch = std::chrono::seconds(6);            ///< Time out of work for a new role.
  duration mLongestHold = std::chrono::seconds(2);           ///< Longest life of a reservation.

  auto operator<=>(const engine_traits&) const = default;
};

/** A service that requests are routed to. */
struct forward_service
{
  std::string mName;                     ///< Name.
  std::uint32_t mMaxConnections = 100;   ///< Connections that one runner takes from everybody.
  std::optional<engine_traits> mEngines; ///< Set where its runners are model engines.

  auto operator<=>(const forward_service&) const = default;
};

/** What callers may send and how long they may take. */
struct caller_limits
{
  std::uint32_t mHeaderBytes = 16384;                     ///< Largest request head.
  std::uint64_t mBodyBytes = std::uint64_t{ 4 } << 20U;   ///< Largest request body.
  duration mHeaderTime = std::chrono::milliseconds(3000); ///< Longest read of a head.
  duration mIdleTime = std::chrono::milliseconds(15000);  ///< Longest rest between requests.

  auto operator<=>(const caller_limits&) const = default;
};

/** One version of the configuration. */
struct routing_config
{
  std::uint64_t mVersion = 0;                       ///< Rises with every change.
  std::vector<forward_route> mRoutes;               ///< In no order.
  std::map<std::string, forward_service> mServices; ///< By name.
  caller_limits mLimits;                            ///< For all callers.

  bool operator==(const routing_config&) const = default;
};

} // namespace dunehook
