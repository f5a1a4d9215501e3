/**
 * @file gateway.h
 * A forwarding daemon: takes callers, follows the configuration and the runners in the store,
 * talks with the other daemons, and stops as planned.
 */
#pragma once

#include "forward/generation_call.h"
#include "forward/plain_call.h"
#include "forward/role_keeper.h"
#include "members/member_base.h"
#include "net/http_server.h"

#include <boost/asio/ip/udp.hpp>

namespace dunehook {

/** Time between reads of the runners; half of what a leaving runner is served on for, and less. */
inline constexpr duration kRunnersEvery = std::chrono::milliseconds(900);
/** How long the store may hold the answer while the configuration doesn't change. */
inline constexpr duration kConfigWait = std::chrono::milliseconds(3000);
/** Rest after a failed read of the store; doubled up to the longest. */
inline constexpr duration kFirstStoreRest = std::chrono::milliseconds(150);
inline constexpr duration kLongestStoreRest = std::chrono::milliseconds(600);
/** Another daemon's newer configuration is read for after this: it comes by itself mostly. */
inline constexpr duration kBehindFor = std::chrono::milliseconds(250);
/** The store counts as away until it has answered for this long. */
inline constexpr duration kStoreBackFor = std::chrono::milliseconds(2500);
/** Time between heartbeats, and silence after which a daemon is gone. */
inline constexpr duration kHeartbeatEvery = std::chrono::milliseconds(500);
inline constexpr duration kDaemonSilence = std::chrono::milliseconds(1800);
/** Bytes a second that a daemon spends on heartbeats. */
inline constexpr double kHeartbeatBytes = 4096.0;
/** Time between digests of the runs that a daemon has. */
inline constexpr duration kDigestEvery = std::chrono::milliseconds(1000);
/** Time between passes over the tables. */
inline constexpr duration kTableTick = std::chrono::milliseconds(250);
/** Part of the memory that request bodies may take. */
inline constexpr std::uint64_t kBodyPart = 4;
/** The balancer goes on sending callers for about this long after a daemon isn't ready. */
inline constexpr duration kBalancerLag = std::chrono::milliseconds(2600);
/** Kept off the limit of a planned stop, so that the process ends by itself. */
inline constexpr duration kStopMargin = std::chrono::milliseconds(500);
/** Largest datagram taken. */
inline constexpr std::size_t kDatagramBytes = 65536;

/** The daemon. */
template<wire_format Wire, control_store Store>
class gateway
{
public:
  /** @return the daemon, listening, or eConnectFailed. */
  static result<std::unique_ptr<gateway>> Open(asio::io_context& aIo,
                                               const gateway_settings& aSettings)
  {
    auto opened = std::make_unique<gateway>(aIo, aSettings);
    BOOST_OUTCOME_TRY(opened->Listen());
    return opened;
  }

  gateway(asio::io_context& aIo, const gateway_settings& aSettings)
    : mState(aIo, aSettings)
    , mStore(aSettings.mStore)
    , mKeeper(mState, mStore)
    , mMembers(SelfOf(aSettings), HeartbeatSettings(), {})
    , mHeartbeats(aIo)
    , mRunDatagrams(aIo)
  {
    mState.mTell = [this](run_message aMessage) { TellRuns(std::move(aMessage)); };
  }

  /** Starts to serve. */
  void Start()
  {
    asio::io_context& io = mState.mIo;
    SpawnGuarded(io, FollowConfig());
    SpawnGuarded(io, FollowRunners());
    SpawnGuarded(io, TickTables());
    SpawnGuarded(io, TickRoles());
    SpawnGuarded(io, SendHeartbeats());
    SpawnGuarded(io, SendDigests());
    SpawnGuarded(io, TakeHeartbeats());
    SpawnGuarded(io, TakeRuns());
  }

