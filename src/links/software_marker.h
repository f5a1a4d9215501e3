/**
 * @file software_marker.h
 * Marks in the store which version of the software the runners of each service have had, in case
 * all daemons stop: a daemon that has just started doesn't know which versions served before. A
 * mark names the only version, or says that there were several. A service without a mark isn't
 * known, so that a mark that comes too late, or is lost, is never taken for a single version.
 */
#pragma once

#include "links/origin_link.h"
#include "links/shared_read.h"
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

/** Keeps the marks, and reads them. */
template<control_store Store>
class software_marker
{
public:
  software_marker(forward_state& aState,
                  Store& aStore,
                  const daemon_link& aDaemons,
                  const origin_link& aLink)
    : mState(aState)
    , mStore(aStore)
    , mDaemons(aDaemons)
    , mLink(aLink)
    , mMarksRead(aState.mIo, kSoftwareMarksLifetime, kOriginReplyTimeout)
  {
  }

  void Start() { SpawnGuarded(mState.mIo, KeepMarks()); }

  /** @return the mark of a service: its only version, or none if it has had several; no result if
   * it isn't marked, or the store doesn't answer. */
  asio::awaitable<std::optional<software_id>> ReadMark(std::string aService)
  {
    co_await mMarksRead.Run([this] { return ReadMarks(); });
    std::optional<software_id> mark;
    if (mMarks && mMarks->contains(KeyOf(aService))) {
      mark = mMarks->at(KeyOf(aService));
    }
    co_return mark;
  }

private:
  /** @return whether the store answered. */
  asio::awaitable<bool> ReadMarks()
  {
    mMarks.reset(); // Who gives up waiting for this read mustn't decide by a former one.
    const result<software_marks> read = co_await mStore.ReadSoftwareMarks();
    if (read) {
      mMarks = read.value();
    }
    co_return read.has_value();
  }

  /** Marks services as their versions change, if this daemon is one of the first. */
  asio::awaitable<void> KeepMarks()
  {
    for (;;) {
      co_await Sleep(kSoftwareMarkInterval);
      if (!mState.mRoutes || !mDaemons.Members().IsAmongFirst(kSoftwareMarkers)) {
        mKept.reset();
        continue;
      }
      const std::uint64_t era = mState.mRunners.End().mEra;
      if (!mKept || mKeptEra != era) { // A store that came back from an older copy lacks marks.
        mKept.reset();
        const result<software_marks> read = co_await mStore.ReadSoftwareMarks();
        if (read) {
          mKept = read.value();
          mKeptEra = era;
        }
        continue;
      }
      const std::shared_ptr<const route_table> routes = mState.mRoutes;
      for (const auto& [name, service] : routes->Config().mServices) {
        if (routes->LongestStream(name) > duration{ 0 }) {
          co_await KeepMark(name);
        }
      }
    }
  }

  asio::awaitable<void> KeepMark(const std::string& aService)
  {
    const stream_evidence listed = mLink.EvidenceOfList(aService);
    const auto kept = mKept->find(KeyOf(aService));
    const bool marked = kept != mKept->end();
    const bool several = listed.mEvidence == origin_evidence::eSeveralVersions;
    const bool only = listed.mEvidence == origin_evidence::eOnlyVersion;
    // At the first start of all daemons no stream can have begun before.
    const bool known =
      mState.mRunners.ReachesBackTo(mState.Now() - mLink.OneSoftwareTime(aService)) ||
      (!marked && mState.mSettings.mFirstStart);
    const bool isNews = !marked || kept->second != listed.mSoftware;
    if (isNews && (several || (only && known))) {
      co_await Write(aService, listed.mSoftware);
    }
  }

  /** @param aOnly the service's only software, none for several. */
  asio::awaitable<void> Write(std::string aService, software_id aOnly)
  {
    const service_key key = KeyOf(aService);
    const result<void> written = co_await mStore.WriteSoftwareMark(key, aOnly);
    if (written && mKept) {
      (*mKept)[key] = aOnly;
    }
    LogEvent(log_level::eInfo,
             "software_marked",
             { { "service", aService },
               { "mixed", !aOnly },
               { "outcome", written ? "ok" : ErrorName(written.error()) } });
  }

  forward_state& mState;                ///< State shared by the parts of the daemon.
  Store& mStore;                        ///< Keeps the marks.
  const daemon_link& mDaemons;          ///< Knows the members.
  const origin_link& mLink;             ///< Knows the versions.
  std::optional<software_marks> mKept;  ///< Marks as this daemon keeps them; none if it doesn't.
  std::uint64_t mKeptEra = 0;           ///< Era of the store that mKept was read in.
  std::optional<software_marks> mMarks; ///< Marks as read last; none if the store didn't answer.
  shared_read mMarksRead;               ///< Reads them.
};

} // namespace dunehook
