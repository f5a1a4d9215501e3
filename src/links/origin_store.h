/**
 * @file origin_store.h
 * Finds out which software began a stream that a caller takes up: by the records of the daemons, by
 * the only version of a service where the store confirms it, or by what the store keeps in case all
 * daemons stop.
 */
#pragma once

#include "links/list_check.h"
#include "links/origin_archive.h"
#include "links/software_marker.h"

namespace dunehook {

/** Finds origins with the help of the store. */
template<control_store Store>
class origin_store
{
public:
  origin_store(forward_state& aState, Store& aStore, daemon_link& aLink)
    : mLink(aState, aLink)
    , mListCheck(aState, aStore)
    , mMarker(aState, aStore, aLink, mLink)
    , mArchive(aState, aStore, mLink)
  {
    aState.mFindOrigin = [this](std::string aService, std::string aAttempt) {
      return Find(std::move(aService), std::move(aAttempt));
    };
  }

  void Start()
  {
    mMarker.Start();
    mArchive.Start();
  }
  /** Hands all records over to other daemons, before this one stops. */
  void HandOver() { mLink.HandOver(); }

private:
  /** Finds out which software began a stream. @return none if it isn't known. */
  asio::awaitable<software_id> Find(std::string aService, std::string aAttempt)
  {
    const origin_finding found = co_await mLink.Find(aService, aAttempt);
    if (found.mKnown.mSoftware && found.mConfirmed) {
      co_return found.mKnown.mSoftware;
    }
    software_id software;
    if (found.mKnown.mEvidence != origin_evidence::eSeveralVersions) {
      software = co_await FindOnlyVersion(aService, found.mKnown.mSoftware);
    }
    if (!software && !aAttempt.empty()) {
      co_await mArchive.ReadBack();
      software = mLink.Recorded(aService, aAttempt);
    }
    co_return software;
  }

  /**
   * @param aKnown the only version as this daemon knows it; none if it has started too recently, so
   * that the mark must tell.
   * @return the software that began all streams of a service that go on now; none if that isn't
   * certain.
   */
  asio::awaitable<software_id> FindOnlyVersion(const std::string& aService, software_id aKnown)
  {
    const std::optional<software_id> mark = co_await mMarker.ReadMark(aService);
    const software_id only = aKnown ? aKnown : mark.value_or(software_id{});
    bool current = false;
    if (only && mark.value_or(only) == only) {
      current = co_await mListCheck.AwaitCurrentList();
    }
    const stream_evidence listed = mLink.EvidenceOfList(aService);
    const bool agrees =
      listed.mEvidence == origin_evidence::eOnlyVersion && listed.mSoftware == only;
    co_return current&& agrees ? only : software_id{};
  }

  origin_link mLink;              ///< Exchanges records with the other daemons.
  list_check<Store> mListCheck;   ///< Whether the list of runners is current.
  software_marker<Store> mMarker; ///< Marks the versions of services.
  origin_archive<Store> mArchive; ///< Stores records of streams.
};

} // namespace dunehook
