/**
 * @file runner_table.cpp
 * Applies listings of runners, and tracks their incarnations.
 */
#include "runners/runner_table.h"

#include <algorithm>
#include <utility>

namespace dunehook {

namespace {

/** Time for runners to write their entries again after the store was unreachable, so that entries
 * expired, or after it was restored from an older copy that lacks entries. */
constexpr duration kExpiryGrace = std::chrono::milliseconds(2500);
/** Ended incarnations, and the newest one of each runner, are kept this long after their removal in
 * case an outdated entry is seen again. It's longer than a runner keeps serving after its shutdown
 * was announced, and longer than the store is unreachable. */
constexpr duration kEndedRetention = std::chrono::minutes(10);

} // namespace

std::vector<service_runner_id>
runner_table::Apply(const runner_listing& aListing, instant aNow, bool aAway)
{
  std::vector<service_runner_id> changed;
  if (aListing.mEnd < mEnd) {
    return changed;
  }
  const bool wentBack = Advance(aListing.mEnd, aNow);
  if (aListing.mUnchanged) {
    MarkGone(aNow);
    return changed;
  }
  mDeferredEntries.clear();
  std::set<std::string> seen;
  for (const runner_entry& entry : aListing.mRunners) {
    seen.insert(entry.mName);
    if (aNow < mReconciledAt && Contradicts(entry)) {
      mDeferredEntries.push_back(entry);
    } else {
      ApplyEntry(entry, aNow, changed);
    }
  }
  for (auto& [id, state] : mRunners) {
    if (state.mListed && seen.count(state.mEntry.mName) == 0) {
      MarkUnlisted(state, aNow, wentBack || aAway);
      changed.push_back(id);
    }
  }
  MarkGone(aNow);
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
    ApplyEntry(entry, aNow, changed);
  }
  for (const std::string& name : aChanges.mDropped) {
    runner_state* const state = FindNamed(name);
    if (state != nullptr && state->mListed) {
      MarkUnlisted(*state, aNow, wentBack || aAway);
      changed.push_back(state->mId);
    }
  }
  MarkGone(aNow);
  return changed;
}

bool
runner_table::Advance(const store_mark& aEnd, instant aNow)
{
  const bool wentBack = mEnd != store_mark{} && aEnd.mEra > mEnd.mEra;
  mFirstReadAt = mFirstReadAt == instant{ 0 } ? aNow : mFirstReadAt;
  mEnd = aEnd;
  if (wentBack) {
    mReconciledAt = aNow + kExpiryGrace;
  }
  return wentBack;
}

bool
runner_table::Contradicts(const runner_entry& aEntry) const
{
  const service_runner_id id = RunnerIdOf(aEntry.mName, aEntry.mBorn);
  const runner_state* const known = Find(id);
  if (known == nullptr) {
    return mEndedIncarnations.count(id) > 0;
  }
  return known->mGone || (known->mEntry != aEntry && !aEntry.mLeaving);
}

void
runner_table::ApplyEntry(const runner_entry& aEntry,
                         instant aNow,
                         std::vector<service_runner_id>& aChanged)
{
  if (EndEarlierIncarnation(aEntry, aNow, aChanged)) {
    return;
  }
  const service_runner_id id = RunnerIdOf(aEntry.mName, aEntry.mBorn);
  mNewestIncarnations[aEntry.mName] = { id, aEntry.mBorn };
  const auto [place, fresh] = mRunners.try_emplace(id);
  runner_state& state = place->second;
  const bool differs = state.mEntry != aEntry;
  if (fresh || differs || !state.mListed) {
    aChanged.push_back(id);
  }
  state.mId = id;
  if (differs) {
    state.mMisdirectedUntil = instant{ 0 };
    state.mRoleChangeUntil = instant{ 0 };
  }
  if (!fresh && state.mEntry.mSoftware != aEntry.mSoftware) {
    NoteFormerSoftware(state.mEntry, aNow);
  }
  state.mEntry = aEntry;
  const auto ended = mEndedIncarnations.find(id);
  const bool left = ended != mEndedIncarnations.end() && ended->second.mLeft;
  if (aEntry.mLeaving || left) {
    NoteLeft(state);
    state.mDraining = true;
  }
  state.mListed = true;
  state.mGone = false;
}

