/**
 * @file resource_type.h
 * Kinds, names and specs of the resources that operators configure. Specs are immutable values; a
 * change is a new spec with a new version.
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

/** Kind of a resource. */
enum class resource_kind
{
  eRoute,         ///< Maps calls to pools.
  ePool,          ///< A group of runners with the same role.
  ePriorityClass, ///< Latency targets and rank of a class of requests.
  eModelVersion,  ///< The model version that a pool's runners load.
  eLink,          ///< Bandwidth of KV transfers between two pools.
  eTeam,          ///< Quota of a caller.
};

/** All kinds, in the order of the API and of resource_kind. */
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

/** Identifies a resource by its kind and name. */
struct resource_key
{
  resource_kind mKind = resource_kind::eRoute; ///< The kind.
  std::string mName;                           ///< 1 to 64 of a-z, 0-9, '-', '.', '_'.

  auto operator<=>(const resource_key&) const = default;
};

/** Role of a pool's runners. */
enum class runner_role
{
  ePrefill, ///< Processes prompts.
  eDecode,  ///< Generates tokens.
  eService, ///< Serves calls other than completions.
};

/** @return "prefill", "decode" or "service". */
std::string_view
RoleName(runner_role aRole);

/** Spec of a route. Exactly one of mModel and mPathPrefix is set. */
struct route_spec
{
  std::string mModel;               ///< Completions for this model take the route.
  std::string mPathPrefix;          ///< Calls whose paths begin with this take the route.
  std::string mClass;               ///< Priority class; completions only.
  std::string mPrefillPool;         ///< Completions only.
  std::string mDecodePool;          ///< Completions only.
  std::string mLink;                ///< Link between the two pools; completions only.
  std::string mServicePool;         ///< Path routes only.
  bool mRepeatable = true;          ///< Whether a call may be executed more than once.
  std::uint32_t mTimeoutMs = 30000; ///< Time limit of a call, in milliseconds.

  auto operator<=>(const route_spec&) const = default;
};

/** Spec of a pool. */
struct pool_spec
{
  runner_role mRole = runner_role::eService; ///< Role of its runners.
  std::uint32_t mSlots = 20;                 ///< Requests a decode runner holds at once.
  std::uint32_t mTokensPerSecond = 8000;     ///< Prompt tokens per second; prefill only.
  std::uint32_t mKvLifetimeMs = 800;         ///< How long a runner keeps a prefill result.
  std::uint32_t mKvBytesPerToken = 131072;   ///< Size of a prefill result per prompt token.
  bool mChecksFences = true; ///< Whether its runners refuse orders with a stale fence.

  auto operator<=>(const pool_spec&) const = default;
};

/** Spec of a priority class. */
struct priority_class_spec
{
  std::uint32_t mRank = 0;             ///< 0 is served first.
  std::uint32_t mFirstTokenMs = 1600;  ///< Target of the time to the first token.
  std::uint32_t mBetweenTokensMs = 71; ///< Target of the time between tokens.
  std::uint32_t mMaxWaitMs = 400;      ///< Longest predicted wait with which a request is admitted.
  std::uint32_t mAgingMs = 2000;       ///< Wait after which a request may be served before rank 0.
  std::uint32_t mMeanTokens = 64;      ///< Expected tokens of an answer until one was measured.

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
  std::uint64_t mBytesPerSecond = 5'000'000'000; ///< Bandwidth shared by all transfers.
  std::uint64_t mChunkBytes = 67'108'864;        ///< Largest chunk of a transfer.

  auto operator<=>(const link_spec&) const = default;
};

/** Spec of a team. */
struct team_spec
{
  double mRequestsPerSecond = 100.0; ///< Sustained rate over all daemons.
  double mBurst = 200.0;             ///< Most requests in a burst, over all daemons.

  auto operator<=>(const team_spec&) const = default;
};

/** Spec of any kind; the alternatives are in the order of resource_kind. */
using resource_spec = std::
  variant<route_spec, pool_spec, priority_class_spec, model_version_spec, link_spec, team_spec>;

/** A resource as the replicated state stores it. */
struct resource
{
  resource_key mKey;          ///< Its kind and name.
  std::uint64_t mVersion = 0; ///< Offset of its latest write, so it always increases.
  resource_spec mSpec;        ///< Its current spec.

  auto operator<=>(const resource&) const = default;
};

/**
 * Parses and validates a spec.
 * @param aKind kind of the resource.
 * @param aJson the spec as the API shows it.
 * @param aFindings receives every error with its path.
 * @return the spec, or eInvalidResource if there was an error.
 */
result<resource_spec>
ParseSpec(resource_kind aKind, const nlohmann::json& aJson, finding_list& aFindings);

/** @return the spec as the API shows it; ParseSpec() turns it back into an equal value. */
nlohmann::json
SpecToJson(const resource_spec& aSpec);

/** @return whether the name is allowed for a resource; see resource_key::mName. */
bool
IsValidName(std::string_view aName);

} // namespace dunehook
