/**
 * @file forward_state.h
 * State that the components of a forwarding daemon share: configuration, runners, runs, connections
 * and retry budgets. Everything is used on one thread.
 */
#pragma once

#include "limits/permit_broker.h"
#include "limits/return_slots.h"
#include "messages/run_message.h"
#include "placement/placement_queue.h"
#include "placement/refused_table.h"
#include "routing/route_table.h"
#include "runners/reach_watch.h"
#include "runners/upstream_connection.h"
#include "state/gateway_metrics.h"
#include "state/gateway_settings.h"
#include "state/held_answers.h"
#include "state/limit_log.h"
#include "state/memory_share.h"

#include "core/log_func.h"
#include "quarantine/crash_ledger.h"

#include <memory>
#include <random>

namespace dunehook {

/**
 * Asks a daemon that places generations. The second argument tells whether the caller has
 * disconnected; an empty result means that this daemon chooses by itself.
 */
using ask_placer_callback =
  std::function<asio::awaitable<std::optional<place_reply>>(place_request, std::function<bool()>)>;

/** Gets a permit, or eRunnerRefused if the runner's limit leaves none now. */
using take_permit_callback = std::function<asio::awaitable<result<send_permit>>(permit_demand)>;

/** Gets the right to sends beyond the first; false if the retry budget leaves none. */
using take_retries_callback = std::function<asio::awaitable<bool>(retry_demand)>;

/** Finds out which software began the stream that a request goes on with; none if it isn't known.
 */
using find_origin_callback =
  std::function<asio::awaitable<software_id>(std::string aService, std::string aAttempt)>;

/** Asks the daemon that grants trials of suspected requests. */
using request_trial_callback = std::function<asio::awaitable<trial_reply>(trial_request)>;

/** Time between attempts to connect to a service whose runners aren't reached. */
inline constexpr duration kReachProbeInterval = std::chrono::milliseconds(200);

/** Part of a leaving runner's time that a request needs to reach it, and that a report may have
 * spent on a full link. */
inline constexpr duration kLeaveMargin = std::chrono::milliseconds(300);
/** Other daemons' word that the store is silent counts for this long; longer than the time between
 * reads that fail. */
inline constexpr duration kStoreSilenceLifetime = std::chrono::milliseconds(2500);

/** A daemon that may relay requests. */
struct relay_peer
{
  endpoint mAddress;      ///< Where it takes relayed requests.
  bool mSameHall = false; ///< It's in this daemon's data hall.
};

/** The shared state of a forwarding daemon. */
struct forward_state
{
  forward_state(asio::io_context& aIo, gateway_settings aSettings)
    : mIo(aIo)
    , mSettings(std::move(aSettings))
    , mHeldAnswers(mSettings.mMemoryBytes / kHeldAnswerMemoryDivisor)
    , mPlacement(mSettings.mPlacement)
    , mPlaceQueue(mPlacement,
                  mRunners,
                  mRefused,
                  [this](const std::string& aService) { return TraitsOf(aService); })
    , mRandom(std::random_device{}())
  {
  }

  instant Now() const { return boot_clock_source{}.Now(); }
  /** @return whether the time limit of a graceful stop has passed: nothing is begun any more. */
  bool IsStopOver() const { return mStopping && Now() >= mStopDeadline; }
  /** @return the time until a request's deadline; none once a graceful stop is over. */
  duration TimeLeft(instant aDeadline) const
  {
    return IsStopOver() ? std::min(duration{ 0 }, aDeadline - Now()) : aDeadline - Now();
  }
  /** @return a random number from 0 to below 1. */
  double RandomFraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }
  /** @return this daemon's retry budget for a service. */
  retry_budget& BudgetOf(const std::string& aService)
  {
    return mBudgets.try_emplace(aService, mSettings.mRetries).first->second;
  }

