/**
 * @file origin_archive.h
 * Stores which software began streams while a service has several versions, in case all daemons
 * stop: their callers take them up at daemons that have just started. The first daemon by rank
 * writes for all, in batches; what began within the last batch is lost, and refused later on.
 */
#pragma once

#include "links/origin_link.h"
#include "links/shared_read.h"
#include "messages/wire_type.h"

namespace dunehook {

/** Time between batches. */
inline constexpr duration kOriginBatchInterval = std::chrono::milliseconds(400);
/** Most streams of a batch, for the store's rate; further ones aren't stored. */
inline constexpr std::size_t kMaxOriginsPerBatch = 1024;
/** A read serves all requests for this long. */
inline constexpr duration kOriginsReadLifetime = std::chrono::milliseconds(500);
/** Longest wait for a read that another request has begun. */
inline constexpr duration kOriginsReadTimeout = std::chrono::milliseconds(1000);

/** Writes the records of streams to the store and reads them back. */
template<control_store Store>
class origin_archive
{
public:
  origin_archive(forward_state& aState, Store& aStore, origin_link& aLink)
    : mState(aState)
    , mStore(aStore)
    , mLink(aLink)
    , mRead(aState.mIo, kOriginsReadLifetime, kOriginsReadTimeout)
  {
    mLink.SetStoreHandler([this](const std::vector<stream_origin>& aOrigins) { Add(aOrigins); });
  }

  void Start() { SpawnGuarded(mState.mIo, WriteBatches()); }

  /** Reads what was stored since the last read, and hands it to the link. */
  asio::awaitable<void> ReadBack()
  {
    co_await mRead.Run([this] { return ReadNew(); });
  }

private:
  /** @return whether the store answered. */
  asio::awaitable<bool> ReadNew()
  {
    const result<origin_reading> read = co_await mStore.ReadOrigins(mNext);
    if (read) {
      mLink.Keep(read.value().mOrigins);
      mNext = read.value().mNext;
    } else {
      mNext.reset(); // The position may be of another copy of the store.
    }
    LogEvent(log_level::eInfo,
             "origins_read",
             { { "outcome", read ? "ok" : ErrorName(read.error()) },
               { "streams", read ? read.value().mOrigins.size() : 0 } });
    co_return read.has_value();
  }

  void Add(const std::vector<stream_origin>& aOrigins)
  {
    for (const stream_origin& origin : aOrigins) {
      if (mUnwritten.size() < kMaxOriginsPerBatch) {
        mUnwritten.push_back(origin);
      }
    }
  }

  asio::awaitable<void> WriteBatches()
  {
    for (;;) {
      co_await Sleep(kOriginBatchInterval);
      if (!mUnwritten.empty()) {
        co_await WriteBatch();
      }
    }
  }

  /** Writes what is there. A batch that fails isn't written again: it may have been stored. */
  asio::awaitable<void> WriteBatch()
  {
    std::vector<stream_origin> batch = std::exchange(mUnwritten, {});
    const std::size_t streams = batch.size();
    const result<void> written = co_await mStore.AppendOrigins(std::move(batch));
    if (!written) {
      LogEvent(log_level::eWarning,
               "origins_unwritten",
               { { "streams", streams }, { "outcome", ErrorName(written.error()) } });
    }
  }

  forward_state& mState;                 ///< State shared by the parts of the daemon.
  Store& mStore;                         ///< Keeps the records.
  origin_link& mLink;                    ///< Takes what is read.
  std::vector<stream_origin> mUnwritten; ///< For the next batch.
  std::optional<store_mark> mNext;       ///< Position after the last read; none before.
  shared_read mRead;                     ///< Reads them back.
};

} // namespace dunehook
