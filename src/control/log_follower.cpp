/**
 * @file log_follower.cpp
 * Reads the log, fetches records from other daemons, appends records and writes snapshots.
 */
#include "control/log_follower.h"

#include "core/hash_func.h"
#include "core/log_func.h"
#include "core/text_func.h"

#include <algorithm>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

/** How long the log may hold a read without new records. */
constexpr duration kReadLongPollTime = 1s;
constexpr duration kMinReadBackoff = 150ms;    ///< First delay after a read without progress.
constexpr duration kMaxReadBackoff = 600ms;    ///< The delay is doubled up to this.
constexpr duration kRelayPollInterval = 100ms; ///< Time between checks whether a daemon is ahead.
/** Longest delay after a relay without progress; doubled from kRelayPollInterval. A record written
 * meanwhile is applied within 2 s. */
constexpr duration kMaxRelayBackoff = 1s;
/** Timeout of a snapshot call to a daemon. It is doubled after each timeout, up to the maximum:
 * with a fixed timeout, a slow snapshot would never arrive. */
constexpr duration kMinSnapshotTimeout = 5s;
constexpr duration kMaxSnapshotTimeout = 40s;
/** Wait for a record whose append answer was lost, before the append is repeated. */
constexpr duration kAmbiguousAppendWait = 400ms;
constexpr duration kBatchDelay = 5ms;         ///< How long a batch collects records.
constexpr duration kRelayCallTimeout = 500ms; ///< Timeout of a relay call.
/** Delay of a snapshot writer per daemon ranked before it. */
constexpr duration kSnapshotStagger = 250ms;
constexpr duration kIdleWait = 1h;
constexpr std::size_t kMaxRelayRecords = 256; ///< Record limit of a relay call.
/** The record limit is halved down to this after failed calls. */
constexpr std::size_t kMinRelayRecords = 16;
constexpr std::size_t kMaxBatchRecords = 256;
constexpr std::size_t kMaxBatchBytes = std::size_t{ 512 } << 10U;
constexpr std::size_t kSnapshotPartBytes = std::size_t{ 256 } << 10U;
constexpr double kAppendBurst = 5.0;

template<typename Command>
std::string
WriteIdOf(const Command& aCommand)
{
  if constexpr (requires { aCommand.mWriteId; }) {
    return aCommand.mWriteId;
  } else {
    return {};
  }
}

std::vector<log_record>
ParseRecords(const json& aMessage)
{
  std::vector<log_record> records;
  for (const json& row : aMessage.at("records")) {
    records.push_back({ row.at(0).get<std::uint64_t>(),
                        row.at(1).get<std::int64_t>(),
                        row.at(2).get<std::string>() });
  }
  return records;
}

} // namespace

log_follower::log_follower(asio::io_context& aIo,
                           endpoint aLog,
                           const follower_settings& aSettings,
                           member_table& aMembers,
                           peer_directory& aPeers)
  : mIo(aIo)
  , mLog(std::move(aLog))
  , mSettings(aSettings)
  , mMembers(aMembers)
  , mPeers(aPeers)
  , mChanged(aIo)
  , mBatch(std::make_shared<append_batch>(aIo))
  , mBatchReady(aIo)
  , mAppendLimiter(aSettings.mAppendsPerSecond, kAppendBurst)
  , mRelayRecords(kMaxRelayRecords)
  , mSnapshotTimeout(kMinSnapshotTimeout)
{
}

void
log_follower::Start()
{
  Spawn(mIo, ReadLoop());
  Spawn(mIo, RelayLoop());
  Spawn(mIo, AppendLoop());
  Spawn(mIo, SnapshotLoop());
}

/** Sleeps for @p aDelay and doubles it up to @p aMaxDelay; the caller resets it after progress. */
asio::awaitable<void>
log_follower::Backoff(duration& aDelay, duration aMaxDelay)
{
  const duration rest = aDelay;
  aDelay = std::min(aDelay * 2, aMaxDelay);
  co_await Sleep(rest);
}

