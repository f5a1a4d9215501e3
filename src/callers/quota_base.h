/**
 * @file quota_base.h
 * Rate limits of teams. Each daemon enforces an equal share of a team's rate: the rate divided by
 * the number of serving daemons. This needs no messages between daemons and relies on the load
 * balancer to spread a team's calls evenly.
 */
#pragma once

#include "core/token_bucket.h"
#include "resources/replicated_state_base.h"

#include <map>

namespace dunehook {

/** A token bucket for each team with a quota. */
class team_quotas
{
public:
  /**
   * Takes one call from a team's quota.
   * @param aState configuration; a team that isn't configured has no limit.
   * @param aDaemons number of serving daemons, at least 1.
   * @return zero if the call is admitted, else the time to wait before a retry.
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
  std::map<std::string, token_bucket> mBuckets; ///< By team; only configured teams have one.
};

} // namespace dunehook
