/**
 * @file quota_base.h
 * Quotas of teams. Each daemon grants its share of a team's rate: the rate over the number of
 * serving daemons, so that no message is needed; the balancer spreads a team's calls.
 */
#pragma once

#include "core/token_bucket.h"
#include "resources/replicated_state_base.h"

#include <map>

namespace dunehook {

/** Buckets by team. */
class team_quotas
{
public:
  /**
   * Takes one call from a team's quota.
   * @param aState configuration; a team without a resource has no limit.
   * @param aDaemons serving daemons, at least 1.
   * @return zero if the call may go on, else when to come back.
   */
  duration Take(const replicated_state& aState,
                const std::string& aTeam,
                std::size_t aDaemons,
                instant aNow)
  {
    const auto* spec = aState.FindSpec<team_spec>(resource_kind::eTeam, aTeam);
    if (spec == nullptr) {
      return duration{ 0 };
    }
    const double rate = spec->mRequestsPerSecond / static_cast<double>(aDaemons);
    const double burst = std::max(1.0, spec->mBurst / static_cast<double>(aDaemons));
    token_bucket& bucket = mBuckets.try_emplace(aTeam, rate, burst).first->second;
    bucket.Reshape(rate, burst);
    if (bucket.Take(aNow)) {
      return duration{ 0 };
    }
    return std::max(bucket.WaitFor(aNow), duration{ 1 });
  }

private:
  std::map<std::string, token_bucket> mBuckets; ///< Only of teams that have a resource.
};

} // namespace dunehook
