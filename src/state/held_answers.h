/**
 * @file held_answers.h
 * The memory that all answers of runners take together until they are whole, or until the next
 * event of a stream is. Each answer has a bound of its own, but many at once add up.
 */
#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>

namespace dunehook {

class held_answer;

/** All answers that a daemon holds. It outlives them. */
class held_answers
{
public:
  /** @param aMost bytes that they may take together. */
  explicit held_answers(std::uint64_t aMost)
    : mMost(aMost)
  {
  }

  /** @return bytes held now; at most those that may be. */
  std::uint64_t Bytes() const { return mBytes; }
  /** @return answers that were given up so far. */
  std::uint64_t GivenUp() const { return mGivenUp; }
  /** @return bytes up to which an answer may be held that can also be passed on as it comes. */
  std::size_t MostOfPassable() const
  {
    return mBytes > mMost / 2 ? kMostIfCrowded : std::numeric_limits<std::size_t>::max();
  }

private:
  friend class held_answer;

  /** Gives answers up until the rest fits. */
  void Fit();
  /**
   * @return the answer to give up: of those that hold the mean or more, the one that has been held
   * for the longest time. A large event that is on its way is held for a short time.
   * @pre one holds something.
   */
  held_answer& Worst() const;

  /** Bytes to which an answer is held in any case: most small ones are whole by then. */
  static constexpr std::size_t kMostIfCrowded = 4096;

  std::uint64_t mMost;             ///< Bytes that they may take together.
  std::uint64_t mBytes = 0;        ///< Sum of what mAnswers hold.
  std::uint64_t mGivenUp = 0;      ///< Answers that were given up.
  std::set<held_answer*> mAnswers; ///< Those that hold something, and no others.
};

/** What is held of one answer, or of one event of a stream, for as long as this lives. */
class held_answer
{
public:
  /** @param aGiveUp closes the answer's connection; called at most once, by any answer's Set(). */
  held_answer(held_answers& aAll, std::function<void()> aGiveUp)
    : mAll(aAll)
    , mGiveUp(std::move(aGiveUp))
  {
  }
  ~held_answer() { Clear(); }
  held_answer(const held_answer&) = delete;
  held_answer& operator=(const held_answer&) = delete;

  /** States how many bytes are held now. Without effect once it's given up. */
  void Set(std::size_t aBytes, instant aNow);
  /** Nothing is held any more; what is held later is another event. */
  void Clear();
  /** @return whether it was given up: there's no room for it. */
  bool IsGivenUp() const { return mIsGivenUp; }

private:
  friend class held_answers;

  held_answers& mAll;            ///< Counts it.
  std::function<void()> mGiveUp; ///< Closes the connection.
  std::size_t mBytes = 0;        ///< Part of mAll.mBytes; 0 once it's given up.
  instant mSince{ 0 };           ///< When it was held first.
  bool mIsGivenUp = false;       ///< There's no room for it.
};

} // namespace dunehook
