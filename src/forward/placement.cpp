/**
 * @file placement.cpp
 * The forecast of memory and the choice of engines.
 */
#include "forward/placement.h"

#include <algorithm>
#include <limits>

namespace dunehook {

namespace {

/** A run that outlives its expected end is expected to make this much more of what it made. */
constexpr double kOverrunShare = 0.12;
/** Tokens that a run is expected to go on for at least; about one event. */
constexpr double kLeastRemaining = 64.0;
/** Runs of others are dropped this long after their expected end if nobody said that they ended. */
constexpr duration kForgetAfter = std::chrono::milliseconds(2500);
/** Time from the end of a read to the first token: one call, and the memory's move. */
constexpr duration kHandoffTime = std::chrono::milliseconds(15);
/** Moves between halls take longer and are charged more: worth this much waiting. */
constexpr double kOtherHallMoveMicros = 25000.0;
/** Events that come from another hall: worth this much waiting. */
constexpr double kOtherHallCallMicros = 6000.0;
/** A full engine against an empty one: tokens come slower, and guesses fail more often. */
constexpr double kFullEngineMicros = 60000.0;
/** A decode engine reads prompts at half of the pace of a prefill engine. */
constexpr double kDecodeReadShare = 0.5;
/** Longest prompt that a decode engine reads itself: its other runs pause meanwhile. */
constexpr std::uint32_t kLongestDecodeRead = 5500;
/** Waiting for a prefill engine beyond this makes reading at the decode engine the better way. */
constexpr double kDecodeReadPenaltyMicros = 400000.0;
/** Weight of the newest measurement of a speed. */
constexpr double kSpeedWeight = 0.1;

double
Micros(duration aSpan)
{
  return static_cast<double>(aSpan.count());
}

duration
FromMicros(double aMicros)
{
  return duration(static_cast<std::int64_t>(aMicros));
}

} // namespace

double
placement_table::MicrosPerToken(service_runner_id aDecode) const
{
  const auto found = mDecodes.find(aDecode);
  return found == mDecodes.end() ? decode_state{}.mMicrosPerToken : found->second.mMicrosPerToken;
}

instant
placement_table::EndOf(const run_record& aRun) const
{
  const double remaining =
    static_cast<double>(aRun.mAnswerTokens) - static_cast<double>(aRun.mMadeTokens);
  const double overrun = kOverrunShare * aRun.mMadeTokens;
  const double expected = std::max({ remaining, overrun, kLeastRemaining });
  return aRun.mSeen + FromMicros(expected * MicrosPerToken(aRun.mDecode));
}

double
placement_table::TokensAt(const run_record& aRun, instant aAt) const
{
  const double since = std::max(0.0, Micros(aAt - aRun.mSeen)) / MicrosPerToken(aRun.mDecode);
  return aRun.mPromptTokens + aRun.mMadeTokens + since;
}

std::vector<const run_record*>
placement_table::RunsOn(service_runner_id aDecode) const
{
  std::vector<const run_record*> runs;
  for (const auto& [id, run] : mRuns) {
    if (run.mDecode == aDecode) {
      runs.push_back(&run);
    }
  }
  return runs;
}

double
placement_table::PeakTokens(service_runner_id aDecode,
                            const generation_demand& aDemand,
                            instant aFrom) const
{
  run_record newcomer;
  newcomer.mDecode = aDecode;
  newcomer.mPromptTokens = aDemand.mPromptTokens;
  newcomer.mAnswerTokens = aDemand.mAnswerTokens;
  newcomer.mSeen = aFrom;
  std::vector<const run_record*> runs = RunsOn(aDecode);
  runs.push_back(&newcomer);
  // Use grows until a run ends, so the peak lies right before one of the ends, or at the start.
  double peak = 0.0;
  for (const run_record* const ending : runs) {
    const instant at = std::max(EndOf(*ending), aFrom);
    double sum = 0.0;
    for (const run_record* const run : runs) {
      sum += EndOf(*run) >= at ? TokensAt(*run, at) : 0.0;
    }
    peak = std::max(peak, sum);
  }
  return peak;
}

duration
placement_table::ReadTime(service_runner_id aPrefill, std::uint32_t aTokens, instant aNow) const
{
  const auto found = mPrefills.find(aPrefill);
  const prefill_state state = found == mPrefills.end() ? prefill_state{} : found->second;
  const duration queue = std::max(duration{ 0 }, state.mBusyUntil - aNow);
  return queue + FromMicros(aTokens / state.mTokensPerMicro);
}

instant
placement_table::FitsFrom(service_runner_id aDecode,
                          const generation_demand& aDemand,
                          double aMemory,
                          std::size_t aSlots,
                          instant aFrom) const
{
  const std::vector<const run_record*> runs = RunsOn(aDecode);
  std::vector<instant> ends;
  for (const run_record* const run : runs) {
    ends.push_back(std::max(EndOf(*run), aFrom));
  }
  std::sort(ends.begin(), ends.end());
  if (runs.size() < aSlots && PeakTokens(aDecode, aDemand, aFrom) <= aMemory) {
    return aFrom;
  }
  for (std::size_t ended = 0; ended < ends.size(); ++ended) {
    const instant from = ends[ended] + duration{ 1 };
    if (runs.size() < aSlots + ended + 1 && PeakTokens(aDecode, aDemand, from) <= aMemory) {
      return from;
    }
  }
  return ends.empty() ? aFrom : ends.back() + duration{ 1 };
}

placement_answer
placement_table::Choose(const generation_demand& aDemand,
                        const engine_traits& aTraits,
                        const runner_table& aRunners,
                        instant aNow) const
{
  std::vector<const runner_state*> prefills;
  std::vector<const runner_state*> decodes;
  for (const auto& [id, runner] : aRunners.Rows()) {
    const bool usable = runner.mEntry.mService == aDemand.mService &&
                        aRunners.TakesWork(runner, aNow) &&
                        (aDemand.mModel.empty() || runner.mEntry.mModels.count(aDemand.mModel) > 0);
    if (usable && runner.mEntry.mRole == engine_role::ePrefill) {
      prefills.push_back(&runner);
    } else if (usable && runner.mEntry.mRole == engine_role::eDecode) {
      decodes.push_back(&runner);
    }
  }
  placement_answer answer;
  if (decodes.empty()) {
    answer.mFreeIn = std::chrono::seconds(1);
    return answer;
  }
  const double memory = mTuning.mMemoryShare * static_cast<double>(aTraits.mMemoryTokens);
  double bestCost = std::numeric_limits<double>::max();
  instant soonest = instant::max();
  bool memoryFits = false;
  for (const runner_state* const decode : decodes) {
    const auto known = mDecodes.find(decode->mId);
    const instant fullUntil = known == mDecodes.end() ? instant{ 0 } : known->second.mFullUntil;
    const instant fits =
      std::max(fullUntil, FitsFrom(decode->mId, aDemand, memory, aTraits.mSlots, aNow));
    if (mTuning.mForecast && fits > aNow) {
      soonest = std::min(soonest, fits);
      continue;
    }
    memoryFits = true;
    const double peak =
      PeakTokens(decode->mId, aDemand, aNow) / static_cast<double>(aTraits.mMemoryTokens);
    const double event = aTraits.mTokensPerEvent * MicrosPerToken(decode->mId);
    const double load =
      mTuning.mForecast ? peak : 0.05 * static_cast<double>(RunsOn(decode->mId).size());
    const double base = kFullEngineMicros * load + Micros(kHandoffTime) + event +
                        (decode->mEntry.mHall == aDemand.mHall ? 0.0 : kOtherHallCallMicros);
    const auto consider =
      [&](std::optional<service_runner_id> aPrefill, duration aRead, double aExtra) {
        const duration untilEvent = aRead + kHandoffTime + FromMicros(event);
        if (mTuning.mForecast && untilEvent > aDemand.mFirstEventWithin) {
          return;
        }
        const double cost = base + Micros(aRead) + aExtra;
        if (cost < bestCost) {
          bestCost = cost;
          answer.mChoice = placement_choice{ decode->mId, aPrefill, aRead, untilEvent, peak };
        }
      };
    for (const runner_state* const prefill : prefills) {
      const bool sameHall = prefill->mEntry.mHall == decode->mEntry.mHall;
      const auto version = [&](const runner_state* aRunner) {
        const auto found = aRunner->mEntry.mModels.find(aDemand.mModel);
        return found == aRunner->mEntry.mModels.end() ? 0 : found->second;
      };
      if (version(prefill) != version(decode)) {
        continue; // Its KV cache would be of other weights.
      }
      consider(prefill->mId,
               ReadTime(prefill->mId, aDemand.mPromptTokens, aNow),
               sameHall ? 0.0 : kOtherHallMoveMicros);
    }
    if (prefills.empty() || aDemand.mPromptTokens <= kLongestDecodeRead) {
      const double rate = prefill_state{}.mTokensPerMicro * kDecodeReadShare;
      consider(std::nullopt,
               FromMicros(aDemand.mPromptTokens / rate),
               prefills.empty() ? 0.0 : kDecodeReadPenaltyMicros);
    }
  }
  if (!answer.mChoice) {
    answer.mReason = memoryFits ? no_place::eTooLate : no_place::eNoMemory;
    answer.mFreeIn =
      memoryFits ? std::chrono::milliseconds(300) : std::max(duration{ 0 }, soonest - aNow);
  }
  return answer;
}

void
placement_table::Begin(const run_record& aRun, instant aNow)
{
  const auto [place, fresh] = mRuns.insert_or_assign(aRun.mRun, aRun);
  if (fresh && aRun.mPrefill) {
    prefill_state& state = mPrefills[aRun.mPrefill];
    const duration read = FromMicros(aRun.mPromptTokens / state.mTokensPerMicro);
    state.mBusyUntil = std::max(state.mBusyUntil, aNow) + read;
  }
}

void
placement_table::Progress(run_id aRun, std::uint32_t aMadeTokens, instant aNow)
{
  const auto found = mRuns.find(aRun);
  if (found != mRuns.end()) {
    found->second.mMadeTokens = aMadeTokens;
    found->second.mSeen = aNow;
  }
}

void
placement_table::End(run_id aRun)
{
  mRuns.erase(aRun);
}

void
placement_table::NoteRead(service_runner_id aPrefill,
                          std::uint32_t aTokens,
                          duration aTook,
                          instant aNow)
{
  prefill_state& state = mPrefills[aPrefill];
  const double alone = aTokens / std::max(1.0, Micros(aTook));
  // A read that waited for others looks slow; only one as fast as expected says how fast it goes.
  if (alone > 0.8 * state.mTokensPerMicro) {
    state.mTokensPerMicro += kSpeedWeight * (alone - state.mTokensPerMicro);
  }
  if (state.mBusyUntil < aNow) {
    return;
  }
}

void
placement_table::NotePace(service_runner_id aDecode, std::uint32_t aTokens, duration aTook)
{
  decode_state& state = mDecodes[aDecode];
  const double micros = Micros(aTook) / std::max(1U, aTokens);
  state.mMicrosPerToken += kSpeedWeight * (micros - state.mMicrosPerToken);
}

void
placement_table::NoteFull(service_runner_id aDecode, instant aUntil)
{
  decode_state& state = mDecodes[aDecode];
  state.mFullUntil = std::max(state.mFullUntil, aUntil);
}

void
placement_table::ReplaceRuns(std::uint64_t aDaemon,
                             const std::vector<run_record>& aRuns,
                             instant aNow)
{
  std::erase_if(mRuns, [&](const auto& aRow) {
    return aRow.second.mDaemon == aDaemon &&
           std::none_of(aRuns.begin(), aRuns.end(), [&](const run_record& aRun) {
             return aRun.mRun == aRow.first;
           });
  });
  for (const run_record& run : aRuns) {
    Begin(run, aNow);
  }
}

void
placement_table::Prune(const runner_table& aRunners, instant aNow)
{
  std::erase_if(mRuns, [&](const auto& aRow) {
    const run_record& run = aRow.second;
    const bool overdue = run.mDaemon != 0 && EndOf(run) + kForgetAfter < aNow;
    return overdue || (run.mDaemon != 0 && aRunners.Find(run.mDecode) == nullptr);
  });
  std::erase_if(mDecodes, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
  std::erase_if(mPrefills, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
}

std::vector<run_record>
placement_table::OwnRuns() const
{
  std::vector<run_record> runs;
  for (const auto& [id, run] : mRuns) {
    if (run.mDaemon == 0) {
      runs.push_back(run);
    }
  }
  return runs;
}

std::uint32_t
placement_table::ReservedTokens(const generation_demand& aDemand) const
{
  const double answer = mTuning.mReservedShare * aDemand.mAnswerTokens;
  return aDemand.mPromptTokens + static_cast<std::uint32_t>(answer) + 64U;
}

} // namespace dunehook
