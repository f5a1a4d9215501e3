/**
 * @file refused_table.h
 * Prompts of requests that any daemon refused lately. A caller that retries with such a prompt has
 * already waited, and a second refusal would leave it without an answer.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <unordered_map>

namespace dunehook {

/** Recently refused prompts, by the hash of their request-specific part, which is the same in every
 * attempt. */
class refused_table
{
public:
  /** Notes a refusal. A key of 0 is ignored: the prompt can't be recognized again. */
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
  /** Drops expired refusals; to be called periodically. */
  void Prune(instant aNow)
  {
    std::erase_if(mRefused, [&](const auto& aRow) { return aNow - aRow.second >= kRetention; });
  }

private:
  /** Callers come back within a third of their remaining time, so older refusals needn't be kept.
   */
  static constexpr duration kRetention = std::chrono::seconds(8);

  std::unordered_map<std::uint64_t, instant> mRefused; ///< Time of the refusal, by prompt key.
};

} // namespace dunehook