  /** Begins a planned stop; the event loop ends when it's over. */
  void Drain()
  {
    if (mState.mStopping) {
      return;
    }
    LogEvent(log_level::eInfo, "stopping", { { "open", mListener->Shared().mOpen } });
    mState.mStopping = true;
    mState.mStopBy = mState.Now() + mState.mSettings.mStopLimit - kStopMargin;
    mListener->Shared().mClosing = true;
    SpawnGuarded(mState.mIo, FinishStop());
  }

  /** Takes over what may change while the daemon runs. */
  void Reload(const gateway_settings& aSettings)
  {
    mState.mSettings.mRetries = aSettings.mRetries;
    mState.mSettings.mLeaseTime = aSettings.mLeaseTime;
    mState.mSettings.mStopLimit = aSettings.mStopLimit;
    mState.mSettings.mSeeds = aSettings.mSeeds;
    AddSeeds();
    LogEvent(log_level::eInfo, "reloaded", { { "seeds", aSettings.mSeeds.size() } });
  }

private:
  using udp = asio::ip::udp;

  static member_info SelfOf(const gateway_settings& aSettings)
  {
    member_info self;
    self.mIncarnation = DrawIncarnation();
    self.mName = aSettings.mName;
    self.mHall = aSettings.mHall;
    self.mAddress = aSettings.mPeers;
    return self;
  }

  static member_settings HeartbeatSettings()
  {
    member_settings settings;
    settings.mHeartbeat = kHeartbeatEvery;
    settings.mFailAfter = kDaemonSilence;
    settings.mBytesPerSecond = kHeartbeatBytes;
    return settings;
  }

  /** @return where a daemon takes datagrams on runs: the port behind that of its heartbeats. */
  static udp::endpoint RunsAt(const endpoint& aPeer)
  {
    boost::system::error_code ignored; // Peers name IP numbers; a wrong one reaches nobody.
    return { asio::ip::make_address(aPeer.mAddress, ignored),
             static_cast<std::uint16_t>(aPeer.mPort + 1) };
  }

  result<void> Listen()
  {
    const gateway_settings& settings = mState.mSettings;
    BOOST_OUTCOME_TRY(
      mListener,
      caller_listener::Open(mState.mIo, settings.mCallers, [this](caller_exchange_ptr aExchange) {
        return Forward(std::move(aExchange));
      }));
    mListener->Shared().mMostBodyBytes = settings.mMemoryBytes / kBodyPart;
    BOOST_OUTCOME_TRY(
      mReadiness,
      http_listener::Open(mState.mIo, settings.mReadiness, {}, [this](exchange_ptr aExchange) {
        return AnswerReadiness(std::move(aExchange));
      }));
    if (settings.mMetrics.mPort != 0) {
      BOOST_OUTCOME_TRY(
        mMetricsListener,
        http_listener::Open(mState.mIo, settings.mMetrics, {}, [this](exchange_ptr aExchange) {
          return AnswerMetrics(std::move(aExchange));
        }));
    }
    boost::system::error_code error;
    const auto open = [&](udp::socket& aSocket, const udp::endpoint& aAt) {
      aSocket.open(aAt.protocol(), error);
      if (!error) {
        aSocket.bind(aAt, error);
      }
      return !error;
    };
    const udp::endpoint runsAt = RunsAt(settings.mPeers);
    const udp::endpoint beatsAt(runsAt.address(), settings.mPeers.mPort);
    if (!open(mHeartbeats, beatsAt) || !open(mRunDatagrams, runsAt)) {
      return make_error_code(errc::eConnectFailed);
    }
    AddSeeds();
    return boost::outcome_v2::success();
  }

  void AddSeeds()
  {
    for (const std::string& host : mState.mSettings.mSeeds) {
      if (host != mState.mSettings.mPeers.mAddress) {
        mMembers.AddSeed({ host, mState.mSettings.mPeers.mPort });
      }
    }
  }

  bool Ready() const { return mState.mRoutes && mRunnersKnown && !mState.mStopping; }

  asio::awaitable<void> AnswerReadiness(exchange_ptr aExchange)
  {
    const unsigned status = Ready() ? 200 : 503;
    const header_list noHeaders;
    co_await aExchange->Respond(status, std::string(), noHeaders, "text/plain");
  }

