/**
 * @file permit_link.cpp
 * Exchanges limits, permit requests and replies with the other daemons.
 */
#include "links/permit_link.h"

namespace dunehook {

permit_link::permit_link(forward_state& aState, daemon_link& aLink)
  : mState(aState)
  , mLink(aLink)
  , mPending(aState.mIo)
{
  mLink.SetPermitHandler(
    [this](const permit_message& aMessage, std::uint64_t aDaemon, const endpoint& aFrom) {
      HandleMessage(aMessage, aDaemon, aFrom);
    });
  mState.mTellLimit = [this](service_runner_id aRunner, limit_change aChange) {
    Tell(aRunner, aChange);
  };
  mState.mTakeRetries = [this](retry_demand aDemand) { return TakeRetries(std::move(aDemand)); };
  mState.mTakePermit = [this](permit_demand aDemand) { return Take(aDemand); };
  mState.mChargePermit = [this](service_runner_id aRunner) { return Charge(aRunner); };
}

void
permit_link::Start()
{
  SpawnGuarded(mState.mIo, RunPasses());
  SpawnGuarded(mState.mIo, ExchangeLimits());
}

void
permit_link::Tell(service_runner_id aRunner, limit_change aChange)
{
  if (aChange == limit_change::eNone) {
    return;
  }
  const std::optional<limit_notice> notice =
    mState.mPermits.Limits().NoticeOf(aRunner, mState.Now());
  if (!notice) {
    return;
  }
  run_message message;
  message.mPermits.emplace().mNotices.push_back(*notice);
  if (aChange != limit_change::eChanged) {
    mLink.Broadcast(std::move(message));
    return;
  }
  const std::optional<incarnation_id> grantor = mState.mPermits.GrantorOf(aRunner);
  const std::optional<endpoint> to = grantor ? EndpointOfDaemon(*grantor) : std::nullopt;
  if (to) {
    mLink.SendTo(std::move(message), *to);
  }
}

asio::awaitable<result<send_permit>>
permit_link::Take(permit_demand aDemand)
{
  const instant asked = mState.Now();
  const service_runner_id runner = aDemand.mRunner;
  if (!mState.mPermits.Limits().NeedsPermit(runner, asked)) {
    co_return send_permit(runner, aDemand.mSends, instant::max());
  }
  const std::optional<incarnation_id> grantor = mState.mPermits.GrantorOf(runner);
  const bool held = mState.mPermits.Held(aDemand.mRank, asked).contains(runner);
  if (!grantor) {
    mState.mPermits.Hold(runner, aDemand.mRank, asked + kUngrantedWait);
  }
  if (!grantor || held) {
    Count(runner, false);
    co_return make_error_code(errc::eRunnerRefused);
  }
  const permit_request request =
    mState.mPermits.MakeRequest(runner, aDemand.mSends, aDemand.mRank, asked);
  const bool granted = co_await AskGrantor(*grantor, request);
  Count(runner, granted);
  if (!granted) {
    co_return make_error_code(errc::eRunnerRefused);
  }
  co_return send_permit(runner, aDemand.mSends, asked + aDemand.mValidFor);
}

asio::awaitable<bool>
permit_link::TakeRetries(retry_demand aDemand)
{
  const instant asked = mState.Now();
  if (mState.BudgetOf(aDemand.mService).Take(asked, aDemand.mSends)) {
    NoteRetries(aDemand, true, "own_requests");
    co_return true;
  }
  const service_runner_id budget = RetryBudgetOf(aDemand.mService);
  for (;;) {
    const instant held = mState.mPermits.RetriesHeldUntil(budget, aDemand.mRank);
    const duration wait = held - mState.Now();
    if (held - asked > aDemand.mMaxWait && wait > duration{ 0 }) {
      NoteRetries(aDemand, false, "grantor");
      co_return false;
    }
    if (wait > duration{ 0 }) {
      co_await Sleep(wait);
    }
    const bool granted = co_await AskForRetries(budget, aDemand);
    if (granted) {
      NoteRetries(aDemand, true, "grantor");
      co_return true;
    }
  }
}

asio::awaitable<bool>
permit_link::AskForRetries(service_runner_id aBudget, retry_demand aDemand)
{
  std::optional<incarnation_id> grantor = mState.mPermits.GrantorOf(aBudget);
  if (!grantor) { // This daemon has begun to serve since the last pass.
    UpdateMembers(false);
    grantor = mState.mPermits.GrantorOf(aBudget);
  }
  const instant now = mState.Now();
  if (!grantor) {
    mState.mPermits.Hold(aBudget, aDemand.mRank, now + kUngrantedWait);
    co_return false;
  }
  const permit_request request =
    mState.mPermits.MakeRetryRequest(aBudget, aDemand.mSends, aDemand.mRank, now);
  co_return co_await AskGrantor(*grantor, request);
}

void
permit_link::NoteRetries(const retry_demand& aDemand, bool aGranted, std::string_view aBy)
{
  mState.mMetrics.CountRetries(aDemand.mService, aDemand.mSends, aGranted);
  mState.LogDecision(aGranted ? log_level::eInfo : log_level::eWarning,
                     aGranted ? "retry_granted" : "retry_denied",
                     aDemand.mRequest,
                     { { "service", aDemand.mService },
                       { "sends", aDemand.mSends },
                       { "rank", aDemand.mRank },
                       { "by", aBy } });
}

std::size_t
permit_link::LeastDaemons() const
{
  const std::string& own = mState.mSettings.mPeers.mAddress;
  const std::vector<std::string>& seeds = mState.mSettings.mSeeds;
  return 1 + static_cast<std::size_t>(std::count_if(
               seeds.begin(), seeds.end(), [&](const std::string& aSeed) { return aSeed != own; }));
}

send_permit
permit_link::Charge(service_runner_id aRunner)
{
  const instant now = mState.Now();
  const send_permit permit(aRunner, 1, instant::max());
  if (!mState.mPermits.Limits().NeedsPermit(aRunner, now)) {
    return permit;
  }
  Count(aRunner, true);
  permit_request request = mState.mPermits.MakeRequest(aRunner, 1, 0, now);
  request.mCharge = true;
  const std::optional<incarnation_id> grantor = mState.mPermits.GrantorOf(aRunner);
  if (!grantor) {
    return permit;
  }
  if (*grantor == mLink.Members().Self().mIncarnation) {
    mState.mPermits.Answer(request, *grantor, now);
  } else if (const std::optional<endpoint> to = EndpointOfDaemon(*grantor)) {
    run_message message;
    message.mPermits.emplace().mRequest = request;
    mLink.SendTo(std::move(message), *to);
  }
  return permit;
}

asio::awaitable<bool>
permit_link::AskGrantor(incarnation_id aGrantor, permit_request aRequest)
{
  std::optional<permit_reply> reply;
  if (aGrantor == mLink.Members().Self().mIncarnation) {
    reply = mState.mPermits.Answer(aRequest, aGrantor, mState.Now());
  } else {
    reply = co_await Ask(aGrantor, aRequest);
  }
  if (reply) {
    mState.mPermits.NoteReply(*reply, aRequest.mRank, mState.Now());
  }
  co_return reply && reply->mState == permit_state::eGranted;
}

asio::awaitable<std::optional<permit_reply>>
permit_link::Ask(incarnation_id aDaemon, const permit_request& aRequest)
{
  const permit_request request = aRequest;
  const std::optional<endpoint> to = EndpointOfDaemon(aDaemon);
  std::optional<permit_reply> reply;
  if (to) {
    run_message message;
    message.mPermits.emplace().mRequest = request;
    mLink.SendTo(std::move(message), *to);
    reply = co_await mPending.Wait(request.mRound, kPermitReplyTimeout);
  }
  if (!reply) {
    mState.mPermits.NoteNoReply(aDaemon, request, mState.Now());
  }
  co_return reply;
}

asio::awaitable<void>
permit_link::Check(incarnation_id aDaemon)
{
  const permit_request request = mState.mPermits.MakeCheck();
  co_await Ask(aDaemon, request);
}

void
permit_link::HandleMessage(const permit_message& aMessage,
                           std::uint64_t aDaemon,
                           const endpoint& aFrom)
{
  const instant now = mState.Now();
  const incarnation_id sender{ aDaemon };
  mState.mPermits.NoteHeard(sender, now);
  for (const limit_notice& notice : aMessage.mNotices) {
    mState.ApplyLimit(notice);
  }
  if (aMessage.mReply) {
    mPending.Deliver(*aMessage.mReply);
  }
  if (aMessage.mRequest) {
    const permit_reply reply = mState.mPermits.Answer(*aMessage.mRequest, sender, now);
    if (!aMessage.mRequest->mCharge) {
      run_message message;
      message.mPermits.emplace().mReply = reply;
      mLink.SendTo(std::move(message), aFrom);
    }
  }
}

void
permit_link::UpdateMembers(bool aLate)
{
  std::set<incarnation_id> serving;
  for (const member_info* const member : mLink.Members().RankedServing()) {
    serving.insert(member->mIncarnation);
  }
  const incarnation_id self = mLink.Members().Self().mIncarnation;
  mState.mPermits.SetMembers(self, std::move(serving), aLate, mState.Now());
  mState.mPermits.SetRetryLimits(mState.mSettings.mRetries, LeastDaemons());
}

asio::awaitable<void>
permit_link::RunPasses()
{
  UpdateMembers(false);
  for (;;) {
    const instant slept = mState.Now();
    co_await Sleep(kPermitPassInterval);
    const instant now = mState.Now();
    UpdateMembers(now - slept > 2 * kPermitPassInterval);
    const auto exists = [this](service_runner_id aRunner) {
      return mState.mRunners.Find(aRunner) != nullptr;
    };
    mState.mPermits.Prune(exists, now);
    mState.mLimitLog.Prune(exists);
    for (const incarnation_id daemon : mState.mPermits.DueChecks(now)) {
      SpawnGuarded(mState.mIo, Check(daemon));
    }
  }
}

asio::awaitable<void>
permit_link::ExchangeLimits()
{
  for (;;) {
    std::vector<limit_notice> notices = mState.mPermits.Limits().Notices(mState.Now());
    const std::optional<endpoint> other = notices.empty() ? std::nullopt : mLink.PickRandomPeer();
    if (other) {
      notices.resize(std::min(notices.size(), kMaxLimitsPerDatagram));
      run_message message;
      message.mPermits.emplace().mNotices = std::move(notices);
      mLink.SendTo(std::move(message), *other);
    }
    const double spread = 0.5 + mState.RandomFraction();
    co_await Sleep(FromSeconds(ToSeconds(kLimitCompareInterval) * spread));
  }
}

std::optional<endpoint>
permit_link::EndpointOfDaemon(incarnation_id aDaemon) const
{
  const member_info* const member = mLink.Members().Find(aDaemon);
  return member == nullptr ? std::nullopt
                           : std::optional<endpoint>(RunEndpointOf(member->mAddress));
}

void
permit_link::Count(service_runner_id aRunner, bool aSent)
{
  mState.mMetrics.CountLimited(NameOf(aRunner), aSent ? "sent" : "held");
}

std::string
permit_link::NameOf(service_runner_id aRunner) const
{
  const runner_state* const runner = mState.mRunners.Find(aRunner);
  return runner == nullptr ? "" : runner->mEntry.mName;
}

} // namespace dunehook
