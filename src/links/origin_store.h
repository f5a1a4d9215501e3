/**
 * @file origin_store.h
 * Marks services in the store whose runners have had several versions of their software lately, in
 * case all daemons stop. A daemon that has just started doesn't know which versions served before;
 * where a service isn't marked, the one version that it finds began all streams.
 */
#pragma once

#include "links/origin_link.h"
#include "messages/wire_type.h"

namespace dunehook {

/** Time between passes over the services. It is short beside the time for which runners of two
 * versions serve. */
inline constexpr duration kSoftwareMarkInterval = std::chrono::milliseconds(500);
/** Daemons that keep the marks, the first ones by rank; more than one in case the first is cut off.
 */
inline constexpr std::size_t kSoftwareMarkers = 2;
/** A read of the marks serves all requests for this long, so that the callers who return after a
 * loss of all daemons don't all read the store. */
inline constexpr duration kSoftwareMarksLifetime = std::chrono::milliseconds(500);

/** Keeps the marks, and reads them for streams that nobody has a record of. */
template<control_store Store>
class origin_store
{
public:
  origin_store(forward_state& aState, Store& aStore, daemon_link& aLink)
    : mState(aState)
    , mStore(aStore)
    , mDaemons(aLink)
    , mLink(aState, aLink)
    , mReadEnded(aState.mIo)
  {
    mState.mFindOrigin = [this](std::string aService, std::string aAttempt) {
      return Find(std::move(aService), std::move(aAttempt));
    };
  }

  void Start() { SpawnGuarded(mState.mIo, KeepMarks()); }
  /** Hands all records over to other daemons, before this one stops. */
  void HandOver() { mLink.HandOver(); }

private:
  using mark_set = std::set<service_key>;

  /** Finds out which software began a stream. @return none if it isn't known. */
  asio::awaitable<software_id> Find(std::string aService, std::string aAttempt)
  {
    const stream_evidence known = co_await mLink.Find(aService, std::move(aAttempt));
    if (known.mEvidence != origin_evidence::eNothing) {
      co_return known.mSoftware;
    }
    co_await ReadMarks();
    const bool unmarked = mMarks && !mMarks->contains(KeyOf(aService));
    co_return unmarked ? mLink.EvidenceOfList(aService).mSoftware : software_id{};
  }

  /** Reads the marks, unless that was done just now; waits for a read that is under way. */
  asio::awaitable<void> ReadMarks()
  {
    if (mReading) {
      co_await mReadEnded.Wait(kOriginReplyTimeout);
      co_return;
    }
    if (mMarks && mState.Now() - mMarksReadAt < kSoftwareMarksLifetime) {
      co_return;
    }
    mReading = true;
    mMarks.reset(); // Who gives up waiting for this read mustn't decide by a former one.
    const result<mark_set> read = co_await mStore.ReadMixedServices();
    mReading = false;
    if (read) {
      mMarks = read.value();
      mMarksReadAt = mState.Now();
    }
    mReadEnded.Notify();
  }

  /** Marks services while they have several versions, if this daemon is one of the first. */
  asio::awaitable<void> KeepMarks()
  {
    for (;;) {
      co_await Sleep(kSoftwareMarkInterval);
      if (!mState.mRoutes || !mDaemons.Members().IsAmongFirst(kSoftwareMarkers)) {
        mKept.reset();
        continue;
      }
      if (!mKept) { // It has just become one of the first.
        const result<mark_set> read = co_await mStore.ReadMixedServices();
        if (read) {
          mKept = read.value();
        }
        continue;
      }
      const std::shared_ptr<const route_table> routes = mState.mRoutes;
      for (const auto& [name, service] : routes->Config().mServices) {
        co_await KeepMark(name);
      }
    }
  }

  asio::awaitable<void> KeepMark(const std::string& aService)
  {
    const service_key key = KeyOf(aService);
    const bool marked = mKept->contains(key);
    const bool mixed =
      mLink.EvidenceOfList(aService).mEvidence == origin_evidence::eSeveralVersions;
    const bool single =
      !mixed && mState.mRunners.ReachesBackTo(mState.Now() - mLink.OneSoftwareTime(aService));
    if ((mixed && !marked) || (single && marked)) {
      const result<void> written = co_await mStore.MarkMixedService(key, mixed);
      if (written) {
        LogEvent(
          log_level::eInfo, "software_marked", { { "service", aService }, { "mixed", mixed } });
        if (mixed) {
          mKept->insert(key);
        } else {
          mKept->erase(key);
        }
      }
    }
  }

  forward_state& mState;          ///< State shared by the parts of the daemon.
  Store& mStore;                  ///< Keeps the marks.
  daemon_link& mDaemons;          ///< Knows the members.
  origin_link mLink;              ///< Exchanges records with the other daemons.
  std::optional<mark_set> mKept;  ///< Marks as this daemon keeps them; none if it doesn't.
  std::optional<mark_set> mMarks; ///< Marks as read last; none if the store didn't answer.
  instant mMarksReadAt{ 0 };      ///< When mMarks were read.
  bool mReading = false;          ///< They are being read.
  wake_list mReadEnded;           ///< Woken when they have been.
};

} // namespace dunehook