asio::awaitable<void>
log_follower::ReadLoop()
{
  const boot_clock_source clock;
  duration rest = kMinReadBackoff;
  for (;;) {
    const instant began = clock.Now();
    const std::uint64_t before = mFold.NextOffset();
    const result<log_batch> batch = co_await mLog.Read(before, kReadLongPollTime);
    bool loaded = false;
    if (batch) {
      mLogReachable = true;
      ApplyAll(batch.value().mRecords);
      mLogHeadReached = mLogHeadReached || mFold.NextOffset() >= batch.value().mNext;
      UpdateCaughtUp();
    } else if (batch.error() == errc::eRetentionPassed) {
      loaded = co_await LoadSnapshotFromLog();
    }
    if (!batch && !loaded) {
      mLogReachable = false;
      UpdateCaughtUp();
    }
    // A log that holds its answers limits the rate of reads itself. After an immediate answer
    // without new records, the next read is delayed.
    const bool held = batch && clock.Now() - began >= kMaxReadBackoff;
    if (held || loaded || (batch && mFold.NextOffset() > before)) {
      rest = kMinReadBackoff;
    } else {
      co_await Backoff(rest, kMaxReadBackoff);
    }
  }
}

asio::awaitable<bool>
log_follower::LoadSnapshotFromLog()
{
  // Offset 0 requests the oldest record kept.
  snapshot_reader reader;
  std::uint64_t from = 0;
  for (;;) {
    const result<log_batch> batch = co_await mLog.Read(from, 0s);
    if (!batch || batch.value().mRecords.empty()) {
      co_return false;
    }
    for (const log_record& record : batch.value().mRecords) {
      std::optional<replicated_state> loaded = reader.AddRecord(record);
      if (loaded && loaded->NextOffset() >= batch.value().mFirst) {
        ReplaceFold(std::move(*loaded));
        co_return true;
      }
    }
    from = batch.value().mRecords.back().mOffset + 1;
  }
}

void
log_follower::ReplaceFold(replicated_state aFold)
{
  if (aFold.NextOffset() <= mFold.NextOffset()) {
    return; // Never go back to an older state.
  }
  LogEvent(log_level::eInfo, "snapshot_loaded", { { "next", aFold.NextOffset() } });
  mFold = std::move(aFold);
  mRecentRecords.clear();
  mChanged.Notify();
  if (mOnApplied) {
    mOnApplied();
  }
}

void
log_follower::ApplyAll(const std::vector<log_record>& aRecords)
{
  bool applied = false;
  for (const log_record& record : aRecords) {
    if (record.mOffset != mFold.NextOffset()) {
      continue; // Already applied: it came from another daemon.
    }
    mFold.Apply(record);
    mRecentRecords.push_back(record);
    applied = true;
  }
  while (mRecentRecords.size() > kMaxRecentRecords) {
    mRecentRecords.pop_front();
  }
  if (applied) {
    mChanged.Notify();
    if (mOnApplied) {
      mOnApplied();
    }
  }
}

void
log_follower::UpdateCaughtUp()
{
  const bool reachedPeers = mFold.NextOffset() >= mMembers.HighestNextOffset();
  const bool knowsEnd =
    mLogHeadReached || (!mLogReachable && !mMembers.Others().empty() && mFold.NextOffset() > 1);
  mCaughtUp = mCaughtUp || (reachedPeers && knowsEnd);
}

asio::awaitable<void>
log_follower::RelayLoop()
{
  duration rest = kRelayPollInterval;
  for (;;) {
    co_await Sleep(kRelayPollInterval);
    const std::uint64_t before = mFold.NextOffset();
    if (mMembers.HighestNextOffset() <= before) {
      rest = kRelayPollInterval;
      continue;
    }
    co_await Sleep(kRelayPollInterval); // Give the log time to deliver the records.
    if (mFold.NextOffset() != before) {
      rest = kRelayPollInterval;
      continue;
    }
    const member_info* ahead = nullptr;
    for (const auto& [incarnation, entry] : mMembers.Others()) {
      if (entry.mInfo.mNextOffset > before &&
          (ahead == nullptr || entry.mInfo.mNextOffset > ahead->mNextOffset)) {
        ahead = &entry.mInfo;
      }
    }
    if (ahead != nullptr) {
      co_await FetchRecordsFromPeer(member_info(*ahead));
      UpdateCaughtUp();
      if (mFold.NextOffset() == before) {
        co_await Backoff(rest, kMaxRelayBackoff);
      }
    }
  }
}

