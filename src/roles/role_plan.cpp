/**
 * @file role_plan.cpp
 * Comparison of current and wanted roles, and choice of the engines to change.
 */
#include "roles/role_plan.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

/** An order that isn't carried out yet isn't repeated before this, as it may be carried out late.
 */
constexpr duration kPendingOrderTimeout = std::chrono::seconds(16);
/** Least time between two orders to an engine, in which it keeps its role. */
constexpr duration kMinTimeInRole = std::chrono::seconds(8);
/** Time for which roles must differ from the wanted ones before a change: it takes the engine out
 * of service for some seconds, and a missing engine may only be silent and come back. */
constexpr duration kMismatchDelay = std::chrono::seconds(3);
/** Limit of changes of a service in one plan. Orders are sent one after the other, and each takes
 * its engine out of service, so that many at once would leave too few. */
constexpr std::int64_t kMaxChangesPerPlan = 16;
/** Time after the first plan in which changes aren't delayed: nothing runs yet, so that a change
 * costs nothing. */
constexpr duration kStartPeriod = std::chrono::seconds(8);

} // namespace

std::vector<role_change>
role_planner::Plan(const runner_table& aRunners,
                   const engine_work& aWork,
                   const memory_lookup& aMemory,
                   instant aNow)
{
  mEngineWork = aWork;
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
    AddWorkSample(service, engines, aNow);
    PlanService(service, engines, aMemory(service), aNow, changes);
  }
  return changes;
}

void
role_planner::AddWorkSample(const std::string& aService,
                            const std::vector<const runner_state*>& aEngines,
                            instant aNow)
{
  double read = 0.0;
  double held = 0.0;
  for (const runner_state* const engine : aEngines) {
    const auto load = mEngineWork.mLoads.find(engine->mId);
    if (load != mEngineWork.mLoads.end()) {
      read += load->second.mReadTokens;
      held += load->second.mHeldTokens;
    }
  }
  mWork[aService].AddSample(read, held, aNow);
}

std::int64_t
role_planner::WantedReaders(const std::string& aService,
                            const role_split& aSplit,
                            std::uint64_t aMemory,
                            instant aNow) const
{
  const engine_speeds& speeds = mEngineWork.mSpeeds;
  const bool measured = speeds.mReadTokensPerMicro > 0.0 && speeds.mMicrosPerToken > 0.0;
  const auto work = mWork.find(aService);
  if (measured && aMemory > 0 && work != mWork.end() && work->second.Known(aNow)) {
    return work->second.ReadersForWork(aSplit, speeds, static_cast<double>(aMemory));
  }
  const auto all = static_cast<double>(aSplit.mReading + aSplit.mGenerating);
  return std::max<std::int64_t>(1, std::lround(mPrefillShare * all));
}

void
role_planner::PlanService(const std::string& aService,
                          const std::vector<const runner_state*>& aEngines,
                          std::uint64_t aMemory,
                          instant aNow,
                          std::vector<role_change>& aChanges)
{
  role_split split;
  for (const runner_state* const engine : aEngines) {
    const bool reads = RoleAfterOrder(*engine, aNow) == engine_role::ePrefill;
    ++(reads ? split.mReading : split.mGenerating);
  }
  const std::int64_t wanted = WantedReaders(aService, split, aMemory, aNow);
  if (split.mReading == wanted || aEngines.size() < 2) {
    mMismatchSince.erase(aService);
    return;
  }
  const instant since = mMismatchSince.try_emplace(aService, aNow).first->second;
  if (aNow - mStarted > kStartPeriod && aNow - since < kMismatchDelay) {
    return;
  }
  const bool tooMany = split.mReading > wanted;
  const engine_role from = tooMany ? engine_role::ePrefill : engine_role::eDecode;
  const engine_role to = tooMany ? engine_role::eDecode : engine_role::ePrefill;
  const std::int64_t missing = std::abs(split.mReading - wanted);
  // Engines are taken from the data hall with the most engines of the role, which keeps the halls
  // balanced.
  engines_by_hall byHall;
  for (const runner_state* const engine : aEngines) {
    byHall[engine->mEntry.mHall] += RoleAfterOrder(*engine, aNow) == from ? 1 : 0;
  }
  std::set<service_runner_id> changing;
  for (std::int64_t i = 0; i < std::min(missing, kMaxChangesPerPlan); ++i) {
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
role_planner::RoleAfterOrder(const runner_state& aEngine, instant aNow) const
{
  const auto ordered = mLastOrders.find(aEngine.mId);
  const bool pending =
    ordered != mLastOrders.end() && aNow - ordered->second.mAt < kPendingOrderTimeout;
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
    const auto ordered = mLastOrders.find(engine->mId);
    const bool changedLately =
      ordered != mLastOrders.end() && aNow - ordered->second.mAt < kMinTimeInRole;
    if (changedLately || aChosen.count(engine->mId) > 0 || engine->mEntry.mRole != aFrom ||
        RoleAfterOrder(*engine, aNow) != aFrom) {
      continue;
    }
    const auto better = [&](const runner_state& aThis, const runner_state& aThat) {
      const int left = aByHall.at(aThis.mEntry.mHall);
      const int right = aByHall.at(aThat.mEntry.mHall);
      const auto runs = [&](const runner_state& aEngine) {
        const auto found = mEngineWork.mLoads.find(aEngine.mId);
        return found == mEngineWork.mLoads.end() ? 0 : found->second.mRuns;
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
