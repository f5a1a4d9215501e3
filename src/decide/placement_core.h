/**
 * @file placement_core.h
 * The decision core of one cell: events in, orders and decision records out.
 */
#pragma once

#include "decide/event_func.h"
#include "decide/system_func.h"

namespace dunehook {

/**
 * Places the requests of a cell.
 * @tparam Chooser how engines are chosen.
 */
template<engine_chooser Chooser>
class placement_core
{
public:
  /**
   * @param aSettings settings of the cell.
   * @param aSeed seed of the random numbers that spread Retry-After.
   */
  explicit placement_core(const cell_settings& aSettings, std::uint64_t aSeed = 1)
  {
    mCell.mSettings = aSettings;
    mCell.mRandom.seed(aSeed);
  }

  /**
   * Applies an event and runs the systems.
   * @param aNow the event's instant; never before that of an earlier call.
   */
  tick_result Handle(const decide_event& aEvent, instant aNow)
  {
    tick_result out;
    mCell.mNow = aNow;
    ApplyEvent(mCell, aEvent, out);
    RunSystems(out);
    return out;
  }

  /** Runs the systems without an event, so that time limits take effect. */
  tick_result Tick(instant aNow)
  {
    tick_result out;
    mCell.mNow = aNow;
    RunSystems(out);
    return out;
  }

  const cell_state& State() const { return mCell; }

private:
  void RunSystems(tick_result& aOut)
  {
    AgeRequests(mCell);
    ExpireRequests(mCell, aOut);
    StartPrefills(mCell, mChooser, aOut);
    AssignDecodeEngines(mCell, mChooser, aOut);
    ScheduleTransfers(mCell, aOut);
  }

  cell_state mCell; ///< The tables.
  Chooser mChooser; ///< How engines are chosen.
};

} // namespace dunehook
