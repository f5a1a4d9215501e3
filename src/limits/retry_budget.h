/**
 * @file retry_budget.h
 * The part of the retry budget of a service that a daemon earns by its own requests and uses
 * without asking anyone. The fixed allowance is granted by one daemon for all, see permit_broker.h.
 *
 * All daemons together keep the limit however their windows are aligned: the requests behind the
 * retries of any window lie in that window and the one before it, so half of the share is used.
 */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <deque>

namespace dunehook {

/** Limits on retries for all daemons together. */
struct retry_limits
{
  double mShare = 0.2;                         ///< Retries allowed per request.
  duration mWindow = std::chrono::seconds(10); ///< Time over which the limit applies.
  double mAllowance = 50.0; ///< Retries allowed per window in addition to the share.

  auto operator<=>(const retry_limits&) const = default;
};

/** Retries that a daemon earns by its requests to a service. It begins with none. */
class retry_budget
{
public:
  explicit retry_budget(const retry_limits& aLimits)
    : mLimits(aLimits)
  {
  }

  /** Records a request of a caller. */
  void NoteRequest(instant aNow) { ++SlotAt(aNow).mRequests; }

  /**
   * @param aSends sends beyond those that the request may make without budget.
   * @return whether they are allowed; if so, they are taken off the budget.
   */
  bool Take(instant aNow, double aSends = 1.0)
  {
    slot& current = SlotAt(aNow);
    if (Left() < aSends) {
      return false;
    }
    current.mRetries += aSends;
    return true;
  }

private:
  /** Share of the limit that is used, see the head of the file. */
  static constexpr double kUsedLimitShare = 0.5;
  /** Parts of the window in which requests and retries are counted. */
  static constexpr int kSlotsPerWindow = 100;

  /** Counts of one part of the window. */
  struct slot
  {
    std::int64_t mNumber = 0; ///< Rises with time.
    double mRequests = 0.0;   ///< Requests of callers.
    double mRetries = 0.0;    ///< Sends taken.
  };

  /** @return the slot of an instant; drops those that are over. */
  slot& SlotAt(instant aNow)
  {
    const std::int64_t number = aNow / (mLimits.mWindow / kSlotsPerWindow);
    if (mSlots.empty() || mSlots.back().mNumber < number) {
      mSlots.push_back({ number });
    }
    while (mSlots.front().mNumber < mSlots.back().mNumber - kSlotsPerWindow) {
      mSlots.pop_front();
    }
    return mSlots.back();
  }

  /** @return retries left: requests count for a little less than the window, retries for a little
   * more. */
  double Left() const
  {
    double requests = 0.0;
    double retries = 0.0;
    for (const slot& one : mSlots) {
      const bool counts = one.mNumber > mSlots.back().mNumber - kSlotsPerWindow;
      requests += counts ? one.mRequests : 0.0;
      retries += one.mRetries;
    }
    return kUsedLimitShare * mLimits.mShare * requests - retries;
  }

  retry_limits mLimits;    ///< Limits of all daemons together.
  std::deque<slot> mSlots; ///< Those of the window, rising; kSlotsPerWindow + 1 at most.
};

} // namespace dunehook