  /**
   * Logs a decision about a request, with the versions of the configuration and the runner list
   * that it's based on.
   * @param aLevel eInfo for a good outcome, eWarning for a failure or refusal.
   */
  void LogDecision(log_level aLevel,
                   std::string_view aEvent,
                   const std::string& aRequest,
                   nlohmann::json aFields) const
  {
    aFields["request"] = aRequest;
    aFields["config"] = mRoutes ? mRoutes->Config().mVersion : 0;
    aFields["runners_at"] = mRunners.End().mOffset;
    aFields["runners_age_ms"] = ListAge().count() / 1000;
    LogEvent(aLevel, aEvent, std::move(aFields));
  }

  /**
   * @return the traits of a service's engines, or nothing if the service is unknown or has none.
   */
  std::optional<engine_traits> TraitsOf(const std::string& aService) const
  {
    if (!mRoutes) {
      return std::nullopt;
    }
    const auto& services = mRoutes->Config().mServices;
    const auto found = services.find(aService);
    return found == services.end() ? std::nullopt : found->second.mEngines;
  }

  /** Records that a runner answered this daemon or took a connection. */
  void NoteReached(service_runner_id aRunner)
  {
    const runner_state* const runner = mRunners.Find(aRunner);
    if (runner == nullptr) {
      return;
    }
    const std::string& service = runner->mEntry.mService;
    if (runner->mEntry.mRole != engine_role::ePrefill) {
      NoteServiceReached(service);
    } else if (const auto watch = mReach.find(service); watch != mReach.end()) {
      watch->second.NotePrefillReached(aRunner);
    }
  }

  void NoteServiceReached(const std::string& aService)
  {
    const auto watch = mReach.find(aService);
    if (watch != mReach.end() && watch->second.NoteReached()) {
      LogEvent(log_level::eInfo, "runners_reached", { { "service", aService } });
    }
  }

  /** Records that a runner took no connection of this daemon, or gave no answer to a side call. */
  void NoteUnreachable(service_runner_id aRunner)
  {
    const runner_state* const runner = mRunners.Find(aRunner);
    if (runner == nullptr || runner->mGone) {
      return;
    }
    const std::string service = runner->mEntry.mService;
    const engine_role role = runner->mEntry.mRole;
    const std::size_t runners = mRunners.CountRunners(
      service, role == engine_role::ePrefill ? std::nullopt : std::optional(role), Now());
    if (mReach[service].NoteUnreachable(aRunner, runners, Now())) {
      LogEvent(log_level::eWarning,
               "runners_unreachable",
               { { "service", service }, { "last", runner->mEntry.mName } });
      mReachLost(service);
    }
  }

  /** Records that a runner is reported to have crashed, by this or another daemon. */
  void NoteCrashed(runner_site aSite)
  {
    for (const auto& [id, runner] : mRunners.Rows()) {
      if (SiteAt(runner.mEntry.mAddress) == aSite) {
        mRunners.NoteCrashed(id);
      }
    }
  }

  /** @return whether this daemon reaches no runner of a service now. */
  bool IsCutOff(const std::string& aService) const
  {
    const auto watch = mReach.find(aService);
    return watch != mReach.end() && watch->second.IsCut();
  }

  /** @return the time since the read began that found this list of runners. */
  duration ListAge() const { return Now() - mRunners.CurrentAt(); }

  /** @return for how long after a read of the runners requests may be sent by its result: a runner
   * that leaves right after the read is out of time then. */
  duration MaxListAge() const { return mSettings.mLeaveTime - kLeaveMargin; }

  /** @return whether the list of runners will be older than that in @p aSoon, while others may have
   * a newer one. If the store answers nobody, nobody has. */
  bool IsListOutdated(duration aSoon = duration{ 0 }) const
  {
    const bool isSilent =
      mPeerStoreSilentAt != instant{ 0 } && Now() - mPeerStoreSilentAt < kStoreSilenceLifetime;
    return !isSilent && ListAge() + aSoon > MaxListAge();
  }

