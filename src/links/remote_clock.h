/**
 * @file remote_clock.h
 * Translates instants of another daemon's clock. A message may wait in the queue of a full link, so
 * its arrival alone doesn't tell how old its content is.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace dunehook {

/** Messages of this time are compared; clocks drift apart by less than a millisecond in it. */
inline constexpr duration kClockWindow = std::chrono::seconds(60);

/**
 * The clock of one sender. Of its recent messages the one with the least difference between arrival
 * and sending is taken for one that didn't wait; what others differ by more is how long they did.
 */
class remote_clock
{
public:
  /** Records a message. @param aSentAt when it was sent, on the sender's clock. */
  void Note(instant aSentAt, instant aArrivedAt)
  {
    const duration difference = aArrivedAt - aSentAt;
    if (aArrivedAt - mWindowBegan >= kClockWindow) {
      mFormerLeast = mLeast;
      mLeast = difference;
      mWindowBegan = aArrivedAt;
    }
    mLeast = std::min(mLeast, difference);
    mLastAt = aArrivedAt;
  }

  /** @return an instant of the sender's clock on this daemon's; never too late by more than the
   * shortest wait of its recent messages. @pre a message was recorded. */
  instant ToLocal(instant aTheirs) const { return aTheirs + std::min(mLeast, mFormerLeast); }

  /** @return when the last message arrived. */
  instant LastAt() const { return mLastAt; }

private:
  duration mLeast = duration::max();       ///< Least difference in this window.
  duration mFormerLeast = duration::max(); ///< The same in the window before.
  instant mWindowBegan{ 0 };               ///< When this window began.
  instant mLastAt{ 0 };                    ///< When the last message arrived.
};

} // namespace dunehook
