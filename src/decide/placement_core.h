/**
 * @file placement_core.h
 * The placement core of one cell: takes events and returns orders and decision records.
 */
#pragma once

#include "decide/event_func.h"
#include "decide/placement_step_func.h"

namespace dunehook {

/**
 * Places the requests of a cell.
 * @tparam Chooser the policy that chooses engines.
 */
template<engine_chooser Chooser>
class placement_core
{
public:
  /**
   * @param aSettings settings of the cell.
   * @param aSeed seed of the jitter in Retry-After.
   */
  explicit placement_core(const cell_settings& aSettings, std::uint64_t aSeed = 1)
  {
    mCell.mSettings = aSettings;
    mCell.mRandom.seed(aSeed);
  }

  /**
   * Applies an event and runs the placement steps.
   * @param aNow the time of the event; never earlier than in a previous call.
   */
  tick_result Handle(const decide_event& aEvent, instant aNow)
  {
    tick_result out;
    mCell.mNow = aNow;
    ApplyEvent(mCell, aEvent, out);
    RunSteps(out);
    return out;
  }

  /** Runs the placement steps without an event, so that time limits take effect. */
  tick_result Tick(instant aNow)
  {
    tick_result out;
    mCell.mNow = aNow;
    RunSteps(out);
    return out;
  }

  const cell_state& State() const { return mCell; }

private:
  void RunSteps(tick_result& aOut)
  {
    AgeRequests(mCell);
    ExpireRequests(mCell, aOut);
    StartPrefills(mCell, mChooser, aOut);
    AssignDecodeEngines(mCell, mChooser, aOut);
    ScheduleTransfers(mCell, aOut);
  }

  cell_state mCell; ///< The tables.
  Chooser mChooser; ///< Policy that chooses engines.
};

} // namespace dunehook
