/**
 * @file route_table.h
 * Finds the route of a request, and chooses the service that handles it.
 */
#pragma once

#include "routing/config_type.h"

#include <string_view>
#include <unordered_map>

namespace dunehook {

/**
 * Routes by host, longest path prefix first.
 * Invariant: the routes point into the configuration that the table was built from and holds.
 */
class route_table
{
public:
  route_table() = default;
  explicit route_table(routing_config aConfig);

  /**
   * @param aHost value of the Host header; its port and its case are ignored.
   * @param aPath path without its query.
   * @return the route with the longest prefix of the path, or null.
   */
  const forward_route* Find(std::string_view aHost, std::string_view aPath) const;

  /**
   * @param aDraw a random number from 0 up to 1 that chooses among services by weight.
   * @return the service, or null if the configuration doesn't contain it.
   * @pre @p aRoute is one of this table.
   */
  const forward_service* PickService(const forward_route& aRoute, double aDraw) const;

  /** @return the longest time for which a resumable request to a service may be held; zero if there
   * is none. */
  duration LongestStream(const std::string& aService) const;

  const routing_config& Config() const { return mConfig; }

private:
  routing_config mConfig;                                                     ///< Owns the routes.
  std::unordered_map<std::string, std::vector<const forward_route*>> mByHost; ///< Longest first.
  std::unordered_map<std::string, duration> mLongestStreams;                  ///< By service.
};

} // namespace dunehook
