/**
 * @file trial_link.cpp
 * Sends, answers and repeats trial requests.
 */
#include "links/trial_link.h"

namespace dunehook {

trial_link::trial_link(forward_state& aState, daemon_link& aLink, quarantine_link& aQuarantines)
  : mState(aState)
  , mLink(aLink)
  , mPending(aState.mIo)
{
  aQuarantines.SetTrialHandler([this](const quarantine_message& aMessage, const endpoint& aFrom) {
    HandleMessage(aMessage, aFrom);
  });
  mState.mRequestTrial = [this](trial_request aRequest) { return Request(std::move(aRequest)); };
  mState.mKeepTrial = [this](const trial_request& aRequest) { Keep(aRequest); };
}

void
trial_link::Start()
{
  SpawnGuarded(mState.mIo, RunPasses());
}

const member_info*
trial_link::Grantor() const
{
  const std::vector<const member_info*> first = mLink.Members().FirstServing(1);
  return first.empty() ? nullptr : first.front();
}

trial_reply
trial_link::Answer(const trial_request& aRequest)
{
  const instant now = mState.Now();
  const bool grants = mGrants.HasBeenFirstFor(kTrialWarmUp, now) && mLink.Members().IsAmongFirst(1);
  if (grants) {
    return mTrials.Answer(aRequest, mState.mCrashes, now);
  }
  trial_reply reply;
  reply.mRequest = aRequest.mRequest;
  reply.mRound = aRequest.mRound;
  reply.mWait = kUngrantedTrialWait;
  return reply;
}

std::optional<trial_reply>
trial_link::Send(const trial_request& aRequest)
{
  const member_info* const grantor = Grantor();
  if (grantor == &mLink.Members().Self()) {
    return Answer(aRequest);
  }
  if (grantor != nullptr) {
    run_message message;
    message.mQuarantine.emplace().mTrial = aRequest;
    mLink.SendTo(std::move(message), RunEndpointOf(grantor->mAddress));
  }
  return std::nullopt;
}

asio::awaitable<trial_reply>
trial_link::Request(trial_request aRequest)
{
  aRequest.mRound = ++mRounds;
  std::optional<trial_reply> received = Send(aRequest);
  if (!received) {
    received = co_await mPending.Wait(aRequest.mRound, kTrialReplyTimeout);
  }
  if (!received) { // It may have been granted, and the reply lost.
    Keep({ aRequest.mTrial, aRequest.mRequest, {}, 0 });
  }
  trial_reply reply;
  reply.mWait = kUngrantedTrialWait;
  reply = received.value_or(reply);
  if (reply.mState == trial_state::eGranted) {
    mOwnTrials[aRequest.mTrial] = aRequest;
  } else if (reply.mState == trial_state::eNotSuspected) {
    mState.mCrashes.ClearSuspicion(aRequest.mRequest);
  }
  co_return reply;
}

void
trial_link::Keep(const trial_request& aRequest)
{
  if (aRequest.mRunners.empty()) {
    mOwnTrials.erase(aRequest.mTrial);
  } else {
    mOwnTrials[aRequest.mTrial] = aRequest;
  }
  Send(aRequest);
}

asio::awaitable<void>
trial_link::RunPasses()
{
  for (;;) {
    const instant slept = mState.Now();
    co_await Sleep(kTrialKeepInterval);
    const instant now = mState.Now();
    mGrants.Update(mLink.Members(), now - slept > 2 * kTrialKeepInterval, now);
    for (const auto& [trial, request] : mOwnTrials) {
      Send(request);
    }
  }
}

void
trial_link::HandleMessage(const quarantine_message& aMessage, const endpoint& aFrom)
{
  if (aMessage.mTrialReply) {
    mPending.Deliver(*aMessage.mTrialReply);
  }
  if (aMessage.mTrial) {
    run_message message;
    message.mQuarantine.emplace().mTrialReply = Answer(*aMessage.mTrial);
    mLink.SendTo(std::move(message), aFrom);
  }
}

} // namespace dunehook
