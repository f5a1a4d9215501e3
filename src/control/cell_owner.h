/**
 * @file cell_owner.h
 * The owner role: runs the placement cores of the cells that this daemon owns, sends their orders
 * to the frontends, and frees holds at engines for attempts that no caller waits for. Ownership is
 * only a hint: engines refuse work that doesn't fit. If two daemons own a cell for a moment, this
 * causes refusals, but never a wrong answer.
 */
#pragma once

#include "control/attempt_registry.h"
#include "control/host_directory.h"
#include "control/log_follower.h"
#include "decide/placement_core.h"
#include "runners/engine_client.h"

#include <map>
#include <memory>
#include <set>

namespace dunehook {

/** Runs the placement cores of the cells that this daemon owns. */
class cell_owner
{
public:
  cell_owner(asio::io_context& aIo,
             const log_follower& aLog,
             const host_directory& aHosts,
             const member_table& aMembers,
             peer_directory& aPeers,
             engine_client& aEngines,
             attempt_registry& aAttempts)
    : mIo(aIo)
    , mLog(aLog)
    , mHosts(aHosts)
    , mMembers(aMembers)
    , mPeers(aPeers)
    , mEngines(aEngines)
    , mAttempts(aAttempts)
  {
  }

  /** Starts the tick loop and the polling of engines. */
  void Start();
  /** Processes an event that a frontend sent. */
  void Handle(const cell_key& aKey, const decide_event& aEvent);
  /** Forgets an attempt that another daemon owns now. */
  void Forget(const cell_key& aKey, const attempt_id& aAttempt);
  /** Releases all attempts of a daemon process that ended. */
  void HandleDaemonGone(incarnation_id aIncarnation);
  /** Updates the settings and engines of every cell from the configuration and the host list. */
  void SyncAllCells();
  /** @return counters summed over the owned cells and those that were dropped. */
  cell_counters Totals() const;
  std::size_t CellCount() const { return mCells.size(); }

private:
  using core_type = placement_core<cost_chooser>;
  /** An owned cell. */
  struct cell_entry
  {
    explicit cell_entry(const cell_settings& aSettings, std::uint64_t aSeed)
      : mCore(aSettings, aSeed)
    {
    }
    core_type mCore;         ///< Makes the placement decisions.
    instant mLastOwned{ 0 }; ///< When this daemon last ranked first for the cell.
    /** Holds at engines for attempts that the core doesn't know, with the time first seen. */
    std::map<std::pair<engine_id, attempt_id>, instant> mUnknownHolds;
    std::map<engine_id, std::uint64_t>
      mNextCacheEvent; ///< Sequence number of the next cache event to read, by engine.
  };

  void SetTargets(request_arrived& aRequest) const;
  cell_entry& GetOrCreateCell(const cell_key& aKey);
  void SyncCell(const cell_key& aKey, cell_entry& aCell);
  void SyncEngines(cell_entry& aCell, const std::string& aPool, std::set<engine_id>& aSeen);
  void ApplyEvent(cell_entry& aCell, const decide_event& aEvent);
  void Dispatch(const tick_result& aResult);
  void DeliverOrder(const addressed_order& aOrder);
  asio::awaitable<void> SendOrder(addressed_order aOrder);
  asio::awaitable<void> CancelAt(endpoint aEngine, attempt_id aAttempt);
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> WatchLoop();
  /** One poll of an engine. @return whether the engine answered. */
  using engine_poll = asio::awaitable<bool> (cell_owner::*)(engine_id aEngine);
  /** Attempts that hold memory but that no cell knows, with the time since first seen. */
  using unknown_hold_ages = std::map<attempt_id, duration>;

  void StartEnginePolling();
  bool IsInOwnedCell(engine_id aEngine) const;
  asio::awaitable<void> PollEngine(engine_id aEngine,
                                   engine_poll aPoll,
                                   std::set<engine_id>& aPolled);
  asio::awaitable<bool> PollHolds(engine_id aEngine);
  void ReportHolds(cell_entry& aCell,
                   engine_id aEngine,
                   const std::vector<engine_hold>& aHolds,
                   unknown_hold_ages& aUnknownHolds);
  asio::awaitable<void> FreeAbandonedHolds(engine_id aEngine,
                                           endpoint aAddress,
                                           unknown_hold_ages aUnknownHolds);
  asio::awaitable<result<bool>> IsAbandoned(attempt_id aAttempt, duration aAge);
  asio::awaitable<bool> PollCacheEvents(engine_id aEngine);
  asio::awaitable<bool> ReadCacheEvents(cell_key aKey, engine_id aEngine, endpoint aAddress);
  void DropUnownedCells();
  static void AddCounters(cell_counters& aTo, const cell_counters& aFrom);
  static instant Now() { return boot_clock_source().Now(); }

  asio::io_context& mIo;                                  ///< Runs the loops.
  const log_follower& mLog;                               ///< Configuration in force.
  const host_directory& mHosts;                           ///< Runners.
  const member_table& mMembers;                           ///< Daemons.
  peer_directory& mPeers;                                 ///< Carries orders.
  engine_client& mEngines;                                ///< Carries cancels.
  attempt_registry& mAttempts;                            ///< Attempts of this daemon.
  std::map<cell_key, std::unique_ptr<cell_entry>> mCells; ///< Owned cells.
  cell_counters mDroppedCellTotals;                       ///< Counters of dropped cells.
  std::set<engine_id> mHoldsPolled;                       ///< Engines whose holds are polled.
  std::set<engine_id> mCachePolled;                       ///< Engines whose cache is polled.
  std::set<engine_id> mFreeing;                           ///< Engines whose holds are being freed.
};

} // namespace dunehook
