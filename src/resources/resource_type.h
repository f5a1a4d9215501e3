/**
 * @file resource_type.h
 * Kinds, names and specs of the resources that operators declare. Specs are immutable values;
 * a change is a new spec under a new version.
 */
#pragma once

#include "core/error_type.h"
#include "core/finding_type.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace dunehook {

/** What a resource describes. */
enum class resource_kind
{
  eRoute,         ///< Which calls go to which pools.
  ePool,          ///< A group of like runners.
  ePriorityClass, ///< Targets and rank of a class of requests.
  eModelVersion,  ///< The model version a pool's runners have to hold.
  eLink,          ///< Rate of the transfers between two pools.
  eTeam,          ///< Quota of a caller.
};

/** All kinds, in the order of the API. */
inline constexpr std::array kResourceKinds{
  resource_kind::eRoute,        resource_kind::ePool, resource_kind::ePriorityClass,
  resource_kind::eModelVersion, resource_kind::eLink, resource_kind::eTeam,
};

/** @return the kind's name in the API, e.g. "priority_class". */
std::string_view
KindName(resource_kind aKind);

/** @return the kind of that name, or eNotFound. */
result<resource_kind>
ParseKind(std::string_view aName);

/** Kind and name: what identifies a resource. */
struct resource_key
{
  resource_kind mKind = resource_kind::eRoute; ///< The kind.
  std::string mName;                           ///< 1 to 64 of a-z, 0-9, '-', '.', '_'.

  auto operator<=>(const resource_key&) const = default;
};

/** What a pool's runners do. */
enum class runner_role
{
  ePrefill, ///< Reads prompts.
  eDecode,  ///< Generates tokens.
  eService, ///< Answers plain calls.
};

/** @return "prefill", "decode" or "service". */
std::string_view
RoleName(runner_role aRole);

/** Spec of a route. Exactly one of mModel and mPathPrefix is set. */
struct route_spec
{
  std::string mModel;               ///< Completions for this model take the route.
  std::string mPathPrefix;          ///< Calls below this path take the route.
  std::string mClass;               ///< Priority class; completions only.
  std::string mPrefillPool;         ///< Completions only.
  std::string mDecodePool;          ///< Completions only.
  std::string mLink;                ///< Link between the two pools; completions only.
  std::string mServicePool;         ///< Path routes only.
  bool mRepeatable = true;          ///< Whether a call may run more than once.
  std::uint32_t mTimeoutMs = 30000; ///< Longest time of a call, in milliseconds.

  auto operator<=>(const route_spec&) const = default;
};

/** Spec of a pool. */
struct pool_spec
{
  runner_role mRole = runner_role::eService; ///< What its runners do.
  std::uint32_t mSlots = 20;                 ///< Requests a decode runner holds at once.
  std::uint32_t mTokensPerSecond = 8000;     ///< Prompt tokens a prefill runner reads a second.
  std::uint32_t mKvLifetimeMs = 800;         ///< How long a prefill result is kept.
  std::uint32_t mKvBytesPerToken = 131072;   ///< Size of a prefill result.
  bool mChecksFences = true;                 ///< Whether its runners refuse stale orders.

  auto operator<=>(const pool_spec&) const = default;
};

/** Spec of a priority class. */
struct priority_class_spec
{
  std::uint32_t mRank = 0;             ///< 0 goes first.
  std::uint32_t mFirstTokenMs = 1600;  ///< Target of the time to the first token.
  std::uint32_t mBetweenTokensMs = 71; ///< Target of the time between tokens.
  std::uint32_t mMaxWaitMs = 400;      ///< Longest predicted wait at which a request is admitted.
  std::uint32_t mAgingMs = 2000;       ///< After this wait a request goes before rank 0.
  std::uint32_t mMeanTokens = 64;      ///< Expected length of an answer until one was measured.

  auto operator<=>(const priority_class_spec&) const = default;
};

/** Spec of a model version. */
struct model_version_spec
{
  std::string mModel;   ///< The model.
  std::string mVersion; ///< Its version.
  std::string mWeights; ///< Name of the weights in the weight store.
  std::string mPool;    ///< Pool whose runners load it.

  auto operator<=>(const model_version_spec&) const = default;
};

/** Spec of a link. */
struct link_spec
{
  std::uint64_t mBytesPerSecond = 5'000'000'000; ///< Rate shared by all transfers.
  std::uint64_t mChunkBytes = 67'108'864;        ///< Largest piece sent at once.

  auto operator<=>(const link_spec&) const = default;
};

/** Spec of a team. */
struct team_spec
{
  double mRequestsPerSecond = 100.0; ///< Over all daemons.
  double mBurst = 200.0;             ///< Over all daemons.

  auto operator<=>(const team_spec&) const = default;
};

/** The spec of any kind, in the order of resource_kind. */
using resource_spec = std::
  variant<route_spec, pool_spec, priority_class_spec, model_version_spec, link_spec, team_spec>;

/** A resource as the fold holds it. */
struct resource
{
  resource_key mKey;          ///< What it is called.
  std::uint64_t mVersion = 0; ///< Offset of the record that wrote it; grows with each write.
  resource_spec mSpec;        ///< What it says.

  auto operator<=>(const resource&) const = default;
};

/**
 * Reads a spec.
 * @param aKind the kind it's for.
 * @param aJson the object.
 * @param aFindings takes every fault found, with its path.
 * @return the spec, or eInvalidResource if there was a fault.
 */
result<resource_spec>
ParseSpec(resource_kind aKind, const nlohmann::json& aJson, finding_list& aFindings);

/** @return the spec as the API shows it; ParseSpec() reads it back to an equal value. */
nlohmann::json
SpecToJson(const resource_spec& aSpec);

/** @return whether a resource may have this name. */
bool
IsValidName(std::string_view aName);

} // namespace dunehook
