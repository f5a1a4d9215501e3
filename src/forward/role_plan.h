/**
 * @file role_plan.h
 * Plans which engines read prompts and which generate. Pure.
 */
#pragma once

#include "forward/placement_type.h"
#include "forward/runner_table.h"

#include <map>

namespace dunehook {

/** A change of role that the plan wants. */
struct role_change
{
  service_runner_id mRunner;              ///< Engine to change.
  engine_role mRole = engine_role::eNone; ///< Role it shall take.

  auto operator<=>(const role_change&) const = default;
};

/** Plans the roles of the engines of all services. */
class role_planner
{
public:
  explicit role_planner(double aPrefillShare)
    : mPrefillShare(aPrefillShare)
  {
  }

  /**
   * Compares what engines do with what they should.
   * @return changes wanted now: those that were wanted for a while, or any in the first moments.
   */
  std::vector<role_change> Plan(const runner_table& aRunners, instant aNow);
  /** Notes that an engine was ordered, so that it's left alone until the order must be done. */
  void NoteOrdered(service_runner_id aRunner, instant aNow) { mOrdered[aRunner] = aNow; }

private:
  double mPrefillShare;                          ///< Part of the engines that read.
  std::map<service_runner_id, instant> mOrdered; ///< Last order by engine.
  std::map<std::string, instant> mOffSince;      ///< By service: since when the plan isn't met.
  instant mStarted{ 0 };                         ///< First call.
};

} // namespace dunehook
