/**
 * @file owner_router.h
 * The frontend's side of ownership: brings events to the owner of a cell, and tells a new owner
 * what is under way when the old one is gone.
 */
#pragma once

#include "control/cell_owner.h"

namespace dunehook {

/** Brings events to owners. */
class owner_router
{
public:
  owner_router(asio::io_context& aIo,
               member_table& aMembers,
               peer_directory& aPeers,
               cell_owner& aOwner,
               attempt_registry& aAttempts)
    : mIo(aIo)
    , mMembers(aMembers)
    , mPeers(aPeers)
    , mOwner(aOwner)
    , mAttempts(aAttempts)
  {
  }

  /** Starts watching for changes of owners. */
  void Start() { Spawn(mIo, WatchLoop()); }

  /**
   * Brings an event to its cell's owner, trying the next in rank if one can't be reached.
   * @return nothing, or eNoRunner if no owner could be reached.
   */
  asio::awaitable<result<void>> Send(cell_key aKey, decide_event aEvent);

  /** @return the cells that this daemon owns. */
  const cell_owner& OwnedCells() const { return mOwner; }

private:
  asio::awaitable<void> WatchLoop();
  asio::awaitable<void> AnnounceToNewOwner(attempt_id aAttempt);
  /** Tells an owner what has become of an attempt since it was told of it: what was sent meanwhile
   * may have come before, and is dropped for an attempt that isn't known.
   * @param aReportedStage stage that it was told. */
  asio::awaitable<void> SendMissedChanges(cell_key aKey,
                                          attempt_id aAttempt,
                                          request_stage aReportedStage);

  asio::io_context& mIo;       ///< Runs the loop.
  member_table& mMembers;      ///< Says who owns.
  peer_directory& mPeers;      ///< Carries events.
  cell_owner& mOwner;          ///< This daemon's own cells.
  attempt_registry& mAttempts; ///< Attempts under way.
};

} // namespace dunehook
