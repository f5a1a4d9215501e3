/**
 * @file refused_table.h
 * Prompts whose requests were refused lately, by any daemon. A caller that comes back with one has
 * waited already; to refuse it again costs it the answer.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <unordered_map>

namespace dunehook {

/** The table. Prompts are known by the key of their own part, which is alike for all tries. */
class refused_table
{
public:
  /** Notes a refusal. A key of 0 means that the prompt can't be known again. */
  void Note(std::uint64_t aKey, instant aNow)
  {
    if (aKey != 0) {
      mRefused[aKey] = aNow;
    }
  }
  /** @return whether a request with this prompt was refused lately. */
  bool Contains(std::uint64_t aKey, instant aNow) const
  {
    const auto found = mRefused.find(aKey);
    return found != mRefused.end() && aNow - found->second < kRetention;
  }
  /** Forgets old refusals; call it now and then. */
  void Prune(instant aNow)
  {
    std::erase_if(mRefused, [&](const auto& aRow) { return aNow - aRow.second >= kRetention; });
  }

private:
  /** Callers come back within a third of the time that they have left. */
  static constexpr duration kRetention = std::chrono::seconds(8);

  std::unordered_map<std::uint64_t, instant> mRefused; ///< When, by key.
};

} // namespace dunehook
