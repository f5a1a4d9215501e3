/**
 * @file gateway.h
 * The forwarding daemon: accepts callers, follows the configuration and the runners in the store,
 * exchanges messages with the other daemons, and shuts down gracefully.
 */
#pragma once

#include "forward/generation_call.h"
#include "forward/plain_call.h"
#include "forward/stop_end.h"
#include "links/origin_store.h"
#include "links/permit_link.h"
#include "links/placer_link.h"
#include "links/quarantine_store.h"
#include "links/store_follower.h"
#include "links/trial_link.h"
#include "net/http_server.h"
#include "roles/role_controller.h"

namespace dunehook {

/** Time between maintenance passes over the tables. */
inline constexpr duration kTablePassInterval = std::chrono::milliseconds(250);
/**
 * A pass that is later than this is logged: the process was suspended, got no CPU time, or handled
 * one event for as long. Requests have latency targets of a few hundred milliseconds.
 */
inline constexpr duration kStallThreshold = std::chrono::milliseconds(200);
/** Other daemons are asked to relay only if heard within the silence after which they count as
 * gone, divided by this. */
inline constexpr int kRelayPeerSilenceDivisor = 2;
/**
 * The balancer keeps sending callers for about this long after a daemon reports that it isn't
 * ready.
 */
inline constexpr duration kBalancerRemovalDelay = std::chrono::milliseconds(2600);
/**
 * Reserved at the end of the stop limit, so that the process exits by itself before it's killed.
 */
inline constexpr duration kStopMargin = std::chrono::milliseconds(500);
/**
 * A graceful stop leaves a connection open for this long after a response or after it was accepted,
 * so that a request that's on its way is refused and not lost.
 */
inline constexpr duration kNextRequestTime = std::chrono::milliseconds(500);
/** Time between checks during a graceful stop. */
inline constexpr duration kStopPollInterval = std::chrono::milliseconds(50);
/**
 * A graceful stop may cut running requests only in the last of this many equal parts of its limit.
 */
inline constexpr int kStopCutDivisor = 6;
/**
 * A pass that is later than this means that a signal may have been handled late. A process with a
 * share of a core may be paused for a tenth of a second, which isn't counted.
 */
inline constexpr duration kLatePassThreshold = std::chrono::milliseconds(100);
/** A process that resumes handles all pending events, signals included, within this time. */
inline constexpr duration kResumeHandlingTime = std::chrono::milliseconds(50);

/** The forwarding daemon. */
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
    , mTrials(mState, mLink, mQuarantines.Link())
    , mPermits(mState, mLink)
    , mOrigins(mState, mStore, mLink)
    , mFollower(mState, mStore, mLink, [this](const caller_limits& aLimits) {
      mListener->State().mLimits = aLimits;
      mRelayListener->State().mLimits = aLimits;
    })
  {
    mState.mRelayPeers = [this] { return RelayPeers(); };
    mState.mReachLost = [this](const std::string& aService) {
      SpawnGuarded(mState.mIo, ProbeRunners(aService));
    };
    mState.mTellDaemons = [this](run_message aMessage) { mLink.Broadcast(std::move(aMessage)); };
    mState.mTellPlacers = [this](run_message aMessage) {
      mPlacers.SendToPlacers(std::move(aMessage));
    };
    mState.mReportCrash = [this](const crash_report& aReport) {
      mQuarantines.Link().NoteCrash(aReport);
    };
    mState.mReportAbandoned = [this](const crash_report& aRun) {
      mQuarantines.Link().NoteAbandoned(aRun);
    };
    mState.mReportUnexplainedLoss = [this](const crash_report& aLoss) {
      mQuarantines.Link().NoteUnexplainedLoss(aLoss);
    };
    mState.mTellRunnerEnded = [this](runner_site aSite) {
      mQuarantines.Link().NoteRunnerEnded(aSite);
    };
    mState.mReportServed = [this](request_fingerprint aRequest) {
      mQuarantines.Link().NoteServed(aRequest);
    };
    mState.mReportWentOn = [this](const part_set& aParts, instant aBegan) {
      mQuarantines.Link().NoteWentOn(aParts, aBegan);
    };
    mState.mAskPlacer = [this](place_request aQuestion, std::function<bool()> aGone) {
      return mPlacers.RequestPlace(std::move(aQuestion), std::move(aGone));
    };
  }

  /** Starts serving. */
  void Start()
  {
    mLastPassAt = mState.Now();
    mFollower.Start();
    mLink.Start([this] { return Ready(); });
    mPlacers.Start([this] { return Ready(); });
    mQuarantines.Start();
    mTrials.Start();
    mPermits.Start();
    mOrigins.Start();
    SpawnGuarded(mState.mIo, RunTablePasses());
    SpawnGuarded(mState.mIo, RunRolePasses());
  }

