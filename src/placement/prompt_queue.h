/**
 * @file prompt_queue.h
 * The prompts that one engine has under way or waits for, and how quickly it reads, learned from
 * the reads that end. Reads go one after the other. Pure: no I/O, no clock.
 */
#pragma once

#include "runners/runner_type.h"

#include <vector>

namespace dunehook {

struct run_tag;
/** A generation under way, by the hash of its request's id. */
using run_id = strong_id<run_tag>;

/** Reading speed of an engine of which nothing was seen, in tokens a microsecond. */
inline constexpr double kDefaultTokensPerMicro = 0.05;

/** How quickly an engine reads. Each read that ends counts for more than the one before it. */
class read_speed
{
public:
  /** @param aGuess tokens a microsecond, until reads are seen. */
  explicit read_speed(double aGuess = kDefaultTokensPerMicro)
    : mTokens(kGuessTokens)
    , mMicros(kGuessTokens / aGuess)
  {
  }

  /** Takes in a read. @param aBusy time that the engine spent on it alone. */
  void Learn(double aTokens, duration aBusy);
  /** @return tokens a microsecond; above zero. */
  double TokensPerMicro() const { return mTokens / mMicros; }

private:
  /** The guess counts as much as a read of so many tokens: the first prompts outweigh it. */
  static constexpr double kGuessTokens = 2000.0;

  double mTokens; ///< Read of late; above zero.
  double mMicros; ///< Spent on them; above zero.
};

/** The queue. */
class prompt_queue
{
public:
  /** @param aGuess of the engine's speed, in tokens a microsecond. */
  explicit prompt_queue(double aGuess = kDefaultTokensPerMicro)
    : mSpeed(aGuess)
  {
  }

  /** Adds a prompt. */
  void Add(run_id aRun, double aTokens, instant aNow);
  /** Notes that a prompt was read just now. @param aTook since the engine was asked. */
  void NoteRead(run_id aRun, duration aTook, instant aNow);
  /** Takes out a prompt that is never read. */
  void Drop(run_id aRun);
  /** @return expected time until a newcomer of so many tokens is read. */
  duration TimeFor(double aTokens, instant aNow) const;
  double TokensPerMicro() const { return mSpeed.TokensPerMicro(); }

private:
  /** A read under way, or one that waits. */
  struct pending_read
  {
    run_id mRun;          ///< Whose prompt it is.
    double mTokens = 0.0; ///< Its length.
    instant mSince{ 0 };  ///< When it was added.
  };

  duration ReadTime(double aTokens) const;

  read_speed mSpeed;                  ///< Of the engine.
  std::vector<pending_read> mPending; ///< Reads whose end wasn't told yet.
  instant mBusyUntil{ 0 };            ///< Expected end of all of them.
  instant mLastRead{ 0 };             ///< When a read ended last.
};

} // namespace dunehook
