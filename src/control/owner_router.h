/**
 * @file owner_router.h
 * The frontend's side of ownership: sends events to the owner of a cell, and announces the attempts
 * in progress to a new owner when the owner changes.
 */
#pragma once

#include "control/cell_owner.h"

namespace dunehook {

/** Sends events to the owners of cells. */
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

  /** Starts the check for changes of owners. */
  void Start() { Spawn(mIo, WatchLoop()); }

  /**
   * Sends an event to its cell's owner, or to the next in rank if the owner can't be reached.
   * @return nothing, or eNoRunner if no owner could be reached.
   */
  asio::awaitable<result<void>> Send(cell_key aKey, decide_event aEvent);

  /** @return the cells that this daemon owns. */
  const cell_owner& OwnedCells() const { return mOwner; }

private:
  /** A daemon that knows an attempt which another one owns now. */
  struct former_owner
  {
    incarnation_id mOwner; ///< The daemon.
    cell_key mCell;        ///< The attempt's cell.
    attempt_id mAttempt;   ///< The attempt.
    instant mUntil{ 0 };   ///< It's told until then.
  };

  /** Notes which daemon an event of an attempt goes to. If it's another one than before, that one
   * is told to forget the attempt: it would hold engines for it for good. */
  void NoteOwner(const attempt_id& aAttempt, const member_info& aOwner, const decide_event& aEvent);
  /** Tells former owners, those that aren't reached again later. */
  asio::awaitable<void> TellFormerOwners();
  /** @return whether a former owner has been told, or needn't be. */
  asio::awaitable<bool> TellFormerOwner(former_owner aFormer);
  asio::awaitable<void> WatchLoop();
  asio::awaitable<void> AnnounceToNewOwner(attempt_id aAttempt);
  /** Sends an owner the changes of an attempt since it was announced. Events sent meanwhile may
   * have arrived before the announcement, and an owner drops events of unknown attempts.
   * @param aReportedStage stage that was announced. */
  asio::awaitable<void> SendMissedChanges(cell_key aKey,
                                          attempt_id aAttempt,
                                          request_stage aReportedStage);

  asio::io_context& mIo;                   ///< Runs the loop.
  member_table& mMembers;                  ///< Chooses the owner of a cell.
  peer_directory& mPeers;                  ///< Carries events.
  cell_owner& mOwner;                      ///< This daemon's own cells.
  attempt_registry& mAttempts;             ///< Attempts in progress.
  std::vector<former_owner> mFormerOwners; ///< To be told; each for kFormerOwnerTime at most.
};

} // namespace dunehook
