/**
 * @file fake_engines.cpp
 * Engines in virtual time.
 */
#include "bench/fake_engines.h"

#include <algorithm>

namespace dunehook::bench {

namespace {

constexpr double kPieceTokens = 256;

} // namespace

bool
fake_prefill::UseCache(std::uint64_t aPrefix)
{
  if (aPrefix == 0) {
    return false;
  }
  const auto found = std::find(mCache.begin(), mCache.end(), aPrefix);
  const bool hit = found != mCache.end();
  if (hit) {
    mCache.erase(found);
  }
  mCache.push_front(aPrefix);
  if (!hit && mOnCache) {
    mOnCache(aPrefix, true);
  }
  if (mCache.size() > mLoad.mCacheBlocks) {
    if (mOnCache) {
      mOnCache(mCache.back(), false);
    }
    mCache.pop_back();
  }
  return hit;
}

void
fake_prefill::Read(const attempt_id& aAttempt,
                   std::uint32_t aTokens,
                   std::uint64_t aPrefix,
                   std::uint32_t aPrefixTokens,
                   std::uint32_t aPriority,
                   done_action aDone)
{
  const std::uint32_t cached = UseCache(aPrefix) ? std::min(aPrefixTokens, aTokens) : 0;
  const std::uint32_t computed = aTokens - cached;
  mTasks.push_back({ aAttempt, aPriority, ++mOrder, double(computed), computed, std::move(aDone) });
  if (!mRunning) {
    RunPiece();
  }
}

void
fake_prefill::Cancel(const attempt_id& aAttempt)
{
  std::erase_if(mTasks, [&](const task& aTask) { return aTask.mAttempt == aAttempt; });
}

void
fake_prefill::SetAlive(bool aAlive)
{
  mAlive = aAlive;
  mTasks.clear();
  mCache.clear();
  mRunning = false;
  ++mLife;
}

void
fake_prefill::RunPiece()
{
  if (mTasks.empty()) {
    mRunning = false;
    return;
  }
  mRunning = true;
  const auto next =
    std::min_element(mTasks.begin(), mTasks.end(), [](const task& aOne, const task& aTwo) {
      return std::tie(aOne.mPriority, aOne.mOrder) < std::tie(aTwo.mPriority, aTwo.mOrder);
    });
  const double piece = std::min(kPieceTokens, next->mLeft);
  const std::uint64_t order = next->mOrder;
  mQueue.After(FromSeconds(piece / mLoad.mTokensPerSecond), [this, order, piece, life = mLife] {
    if (life != mLife) {
      return;
    }
    const auto read = std::find_if(
      mTasks.begin(), mTasks.end(), [order](const task& aTask) { return aTask.mOrder == order; });
    if (read != mTasks.end()) {
      read->mLeft -= piece;
      if (read->mLeft <= 0) {
        const task finished = std::move(*read);
        mTasks.erase(read);
        finished.mDone(finished.mComputed);
      }
    }
    RunPiece();
  });
}

bool
fake_decode::Hold(const attempt_id& aAttempt)
{
  if (!mAlive || (!mSlots.contains(aAttempt) && mSlots.size() >= mLoad.mSlots)) {
    return false;
  }
  mSlots.try_emplace(aAttempt);
  return true;
}

void
fake_decode::Start(const attempt_id& aAttempt, token_action aToken)
{
  mSlots[aAttempt] = std::move(aToken);
  if (!mStepping) {
    Step();
  }
}

void
fake_decode::SetAlive(bool aAlive)
{
  mAlive = aAlive;
  mSlots.clear();
}

void
fake_decode::Step()
{
  const auto batch = static_cast<double>(std::count_if(
    mSlots.begin(), mSlots.end(), [](const auto& aSlot) { return bool(aSlot.second); }));
  mStepping = batch > 0;
  if (!mStepping) {
    return;
  }
  mQueue.After(FromSeconds(mLoad.StepSeconds(batch)), [this] {
    std::vector<attempt_id> stepped;
    for (const auto& [attempt, token] : mSlots) {
      if (token) {
        stepped.push_back(attempt);
      }
    }
    for (const attempt_id& attempt : stepped) {
      const auto slot = mSlots.find(attempt);
      if (slot != mSlots.end() && !slot->second()) {
        mSlots.erase(attempt);
      }
    }
    Step();
  });
}

} // namespace dunehook::bench
