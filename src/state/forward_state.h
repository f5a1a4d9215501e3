/**
 * @file forward_state.h
 * What the parts of a forwarding daemon share: configuration, runners, runs, connections, budgets.
 * All of it is used on one thread.
 */
#pragma once

#include "messages/run_message.h"
#include "placement/placement_queue.h"
#include "placement/refused_table.h"
#include "routing/route_table.h"
#include "runners/upstream_connection.h"
#include "state/gateway_metrics.h"
#include "state/gateway_settings.h"

#include "core/log_func.h"
#include "quarantine/crash_ledger.h"

#include <memory>
#include <random>

namespace dunehook {

/** Asks a daemon that places. The second argument tells whether the caller has left; no answer
 * means that this daemon decides by itself. */
using ask_placer_callback =
  std::function<asio::awaitable<std::optional<place_reply>>(place_question, std::function<bool()>)>;

/** The shared state. */
struct forward_state
{
  forward_state(asio::io_context& aIo, gateway_settings aSettings)
    : mIo(aIo)
    , mSettings(std::move(aSettings))
    , mPlacement(mSettings.mPlacement)
    , mPlaceQueue(mPlacement,
                  mRunners,
                  mRefused,
                  [this](const std::string& aService) { return TraitsOf(aService); })
    , mRandom(std::random_device{}())
  {
  }

  instant Now() const { return boot_clock_source{}.Now(); }
  /** @return a random number from 0 up to 1. */
  double RandomFraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }
  /** @return this daemon's budget of repeats for a service. */
  retry_budget& BudgetOf(const std::string& aService)
  {
    const auto daemons = static_cast<double>(mMaxDaemonsHeard);
    return mBudgets.try_emplace(aService, mSettings.mRetries, daemons).first->second;
  }

  /**
   * Writes a line on a decision that touches a request, with the versions that it rests on.
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
    aFields["runners_age_ms"] = (Now() - mRunnersReadAt).count() / 1000;
    LogEvent(aLevel, aEvent, std::move(aFields));
  }

  /** @return the traits of a service's engines, or nothing if it's not known or has none. */
  std::optional<engine_traits> TraitsOf(const std::string& aService) const
  {
    if (!mRoutes) {
      return std::nullopt;
    }
    const auto& services = mRoutes->Config().mServices;
    const auto found = services.find(aService);
    return found == services.end() ? std::nullopt : found->second.mEngines;
  }

  /** Notes how a send to an engine ended, here and at the daemons that place.
   * @param aMore what they are told beside. */
  void NoteEngine(service_runner_id aEngine, send_outcome aOutcome, run_message aMore = {})
  {
    mRunners.NoteOutcome(aEngine, aOutcome, Now());
    aMore.mOutcomes.push_back({ aEngine, aOutcome });
    mTellPlacers(std::move(aMore));
  }

  /** Notes what a runner said of itself in an answer, and writes a line if that's news. A leave is
   * told to all daemons: without it each would send the runner a request to learn of it, and one
   * that comes after the runner's time to leave is lost. */
  void NoteNotice(service_runner_id aRunner, const runner_notice& aNotice)
  {
    if (aNotice == runner_notice{}) {
      return;
    }
    mMetrics.CountNotice(aNotice.mLeaves ? "leaves" : "wants_nothing");
    const runner_state* const runner = mRunners.Find(aRunner);
    const bool rests = aNotice.mWantsNothingFor > duration{ 0 };
    if (runner == nullptr || (runner->mDraining && !rests)) {
      return;
    }
    LogEvent(log_level::eInfo,
             "runner_notice",
             { { "runner", runner->mEntry.mName },
               { "leaves", aNotice.mLeaves },
               { "wants_nothing_ms", aNotice.mWantsNothingFor.count() / 1000 },
               { "known_to_leave", runner->mDraining } });
    if (rests) {
      mRunners.NoteQuiet(aRunner, Now() + aNotice.mWantsNothingFor);
    }
    if (aNotice.mLeaves && mRunners.NoteLeaves(aRunner)) {
      NoteRunnersChanged({ aRunner });
      run_message message;
      message.mLeaving.push_back(aRunner);
      mTellDaemons(std::move(message));
    }
  }

  /** Notes that an engine has reserved a place, here or for another daemon. */
  void NoteReserved(service_runner_id aDecode)
  {
    mPlacement.NoteRoom(aDecode);
    mRunners.NoteReached(aDecode);
  }

  /** Writes a line if the runners' list is about to be that of a store that came back from an older
   * copy. @param aEra of the list. @return whether it is. */
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

  /** Writes a line on each runner that changed, and ends what is kept for one that is gone. */
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
                 { "role", RoleName(runner->mEntry.mRole) },
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
      }
    }
  }

  /** Notes how many daemons are heard. One that is cut off hears few, so the most ever heard count.
   */
  void NoteDaemons(std::size_t aHeard)
  {
    mDaemons = aHeard;
    if (aHeard > mMaxDaemonsHeard) {
      mMaxDaemonsHeard = aHeard;
      for (auto& [service, budget] : mBudgets) {
        budget.SetDaemons(static_cast<double>(mMaxDaemonsHeard));
      }
    }
  }

  /** The allowance is split among at least so many: a daemon that starts hears nobody yet. */
  static constexpr std::size_t kMinBudgetDaemons = 8;

  asio::io_context& mIo;                        ///< Runs everything.
  gateway_settings mSettings;                   ///< From the settings source.
  std::shared_ptr<const route_table> mRoutes;   ///< Null until a configuration is known.
  runner_table mRunners;                        ///< All runners.
  refused_table mRefused;                       ///< Prompts refused by any daemon.
  placement_table mPlacement;                   ///< All generations.
  placement_queue mPlaceQueue;                  ///< Places for all daemons, if this one is asked.
  crash_ledger mCrashes;                        ///< Requests that crash runners.
  gateway_metrics mMetrics;                     ///< Counters and histograms.
  instant mRunnersReadAt{ 0 };                  ///< When the runners were last read, or told.
  upstream_pool mPool;                          ///< Connections to runners, for requests.
  http_pool mSideCalls;                         ///< Connections to runners, for side calls.
  std::map<std::string, retry_budget> mBudgets; ///< By service.
  std::mt19937_64 mRandom;                      ///< Spreads choices and times.
  store_position mPeerStorePosition;            ///< Newest that another daemon told.
  instant mPeerStorePositionAt{ 0 };            ///< When it was told.
  instant mPeerStoreSilentAt{ 0 };              ///< When another told that the store is silent.
  bool mStoreRecentlyUnavailable = false;       ///< The store was away for this daemon lately.
  std::size_t mMaxDaemonsHeard = kMinBudgetDaemons; ///< The most ever heard, or kMinBudgetDaemons.
  std::size_t mDaemons = 1;                         ///< Daemons that take callers, as known.
  bool mStopping = false;                           ///< A planned stop is under way.
  instant mStopDeadline{ 0 };                       ///< End of the planned stop.
  std::function<void(run_message)> mTellDaemons;    ///< Tells the other daemons.
  std::function<void(run_message)> mTellPlacers;    ///< Tells those that place.
  std::function<void(const crash_report&)> mReportCrash;  ///< Notes a crash and tells of it.
  std::function<void(request_fingerprint)> mReportServed; ///< Notes a request as served whole.
  ask_placer_callback mAskPlacer;                         ///< Asks one that places.
};

} // namespace dunehook
