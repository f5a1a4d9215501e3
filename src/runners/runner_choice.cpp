/**
 * @file runner_choice.cpp
 * Decides which runners may be given work, chooses among them, and records outcomes of sends.
 */
#include "runners/runner_table.h"

#include <algorithm>

namespace dunehook {

namespace {

/** First and longest backoff from a runner that can't be reached. */
constexpr duration kInitialBackoff = std::chrono::milliseconds(150);
constexpr duration kMaxBackoff = std::chrono::milliseconds(1200);
/** A probe of an engine that was unreachable lately expires after this: the time limit of a
 * reservation call, and the delay of messages between daemons. Without probes, every caller would
 * wait out that limit at an engine that doesn't answer. */
constexpr duration kProbeTimeout = std::chrono::milliseconds(300);
/** Backoff from a runner that refused: about the time until a slot becomes free. */
constexpr duration kRefusedBackoff = std::chrono::milliseconds(30);
/** An entry that turned out to be wrong is used again after this, even if it hasn't changed: reads
 * of the store may be some seconds behind. */
constexpr duration kMisdirectedBackoff = std::chrono::seconds(4);
/** The backoff doubles with each refusal in a row, up to about a second. */
constexpr std::uint32_t kMaxRefusalDoublings = 5;
/** Weight of the newest outcome in the moving average, which spans about ten outcomes. */
constexpr double kOutcomeWeight = 0.12;
/** A share of failures is only penalized beyond the best runner's plus this: services also fail by
 * themselves. */
constexpr double kFailureSlack = 0.12;
/** Factor by which failures beyond the slack increase a runner's load in its score. */
constexpr double kFailurePenalty = 12.0;
/** Weight of the tie-breaking random number in a runner's score; below that of one request. */
constexpr double kTieBreakWeight = 0.5;

} // namespace

std::string_view
OutcomeName(send_outcome aOutcome)
{
  switch (aOutcome) {
    case send_outcome::eServed:
      return "served";
    case send_outcome::eFailed:
      return "failed";
    case send_outcome::eRefused:
      return "refused";
    case send_outcome::eMisdirected:
      return "misdirected";
    case send_outcome::eUnreachable:
      return "unreachable";
    case send_outcome::eAbandoned:
      return "abandoned";
  }
  return "unknown";
}

bool
runner_table::TakesWork(const runner_state& aRunner, instant aNow) const
{
  return !aRunner.mDraining && !aRunner.mGone && aNow >= aRunner.mAvoidUntil &&
         aNow >= aRunner.mMisdirectedUntil && aNow >= aRunner.mRoleChangeUntil &&
         aNow >= aRunner.mProbeUntil;
}

bool
runner_table::MayReceive(const runner_state& aRunner, instant aNow) const
{
  return !aRunner.mDraining && !aRunner.mGone && aNow >= aRunner.mPausedUntil;
}

std::vector<service_runner_id>
runner_table::Barred(instant aNow) const
{
  std::vector<service_runner_id> barred;
  for (const service_runner_id id : mSelfReported) {
    const runner_state* const runner = Find(id);
    if (runner != nullptr && !MayReceive(*runner, aNow)) {
      barred.push_back(id);
    }
  }
  return barred;
}

instant
runner_table::AcceptsRequestsFrom(const std::string& aService,
                                  const std::map<service_runner_id, instant>& aHeld,
                                  software_id aSoftware) const
{
  instant from = instant::max();
  for (const auto& [id, runner] : mRunners) {
    const bool remains = !runner.mDraining && !runner.mGone;
    if (remains && runner.mEntry.mService == aService && RunsSoftware(runner.mEntry, aSoftware)) {
      const auto held = aHeld.find(id);
      const instant heldUntil = held == aHeld.end() ? instant{ 0 } : held->second;
      from = std::min(from, std::max(runner.mPausedUntil, heldUntil));
    }
  }
  return from;
}

runner_state*
runner_table::Choose(const std::string& aService,
                     const std::set<service_runner_id>& aExcluded,
                     instant aNow,
                     double aDraw,
                     software_id aSoftware)
{
  std::vector<runner_state*> candidates;
  double bestShare = 1.0;
  for (auto& [id, state] : mRunners) {
    const bool available =
      TakesWork(state, aNow) && MayReceive(state, aNow) && RunsSoftware(state.mEntry, aSoftware);
    if (state.mEntry.mService == aService && available && aExcluded.count(id) == 0) {
      candidates.push_back(&state);
      bestShare = std::min(bestShare, state.mFailureShare);
    }
  }
  runner_state* best = nullptr;
  double bestScore = 0.0;
  double draw = aDraw;
  for (runner_state* const candidate : candidates) {
    draw = draw * 7.0 - static_cast<double>(static_cast<int>(draw * 7.0));
    const double excess = std::max(0.0, candidate->mFailureShare - bestShare - kFailureSlack);
    const double load = 1.0 + static_cast<double>(candidate->mUnderWay);
    const double score = load * (1.0 + kFailurePenalty * excess) + kTieBreakWeight * draw;
    if (best == nullptr || score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

bool
runner_table::HasRunner(const std::string& aService, software_id aSoftware) const
{
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aRow) {
    const runner_state& runner = aRow.second;
    return runner.mEntry.mService == aService && !runner.mDraining && !runner.mGone &&
           runner.mEntry.mRole != engine_role::ePrefill && RunsSoftware(runner.mEntry, aSoftware);
  });
}

std::vector<const runner_state*>
runner_table::RunnersOf(const std::string& aService) const
{
  std::vector<const runner_state*> runners;
  for (const auto& [id, runner] : mRunners) {
    if (runner.mEntry.mService == aService && !runner.mDraining && !runner.mGone) {
      runners.push_back(&runner);
    }
  }
  return runners;
}

std::size_t
runner_table::CountRunners(const std::string& aService,
                           std::optional<engine_role> aRole,
                           instant aNow) const
{
  const std::vector<const runner_state*> runners = RunnersOf(aService);
  return static_cast<std::size_t>(
    std::count_if(runners.begin(), runners.end(), [&](const runner_state* aRunner) {
      const bool settled = aNow >= aRunner->mMisdirectedUntil && aNow >= aRunner->mRoleChangeUntil;
      return settled && (!aRole || aRunner->mEntry.mRole == *aRole);
    }));
}

void
runner_table::NoteRoleChange(service_runner_id aId, instant aUntil)
{
  if (runner_state* const state = Find(aId)) {
    state->mRoleChangeUntil = aUntil;
  }
}

void
runner_table::NoteProbes(const std::vector<service_runner_id>& aEngines, instant aNow)
{
  for (const service_runner_id engine : aEngines) {
    runner_state* const state = Find(engine);
    if (state != nullptr && state->mBackoff > duration{ 0 }) {
      state->mProbeUntil = aNow + kProbeTimeout;
    }
  }
}

void
runner_table::NoteReached(service_runner_id aId)
{
  if (runner_state* const state = Find(aId)) {
    state->mProbeUntil = instant{ 0 };
  }
}

bool
runner_table::NoteLeaves(service_runner_id aId)
{
  runner_state* const state = Find(aId);
  if (state == nullptr || state->mDraining) {
    return false;
  }
  NoteLeft(*state);
  state->mDraining = true;
  mSelfReported.insert(aId);
  return true;
}

void
runner_table::NotePause(service_runner_id aId, instant aUntil)
{
  if (runner_state* const state = Find(aId)) {
    state->mPausedUntil = std::max(state->mPausedUntil, aUntil);
    mSelfReported.insert(aId);
  }
}

void
runner_table::NoteCrashed(service_runner_id aId)
{
  if (runner_state* const state = Find(aId)) {
    state->mHasCrashed = true;
  }
}

void
runner_table::NoteOutcome(service_runner_id aId, send_outcome aOutcome, instant aNow)
{
  runner_state* const state = Find(aId);
  if (state == nullptr || aOutcome == send_outcome::eAbandoned) {
    return;
  }
  state->mProbeUntil = instant{ 0 };
  if (aOutcome == send_outcome::eMisdirected) {
    state->mMisdirectedUntil = aNow + kMisdirectedBackoff;
    return;
  }
  if (aOutcome == send_outcome::eRefused) {
    ++state->mRefusals;
    // One refusal means that it's full. Several in a row mean that an engine accepts nothing now,
    // since it's only given work that should fit. Plain services are full for moments only.
    const bool engine = state->mEntry.mRole != engine_role::eNone;
    const std::uint32_t steps = engine ? std::min(state->mRefusals - 1, kMaxRefusalDoublings) : 0;
    const duration backoff = kRefusedBackoff * (std::int64_t{ 1 } << steps);
    state->mAvoidUntil = std::max(state->mAvoidUntil, aNow + backoff);
    return;
  }
  const double failed = aOutcome == send_outcome::eServed ? 0.0 : 1.0;
  state->mFailureShare += kOutcomeWeight * (failed - state->mFailureShare);
  if (aOutcome == send_outcome::eServed) {
    state->mBackoff = duration{ 0 };
    state->mRefusals = 0;
    state->mHasCrashed = false;
  }
  if (aOutcome == send_outcome::eUnreachable) {
    state->mBackoff = std::clamp(state->mBackoff * 2, kInitialBackoff, kMaxBackoff);
    state->mAvoidUntil = aNow + state->mBackoff;
  }
}

} // namespace dunehook
