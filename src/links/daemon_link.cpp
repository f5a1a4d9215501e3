/**
 * @file daemon_link.cpp
 * Sends, receives and applies the datagrams between daemons.
 */
#include "links/daemon_link.h"

#include "runners/role_timing.h"

namespace dunehook {

namespace {

/** Time between heartbeats, and the silence after which a daemon counts as gone: three lost
 * heartbeats and a margin. */
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr duration kFailureTimeout = std::chrono::milliseconds(1800);
/** Bandwidth that a daemon spends on heartbeats. With more than about 15 daemons a heartbeat no
 * longer fits all of them, and news is relayed. */
constexpr double kHeartbeatBytesPerSecond = 4096.0;
/** For this long after its start a daemon asks another for the whole member list with each
 * heartbeat. In a large group heartbeats alone take many times as long to make all members known.
 */
constexpr duration kMemberRequestPeriod = std::chrono::seconds(5);
/** Every daemon that hears of one that has just started sends it a heartbeat within this time. */
constexpr duration kSettlingTime = kHeartbeatInterval + std::chrono::milliseconds(100);
/** Receive buffer sizes for run messages and for heartbeats, in bytes. */
constexpr std::size_t kMaxRunDatagramBytes = 65536;
constexpr std::size_t kMaxHeartbeatDatagramBytes = 4096;

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
  settings.mHeartbeat = kHeartbeatInterval;
  settings.mFailAfter = kFailureTimeout;
  settings.mBytesPerSecond = kHeartbeatBytesPerSecond;
  return settings;
}

} // namespace

endpoint
RunEndpointOf(const endpoint& aDaemon)
{
  return { aDaemon.mAddress, static_cast<std::uint16_t>(aDaemon.mPort + 1) };
}

daemon_link::daemon_link(forward_state& aState)
  : mState(aState)
  , mMembers(SelfOf(aState.mSettings), HeartbeatSettings(), {})
  , mHeartbeatSocket(aState.mIo)
  , mRunSocket(aState.mIo)
{
}

result<void>
daemon_link::Open()
{
  const endpoint& own = mState.mSettings.mPeers;
  BOOST_OUTCOME_TRY(OpenUdp(mHeartbeatSocket, own));
  BOOST_OUTCOME_TRY(OpenUdp(mRunSocket, RunEndpointOf(own)));
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
               ReceiveDatagrams(mHeartbeatSocket,
                                kMaxHeartbeatDatagramBytes,
                                [this](std::string_view aData, const udp::endpoint& /*aFrom*/) {
                                  HandleHeartbeat(aData, mState.Now());
                                }));
  SpawnGuarded(mState.mIo,
               ReceiveDatagrams(mRunSocket,
                                kMaxRunDatagramBytes,
                                [this](std::string_view aData, const udp::endpoint& aFrom) {
                                  const instant now = mState.Now();
                                  if (const auto message = DecodeRunMessage(aData, now)) {
                                    Apply(*message, aFrom, now);
                                  }
                                }));
}

void
daemon_link::Broadcast(run_message aMessage)
{
  std::vector<endpoint> all;
  for (const auto& [id, member] : mMembers.Others()) {
    all.push_back(RunEndpointOf(member.mInfo.mAddress));
  }
  SendToEach(std::move(aMessage), all);
}

void
daemon_link::SendToEach(run_message aMessage, const std::vector<endpoint>& aTo)
{
  aMessage.mDaemon = mMembers.Self().mIncarnation.mValue;
  const std::string data = Encode(aMessage, mState.Now());
  for (const endpoint& to : aTo) {
    SendUdp(mRunSocket, data, to);
  }
}

std::optional<endpoint>
daemon_link::PickRandomPeer()
{
  const std::size_t count = mMembers.Others().size();
  if (count == 0) {
    return std::nullopt;
  }
  auto chosen = mMembers.Others().begin();
  std::advance(chosen,
               static_cast<std::size_t>(mState.RandomFraction() * static_cast<double>(count)));
  return RunEndpointOf(chosen->second.mInfo.mAddress);
}

void
daemon_link::DropSilent(instant aNow)
{
  for (const member_info& gone : mMembers.DropSilent(aNow).mGone) {
    LogEvent(log_level::eInfo, "daemon_silent", { { "daemon", gone.mName } });
    mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, aNow);
  }
  std::erase_if(mClocks,
                [&](const auto& aRow) { return aNow - aRow.second.LastAt() > kClockWindow; });
}

