/**
 * @file role_plan.cpp
 * The plan of roles.
 */
#include "forward/role_plan.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

/** An engine that was ordered isn't ordered again before this: orders may be done late. */
constexpr duration kLeaveAlone = std::chrono::seconds(16);
/** A change costs the engine some seconds out of work, so a short gap isn't filled. */
constexpr duration kSteadyFor = std::chrono::seconds(4);
/** At the start nothing is running yet, and a change costs nothing. */
constexpr duration kStartTime = std::chrono::seconds(8);

} // namespace

std::vector<role_change>
role_planner::Plan(const runner_table& aRunners, instant aNow)
{
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
  for (auto& [service, engines] : services) {
    // Reading must go on when one engine is lost, but a service of few engines can't spare two.
    const double share = mPrefillShare * static_cast<double>(engines.size());
    const auto wanted = std::max<std::int64_t>(1, std::lround(share));
    const auto reading = std::count_if(engines.begin(), engines.end(), [](const auto* aEngine) {
      return aEngine->mEntry.mRole == engine_role::ePrefill;
    });
    if (reading == wanted || engines.size() < 2) {
      mOffSince.erase(service);
      continue;
    }
    const instant since = mOffSince.try_emplace(service, aNow).first->second;
    if (aNow - mStarted > kStartTime && aNow - since < kSteadyFor) {
      continue;
    }
    const engine_role from = reading > wanted ? engine_role::ePrefill : engine_role::eDecode;
    const engine_role to = reading > wanted ? engine_role::eDecode : engine_role::ePrefill;
    // The hall with the most engines of the role gives one, so that halls stay alike.
    std::map<std::string, int> byHall;
    for (const runner_state* const engine : engines) {
      byHall[engine->mEntry.mHall] += engine->mEntry.mRole == from ? 1 : 0;
    }
    const runner_state* chosen = nullptr;
    for (const runner_state* const engine : engines) {
      const auto ordered = mOrdered.find(engine->mId);
      const bool rests = ordered != mOrdered.end() && aNow - ordered->second < kLeaveAlone;
      if (engine->mEntry.mRole != from || rests) {
        continue;
      }
      const auto better = [&](const runner_state& aThis, const runner_state& aThat) {
        const int left = byHall[aThis.mEntry.mHall];
        const int right = byHall[aThat.mEntry.mHall];
        return left != right ? left > right : aThis.mId < aThat.mId;
      };
      if (chosen == nullptr || better(*engine, *chosen)) {
        chosen = engine;
      }
    }
    const auto pending = std::count_if(engines.begin(), engines.end(), [&](const auto* aEngine) {
      const auto ordered = mOrdered.find(aEngine->mId);
      return aEngine->mEntry.mRole == from && ordered != mOrdered.end() &&
             aNow - ordered->second < kLeaveAlone;
    });
    if (chosen != nullptr && pending < std::abs(reading - wanted)) {
      changes.push_back({ chosen->mId, to });
    }
  }
  return changes;
}

} // namespace dunehook
