/**
 * @file runner.h
 * Stand-ins of runners: plain services, and engines that read prompts or generate.
 */
#pragma once

#include "daemons.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>

namespace stage {

/** What a runner in trouble does. */
enum class trouble
{
  eNone,         ///< It's sound.
  eEndlessFast,  ///< Its bodies go on without end, as fast as its link carries them.
  eEndlessSlow,  ///< The same at some 20 KB/s.
  eEndlessChunk, ///< Its chunked bodies begin with a line that has no end.
  eNoAnswer,     ///< In place of some answers come bytes that are no answer.
};

/** What is seen of a request at runners. */
struct sighting
{
  std::string mRunner;  ///< Id of the runner.
  bool mSound = true;   ///< The runner was sound when the request came.
  bool mRan = false;    ///< Work on it has begun.
  std::int64_t mAt = 0; ///< When it came, in ms.
};

/** All that runners saw of requests, by id. */
class sightings
{
public:
  explicit sightings(recorder& aRecord)
    : mRecord(aRecord)
  {
  }

  void Note(const std::string& aRequest, sighting aSeen);
  /** @return what was seen of a request. */
  std::vector<sighting> Of(const std::string& aRequest) const;
  std::size_t Size() const;

private:
  recorder& mRecord;                                       ///< Where all is written.
  mutable std::mutex mMutex;                               ///< Guards the rows.
  std::map<std::string, std::vector<sighting>> mSightings; ///< By request.
};

/** How a runner is set up. */
struct runner_setup
{
  std::string mId;      ///< Its id.
  std::string mService; ///< Its service.
  std::string mStage;   ///< "prefill", "decode", or empty where it's no engine.
  std::string mZone;    ///< Its zone.
  int mSlots = 6;       ///< Requests that it works on at once.
  int mQueue = 24;      ///< Requests that wait.
  int mTokens = 89659;  ///< Tokens that its memory holds.
};

/** One runner. It serves for as long as the process runs, and lists itself in the store. */
class runner
{
public:
  runner(store& aStore, sightings& aSeen, const std::string& aHost, runner_setup aSetup);

  void SetTrouble(trouble aTrouble) { mTrouble = aTrouble; }
  const std::string& Id() const { return mSetup.mId; }
  /** Says "draining" in the store from now on, and in all answers. */
  void Drain();
  /** Answers of prefills take so much longer. */
  void SetSlower(int aTimes) { mSlower = aTimes; }

private:
  void Accept(int aListener);
  void Serve(std::shared_ptr<connection> aCaller);
  /** @return whether the connection goes on. */
  bool Answer(connection& aCaller, const message& aCall);
  bool AnswerSideCall(connection& aCaller, const message& aCall);
  bool AnswerOrder(connection& aCaller, const message& aCall);
  bool RunPlain(connection& aCaller, const message& aCall);
  bool Prefill(connection& aCaller, const message& aCall);
  bool Generate(connection& aCaller, const message& aCall);
  /** Sends a head and then bytes that are no answer, until the caller closes. */
  bool SendWithoutEnd(connection& aCaller, const std::string& aFields);
  bool NotRun(connection& aCaller, const std::string& aStatus);
  bool Write(connection& aCaller, const std::string& aText);
  /** Takes a slot, waiting for one if the queue has room. @return whether it has one. */
  bool TakeSlot(connection& aCaller);
  void GiveSlot();
  std::string Own(const message& aCall) const;
  std::string Leaving() const { return mDraining ? "Server-Leaving: 1\r\n" : ""; }
  void List();
  void Note(const message& aCall, bool aRan);

  store& mStore;        ///< Where it lists itself.
  sightings& mSeen;     ///< What the runners see.
  runner_setup mSetup;  ///< How it is set up.
  std::string mAddress; ///< Where it listens.
  std::atomic<trouble> mTrouble = trouble::eNone;
  std::atomic<bool> mDraining = false; ///< It leaves.
  std::atomic<int> mSlower = 1;        ///< Factor of its prefill times.
  std::mutex mMutex;                   ///< Guards what follows.
  std::condition_variable mSlotFree;   ///< A slot is free.
  int mBusy = 0;                       ///< Slots in use.
  int mWaiting = 0;                    ///< Requests in the queue.
  int mUsed = 0;                       ///< Tokens in use by runs and reservations.
  std::map<std::string, std::pair<int, std::int64_t>> mHolds; ///< Tokens, and when they lapse.
  std::map<std::string, std::int64_t> mHandles;               ///< When they lapse.
  std::uint64_t mNumber = 0;                                  ///< Of the last hold or handle.
  std::uint64_t mFence = 0;                                   ///< The highest fence seen.
  std::uint64_t mOrders = 0;                                  ///< Orders taken.
  bool mSwitching = false;                                    ///< An order is under way.
  std::mutex mReading; ///< Prompts are read one after the other.
};

} // namespace stage
