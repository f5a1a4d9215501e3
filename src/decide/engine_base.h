/**
 * @file engine_base.h
 * The table of engines of a cell.
 */
#pragma once

#include "decide/decide_type.h"

#include <map>
#include <set>

namespace dunehook {

/** State of an engine as the placement core knows it. */
struct engine_entry
{
  engine_info mInfo;                    ///< From the configuration and the host list.
  std::set<attempt_id> mActiveAttempts; ///< Requests that this core has placed there.
  std::uint32_t mOtherSlots =
    0; ///< Slots held by requests that this core doesn't know, as last reported.
  instant mAvoidUntil{ 0 }; ///< No new work before this, after a refusal or failure.

  /** @return whether the engine may be given new work at @p aNow. */
  bool TakesWork(instant aNow) const { return !mInfo.mLeaving && aNow >= mAvoidUntil; }
  /** @return the number of slots that nobody holds. */
  std::uint32_t FreeSlots() const
  {
    const std::size_t held = mActiveAttempts.size() + mOtherSlots;
    return held >= mInfo.mSlots ? 0 : static_cast<std::uint32_t>(mInfo.mSlots - held);
  }
};

using engine_table = std::map<engine_id, engine_entry>;

} // namespace dunehook