  asio::awaitable<void> AnswerMetrics(exchange_ptr aExchange)
  {
    const std::string text = mState.mMetrics.Serialize(Gauges());
    const header_list noHeaders;
    co_await aExchange->Respond(200, text, noHeaders, "text/plain; version=0.0.4");
  }

  /** @return the values of the gauges now. */
  gateway_gauges Gauges()
  {
    gateway_gauges values;
    const instant now = mState.Now();
    const session_shared& sessions = mListener->Shared();
    values["ready"] = Ready() ? 1.0 : 0.0;
    values["config_version"] =
      mState.mRoutes ? static_cast<double>(mState.mRoutes->Config().mVersion) : 0.0;
    values["config_age_seconds"] = ToSeconds(now - mConfigAt);
    values["runners_age_seconds"] = ToSeconds(now - mState.mListedAt);
    values["store_answers"] = mStoreWell ? 1.0 : 0.0;
    values["daemons"] = static_cast<double>(mState.mDaemons);
    values["generations"] = static_cast<double>(mState.mPlacement.RunCount());
    values["connections"] = static_cast<double>(sessions.mOpen);
    values["requests_under_way"] = static_cast<double>(sessions.mBusy);
    values["body_bytes"] = static_cast<double>(sessions.mBodyBytes);
    values["log_lines_dropped"] = static_cast<double>(mLogTotals.mDropped);
    values["log_bytes"] = static_cast<double>(mLogTotals.mBytes);
    values["runners_taking_work"] = 0.0;
    values["runners_resting"] = 0.0;
    values["runners_leaving"] = 0.0;
    for (const auto& [id, runner] : mState.mRunners.Rows()) {
      const bool leaving = runner.mDraining || runner.mGone;
      const bool takes = mState.mRunners.TakesWork(runner, now);
      values[leaving ? "runners_leaving"
             : takes ? "runners_taking_work"
                     : "runners_resting"] += 1.0;
    }
    return values;
  }

  /** Serves one request of a caller. */
  asio::awaitable<void> Forward(caller_exchange_ptr aExchange)
  {
    const instant arrived = mState.Now();
    const request_facts facts = Wire::ReadRequest(aExchange->Request());
    if (!mState.mRoutes || !mRunnersKnown) {
      mState.mMetrics.CountRequest("none", "refused", "starting");
      mState.LogDecision(log_level::eWarning,
                         "not_started",
                         facts.mId,
                         { { "config_known", mState.mRoutes != nullptr } });
      co_await Refuse<Wire>(*aExchange, facts.mId, 503, kStartComeBack, "starting");
      co_return;
    }
    const std::shared_ptr<const route_table> routes = mState.mRoutes;
    const auto host = aExchange->Request()[http::field::host];
    const std::string_view target = aExchange->Target();
    const std::string_view path = target.substr(0, target.find('?'));
    const forward_route* const route =
      routes->Find(std::string_view(host.data(), host.size()), path);
    if (route == nullptr) {
      mState.mMetrics.CountRequest("none", "refused", "no_route");
      mState.LogDecision(log_level::eWarning, "no_route", facts.mId, { { "path", path } });
      co_await Refuse<Wire>(*aExchange, facts.mId, 404, duration{ 0 }, "no_route");
      co_return;
    }
    const forward_service* const service = routes->PickService(*route, mState.Draw());
    if (service == nullptr) {
      co_await Refuse<Wire>(*aExchange, facts.mId, 503, kStartComeBack, "no_service");
      co_return;
    }
    if (service->mEngines && route->mRepeat == repeat_rule::eStream) {
      generation_call<Wire> call(mState, aExchange, facts, routes, *route, *service, arrived);
      co_await call.Run();
    } else {
      plain_call<Wire> call(mState, aExchange, facts, routes, *route, *service, arrived);
      co_await call.Run();
    }
    if (aExchange->Gone()) {
      mState.mMetrics.CountRequest(route->mName, "left", "");
      mState.LogDecision(
        log_level::eInfo,
        "caller_left",
        facts.mId,
        { { "route", route->mName }, { "ms", (mState.Now() - arrived).count() / 1000 } });
    }
  }

