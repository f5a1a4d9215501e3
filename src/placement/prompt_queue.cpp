/**
 * @file prompt_queue.cpp
 * Expected end of an engine's pending reads, and its read speed.
 */
#include "placement/prompt_queue.h"

#include <algorithm>

namespace dunehook {

namespace {

/** Factor by which the weight of earlier reads falls with each new one. */
constexpr double kEarlierWeight = 0.9;
/** Limit of the factor between a read's speed and the average so far: an engine that was suspended
 * once hasn't become slow. */
constexpr double kMaxSpeedChange = 4.0;
/** Plausible range of speeds, in tokens per microsecond. */
constexpr double kMinTokensPerMicro = 0.002;
constexpr double kMaxTokensPerMicro = 1.0;
/** A read without a reported end is dropped after this. */
constexpr duration kPendingReadTimeout = std::chrono::seconds(3);

} // namespace

void
read_speed::Learn(double aTokens, duration aBusy)
{
  const double speed = TokensPerMicro();
  const double slowest = aTokens / std::max(kMinTokensPerMicro, speed / kMaxSpeedChange);
  const double quickest = aTokens / std::min(kMaxTokensPerMicro, speed * kMaxSpeedChange);
  const double micros = std::clamp(static_cast<double>(aBusy.count()), quickest, slowest);
  mTokens = mTokens * kEarlierWeight + aTokens;
  mMicros = mMicros * kEarlierWeight + micros;
}

duration
prompt_queue::ReadTime(double aTokens) const
{
  return duration(static_cast<std::int64_t>(aTokens / mSpeed.TokensPerMicro()));
}

void
prompt_queue::Add(run_id aRun, double aTokens, instant aNow)
{
  mBusyUntil = std::max(mBusyUntil, aNow) + ReadTime(aTokens);
  mPending.push_back({ aRun, aTokens, aNow });
}

void
prompt_queue::NoteRead(run_id aRun, duration aTook, instant aNow)
{
  const auto read = std::find_if(
    mPending.begin(), mPending.end(), [&](const auto& aRead) { return aRead.mRun == aRun; });
  if (read != mPending.end()) {
    // It waited for the read before it; only the time after that one's end was spent on it.
    const instant from = std::max(mLastRead, aNow - aTook);
    mSpeed.Learn(read->mTokens, aNow - from);
    mLastRead = aNow;
  }
  // The rest of the queue begins now. Shifting the expected end by the delay of this read would
  // count the same delay again for each read that waited behind it.
  std::erase_if(mPending, [&](const pending_read& aRead) {
    return aRead.mRun == aRun || aNow - aRead.mSince > kPendingReadTimeout;
  });
  double tokens = 0.0;
  for (const pending_read& left : mPending) {
    tokens += left.mTokens;
  }
  mBusyUntil = aNow + ReadTime(tokens);
}

void
prompt_queue::Drop(run_id aRun)
{
  const auto read = std::find_if(
    mPending.begin(), mPending.end(), [&](const auto& aRead) { return aRead.mRun == aRun; });
  if (read != mPending.end()) {
    mBusyUntil -= ReadTime(read->mTokens);
    mPending.erase(read);
  }
}

duration
prompt_queue::TimeFor(double aTokens, instant aNow) const
{
  return std::max(duration{ 0 }, mBusyUntil - aNow) + ReadTime(aTokens);
}

} // namespace dunehook
