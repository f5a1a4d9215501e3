/**
 * @file prefix_index.cpp
 * Hints on which engine has cached which prefix.
 */
#include "decide/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

constexpr double kConfidenceDecaySeconds = 60.0; ///< Time in which the confidence falls to 1/e.

} // namespace

void
prefix_index::RecordCached(engine_id aEngine, std::uint64_t aHash, instant aNow)
{
  engine_hints& hints = mByEngine[aEngine];
  const bool fresh = hints.mLastConfirmed.insert_or_assign(aHash, aNow).second;
  if (!fresh) {
    return;
  }
  hints.mInsertionOrder.push_back(aHash);
  if (hints.mInsertionOrder.size() > kMaxHintsPerEngine) {
    hints.mLastConfirmed.erase(hints.mInsertionOrder.front());
    hints.mInsertionOrder.pop_front();
  }
}

void
prefix_index::RecordEvicted(engine_id aEngine, std::uint64_t aHash)
{
  const auto found = mByEngine.find(aEngine);
  if (found == mByEngine.end() || found->second.mLastConfirmed.erase(aHash) == 0) {
    return;
  }
  std::erase(found->second.mInsertionOrder, aHash);
}

void
prefix_index::RemoveEngine(engine_id aEngine)
{
  mByEngine.erase(aEngine);
}

std::uint32_t
prefix_index::ExpectedTokens(engine_id aEngine,
                             const std::vector<prefix_block>& aBlocks,
                             instant aNow) const
{
  const auto found = mByEngine.find(aEngine);
  if (found == mByEngine.end()) {
    return 0;
  }
  double best = 0.0;
  for (const prefix_block& block : aBlocks) {
    const auto seen = found->second.mLastConfirmed.find(block.mHash);
    if (seen == found->second.mLastConfirmed.end()) {
      continue;
    }
    const double confidence = std::exp(-ToSeconds(aNow - seen->second) / kConfidenceDecaySeconds);
    best = std::max(best, confidence * block.mTokens);
  }
  return static_cast<std::uint32_t>(best);
}

std::size_t
prefix_index::Size() const
{
  std::size_t size = 0;
  for (const auto& [engine, hints] : mByEngine) {
    size += hints.mLastConfirmed.size();
  }
  return size;
}

} // namespace dunehook