  /** @return whether another daemon should serve requests to a service: this one reaches no runner,
   * or may not know which ones have left. */
  bool ShouldRelay(const std::string& aService) const
  {
    return IsListOutdated() || IsCutOff(aService);
  }

  /** @return whether a run that was placed before may be sent to its engine. One that leaves is
   * sent to while it certainly has time left: the prompt has been read. */
  bool MayHandOff(const runner_state& aEngine) const
  {
    const instant now = Now();
    const std::optional<instant> left = runner_table::MayHaveLeftAt(aEngine);
    return now >= aEngine.mPausedUntil && (!left || now - *left < MaxListAge());
  }

  /** @return whether this daemon may be why a request to a service found no runner. */
  bool MayBeCutOff(const std::string& aService) const
  {
    const auto watch = mReach.find(aService);
    return watch != mReach.end() && (watch->second.IsCut() || watch->second.HasFailedLately(Now()));
  }

  /**
   * Records the outcome of a send to an engine, here and at the daemons that place.
   * @param aMore message to them to which the outcome is added.
   */
  void NoteEngine(service_runner_id aEngine, send_outcome aOutcome, run_message aMore = {})
  {
    mRunners.NoteOutcome(aEngine, aOutcome, Now());
    aMore.mOutcomes.push_back({ aEngine, aOutcome });
    mTellPlacers(std::move(aMore));
  }

  /**
   * Records what a runner stated about itself in a response, and logs it if it's new. A leave is
   * sent to all daemons: otherwise each would learn of it only by sending the runner a request, and
   * a request that arrives after the runner's leave time is lost.
   */
  void NoteNotice(service_runner_id aRunner, const runner_notice& aNotice)
  {
    if (aNotice == runner_notice{}) {
      return;
    }
    mMetrics.CountNotice(aNotice.mLeaves ? "leaves" : "wants_nothing");
    const runner_state* const runner = mRunners.Find(aRunner);
    const bool wantsPause = aNotice.mWantsNothingFor > duration{ 0 };
    if (runner == nullptr || (runner->mDraining && !wantsPause)) {
      return;
    }
    LogEvent(log_level::eInfo,
             "runner_notice",
             { { "runner", runner->mEntry.mName },
               { "leaves", aNotice.mLeaves },
               { "wants_nothing_ms", aNotice.mWantsNothingFor.count() / 1000 },
               { "known_to_leave", runner->mDraining } });
    if (wantsPause) {
      mRunners.NotePause(aRunner, Now() + aNotice.mWantsNothingFor);
    }
    if (aNotice.mLeaves && mRunners.NoteLeaves(aRunner)) {
      NoteRunnersChanged({ aRunner });
      run_message message;
      message.mLeaving.push_back(aRunner);
      mTellDaemons(std::move(message));
    }
  }

  /** Records what an answer says about its runner's limit, and tells the daemons concerned. */
  void NoteLimit(const limit_observation& aObservation)
  {
    const service_runner_id runner = aObservation.mRunner;
    const runner_state* const known = mRunners.Find(runner);
    if (known == nullptr) {
      return;
    }
    limit_table& limits = mPermits.Limits();
    limit_change change = limit_change::eNone;
    if (aObservation.mLimit.mReport == limit_report::eNamed) {
      mMetrics.CountNotice("limit");
      change =
        limits.NoteNamed(runner, aObservation.mLimit.mPerSecond, aObservation.mSentAt, Now());
    } else if (aObservation.mLimit.mReport == limit_report::eUnreadable) {
      mLimitLog.NoteUnreadable(runner, known->mEntry.mName);
    } else if (aObservation.mOwnAnswer) {
      change = limits.NoteNotNamed(runner, aObservation.mSentAt, Now());
    }
    mLimitLog.Note(runner, known->mEntry.mName, change, limits.LimitOf(runner));
    if (change != limit_change::eNone) {
      mTellLimit(runner, change);
    }
  }

