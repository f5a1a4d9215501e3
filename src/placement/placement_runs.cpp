/**
 * @file placement_runs.cpp
 * The table of runs: begin, progress and end of runs, and what is learned from finished ones.
 */
#include "placement/placement.h"

#include "placement/placement_func.h"

#include <algorithm>

namespace dunehook {

namespace {

/** A run has most likely ended at kEstimateOverrunFactor times its estimated length, or
 * kGeneratedOverrunFactor times what it has generated, whichever is longer. */
constexpr double kEstimateOverrunFactor = 2.5;
constexpr double kGeneratedOverrunFactor = 1.3;
/** Runs of other daemons are dropped this long after their expected end if no end was reported. */
constexpr duration kOverdueRunTimeout = std::chrono::milliseconds(2500);
/** Weight of the newest measurement of an engine's pace. */
constexpr double kPaceWeight = 0.1;

} // namespace

double
placement_table::MicrosPerToken(service_runner_id aDecode) const
{
  const auto found = mDecodes.find(aDecode);
  return found == mDecodes.end() ? decode_state{}.mMicrosPerToken : found->second.mMicrosPerToken;
}

instant
placement_table::ExpectedEnd(const run_record& aRun) const
{
  const double likely = std::max(kEstimateOverrunFactor * aRun.mAnswerTokens,
                                 kGeneratedOverrunFactor * aRun.mGeneratedTokens);
  const double most = aRun.mMostTokens > 0 ? aRun.mMostTokens : likely;
  const double remaining = std::max(0.0, std::min(most, likely) - aRun.mGeneratedTokens);
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
  place->second.mCommittedTokens -= CommittedTokens(found->second);
  if (place->second.mRuns.empty()) {
    mByEngine.erase(place);
  }
  mRuns.erase(found);
}

void
placement_table::Begin(const run_record& aRun, instant aNow)
{
  const bool fresh = mRuns.count(aRun.mRun) == 0;
  Erase(aRun.mRun);
  mRuns.emplace(aRun.mRun, aRun);
  engine_runs& engine = mByEngine[aRun.mDecode];
  engine.mRuns.insert(aRun.mRun);
  engine.mCommittedTokens += CommittedTokens(aRun);
  if (fresh) {
    mSizes.Note(RequestSize(aRun.mPromptTokens, aRun.mAnswerTokens), true);
  }
  if (fresh) {
    AddAssignedWork(aRun, aNow);
  }
}

void
placement_table::AddAssignedWork(const run_record& aRun, instant aNow)
{
  const double answer = mGuesses.MeanOf(aRun.mAnswerTokens);
  mAssignedWork[aRun.mDecode].mHeldTokens += answer * (aRun.mPromptTokens + answer / 2.0);
  const service_runner_id reader = aRun.mPrefill ? aRun.mPrefill : aRun.mDecode;
  mAssignedWork[reader].mReadTokens += aRun.mPromptTokens;
  if (aRun.mPrefill) {
    QueueOf(aRun.mPrefill).Add(aRun.mRun, aRun.mPromptTokens, aNow);
  } else {
    mDecodes[aRun.mDecode].mReadsUntil = aNow + DecodeReadTime(aRun.mPromptTokens);
  }
}

void
placement_table::NoteRefused(std::uint32_t aPromptTokens, std::uint32_t aAnswerTokens)
{
  mSizes.Note(RequestSize(aPromptTokens, aAnswerTokens), false);
}

void
placement_table::Progress(run_id aRun, std::uint32_t aMadeTokens, instant aNow)
{
  const auto found = mRuns.find(aRun);
  if (found != mRuns.end()) {
    found->second.mGeneratedTokens = aMadeTokens;
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
  if (aRun.mPacedTokens == 0) {
    return;
  }
  const double pace = Micros(aRun.mTook) / aRun.mPacedTokens;
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
  state.mFullBackoff = std::clamp(state.mFullBackoff * 2, kMinFullBackoff, kMaxFullBackoff);
  state.mFullUntil = aNow + state.mFullBackoff;
}

void
placement_table::NoteRoom(service_runner_id aDecode)
{
  mDecodes[aDecode].mFullBackoff = duration{ 0 };
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
    const bool overdue = aRun.mDaemon != 0 && ExpectedEnd(aRun) + kOverdueRunTimeout < aNow;
    return overdue || (aRun.mDaemon != 0 && aRunners.Find(aRun.mDecode) == nullptr);
  });
  std::erase_if(mDecodes, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
  std::erase_if(mPrefills, [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
  std::erase_if(mAssignedWork,
                [&](const auto& aRow) { return aRunners.Find(aRow.first) == nullptr; });
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
  for (const auto& [id, asked] : mAssignedWork) {
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