asio::awaitable<void>
log_follower::FetchRecordsFromPeer(const member_info& aPeer)
{
  const json message{ { "from", mFold.NextOffset() }, { "most", mRelayRecords } };
  const result<json> answer = co_await mPeers.Call(aPeer, "records", message, kRelayCallTimeout);
  if (!answer) {
    // A late answer still occupies the link, so the next call asks for fewer records.
    mRelayRecords = std::max(mRelayRecords / 2, kMinRelayRecords);
    co_return;
  }
  mRelayRecords = std::min(mRelayRecords * 2, kMaxRelayRecords);
  if (!answer.value().contains("records")) {
    co_await FetchSnapshotFromPeer(aPeer);
    co_return;
  }
  ApplyAll(ParseRecords(answer.value()));
}

asio::awaitable<void>
log_follower::FetchSnapshotFromPeer(const member_info& aPeer)
{
  const result<json> answer =
    co_await mPeers.CallOnOwnConnection(aPeer, "snapshot", json::object(), mSnapshotTimeout);
  const bool late = !answer && answer.error() == errc::eDeadlinePassed;
  mSnapshotTimeout =
    late ? std::min(mSnapshotTimeout * 2, kMaxSnapshotTimeout) : kMinSnapshotTimeout;
  if (!answer || !answer.value().contains("entries")) {
    co_return;
  }
  result<replicated_state> loaded =
    replicated_state::FromSnapshot(answer.value().at("at").get<std::uint64_t>(),
                                   answer.value().at("entries").get<std::vector<std::string>>());
  if (loaded) {
    ReplaceFold(std::move(loaded.value()));
  }
}

result<std::vector<log_record>>
log_follower::Records(std::uint64_t aFrom, std::size_t aMost) const
{
  std::vector<log_record> records;
  if (aFrom >= mFold.NextOffset()) {
    return records;
  }
  if (mRecentRecords.empty() || aFrom < mRecentRecords.front().mOffset) {
    return make_error_code(errc::eRetentionPassed);
  }
  const std::size_t skip = aFrom - mRecentRecords.front().mOffset;
  for (std::size_t index = skip; index < mRecentRecords.size() && records.size() < aMost; ++index) {
    records.push_back(mRecentRecords[index]);
  }
  return records;
}

asio::awaitable<result<std::uint64_t>>
log_follower::Append(const command& aCommand)
{
  const std::shared_ptr<append_batch> batch = mBatch;
  batch->mRecords.push_back(EncodeCommand(aCommand));
  batch->mBytes += batch->mRecords.back().size();
  const std::size_t index = batch->mRecords.size() - 1;
  mBatchReady.Notify();
  if (batch->mRecords.size() >= kMaxBatchRecords || batch->mBytes >= kMaxBatchBytes) {
    mBatch = std::make_shared<append_batch>(mIo);
  }
  while (!batch->mResult) {
    co_await batch->mDone.Wait(kIdleWait);
  }
  if (!*batch->mResult) {
    co_return *batch->mResult;
  }
  co_return batch->mResult->value() + index;
}

asio::awaitable<void>
log_follower::AppendLoop()
{
  for (;;) {
    if (mBatch->mRecords.empty()) {
      co_await mBatchReady.Wait(kIdleWait);
      continue;
    }
    co_await Sleep(kBatchDelay);
    const instant now = boot_clock_source().Now();
    if (!mAppendLimiter.Take(now)) {
      co_await Sleep(mAppendLimiter.WaitFor(now));
      continue;
    }
    const std::shared_ptr<append_batch> batch =
      std::exchange(mBatch, std::make_shared<append_batch>(mIo));
    batch->mResult = co_await mLog.Append(batch->mRecords);
    batch->mDone.Notify();
  }
}

