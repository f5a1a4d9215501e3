/**
 * @file id_list_func.h
 * Encodes and decodes lists of ids in messages between daemons.
 */
#pragma once

#include "core/strong_id.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace dunehook {

/** @return the ids as a JSON array of numbers. */
template<typename Tag>
nlohmann::json
IdsOf(const std::vector<strong_id<Tag>>& aIds)
{
  nlohmann::json items = nlohmann::json::array();
  for (const strong_id<Tag> id : aIds) {
    items.push_back(id.mValue);
  }
  return items;
}

/** @return the ids of a JSON array; throws json::exception if it isn't one of numbers. */
template<typename Id>
std::vector<Id>
IdsFrom(const nlohmann::json& aItems)
{
  std::vector<Id> ids;
  for (const nlohmann::json& item : aItems) {
    ids.push_back({ item.get<std::uint64_t>() });
  }
  return ids;
}

} // namespace dunehook
