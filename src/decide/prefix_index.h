/**
 * @file prefix_index.h
 * Records which engine has probably cached which prefix. Cache reports come late and have gaps, so
 * the entries are hints whose confidence decays. A wrong hint costs a prefill, never a wrong
 * answer.
 */
#pragma once

#include "decide/decide_type.h"

#include <deque>
#include <unordered_map>

namespace dunehook {

/** Cached prefixes by engine, limited in number per engine. */
class prefix_index
{
public:
  /** Records that @p aEngine has the prefix @p aHash in its cache at @p aNow. */
  void RecordCached(engine_id aEngine, std::uint64_t aHash, instant aNow);
  /** Records that @p aEngine no longer has the prefix @p aHash in its cache. */
  void RecordEvicted(engine_id aEngine, std::uint64_t aHash);
  /** Removes all hints of an engine. */
  void RemoveEngine(engine_id aEngine);
  /**
   * @return the prompt tokens expected in the engine's cache: the largest product of a block's
   * tokens and the confidence in its hint.
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
    std::unordered_map<std::uint64_t, instant> mLastConfirmed; ///< Last report of each hash.
    std::deque<std::uint64_t> mInsertionOrder; ///< Hashes of mLastConfirmed, first recorded first.
  };
  std::unordered_map<engine_id, engine_hints> mByEngine; ///< Hints by engine.
};

} // namespace dunehook