bool
runner_table::EndEarlierIncarnation(const runner_entry& aEntry,
                                    instant aNow,
                                    std::vector<service_runner_id>& aChanged)
{
  const auto newest = mNewestIncarnations.find(aEntry.mName);
  if (newest == mNewestIncarnations.end() || newest->second.mBorn == aEntry.mBorn) {
    return false;
  }
  if (newest->second.mBorn > aEntry.mBorn) {
    return true;
  }
  if (runner_state* const earlier = Find(newest->second.mId)) {
    MarkUnlisted(*earlier, aNow, false);
    earlier->mGone = true; // No expired entry: the runner itself has restarted.
    aChanged.push_back(earlier->mId);
  }
  return false;
}

void
runner_table::NoteLeft(runner_state& aRunner) const
{
  if (!MayHaveLeftAt(aRunner)) {
    aRunner.mStayedAt = mCurrentAt;
  }
}

void
runner_table::MarkUnlisted(runner_state& aRunner, instant aNow, bool aMayBeLapse)
{
  aRunner.mGraceUntil = aMayBeLapse ? aNow + kExpiryGrace : instant{ 0 };
  NoteLeft(aRunner);
  aRunner.mListed = false;
}

void
runner_table::MarkGone(instant aNow)
{
  for (auto& [id, state] : mRunners) {
    state.mGone = state.mGone || (!state.mListed && aNow >= state.mGraceUntil);
  }
}

std::vector<service_runner_id>
runner_table::RemoveGone(instant aNow)
{
  std::vector<service_runner_id> changed;
  if (aNow >= mReconciledAt) {
    for (const runner_entry& entry : std::exchange(mDeferredEntries, {})) {
      ApplyEntry(entry, aNow, changed);
    }
  }
  MarkGone(aNow);
  std::erase_if(mEndedIncarnations,
                [&](const auto& aRow) { return aNow - aRow.second.mAt > kEndedRetention; });
  std::erase_if(mFormerSoftware,
                [&](const auto& aRow) { return aNow - aRow.second > kEndedRetention; });
  std::erase_if(mRunners, [&](const auto& aRow) {
    const bool over = aRow.second.mGone && aRow.second.mUnderWay == 0;
    if (over) {
      mEndedIncarnations[aRow.first] = { aNow, aRow.second.mDraining };
      NoteFormerSoftware(aRow.second.mEntry, aNow);
    }
    return over;
  });
  std::erase_if(mNewestIncarnations, [&](const auto& aRow) {
    const service_runner_id id = aRow.second.mId;
    return mEndedIncarnations.count(id) == 0 && Find(id) == nullptr;
  });
  std::erase_if(mSelfReported, [&](service_runner_id aId) { return Find(aId) == nullptr; });
  return changed;
}

void
runner_table::NoteFormerSoftware(const runner_entry& aEntry, instant aNow)
{
  mFormerSoftware[{ aEntry.mService, SoftwareOf(aEntry) }] = aNow;
}

std::set<software_id>
runner_table::SoftwareSince(const std::string& aService, instant aSince) const
{
  std::set<software_id> versions;
  for (const auto& [id, runner] : mRunners) {
    if (runner.mEntry.mService == aService) {
      versions.insert(SoftwareOf(runner.mEntry));
    }
  }
  for (const auto& [version, until] : mFormerSoftware) {
    if (version.first == aService && until >= aSince) {
      versions.insert(version.second);
    }
  }
  return versions;
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
  const auto found = mNewestIncarnations.find(aName);
  return found == mNewestIncarnations.end() ? nullptr : Find(found->second.mId);
}

const runner_state*
runner_table::FindNamed(const std::string& aName) const
{
  const auto found = mNewestIncarnations.find(aName);
  return found == mNewestIncarnations.end() ? nullptr : Find(found->second.mId);
}

} // namespace dunehook