  /** Puts a configuration in force unless it's older than the one in force. */
  void Adopt(routing_config aConfig)
  {
    if (mState.mRoutes && aConfig.mVersion <= mState.mRoutes->Config().mVersion) {
      return;
    }
    LogEvent(log_level::eInfo,
             "config_in_force",
             { { "version", aConfig.mVersion }, { "routes", aConfig.mRoutes.size() } });
    mConfigAt = mState.Now();
    mListener->Shared().mLimits = aConfig.mLimits;
    mMembers.SetSelf(aConfig.mVersion, !mState.mStopping);
    mState.mRoutes = std::make_shared<const route_table>(std::move(aConfig));
  }

  /** Notes whether the store answered. */
  void NoteStore(bool aAnswered, std::string_view aWhat)
  {
    mState.mMetrics.CountStoreCall(aWhat, aAnswered);
    const instant now = mState.Now();
    if (!aAnswered) {
      mStoreAwayAt = now;
    }
    if (aAnswered != mStoreWell) {
      mStoreWell = aAnswered;
      LogEvent(
        log_level::eInfo, aAnswered ? "store_regained" : "store_lost", { { "call", aWhat } });
    }
  }

  bool StoreAway() const
  {
    return mStoreAwayAt != instant{ 0 } && mState.Now() - mStoreAwayAt < kStoreBackFor;
  }

  asio::awaitable<void> FollowConfig()
  {
    std::optional<std::uint64_t> next;
    duration rest = kFirstStoreRest;
    for (;;) {
      // Two statements: GCC 12 destroys a result twice that a conditional expression awaits.
      result<config_reading> reading = make_error_code(errc::eLogUnavailable);
      if (next) {
        reading = co_await mStore.AwaitConfig(*next, kConfigWait);
      } else {
        reading = co_await mStore.ReadConfig();
      }
      NoteStore(reading.has_value(), "config");
      if (!reading) {
        next.reset();
        co_await Sleep(rest);
        rest = std::min(rest * 2, kLongestStoreRest);
        continue;
      }
      rest = kFirstStoreRest;
      next = reading.value().mNext;
      if (reading.value().mConfig) {
        Adopt(std::move(*reading.value().mConfig));
      } else if (!mState.mRoutes) {
        next.reset();
        co_await Sleep(kFirstStoreRest);
      }
    }
  }

  asio::awaitable<void> FollowRunners()
  {
    duration rest = kFirstStoreRest;
    for (;;) {
      const result<runner_listing> listing = co_await mStore.ReadRunners();
      NoteStore(listing.has_value(), "runners");
      if (!listing) {
        co_await Sleep(rest);
        rest = std::min(rest * 2, kLongestStoreRest);
        continue;
      }
      rest = kFirstStoreRest;
      mState.mListedAt = mState.Now();
      mRunnersKnown = mRunnersKnown || !listing.value().mRunners.empty();
      for (const service_runner_id id :
           mState.mRunners.Apply(listing.value(), mState.Now(), StoreAway())) {
        LogRunner(id);
      }
      co_await Sleep(mRunnersKnown ? kRunnersEvery : kFirstStoreRest);
    }
  }

  /** @return connections to one runner that may rest, by the service that takes the fewest. */
  std::size_t MostIdle() const
  {
    std::size_t most = MostIdleConnections(std::numeric_limits<std::uint32_t>::max(), 1);
    if (mState.mRoutes) {
      for (const auto& [name, service] : mState.mRoutes->Config().mServices) {
        most = std::min(most, MostIdleConnections(service.mMaxConnections, mState.mDaemons));
      }
    }
    return most;
  }

