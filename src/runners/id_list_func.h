/**
 * @file id_list_func.h
 * Encodes and decodes lists of runner ids in messages between daemons.
 */
#pragma once

#include "runners/runner_type.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace dunehook {

/** @return the ids as a JSON array of numbers. */
inline nlohmann::json
IdsOf(const std::vector<service_runner_id>& aIds)
{
  nlohmann::json items = nlohmann::json::array();
  for (const service_runner_id id : aIds) {
    items.push_back(id.mValue);
  }
  return items;
}

/** @return the ids of a JSON array; throws json::exception if it isn't one of numbers. */
inline std::vector<service_runner_id>
IdsFrom(const nlohmann::json& aItems)
{
  std::vector<service_runner_id> ids;
  for (const nlohmann::json& item : aItems) {
    ids.push_back({ item.get<std::uint64_t>() });
  }
  return ids;
}

} // namespace dunehook
