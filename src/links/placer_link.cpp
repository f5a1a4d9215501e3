/**
 * @file placer_link.cpp
 * Placement requests, replies and digests of runs, sent as datagrams.
 */
#include "links/placer_link.h"

namespace dunehook {

namespace {

/** Time between digests of the runs that this daemon has; runs last several seconds. */
constexpr duration kDigestInterval = std::chrono::milliseconds(1000);
/** Number of empty digests sent in a row, so that at least one arrives. */
constexpr std::uint32_t kEmptyDigestRepeats = 3;
/** Receive buffer for a request, which may list several engines that failed it, in bytes. */
constexpr std::size_t kMaxQuestionDatagramBytes = 4096;
/** Longest time until a queued request notices that its caller has left. */
constexpr duration kCallerCheckInterval = std::chrono::milliseconds(30);
/** A queued request waits this much longer than the announced time for its reply. */
constexpr duration kReplyTolerance = std::chrono::milliseconds(40);

/** @return where a daemon receives placement requests: two ports after that of its heartbeats. */
endpoint
QuestionEndpointOf(const endpoint& aDaemon)
{
  return { aDaemon.mAddress, static_cast<std::uint16_t>(aDaemon.mPort + 2) };
}

} // namespace

placer_link::placer_link(forward_state& aState, daemon_link& aLink)
  : mState(aState)
  , mLink(aLink)
  , mSocket(aState.mIo)
{
}

result<void>
placer_link::Open()
{
  const endpoint at = QuestionEndpointOf(mState.mSettings.mPeers);
  return OpenUdp(mSocket, at);
}

void
placer_link::Start(std::function<bool()> aReady)
{
  mReady = std::move(aReady);
  SpawnGuarded(mState.mIo,
               ReceiveDatagrams(mSocket,
                                kMaxQuestionDatagramBytes,
                                [this](std::string_view aData, const udp::endpoint& aFrom) {
                                  HandleDatagram(aData, aFrom);
                                }));
  SpawnGuarded(mState.mIo, ProcessQueue());
  SpawnGuarded(mState.mIo, SendDigests());
}

void
placer_link::UpdatePlacers(bool aLate)
{
  const instant now = mState.Now();
  if (aLate || !mReady()) {
    mWarmUpUntil = now + kPlacerWarmUp;
  }
  mPlacers.clear();
  const std::vector<const member_info*> ranked = mLink.Members().RankedServing();
  for (const member_info* const member : ranked) {
    const bool self = member == &mLink.Members().Self();
    const placer one{ member->mIncarnation,
                      QuestionEndpointOf(member->mAddress),
                      RunEndpointOf(member->mAddress),
                      self };
    if (!IsSkipped(one) && mPlacers.size() < kMaxPlacers) {
      mPlacers.push_back(one);
    }
  }
  std::erase_if(mSkippedUntil, [&](const auto& aRow) { return aRow.second <= now; });
}

bool
placer_link::IsSkipped(const placer& aPlacer) const
{
  const auto found = mSkippedUntil.find(aPlacer.mIncarnation);
  return found != mSkippedUntil.end() && mState.Now() < found->second;
}

asio::awaitable<std::optional<place_reply>>
placer_link::RequestPlace(place_request aQuestion, std::function<bool()> aGone)
{
  aQuestion.mDaemon = mLink.Members().Self().mIncarnation.mValue;
  const instant asked = mState.Now();
  const generation_demand demand = aQuestion.mDemand;
  const place_wait wait = aQuestion.mWait;
  const std::vector<placer> placers = mPlacers;
  for (const placer& one : placers) {
    if (IsSkipped(one)) {
      continue;
    }
    const duration spent = mState.Now() - asked;
    aQuestion.mRound = ++mRounds;
    aQuestion.mDemand.mFirstEventWithin = demand.mFirstEventWithin - spent;
    aQuestion.mWait = wait.After(spent);
    const std::optional<place_reply> reply = co_await RequestFrom(one, aQuestion, aGone);
    if (aGone()) {
      Withdraw(demand.mRun);
      co_return std::nullopt;
    }
    if (reply && reply->mState != place_state::eNotPlacing) {
      co_return reply;
    }
  }
  mState.mMetrics.CountPlace("alone");
  co_return std::nullopt;
}

asio::awaitable<std::optional<place_reply>>
placer_link::RequestFrom(const placer& aPlacer,
                         const place_request& aQuestion,
                         const std::function<bool()>& aGone)
{
  const run_id run = aQuestion.mDemand.mRun;
  const auto open = std::make_shared<pending_question>(mState.mIo, aQuestion.mRound);
  mPending[run] = open;
  const instant asked = mState.Now();
  if (aPlacer.mSelf) {
    open->mReply = Answer(aQuestion, 0, endpoint{});
  } else {
    SendUdp(mSocket, Encode(aQuestion), aPlacer.mQuestionEndpoint);
  }
  bool answered = open->mReply.has_value();
  if (!answered) {
    answered = co_await WaitForReply(open, asked + kPlacerResponseTimeout, aGone);
  }
  bool ended = false;
  if (answered && open->mReply->mState == place_state::eQueued) {
    // A returning caller may wait far longer than a new one, except during a planned stop.
    const instant until = asked + open->mReply->mWaitsFor + kReplyTolerance;
    answered = co_await WaitForReply(open, std::min(until, asked + aQuestion.mWait.mNew), aGone);
    while (!answered && mState.Now() < until && !aGone() && !mState.mStopping) {
      answered =
        co_await WaitForReply(open, std::min(until, mState.Now() + kCallerCheckInterval), aGone);
    }
    ended = !answered && mState.mStopping;
  }
  if (mPending[run] == open) {
    mPending.erase(run);
  }
  if (ended) { // A run that began late in a planned stop wouldn't finish.
    Withdraw(run);
    place_reply none;
    none.mRun = run;
    none.mState = place_state::eNone;
    none.mReason = no_place::eNoMemory;
    co_return none;
  }
  if (!answered && !aGone()) {
    LogEvent(
      log_level::eInfo, "placer_silent", { { "daemon", ToText(aPlacer.mQuestionEndpoint) } });
    mSkippedUntil[aPlacer.mIncarnation] = mState.Now() + kPlacerRetryDelay;
  }
  co_return answered ? open->mReply : std::nullopt;
}

asio::awaitable<bool>
placer_link::WaitForReply(std::shared_ptr<pending_question> aPending,
                          instant aUntil,
                          const std::function<bool()>& aGone)
{
  aPending->mReply.reset();
  while (!aPending->mReply && mState.Now() < aUntil && !aGone()) {
    const duration left = aUntil - mState.Now();
    co_await aPending->mReplyArrived.Wait(std::min(left, kCallerCheckInterval));
  }
  co_return aPending->mReply.has_value();
}

void
placer_link::Withdraw(run_id aRun)
{
  mState.mPlaceQueue.Withdraw(aRun);
  mState.mPlacement.End(aRun);
  run_message left;
  left.mEnded.push_back(aRun);
  SendToPlacers(std::move(left));
}

place_reply
placer_link::Answer(const place_request& aQuestion, std::uint64_t aDaemon, const endpoint& aFrom)
{
  const instant now = mState.Now();
  if (!mReady() || now < mWarmUpUntil) {
    place_reply reply;
    reply.mRun = aQuestion.mDemand.mRun;
    reply.mRound = aQuestion.mRound;
    return reply;
  }
  return mState.mPlaceQueue.Take(aQuestion, aDaemon, aFrom, now);
}

bool
placer_link::Deliver(const place_reply& aReply)
{
  const auto found = mPending.find(aReply.mRun);
  if (found == mPending.end() || found->second->mRound != aReply.mRound) {
    return false; // Too late. If another daemon placed it, its place is freed by the next digest.
  }
  found->second->mReply = aReply;
  found->second->mReplyArrived.Notify();
  return true;
}

void
placer_link::HandleDatagram(std::string_view aData, const udp::endpoint& aFrom)
{
  const placing_message message = DecodePlacing(aData);
  if (const auto* const reply = std::get_if<place_reply>(&message)) {
    Deliver(*reply);
  }
  if (const auto* const question = std::get_if<place_request>(&message)) {
    const endpoint sender = EndpointOf(aFrom);
    SendUdp(mSocket, Encode(Answer(*question, question->mDaemon, sender)), sender);
  }
}

asio::awaitable<void>
placer_link::ProcessQueue()
{
  for (;;) {
    co_await Sleep(kQueueInterval);
    if (mState.mPlaceQueue.Waiting() == 0) {
      continue;
    }
    for (const addressed_reply& one : mState.mPlaceQueue.Tick(mState.Now())) {
      if (one.mTo != endpoint{}) {
        SendUdp(mSocket, Encode(one.mReply), one.mTo);
      } else if (!Deliver(one.mReply)) {
        mState.mPlacement.End(one.mReply.mRun);
      }
    }
  }
}

asio::awaitable<void>
placer_link::SendDigests()
{
  for (;;) {
    co_await Sleep(kDigestInterval);
    run_message digest;
    digest.mDigest = true;
    digest.mBegun = mState.mPlacement.OwnRuns();
    mEmptyDigests = digest.mBegun.empty() ? mEmptyDigests + 1 : 0;
    if (mEmptyDigests <= kEmptyDigestRepeats) {
      SendToPlacers(std::move(digest));
    }
  }
}

void
placer_link::SendToPlacers(run_message aMessage)
{
  if (!mState.mSettings.mPlacement.mPlacers) {
    mLink.Broadcast(std::move(aMessage));
    return;
  }
  std::vector<endpoint> to;
  for (const placer& one : mPlacers) {
    if (!one.mSelf) {
      to.push_back(one.mRunEndpoint);
    }
  }
  mLink.SendToEach(std::move(aMessage), to);
}

} // namespace dunehook
