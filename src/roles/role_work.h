/**
 * @file role_work.h
 * How much of a service's engines its traffic needs for reading prompts, and how much for
 * generating, as seen of late. From both follows how many engines should read. Pure.
 */
#pragma once

#include "placement/placement_type.h"

#include <cstdint>

namespace dunehook {

/** Engines of a service by what they do. */
struct role_split
{
  std::int64_t mReading = 0;    ///< Engines that read prompts.
  std::int64_t mGenerating = 0; ///< Engines that generate.

  auto operator<=>(const role_split&) const = default;
};

/** The work of a service's engines, as means over some seconds. */
class role_work
{
public:
  /**
   * Takes in what is seen now. Both count from the same requests, so that their ratio is right also
   * as a peak begins, when prompts are read and nothing is generated yet.
   * @param aReadTokens of all prompts that were asked to be read so far.
   * @param aHeldTokens of all runs that were placed so far, see engine_load.
   */
  void AddSample(double aReadTokens, double aHeldTokens, instant aNow);
  /** @return whether enough was seen to go by. */
  bool Known(instant aNow) const;
  /**
   * @return how many engines should read: as many as make the busier of the two roles the least
   * busy. Those that do now, unless a change makes enough of a difference for what it costs.
   * @param aMemory tokens that an engine holds.
   */
  std::int64_t WantedReaders(const role_split& aNow,
                             const engine_speeds& aSpeeds,
                             double aMemory) const;

private:
  instant mFirstWork{ 0 };      ///< When there was work for the first time.
  instant mLastSample{ 0 };     ///< When work was looked at last.
  double mLastReadTokens = 0.0; ///< Tokens asked to be read by then.
  double mLastHeldTokens = 0.0; ///< Tokens asked to be held by then.
  double mReadRate = 0.0;       ///< Tokens asked to be read a second.
  double mHeldRate = 0.0;       ///< Tokens asked to be held a second.
};

} // namespace dunehook
