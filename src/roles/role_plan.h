/**
 * @file role_plan.h
 * Plans which engines are prefill engines and which are decode engines. Pure: no I/O, no clock.
 */
#pragma once

#include "placement/placement_type.h"
#include "roles/role_work.h"
#include "runners/runner_table.h"

#include <functional>
#include <map>
#include <set>

namespace dunehook {

/** A planned change of an engine's role. */
struct role_change
{
  service_runner_id mRunner;              ///< Engine to change.
  engine_role mRole = engine_role::eNone; ///< Role to change to.

  auto operator<=>(const role_change&) const = default;
};

/** @return tokens that fit into the memory of an engine of a service; 0 if unknown. */
using memory_lookup = std::function<std::uint64_t(const std::string& aService)>;

/** Plans the roles of the engines of all services: at first by a fixed share of prefill engines,
 * then by the measured work. */
class role_planner
{
public:
  /** @param aPrefillShare share of the engines that are prefill engines, until the work is known.
   */
  explicit role_planner(double aPrefillShare)
    : mPrefillShare(aPrefillShare)
  {
  }

  /**
   * Compares the engines' roles with the wanted ones.
   * @param aWork load of the engines. Those with few runs change first, as their runs must end
   * before the change.
   * @return changes to order now. After a start they are returned at once, later only when the
   * roles have been off for some seconds.
   */
  std::vector<role_change> Plan(const runner_table& aRunners,
                                const engine_work& aWork,
                                const memory_lookup& aMemory,
                                instant aNow);
  /** Records an order, so that the engine isn't chosen again while the order is pending. */
  void NoteOrdered(const role_change& aChange, instant aNow)
  {
    mLastOrders[aChange.mRunner] = { aChange.mRole, aNow };
  }

private:
  /** Adds a sample of the work of a service's engines. */
  void AddWorkSample(const std::string& aService,
                     const std::vector<const runner_state*>& aEngines,
                     instant aNow);
  /** @return wanted number of prefill engines of a service: by its measured work, or the configured
   * share while too little is known. */
  std::int64_t WantedReaders(const std::string& aService,
                             const role_split& aSplit,
                             std::uint64_t aMemory,
                             instant aNow) const;
  void PlanService(const std::string& aService,
                   const std::vector<const runner_state*>& aEngines,
                   std::uint64_t aMemory,
                   instant aNow,
                   std::vector<role_change>& aChanges);
  /** @return the role of an engine, or the one that it will have after a pending order. */
  engine_role RoleAfterOrder(const runner_state& aEngine, instant aNow) const;
  /** Number of engines of a role by data hall, without those already chosen to change. */
  using engines_by_hall = std::map<std::string, int>;

  /**
   * @param aByHall number of engines of the role @p aFrom by data hall.
   * @param aChosen engines already chosen to change.
   * @return the best engine to change from @p aFrom, or null if there's none.
   */
  const runner_state* ChooseEngine(const std::vector<const runner_state*>& aEngines,
                                   engine_role aFrom,
                                   instant aNow,
                                   const engines_by_hall& aByHall,
                                   const std::set<service_runner_id>& aChosen) const;

  double mPrefillShare; ///< Share of prefill engines until the work is known.
  /** An order that was sent to an engine. */
  struct given_order
  {
    engine_role mRole = engine_role::eNone; ///< Role ordered.
    instant mAt{ 0 };                       ///< Time of the order.
  };

  std::map<service_runner_id, given_order> mLastOrders; ///< Last order to each engine.
  engine_work mEngineWork;                ///< Load and speeds passed to the last Plan().
  std::map<std::string, role_work> mWork; ///< Averages of the work by service.
  /** By service: since when the roles differ from the wanted ones. */
  std::map<std::string, instant> mMismatchSince;
  instant mStarted{ 0 }; ///< Time of the first Plan().
};

} // namespace dunehook
