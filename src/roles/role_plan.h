/**
 * @file role_plan.h
 * Plans which engines read prompts and which generate. Pure.
 */
#pragma once

#include "forward/placement_type.h"
#include "forward/runner_table.h"

#include <map>
#include <set>

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
   * @param aRuns runs under way by engine: they end before it changes.
   * @return changes wanted now: those that were wanted for a while, or any in the first moments.
   */
  std::vector<role_change> Plan(const runner_table& aRunners,
                                const std::map<service_runner_id, std::size_t>& aRuns,
                                instant aNow);
  /** Notes that an engine was ordered, so that it's left alone until the order must be done. */
  void NoteOrdered(const role_change& aChange, instant aNow)
  {
    mOrdered[aChange.mRunner] = { aChange.mRole, aNow };
  }

private:
  void PlanService(const std::string& aService,
                   const std::vector<const runner_state*>& aEngines,
                   instant aNow,
                   std::vector<role_change>& aChanges);
  /** @return the role an engine has, or will have once a recent order is done. */
  engine_role RoleToCome(const runner_state& aEngine, instant aNow) const;
  /** Engines of a role by hall, without those already chosen to change. */
  using engines_by_hall = std::map<std::string, int>;

  /**
   * @param aByHall engines of the role @p aFrom.
   * @param aChosen engines that are to change already.
   * @return an engine that may change from a role, or null.
   */
  const runner_state* ChooseEngine(const std::vector<const runner_state*>& aEngines,
                                   engine_role aFrom,
                                   instant aNow,
                                   const engines_by_hall& aByHall,
                                   const std::set<service_runner_id>& aChosen) const;

  double mPrefillShare; ///< Part of the engines that read.
  /** An order that was given. */
  struct given_order
  {
    engine_role mRole = engine_role::eNone; ///< Role ordered.
    instant mAt{ 0 };                       ///< When.
  };

  std::map<service_runner_id, given_order> mOrdered; ///< Last order by engine.
  std::map<service_runner_id, std::size_t> mRuns;    ///< Runs under way, of the last call.
  std::map<std::string, instant> mOffSince;          ///< By service: since when the plan isn't met.
  instant mStarted{ 0 };                             ///< First call.
};

} // namespace dunehook
