/**
 * @file prefix_index.h
 * Which engine probably holds which prefix. A hint: reports are late and have gaps, so confidence
 * decays, and a wrong hint costs a prefill, never a wrong answer.
 */
#pragma once

#include "decide/decide_type.h"

#include <deque>
#include <unordered_map>

namespace dunehook {

/** Prefixes by engine, bounded in number. */
class prefix_index
{
public:
  /** Notes that @p aEngine holds @p aHash now. */
  void RecordCached(engine_id aEngine, std::uint64_t aHash, instant aNow);
  /** Notes that @p aEngine no longer holds @p aHash. */
  void RecordEvicted(engine_id aEngine, std::uint64_t aHash);
  /** Forgets an engine. */
  void RemoveEngine(engine_id aEngine);
  /** @return prompt tokens expected in the engine's cache: tokens of the best block by confidence.
   */
  std::uint32_t ExpectedTokens(engine_id aEngine,
                               const std::vector<prefix_block>& aBlocks,
                               instant aNow) const;
  std::size_t Size() const;

private:
  static constexpr std::size_t kMaxHintsPerEngine = 4096; ///< Hints kept for one engine.
  /** Hints of one engine. */
  struct engine_hints
  {
    std::unordered_map<std::uint64_t, instant>
      mLastConfirmed;                          ///< When each prefix was last confirmed.
    std::deque<std::uint64_t> mInsertionOrder; ///< Oldest first; may hold dropped ones.
  };
  std::unordered_map<engine_id, engine_hints> mByEngine; ///< Hints by engine.
};

} // namespace dunehook
