/**
 * @file spec_fields.h
 * Lists the fields of each spec once. Reading and writing JSON both use these lists, so they can't
 * disagree.
 */
#pragma once

#include "resources/resource_type.h"

namespace dunehook {

/** Calls @p aVisit with the name and member of each field of a route. */
template<typename Spec, typename Visit>
requires std::same_as<std::remove_const_t<Spec>, route_spec>
void
VisitFields(Spec& aSpec, Visit&& aVisit)
{
  aVisit("model", aSpec.mModel);
  aVisit("path_prefix", aSpec.mPathPrefix);
  aVisit("class", aSpec.mClass);
  aVisit("prefill_pool", aSpec.mPrefillPool);
  aVisit("decode_pool", aSpec.mDecodePool);
  aVisit("link", aSpec.mLink);
  aVisit("service_pool", aSpec.mServicePool);
  aVisit("repeatable", aSpec.mRepeatable);
  aVisit("timeout_ms", aSpec.mTimeoutMs);
}

/** Calls @p aVisit with the name and member of each field of a pool. */
template<typename Spec, typename Visit>
requires std::same_as<std::remove_const_t<Spec>, pool_spec>
void
VisitFields(Spec& aSpec, Visit&& aVisit)
{
  aVisit("role", aSpec.mRole);
  aVisit("slots", aSpec.mSlots);
  aVisit("tokens_per_second", aSpec.mTokensPerSecond);
  aVisit("kv_lifetime_ms", aSpec.mKvLifetimeMs);
  aVisit("kv_bytes_per_token", aSpec.mKvBytesPerToken);
  aVisit("checks_fences", aSpec.mChecksFences);
}

/** Calls @p aVisit with the name and member of each field of a priority class. */
template<typename Spec, typename Visit>
requires std::same_as<std::remove_const_t<Spec>, priority_class_spec>
void
VisitFields(Spec& aSpec, Visit&& aVisit)
{
  aVisit("rank", aSpec.mRank);
  aVisit("first_token_ms", aSpec.mFirstTokenMs);
  aVisit("between_tokens_ms", aSpec.mBetweenTokensMs);
  aVisit("max_wait_ms", aSpec.mMaxWaitMs);
  aVisit("aging_ms", aSpec.mAgingMs);
  aVisit("mean_tokens", aSpec.mMeanTokens);
}

/** Calls @p aVisit with the name and member of each field of a model version. */
template<typename Spec, typename Visit>
requires std::same_as<std::remove_const_t<Spec>, model_version_spec>
void
VisitFields(Spec& aSpec, Visit&& aVisit)
{
  aVisit("model", aSpec.mModel);
  aVisit("version", aSpec.mVersion);
  aVisit("weights", aSpec.mWeights);
  aVisit("pool", aSpec.mPool);
}

/** Calls @p aVisit with the name and member of each field of a link. */
template<typename Spec, typename Visit>
requires std::same_as<std::remove_const_t<Spec>, link_spec>
void
VisitFields(Spec& aSpec, Visit&& aVisit)
{
  aVisit("bytes_per_second", aSpec.mBytesPerSecond);
  aVisit("chunk_bytes", aSpec.mChunkBytes);
}

/** Calls @p aVisit with the name and member of each field of a team. */
template<typename Spec, typename Visit>
requires std::same_as<std::remove_const_t<Spec>, team_spec>
void
VisitFields(Spec& aSpec, Visit&& aVisit)
{
  aVisit("requests_per_second", aSpec.mRequestsPerSecond);
  aVisit("burst", aSpec.mBurst);
}

} // namespace dunehook
