/**
 * @file quarantine_store.h
 * Keeps quarantines in the store in case all daemons stop. A daemon that starts asks the others
 * first, and reads the store if none of them has the quarantines.
 */
#pragma once

#include "links/quarantine_link.h"
#include "messages/wire_type.h"

#include <algorithm>

namespace dunehook {

/** After its start a daemon waits this long for another one's quarantines before it reads the
 * store. */
inline constexpr duration kPeerSyncWait = std::chrono::milliseconds(1000);
/** Maximum random delay before that read, so that daemons that start together spread their reads.
 */
inline constexpr duration kMaxReadJitter = std::chrono::milliseconds(500);
/** Pause after a failed call to the store. */
inline constexpr duration kStoreRetryDelay = std::chrono::milliseconds(700);
/** Maximum number of quarantines waiting to be written. */
inline constexpr std::size_t kMaxUnwritten = 64;

/** Loads quarantines from the store at the start, and writes new ones to it. */
template<control_store Store>
class quarantine_store
{
public:
  quarantine_store(forward_state& aState, Store& aStore, daemon_link& aLink)
    : mState(aState)
    , mStore(aStore)
    , mLink(aState, aLink)
    , mWritePending(aState.mIo)
  {
    mLink.OnQuarantined([this](const quarantine_notice& aNotice) { QueueWrite(aNotice); });
    mLink.OnCleared([this](request_fingerprint aKey) { QueueRemoval(aKey); });
  }

  void Start()
  {
    mLink.Start();
    SpawnGuarded(mState.mIo, LoadRecords());
    SpawnGuarded(mState.mIo, WriteRecords());
  }

  quarantine_link& Link() { return mLink; }

private:
  /** @return the current Unix time in ms. */
  static std::uint64_t WallMs()
  {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
  }

  void QueueWrite(const quarantine_notice& aNotice)
  {
    if (mUnwritten.size() < kMaxUnwritten) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNotice.mAge);
      const std::uint64_t since = WallMs() - static_cast<std::uint64_t>(age.count());
      std::erase(mUnneeded, aNotice.mRequest);
      mUnwritten.push_back({ aNotice.mRequest, since, aNotice.mParts, aNotice.mConfirmed });
      mWritePending.Notify();
    }
  }

  void QueueRemoval(request_fingerprint aKey)
  {
    std::erase_if(mUnwritten,
                  [&](const quarantine_record& aRecord) { return aRecord.mRequest == aKey; });
    if (mUnneeded.size() < kMaxUnwritten) {
      mUnneeded.push_back(aKey);
      mWritePending.Notify();
    }
  }

  /** Reads the quarantines from before this daemon's start, unless another daemon sends them. */
  asio::awaitable<void> LoadRecords()
  {
    co_await Sleep(kPeerSyncWait +
                   FromSeconds(ToSeconds(kMaxReadJitter) * mState.RandomFraction()));
    while (!mLink.HasReceivedState()) {
      const result<std::vector<quarantine_record>> read = co_await mStore.ReadQuarantines();
      if (read) {
        ApplyRecords(read.value());
        co_return;
      }
      co_await Sleep(kStoreRetryDelay);
    }
  }

  void ApplyRecords(const std::vector<quarantine_record>& aRecords)
  {
    const std::uint64_t now = WallMs();
    std::size_t taken = 0;
    for (const quarantine_record& record : aRecords) {
      const std::uint64_t age = now > record.mSince ? now - record.mSince : 0;
      quarantine_notice notice{ record.mRequest,
                                quarantine_status::eQuarantined,
                                duration{ 0 },
                                record.mParts,
                                record.mConfirmed };
      notice.mAge = std::chrono::milliseconds(age);
      taken += mState.mCrashes.ApplyNotice(notice, mState.Now()) ? 1 : 0;
      if (notice.mAge >= kQuarantineDuration) {
        mUnneeded.push_back(record.mRequest);
      }
    }
    LogEvent(log_level::eInfo,
             "quarantines_read",
             { { "records", aRecords.size() }, { "in_quarantine", taken } });
    mLink.MarkStateReceived();
  }

  /** Writes the quarantines of this daemon, and removes records that aren't needed any more. */
  asio::awaitable<void> WriteRecords()
  {
    for (;;) {
      if (mUnwritten.empty()) {
        co_await RemoveUnneeded();
      }
      if (mUnwritten.empty()) {
        co_await mWritePending.Wait(kQuarantineDuration);
        continue;
      }
      const quarantine_record record = mUnwritten.front();
      mUnwritten.pop_front();
      const result<void> written = co_await mStore.WriteQuarantine(record);
      if (!written) { // It may have been written; writing it twice does no harm.
        PutBack(record);
        co_await Sleep(kStoreRetryDelay);
      }
    }
  }

  bool IsToBeWritten(request_fingerprint aKey) const
  {
    return std::any_of(mUnwritten.begin(), mUnwritten.end(), [&](const quarantine_record& aRecord) {
      return aRecord.mRequest == aKey;
    });
  }

  /** Has a record written once more, unless it was cleared or written anew meanwhile. */
  void PutBack(const quarantine_record& aRecord)
  {
    const bool isCleared =
      std::find(mUnneeded.begin(), mUnneeded.end(), aRecord.mRequest) != mUnneeded.end();
    if (!isCleared && !IsToBeWritten(aRecord.mRequest)) {
      mUnwritten.push_front(aRecord);
    }
  }

  /** Has the removal of a record tried again, unless it's to be written anew. */
  void KeepUnneeded(request_fingerprint aKey)
  {
    if (!IsToBeWritten(aKey)) {
      mUnneeded.push_back(aKey);
    }
  }

  asio::awaitable<void> RemoveUnneeded()
  {
    while (!mUnneeded.empty()) {
      const request_fingerprint key = mUnneeded.back();
      mUnneeded.pop_back();
      const result<void> removed = co_await mStore.RemoveQuarantine(key);
      if (!removed) {
        KeepUnneeded(key);
        co_await Sleep(kStoreRetryDelay);
        co_return;
      }
    }
  }

  forward_state& mState;   ///< State shared by the parts of the daemon.
  Store& mStore;           ///< Keeps the records.
  quarantine_link mLink;   ///< Exchanges quarantines with the other daemons.
  wake_list mWritePending; ///< Woken when there is a record to write.
  /** Quarantines of this daemon to write; at most kMaxUnwritten. */
  std::deque<quarantine_record> mUnwritten;
  /** Records to remove: expired at the start, or cleared since. */
  std::vector<request_fingerprint> mUnneeded;
};

} // namespace dunehook
