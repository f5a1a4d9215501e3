/**
 * @file engine_base.h
 * The table of engines of a cell.
 */
#pragma once

#include "decide/decide_type.h"

#include <map>
#include <set>

namespace dunehook {

/** An engine as the core sees it. */
struct engine_entry
{
  engine_info mInfo;                    ///< From configuration and host list.
  std::set<attempt_id> mActiveAttempts; ///< Requests that this core has there now.
  std::uint32_t mOtherSlots = 0;        ///< Slots held by others, as last reported.
  instant mAvoidUntil{ 0 };             ///< No new work before this, after a refusal or failure.

  /** @return whether it may be given work at @p aNow. */
  bool TakesWork(instant aNow) const { return !mInfo.mLeaving && aNow >= mAvoidUntil; }
  /** @return slots that are not held. */
  std::uint32_t FreeSlots() const
  {
    const std::size_t held = mActiveAttempts.size() + mOtherSlots;
    return held >= mInfo.mSlots ? 0 : static_cast<std::uint32_t>(mInfo.mSlots - held);
  }
};

using engine_table = std::map<engine_id, engine_entry>;

} // namespace dunehook