template<typename Probe>
asio::awaitable<result<void>>
log_follower::AppendUntilApplied(command aCommand, duration aLimit, Probe aProbe)
{
  const boot_clock_source clock;
  const instant deadline = clock.Now() + aLimit;
  bool ambiguous = false;
  while (clock.Now() < deadline) {
    const result<std::uint64_t> appended = co_await Append(aCommand);
    if (!appended && appended.error() == errc::eLogUnavailable && !ambiguous) {
      co_return make_error_code(errc::eLogUnavailable);
    }
    ambiguous = true;
    // A repeated record is applied only once, so it is safe to append it again.
    const instant until =
      appended ? deadline : std::min(deadline, clock.Now() + kAmbiguousAppendWait);
    while (!aProbe() && clock.Now() < until) {
      co_await mChanged.Wait(until - clock.Now());
    }
    if (aProbe()) {
      co_return boost::outcome_v2::success();
    }
  }
  co_return make_error_code(errc::eLogAmbiguous);
}

asio::awaitable<result<write_outcome>>
log_follower::Write(command aCommand, duration aLimit)
{
  const std::string writeId =
    std::visit([](const auto& aOne) { return WriteIdOf(aOne); }, aCommand);
  const auto seen = [this, writeId] { return mFold.OutcomeOf(writeId).has_value(); };
  BOOST_OUTCOME_CO_TRY(co_await AppendUntilApplied(std::move(aCommand), aLimit, seen));
  co_return *mFold.OutcomeOf(writeId);
}

asio::awaitable<result<claim>>
log_follower::Claim(std::string aKey, attempt_id aAttempt, duration aLimit)
{
  const auto seen = [this, aKey] { return mFold.ClaimOf(aKey).has_value(); };
  if (!seen()) {
    const claim_command wanted{ aKey, aAttempt };
    BOOST_OUTCOME_CO_TRY(co_await AppendUntilApplied(wanted, aLimit, seen));
  }
  co_return *mFold.ClaimOf(aKey);
}

asio::awaitable<void>
log_follower::AppendDetached(command aCommand)
{
  co_await Append(aCommand);
}

void
log_follower::Release(const std::string& aKey, attempt_id aAttempt)
{
  Spawn(mIo, AppendDetached(release_command{ aKey, aAttempt }));
}

asio::awaitable<void>
log_follower::SnapshotLoop()
{
  for (;;) {
    co_await mChanged.Wait(kIdleWait);
    const std::uint64_t covered = mFold.LastSnapshot();
    const auto due = [this] {
      return mFold.NextOffset() > mFold.LastSnapshot() + mSettings.mSnapshotEvery;
    };
    if (!due() || !mLogReachable) {
      continue;
    }
    // Any daemon may write the snapshot; the delay by rank makes it likely that only one does.
    const std::string key = Join("snapshot:", covered);
    const std::uint64_t own = RendezvousRank(key, mMembers.Self().mIncarnation.mValue);
    std::int64_t ahead = 0;
    for (const auto& [incarnation, entry] : mMembers.Others()) {
      ahead += RendezvousRank(key, incarnation.mValue) > own ? 1 : 0;
    }
    co_await Sleep(kSnapshotStagger * ahead);
    if (!due()) {
      continue;
    }
    const std::uint64_t at = mFold.NextOffset() - 1;
    const auto parts = SplitSnapshot(at, mFold.SnapshotEntries(), kSnapshotPartBytes);
    LogEvent(log_level::eInfo, "snapshot_written", { { "at", at }, { "parts", parts.size() } });
    for (const command& part : parts) {
      if (!co_await Append(part)) {
        break; // Retried after the next change.
      }
    }
  }
}

} // namespace dunehook
