/**
 * @file placement.cpp
 * The forecast of memory and the choice of engines.
 */
#include "placement/placement.h"

#include "placement/placement_func.h"

#include <algorithm>
#include <array>

namespace dunehook {

namespace {

/** Delays at which a demand that doesn't fit now is checked again. */
constexpr std::array<duration, 7> kProbedDelays{ duration{ 0 },      duration{ 50000 },
                                                 duration{ 120000 }, duration{ 250000 },
                                                 duration{ 500000 }, duration{ 1000000 },
                                                 duration{ 2000000 } };
/** Cost, as waiting, of an engine that fails every request. */
constexpr double kFailureCostMicros = 1500000.0;
/** Failure share without cost: that of a single recent failure. */
constexpr double kIgnoredFailureShare = 0.06;
/** Cost of an engine that already failed this request: it is chosen only if there's no other. */
constexpr double kFailedThisRequestCostMicros = 5000000.0;
/** Time after which the caller is told to retry where there's no usable engine. */
constexpr duration kNoEngineRetryAfter = std::chrono::seconds(1);
/** Time after which the caller is told to retry where all reads would be late: the read queues are
 * shorter by then. */
constexpr duration kTooLateRetryAfter = std::chrono::milliseconds(300);
/** Least time between two prompt reads of a decode engine, so that its runs catch up. */
constexpr duration kDecodeReadInterval = std::chrono::milliseconds(350);
/** Share of the longest allowed pause between events that a read at a decode engine may take. */
constexpr double kMaxReadPauseShare = 0.85;
/** Load counted for each run where engines are chosen by the number of runs. */
constexpr double kLoadPerRun = 0.05;
/** Time from the end of a read to the first token: one call and the transfer of the KV cache. */
constexpr duration kHandoffTime = std::chrono::milliseconds(15);
/** Cost, as waiting, of a KV cache transfer between data halls, which takes longer and is charged
 * more. */
constexpr double kOtherHallTransferCostMicros = 25000.0;
/** Cost, as waiting, of events sent from another data hall. */
constexpr double kOtherHallCallCostMicros = 6000.0;
/** Cost, as waiting, of a full engine: tokens come slower, and length estimates fail
 * more often. */
constexpr double kFullEngineCostMicros = 400000.0;
/** Read speed of a decode engine relative to a prefill engine. */
constexpr double kDecodeReadSpeedFactor = 0.5;
/** Cost of a read at the decode engine: it is preferred once the wait for a prefill engine is
 * longer than this. */
constexpr double kDecodeReadCostMicros = 400000.0;
/** Number of decode engines compared in detail for one demand, the cheapest by load. The requesting
 * daemon's timeout is too short for a comparison of thousands. */
constexpr std::size_t kMaxComparedEngines = 96;

/** @return the demand as a run that starts now, for the forecast. */
forecast_run
NewRun(const generation_demand& aDemand)
{
  forecast_run newcomer;
  newcomer.mPrompt = aDemand.mPromptTokens;
  newcomer.mGuess = aDemand.mAnswerTokens;
  newcomer.mMaxTokens = aDemand.mMostTokens;
  return newcomer;
}

/** @return the cost of an engine's failures, as microseconds of waiting. */
double
FailureCostMicros(const runner_state& aEngine, const generation_demand& aDemand)
{
  const bool failedThis =
    std::find(aDemand.mFailed.begin(), aDemand.mFailed.end(), aEngine.mId) != aDemand.mFailed.end();
  const double share = std::max(0.0, aEngine.mFailureShare - kIgnoredFailureShare);
  return (failedThis ? kFailedThisRequestCostMicros : 0.0) + kFailureCostMicros * share;
}

/** @return whether a prompt is short enough to be read by a decode engine between two events of its
 * runs. Where an event holds many tokens, the whole prompt is read between two events, and a long
 * one would delay all runs of the engine before any of them could show it. */
bool
FitsBetweenEvents(const generation_demand& aDemand, double aEventMicros)
{
  const double read = aDemand.mPromptTokens / (kDefaultTokensPerMicro * kDecodeReadSpeedFactor);
  return read + aEventMicros < kMaxReadPauseShare * Micros(aDemand.mEventGap);
}

/** @return the cost of an engine's load, failures and distance, as microseconds of waiting. */
double
BaseCost(const runner_state& aDecode, const generation_demand& aDemand, double aLoad)
{
  const bool sameHall = aDecode.mEntry.mHall == aDemand.mHall;
  return kFullEngineCostMicros * aLoad * aLoad + FailureCostMicros(aDecode, aDemand) +
         (sameHall ? 0.0 : kOtherHallCallCostMicros);
}

} // namespace

run_record
RunOf(const generation_demand& aDemand,
      const placement_choice& aChoice,
      std::uint64_t aDaemon,
      instant aNow)
{
  run_record run;
  run.mRun = aDemand.mRun;
  run.mDecode = aChoice.mDecode;
  run.mPrefill = aChoice.mPrefill.value_or(service_runner_id{});
  run.mPromptTokens = aDemand.mPromptTokens;
  run.mAnswerTokens = aDemand.mAnswerTokens;
  run.mMostTokens = aDemand.mMostTokens;
  run.mSeen = aNow + aChoice.mUntilRead;
  run.mDaemon = aDaemon;
  return run;
}

std::string_view
ReasonName(no_place aReason)
{
  switch (aReason) {
    case no_place::eNoEngine:
      return "no_engine";
    case no_place::eNoMemory:
      return "no_memory";
    case no_place::eTooLate:
      return "too_late";
  }
  return "unknown";
}

memory_forecast
placement_table::ForecastOf(service_runner_id aDecode, instant aFrom) const
{
  std::vector<forecast_run> runs;
  for (const run_record* const run : RunsOn(aDecode)) {
    forecast_run growing;
    growing.mPrompt = run->mPromptTokens;
    growing.mGenerated = run->mGeneratedTokens;
    growing.mGuess = run->mAnswerTokens;
    growing.mMaxTokens = run->mMostTokens;
    growing.mDelay = Micros(run->mSeen - aFrom);
    runs.push_back(growing);
  }
  return { runs, MicrosPerToken(aDecode), mGuesses };
}

prompt_queue&
placement_table::QueueOf(service_runner_id aPrefill)
{
  return mPrefills.try_emplace(aPrefill, ReadSpeed()).first->second;
}

duration
placement_table::ReadTime(service_runner_id aPrefill, std::uint32_t aTokens, instant aNow) const
{
  const auto found = mPrefills.find(aPrefill);
  return found == mPrefills.end() ? prompt_queue(ReadSpeed()).TimeFor(aTokens, aNow)
                                  : found->second.TimeFor(aTokens, aNow);
}

duration
placement_table::DecodeReadTime(std::uint32_t aTokens) const
{
  return FromMicros(aTokens / (ReadSpeed() * kDecodeReadSpeedFactor));
}

duration
placement_table::TimeUntilFits(service_runner_id aDecode,
                               const generation_demand& aDemand,
                               double aMemory,
                               instant aNow) const
{
  for (const duration wait : kProbedDelays) {
    if (Fits(aDecode, aDemand, aMemory, aNow + wait)) {
      return wait;
    }
  }
  return kProbedDelays.back() * 2;
}

placement_table::candidate_engines
placement_table::UsableEngines(const generation_demand& aDemand,
                               const runner_table& aRunners,
                               instant aNow) const
{
  candidate_engines sets;
  for (const auto& [id, runner] : aRunners.Rows()) {
    const auto& barred = aDemand.mExcluded;
    const bool isBarred = std::find(barred.begin(), barred.end(), id) != barred.end();
    const bool usable = runner.mEntry.mService == aDemand.mService &&
                        RunsSoftware(runner.mEntry, aDemand.mSoftware) &&
                        aRunners.TakesWork(runner, aNow) && !isBarred &&
                        (aDemand.mModel.empty() || runner.mEntry.mModels.count(aDemand.mModel) > 0);
    if (usable && runner.mEntry.mRole == engine_role::ePrefill) {
      sets.mReaders.push_back({ &runner,
                                runner.mEntry.VersionOf(aDemand.mModel),
                                ReadTime(id, aDemand.mPromptTokens, aNow),
                                FailureCostMicros(runner, aDemand) });
    } else if (usable && runner.mEntry.mRole == engine_role::eDecode) {
      sets.mDecodes.push_back(&runner);
    }
  }
  std::stable_sort(sets.mReaders.begin(),
                   sets.mReaders.end(),
                   [](const auto& aOne, const auto& aTwo) { return aOne.Cost() < aTwo.Cost(); });
  return sets;
}

void
placement_table::KeepMostPromising(candidate_engines& aSets,
                                   const generation_demand& aDemand,
                                   const engine_traits& aTraits,
                                   instant aNow) const
{
  if (aSets.mDecodes.size() <= kMaxComparedEngines) {
    return;
  }
  const double memory = static_cast<double>(std::max<std::uint64_t>(1, aTraits.mMemoryTokens));
  std::vector<std::pair<double, const runner_state*>> byCost;
  byCost.reserve(aSets.mDecodes.size());
  for (const runner_state* const decode : aSets.mDecodes) {
    if (AcceptsNoRuns(*decode, aTraits, aNow)) {
      continue;
    }
    const auto runs = mByEngine.find(decode->mId);
    const std::uint64_t promised = runs == mByEngine.end() ? 0 : runs->second.mCommittedTokens;
    const double load = static_cast<double>(promised) / memory;
    byCost.emplace_back(BaseCost(*decode, aDemand, load), decode);
  }
  if (byCost.empty()) {
    aSets.mDecodes.resize(kMaxComparedEngines); // Their backoff gives the retry time.
    return;
  }
  const std::size_t looks = std::min(kMaxComparedEngines, byCost.size());
  std::nth_element(
    byCost.begin(), byCost.begin() + static_cast<std::ptrdiff_t>(looks - 1), byCost.end());
  aSets.mDecodes.clear();
  for (std::size_t index = 0; index < looks; ++index) {
    aSets.mDecodes.push_back(byCost[index].second);
  }
}

double
placement_table::MemoryFor(const generation_demand& aDemand, const engine_traits& aTraits) const
{
  const double size = RequestSize(aDemand.mPromptTokens, aDemand.mAnswerTokens);
  const double reserve = mTuning.mLargeReserve * mSizes.ReserveShareKept(size);
  return (mTuning.mMemoryShare - reserve) * static_cast<double>(aTraits.mMemoryTokens);
}

bool
placement_table::AcceptsNoRuns(const runner_state& aDecode,
                               const engine_traits& aTraits,
                               instant aNow) const
{
  const auto known = mDecodes.find(aDecode.mId);
  if (known != mDecodes.end() && known->second.mFullUntil > aNow) {
    return true;
  }
  const auto runs = mByEngine.find(aDecode.mId);
  return mTuning.mForecast && runs != mByEngine.end() &&
         runs->second.mRuns.size() >= aTraits.mSlots;
}

double
placement_table::CautionFor(const generation_demand& aDemand) const
{
  if (!aDemand.mReturned) {
    return mTuning.mCaution;
  }
  const double credit = mTuning.mReturnedCredit + mTuning.mReturnedReserve;
  return mTuning.mCaution + mTuning.mReturnedReserve - credit * aDemand.mWaited;
}

bool
placement_table::Fits(service_runner_id aDecode,
                      const generation_demand& aDemand,
                      double aMemory,
                      instant aFrom) const
{
  return ForecastOf(aDecode, aFrom).Fits(NewRun(aDemand), CautionFor(aDemand), aMemory);
}

duration
placement_table::TimeUntilRoom(const runner_state& aDecode,
                               const generation_demand& aDemand,
                               const engine_traits& aTraits,
                               instant aNow) const
{
  const auto known = mDecodes.find(aDecode.mId);
  const instant fullUntil = known == mDecodes.end() ? instant{ 0 } : known->second.mFullUntil;
  duration wait = std::max(duration{ 0 }, fullUntil - aNow);
  if (!mTuning.mForecast) {
    return wait;
  }
  const double memory = MemoryFor(aDemand, aTraits);
  wait = std::max(wait, TimeUntilFits(aDecode.mId, aDemand, memory, aNow));
  return RunsOn(aDecode.mId).size() >= aTraits.mSlots ? std::max(wait, kProbedDelays[1]) : wait;
}

void
placement_table::CompareReadOptions(const runner_state& aDecode,
                                    const memory_forecast& aForecast,
                                    const generation_demand& aDemand,
                                    const engine_traits& aTraits,
                                    const candidate_engines& aSets,
                                    instant aNow,
                                    best_placement& aBest) const
{
  const std::vector<const run_record*> runs = RunsOn(aDecode.mId);
  const double memory = static_cast<double>(std::max<std::uint64_t>(1, aTraits.mMemoryTokens));
  const double peak = aForecast.Peak(NewRun(aDemand), 0.0) / memory;
  const double load = mTuning.mForecast ? peak : kLoadPerRun * static_cast<double>(runs.size());
  const double event = aTraits.mTokensPerEvent * MicrosPerToken(aDecode.mId);
  const double base = BaseCost(aDecode, aDemand, load);
  const auto consider =
    [&](std::optional<service_runner_id> aPrefill, duration aRead, double aExtra) {
      const duration untilEvent = aRead + kHandoffTime + FromMicros(event);
      const double cost = base + Micros(untilEvent) + aExtra;
      const bool late = mTuning.mForecast && untilEvent > aDemand.mFirstEventWithin;
      if (!late && cost < aBest.mCost) {
        aBest.mCost = cost;
        aBest.mChoice = placement_choice{ aDecode.mId, aPrefill, aRead, untilEvent, peak };
      }
    };
  const std::uint64_t version = aDecode.mEntry.VersionOf(aDemand.mModel);
  for (const read_option& reader : aSets.mReaders) {
    if (base + reader.Cost() >= aBest.mCost) {
      break; // The options are sorted by cost.
    }
    if (reader.mVersion == version) { // A KV cache of other weights can't be used.
      const bool sameHall = reader.mEngine->mEntry.mHall == aDecode.mEntry.mHall;
      consider(reader.mEngine->mId,
               reader.mRead,
               reader.mFailureCostMicros + (sameHall ? 0.0 : kOtherHallTransferCostMicros));
    }
  }
  const duration ownRead = DecodeReadTime(aDemand.mPromptTokens);
  // The engine's other runs pause while it reads, so it reads one prompt at a time, with an
  // interval between two.
  const bool reads = std::any_of(runs.begin(), runs.end(), [&](const run_record* aRun) {
    return !aRun->mPrefill && aRun->mGeneratedTokens == 0 &&
           aRun->mSeen + kDecodeReadInterval > aNow;
  });
  const bool mayRead = mTuning.mDecodeReads && !reads && FitsBetweenEvents(aDemand, event) &&
                       mPauses.Fit(aDemand.mEventGap, aNow);
  if (aSets.mReaders.empty() || mayRead) {
    consider(std::nullopt, ownRead, aSets.mReaders.empty() ? 0.0 : kDecodeReadCostMicros);
  }
}

placement_answer
placement_table::Choose(const generation_demand& aDemand,
                        const engine_traits& aTraits,
                        const runner_table& aRunners,
                        instant aNow,
                        bool aWantsTime) const
{
  candidate_engines sets = UsableEngines(aDemand, aRunners, aNow);
  KeepMostPromising(sets, aDemand, aTraits, aNow);
  const double memory = MemoryFor(aDemand, aTraits);
  placement_answer answer;
  if (sets.mDecodes.empty()) {
    answer.mFreeIn = kNoEngineRetryAfter;
    return answer;
  }
  best_placement best;
  bool hasMemory = false;
  for (const runner_state* const decode : sets.mDecodes) {
    if (AcceptsNoRuns(*decode, aTraits, aNow)) {
      continue;
    }
    const memory_forecast forecast = ForecastOf(decode->mId, aNow);
    if (!mTuning.mForecast || forecast.Fits(NewRun(aDemand), CautionFor(aDemand), memory)) {
      hasMemory = true;
      CompareReadOptions(*decode, forecast, aDemand, aTraits, sets, aNow, best);
    }
  }
  answer.mChoice = best.mChoice;
  if (answer.mChoice) {
    return answer;
  }
  answer.mReason = hasMemory ? no_place::eTooLate : no_place::eNoMemory;
  answer.mFreeIn = kTooLateRetryAfter;
  if (!hasMemory && aWantsTime) {
    answer.mFreeIn = kProbedDelays.back() * 2;
    for (const runner_state* const decode : sets.mDecodes) {
      answer.mFreeIn = std::min(answer.mFreeIn, TimeUntilRoom(*decode, aDemand, aTraits, aNow));
    }
  }
  return answer;
}

} // namespace dunehook
