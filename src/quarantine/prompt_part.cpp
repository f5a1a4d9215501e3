/**
 * @file prompt_part.cpp
 * Hashing and comparison of prompts' parts.
 */
#include "quarantine/prompt_part.h"

#include "core/hash_func.h"

#include <algorithm>
#include <iterator>

namespace dunehook {

part_set
PartsOf(std::string_view aService,
        std::string_view aModel,
        const std::vector<std::string>& aPartIds)
{
  const std::uint64_t scope = HashBytes(aModel, HashBytes(aService));
  part_set parts;
  parts.reserve(aPartIds.size());
  for (const std::string& id : aPartIds) {
    parts.push_back({ HashBytes(id, scope) | 1U });
  }
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

bool
HoldsAll(const part_set& aParts, const part_set& aSome)
{
  return std::includes(aParts.begin(), aParts.end(), aSome.begin(), aSome.end());
}

part_set
PartsInBoth(const part_set& aOne, const part_set& aTwo)
{
  part_set both;
  std::set_intersection(
    aOne.begin(), aOne.end(), aTwo.begin(), aTwo.end(), std::back_inserter(both));
  return both;
}

request_fingerprint
FingerprintOf(const part_set& aParts)
{
  std::uint64_t hash = aParts.size();
  for (const prompt_part part : aParts) {
    hash = HashBytes({ reinterpret_cast<const char*>(&part.mValue), sizeof part.mValue }, hash);
  }
  return { hash | 1U };
}

} // namespace dunehook
