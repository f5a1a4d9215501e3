/**
 * @file placement.cpp
 * The forecast of memory and the choice of engines.
 */
#include "placement/placement.h"

#include <algorithm>
#include <array>

namespace dunehook {

namespace {

/** A run has most likely ended at this many times its guess, or of what it has made. */
constexpr double kLikelyEnd = 2.5;
constexpr double kOverrun = 1.3;
/** Waits that are looked at for a demand that doesn't fit now. */
constexpr std::array<duration, 7> kWaits{ duration{ 0 },      duration{ 50000 },
                                          duration{ 120000 }, duration{ 250000 },
                                          duration{ 500000 }, duration{ 1000000 },
                                          duration{ 2000000 } };
/** An engine that always fails is worth this much waiting for another. */
constexpr double kFailureMicros = 1500000.0;
/** A share of failures that any engine may have: a single failure of late. */
constexpr double kFailuresLeftOut = 0.06;
/** An engine that has failed a request is taken again for it only where there's no other. */
constexpr double kFailedThisMicros = 5000000.0;
/** With no engine at all, one may be back after this. */
constexpr duration kNoEngineRest = std::chrono::seconds(1);
/** With engines that read too late, the queue is shorter after this. */
constexpr duration kTooLateRest = std::chrono::milliseconds(300);
/** A decode engine that has read a prompt rests this long before the next: its runs catch up. */
constexpr duration kDecodeReadRest = std::chrono::milliseconds(350);
/** Part of the longest pause between events that a read at a decode engine may take. */
constexpr double kPausePart = 0.85;
/** Weight of a run where engines are chosen by the number of runs. */
constexpr double kRunWeight = 0.05;
/** Runs of others are dropped this long after their expected end if nobody said that they ended. */
constexpr duration kForgetAfter = std::chrono::milliseconds(2500);
/** Time from the end of a read to the first token: one call, and the memory's move. */
constexpr duration kHandoffTime = std::chrono::milliseconds(15);
/** Moves between halls take longer and are charged more: worth this much waiting. */
constexpr double kOtherHallMoveMicros = 25000.0;
/** Events that come from another hall: worth this much waiting. */
constexpr double kOtherHallCallMicros = 6000.0;
/** A full engine against an empty one: tokens come slower, and guesses fail more often. */
constexpr double kFullEngineMicros = 400000.0;
/** A decode engine reads prompts at half of the pace of a prefill engine. */
constexpr double kDecodeReadShare = 0.5;
/** Waiting for a prefill engine beyond this makes reading at the decode engine the better way. */
constexpr double kDecodeReadPenaltyMicros = 400000.0;
/** Decode engines that are looked at closely for one demand, the emptiest ones: an asker doesn't
 * wait for a comparison of thousands. */
constexpr std::size_t kMostLooks = 96;
/** Weight of the newest measurement of a pace. */
constexpr double kPaceWeight = 0.1;

double
Micros(duration aSpan)
{
  return static_cast<double>(aSpan.count());
}

/** @return the demand as a run that starts now. */
growing_run
NewcomerOf(const generation_demand& aDemand)
{
  growing_run newcomer;
  newcomer.mPrompt = aDemand.mPromptTokens;
  newcomer.mGuess = aDemand.mAnswerTokens;
  newcomer.mMost = aDemand.mMostTokens;
  return newcomer;
}

/** @return what a run takes of memory over its time, in tokens squared. */
double
SizeOf(std::uint32_t aPrompt, std::uint32_t aAnswer)
{
  const double answer = aAnswer;
  return answer * (aPrompt + answer / 2.0);
}

/** @return what an engine's failures weigh, as waiting. */
double
FailureMicros(const runner_state& aEngine, const generation_demand& aDemand)
{
  const bool failedThis =
    std::find(aDemand.mFailed.begin(), aDemand.mFailed.end(), aEngine.mId) != aDemand.mFailed.end();
  const double share = std::max(0.0, aEngine.mFailureShare - kFailuresLeftOut);
  return (failedThis ? kFailedThisMicros : 0.0) + kFailureMicros * share;
}

/** @return whether a prompt is short enough to be read by a decode engine between two events of its
 * runs. Where an event holds many tokens the whole prompt is read between two, so that a long one
 * would make all runs of the engine late before any of them tells. */
bool
FitsBetweenEvents(const generation_demand& aDemand, double aEventMicros)
{
  const double read = aDemand.mPromptTokens / (kGuessedReadSpeed * kDecodeReadShare);
  return read + aEventMicros < kPausePart * Micros(aDemand.mEventGap);
}

/** @return what an engine's load, failures and way weigh, as waiting. */
double
BaseCost(const runner_state& aDecode, const generation_demand& aDemand, double aLoad)
{
  const bool sameHall = aDecode.mEntry.mHall == aDemand.mHall;
  return kFullEngineMicros * aLoad * aLoad + FailureMicros(aDecode, aDemand) +
         (sameHall ? 0.0 : kOtherHallCallMicros);
}

/** @return what a run holds at its end, if its answer is as long as guessed. */
std::uint64_t
PromisedTokens(const run_record& aRun)
{
  return std::uint64_t{ aRun.mPromptTokens } + aRun.mAnswerTokens;
}

duration
FromMicros(double aMicros)
{
  return duration(static_cast<std::int64_t>(aMicros));
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

double
placement_table::MicrosPerToken(service_runner_id aDecode) const
{
  const auto found = mDecodes.find(aDecode);
  return found == mDecodes.end() ? decode_state{}.mMicrosPerToken : found->second.mMicrosPerToken;
}

instant
placement_table::EndOf(const run_record& aRun) const
{
  const double likely = std::max(kLikelyEnd * aRun.mAnswerTokens, kOverrun * aRun.mMadeTokens);
  const double most = aRun.mMostTokens > 0 ? aRun.mMostTokens : likely;
  const double remaining = std::max(0.0, std::min(most, likely) - aRun.mMadeTokens);
  return aRun.mSeen + FromMicros(remaining * MicrosPerToken(aRun.mDecode));
}

std::vector<const run_record*>
placement_table::RunsOn(service_runner_id aDecode) const
{
  std::vector<const run_record*> runs;
  const auto found = mByEngine.find(aDecode);
  if (found == mByEngine.end()) {
    return runs;
  }
  for (const run_id run : found->second.mRuns) {
    runs.push_back(&mRuns.at(run));
  }
  return runs;
}

void
placement_table::Erase(run_id aRun)
{
  const auto found = mRuns.find(aRun);
  if (found == mRuns.end()) {
    return;
  }
  const auto place = mByEngine.find(found->second.mDecode);
  place->second.mRuns.erase(aRun);
  place->second.mPromised -= PromisedTokens(found->second);
  if (place->second.mRuns.empty()) {
    mByEngine.erase(place);
  }
  mRuns.erase(found);
}

memory_forecast
placement_table::ForecastOf(service_runner_id aDecode, instant aFrom) const
{
  std::vector<growing_run> runs;
  for (const run_record* const run : RunsOn(aDecode)) {
    growing_run growing;
    growing.mPrompt = run->mPromptTokens;
    growing.mMade = run->mMadeTokens;
    growing.mGuess = run->mAnswerTokens;
    growing.mMost = run->mMostTokens;
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
placement_table::OwnReadTime(std::uint32_t aTokens) const
{
  return FromMicros(aTokens / (ReadSpeed() * kDecodeReadShare));
}

duration
placement_table::FitsIn(service_runner_id aDecode,
                        const generation_demand& aDemand,
                        double aMemory,
                        instant aNow) const
{
  for (const duration wait : kWaits) {
    if (Fits(aDecode, aDemand, aMemory, aNow + wait)) {
      return wait;
    }
  }
  return kWaits.back() * 2;
}

placement_table::engine_sets
placement_table::UsableEngines(const generation_demand& aDemand,
                               const runner_table& aRunners,
                               instant aNow) const
{
  engine_sets sets;
  for (const auto& [id, runner] : aRunners.Rows()) {
    const auto& barred = aDemand.mBarred;
    const bool isBarred = std::find(barred.begin(), barred.end(), id) != barred.end();
    const bool usable = runner.mEntry.mService == aDemand.mService &&
                        aRunners.TakesWork(runner, aNow) && !isBarred &&
                        (aDemand.mModel.empty() || runner.mEntry.mModels.count(aDemand.mModel) > 0);
    if (usable && runner.mEntry.mRole == engine_role::ePrefill) {
      sets.mReaders.push_back({ &runner,
                                runner.mEntry.VersionOf(aDemand.mModel),
                                ReadTime(id, aDemand.mPromptTokens, aNow),
                                FailureMicros(runner, aDemand) });
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
placement_table::KeepMostPromising(engine_sets& aSets,
                                   const generation_demand& aDemand,
                                   const engine_traits& aTraits,
                                   instant aNow) const
{
  if (aSets.mDecodes.size() <= kMostLooks) {
    return;
  }
  const double memory = static_cast<double>(std::max<std::uint64_t>(1, aTraits.mMemoryTokens));
  std::vector<std::pair<double, const runner_state*>> byCost;
  byCost.reserve(aSets.mDecodes.size());
  for (const runner_state* const decode : aSets.mDecodes) {
    if (TakesNone(*decode, aTraits, aNow)) {
      continue;
    }
    const auto runs = mByEngine.find(decode->mId);
    const std::uint64_t promised = runs == mByEngine.end() ? 0 : runs->second.mPromised;
    const double load = static_cast<double>(promised) / memory;
    byCost.emplace_back(BaseCost(*decode, aDemand, load), decode);
  }
  if (byCost.empty()) {
    aSets.mDecodes.resize(kMostLooks); // They tell when there may be room.
    return;
  }
  const std::size_t looks = std::min(kMostLooks, byCost.size());
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
  const double size = SizeOf(aDemand.mPromptTokens, aDemand.mAnswerTokens);
  const double reserve = mTuning.mLargeReserve * mSizes.PartLeft(size);
  return (mTuning.mMemoryShare - reserve) * static_cast<double>(aTraits.mMemoryTokens);
}

bool
placement_table::TakesNone(const runner_state& aDecode,
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
  return ForecastOf(aDecode, aFrom).Fits(NewcomerOf(aDemand), CautionFor(aDemand), aMemory);
}

duration
placement_table::RoomIn(const runner_state& aDecode,
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
  wait = std::max(wait, FitsIn(aDecode.mId, aDemand, memory, aNow));
  return RunsOn(aDecode.mId).size() >= aTraits.mSlots ? std::max(wait, kWaits[1]) : wait;
}

void
placement_table::ConsiderReads(const runner_state& aDecode,
                               const memory_forecast& aForecast,
                               const generation_demand& aDemand,
                               const engine_traits& aTraits,
                               const engine_sets& aSets,
                               instant aNow,
                               best_place& aBest) const
{
  const std::vector<const run_record*> runs = RunsOn(aDecode.mId);
  const double memory = static_cast<double>(std::max<std::uint64_t>(1, aTraits.mMemoryTokens));
  const double peak = aForecast.Peak(NewcomerOf(aDemand), 0.0) / memory;
  const double load = mTuning.mForecast ? peak : kRunWeight * static_cast<double>(runs.size());
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
  for (const prompt_reader& reader : aSets.mReaders) {
    if (base + reader.Cost() >= aBest.mCost) {
      break; // All that follow cost as much or more.
    }
    if (reader.mVersion == version) { // Else its KV cache would be of other weights.
      const bool sameHall = reader.mEngine->mEntry.mHall == aDecode.mEntry.mHall;
      consider(reader.mEngine->mId,
               reader.mRead,
               reader.mFailureMicros + (sameHall ? 0.0 : kOtherHallMoveMicros));
    }
  }
  const duration ownRead = OwnReadTime(aDemand.mPromptTokens);
  // The engine's other runs pause while it reads, so it reads one prompt at a time, with rests.
  const bool reads = std::any_of(runs.begin(), runs.end(), [&](const run_record* aRun) {
    return !aRun->mPrefill && aRun->mMadeTokens == 0 && aRun->mSeen + kDecodeReadRest > aNow;
  });
  const bool mayRead = mTuning.mDecodeReads && !reads && FitsBetweenEvents(aDemand, event) &&
                       mPauses.Fit(aDemand.mEventGap, aNow);
  if (aSets.mReaders.empty() || mayRead) {
    consider(std::nullopt, ownRead, aSets.mReaders.empty() ? 0.0 : kDecodeReadPenaltyMicros);
  }
}

placement_answer
placement_table::Choose(const generation_demand& aDemand,
                        const engine_traits& aTraits,
                        const runner_table& aRunners,
                        instant aNow,
                        bool aWantsTime) const
{
  engine_sets sets = UsableEngines(aDemand, aRunners, aNow);
  KeepMostPromising(sets, aDemand, aTraits, aNow);
  const double memory = MemoryFor(aDemand, aTraits);
  placement_answer answer;
  if (sets.mDecodes.empty()) {
    answer.mFreeIn = kNoEngineRest;
    return answer;
  }
  best_place best;
  bool hasMemory = false;
  for (const runner_state* const decode : sets.mDecodes) {
    if (TakesNone(*decode, aTraits, aNow)) {
      continue;
    }
    const memory_forecast forecast = ForecastOf(decode->mId, aNow);
    if (!mTuning.mForecast || forecast.Fits(NewcomerOf(aDemand), CautionFor(aDemand), memory)) {
      hasMemory = true;
      ConsiderReads(*decode, forecast, aDemand, aTraits, sets, aNow, best);
    }
  }
  answer.mChoice = best.mChoice;
  if (answer.mChoice) {
    return answer;
  }
  answer.mReason = hasMemory ? no_place::eTooLate : no_place::eNoMemory;
  answer.mFreeIn = kTooLateRest;
  if (!hasMemory && aWantsTime) {
    answer.mFreeIn = kWaits.back() * 2;
    for (const runner_state* const decode : sets.mDecodes) {
      answer.mFreeIn = std::min(answer.mFreeIn, RoomIn(*decode, aDemand, aTraits, aNow));
    }
  }
  return answer;
}

void
placement_table::Begin(const run_record& aRun, instant aNow)
{
  const bool fresh = mRuns.count(aRun.mRun) == 0;
  Erase(aRun.mRun);
  mRuns.emplace(aRun.mRun, aRun);
  engine_runs& engine = mByEngine[aRun.mDecode];
  engine.mRuns.insert(aRun.mRun);
  engine.mPromised += PromisedTokens(aRun);
  if (fresh) {
    mSizes.Note(SizeOf(aRun.mPromptTokens, aRun.mAnswerTokens), true);
  }
  if (fresh) {
    NoteWork(aRun, aNow);
  }
}

void
placement_table::NoteWork(const run_record& aRun, instant aNow)
{
  const double answer = mGuesses.MeanOf(aRun.mAnswerTokens);
  mAsked[aRun.mDecode].mHeldTokens += answer * (aRun.mPromptTokens + answer / 2.0);
  const service_runner_id reader = aRun.mPrefill ? aRun.mPrefill : aRun.mDecode;
  mAsked[reader].mReadTokens += aRun.mPromptTokens;
  if (aRun.mPrefill) {
    QueueOf(aRun.mPrefill).Add(aRun.mRun, aRun.mPromptTokens, aNow);
  } else {
    mDecodes[aRun.mDecode].mReadsUntil = aNow + OwnReadTime(aRun.mPromptTokens);
  }
}

void
placement_table::NoteRefused(std::uint32_t aPromptTokens, std::uint32_t aAnswerTokens)
{
  mSizes.Note(SizeOf(aPromptTokens, aAnswerTokens), false);
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
  const auto found = mRuns.find(aRun);
  if (found != mRuns.end()) {
    DropRead(found->second);
    Erase(aRun);
  }
}

void
placement_table::NoteRead(run_id aRun, service_runner_id aPrefill, duration aTook, instant aNow)
{
  prompt_queue& queue = QueueOf(aPrefill);
  queue.NoteRead(aRun, aTook, aNow);
  mReadSpeed.Learn(queue.TokensPerMicro());
}

void
placement_table::DropRead(const run_record& aRun)
{
  const auto found = mPrefills.find(aRun.mPrefill);
  if (found != mPrefills.end()) {
    found->second.Drop(aRun.mRun);
  }
}

void
placement_table::NoteFinished(const finished_run& aRun, instant aNow)
{
  const auto found = mRuns.find(aRun.mRun);
  if (found == mRuns.end()) {
    return;
  }
  const run_record& run = found->second;
  mGuesses.Learn(run.mAnswerTokens, aRun.mTokens);
  if (aRun.mPaced == 0) {
    return;
  }
  const double pace = Micros(aRun.mTook) / aRun.mPaced;
  decode_state& state = mDecodes[run.mDecode];
  state.mMicrosPerToken += kPaceWeight * (pace - state.mMicrosPerToken);
  mPace.Learn(pace);
  const bool readBeside = run.mPrefill && state.mReadsUntil > aNow - aRun.mTook;
  if (readBeside) {
    mPauses.Learn(aRun.mLongestGap, aNow);
  }
}

void
placement_table::NoteFull(service_runner_id aDecode, instant aNow)
{
  decode_state& state = mDecodes[aDecode];
  if (aNow < state.mFullUntil) {
    return;
  }
  state.mFullRest = std::clamp(state.mFullRest * 2, kFullRest, kLongestFullRest);
  state.mFullUntil = aNow + state.mFullRest;
}

void
placement_table::NoteRoom(service_runner_id aDecode)
{
  mDecodes[aDecode].mFullRest = duration{ 0 };
}

void
placement_table::ReplaceRuns(std::uint64_t aDaemon,
                             const std::vector<run_record>& aRuns,
                             instant aNow)
{
  EraseIf([&](const run_record& aKnown) {
    return aKnown.mDaemon == aDaemon &&
           std::none_of(aRuns.begin(), aRuns.end(), [&](const run_record& aRun) {
             return aRun.mRun == aKnown.mRun;
           });
  });
  for (const run_record& run : aRuns) {
    Begin(run, aNow);
  }
}

void
placement_table::Prune(const runner_table& aRunners, instant aNow)
{
  EraseIf([&](const run_record& aRun) {
    const bool overdue = aRun.mDaemon != 0 && EndOf(aRun) + kForgetAfter < aNow;
    return overdue || (aRun.mDaemon != 0 && aRunners.Find(aRun.mDecode) == nullptr);
  });
  std::erase_if(mDecodes, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
  std::erase_if(mPrefills, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
  std::erase_if(mAsked, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
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

engine_work
placement_table::Work() const
{
  engine_work work;
  for (const auto& [id, engine] : mByEngine) {
    work.mLoads[id].mRuns = engine.mRuns.size();
  }
  for (const auto& [id, asked] : mAsked) {
    work.mLoads[id].mReadTokens = asked.mReadTokens;
    work.mLoads[id].mHeldTokens = asked.mHeldTokens;
  }
  work.mSpeeds = { mReadSpeed.Or(0.0), mPace.Or(0.0) };
  return work;
}

std::uint32_t
placement_table::ReservedTokens(const generation_demand& aDemand) const
{
  const double answer = mTuning.mReservedShare * aDemand.mAnswerTokens;
  return aDemand.mPromptTokens + static_cast<std::uint32_t>(answer) + 64U;
}

} // namespace dunehook
