/**
 * @file load_engines.cpp
 * Memory of the simulated engines, and draws of generations.
 */
#include "tests/support/load_engines.h"

namespace dunehook {

using namespace std::chrono_literals;

engine_traits
load_engines::Traits()
{
  engine_traits traits;
  traits.mSlots = kEngineSlots;
  traits.mMemoryTokens = static_cast<std::uint64_t>(kEngineMemory);
  traits.mTokensPerEvent = 64;
  return traits;
}

runner_listing
load_engines::List(std::size_t aDecodes, std::size_t aPrefills)
{
  runner_listing listing;
  listing.mEnd = { 0, 1 };
  for (std::size_t index = 0; index < aDecodes + aPrefills; ++index) {
    runner_entry entry;
    entry.mName = "engine-" + std::to_string(index);
    entry.mService = "tutor";
    entry.mHall = "hall-" + std::to_string(index % 5);
    entry.mRole = index < aDecodes ? engine_role::eDecode : engine_role::ePrefill;
    entry.mModels["m"] = 1;
    listing.mRunners.push_back(entry);
  }
  return listing;
}

bool
load_engines::Reserve(service_runner_id aEngine,
                      std::uint32_t aReserved,
                      const load_run& aRun,
                      instant aNow)
{
  std::vector<load_run>& runs = mRuns[aEngine];
  double held = aReserved;
  for (const load_run& run : runs) {
    held += run.mPrompt + run.Made(aNow);
  }
  if (held > kEngineMemory || runs.size() >= kEngineSlots) {
    return false;
  }
  runs.push_back(aRun);
  return true;
}

engine_step
load_engines::Step(placement_table& aTable, instant aNow)
{
  engine_step step;
  for (auto& [engine, runs] : mRuns) {
    double held = 0.0;
    for (const load_run& run : runs) {
      held += run.mPrompt + run.Made(aNow);
    }
    // The newest run is preempted, is read again, and goes on; it is counted once.
    for (auto run = runs.rbegin(); run != runs.rend() && held > kEngineMemory; ++run) {
      step.mPreempted += run->mPreempted ? 0 : 1;
      held -= run->mPrompt + run->Made(aNow);
      run->mPreempted = true;
      run->mFrom = aNow + kPreemptedReadTime;
    }
    for (const load_run& run : runs) {
      const double made = run.Made(aNow);
      aTable.Progress(run.mRun, static_cast<std::uint32_t>(made), std::max(aNow, run.mFrom));
      if (made >= run.mAnswer) {
        step.mEnded.push_back(run);
        aTable.NoteFinished({ run.mRun, static_cast<std::uint32_t>(made), 0, 1ms, 0ms }, aNow);
        aTable.End(run.mRun);
      }
    }
    std::erase_if(runs, [&](const load_run& aRun) { return aRun.Made(aNow) >= aRun.mAnswer; });
  }
  return step;
}

generation_demand
load_draw::Next(double& aAnswer)
{
  generation_demand demand;
  aAnswer = std::min(kMaxAnswer, Draw(kAnswer, kAnswerSpread));
  demand.mRun = { ++mIds };
  demand.mService = "tutor";
  demand.mModel = "m";
  demand.mHall = "hall-" + std::to_string(mIds % 5);
  demand.mPromptTokens = static_cast<std::uint32_t>(Draw(kPrompt, kPromptSpread));
  demand.mAnswerTokens =
    static_cast<std::uint32_t>(aAnswer * std::exp(kGuessSpread * Normal())) + 1;
  demand.mMostTokens = static_cast<std::uint32_t>(kMaxAnswer);
  demand.mEventGap = 300ms;
  demand.mFirstEventWithin = 870ms;
  return demand;
}

} // namespace dunehook
