/**
 * @file prompt_queue.h
 * Queue of the prompts that one engine reads, one after the other, and its read speed, learned from
 * finished reads. Pure: no I/O, no clock.
 */
#pragma once

#include "runners/runner_type.h"

#include <vector>

namespace dunehook {

struct run_tag;
/** Id of a generation: the hash of its request's id. */
using run_id = strong_id<run_tag>;

/** Read speed assumed for engines until one was measured, in tokens per microsecond. */
inline constexpr double kDefaultTokensPerMicro = 0.05;

/** Read speed of an engine, as a moving average in which later reads weigh more. */
class read_speed
{
public:
  /** @param aGuess tokens per microsecond, until reads are measured. */
  explicit read_speed(double aGuess = kDefaultTokensPerMicro)
    : mTokens(kGuessTokens)
    , mMicros(kGuessTokens / aGuess)
  {
  }

  /** Adds a finished read. @param aBusy time that the engine spent on this read alone. */
  void Learn(double aTokens, duration aBusy);
  /** @return tokens per microsecond; above zero. */
  double TokensPerMicro() const { return mTokens / mMicros; }

private:
  /** Weight of the initial value, as a read of so many tokens: the first prompts outweigh it. */
  static constexpr double kGuessTokens = 2000.0;

  double mTokens; ///< Weighted sum of tokens read; above zero.
  double mMicros; ///< Weighted sum of microseconds spent on them; above zero.
};

/** Pending reads of one engine and their expected end. */
class prompt_queue
{
public:
  /** @param aGuess initial read speed in tokens per microsecond. */
  explicit prompt_queue(double aGuess = kDefaultTokensPerMicro)
    : mSpeed(aGuess)
  {
  }

  /** Adds a prompt of @p aTokens tokens. */
  void Add(run_id aRun, double aTokens, instant aNow);
  /** Records that a prompt was read just now. @param aTook time since the engine was asked. */
  void NoteRead(run_id aRun, duration aTook, instant aNow);
  /** Removes a prompt that won't be read. */
  void Drop(run_id aRun);
  /** @return expected time until a new prompt of so many tokens has been read, including the queue.
   */
  duration TimeFor(double aTokens, instant aNow) const;
  double TokensPerMicro() const { return mSpeed.TokensPerMicro(); }

private:
  /** A read that runs or waits. */
  struct pending_read
  {
    run_id mRun;          ///< Run that the prompt belongs to.
    double mTokens = 0.0; ///< Length of the prompt.
    instant mSince{ 0 };  ///< Time at which it was added.
  };

  duration ReadTime(double aTokens) const;

  read_speed mSpeed;                  ///< Measured speed of the engine.
  std::vector<pending_read> mPending; ///< Reads whose end wasn't reported yet.
  instant mBusyUntil{ 0 };            ///< Expected end of all pending reads.
  instant mLastRead{ 0 };             ///< End of the last finished read.
};

} // namespace dunehook
