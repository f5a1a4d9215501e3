/**
 * @file route_table.h
 * Finds the route of a request, and the service that takes it.
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
   * @param aHost host as the caller named it; a port behind it doesn't count, nor does case.
   * @param aPath path without its query.
   * @return the route with the longest prefix of the path, or null.
   */
  const forward_route* Find(std::string_view aHost, std::string_view aPath) const;

  /**
   * @param aDraw a number from 0 up to 1 that picks among services by weight.
   * @return the service, or null where the configuration doesn't hold it.
   * @pre @p aRoute is one of this table.
   */
  const forward_service* PickService(const forward_route& aRoute, double aDraw) const;

  const routing_config& Config() const { return mConfig; }

private:
  routing_config mConfig; ///< The routes' owner.
  std::unordered_map<std::string, std::vector<const forward_route*>> mByHost; ///< Longest first.
};

} // namespace dunehook
