/**
 * @file reach_watch.h
 * Whether this daemon reaches the runners of a service, from its own connections to them. A daemon
 * that is cut off, and one whose runners are all down, look the same from here; another daemon that
 * is asked to relay tells the two apart. No I/O.
 */
#pragma once

#include "core/clock_type.h"
#include "runners/runner_type.h"

#include <algorithm>
#include <set>

namespace dunehook {

/** Evidence about the runners of one service. */
class reach_watch
{
public:
  /** Records that a runner answered or took a connection. @return whether this ends a cut. */
  bool NoteReached()
  {
    const bool wasCut = mCut;
    mCut = false;
    mFailed.clear();
    return wasCut;
  }

  /** Records that an engine was reached that reads prompts. Nothing is generated there, so that a
   * cut goes on. */
  void NotePrefillReached(service_runner_id aEngine) { mFailed.erase(aEngine); }

  /**
   * Records that a runner didn't take a connection, or gave no answer to a side call.
   * @param aRunners runners of the service that could do the same.
   * @return whether this begins a cut.
   */
  bool NoteUnreachable(service_runner_id aRunner, std::size_t aRunners, instant aNow)
  {
    mFailed.insert(aRunner);
    mLastFailureAt = aNow;
    const bool wasCut = mCut;
    mCut = mFailed.size() >= std::clamp<std::size_t>(aRunners, 1, kRunnersOfCut);
    return mCut && !wasCut;
  }

  /** @return whether the last runners that were tried, one after the other, weren't reached. */
  bool IsCut() const { return mCut; }
  /** @return whether a runner wasn't reached lately: it may be this daemon that is cut off. */
  bool HasFailedLately(instant aNow) const
  {
    return mLastFailureAt != instant{ 0 } && aNow - mLastFailureAt < kFailureMemory;
  }

private:
  /** Different runners that fail without an answer of any in between. One alone may be down. */
  static constexpr std::size_t kRunnersOfCut = 2;
  /** Longer than a runner that wasn't reached is left alone. */
  static constexpr duration kFailureMemory = std::chrono::milliseconds(1500);

  std::set<service_runner_id> mFailed; ///< Runners not reached since the last answer of any.
  instant mLastFailureAt{ 0 };         ///< Zero if none failed yet.
  bool mCut = false;                   ///< mFailed has, or had, enough runners.
};

} // namespace dunehook
