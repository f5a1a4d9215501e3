/**
 * @file role_plan.cpp
 * The plan of roles.
 */
#include "roles/role_plan.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

/** An order that isn't done yet isn't given again before this: it may be carried out late. */
constexpr duration kOrderPending = std::chrono::seconds(16);
/** An engine that has changed its role keeps it for this long at least. */
constexpr duration kDwell = std::chrono::seconds(8);
/** A change costs the engine some seconds out of work, so a gap that may close by itself, since an
 * engine is only silent, isn't filled at once. */
constexpr duration kSteadyFor = std::chrono::seconds(3);
/** Changes of a service in one plan: orders are given one after the other, and each takes its
 * engine out of work, so many at once would leave too few. */
constexpr std::int64_t kMostChanges = 16;
/** At the start nothing is running yet, and a change costs nothing. */
constexpr duration kStartTime = std::chrono::seconds(8);

/** How the engines of a service stand against what is wanted. */
struct role_balance
{
  std::int64_t mReading = 0; ///< Engines that read, or were ordered to.
  std::int64_t mWanted = 0;  ///< Engines that shall read.
};

} // namespace

std::vector<role_change>
role_planner::Plan(const runner_table& aRunners,
                   const std::map<service_runner_id, std::size_t>& aRuns,
                   instant aNow)
{
  mRuns = aRuns;
  if (mStarted == instant{ 0 }) {
    mStarted = aNow;
  }
  std::map<std::string, std::vector<const runner_state*>> services;
  for (const auto& [id, runner] : aRunners.Rows()) {
    if (runner.mEntry.mRole != engine_role::eNone && !runner.mDraining && !runner.mGone) {
      services[runner.mEntry.mService].push_back(&runner);
    }
  }
  std::vector<role_change> changes;
  for (const auto& [service, engines] : services) {
    PlanService(service, engines, aNow, changes);
  }
  return changes;
}

void
role_planner::PlanService(const std::string& aService,
                          const std::vector<const runner_state*>& aEngines,
                          instant aNow,
                          std::vector<role_change>& aChanges)
{
  const double share = mPrefillShare * static_cast<double>(aEngines.size());
  role_balance balance;
  balance.mWanted = std::max<std::int64_t>(1, std::lround(share));
  for (const runner_state* const engine : aEngines) {
    balance.mReading += RoleToCome(*engine, aNow) == engine_role::ePrefill ? 1 : 0;
  }
  if (balance.mReading == balance.mWanted || aEngines.size() < 2) {
    mOffSince.erase(aService);
    return;
  }
  const instant since = mOffSince.try_emplace(aService, aNow).first->second;
  if (aNow - mStarted > kStartTime && aNow - since < kSteadyFor) {
    return;
  }
  const bool tooMany = balance.mReading > balance.mWanted;
  const engine_role from = tooMany ? engine_role::ePrefill : engine_role::eDecode;
  const engine_role to = tooMany ? engine_role::eDecode : engine_role::ePrefill;
  const std::int64_t missing = std::abs(balance.mReading - balance.mWanted);
  // The hall with the most engines of the role gives one, so that halls stay alike.
  engines_by_hall byHall;
  for (const runner_state* const engine : aEngines) {
    byHall[engine->mEntry.mHall] += RoleToCome(*engine, aNow) == from ? 1 : 0;
  }
  std::set<service_runner_id> changing;
  for (std::int64_t i = 0; i < std::min(missing, kMostChanges); ++i) {
    const runner_state* const chosen = ChooseEngine(aEngines, from, aNow, byHall, changing);
    if (chosen == nullptr) {
      return;
    }
    aChanges.push_back({ chosen->mId, to });
    changing.insert(chosen->mId);
    --byHall[chosen->mEntry.mHall];
  }
}

engine_role
role_planner::RoleToCome(const runner_state& aEngine, instant aNow) const
{
  const auto ordered = mOrdered.find(aEngine.mId);
  const bool pending = ordered != mOrdered.end() && aNow - ordered->second.mAt < kOrderPending;
  return pending ? ordered->second.mRole : aEngine.mEntry.mRole;
}

const runner_state*
role_planner::ChooseEngine(const std::vector<const runner_state*>& aEngines,
                           engine_role aFrom,
                           instant aNow,
                           const engines_by_hall& aByHall,
                           const std::set<service_runner_id>& aChosen) const
{
  const runner_state* chosen = nullptr;
  for (const runner_state* const engine : aEngines) {
    const auto ordered = mOrdered.find(engine->mId);
    const bool rests = ordered != mOrdered.end() && aNow - ordered->second.mAt < kDwell;
    if (rests || aChosen.count(engine->mId) > 0 || engine->mEntry.mRole != aFrom ||
        RoleToCome(*engine, aNow) != aFrom) {
      continue;
    }
    const auto better = [&](const runner_state& aThis, const runner_state& aThat) {
      const int left = aByHall.at(aThis.mEntry.mHall);
      const int right = aByHall.at(aThat.mEntry.mHall);
      const auto runs = [&](const runner_state& aEngine) {
        const auto found = mRuns.find(aEngine.mId);
        return found == mRuns.end() ? 0 : found->second;
      };
      if (left != right) {
        return left > right;
      }
      return std::pair(runs(aThis), aThis.mId) < std::pair(runs(aThat), aThat.mId);
    };
    if (chosen == nullptr || better(*engine, *chosen)) {
      chosen = engine;
    }
  }
  return chosen;
}

} // namespace dunehook