  /** Reads the configuration where another daemon has a newer one: the answer that should have
   * brought it may be lost or late. */
  asio::awaitable<void> CatchUp(instant aNow)
  {
    const std::uint64_t own = mState.mRoutes ? mState.mRoutes->Config().mVersion : 0;
    const std::uint64_t newest = mMembers.HighestNext();
    if (own == 0 || newest <= own) {
      mBehindSince = instant{ 0 };
      co_return;
    }
    if (mBehindSince == instant{ 0 }) {
      mBehindSince = aNow;
    }
    if (aNow - mBehindSince < kBehindFor) {
      co_return;
    }
    mBehindSince = aNow;
    LogEvent(log_level::eInfo, "config_behind", { { "own", own }, { "newest", newest } });
    result<config_reading> reading = co_await mStore.ReadConfig();
    NoteStore(reading.has_value(), "config");
    if (reading && reading.value().mConfig) {
      Adopt(std::move(*reading.value().mConfig));
    }
  }

  void LogRunner(service_runner_id aId)
  {
    const runner_state* const runner = mState.mRunners.Find(aId);
    if (runner == nullptr) {
      return;
    }
    const engine_role role = runner->mEntry.mRole;
    LogEvent(log_level::eInfo,
             "runner_changed",
             { { "runner", runner->mEntry.mName },
               { "service", runner->mEntry.mService },
               { "address", ToText(runner->mEntry.mAddress) },
               { "listed", runner->mListed },
               { "leaving", runner->mDraining },
               { "role",
                 role == engine_role::eNone      ? "none"
                 : role == engine_role::ePrefill ? "prefill"
                                                 : "decode" },
               { "position", mState.mRunners.End() } });
  }

  asio::awaitable<void> TickTables()
  {
    for (;;) {
      co_await Sleep(kTableTick);
      const instant now = mState.Now();
      mState.mRunners.Forget(now, StoreAway());
      mState.mPlacement.Prune(mState.mRunners, now);
      mState.mPool.Prune(now);
      mState.mRefused.Prune(now);
      for (const member_info& gone : mMembers.Sweep(now).mGone) {
        LogEvent(log_level::eInfo, "daemon_silent", { { "daemon", gone.mName } });
        mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, now);
      }
      mState.NoteDaemons(mMembers.CountServing());
      mState.mPool.SetMostIdle(MostIdle());
      SpawnGuarded(mState.mIo, CatchUp(now));
      mLogTotals = TickLogging();
    }
  }

  asio::awaitable<void> TickRoles()
  {
    co_await Sleep(kRoleTick); // Until the other daemons were heard.
    for (;;) {
      co_await Sleep(kRoleTick);
      if (!Ready() || StoreAway()) {
        continue;
      }
      role_peers peers;
      peers.mFirst = true;
      for (const auto& [id, member] : mMembers.Others()) {
        peers.mAlive.push_back(member.mInfo.mName);
        if (member.mInfo.mServing && member.mInfo.mName < mState.mSettings.mName) {
          peers.mFirst = false;
        }
      }
      co_await mKeeper.Tick(std::move(peers));
    }
  }

  asio::awaitable<void> SendHeartbeats()
  {
    for (;;) {
      mMembers.SetSelf(mState.mRoutes ? mState.mRoutes->Config().mVersion : 0, Ready());
      const heartbeat beat = mMembers.BuildHeartbeat(mState.Now());
      for (const endpoint& to : beat.mTo) {
        boost::system::error_code ignored; // A lost heartbeat is made good by the next.
        const udp::endpoint target(asio::ip::make_address(to.mAddress, ignored), to.mPort);
        mHeartbeats.send_to(asio::buffer(beat.mData), target, 0, ignored);
      }
      co_await Sleep(kHeartbeatEvery);
    }
  }

  asio::awaitable<void> SendDigests()
  {
    for (;;) {
      co_await Sleep(kDigestEvery);
      run_message digest;
      digest.mDigest = true;
      digest.mBegun = mState.mPlacement.OwnRuns();
      TellRuns(std::move(digest));
    }
  }

  void TellRuns(run_message aMessage)
  {
    aMessage.mDaemon = mMembers.Self().mIncarnation.mValue;
    const std::string data = Encode(aMessage, mState.Now());
    for (const auto& [id, member] : mMembers.Others()) {
      boost::system::error_code ignored; // A lost message is made good by the next digest.
      mRunDatagrams.send_to(asio::buffer(data), RunsAt(member.mInfo.mAddress), 0, ignored);
    }
  }