  /** Applies what another daemon knows of a runner's limit. */
  void ApplyLimit(const limit_notice& aNotice)
  {
    if (const runner_state* const known = mRunners.Find(aNotice.mRunner)) {
      const limit_change change = mPermits.Limits().Apply(aNotice, Now());
      mLimitLog.Note(
        aNotice.mRunner, known->mEntry.mName, change, mPermits.Limits().LimitOf(aNotice.mRunner));
    }
  }

  /**
   * @param aSoftware only runners of this version of the software; none: of any.
   * @return when the first runner of a service accepts requests of this rank from this daemon, as
   * far as runners have asked for pauses and limits leave permits; in the past if one accepts them.
   * @pre the service has such a runner, see runner_table::HasRunner().
   */
  instant AcceptsRequestsFrom(const std::string& aService,
                              std::uint32_t aRank,
                              software_id aSoftware = {}) const
  {
    return mRunners.AcceptsRequestsFrom(aService, mPermits.Held(aRank, Now()), aSoftware);
  }

  /**
   * @return whether a limit keeps requests of this rank from a runner of the service that could
   * serve them otherwise.
   */
  bool IsHeldByLimit(const std::string& aService, std::uint32_t aRank) const
  {
    const held_runners held = mPermits.Held(aRank, Now());
    return std::any_of(held.begin(), held.end(), [&](const auto& aRow) {
      const runner_state* const runner = mRunners.Find(aRow.first);
      return runner != nullptr && runner->mEntry.mService == aService &&
             mRunners.MayReceive(*runner, Now());
    });
  }

  /** Records that an engine granted a reservation, to this or another daemon. */
  void NoteReserved(service_runner_id aDecode)
  {
    mPlacement.NoteRoom(aDecode);
    mRunners.NoteReached(aDecode);
  }

  /**
   * Logs a store rollback: the runner list is about to be replaced by that of a store restored from
   * an older copy.
   * @param aEra store era of the new list.
   * @return whether it is.
   */
  bool LogStoreRollback(std::uint64_t aEra) const
  {
    const store_mark& known = mRunners.End();
    if (known == store_mark{} || aEra <= known.mEra) {
      return false;
    }
    LogEvent(log_level::eWarning,
             "store_went_back",
             { { "era", aEra }, { "former_era", known.mEra }, { "position", known.mOffset } });
    return true;
  }

  /** Logs each runner that changed, and closes the connections to those that are gone. */
  void NoteRunnersChanged(const std::vector<service_runner_id>& aChanged)
  {
    for (const service_runner_id id : aChanged) {
      const runner_state* const runner = mRunners.Find(id);
      if (runner == nullptr) {
        continue;
      }
      LogEvent(log_level::eInfo,
               "runner_changed",
               { { "runner", runner->mEntry.mName },
                 { "service", runner->mEntry.mService },
                 { "address", ToText(runner->mEntry.mAddress) },
                 { "began_ms", runner->mEntry.mBorn },
                 { "listed", runner->mListed },
                 { "leaving", runner->mDraining },
                 { "gone", runner->mGone },
                 { "role", RoleName(runner->mEntry.mRole) },
                 { "software", runner->mEntry.mSoftware },
                 { "position", mRunners.End().mOffset } });
      const runner_state* const newest = mRunners.FindNamed(runner->mEntry.mName);
      if (newest != nullptr && newest->mEntry.mBorn > runner->mEntry.mBorn) {
        LogEvent(log_level::eWarning,
                 "runner_reborn",
                 { { "runner", runner->mEntry.mName },
                   { "began_ms", newest->mEntry.mBorn },
                   { "former_ms", runner->mEntry.mBorn },
                   { "under_way", runner->mUnderWay } });
      }
      if (runner->mGone) {
        mPool.Drop(runner->mEntry.mAddress);
        mSideCalls.Drop(runner->mEntry.mAddress);
        if (!runner->mDraining && mTellRunnerEnded) {
          mTellRunnerEnded(SiteAt(runner->mEntry.mAddress));
        }
      }
    }
  }

