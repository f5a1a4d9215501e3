/**
 * @file gateway.h
 * A forwarding daemon: takes callers, follows the configuration and the runners in the store,
 * talks with the other daemons, and stops as planned.
 */
#pragma once

#include "forward/generation_call.h"
#include "forward/plain_call.h"
#include "links/placer_link.h"
#include "links/quarantine_store.h"
#include "links/store_follower.h"
#include "net/http_server.h"
#include "roles/role_controller.h"

namespace dunehook {

/** Time between passes over the tables. */
inline constexpr duration kTableTick = std::chrono::milliseconds(250);
/** A pass that comes later than this is told of: the process was frozen, or had no processor time,
 * and requests' targets are some hundred milliseconds. */
inline constexpr duration kStandstill = std::chrono::milliseconds(500);
/** Part of the memory that request bodies may take. */
inline constexpr std::uint64_t kBodyPart = 4;
/** The balancer goes on sending callers for about this long after a daemon isn't ready. */
inline constexpr duration kBalancerLag = std::chrono::milliseconds(2600);
/** Kept off the limit of a planned stop, so that the process ends by itself. */
inline constexpr duration kStopMargin = std::chrono::milliseconds(500);
/** Time between looks in a planned stop. */
inline constexpr duration kStopLook = std::chrono::milliseconds(50);
/** A planned stop may cut what still runs in the last one of so many parts of its limit. */
inline constexpr int kStopParts = 6;
/** A signal is handled late if the pass over the tables is later than this: a share of a core may
 * rest for a tenth of a second. */
inline constexpr duration kLatePass = std::chrono::milliseconds(100);
/** What a process finds to do when it runs again is done so soon, signals included. */
inline constexpr duration kFirstTurn = std::chrono::milliseconds(50);

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
    , mRoles(mState, mStore)
    , mLink(mState)
    , mPlacers(mState, mLink)
    , mQuarantines(mState, mStore, mLink)
    , mFollower(mState, mStore, mLink, [this](const caller_limits& aLimits) {
      mListener->Shared().mLimits = aLimits;
    })
  {
    mState.mTell = [this](run_message aMessage) { mLink.Broadcast(std::move(aMessage)); };
    mState.mTellPlacers = [this](run_message aMessage) {
      mPlacers.SendToPlacers(std::move(aMessage));
    };
    mState.mReportCrash = [this](const crash_report& aReport) {
      mQuarantines.Link().NoteCrash(aReport);
    };
    mState.mReportServed = [this](request_fingerprint aRequest) {
      mQuarantines.Link().NoteServed(aRequest);
    };
    mState.mAskPlacer = [this](place_question aQuestion, std::function<bool()> aGone) {
      return mPlacers.RequestPlace(std::move(aQuestion), std::move(aGone));
    };
  }

  /** Starts to serve. */
  void Start()
  {
    mPassEnded = mState.Now();
    mFollower.Start();
    mLink.Start([this] { return Ready(); });
    mPlacers.Start([this] { return Ready(); });
    mQuarantines.Start();
    SpawnGuarded(mState.mIo, TickTables());
    SpawnGuarded(mState.mIo, TickRoles());
  }

  /** Begins a planned stop; the event loop ends when it's over. */
  void Drain()
  {
    if (mState.mStopping) {
      return;
    }
    const instant now = mState.Now();
    const instant since = SignalledSince(now);
    LogEvent(
      log_level::eInfo,
      "stopping",
      { { "open", mListener->Shared().mOpen }, { "late_ms", (now - since).count() / 1000 } });
    mState.mStopping = true;
    // The signal came between the two instants. Requests are taken as if it came first; nothing is
    // cut before the last part of the limit even if it came last.
    const duration limit = mState.mSettings.mStopLimit;
    mState.mStopBy =
      std::max(since + limit - kStopMargin, now + limit - limit / kStopParts + kStopLook);
    mListener->Shared().mClosing = true;
    mListener->Shared().mTakesUntil = since + kBalancerLag + 2 * kStopLook;
    SpawnGuarded(mState.mIo, FinishStop(since));
  }

