/**
 * @file placement_queue.cpp
 * Placement attempts and the order of queued requests.
 */
#include "placement/placement_queue.h"

#include <algorithm>

namespace dunehook {

place_reply
placement_queue::Take(const place_request& aRequest,
                      std::uint64_t aDaemon,
                      const endpoint& aFrom,
                      instant aNow)
{
  Withdraw(aRequest.mDemand.mRun);
  queued_request request{ aRequest, aDaemon, aFrom, aNow };
  generation_demand& demand = request.mRequest.mDemand;
  demand.mReturned = demand.mReturned || mRefused.Contains(aRequest.mPromptKey, aNow);
  const duration most = aRequest.mWait.Of(demand.mReturned);
  request.mWaitsFor = ExpectsPlaceWithin(request, most, aNow) ? most : duration{ 0 };
  // Tried at once, even while others wait: room that is too small for them may be enough for a
  // smaller request. Memory that becomes free is offered to queued requests within one tick.
  const bool waits = request.mWaitsFor > duration{ 0 };
  place_reply reply = Try(request, aNow, !waits);
  if (reply.mState == place_state::eNone && waits) {
    reply.mState = place_state::eQueued;
    reply.mWaitsFor = request.mWaitsFor;
    const auto before = std::upper_bound(mWaiting.begin(), mWaiting.end(), request, GoesBefore);
    mWaiting.insert(before, request);
  }
  return reply;
}

bool
placement_queue::ExpectsPlaceWithin(const queued_request& aRequest,
                                    duration aWait,
                                    instant aNow) const
{
  const auto last = std::upper_bound(mWaiting.begin(), mWaiting.end(), aRequest, GoesBefore);
  const auto ahead = static_cast<double>(last - mWaiting.begin());
  const double given = mPlaced.PerSecond(aNow) * ToSeconds(aWait);
  return ahead < std::max(kMinQueueAllowance, kExpectedPlacesShare * given);
}

bool
placement_queue::GoesBefore(const queued_request& aOne, const queued_request& aTwo)
{
  if (aOne.mRequest.mRank != aTwo.mRequest.mRank) {
    return aOne.mRequest.mRank < aTwo.mRequest.mRank;
  }
  return !aOne.mRequest.mDemand.mReturned && aTwo.mRequest.mDemand.mReturned;
}

std::vector<addressed_reply>
placement_queue::Tick(instant aNow)
{
  std::vector<addressed_reply> replies;
  std::vector<queued_request> left;
  std::size_t tries = 0;
  for (queued_request& one : mWaiting) {
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
                [&](const queued_request& aOne) { return aOne.mRequest.mDemand.mRun == aRun; });
}

place_reply
placement_queue::Try(const queued_request& aWaiting, instant aNow, bool aLast)
{
  const place_request& request = aWaiting.mRequest;
  generation_demand demand = request.mDemand;
  place_reply reply;
  reply.mRun = demand.mRun;
  reply.mRound = request.mRound;
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
  mRunners.NoteProbes(answer.mChoice->Engines(), aNow);
  return reply;
}

} // namespace dunehook
