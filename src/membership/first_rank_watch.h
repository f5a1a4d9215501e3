/**
 * @file first_rank_watch.h
 * Tells since when a daemon has been among the first ones by rank, which act for the others. It
 * does no I/O: the caller passes in the members and the time.
 */
#pragma once

#include "membership/member_base.h"

namespace dunehook {

/** Watches whether a daemon is among the first ones. */
class first_rank_watch
{
public:
  /** @param aCount how many are the first ones. */
  explicit first_rank_watch(std::size_t aCount)
    : mCount(aCount)
  {
  }

  /** To be called several times a second. @param aLate the process was suspended: it may have
   * missed what was sent to the first ones. */
  void Update(const member_table& aMembers, bool aLate, instant aNow)
  {
    const bool isFirst = aMembers.IsAmongFirst(mCount);
    if (!isFirst || aLate) {
      mSince.reset();
    }
    if (isFirst && !mSince) {
      mSince = aNow;
    }
  }
  /** @return whether the daemon has been among the first ones for some time. */
  bool HasBeenFirstFor(duration aSpan, instant aNow) const
  {
    return mSince && aNow - *mSince >= aSpan;
  }

private:
  std::size_t mCount;            ///< How many are the first ones.
  std::optional<instant> mSince; ///< Since when it's one of them; nothing if it isn't.
};

} // namespace dunehook
