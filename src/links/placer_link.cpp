/**
 * @file placer_link.cpp
 * Questions for a place, and digests of runs, by datagrams.
 */
#include "links/placer_link.h"

namespace dunehook {

namespace {

/** Time between digests of the runs that a daemon has; runs last some seconds. */
constexpr duration kDigestEvery = std::chrono::milliseconds(1000);
/** A daemon without runs says so this many times: one of them arrives. */
constexpr std::uint32_t kEmptyDigests = 3;
/** Largest datagram of a question: a request may have failed at a few engines. */
constexpr std::size_t kQuestionBytes = 4096;
/** While a question waits, its caller's leave is noticed within this. */
constexpr duration kLookForLeave = std::chrono::milliseconds(30);
/** An answer to a question that waited may come this much later than asked for. */
constexpr duration kAnswerLate = std::chrono::milliseconds(40);

/** @return where a daemon takes questions: the second port behind that of its heartbeats. */
endpoint
QuestionsAt(const endpoint& aDaemon)
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
  const endpoint at = QuestionsAt(mState.mSettings.mPeers);
  return OpenUdp(mSocket, at);
}

void
placer_link::Start(std::function<bool()> aReady)
{
  mReady = std::move(aReady);
  SpawnGuarded(mState.mIo,
               ReceiveDatagrams(mSocket,
                                kQuestionBytes,
                                [this](std::string_view aData, const udp::endpoint& aFrom) {
                                  Take(aData, aFrom);
                                }));
  SpawnGuarded(mState.mIo, TickQueue());
  SpawnGuarded(mState.mIo, SendDigests());
}

void
placer_link::Tick(bool aLate)
{
  const instant now = mState.Now();
  if (aLate || !mReady()) {
    mListensUntil = now + kPlacerListens;
  }
  mPlacers.clear();
  const std::vector<const member_info*> ranked = mLink.Members().Ranked();
  for (const member_info* const member : ranked) {
    const bool self = member == &mLink.Members().Self();
    const placer one{
      member->mIncarnation, QuestionsAt(member->mAddress), RunsAt(member->mAddress), self
    };
    if (!Rests(one) && mPlacers.size() < kPlacers) {
      mPlacers.push_back(one);
    }
  }
  std::erase_if(mRestUntil, [&](const auto& aRow) { return aRow.second <= now; });
}

bool
placer_link::Rests(const placer& aPlacer) const
{
  const auto found = mRestUntil.find(aPlacer.mIncarnation);
  return found != mRestUntil.end() && mState.Now() < found->second;
}

asio::awaitable<std::optional<place_reply>>
placer_link::Ask(place_question aQuestion, std::function<bool()> aGone)
{
  aQuestion.mDaemon = mLink.Members().Self().mIncarnation.mValue;
  const instant asked = mState.Now();
  const generation_demand demand = aQuestion.mDemand;
  const place_wait wait = aQuestion.mWait;
  const std::vector<placer> placers = mPlacers;
  for (const placer& one : placers) {
    if (Rests(one)) {
      continue;
    }
    const duration spent = mState.Now() - asked;
    aQuestion.mRound = ++mRounds;
    aQuestion.mDemand.mFirstEventWithin = demand.mFirstEventWithin - spent;
    aQuestion.mWait = wait.After(spent);
    const std::optional<place_reply> reply = co_await AskOne(one, aQuestion, aGone);
    if (aGone()) {
      Withdraw(demand.mRun);
      co_return std::nullopt;
    }
    if (reply && reply->mState != place_state::eNotHere) {
      co_return reply;
    }
  }
  mState.mMetrics.CountPlace("alone");
  co_return std::nullopt;
}

asio::awaitable<std::optional<place_reply>>
placer_link::AskOne(const placer& aPlacer,
                    const place_question& aQuestion,
                    const std::function<bool()>& aGone)
{
  const run_id run = aQuestion.mDemand.mRun;
  const auto open = std::make_shared<open_question>(mState.mIo, aQuestion.mRound);
  mOpen[run] = open;
  const instant asked = mState.Now();
  if (aPlacer.mSelf) {
    open->mReply = Answer(aQuestion, 0, endpoint{});
  } else {
    SendUdp(mSocket, Encode(aQuestion), aPlacer.mAt);
  }
  bool answered = open->mReply.has_value();
  if (!answered) {
    answered = co_await Await(open, asked + kPlacerAnswers, aGone);
  }
  bool ended = false;
  if (answered && open->mReply->mState == place_state::eQueued) {
    // Who has come back may wait far longer than a new caller, but not in a planned stop.
    const instant until = asked + open->mReply->mWaitsFor + kAnswerLate;
    answered = co_await Await(open, std::min(until, asked + aQuestion.mWait.mNew), aGone);
    while (!answered && mState.Now() < until && !aGone() && !mState.mStopping) {
      answered = co_await Await(open, std::min(until, mState.Now() + kLookForLeave), aGone);
    }
    ended = !answered && mState.mStopping;
  }
  if (mOpen[run] == open) {
    mOpen.erase(run);
  }
  if (ended) { // A run that begins late in a stop wouldn't come to its end.
    Withdraw(run);
    place_reply none;
    none.mRun = run;
    none.mState = place_state::eNone;
    none.mReason = no_place::eNoMemory;
    co_return none;
  }
  if (!answered && !aGone()) {
    LogEvent(log_level::eInfo, "placer_silent", { { "daemon", ToText(aPlacer.mAt) } });
    mRestUntil[aPlacer.mIncarnation] = mState.Now() + kPlacerRest;
  }
  co_return answered ? open->mReply : std::nullopt;
}

asio::awaitable<bool>
placer_link::Await(std::shared_ptr<open_question> aOpen,
                   instant aUntil,
                   const std::function<bool()>& aGone)
{
  aOpen->mReply.reset();
  while (!aOpen->mReply && mState.Now() < aUntil && !aGone()) {
    const duration left = aUntil - mState.Now();
    co_await aOpen->mAnswered.Wait(std::min(left, kLookForLeave));
  }
  co_return aOpen->mReply.has_value();
}

void
placer_link::Withdraw(run_id aRun)
{
  mState.mPlaceQueue.Withdraw(aRun);
  mState.mPlacement.End(aRun);
  run_message left;
  left.mEnded.push_back(aRun);
  Tell(std::move(left));
}

place_reply
placer_link::Answer(const place_question& aQuestion, std::uint64_t aDaemon, const endpoint& aFrom)
{
  const instant now = mState.Now();
  if (!mReady() || now < mListensUntil) {
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
  const auto found = mOpen.find(aReply.mRun);
  if (found == mOpen.end() || found->second->mRound != aReply.mRound) {
    return false; // Too late: another daemon drops what it took with the next digest.
  }
  found->second->mReply = aReply;
  found->second->mAnswered.Notify();
  return true;
}

void
placer_link::Take(std::string_view aData, const udp::endpoint& aFrom)
{
  const placing_message message = DecodePlacing(aData);
  if (const auto* const reply = std::get_if<place_reply>(&message)) {
    Deliver(*reply);
  }
  if (const auto* const question = std::get_if<place_question>(&message)) {
    const endpoint asker = EndpointOf(aFrom);
    SendUdp(mSocket, Encode(Answer(*question, question->mDaemon, asker)), asker);
  }
}

asio::awaitable<void>
placer_link::TickQueue()
{
  for (;;) {
    co_await Sleep(kQueueTick);
    if (mState.mPlaceQueue.Waiting() == 0) {
      continue;
    }
    for (const placed_reply& one : mState.mPlaceQueue.Tick(mState.Now())) {
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
    co_await Sleep(kDigestEvery);
    run_message digest;
    digest.mDigest = true;
    digest.mBegun = mState.mPlacement.OwnRuns();
    mEmptyDigests = digest.mBegun.empty() ? mEmptyDigests + 1 : 0;
    if (mEmptyDigests <= kEmptyDigests) {
      Tell(std::move(digest));
    }
  }
}

void
placer_link::Tell(run_message aMessage)
{
  if (!mState.mSettings.mPlacement.mPlacers) {
    mLink.Tell(std::move(aMessage));
    return;
  }
  std::vector<endpoint> to;
  for (const placer& one : mPlacers) {
    if (!one.mSelf) {
      to.push_back(one.mRunsAt);
    }
  }
  mLink.TellSome(std::move(aMessage), to);
}

} // namespace dunehook
