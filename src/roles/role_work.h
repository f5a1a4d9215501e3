/**
 * @file role_work.h
 * Recent work of a service's traffic for its engines: prompt reads and generation. From both
 * follows how many of the engines should be prefill engines. Pure: no I/O, no clock.
 */
#pragma once

#include "placement/placement_type.h"

#include <cstdint>

namespace dunehook {

/** Number of engines of a service by role. */
struct role_split
{
  std::int64_t mReading = 0;    ///< Prefill engines.
  std::int64_t mGenerating = 0; ///< Decode engines.

  auto operator<=>(const role_split&) const = default;
};

/** Work per second of a service's engines, as moving averages over some seconds. */
class role_work
{
public:
  /**
   * Adds a sample of the totals. Both totals count the work of the same requests when they are
   * placed, so that their ratio is also right at the begin of a peak, when prompts are read and
   * nothing is generated yet.
   * @param aReadTokens total of all prompts that the engines were asked to read so far.
   * @param aHeldTokens total of all runs that were placed so far, see engine_load.
   */
  void AddSample(double aReadTokens, double aHeldTokens, instant aNow);
  /** @return whether there was work for long enough to plan by it. */
  bool Known(instant aNow) const;
  /**
   * @return wanted number of prefill engines: the one that minimizes the utilization of the busier
   * role, or the current one if the gain isn't worth the cost of a change.
   * @param aMemory tokens that fit into an engine's memory.
   */
  std::int64_t ReadersForWork(const role_split& aNow,
                              const engine_speeds& aSpeeds,
                              double aMemory) const;

private:
  instant mFirstWork{ 0 };      ///< Time of the first sample with work.
  instant mLastSample{ 0 };     ///< Time of the last sample.
  double mLastReadTokens = 0.0; ///< Total of prompt tokens in the last sample.
  double mLastHeldTokens = 0.0; ///< Total of held tokens in the last sample.
  double mReadRate = 0.0;       ///< Prompt tokens to read per second.
  double mHeldRate = 0.0;       ///< Held tokens per second, as in engine_load.
};

} // namespace dunehook
