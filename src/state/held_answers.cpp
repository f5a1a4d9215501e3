/**
 * @file held_answers.cpp
 * Counts what is held of answers, and chooses which ones to give up.
 */
#include "state/held_answers.h"

#include "core/log_func.h"

namespace dunehook {

held_answer&
held_answers::Worst() const
{
  const std::uint64_t mean = mBytes / mAnswers.size();
  held_answer* worst = nullptr;
  for (held_answer* const answer : mAnswers) {
    const bool large = answer->mBytes >= mean;
    if (large && (worst == nullptr || answer->mSince < worst->mSince)) {
      worst = answer;
    }
  }
  return *worst;
}

void
held_answers::Fit()
{
  while (mBytes > mMost) {
    held_answer& worst = Worst();
    ++mGivenUp;
    LogEvent(log_level::eWarning,
             "answer_over_memory",
             { { "bytes", worst.mBytes },
               { "held_bytes", mBytes },
               { "most_bytes", mMost },
               { "answers", mAnswers.size() } });
    worst.Clear();
    worst.mIsGivenUp = true;
    worst.mGiveUp();
  }
}

void
held_answer::Set(std::size_t aBytes, instant aNow)
{
  if (mIsGivenUp || aBytes == mBytes) {
    return;
  }
  if (aBytes == 0) {
    Clear();
    return;
  }
  if (mBytes == 0) {
    mSince = aNow;
    mAll.mAnswers.insert(this);
  }
  mAll.mBytes += aBytes;
  mAll.mBytes -= mBytes;
  mBytes = aBytes;
  mAll.Fit();
}

void
held_answer::Clear()
{
  if (mBytes == 0) {
    return;
  }
  mAll.mAnswers.erase(this);
  mAll.mBytes -= mBytes;
  mBytes = 0;
}

} // namespace dunehook
