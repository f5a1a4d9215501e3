/**
 * @file config_type.h
 * The routing configuration: routes, services and limits for callers, as immutable values. A
 * configuration source provides them.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dunehook {

/** How often a request of a route may be run. */
enum class repeat_rule
{
  eRepeatable, ///< Any number of times.
  eOnce,       ///< At most once for each request id.
  eStream,     ///< Answered by events; only resumable streams are repeated, after the last event.
};

/** A service and its share of a route's requests. */
struct weighted_service
{
  std::string mService; ///< Name of the service.
  double mWeight = 1.0; ///< Share relative to the other weights; not negative.

  auto operator<=>(const weighted_service&) const = default;
};

/** A route maps requests to services, with time limits and retry rules. */
struct forward_route
{
  std::string mName;                               ///< Name in logs and metrics.
  std::string mHost;                               ///< Host header to match.
  std::string mPathPrefix;                         ///< Begins and ends with a slash.
  repeat_rule mRepeat = repeat_rule::eOnce;        ///< How often a request may be run.
  bool mResumable = false;                         ///< Streams may be resumed on another runner.
  duration mTimeout = std::chrono::seconds(30);    ///< Longest time a request may be held.
  duration mFirstAnswer = std::chrono::seconds(1); ///< Latency target of the first event or answer.
  duration mEventGap = std::chrono::seconds(1);    ///< Target: longest pause between events.
  std::uint32_t mRank = 5;                         ///< 0 is the most urgent.
  std::uint32_t mMaxRunners = 1;                   ///< Runners that one request may be sent to.
  std::vector<weighted_service> mServices;         ///< At least one.

  auto operator<=>(const forward_route&) const = default;
};

/** Properties that all engines of a service share. */
struct engine_traits
{
  std::uint32_t mSlots = 0;                                  ///< Requests that run at once.
  std::uint64_t mMemoryTokens = 0;                           ///< KV cache, in tokens.
  std::uint32_t mTokensPerEvent = 1;                         ///< Most tokens in one event.
  duration mResultLifetime = std::chrono::milliseconds(500); ///< Lifetime of a prefill result.
  duration mRoleSwitch = std::chrono::seconds(6);            ///< Downtime of a role change.
  duration mLongestHold = std::chrono::seconds(2);           ///< Longest lifetime of a reservation.

  auto operator<=>(const engine_traits&) const = default;
};

/** A service that requests are routed to. */
struct forward_service
{
  std::string mName;                     ///< Name.
  std::uint32_t mMaxConnections = 100;   ///< Connections that one runner accepts in all.
  std::optional<engine_traits> mEngines; ///< Set where its runners are model engines.

  auto operator<=>(const forward_service&) const = default;
};

/** Limits on the size and timing of callers' requests. */
struct caller_limits
{
  std::uint32_t mHeaderBytes = 16384;                     ///< Largest request head.
  std::uint64_t mBodyBytes = std::uint64_t{ 4 } << 20U;   ///< Largest request body.
  duration mHeaderTime = std::chrono::milliseconds(3000); ///< Time limit for reading a head.
  duration mIdleTime = std::chrono::milliseconds(15000);  ///< Longest idle time between requests.

  auto operator<=>(const caller_limits&) const = default;
};

/** One version of the configuration. */
struct routing_config
{
  std::uint64_t mVersion = 0;                       ///< Increases with every change.
  std::vector<forward_route> mRoutes;               ///< In no order.
  std::map<std::string, forward_service> mServices; ///< By name.
  caller_limits mLimits;                            ///< For all callers.

  bool operator==(const routing_config&) const = default;
};

} // namespace dunehook
