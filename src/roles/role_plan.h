/**
 * @file role_plan.h
 * Plans which engines read prompts and which generate. Pure.
 */
#pragma once

#include "placement/placement_type.h"
#include "roles/role_work.h"
#include "runners/runner_table.h"

#include <functional>
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

/** Tokens that an engine of a service holds; 0 if it isn't known. */
using memory_lookup = std::function<std::uint64_t(const std::string& aService)>;

/** Plans the roles of the engines of all services: at first by a share of them, then by the work
 * that their traffic makes. */
class role_planner
{
public:
  /** @param aPrefillShare part of the engines that read, until the work is known. */
  explicit role_planner(double aPrefillShare)
    : mPrefillShare(aPrefillShare)
  {
  }

  /**
   * Compares what engines do with what they should.
   * @param aWork what engines have to do; their runs end before they change.
   * @return changes wanted now: those that were wanted for a while, or any in the first moments.
   */
  std::vector<role_change> Plan(const runner_table& aRunners,
                                const engine_work& aWork,
                                const memory_lookup& aMemory,
                                instant aNow);
  /** Notes that an engine was ordered, so that it's left alone until the order must be done. */
  void NoteOrdered(const role_change& aChange, instant aNow)
  {
    mLastOrders[aChange.mRunner] = { aChange.mRole, aNow };
  }

private:
  /** Takes in the work of a service's engines. */
  void AddWorkSample(const std::string& aService,
                     const std::vector<const runner_state*>& aEngines,
                     instant aNow);
  /** @return how many engines of a service should read. */
  std::int64_t WantedReaders(const std::string& aService,
                             const role_split& aSplit,
                             std::uint64_t aMemory,
                             instant aNow) const;
  void PlanService(const std::string& aService,
                   const std::vector<const runner_state*>& aEngines,
                   std::uint64_t aMemory,
                   instant aNow,
                   std::vector<role_change>& aChanges);
  /** @return the role an engine has, or will have once a recent order is done. */
  engine_role RoleAfterOrder(const runner_state& aEngine, instant aNow) const;
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

  double mPrefillShare; ///< Part of the engines that read, until the work is known.
  /** An order that was given. */
  struct given_order
  {
    engine_role mRole = engine_role::eNone; ///< Role ordered.
    instant mAt{ 0 };                       ///< When.
  };

  std::map<service_runner_id, given_order> mLastOrders; ///< Last order by engine.
  engine_work mEngineWork;                              ///< Of the last call.
  std::map<std::string, role_work> mWork;               ///< By service.
  std::map<std::string, instant> mMismatchSince; ///< By service: since when the plan isn't met.
  instant mStarted{ 0 };                         ///< First call.
};

} // namespace dunehook