  asio::awaitable<void> TakeHeartbeats()
  {
    std::string data(kDatagramBytes / 16, '\0');
    for (;;) {
      udp::endpoint from;
      boost::system::error_code error;
      const std::size_t got = co_await mHeartbeats.async_receive_from(
        asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (!error) {
        const auto changes = mMembers.Receive({ data.data(), got }, mState.Now());
        for (const member_info& joined : changes.mJoined) {
          LogEvent(log_level::eInfo, "daemon_heard", { { "daemon", joined.mName } });
        }
        for (const member_info& gone : changes.mGone) {
          mState.mPlacement.ReplaceRuns(gone.mIncarnation.mValue, {}, mState.Now());
        }
      }
    }
  }

  asio::awaitable<void> TakeRuns()
  {
    std::string data(kDatagramBytes, '\0');
    for (;;) {
      udp::endpoint from;
      boost::system::error_code error;
      const std::size_t got = co_await mRunDatagrams.async_receive_from(
        asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      const instant now = mState.Now();
      const auto message = error ? std::nullopt : DecodeRunMessage({ data.data(), got }, now);
      if (!message) {
        continue;
      }
      if (message->mDigest) {
        mState.mPlacement.ReplaceRuns(message->mDaemon, message->mBegun, now);
        continue;
      }
      for (const run_record& run : message->mBegun) {
        mState.mPlacement.Begin(run, now);
      }
      for (const run_id run : message->mEnded) {
        mState.mPlacement.End(run);
      }
      for (const refused_prompt& prompt : message->mRefused) {
        mState.mRefused.Note(prompt.mKey, now);
        mState.mPlacement.NoteRefused(prompt.mPromptTokens, prompt.mAnswerTokens);
      }
      for (const service_runner_id runner : message->mOrdered) {
        mState.mRunners.NoteChanging(runner, now + kLongestChange);
      }
    }
  }

  /** Waits until the balancer has turned away and what runs is over, then ends the event loop. */
  asio::awaitable<void> FinishStop()
  {
    const instant began = mState.Now();
    while (mState.Now() < mState.mStopBy) {
      co_await Sleep(std::chrono::milliseconds(50));
      if (mState.Now() - began < kBalancerLag) {
        continue;
      }
      mListener->StopAccepting();
      mListener->CloseIdle();
      if (mListener->Shared().mBusy == 0) {
        break;
      }
    }
    LogEvent(
      log_level::eInfo,
      "stopped",
      { { "busy", mListener->Shared().mBusy }, { "ms", (mState.Now() - began).count() / 1000 } });
    mState.mIo.stop();
  }

  /** A caller of a daemon that starts may come back then. */
  static constexpr duration kStartComeBack = std::chrono::milliseconds(500);

  forward_state mState;                            ///< Shared by all parts.
  Store mStore;                                    ///< Configuration, runners and terms.
  role_keeper<Wire, Store> mKeeper;                ///< Gives engines their roles.
  member_table mMembers;                           ///< The other daemons.
  udp::socket mHeartbeats;                         ///< Heartbeats.
  udp::socket mRunDatagrams;                       ///< Run messages.
  std::unique_ptr<caller_listener> mListener;      ///< For callers.
  std::unique_ptr<http_listener> mMetricsListener; ///< For the operators' metrics.
  log_totals mLogTotals;                           ///< Of the last tick.
  instant mConfigAt{ 0 };                          ///< When the configuration came into force.
  std::unique_ptr<http_listener> mReadiness;       ///< For the balancer.
  bool mRunnersKnown = false;                      ///< A listing with runners was read.
  instant mBehindSince{ 0 };                       ///< Another daemon has a newer configuration.
  bool mStoreWell = true;                          ///< The last call was answered.
  instant mStoreAwayAt{ 0 };                       ///< Last failed call; zero if none.
};

} // namespace dunehook
