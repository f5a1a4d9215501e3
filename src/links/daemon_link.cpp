/**
 * @file daemon_link.cpp
 * Sending and taking of datagrams between daemons.
 */
#include "links/daemon_link.h"

#include "runners/role_timing.h"

namespace dunehook {

namespace {

/** Time between heartbeats, and silence after which a daemon is gone: three are lost, and a rest.
 */
constexpr duration kHeartbeatEvery = std::chrono::milliseconds(500);
constexpr duration kDaemonSilence = std::chrono::milliseconds(1800);
/** Bytes a second that a daemon spends on heartbeats; beyond some 15 daemons news is passed on. */
constexpr double kHeartbeatBytes = 4096.0;
/** A daemon asks others for all members for so long after its start, with each heartbeat: in a
 * large group heartbeats alone take many times as long to tell of everybody. */
constexpr duration kAsksFor = std::chrono::seconds(5);
/** Largest datagram of runs, and of a heartbeat. */
constexpr std::size_t kRunBytes = 65536;
constexpr std::size_t kHeartbeatMost = 4096;

member_info
SelfOf(const gateway_settings& aSettings)
{
  member_info self;
  self.mIncarnation = DrawIncarnation();
  self.mName = aSettings.mName;
  self.mHall = aSettings.mHall;
  self.mAddress = aSettings.mPeers;
  self.mWeight = aSettings.mMilliCores;
  return self;
}

member_settings
HeartbeatSettings()
{
  member_settings settings;
  settings.mHeartbeat = kHeartbeatEvery;
  settings.mFailAfter = kDaemonSilence;
  settings.mBytesPerSecond = kHeartbeatBytes;
  return settings;
}

} // namespace

endpoint
RunsAt(const endpoint& aDaemon)
{
  return { aDaemon.mAddress, static_cast<std::uint16_t>(aDaemon.mPort + 1) };
}

daemon_link::daemon_link(forward_state& aState)
  : mState(aState)
  , mMembers(SelfOf(aState.mSettings), HeartbeatSettings(), {})
  , mHeartbeats(aState.mIo)
  , mRuns(aState.mIo)
{
}

result<void>
daemon_link::Open()
{
  const endpoint& own = mState.mSettings.mPeers;
  BOOST_OUTCOME_TRY(OpenUdp(mHeartbeats, own));
  BOOST_OUTCOME_TRY(OpenUdp(mRuns, RunsAt(own)));
  AddSeeds();
  return boost::outcome_v2::success();
}

void
daemon_link::AddSeeds()
{
  for (const std::string& host : mState.mSettings.mSeeds) {
    if (host != mState.mSettings.mPeers.mAddress) {
      mMembers.AddSeed({ host, mState.mSettings.mPeers.mPort });
    }
  }
}

void
daemon_link::Start(std::function<bool()> aReady)
{
  mReady = std::move(aReady);
  SpawnGuarded(mState.mIo, SendHeartbeats());
  SpawnGuarded(mState.mIo,
               ReceiveDatagrams(mHeartbeats,
                                kHeartbeatMost,
                                [this](std::string_view aData, const udp::endpoint& /*aFrom*/) {
                                  TakeHeartbeat(aData, mState.Now());
                                }));
  SpawnGuarded(
    mState.mIo,
    ReceiveDatagrams(mRuns, kRunBytes, [this](std::string_view aData, const udp::endpoint& aFrom) {
      const instant now = mState.Now();
      if (const auto message = DecodeRunMessage(aData, now)) {
        Apply(*message, aFrom, now);
      }
    }));
}

void
daemon_link::Tell(run_message aMessage)
{
  std::vector<endpoint> all;
  for (const auto& [id, member] : mMembers.Others()) {
    all.push_back(RunsAt(member.mInfo.mAddress));
  }
  TellSome(std::move(aMessage), all);
}

void
daemon_link::TellSome(run_message aMessage, const std::vector<endpoint>& aTo)
{
  aMessage.mDaemon = mMembers.Self().mIncarnation.mValue;
  const std::string data = Encode(aMessage, mState.Now());
  for (const endpoint& to : aTo) {
    SendUdp(mRuns, data, to);
  }
}

std::optional<endpoint>
daemon_link::DrawOther()
{
  const std::size_t count = mMembers.Others().size();
  if (count == 0) {
    return std::nullopt;
  }
  auto chosen = mMembers.Others().begin();
  std::advance(chosen, static_cast<std::size_t>(mState.Draw() * static_cast<double>(count)));
  return RunsAt(chosen->second.mInfo.mAddress);
}

void
daemon_link::Sweep(instant aNow)
{
  for (const member_info& gone : mMembers.Sweep(aNow).mGone) {
    LogEvent(log_level::eInfo, "daemon_silent", { { "daemon", gone.mName } });
    mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, aNow);
  }
}

