/**
 * @file daemon_link.cpp
 * Sending and taking of datagrams between daemons.
 */
#include "forward/daemon_link.h"

#include "forward/role_timing.h"

namespace dunehook {

namespace {

/** Time between heartbeats, and silence after which a daemon is gone: three are lost, and a rest.
 */
constexpr duration kHeartbeatEvery = std::chrono::milliseconds(500);
constexpr duration kDaemonSilence = std::chrono::milliseconds(1800);
/** Bytes a second that a daemon spends on heartbeats; beyond some 15 daemons news is passed on. */
constexpr double kHeartbeatBytes = 4096.0;
/** Time between digests of the runs that a daemon has; runs last some seconds. */
constexpr duration kDigestEvery = std::chrono::milliseconds(1000);
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

/** @return where a daemon takes run messages: the port behind that of its heartbeats. */
endpoint
RunsAt(const endpoint& aDaemon)
{
  return { aDaemon.mAddress, static_cast<std::uint16_t>(aDaemon.mPort + 1) };
}

} // namespace

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
  const auto open = [](udp::socket& aSocket, const endpoint& aAt) {
    boost::system::error_code error;
    const udp::endpoint local(asio::ip::make_address(aAt.mAddress, error), aAt.mPort);
    if (!error) {
      aSocket.open(local.protocol(), error);
    }
    if (!error) {
      aSocket.bind(local, error);
    }
    return !error;
  };
  const endpoint& own = mState.mSettings.mPeers;
  if (!open(mHeartbeats, own) || !open(mRuns, RunsAt(own))) {
    return make_error_code(errc::eConnectFailed);
  }
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
  SpawnGuarded(mState.mIo, SendDigests());
  SpawnGuarded(mState.mIo, TakeHeartbeats());
  SpawnGuarded(mState.mIo, TakeRuns());
}

void
daemon_link::SendTo(udp::socket& aSocket, const std::string& aData, const endpoint& aTo)
{
  boost::system::error_code ignored; // A lost datagram is made good by a later one.
  const udp::endpoint target(asio::ip::make_address(aTo.mAddress, ignored), aTo.mPort);
  aSocket.send_to(asio::buffer(aData), target, 0, ignored);
}

void
daemon_link::Tell(run_message aMessage)
{
  aMessage.mDaemon = mMembers.Self().mIncarnation.mValue;
  const std::string data = Encode(aMessage, mState.Now());
  for (const auto& [id, member] : mMembers.Others()) {
    SendTo(mRuns, data, RunsAt(member.mInfo.mAddress));
  }
}

bool
daemon_link::FirstOfHall() const
{
  const member_info& self = mMembers.Self();
  const auto& others = mMembers.Others();
  return std::none_of(others.begin(), others.end(), [&](const auto& aRow) {
    const member_info& other = aRow.second.mInfo;
    return other.mServing && other.mHall == self.mHall && other.mName < self.mName;
  });
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
      SendTo(mHeartbeats, beat.mData, to);
    }
    co_await Sleep(kHeartbeatEvery);
  }
}

asio::awaitable<void>
daemon_link::SendDigests()
{
  for (;;) {
    co_await Sleep(kDigestEvery);
    run_message digest;
    digest.mDigest = true;
    digest.mBegun = mState.mPlacement.OwnRuns();
    Tell(std::move(digest));
  }
}

asio::awaitable<void>
daemon_link::TakeHeartbeats()
{
  std::string data(kHeartbeatMost, '\0');
  for (;;) {
    udp::endpoint from;
    boost::system::error_code error;
    const std::size_t got = co_await mHeartbeats.async_receive_from(
      asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue; // An earlier datagram couldn't be delivered; the member table notices by silence.
    }
    const instant now = mState.Now();
    const auto changes = mMembers.Receive({ data.data(), got }, now);
    for (const member_info& joined : changes.mJoined) {
      LogEvent(log_level::eInfo, "daemon_heard", { { "daemon", joined.mName } });
    }
    for (const member_info& gone : changes.mGone) {
      mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, now);
    }
  }
}

asio::awaitable<void>
daemon_link::TakeRuns()
{
  std::string data(kRunBytes, '\0');
  for (;;) {
    udp::endpoint from;
    boost::system::error_code error;
    const std::size_t got = co_await mRuns.async_receive_from(
      asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    const instant now = mState.Now();
    const auto message = error ? std::nullopt : DecodeRunMessage({ data.data(), got }, now);
    if (message) {
      Apply(*message, now);
    }
  }
}

void
daemon_link::NoteTold(const store_position& aPosition, instant aNow)
{
  // Daemons that read the store aren't equally far: one that is behind takes back nothing that
  // another has told, nor does it stand for a read.
  store_position& told = mState.mToldStore;
  const bool older = aPosition.mRunners < told.mRunners || aPosition.mConfig < told.mConfig;
  told.mRunners = std::max(told.mRunners, aPosition.mRunners);
  told.mConfig = std::max(told.mConfig, aPosition.mConfig);
  if (!older) {
    mState.mToldStoreAt = aNow;
  }
}

void
daemon_link::Apply(const run_message& aMessage, instant aNow)
{
  if (aMessage.mStore) {
    NoteTold(*aMessage.mStore, aNow);
  }
  if (aMessage.mDigest) {
    mState.mPlacement.ReplaceRuns(aMessage.mDaemon, aMessage.mBegun, aNow);
    return;
  }
  for (const run_record& run : aMessage.mBegun) {
    mState.mPlacement.Begin(run, aNow);
  }
  for (const run_id run : aMessage.mEnded) {
    mState.mPlacement.End(run);
  }
  for (const refused_prompt& prompt : aMessage.mRefused) {
    mState.mRefused.Note(prompt.mKey, aNow);
    mState.mPlacement.NoteRefused(prompt.mPromptTokens, prompt.mAnswerTokens);
  }
  for (const service_runner_id runner : aMessage.mOrdered) {
    mState.mRunners.NoteChanging(runner, aNow + kLongestChange);
  }
}

} // namespace dunehook
