/**
 * @file placing_desk.cpp
 * Questions, their order, and what is told of a place.
 */
#include "forward/placing_desk.h"

#include <algorithm>

namespace dunehook {

place_reply
placing_desk::Take(const place_question& aQuestion,
                   std::uint64_t aDaemon,
                   const endpoint& aFrom,
                   instant aNow)
{
  Withdraw(aQuestion.mDemand.mRun);
  const waiting_question question{ aQuestion, aDaemon, aFrom, aNow };
  // Tried at once, also while others wait: what they found too small for them may do for a smaller
  // one. What comes free is offered to those that wait within one tick.
  const bool waits = aQuestion.mWaitsFor > duration{ 0 };
  place_reply reply = Try(question, aNow, !waits);
  if (reply.mState == place_state::eNone && waits) {
    reply.mState = place_state::eQueued;
    const auto before = std::upper_bound(
      mWaiting.begin(), mWaiting.end(), question, [](const auto& aOne, const auto& aTwo) {
        return aOne.mQuestion.mRank < aTwo.mQuestion.mRank;
      });
    mWaiting.insert(before, question);
  }
  return reply;
}

std::vector<placed_reply>
placing_desk::Tick(instant aNow)
{
  std::vector<placed_reply> replies;
  std::vector<waiting_question> left;
  std::size_t tries = 0;
  for (waiting_question& one : mWaiting) {
    const bool over = aNow - one.mAsked >= one.mQuestion.mWaitsFor;
    if (!over && tries >= kMostTriesOnTick) {
      left.push_back(std::move(one));
      continue;
    }
    ++tries;
    const place_reply reply = Try(one, aNow, over);
    if (over || reply.mState != place_state::eNone) {
      replies.push_back({ one.mFrom, reply });
    } else {
      left.push_back(std::move(one));
    }
  }
  mWaiting = std::move(left);
  return replies;
}

void
placing_desk::Withdraw(run_id aRun)
{
  std::erase_if(mWaiting,
                [&](const waiting_question& aOne) { return aOne.mQuestion.mDemand.mRun == aRun; });
}

place_reply
placing_desk::Try(const waiting_question& aWaiting, instant aNow, bool aLast)
{
  const place_question& question = aWaiting.mQuestion;
  generation_demand demand = question.mDemand;
  place_reply reply;
  reply.mRun = demand.mRun;
  reply.mRound = question.mRound;
  const std::optional<engine_traits> traits = mTraits(demand.mService);
  if (!traits) {
    return reply;
  }
  demand.mReturned = demand.mReturned || mRefused.Contains(question.mPromptKey, aNow);
  demand.mFirstEventWithin -= aNow - aWaiting.mAsked;
  reply.mReturned = demand.mReturned;
  const placement_answer answer = mPlacement.Choose(demand, *traits, mRunners, aNow, aLast);
  if (!answer.mChoice) {
    reply.mState = place_state::eNone;
    reply.mReason = answer.mReason;
    reply.mFreeIn = answer.mFreeIn;
    return reply;
  }
  reply.mState = place_state::ePlaced;
  reply.mChoice = *answer.mChoice;
  mPlacement.Begin(RunOf(demand, *answer.mChoice, aWaiting.mDaemon, aNow), aNow);
  mRunners.NoteTrials(*answer.mChoice, aNow);
  return reply;
}

} // namespace dunehook
