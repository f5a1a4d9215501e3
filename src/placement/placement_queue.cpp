/**
 * @file placement_queue.cpp
 * Placement attempts and the order of queued requests.
 */
#include "placement/placement_queue.h"

#include <algorithm>

namespace dunehook {

place_reply
placement_queue::Take(const place_request& aQuestion,
                      std::uint64_t aDaemon,
                      const endpoint& aFrom,
                      instant aNow)
{
  Withdraw(aQuestion.mDemand.mRun);
  waiting_question question{ aQuestion, aDaemon, aFrom, aNow };
  generation_demand& demand = question.mQuestion.mDemand;
  demand.mReturned = demand.mReturned || mRefused.Contains(aQuestion.mPromptKey, aNow);
  const duration most = aQuestion.mWait.Of(demand.mReturned);
  question.mWaitsFor = ExpectsPlaceWithin(question, most, aNow) ? most : duration{ 0 };
  // Tried at once, even while others wait: room that is too small for them may be enough for a
  // smaller request. Memory that becomes free is offered to queued requests within one tick.
  const bool waits = question.mWaitsFor > duration{ 0 };
  place_reply reply = Try(question, aNow, !waits);
  if (reply.mState == place_state::eNone && waits) {
    reply.mState = place_state::eQueued;
    reply.mWaitsFor = question.mWaitsFor;
    const auto before = std::upper_bound(mWaiting.begin(), mWaiting.end(), question, GoesBefore);
    mWaiting.insert(before, question);
  }
  return reply;
}

bool
placement_queue::ExpectsPlaceWithin(const waiting_question& aQuestion,
                                    duration aWait,
                                    instant aNow) const
{
  const auto last = std::upper_bound(mWaiting.begin(), mWaiting.end(), aQuestion, GoesBefore);
  const auto ahead = static_cast<double>(last - mWaiting.begin());
  const double given = mPlaced.PerSecond(aNow) * ToSeconds(aWait);
  return ahead < std::max(kMinQueueAllowance, kExpectedPlacesShare * given);
}

bool
placement_queue::GoesBefore(const waiting_question& aOne, const waiting_question& aTwo)
{
  if (aOne.mQuestion.mRank != aTwo.mQuestion.mRank) {
    return aOne.mQuestion.mRank < aTwo.mQuestion.mRank;
  }
  return !aOne.mQuestion.mDemand.mReturned && aTwo.mQuestion.mDemand.mReturned;
}

std::vector<addressed_reply>
placement_queue::Tick(instant aNow)
{
  std::vector<addressed_reply> replies;
  std::vector<waiting_question> left;
  std::size_t tries = 0;
  for (waiting_question& one : mWaiting) {
    const bool over = aNow - one.mAsked >= one.mWaitsFor;
    if (!over && tries >= kMaxAttemptsPerTick) {
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
placement_queue::Withdraw(run_id aRun)
{
  std::erase_if(mWaiting,
                [&](const waiting_question& aOne) { return aOne.mQuestion.mDemand.mRun == aRun; });
}

place_reply
placement_queue::Try(const waiting_question& aWaiting, instant aNow, bool aLast)
{
  const place_request& question = aWaiting.mQuestion;
  generation_demand demand = question.mDemand;
  place_reply reply;
  reply.mRun = demand.mRun;
  reply.mRound = question.mRound;
  const std::optional<engine_traits> traits = mTraits(demand.mService);
  if (!traits) {
    return reply;
  }
  // The first event of a returned caller is late in any case. Its time is not reduced by the wait,
  // so that it only limits how long the read may delay others.
  demand.mFirstEventWithin -= demand.mReturned ? duration{ 0 } : aNow - aWaiting.mAsked;
  reply.mReturned = demand.mReturned;
  demand.mWaited = WaitedShare(aNow - aWaiting.mAsked, aWaiting.mWaitsFor);
  const placement_answer answer = mPlacement.Choose(demand, *traits, mRunners, aNow, aLast);
  if (!answer.mChoice) {
    reply.mState = place_state::eNone;
    reply.mReason = answer.mReason;
    reply.mFreeIn = answer.mFreeIn;
    return reply;
  }
  reply.mState = place_state::ePlaced;
  mPlaced.Note(aNow);
  reply.mChoice = *answer.mChoice;
  mPlacement.Begin(RunOf(demand, *answer.mChoice, aWaiting.mDaemon, aNow), aNow);
  mRunners.NoteTrials(answer.mChoice->Engines(), aNow);
  return reply;
}

} // namespace dunehook
