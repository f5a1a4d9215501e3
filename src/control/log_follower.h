/**
 * @file log_follower.h
 * Keeps the fold up to date and writes to the log. Records come from the log itself or, while
 * it can't be reached, from other daemons; they're the same records either way. A write counts as
 * accepted once the fold shows its record, never by the append's answer.
 */
#pragma once

#include "control/peer_directory.h"
#include "core/token_bucket.h"
#include "log/log_client.h"
#include "resources/fold_base.h"

#include <deque>
#include <memory>

namespace dunehook {

/** Settings of the follower. */
struct follower_settings
{
  double mAppendsPerSecond = 10.0;     ///< This daemon's share of the log's rate.
  std::uint64_t mSnapshotEvery = 2000; ///< Records between snapshots.
};

/** Follows the log and writes to it. */
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
  const fold& State() const { return mFold; }
  /** @return whether every record was folded that the log or a daemon is known to have. */
  bool CaughtUp() const { return mCaughtUp; }
  /** @return whether the log answered lately. */
  bool LogReachable() const { return mLogReachable; }
  /** @param aCallback called after records were applied. */
  void OnApplied(std::function<void()> aCallback) { mOnApplied = std::move(aCallback); }
  /** Waits until the fold has applied more, at most @p aLimit. */
  asio::awaitable<void> WaitForChange(duration aLimit) { return mChanged.Wait(aLimit); }

  /**
   * Writes a resource and waits until the fold shows what became of it.
   * @pre aCommand has a write id.
   * @return the outcome; eLogUnavailable if nothing was written; eLogAmbiguous if the limit passed
   * with the record's fate unknown.
   */
  asio::awaitable<result<write_outcome>> Write(command aCommand, duration aLimit);

  /**
   * Claims an idempotency key.
   * @return the claim that holds the key; eLogUnavailable or eLogAmbiguous as Write().
   */
  asio::awaitable<result<claim>> Claim(std::string aKey, attempt_id aAttempt, duration aLimit);

  /** Gives a claimed key back for a call that never was and never will be sent. */
  void Release(const std::string& aKey, attempt_id aAttempt);

  /** @return records from @p aFrom on, at most @p aMost; eRetentionPassed if they're not kept. */
  result<std::vector<log_record>> Records(std::uint64_t aFrom, std::size_t aMost) const;

private:
  /** Records that wait for the next append. */
  struct append_batch
  {
    explicit append_batch(asio::io_context& aIo)
      : mDone(aIo)
    {
    }
    std::vector<std::string> mRecords;            ///< Encoded commands.
    std::size_t mBytes = 0;                       ///< Their size.
    std::optional<result<std::uint64_t>> mResult; ///< Set when the append ended.
    wake_list mDone;                              ///< Woken then.
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
  void ReplaceFold(fold aFold);
  void UpdateCaughtUp();
  template<typename Probe>
  asio::awaitable<result<void>> AppendUntilApplied(command aCommand, duration aLimit, Probe aProbe);

  static constexpr std::size_t kMaxRecentRecords = 8192; ///< Records kept for other daemons.

  asio::io_context& mIo;                 ///< Runs the loops.
  log_client mLog;                       ///< The platform's log.
  follower_settings mSettings;           ///< Share of appends, snapshot distance.
  member_table& mMembers;                ///< Says which daemons are ahead.
  peer_directory& mPeers;                ///< Relays records.
  fold mFold;                            ///< The state.
  std::deque<log_record> mRecentRecords; ///< Newest records, for relaying; without holes.
  bool mLogReachable = false;            ///< The last read succeeded.
  bool mLogHeadReached = false;          ///< The fold has reached the log's end once.
  bool mCaughtUp = false;                ///< See CaughtUp(); once true it stays true.
  wake_list mChanged;                    ///< Woken when records were applied.
  std::function<void()> mOnApplied;      ///< Called when records were applied.
  std::shared_ptr<append_batch> mBatch;  ///< Takes records now.
  wake_list mBatchReady;                 ///< Woken when mBatch has its first record.
  token_bucket mAppendLimiter;           ///< Share of the log's rate.
  std::size_t mRelayRecords;             ///< Records of the next relay call.
  duration mSnapshotTimeout;             ///< For the next snapshot of a daemon to come.
};

} // namespace dunehook