  /** Takes over what may change while the daemon runs. */
  void Reload(const gateway_settings& aSettings)
  {
    mState.mSettings.mRetries = aSettings.mRetries;
    mState.mSettings.mLeaseTime = aSettings.mLeaseTime;
    mState.mSettings.mStopLimit = aSettings.mStopLimit;
    mState.mSettings.mSeeds = aSettings.mSeeds;
    mLink.AddSeeds();
    LogEvent(log_level::eInfo, "reloaded", { { "seeds", aSettings.mSeeds.size() } });
  }

private:
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
    BOOST_OUTCOME_TRY(
      mConfigListener,
      http_listener::Open(mState.mIo, settings.mPeers, {}, [this](exchange_ptr aExchange) {
        return mFollower.Source().Answer(std::move(aExchange));
      }));
    if (settings.mMetrics.mPort != 0) {
      BOOST_OUTCOME_TRY(
        mMetricsListener,
        http_listener::Open(mState.mIo, settings.mMetrics, {}, [this](exchange_ptr aExchange) {
          return AnswerMetrics(std::move(aExchange));
        }));
    }
    BOOST_OUTCOME_TRY(mLink.Open());
    return mPlacers.Open();
  }

  bool Ready() const { return mFollower.Contact().Known() && !mState.mStopping; }

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
    values["config_age_seconds"] = ToSeconds(now - mFollower.Config().InForceSince());
    values["runners_age_seconds"] = ToSeconds(now - mState.mListedAt);
    values["store_bytes_in"] = static_cast<double>(mStore.BytesIn());
    values["config_read_seconds"] = ToSeconds(mFollower.Config().CurrentReadDuration());
    values["runner_entries_unreadable"] = static_cast<double>(mStore.UnreadableEntries());
    values["store_era"] = static_cast<double>(mState.mRunners.End().mEra);
    values["store_answers"] = mFollower.Contact().IsAnswering() ? 1.0 : 0.0;
    values["daemons"] = static_cast<double>(mState.mDaemons);
    values["generations"] = static_cast<double>(mState.mPlacement.RunCount());
    values["connections"] = static_cast<double>(sessions.mOpen);
    values["requests_under_way"] = static_cast<double>(sessions.mBusy);
    values["body_bytes"] = static_cast<double>(sessions.mBodyBytes);
    values["log_lines_dropped"] = static_cast<double>(mLogTotals.mDropped);
    values["log_bytes"] = static_cast<double>(mLogTotals.mBytes);
    values["requests_quarantined"] = static_cast<double>(mState.mCrashes.CountQuarantined(now));
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
    // Looked at once the request is whole. It may come late on a connection that an answer from
    // before the stop left open, behind another request, or with slow bytes: the end of the process
    // would cut it, and a caller that is told so can go elsewhere.
    if (mListener->Shared().TakesNoMore(arrived)) {
      mState.mMetrics.CountRequest("none", "refused", "stopping");
      mState.LogDecision(log_level::eInfo, "not_taken", facts.mId, {});
      co_await Refuse<Wire>(*aExchange, facts.mId, 503, kStopComeBack, "stopping");
      co_return;
    }
    const instant startedBy = arrived + kStartWait;
    while (!mFollower.Contact().Known() && mState.Now() < startedBy) {
      co_await Sleep(kLookAtStart);
    }
    if (!mFollower.Contact().Known()) {
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

  asio::awaitable<void> TickTables()
  {
    for (;;) {
      const instant slept = mState.Now();
      mPassEnded = slept;
      co_await Sleep(kTableTick);
      const instant now = mState.Now();
      if (now - slept > kTableTick + kLatePass) {
        mStillFrom = slept;
        mStillTo = now;
      }
      if (now - slept > kTableTick + kStandstill) {
        LogEvent(log_level::eWarning,
                 "stood_still",
                 { { "ms", (now - slept - kTableTick).count() / 1000 } });
      }
      mState.NoteRunnersChanged(mState.mRunners.Forget(now, mFollower.Contact().WasRecentlyAway()));
      mState.mPlacement.Prune(mState.mRunners, now);
      mState.mPool.Prune(now);
      mState.mRefused.Prune(now);
      mLink.DropSilent(now);
      mPlacers.UpdatePlacers(now - slept > kTableTick + kLatePass);
      mState.NoteDaemons(mLink.Members().CountServing());
      mState.mPool.SetMostIdle(MostIdle());
      mFollower.Tick();
      mLogTotals = TickLogging();
    }
  }

  asio::awaitable<void> TickRoles()
  {
    co_await Sleep(kRoleTick); // Until the other daemons were heard.
    for (;;) {
      co_await Sleep(kRoleTick);
      if (!Ready() || mFollower.Contact().WasRecentlyAway()) {
        continue;
      }
      role_peers peers;
      peers.mFirst = true;
      for (const auto& [id, member] : mLink.Members().Others()) {
        peers.mAlive.push_back(member.mInfo.mName);
        if (member.mInfo.mServing && RanksBefore(member.mInfo, mLink.Members().Self())) {
          peers.mFirst = false;
        }
      }
      co_await mRoles.Tick(std::move(peers));
    }
  }

  /** @return the earliest that a signal came which is handled at @p aNow: a process that stood
   * still handles it late, and its limit counts from the signal. */
  instant SignalledSince(instant aNow) const
  {
    if (aNow - mPassEnded > kTableTick + kLatePass) {
      return mPassEnded;
    }
    return aNow - mStillTo < kFirstTurn ? mStillFrom : aNow;
  }

  /**
   * Waits until the balancer has turned away and what runs is over, then ends the event loop.
   * @param aSince when the stop began.
   */
  asio::awaitable<void> FinishStop(instant aSince)
  {
    while (mState.Now() < mState.mStopBy) {
      co_await Sleep(kStopLook);
      if (mState.Now() - aSince < kBalancerLag) {
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
      { { "busy", mListener->Shared().mBusy }, { "ms", (mState.Now() - aSince).count() / 1000 } });
    mState.mIo.stop();
  }

  /** A request waits so long for the first configuration: a refusal that comes later is no use to
   * the caller. */
  static constexpr duration kStartWait = std::chrono::milliseconds(25);
  /** Time between looks for the first configuration. */
  static constexpr duration kLookAtStart = std::chrono::milliseconds(5);
  /** A caller of a daemon that stops may come back then, to another: the time of a new connection
   * between halls, and room for one that is slow. */
  static constexpr duration kStopComeBack = std::chrono::milliseconds(50);
  /** A caller of a daemon that starts may come back then. */
  static constexpr duration kStartComeBack = std::chrono::milliseconds(500);

  forward_state mState;                            ///< Shared by all parts.
  Store mStore;                                    ///< Configuration, runners and terms.
  role_controller<Wire, Store> mRoles;             ///< Gives engines their roles.
  daemon_link mLink;                               ///< The other daemons.
  placer_link mPlacers;                            ///< Those that place generations.
  quarantine_store<Store> mQuarantines;            ///< Keeps requests that crash runners off them.
  store_follower<Store> mFollower;                 ///< Follows the store.
  std::unique_ptr<caller_listener> mListener;      ///< For callers.
  std::unique_ptr<http_listener> mMetricsListener; ///< For the operators' metrics.
  std::unique_ptr<http_listener> mConfigListener;  ///< For other daemons.
  std::unique_ptr<http_listener> mReadiness;       ///< For the balancer.
  log_totals mLogTotals;                           ///< Of the last tick.
  instant mPassEnded{ 0 };                         ///< The last pass over the tables.
  instant mStillFrom{ 0 };                         ///< End of the pass before the last late one.
  instant mStillTo{ 0 };                           ///< When the last late pass came.
};

} // namespace dunehook