  /** Begins a graceful stop; the event loop ends when it's complete. */
  void Drain()
  {
    if (mState.mStopping) {
      return;
    }
    const instant now = mState.Now();
    const instant since = EarliestSignalTime(now);
    LogEvent(log_level::eInfo,
             "stopping",
             { { "open", mListener->State().mOpenConnections },
               { "late_ms", (now - since).count() / 1000 } });
    mState.mStopping = true;
    mOrigins.HandOver(); // Others stop asking this daemon as soon as it doesn't serve.
    // The signal arrived between `since` and `now`. New requests are refused as if it arrived at
    // `since`; no running request is cut before the last part of the limit even if it arrived at
    // `now`.
    const duration limit = mState.mSettings.mStopLimit;
    mState.mStopDeadline = std::max(since + limit - kStopMargin,
                                    now + limit - limit / kStopCutDivisor + kStopPollInterval);
    for (caller_listener* const listener : { mListener.get(), mRelayListener.get() }) {
      listener->State().mClosing = true;
      listener->State().mAcceptUntil = since + kBalancerRemovalDelay + 2 * kStopPollInterval;
    }
    SpawnGuarded(mState.mIo, FinishStop(since));
  }

  /** Applies the settings that may change at run time. */
  void Reload(const gateway_settings& aSettings)
  {
    if (mState.mSettings.mRetries != aSettings.mRetries) {
      mState.mSettings.mRetries = aSettings.mRetries;
      mState.mBudgets.clear(); // They begin anew, with nothing.
    }
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
        return Forward(std::move(aExchange), false);
      }));
    mListener->State().mMaxBodyBytes = settings.mMemoryBytes / kBodyMemoryDivisor;
    BOOST_OUTCOME_TRY(mRelayListener,
                      caller_listener::Open(mState.mIo,
                                            RelayEndpointOf(settings.mPeers),
                                            [this](caller_exchange_ptr aExchange) {
                                              return Forward(std::move(aExchange), true);
                                            }));
    mRelayListener->State().mMaxBodyBytes = settings.mMemoryBytes / kRelayedBodyMemoryDivisor;
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
    mState.mMetrics.SetLimits(LimitsByName());
    const std::string text = mState.mMetrics.Serialize(Gauges());
    const header_list noHeaders;
    co_await aExchange->Respond(200, text, noHeaders, "text/plain; version=0.0.4");
  }

  /** @return the limits that runners name, in requests a second, by runner. */
  std::map<std::string, double> LimitsByName() const
  {
    std::map<std::string, double> limits;
    for (const auto& [id, perSecond] : mState.mPermits.Limits().InForce()) {
      if (const runner_state* const runner = mState.mRunners.Find(id)) {
        limits[runner->mEntry.mName] = perSecond;
      }
    }
    return limits;
  }

  /** @return the current values of the gauges. */
  gateway_gauges Gauges()
  {
    gateway_gauges values;
    const instant now = mState.Now();
    const listener_state& sessions = mListener->State();
    values["ready"] = Ready() ? 1.0 : 0.0;
    values["config_version"] =
      mState.mRoutes ? static_cast<double>(mState.mRoutes->Config().mVersion) : 0.0;
    values["config_age_seconds"] = ToSeconds(now - mFollower.Config().InForceSince());
    values["runners_age_seconds"] = ToSeconds(mState.ListAge());
    values["store_bytes_in"] = static_cast<double>(mStore.BytesIn());
    values["config_read_seconds"] = ToSeconds(mFollower.Config().CurrentReadDuration());
    values["runner_entries_unreadable"] = static_cast<double>(mStore.UnreadableEntries());
    values["store_era"] = static_cast<double>(mState.mRunners.End().mEra);
    values["store_answers"] = mFollower.Contact().IsAnswering() ? 1.0 : 0.0;
    values["daemons"] = static_cast<double>(mState.mDaemons);
    values["generations"] = static_cast<double>(mState.mPlacement.RunCount());
    values["connections"] = static_cast<double>(sessions.mOpenConnections);
    values["requests_under_way"] = static_cast<double>(sessions.mActiveRequests);
    values["body_bytes"] = static_cast<double>(sessions.mBodyBytes);
    values["answer_bytes_held"] = static_cast<double>(mState.mHeldAnswers.Bytes());
    values["answers_over_memory"] = static_cast<double>(mState.mHeldAnswers.GivenUp());
    values["log_lines_dropped"] = static_cast<double>(mLogTotals.mDropped);
    values["log_bytes"] = static_cast<double>(mLogTotals.mBytes);
    values["requests_quarantined"] = static_cast<double>(mState.mCrashes.CountQuarantined(now));
    values["services_cut_off"] = static_cast<double>(
      std::count_if(mState.mReach.begin(), mState.mReach.end(), [](const auto& aRow) {
        return aRow.second.IsCut();
      }));
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

  /** @return the other daemons that accept calls and were heard lately: one that is suspended takes
   * connections, but a request waits there for as long as its time limit. */
  std::vector<relay_peer> RelayPeers() const
  {
    const instant since =
      mState.Now() - mLink.Members().SilenceTimeout() / kRelayPeerSilenceDivisor;
    std::vector<relay_peer> peers;
    for (const auto& [id, member] : mLink.Members().Others()) {
      if (member.mInfo.mServing && member.mLastHeardAt >= since) {
        peers.push_back(
          { RelayEndpointOf(member.mInfo.mAddress), member.mInfo.mHall == mState.mSettings.mHall });
      }
    }
    return peers;
  }

  /** Tries to connect to runners of a service until one takes a connection. */
  asio::awaitable<void> ProbeRunners(std::string aService)
  {
    if (!mProbedServices.insert(aService).second) {
      co_return; // A former cut is still being probed.
    }
    co_await ProbeUntilReached(aService);
    mProbedServices.erase(aService);
  }

  asio::awaitable<void> ProbeUntilReached(std::string aService)
  {
    while (mState.IsCutOff(aService)) {
      co_await Sleep(kReachProbeInterval);
      std::vector<const runner_state*> runners = mState.mRunners.RunnersOf(aService);
      std::erase_if(runners, [](const runner_state* aRunner) {
        return aRunner->mEntry.mRole == engine_role::ePrefill;
      });
      if (runners.empty()) {
        mState.NoteServiceReached(aService);
        co_return;
      }
      const auto which =
        static_cast<std::size_t>(mState.RandomFraction() * static_cast<double>(runners.size()));
      const endpoint at = runners[which]->mEntry.mAddress;
      const result<upstream_ptr> taken = co_await upstream_connection::Connect(at, kConnectTime);
      if (taken) {
        taken.value()->Abort();
        mState.NoteServiceReached(aService);
      }
    }
  }

  /** Refuses a request that was passed to nobody. @param aRelayed another daemon relays it. */
  asio::awaitable<void> RefuseUntouched(caller_exchange& aExchange,
                                        const std::string& aRequestId,
                                        bool aRelayed,
                                        duration aRetryAfter,
                                        std::string_view aReason)
  {
    if (!aRelayed) {
      co_await Refuse<Wire>(aExchange, aRequestId, 503, aRetryAfter, aReason);
      co_return;
    }
    co_await RefuseRelayed(aExchange, aReason);
  }

  /**
   * Finds out which software began the stream that a request goes on with.
   * @param aRelayed another daemon relays it, and names the software.
   * @return none within the result if any may run the request: it's no stream, or begins one; no
   * result if the software isn't known, so that no runner may go on with the stream.
   */
  asio::awaitable<std::optional<software_id>> FindSoftware(const http::fields& aHead,
                                                           const request_facts& aFacts,
                                                           const forward_route& aRoute,
                                                           const std::string& aService,
                                                           bool aRelayed)
  {
    const bool stream = aRoute.mRepeat == repeat_rule::eStream;
    software_id software;
    if (stream && aRelayed) {
      software = { ReadRelayNumber(aHead, kRelaySoftwareHeader) };
    } else if (stream && (aFacts.mLastEvent || !aFacts.mResumes.empty())) {
      software = co_await mState.mFindOrigin(aService, aFacts.mResumes);
    }
    std::optional<software_id> found;
    if (software || !stream || !aFacts.mLastEvent) { // Without a last event it begins anew.
      found = software;
    }
    co_return found;
  }

  /** Serves one request of a caller. @param aRelayed another daemon relays it. */
  asio::awaitable<void> Forward(caller_exchange_ptr aExchange, bool aRelayed)
  {
    const instant arrived = mState.Now();
    const request_facts facts = Wire::ReadRequest(aExchange->Request());
    // Checked once the request is complete. A request may arrive late on a connection that a
    // response from before the stop left open, pipelined behind another request, or with slow
    // bytes: the exit of the process would cut it, whereas a refused caller can go to another
    // daemon.
    const caller_listener& listener = aRelayed ? *mRelayListener : *mListener;
    if (listener.State().RefusesNewRequests(arrived)) {
      mState.mMetrics.CountRequest("none", "refused", "stopping");
      mState.LogDecision(log_level::eInfo, "not_taken", facts.mId, {});
      co_await RefuseUntouched(*aExchange, facts.mId, aRelayed, kStoppingRetryAfter, "stopping");
      co_return;
    }
    const instant startedBy = arrived + kStartupWait;
    while (!mFollower.Contact().Known() && mState.Now() < startedBy) {
      co_await Sleep(kStartupPollInterval);
    }
    if (!mFollower.Contact().Known()) {
      mState.mMetrics.CountRequest("none", "refused", "starting");
      mState.LogDecision(log_level::eWarning,
                         "not_started",
                         facts.mId,
                         { { "config_known", mState.mRoutes != nullptr } });
      co_await RefuseUntouched(*aExchange, facts.mId, aRelayed, kStartingRetryAfter, "starting");
      co_return;
    }
    const std::shared_ptr<const route_table> routes = mState.mRoutes;
    const http::fields& head = aExchange->Request();
    if (aRelayed && routes->Config().mVersion < ReadRelayNumber(head, kRelayConfigHeader)) {
      co_await RefuseRelayed(*aExchange, "older_config");
      co_return;
    }
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
    const forward_service* const service = routes->PickService(*route, mState.RandomFraction());
    if (service == nullptr) {
      co_await Refuse<Wire>(*aExchange, facts.mId, 503, kStartingRetryAfter, "no_service");
      co_return;
    }
    if (aRelayed && mState.ShouldRelay(service->mName)) {
      co_await RefuseRelayed(*aExchange, "cut_off_or_outdated");
      co_return;
    }
    const std::optional<software_id> software =
      co_await FindSoftware(head, facts, *route, service->mName, aRelayed);
    if (!software) {
      mState.mMetrics.CountRequest(route->mName, "refused", "unknown_software");
      mState.LogDecision(log_level::eWarning,
                         "stream_not_taken_up",
                         facts.mId,
                         { { "route", route->mName }, { "resumes", facts.mResumes } });
      co_await RefuseUntouched(
        *aExchange, facts.mId, aRelayed, kUnknownSoftwareRetryAfter, "unknown_software");
      co_return;
    }
    if (service->mEngines && route->mRepeat == repeat_rule::eStream) {
      generation_call<Wire> call(
        mState, aExchange, facts, routes, *route, *service, arrived, *software);
      co_await call.Run(!aRelayed);
    } else {
      plain_call<Wire> call(mState, aExchange, facts, routes, *route, *service, arrived, *software);
      co_await call.Run(!aRelayed);
    }
    if (aExchange->Disconnected()) {
      mState.mMetrics.CountRequest(route->mName, "left", "");
      mState.LogDecision(
        log_level::eInfo,
        "caller_left",
        facts.mId,
        { { "route", route->mName }, { "ms", (mState.Now() - arrived).count() / 1000 } });
    }
  }

  /**
   * @return the limit of idle connections to one runner, taken from the service that allows the
   * fewest.
   */
  std::size_t IdleConnectionLimit() const
  {
    std::size_t most = MaxIdleConnections(std::numeric_limits<std::uint32_t>::max(), 1);
    if (mState.mRoutes) {
      for (const auto& [name, service] : mState.mRoutes->Config().mServices) {
        most = std::min(most, MaxIdleConnections(service.mMaxConnections, mState.mDaemons));
      }
    }
    return most;
  }

  asio::awaitable<void> RunTablePasses()
  {
    for (;;) {
      const instant slept = mState.Now();
      mLastPassAt = slept;
      co_await Sleep(kTablePassInterval);
      const instant now = mState.Now();
      if (now - slept > kTablePassInterval + kLatePassThreshold) {
        mStallBegan = slept;
        mStallEnded = now;
      }
      if (now - slept > kTablePassInterval + kStallThreshold) {
        LogEvent(log_level::eWarning,
                 "stood_still",
                 { { "ms", (now - slept - kTablePassInterval).count() / 1000 } });
      }
      mState.NoteRunnersChanged(mState.mRunners.RemoveGone(now));
      mState.mPlacement.Prune(mState.mRunners, now);
      mState.mPool.Prune(now);
      mState.mRelayPool.Prune(now);
      mState.mRefused.Prune(now);
      mLink.DropSilent(now);
      mPlacers.UpdatePlacers(now - slept > kTablePassInterval + kLatePassThreshold);
      mState.mDaemons = mLink.Members().CountServing();
      mState.mPool.SetMaxIdle(IdleConnectionLimit());
      mFollower.Tick();
      mLogTotals = TickLogging();
    }
  }

  asio::awaitable<void> RunRolePasses()
  {
    co_await Sleep(kRolePlanInterval); // Lets messages of the other daemons arrive first.
    for (;;) {
      co_await Sleep(kRolePlanInterval);
      if (!Ready() || mFollower.Contact().HasFailedRecently()) {
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

  /**
   * @return the earliest time at which a signal handled at @p aNow may have arrived: a process that
   * was suspended handles it late, but the stop limit counts from the signal.
   */
  instant EarliestSignalTime(instant aNow) const
  {
    if (aNow - mLastPassAt > kTablePassInterval + kLatePassThreshold) {
      return mLastPassAt;
    }
    return aNow - mStallEnded < kResumeHandlingTime ? mStallBegan : aNow;
  }

  /**
   * Waits until the balancer no longer sends callers and the running requests have ended, then ends
   * the event loop.
   * @param aSince when the stop began.
   */
  asio::awaitable<void> FinishStop(instant aSince)
  {
    while (mState.Now() < mState.mStopDeadline) {
      co_await Sleep(kStopPollInterval);
      if (mState.Now() - aSince < kBalancerRemovalDelay) {
        continue;
      }
      bool idle = true;
      for (caller_listener* const listener : { mListener.get(), mRelayListener.get() }) {
        listener->StopAccepting();
        listener->CloseIdle(mState.Now() - kNextRequestTime);
        idle =
          idle && listener->State().mActiveRequests == 0 && listener->State().mIdleSince.empty();
      }
      if (idle) {
        break;
      }
    }
    mOrigins.HandOver();
    const std::size_t busy = co_await EndRunning(mState, [this] {
      return mListener->State().mActiveRequests + mRelayListener->State().mActiveRequests;
    });
    LogEvent(log_level::eInfo,
             "stopped",
             { { "busy", busy }, { "ms", (mState.Now() - aSince).count() / 1000 } });
    mState.mIo.stop();
  }

  /**
   * Longest time that a request waits for the first configuration: a later refusal is of no use to
   * the caller.
   */
  static constexpr duration kStartupWait = std::chrono::milliseconds(25);
  /** Time between checks for the first configuration. */
  static constexpr duration kStartupPollInterval = std::chrono::milliseconds(5);
  /**
   * Time after which a caller of a stopping daemon may retry at another one: the time to connect to
   * another data hall, with a reserve for a slow connection.
   */
  static constexpr duration kStoppingRetryAfter = std::chrono::milliseconds(50);
  /** Time after which the caller of a stream whose software isn't known may retry, elsewhere. */
  static constexpr duration kUnknownSoftwareRetryAfter = std::chrono::milliseconds(300);
  /** Time after which a caller of a starting daemon may retry. */
  static constexpr duration kStartingRetryAfter = std::chrono::milliseconds(500);

  forward_state mState;                       ///< State that all components share.
  Store mStore;                               ///< Store of configuration, runners and terms.
  role_controller<Wire, Store> mRoles;        ///< Assigns roles to engines.
  daemon_link mLink;                          ///< Messages to and from the other daemons.
  placer_link mPlacers;                       ///< Calls to the daemons that place generations.
  quarantine_store<Store> mQuarantines;       ///< Keeps requests that crash runners away from them.
  trial_link mTrials;                         ///< Trials of requests that may crash runners.
  permit_link mPermits;                       ///< Limits of runners, shared by all daemons.
  origin_store<Store> mOrigins;               ///< Which software began streams.
  store_follower<Store> mFollower;            ///< Follows changes in the store.
  std::unique_ptr<caller_listener> mListener; ///< Accepts callers.
  std::set<std::string> mProbedServices;      ///< Services that ProbeRunners() probes.
  std::unique_ptr<caller_listener> mRelayListener; ///< Accepts requests that daemons relay.
  std::unique_ptr<http_listener> mMetricsListener; ///< Serves the operators' metrics.
  std::unique_ptr<http_listener> mConfigListener;  ///< Serves the configuration to other daemons.
  std::unique_ptr<http_listener> mReadiness;       ///< Serves the balancer's readiness checks.
  log_totals mLogTotals;                           ///< Log totals as of the last pass.
  instant mLastPassAt{ 0 };                        ///< End of the last pass over the tables.
  instant mStallBegan{ 0 }; ///< Start of the last stall: the end of the pass before a late one.
  instant mStallEnded{ 0 }; ///< End of the last stall: when the late pass began.
};

} // namespace dunehook
