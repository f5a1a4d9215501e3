/**
 * @file route_table.cpp
 * Matches requests to routes, and chooses a service by weight.
 */
#include "routing/route_table.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace dunehook {

namespace {

std::string
NormalizeHost(std::string_view aHost)
{
  const std::string_view bare = aHost.substr(0, aHost.find(':'));
  return absl::AsciiStrToLower(absl::string_view(bare.data(), bare.size()));
}

} // namespace

route_table::route_table(routing_config aConfig)
  : mConfig(std::move(aConfig))
{
  for (const forward_route& route : mConfig.mRoutes) {
    mByHost[NormalizeHost(route.mHost)].push_back(&route);
    for (const weighted_service& service : route.mServices) {
      if (route.mResumable) {
        duration& longest = mLongestStreams[service.mService];
        longest = std::max(longest, route.mTimeout);
      }
    }
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
    });
  }
}

const forward_route*
route_table::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto routes = mByHost.find(NormalizeHost(aHost));
  if (routes == mByHost.end()) {
    return nullptr;
  }
  for (const forward_route* const route : routes->second) {
    if (aPath.substr(0, route->mPathPrefix.size()) == route->mPathPrefix) {
      return route;
    }
  }
  return nullptr;
}

duration
route_table::LongestStream(const std::string& aService) const
{
  const auto found = mLongestStreams.find(aService);
  return found == mLongestStreams.end() ? duration{ 0 } : found->second;
}

const forward_service*
route_table::PickService(const forward_route& aRoute, double aDraw) const
{
  double total = 0.0;
  for (const weighted_service& candidate : aRoute.mServices) {
    total += candidate.mWeight;
  }
  double remaining = aDraw * total;
  const weighted_service* picked = nullptr;
  for (const weighted_service& candidate : aRoute.mServices) {
    if (candidate.mWeight <= 0.0 && aRoute.mServices.size() > 1) {
      continue;
    }
    picked = &candidate;
    remaining -= candidate.mWeight;
    if (remaining < 0.0) {
      break;
    }
  }
  if (picked == nullptr) {
    return nullptr;
  }
  const auto found = mConfig.mServices.find(picked->mService);
  return found == mConfig.mServices.end() ? nullptr : &found->second;
}

} // namespace dunehook
