/**
 * @file log_follower.h
 * Applies the log's records to the fold and appends to the log. Records are read from the log or,
 * while it can't be reached, from other daemons, which relay the same records. A write counts as
 * accepted once its record was applied to the fold, never by the answer to the append.
 */
#pragma once

#include "control/peer_directory.h"
#include "core/token_bucket.h"
#include "log/log_client.h"
#include "resources/replicated_state_base.h"

#include <deque>
#include <memory>

namespace dunehook {

/** Settings of the log follower. */
struct follower_settings
{
  double mAppendsPerSecond = 10.0;     ///< This daemon's share of the log's rate.
  std::uint64_t mSnapshotEvery = 2000; ///< Records between snapshots.
};

/** Keeps the fold up to date with the log and appends commands to the log. */
class log_follower
{
public:
  log_follower(asio::io_context& aIo,
               endpoint aLog,
               const follower_settings& aSettings,
               member_table& aMembers,
               peer_directory& aPeers);

  /** Starts following. */
  void Start();

  /** @return the state in force. */
  const replicated_state& State() const { return mFold; }
  /** @return whether the fold has once contained every record that the log or a daemon was known to
   * have. */
  bool CaughtUp() const { return mCaughtUp; }
  /** @return whether the last read of the log succeeded. */
  bool LogReachable() const { return mLogReachable; }
  /** @param aCallback called after records were applied. */
  void OnApplied(std::function<void()> aCallback) { mOnApplied = std::move(aCallback); }
  /** Waits until further records are applied, at most for @p aLimit. */
  asio::awaitable<void> WaitForChange(duration aLimit) { return mChanged.Wait(aLimit); }

  /**
   * Writes a resource and waits until the fold has the outcome.
   * @pre aCommand has a write id.
   * @return the outcome; eLogUnavailable if nothing was written; eLogAmbiguous if the limit passed
   * and the record may or may not be in the log.
   */
  asio::awaitable<result<write_outcome>> Write(command aCommand, duration aLimit);

  /**
   * Claims an idempotency key.
   * @return the claim that holds the key; eLogUnavailable or eLogAmbiguous as Write().
   */
  asio::awaitable<result<claim>> Claim(std::string aKey, attempt_id aAttempt, duration aLimit);

  /** Releases a claimed key of a call that wasn't sent and never will be. */
  void Release(const std::string& aKey, attempt_id aAttempt);

  /** @return records from @p aFrom on, at most @p aMost; eRetentionPassed if they are no longer
   * kept. */
  result<std::vector<log_record>> Records(std::uint64_t aFrom, std::size_t aMost) const;

private:
  /** Records that are appended together. */
  struct append_batch
  {
    explicit append_batch(asio::io_context& aIo)
      : mDone(aIo)
    {
    }
    std::vector<std::string> mRecords;            ///< Encoded commands.
    std::size_t mBytes = 0;                       ///< Their size.
    std::optional<result<std::uint64_t>> mResult; ///< Set when the append ended.
    wake_list mDone;                              ///< Notified when mResult is set.
  };

  asio::awaitable<void> ReadLoop();
  asio::awaitable<void> RelayLoop();
  asio::awaitable<void> AppendLoop();
  asio::awaitable<void> SnapshotLoop();
  asio::awaitable<bool> LoadSnapshotFromLog();
  asio::awaitable<void> Backoff(duration& aDelay, duration aMaxDelay);
  asio::awaitable<void> FetchRecordsFromPeer(const member_info& aPeer);
  asio::awaitable<void> FetchSnapshotFromPeer(const member_info& aPeer);
  asio::awaitable<result<std::uint64_t>> Append(const command& aCommand);
  asio::awaitable<void> AppendDetached(command aCommand);
  void ApplyAll(const std::vector<log_record>& aRecords);
  void ReplaceFold(replicated_state aFold);
  void UpdateCaughtUp();
  template<typename Probe>
  asio::awaitable<result<void>> AppendUntilApplied(command aCommand, duration aLimit, Probe aProbe);

  static constexpr std::size_t kMaxRecentRecords = 8192; ///< Records kept for other daemons.

  asio::io_context& mIo;       ///< Runs the loops.
  log_client mLog;             ///< The platform's log.
  follower_settings mSettings; ///< Share of appends, snapshot distance.
  member_table& mMembers;      ///< Says which daemons are ahead.
  peer_directory& mPeers;      ///< Relays records.
  replicated_state mFold;      ///< The state.
  std::deque<log_record>
    mRecentRecords;                 ///< Newest records with consecutive offsets, kept for relaying.
  bool mLogReachable = false;       ///< The last read succeeded.
  bool mLogHeadReached = false;     ///< The fold has reached the log's end once.
  bool mCaughtUp = false;           ///< See CaughtUp(); once true it stays true.
  wake_list mChanged;               ///< Notified after records were applied.
  std::function<void()> mOnApplied; ///< Called when records were applied.
  std::shared_ptr<append_batch> mBatch; ///< Batch that new records are added to.
  wake_list mBatchReady;                ///< Notified when a record is added to mBatch.
  token_bucket mAppendLimiter; ///< Limits appends to this daemon's share of the log's rate.
  std::size_t mRelayRecords;   ///< Record limit of the next relay call.
  duration mSnapshotTimeout;   ///< Timeout of the next snapshot call to a daemon.
};

} // namespace dunehook
