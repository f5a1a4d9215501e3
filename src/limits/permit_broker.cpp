/**
 * @file permit_broker.cpp
 * Chooses grantors, grants permits, and keeps track of what this daemon was granted and denied.
 */
#include "limits/permit_broker.h"

#include "core/hash_func.h"

#include <algorithm>

namespace dunehook {

namespace {

/** @return the rank of a daemon among the grantors of a runner. */
std::uint64_t
GrantorRank(service_runner_id aRunner, incarnation_id aDaemon)
{
  const std::string_view key(reinterpret_cast<const char*>(&aRunner.mValue),
                             sizeof(aRunner.mValue));
  return RendezvousRank(key, aDaemon.mValue);
}

} // namespace

service_runner_id
RetryBudgetOf(const std::string& aService)
{
  return { HashBytes("retries of " + aService) | 1U };
}

void
permit_broker::SetMembers(incarnation_id aSelf,
                          std::set<incarnation_id> aServing,
                          bool aLate,
                          instant aNow)
{
  mSelf = aSelf;
  if (aLate) { // Another daemon may have granted meanwhile.
    mGrants.clear();
  }
  const bool changed = aLate || aServing != mServing;
  const bool alone = mServing.empty() && aServing == std::set{ aSelf };
  if (changed) {
    mMembersChangedAt = aNow;
  }
  if ((changed && !alone) || mHeardCounts.empty()) {
    mOthersChangedAt = aNow;
  }
  mServing = std::move(aServing);
  const std::size_t heard = mServing.size();
  while (!mHeardCounts.empty() && mHeardCounts.back().mCount <= heard) {
    mHeardCounts.pop_back();
  }
  mHeardCounts.push_back({ aNow, heard });
  while (aNow - mHeardCounts.front().mAt > kMostHeardMemory) {
    mHeardCounts.pop_front();
  }
  if (aNow - mToldCount.mAt > kMostHeardMemory) {
    mToldCount = {};
  }
  std::erase_if(mUnanswered, [&](const auto& aRow) { return !mServing.contains(aRow.first); });
}

void
permit_broker::SetRetryLimits(const retry_limits& aLimits, std::size_t aDaemons)
{
  mRetryLimits = aLimits;
  mLeastDaemons = std::max<std::size_t>(1, aDaemons);
}

bool
permit_broker::IsSilent(incarnation_id aDaemon) const
{
  const auto found = mUnanswered.find(aDaemon);
  return found != mUnanswered.end() && found->second.mCount >= kMaxUnansweredRequests;
}

std::optional<incarnation_id>
permit_broker::GrantorOf(service_runner_id aRunner) const
{
  std::optional<incarnation_id> best;
  std::uint64_t highest = 0;
  for (const incarnation_id daemon : mServing) {
    const std::uint64_t rank = GrantorRank(aRunner, daemon);
    if (!IsSilent(daemon) && (!best || rank > highest)) {
      best = daemon;
      highest = rank;
    }
  }
  return best;
}

void
permit_broker::NoteHeard(incarnation_id aDaemon, instant aNow)
{
  if (IsSilent(aDaemon)) {
    mMembersChangedAt = aNow;
    mOthersChangedAt = aNow;
  }
  mUnanswered.erase(aDaemon);
}

std::vector<incarnation_id>
permit_broker::DueChecks(instant aNow)
{
  std::vector<incarnation_id> due;
  if (aNow - mLastRequestAt > kDeniedDaemonMemory) {
    return due;
  }
  for (auto& [daemon, row] : mUnanswered) {
    if (aNow >= row.mCheckAt) {
      row.mCheckAt = aNow + kSilentCheckInterval;
      due.push_back(daemon);
    }
  }
  return due;
}

permit_request
permit_broker::MakeRequest(service_runner_id aRunner,
                           std::uint32_t aSends,
                           std::uint32_t aRank,
                           instant aNow)
{
  mLastRequestAt = aNow;
  permit_request request;
  request.mRunner = aRunner;
  request.mRound = ++mRounds;
  request.mSends = aSends;
  request.mRank = aRank;
  request.mKnown = mLimits.NoticeOf(aRunner, aNow);
  request.mHeard = MostHeard(aNow);
  return request;
}

permit_request
permit_broker::MakeRetryRequest(service_runner_id aBudget,
                                std::uint32_t aSends,
                                std::uint32_t aRank,
                                instant aNow)
{
  permit_request request = MakeRequest(aBudget, aSends, aRank, aNow);
  request.mRetries = true;
  return request;
}

instant
permit_broker::RetriesHeldUntil(service_runner_id aBudget, std::uint32_t aRank) const
{
  instant held{ 0 };
  const auto found = mHeldUntil.find(aBudget);
  if (found != mHeldUntil.end()) {
    for (const auto& [rank, until] : found->second) {
      held = rank <= aRank ? std::max(held, until) : held;
    }
  }
  return held;
}

permit_request
permit_broker::MakeCheck()
{
  permit_request request;
  request.mRound = ++mRounds;
  request.mSends = 0;
  return request;
}

void
permit_broker::Hold(service_runner_id aRunner, std::uint32_t aRank, instant aUntil)
{
  instant& until = mHeldUntil[aRunner][aRank];
  until = std::max(until, aUntil);
}

void
permit_broker::NoteReply(const permit_reply& aReply, std::uint32_t aRank, instant aNow)
{
  NoteTold(aReply.mHeard, aNow);
  if (aReply.mState != permit_state::eGranted) {
    const duration wait = std::clamp(aReply.mWait, kMinDeniedWait, kMaxDeniedWait);
    Hold(aReply.mRunner, aRank, aNow + wait);
  }
}

void
permit_broker::NoteNoReply(incarnation_id aDaemon, const permit_request& aRequest, instant aNow)
{
  unanswered_row& row = mUnanswered[aDaemon];
  ++row.mCount;
  if (row.mCount < kMaxUnansweredRequests) {
    row.mCheckAt = aNow;
  } else if (row.mCount == kMaxUnansweredRequests) {
    mMembersChangedAt = aNow; // Another daemon is the grantor now.
    mOthersChangedAt = aNow;
  }
  if (aRequest.mSends > 0) {
    Hold(aRequest.mRunner, aRequest.mRank, aNow + kUngrantedWait);
  }
}

void
permit_broker::NoteTold(const heard_daemons& aHeard, instant aNow)
{
  const instant at = aNow - std::max(aHeard.mAge, duration{ 0 });
  if (aHeard.mCount > mToldCount.mCount) {
    mToldCount = { at, aHeard.mCount };
  } else if (aHeard.mCount == mToldCount.mCount) {
    mToldCount.mAt = std::max(mToldCount.mAt, at);
  }
}

heard_daemons
permit_broker::MostHeard(instant aNow) const
{
  const bool told = mHeardCounts.empty() || mToldCount.mCount > mHeardCounts.front().mCount;
  const heard_count& most = told ? mToldCount : mHeardCounts.front();
  return { static_cast<std::uint32_t>(most.mCount), aNow - most.mAt };
}

double
permit_broker::HeardShare() const
{
  const auto silent = static_cast<std::size_t>(std::count_if(
    mServing.begin(), mServing.end(), [&](incarnation_id aDaemon) { return IsSilent(aDaemon); }));
  const auto heard = static_cast<double>(mServing.size() - silent);
  const auto most = static_cast<double>(std::max(mHeardCounts.front().mCount, mToldCount.mCount));
  return heard >= kMajorShare * most ? 1.0 : heard / most;
}

double
permit_broker::HeardShareForRetries() const
{
  const std::size_t most = mHeardCounts.empty() ? 0 : mHeardCounts.front().mCount;
  if (most <= 1 && mLeastDaemons > 1) {
    return 0.0;
  }
  const auto heard = static_cast<double>(mServing.size());
  const auto least = static_cast<double>(mLeastDaemons);
  return heard >= kMajorShare * least ? HeardShare() : std::min(HeardShare(), heard / least);
}

double
permit_broker::RetryRate() const
{
  return kWindowAllowanceShare * mRetryLimits.mAllowance / ToSeconds(mRetryLimits.mWindow) *
         HeardShareForRetries();
}

permit_broker::grant_row
permit_broker::NewRow(const permit_request& aRequest, instant aNow) const
{
  if (aRequest.mRetries) {
    const double rate = kWindowAllowanceShare * mRetryLimits.mAllowance;
    const double saved = kSavedAllowanceShare * mRetryLimits.mAllowance - kPermitsBesideSaved;
    const double windows = rate > 0.0 ? std::max(0.0, saved) / rate : 0.0;
    const duration saving = FromSeconds(ToSeconds(mRetryLimits.mWindow) * windows);
    // Since then no other daemon has been the grantor, and this one wasn't asked.
    return { permit_bucket(mOthersChangedAt, saving), true, mOthersChangedAt, {} };
  }
  const bool stable = aNow - mMembersChangedAt >= kStableMembersTime;
  const instant since = stable ? aNow - kGrantorWarmUp - kNewGrantorTime : aNow;
  return { permit_bucket(aNow), false, since, {} };
}

double
permit_broker::RateOf(service_runner_id aRunner, const grant_row& aRow, instant aNow) const
{
  const duration granting = aNow - aRow.mSince;
  if (granting < kGrantorWarmUp) {
    return 0.0;
  }
  const bool isNew = granting < kGrantorWarmUp + kNewGrantorTime;
  return mLimits.RateOf(aRunner, aNow) * HeardShare() * (isNew ? kNewGrantorShare : 1.0);
}

duration
permit_broker::DeniedWait(grant_row& aRow, incarnation_id aFrom, double aRate, instant aNow)
{
  aRow.mDenied[aFrom] = aNow;
  const double expected = static_cast<double>(aRow.mDenied.size()) /
                          (kRequestsPerPermit * std::max(aRate, kMinLimitedRate));
  return std::clamp(FromSeconds(expected), kMinDeniedWait, kMaxDeniedWait);
}

permit_reply
permit_broker::Answer(const permit_request& aRequest, incarnation_id aFrom, instant aNow)
{
  if (aRequest.mKnown) {
    mLimits.Apply(*aRequest.mKnown, aNow);
  }
  NoteTold(aRequest.mHeard, aNow);
  permit_reply reply;
  reply.mRunner = aRequest.mRunner;
  reply.mRound = aRequest.mRound;
  reply.mWait = kUngrantedWait;
  reply.mHeard = MostHeard(aNow);
  const std::optional<incarnation_id> grantor = GrantorOf(aRequest.mRunner);
  if (aRequest.mSends == 0 || grantor != mSelf) {
    if (aRequest.mSends > 0) {
      mGrants.erase(aRequest.mRunner);
      if (grantor) { // The sender may know that it's silent.
        mLastRequestAt = aNow;
        mUnanswered.try_emplace(*grantor);
      }
    }
    return reply;
  }
  grant_row& row = mGrants.try_emplace(aRequest.mRunner, NewRow(aRequest, aNow)).first->second;
  const double rate = row.mRetries ? RetryRate() : RateOf(aRequest.mRunner, row, aNow);
  row.mBucket.Fill(rate, aNow);
  if (aRequest.mCharge) {
    row.mBucket.Charge(aRequest.mSends);
    reply.mState = permit_state::eGranted;
    return reply;
  }
  if (rate > 0.0 && row.mBucket.Take(aRequest.mSends, aRequest.mRank, aNow)) {
    row.mDenied.erase(aFrom);
    reply.mState = permit_state::eGranted;
    reply.mWait = duration{ 0 };
    return reply;
  }
  reply.mState = permit_state::eDenied;
  const instant grants = row.mRetries ? aNow : std::max(aNow, row.mSince + kGrantorWarmUp);
  const double later = row.mRetries ? rate : RateOf(aRequest.mRunner, row, grants);
  reply.mWait = grants - aNow + DeniedWait(row, aFrom, later, aNow);
  return reply;
}

held_runners
permit_broker::Held(std::uint32_t aRank, instant aNow) const
{
  held_runners held;
  for (const auto& [runner, ranks] : mHeldUntil) {
    if (!mLimits.NeedsPermit(runner, aNow)) {
      continue;
    }
    for (const auto& [rank, until] : ranks) {
      if (rank <= aRank && until > aNow) {
        held[runner] = std::max(held[runner], until);
      }
    }
  }
  return held;
}

void
permit_broker::Prune(const std::function<bool(service_runner_id)>& aExists, instant aNow)
{
  mLimits.Prune(aExists);
  for (auto& [runner, ranks] : mHeldUntil) {
    std::erase_if(ranks, [&](const auto& aRow) { return aRow.second <= aNow; });
  }
  std::erase_if(mHeldUntil, [](const auto& aRow) { return aRow.second.empty(); });
  for (auto& [runner, row] : mGrants) {
    std::erase_if(row.mDenied, [&](const auto& aRow) {
      return aNow - aRow.second > kDeniedDaemonMemory + kMaxDeniedWait;
    });
  }
  std::erase_if(mGrants, [&](const auto& aRow) {
    const bool needed = aRow.second.mRetries || mLimits.NeedsPermit(aRow.first, aNow);
    return !needed || GrantorOf(aRow.first) != mSelf;
  });
}

} // namespace dunehook