asio::awaitable<void>
daemon_link::SendHeartbeats()
{
  for (;;) {
    mMembers.SetSelf(mState.mRoutes ? mState.mRoutes->Config().mVersion : 0, mReady());
    const heartbeat beat = mMembers.BuildHeartbeat(mState.Now());
    for (const endpoint& to : beat.mTo) {
      SendUdp(mHeartbeats, beat.mData, to);
    }
    AskForMembers();
    co_await Sleep(kHeartbeatEvery);
  }
}

void
daemon_link::AskForMembers()
{
  const instant now = mState.Now();
  mStarted = mStarted == instant{ 0 } ? now : mStarted;
  if (now - mStarted > kAsksFor) {
    return;
  }
  if (const std::optional<endpoint> asked = mMembers.DrawAsked()) {
    SendUdp(mHeartbeats, mMembers.BuildQuestion(), *asked);
  }
}

void
daemon_link::TakeHeartbeat(std::string_view aData, instant aNow)
{
  const member_changes changes = mMembers.Receive(aData, aNow);
  for (const member_info& joined : changes.mJoined) {
    LogEvent(log_level::eInfo, "daemon_heard", { { "daemon", joined.mName } });
  }
  for (const member_info& gone : changes.mGone) {
    mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, aNow);
  }
  if (!changes.mAsked) {
    return;
  }
  for (const std::string& answer : mMembers.BuildAnswers()) {
    SendUdp(mHeartbeats, answer, *changes.mAsked);
  }
}

void
daemon_link::NoteTold(const run_message& aMessage, instant aNow)
{
  const store_position& position = *aMessage.mStore;
  if (aMessage.mRunners) {
    const runner_changes& changes = *aMessage.mRunners;
    if (changes.mFrom <= mState.mRunners.End()) {
      mState.NoteEra(changes.mTo.mEra);
    }
    mState.NoteRunnersChanged(
      mState.mRunners.ApplyChanges(changes, aNow, changes.mAway || mState.mStoreAway));
  }
  // Daemons that read the store aren't equally far: one that is behind takes back nothing that
  // another has told, nor does it stand for a read.
  store_position& told = mState.mToldStore;
  const bool older = position.mRunners < told.mRunners || position.mConfig < told.mConfig;
  told.mRunners = std::max(told.mRunners, position.mRunners);
  told.mConfig = std::max(told.mConfig, position.mConfig);
  if (!older) {
    mState.mToldStoreAt = aNow;
  }
}

void
daemon_link::Apply(const run_message& aMessage, const udp::endpoint& aFrom, instant aNow)
{
  if (aMessage.mQuarantine && mTakeQuarantine) {
    mTakeQuarantine(*aMessage.mQuarantine, EndpointOf(aFrom));
  }
  if (aMessage.mStore) {
    NoteTold(aMessage, aNow);
  }
  if (aMessage.mStoreSilent) {
    mState.mToldSilentAt = aNow;
  }
  if (aMessage.mDigest) {
    mState.mPlacement.ReplaceRuns(aMessage.mDaemon, aMessage.mBegun, aNow);
    return;
  }
  for (const run_record& run : aMessage.mBegun) {
    mState.mPlacement.Begin(run, aNow);
    mState.NoteReserved(run.mDecode);
  }
  ApplyReports(aMessage, aNow);
  for (const run_id run : aMessage.mEnded) {
    mState.mPlacement.End(run);
    mState.mPlaceQueue.Withdraw(run);
  }
  for (const refused_prompt& prompt : aMessage.mRefused) {
    mState.mRefused.Note(prompt.mKey, aNow);
    mState.mPlacement.NoteRefused(prompt.mPromptTokens, prompt.mAnswerTokens);
  }
  for (const service_runner_id runner : aMessage.mLeaving) {
    if (mState.mRunners.NoteLeaves(runner)) {
      mState.NoteRunnersChanged({ runner });
    }
  }
  for (const service_runner_id runner : aMessage.mOrdered) {
    mState.mRunners.NoteChanging(runner, aNow + kLongestChange);
  }
}

void
daemon_link::ApplyReports(const run_message& aMessage, instant aNow)
{
  for (const finished_run& run : aMessage.mFinished) {
    mState.mPlacement.NoteFinished(run, aNow);
  }
  for (const finished_read& read : aMessage.mReads) {
    mState.mPlacement.NoteRead(read.mRun, read.mEngine, read.mTook, aNow);
  }
  for (const engine_report& report : aMessage.mOutcomes) {
    mState.mRunners.NoteOutcome(report.mEngine, report.mOutcome, aNow);
  }
  for (const service_runner_id engine : aMessage.mFull) {
    mState.mPlacement.NoteFull(engine, aNow);
  }
}

} // namespace dunehook
