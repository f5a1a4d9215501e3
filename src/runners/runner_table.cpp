/**
 * @file runner_table.cpp
 * Listings, outcomes and the choice of a runner.
 */
#include "runners/runner_table.h"

#include <algorithm>
#include <utility>

namespace dunehook {

namespace {

/** An entry that lapsed while the store was away may come back this long after its return, and one
 * that is lost with what an older copy lacks. */
constexpr duration kLapseGrace = std::chrono::milliseconds(2500);
/** First and longest avoidance of a runner that can't be reached. */
constexpr duration kFirstBackOff = std::chrono::milliseconds(150);
constexpr duration kLongestBackOff = std::chrono::milliseconds(1200);
/** A trial of an engine that wasn't reached lately ends by itself after this: the limit of a call
 * for a place, and the way of what is told. Without it 24 to 41 callers a second each waited out
 * that limit at one engine that stayed silent (replay of a day with 96 runners). */
constexpr duration kTrialLasts = std::chrono::milliseconds(300);
/** Avoidance of a runner that refused: about the time in which a place comes free. */
constexpr duration kRefusedBackOff = std::chrono::milliseconds(30);
/** An entry that a runner contradicted is followed again after this, if it hasn't changed: reads of
 * the store may be some seconds behind. */
constexpr duration kMisdirectedRest = std::chrono::seconds(4);
/** The avoidance doubles with each refusal in a row, up to about a second. */
constexpr std::uint32_t kMostRefusalSteps = 5;
/** A life that ended, or the newest of a runner, is remembered for so long after its row has gone,
 * should an older entry be seen once more: longer than a runner serves on after its leave, and than
 * a store is away. */
constexpr duration kLeftKeptFor = std::chrono::minutes(10);
/** Weight of the newest outcome; a run of about ten decides. */
constexpr double kOutcomeWeight = 0.12;
/** Failures beyond the best runner's by this share don't count: services fail by themselves. */
constexpr double kFailureSlack = 0.12;
/** How much a share of failures beyond the slack weighs against load. */
constexpr double kFailurePenalty = 12.0;
/** Part of a tie-breaking draw in a runner's score; below the weight of one request. */
constexpr double kDrawWeight = 0.5;

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

std::vector<service_runner_id>
runner_table::Apply(const runner_listing& aListing, instant aNow, bool aAway)
{
  std::vector<service_runner_id> changed;
  if (aListing.mEnd < mEnd) {
    return changed;
  }
  const bool wentBack = Advance(aListing.mEnd, aNow);
  if (aListing.mSame) {
    MarkGone(aNow, aAway);
    return changed;
  }
  mOpen.clear();
  std::set<std::string> seen;
  for (const runner_entry& entry : aListing.mRunners) {
    seen.insert(entry.mName);
    if (aNow < mSettledAt && Contradicts(entry)) {
      mOpen.push_back(entry);
    } else {
      TakeEntry(entry, aNow, changed);
    }
  }
  for (auto& [id, state] : mRunners) {
    if (state.mListed && seen.count(state.mEntry.mName) == 0) {
      Unlist(state, aNow, wentBack);
      changed.push_back(id);
    }
  }
  MarkGone(aNow, aAway);
  return changed;
}

std::vector<service_runner_id>
runner_table::ApplyChanges(const runner_changes& aChanges, instant aNow, bool aAway)
{
  std::vector<service_runner_id> changed;
  if (mEnd < aChanges.mFrom || mEnd >= aChanges.mTo) {
    return changed;
  }
  const bool wentBack = Advance(aChanges.mTo, aNow);
  for (const runner_entry& entry : aChanges.mListed) {
    TakeEntry(entry, aNow, changed);
  }
  for (const std::string& name : aChanges.mDropped) {
    runner_state* const state = FindNamed(name);
    if (state != nullptr && state->mListed) {
      Unlist(*state, aNow, wentBack);
      changed.push_back(state->mId);
    }
  }
  MarkGone(aNow, aAway);
  return changed;
}

bool
runner_table::Advance(const store_mark& aEnd, instant aNow)
{
  const bool wentBack = mEnd != store_mark{} && aEnd.mEra > mEnd.mEra;
  mEnd = aEnd;
  if (wentBack) {
    mSettledAt = aNow + kLapseGrace;
  }
  return wentBack;
}

bool
runner_table::Contradicts(const runner_entry& aEntry) const
{
  const service_runner_id id = RunnerIdOf(aEntry.mName, aEntry.mBorn);
  const runner_state* const known = Find(id);
  if (known == nullptr) {
    return mEnded.count(id) > 0;
  }
  return known->mGone || (known->mEntry != aEntry && !aEntry.mLeaving);
}

void
runner_table::TakeEntry(const runner_entry& aEntry,
                        instant aNow,
                        std::vector<service_runner_id>& aChanged)
{
  if (EndFormerLife(aEntry, aNow, aChanged)) {
    return;
  }
  const service_runner_id id = RunnerIdOf(aEntry.mName, aEntry.mBorn);
  mNewest[aEntry.mName] = { id, aEntry.mBorn };
  const auto [place, fresh] = mRunners.try_emplace(id);
  runner_state& state = place->second;
  const bool differs = state.mEntry != aEntry;
  if (fresh || differs || !state.mListed) {
    aChanged.push_back(id);
  }
  state.mId = id;
  if (differs) {
    state.mMisdirectedUntil = instant{ 0 };
    state.mChangingUntil = instant{ 0 };
  }
  state.mEntry = aEntry;
  const auto ended = mEnded.find(id);
  const bool left = ended != mEnded.end() && ended->second.mLeft;
  state.mDraining = state.mDraining || aEntry.mLeaving || left;
  state.mListed = true;
  state.mGone = false;
}

bool
runner_table::EndFormerLife(const runner_entry& aEntry,
                            instant aNow,
                            std::vector<service_runner_id>& aChanged)
{
  const auto newest = mNewest.find(aEntry.mName);
  if (newest == mNewest.end() || newest->second.mBorn == aEntry.mBorn) {
    return false;
  }
  if (newest->second.mBorn > aEntry.mBorn) {
    return true;
  }
  if (runner_state* const former = Find(newest->second.mId)) {
    Unlist(*former, aNow, false);
    former->mGone = true; // No lapse: the same runner says that it began anew.
    aChanged.push_back(former->mId);
  }
  return false;
}

void
runner_table::Unlist(runner_state& aRunner, instant aNow, bool aWentBack)
{
  aRunner.mKeptUntil = aWentBack ? aNow + kLapseGrace : instant{ 0 };
  aRunner.mListed = false;
  aRunner.mUnlistedAt = aNow;
}

void
runner_table::MarkGone(instant aNow, bool aAway)
{
  for (auto& [id, state] : mRunners) {
    const bool away = aAway || aNow < state.mKeptUntil;
    const bool lapseOver = !away || aNow - state.mUnlistedAt > kLapseGrace;
    state.mGone = state.mGone || (!state.mListed && lapseOver);
  }
}

std::vector<service_runner_id>
runner_table::Forget(instant aNow, bool aAway)
{
  std::vector<service_runner_id> changed;
  if (aNow >= mSettledAt) {
    for (const runner_entry& entry : std::exchange(mOpen, {})) {
      TakeEntry(entry, aNow, changed);
    }
  }
  MarkGone(aNow, aAway);
  std::erase_if(mEnded, [&](const auto& aRow) { return aNow - aRow.second.mAt > kLeftKeptFor; });
  std::erase_if(mRunners, [&](const auto& aRow) {
    const bool over = aRow.second.mGone && aRow.second.mUnderWay == 0;
    if (over) {
      mEnded[aRow.first] = { aNow, aRow.second.mDraining };
    }
    return over;
  });
  std::erase_if(mNewest, [&](const auto& aRow) {
    const service_runner_id id = aRow.second.mId;
    return mEnded.count(id) == 0 && Find(id) == nullptr;
  });
  std::erase_if(mNoticed, [&](service_runner_id aId) { return Find(aId) == nullptr; });
  return changed;
}

runner_state*
runner_table::Find(service_runner_id aId)
{
  const auto found = mRunners.find(aId);
  return found == mRunners.end() ? nullptr : &found->second;
}

const runner_state*
runner_table::Find(service_runner_id aId) const
{
  const auto found = mRunners.find(aId);
  return found == mRunners.end() ? nullptr : &found->second;
}

runner_state*
runner_table::FindNamed(const std::string& aName)
{
  const auto found = mNewest.find(aName);
  return found == mNewest.end() ? nullptr : Find(found->second.mId);
}

const runner_state*
runner_table::FindNamed(const std::string& aName) const
{
  const auto found = mNewest.find(aName);
  return found == mNewest.end() ? nullptr : Find(found->second.mId);
}

bool
runner_table::TakesWork(const runner_state& aRunner, instant aNow) const
{
  return !aRunner.mDraining && !aRunner.mGone && aNow >= aRunner.mAvoidUntil &&
         aNow >= aRunner.mMisdirectedUntil && aNow >= aRunner.mChangingUntil &&
         aNow >= aRunner.mTrialUntil;
}

bool
runner_table::MayReceive(const runner_state& aRunner, instant aNow) const
{
  return !aRunner.mDraining && !aRunner.mGone && aNow >= aRunner.mQuietUntil;
}

std::vector<service_runner_id>
runner_table::Barred(instant aNow) const
{
  std::vector<service_runner_id> barred;
  for (const service_runner_id id : mNoticed) {
    const runner_state* const runner = Find(id);
    if (runner != nullptr && !MayReceive(*runner, aNow)) {
      barred.push_back(id);
    }
  }
  return barred;
}

instant
runner_table::WantedFrom(const std::string& aService) const
{
  instant from = instant::max();
  for (const auto& [id, runner] : mRunners) {
    const bool stays = !runner.mDraining && !runner.mGone;
    if (stays && runner.mEntry.mService == aService) {
      from = std::min(from, runner.mQuietUntil);
    }
  }
  return from;
}

runner_state*
runner_table::Choose(const std::string& aService,
                     const std::set<service_runner_id>& aTried,
                     instant aNow,
                     double aDraw)
{
  std::vector<runner_state*> candidates;
  double bestShare = 1.0;
  for (auto& [id, state] : mRunners) {
    const bool may = TakesWork(state, aNow) && MayReceive(state, aNow);
    if (state.mEntry.mService == aService && may && aTried.count(id) == 0) {
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
    const double score = load * (1.0 + kFailurePenalty * excess) + kDrawWeight * draw;
    if (best == nullptr || score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

bool
runner_table::HasRunner(const std::string& aService) const
{
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aRow) {
    const runner_state& runner = aRow.second;
    return runner.mEntry.mService == aService && !runner.mDraining && !runner.mGone;
  });
}

void
runner_table::NoteChanging(service_runner_id aId, instant aUntil)
{
  if (runner_state* const state = Find(aId)) {
    state->mChangingUntil = aUntil;
  }
}

void
runner_table::NoteTrials(const placement_choice& aChoice, instant aNow)
{
  const auto note = [&](service_runner_id aId) {
    runner_state* const state = Find(aId);
    if (state != nullptr && state->mBackOff > duration{ 0 }) {
      state->mTrialUntil = aNow + kTrialLasts;
    }
  };
  note(aChoice.mDecode);
  if (aChoice.mPrefill) {
    note(*aChoice.mPrefill);
  }
}

void
runner_table::NoteReached(service_runner_id aId)
{
  if (runner_state* const state = Find(aId)) {
    state->mTrialUntil = instant{ 0 };
  }
}

bool
runner_table::NoteLeaves(service_runner_id aId)
{
  runner_state* const state = Find(aId);
  if (state == nullptr || state->mDraining) {
    return false;
  }
  state->mDraining = true;
  mNoticed.insert(aId);
  return true;
}

void
runner_table::NoteQuiet(service_runner_id aId, instant aUntil)
{
  if (runner_state* const state = Find(aId)) {
    state->mQuietUntil = std::max(state->mQuietUntil, aUntil);
    mNoticed.insert(aId);
  }
}

void
runner_table::NoteOutcome(service_runner_id aId, send_outcome aOutcome, instant aNow)
{
  runner_state* const state = Find(aId);
  if (state == nullptr || aOutcome == send_outcome::eAbandoned) {
    return;
  }
  state->mTrialUntil = instant{ 0 };
  if (aOutcome == send_outcome::eMisdirected) {
    state->mMisdirectedUntil = aNow + kMisdirectedRest;
    return;
  }
  if (aOutcome == send_outcome::eRefused) {
    ++state->mRefusals;
    // One refusal says that it's full; several in a row say that an engine takes nothing now, since
    // it's given work only where it should have room. Plain services are full for moments only.
    const bool engine = state->mEntry.mRole != engine_role::eNone;
    const std::uint32_t steps = engine ? std::min(state->mRefusals - 1, kMostRefusalSteps) : 0;
    const duration rest = kRefusedBackOff * (std::int64_t{ 1 } << steps);
    state->mAvoidUntil = std::max(state->mAvoidUntil, aNow + rest);
    return;
  }
  const double failed = aOutcome == send_outcome::eServed ? 0.0 : 1.0;
  state->mFailureShare += kOutcomeWeight * (failed - state->mFailureShare);
  if (aOutcome == send_outcome::eServed) {
    state->mBackOff = duration{ 0 };
    state->mRefusals = 0;
  }
  if (aOutcome == send_outcome::eUnreachable) {
    state->mBackOff = std::clamp(state->mBackOff * 2, kFirstBackOff, kLongestBackOff);
    state->mAvoidUntil = aNow + state->mBackOff;
  }
}

} // namespace dunehook
