/**
 * @file fake_engines.h
 * Hand-written engines in virtual time: a prefill engine that reads by priority in pieces and
 * caches prefixes, a decode engine that steps its batch, and the link between them.
 */
#pragma once

#include "bench/workload.h"
#include "core/attempt_type.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <vector>

namespace dunehook::bench {

/** Things that happen at instants, in order; equal instants in the order they were added. */
class event_queue
{
public:
  using action = std::function<void()>;

  instant Now() const { return mNow; }
  void At(instant aWhen, action aAction)
  {
    mQueue.push({ std::max(aWhen, mNow), ++mCount, std::move(aAction) });
  }
  void After(duration aSpan, action aAction) { At(mNow + aSpan, std::move(aAction)); }
  /** Runs everything up to @p aEnd. */
  void RunUntil(instant aEnd)
  {
    while (!mQueue.empty() && mQueue.top().mWhen <= aEnd) {
      const entry next = mQueue.top();
      mQueue.pop();
      mNow = next.mWhen;
      next.mAction();
    }
    mNow = aEnd;
  }

private:
  /** One thing that will happen. */
  struct entry
  {
    instant mWhen;        ///< When.
    std::uint64_t mOrder; ///< Tells equal instants apart.
    action mAction;       ///< What.
    bool operator<(const entry& aOther) const
    {
      return std::tie(aOther.mWhen, aOther.mOrder) < std::tie(mWhen, mOrder);
    }
  };
  std::priority_queue<entry> mQueue; ///< Earliest on top.
  instant mNow{ 0 };                 ///< Virtual time.
  std::uint64_t mCount = 0;          ///< Entries added.
};

/** A prefill engine. */
class fake_prefill
{
public:
  /** Called at the end of a prefill with the tokens computed. */
  using done_action = std::function<void(std::uint32_t aComputed)>;

  fake_prefill(event_queue& aQueue, const workload& aLoad)
    : mQueue(aQueue)
    , mLoad(aLoad)
  {
  }

  void Read(const attempt_id& aAttempt,
            std::uint32_t aTokens,
            std::uint64_t aPrefix,
            std::uint32_t aPrefixTokens,
            std::uint32_t aPriority,
            done_action aDone);
  void Cancel(const attempt_id& aAttempt);
  /** @return whether the engine caches the prefix; called with each change of the cache. */
  std::function<void(std::uint64_t aPrefix, bool aPresent)> mOnCache;
  void SetAlive(bool aAlive);
  bool Alive() const { return mAlive; }

private:
  /** A prompt being read or waiting. */
  struct task
  {
    attempt_id mAttempt;     ///< Whose.
    std::uint32_t mPriority; ///< 0 goes first.
    std::uint64_t mOrder;    ///< Arrival.
    double mLeft;            ///< Tokens to read.
    std::uint32_t mComputed; ///< Tokens to read in all.
    done_action mDone;       ///< Told at the end.
  };
  void RunPiece();
  bool UseCache(std::uint64_t aPrefix);

  event_queue& mQueue;             ///< Virtual time.
  const workload& mLoad;           ///< Rates.
  std::vector<task> mTasks;        ///< Not finished.
  std::list<std::uint64_t> mCache; ///< Cached prefixes, latest used first.
  bool mRunning = false;           ///< A piece is being read.
  bool mAlive = true;              ///< False while dead.
  std::uint64_t mOrder = 0;        ///< Prefills taken.
  std::uint64_t mLife = 0;         ///< Counts deaths, so that old pieces are dropped.
};

/** A decode engine. */
class fake_decode
{
public:
  /** Called with each token. @return whether the stream goes on. */
  using token_action = std::function<bool()>;

  fake_decode(event_queue& aQueue, const workload& aLoad)
    : mQueue(aQueue)
    , mLoad(aLoad)
  {
  }

  /** Takes a slot. @return whether one was free. */
  bool Hold(const attempt_id& aAttempt);
  void Start(const attempt_id& aAttempt, token_action aToken);
  void Free(const attempt_id& aAttempt) { mSlots.erase(aAttempt); }
  std::size_t Held() const { return mSlots.size(); }
  bool Holds(const attempt_id& aAttempt) const { return mSlots.contains(aAttempt); }
  void SetAlive(bool aAlive);
  bool Alive() const { return mAlive; }

private:
  void Step();

  event_queue& mQueue;                       ///< Virtual time.
  const workload& mLoad;                     ///< Step times.
  std::map<attempt_id, token_action> mSlots; ///< Held slots; an empty action waits for its data.
  bool mStepping = false;                    ///< A step is under way.
  bool mAlive = true;                        ///< False while dead.
};

/** The link: pieces one after the other at its rate. */
class fake_link
{
public:
  fake_link(event_queue& aQueue, double aBytesPerSecond)
    : mQueue(aQueue)
    , mRate(aBytesPerSecond)
  {
  }
  void SetRate(double aBytesPerSecond) { mRate = aBytesPerSecond; }
  void Send(std::uint64_t aBytes, event_queue::action aDone)
  {
    mFree = std::max(mFree, mQueue.Now()) + FromSeconds(static_cast<double>(aBytes) / mRate);
    mQueue.At(mFree, std::move(aDone));
  }

private:
  event_queue& mQueue; ///< Virtual time.
  double mRate;        ///< Bytes a second.
  instant mFree{ 0 };  ///< When the link is free again.
};

} // namespace dunehook::bench