  asio::io_context& mIo;                      ///< Event loop of the daemon.
  gateway_settings mSettings;                 ///< Settings of this daemon.
  held_answers mHeldAnswers;                  ///< Answers of runners that aren't whole yet.
  std::shared_ptr<const route_table> mRoutes; ///< Null until a configuration is known.
  runner_table mRunners;                      ///< All runners.
  refused_table mRefused;                     ///< Prompts that any daemon refused recently.
  placement_table mPlacement;  ///< Runs of all daemons and forecasts of engines' memory.
  placement_queue mPlaceQueue; ///< Waiting placement requests of all daemons, if this one places.
  crash_ledger mCrashes;       ///< Requests that crash runners.
  permit_broker mPermits;      ///< Limits that runners name, and the permits to send to them.
  limit_log mLimitLog;         ///< Log lines about the limits.
  gateway_metrics mMetrics;    ///< Counters and histograms.
  upstream_pool mPool;         ///< Connections to runners, for requests.
  http_pool mSideCalls;        ///< Connections to runners, for side calls.
  upstream_pool mRelayPool;    ///< Connections to daemons that relay.
  std::map<std::string, reach_watch> mReach; ///< Evidence by service, of those that failed.
  /** When daemons refused relayed requests, by service. */
  std::map<std::string, std::map<endpoint, instant>> mRelayRefusals;
  std::map<std::string, retry_budget> mBudgets; ///< Retry budget of each service.
  std::mt19937_64 mRandom;                      ///< Source of RandomFraction().
  store_position mPeerStorePosition; ///< Newest store position that another daemon reported.
  instant mPeerStorePositionAt{ 0 }; ///< When mPeerStorePosition was reported.
  instant mPeerStoreSilentAt{ 0 };   ///< When another daemon last reported the store as silent.
  std::size_t mDaemons = 1;          ///< Known daemons that serve callers.
  bool mStopping = false;            ///< A graceful stop is in progress.
  instant mStopDeadline{ 0 };        ///< Time limit of the graceful stop.
  std::function<void(run_message)> mTellDaemons;             ///< Sends to all other daemons.
  std::function<void(run_message)> mTellPlacers;             ///< Sends to the daemons that place.
  std::function<void(const crash_report&)> mReportCrash;     ///< Records and sends a crash report.
  std::function<void(const crash_report&)> mReportAbandoned; ///< Records a run whose caller left.
  /** Records a lost connection that may be due to a cut of this daemon. */
  std::function<void(const crash_report&)> mReportUnexplainedLoss;
  std::function<void(runner_site)> mTellRunnerEnded;      ///< A runner ended without a shutdown.
  std::function<void(request_fingerprint)> mReportServed; ///< Records a completed request.
  std::function<void(const part_set&, instant)> mReportWentOn; ///< Records a run that went on.
  request_trial_callback mRequestTrial;                        ///< Asks for a trial.
  std::function<void(const trial_request&)> mKeepTrial; ///< Tells which runners a trial uses.
  std::function<std::vector<relay_peer>()> mRelayPeers; ///< @return daemons that may relay.
  std::function<void(const std::string&)> mReachLost;   ///< Starts to probe for a service.
  ask_placer_callback mAskPlacer;                       ///< Asks a daemon that places.
  take_permit_callback mTakePermit;                     ///< Gets the right to send to a runner.
  take_retries_callback mTakeRetries;                   ///< Gets the right to send once more.
  find_origin_callback mFindOrigin;                     ///< Finds which software began a stream.
  /** Keeps, here and at other daemons, which software began the stream of an attempt. */
  std::function<void(const std::string& aService, const std::string& aAttempt, software_id)>
    mNoteOrigin;
  std::function<send_permit(service_runner_id)> mChargePermit; ///< The same for calls that free.
  /** Tells other daemons of a limit that has changed. */
  std::function<void(service_runner_id, limit_change)> mTellLimit;
  std::map<std::string, return_slots> mLimitReturns; ///< Returns of refused callers, by service.
};

} // namespace dunehook