asio::awaitable<void>
daemon_link::SendHeartbeats()
{
  for (;;) {
    mMembers.SetSelf(mState.mRoutes ? mState.mRoutes->Config().mVersion : 0, mReady());
    const heartbeat beat = mMembers.BuildHeartbeat(mState.Now());
    for (const endpoint& to : beat.mTo) {
      SendUdp(mHeartbeatSocket, beat.mData, to);
    }
    RequestMembers();
    co_await Sleep(kHeartbeatInterval);
  }
}

bool
daemon_link::IsSettling() const
{
  return mFirstHeartbeatAt == instant{ 0 } || mState.Now() - mFirstHeartbeatAt < kSettlingTime;
}

void
daemon_link::RequestMembers()
{
  const instant now = mState.Now();
  mFirstHeartbeatAt = mFirstHeartbeatAt == instant{ 0 } ? now : mFirstHeartbeatAt;
  if (now - mFirstHeartbeatAt > kMemberRequestPeriod) {
    return;
  }
  if (const std::optional<endpoint> asked = mMembers.PickMemberToAsk()) {
    SendUdp(mHeartbeatSocket, mMembers.BuildMemberRequest(), *asked);
  }
}

void
daemon_link::HandleHeartbeat(std::string_view aData, instant aNow)
{
  const member_changes changes = mMembers.Receive(aData, aNow);
  for (const member_info& joined : changes.mJoined) {
    LogEvent(log_level::eInfo, "daemon_heard", { { "daemon", joined.mName } });
  }
  for (const member_info& gone : changes.mGone) {
    mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, aNow);
  }
  if (!changes.mRequestFrom) {
    return;
  }
  for (const std::string& answer : mMembers.BuildMemberList()) {
    SendUdp(mHeartbeatSocket, answer, *changes.mRequestFrom);
  }
}

instant
daemon_link::ReadTimeOf(const run_message& aMessage, instant aNow)
{
  if (aMessage.mSentAt == instant{ 0 }) {
    return aNow; // Earlier versions don't tell.
  }
  remote_clock& clock = mClocks[aMessage.mDaemon];
  clock.Note(aMessage.mSentAt, aNow);
  return std::min(aNow, clock.ToLocal(aMessage.mListReadAt));
}

void
daemon_link::ApplyStorePosition(const run_message& aMessage, instant aNow)
{
  const store_position& position = *aMessage.mStore;
  if (aMessage.mRunners) {
    const runner_changes& changes = *aMessage.mRunners;
    if (changes.mFrom <= mState.mRunners.End()) {
      mState.LogStoreRollback(changes.mTo.mEra);
    }
    mState.NoteRunnersChanged(mState.mRunners.ApplyChanges(changes, aNow, changes.mAway));
  }
  mState.mRunners.NoteRead(position.mRunners, ReadTimeOf(aMessage, aNow));
  // Readers of the store may be at different positions. A report from one that is behind neither
  // moves the known position back nor counts as a recent report.
  mMembers.NoteNextOffset(incarnation_id{ aMessage.mDaemon }, position.mConfig);
  store_position& known = mState.mPeerStorePosition;
  const bool older = position.mRunners < known.mRunners || position.mConfig < known.mConfig;
  known.mRunners = std::max(known.mRunners, position.mRunners);
  known.mConfig = std::max(known.mConfig, position.mConfig);
  if (!older) {
    mState.mPeerStorePositionAt = aNow;
  }
}

void
daemon_link::Apply(const run_message& aMessage, const udp::endpoint& aFrom, instant aNow)
{
  if (aMessage.mQuarantine && mQuarantineHandler) {
    mQuarantineHandler(*aMessage.mQuarantine, EndpointOf(aFrom));
  }
  if (aMessage.mPermits && mPermitHandler) {
    mPermitHandler(*aMessage.mPermits, aMessage.mDaemon, EndpointOf(aFrom));
  }
  if (aMessage.mOrigins && mOriginHandler) {
    mOriginHandler(*aMessage.mOrigins, EndpointOf(aFrom));
  }
  if (aMessage.mStore) {
    ApplyStorePosition(aMessage, aNow);
  }
  if (aMessage.mStoreSilent) {
    mState.mPeerStoreSilentAt = aNow;
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
    mState.mRunners.NoteRoleChange(runner, aNow + kMaxRoleChangeTime);
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
