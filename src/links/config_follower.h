/**
 * @file config_follower.h
 * Follows the routing configuration in the store. Only this class reads it, with one call at a
 * time.
 */
#pragma once

#include "links/config_source.h"
#include "links/store_contact.h"
#include "messages/wire_type.h"

namespace dunehook {

/** How long the store may delay its answer while the configuration doesn't change. A store may
 * notice a new record only at the end of this time, so it is shorter than 2 s, the shortest time in
 * which a change must be in force. */
inline constexpr duration kConfigLongPollTime = std::chrono::milliseconds(1200);
/** A long poll is cancelled when another daemon has had a newer configuration for this long.
 * Usually the poll brings it by itself before that. */
inline constexpr duration kBehindTolerance = std::chrono::milliseconds(250);
/** Longest pause after a read that brought nothing newer although another daemon reported a newer
 * version. A report that the store doesn't confirm costs one read a second. */
inline constexpr duration kMaxUnconfirmedReadBackoff = std::chrono::milliseconds(1000);
/** The answer to a full read must begin within this time. The read is repeated early enough for a
 * change to be in force within 2 s, the shortest time allowed. The limit doubles, up to the
 * maximum, while the store answers other reads but takes longer to begin this one, as it may when
 * it sends a large configuration to hundreds of daemons. It isn't raised for a store that answers
 * nothing: the store may come back while the answer to this read is lost for good. */
inline constexpr duration kInitialReadTimeout = std::chrono::milliseconds(700);
inline constexpr duration kMaxReadTimeout = std::chrono::milliseconds(6000);

/** Limits for another daemon to begin its answer with a configuration, and for a pause within it.
 * After that the store is read. Both together stay below 2 s, the shortest time in which a change
 * must be in force. */
inline constexpr duration kPeerResponseTimeout = std::chrono::milliseconds(400);
inline constexpr duration kPeerIdleTimeout = std::chrono::milliseconds(300);
/** Limits of a whole configuration that another daemon sends; the store is read instead of a longer
 * one, and one that never ends would fill the memory. */
inline constexpr duration kPeerTransferTimeout = std::chrono::seconds(15);
inline constexpr std::uint64_t kMaxConfigBytes = std::uint64_t{ 8 } << 20U;
/** Number of daemons asked for a configuration before the store is read, and again after each read
 * of the store that failed: it may refuse this daemon, or all of a data hall. */
inline constexpr std::size_t kMaxPeersAsked = 2;
inline constexpr std::size_t kPeersAskedAgain = 1;

/** Reads the configuration from the store or another daemon and puts it in force. */
template<control_store Store>
class config_follower
{
public:
  /** @param aOnConfig called with the caller limits of each configuration that comes into force. */
  config_follower(forward_state& aState,
                  Store& aStore,
                  daemon_link& aLink,
                  store_contact& aContact,
                  std::function<void(const caller_limits&)> aOnConfig)
    : mState(aState)
    , mStore(aStore)
    , mLink(aLink)
    , mContact(aContact)
    , mSource(aState)
    , mOnConfig(std::move(aOnConfig))
  {
  }

  /** Reads for as long as the daemon runs. No failure may end it, since nothing else reads the
   * configuration. */
  asio::awaitable<void> Follow()
  {
    for (;;) {
      bool failed = false;
      try {
        co_await Step();
      } catch (const std::exception& error) {
        LogEvent(log_level::eError, "config_reading_failed", { { "what", error.what() } });
        failed = true;
      }
      if (failed) {
        co_await BackOff(kMaxStoreBackoff);
      }
    }
  }

  /** @return the object that serves the configuration to other daemons. */
  config_source& Source() { return mSource; }
  /** @return when the configuration came into force. */
  instant InForceSince() const { return mInForceSince; }
  /** @return how long the full read in progress has taken so far; zero if there is none. */
  duration CurrentReadDuration() const
  {
    return mReadStartedAt == instant{ 0 } ? duration{ 0 } : mState.Now() - mReadStartedAt;
  }

  /** Cancels the long poll if another daemon has a newer configuration: the answer that should have
   * brought it is lost or late. Call it several times a second. */
  void CancelOverdueLongPoll()
  {
    const instant now = mState.Now();
    if (!mContact.IsBehind()) {
      mBehindSince = instant{ 0 };
      return;
    }
    if (mBehindSince == instant{ 0 }) {
      mBehindSince = now;
    }
    if (now - mBehindSince >= kBehindTolerance) {
      CancelLongPoll();
    }
  }
  /** Cancels a long poll for the next configuration, unless its answer has begun. */
  void CancelLongPoll()
  {
    if (mLongPolling) {
      CancelCall();
    }
  }
  /** Cancels the long poll or read in progress, unless its answer has begun, so that it is started
   * again. */
  void CancelCall() { mCancelled = mStore.StopWaiting() || mCancelled; }

private:
  /** Makes the next call, or waits while another daemon reads the store. Calls never overlap:
   * overlapping reads share the daemon's link, so each slows the others and all but one are
   * discarded. */
  asio::awaitable<void> Step()
  {
    if (mNextPosition && mNextPosition->mEra < mState.mRunners.End().mEra) {
      mNextPosition.reset(); // The store came back with older data and reuses these offsets.
    }
    const bool behind = mContact.IsBehind();
    const bool leaves = !behind && (!mContact.IsReader() || mContact.RunnerReadFailed());
    if (leaves) {
      mLastPollAnswered = false;
      co_await Sleep(kReportCheckInterval);
    } else if (behind && mPeersAsked < kMaxPeersAsked) {
      co_await AskPeer(mPeersAsked++ == 0);
    } else if (mNextPosition && !mContact.IsBehind()) {
      co_await LongPollNext(*mNextPosition);
    } else {
      co_await ReadNewest();
    }
  }

  /** Asks another daemon for a newer configuration. @param aFirst it's the first one asked. */
  asio::awaitable<void> AskPeer(bool aFirst)
  {
    const member_info* const peer = PeerToAsk(aFirst);
    if (peer == nullptr) {
      co_return;
    }
    const endpoint at = peer->mAddress;
    const std::string name = peer->mName;
    const instant began = mState.Now();
    const result<config_reading> reading = co_await ReadFromPeer(at);
    LogEvent(log_level::eInfo,
             "config_handed_on",
             { { "daemon", name },
               { "outcome", reading ? "ok" : ErrorName(reading.error()) },
               { "ms", (mState.Now() - began).count() / 1000 } });
    if (reading) {
      ApplyReading(reading.value());
    }
  }

  /** @return the daemon to ask; null if there is none. Usually the first one that reads the store
   * in this data hall is about to have the new version; any other is asked only if it has it. */
  const member_info* PeerToAsk(bool aFirst)
  {
    const member_info* const ahead = mLink.Members().PickAhead();
    if (!aFirst || (ahead != nullptr && ahead->mHall == mState.mSettings.mHall)) {
      return ahead;
    }
    const std::vector<const member_info*> ranked =
      mLink.Members().RankedServing(mState.mSettings.mHall);
    const bool isReader = ranked.empty() || ranked.front() == &mLink.Members().Self();
    return isReader ? ahead : ranked.front();
  }

  /** Reads a newer configuration from another daemon. */
  asio::awaitable<result<config_reading>> ReadFromPeer(endpoint aAt)
  {
    http_call call;
    call.mTarget = Join(kConfigPath, "?", kAfterParameter, "=", mState.mRoutes->Config().mVersion);
    call.mHeaders.emplace_back(kAcceptCodingHeader, kCompressedCoding);
    BOOST_OUTCOME_CO_TRY(const http_connection_ptr connection,
                         co_await http_connection::Connect(aAt, kPeerResponseTimeout));
    BOOST_OUTCOME_CO_TRY(const unsigned status,
                         co_await connection->Start(call, kPeerResponseTimeout, kMaxConfigBytes));
    std::string text;
    const instant until = mState.Now() + kPeerTransferTimeout;
    BOOST_OUTCOME_CO_TRY(co_await connection->ReadRest(text, kPeerIdleTimeout, until));
    if (status != 200) {
      co_return make_error_code(errc::eLogUnavailable);
    }
    if (connection->Header(kCodingHeader) == kCompressedCoding) {
      BOOST_OUTCOME_CO_TRY(text, Decompress(text, kMaxConfigBytes));
    }
    config_reading reading;
    BOOST_OUTCOME_CO_TRY(reading.mConfig, Store::DecodeText(text));
    reading.mText = std::make_shared<const std::string>(std::move(text));
    const std::optional<store_mark> next = ParseMark(connection->Header(kNextHeader));
    reading.mMore = !next;
    reading.mNext = next.value_or(store_mark{});
    co_return reading;
  }

  /** Long-polls the store for the configuration after the one in force. If the last poll wasn't
   * answered, or this daemon has relied on others since, it asks without a wait: a store may notice
   * only at the end of the wait that a record was written before it. */
  asio::awaitable<void> LongPollNext(store_mark aNext)
  {
    const instant began = mState.Now();
    const bool waits = mLastPollAnswered;
    mCancelled = false;
    mLongPolling = true;
    result<config_reading> reading =
      co_await mStore.AwaitConfig(aNext, waits ? kConfigLongPollTime : duration{ 0 });
    mLongPolling = false;
    mLastPollAnswered = reading.has_value();
    if (!reading && mCancelled) {
      co_return; // Step() decides again what to read.
    }
    const bool forgotten = !reading && reading.error() == errc::eRetentionPassed;
    mContact.NoteAnswer(reading || forgotten, "config");
    if (forgotten) {
      mNextPosition.reset();
    }
    if (!reading) {
      co_await BackOff(kMaxStoreBackoff);
      co_return;
    }
    mBackoff = kInitialStoreBackoff;
    mContact.NoteConfigTimeout(false);
    const bool newer = ApplyReading(reading.value());
    if (waits && !newer && mState.Now() - began < kReportCheckInterval) {
      co_await Sleep(kReportCheckInterval); // The store answered at once instead of waiting.
    }
  }

  /** Reads the whole newest configuration and puts it in force if it is newer. */
  asio::awaitable<void> ReadNewest()
  {
    const bool behind = mContact.IsBehind();
    if (behind) {
      LogEvent(log_level::eInfo,
               "config_behind",
               { { "own", mState.mRoutes->Config().mVersion },
                 { "newest", mContact.NewestReportedConfig() } });
    }
    mCancelled = false;
    result<config_reading> reading = co_await ReadWhole(behind ? "behind" : "no_position");
    if (!reading && mCancelled) {
      co_return;
    }
    mContact.NoteAnswer(reading.has_value(), "config");
    if (!reading) {
      mPeersAsked = kMaxPeersAsked - kPeersAskedAgain;
      co_await BackOff(kMaxStoreBackoff);
      co_return;
    }
    if (reading.value().mConfig) {
      mContact.NoteConfig(reading.value().mConfig->mVersion);
    }
    const bool newer = ApplyReading(reading.value());
    if (newer || !behind) {
      mBackoff = kInitialStoreBackoff;
    }
    if (behind && !newer) {
      co_await BackOff(kMaxUnconfirmedReadBackoff);
    }
  }

  /** Reads the whole configuration and logs the outcome, duration and bytes. @param aWhy reason for
   * the log. */
  asio::awaitable<result<config_reading>> ReadWhole(std::string_view aWhy)
  {
    const std::uint64_t bytes = mStore.BytesIn();
    const instant began = mState.Now();
    mReadStartedAt = began;
    result<config_reading> reading = co_await mStore.ReadConfig(mReadTimeout);
    mReadStartedAt = instant{ 0 };
    const bool late = !reading && reading.error() == errc::eDeadlinePassed;
    const bool answersOthers = late && mContact.RunnersAnsweredSince(began);
    mReadTimeout =
      answersOthers ? std::min(mReadTimeout * 2, kMaxReadTimeout) : kInitialReadTimeout;
    mContact.NoteConfigTimeout(late);
    const bool has = reading && reading.value().mConfig;
    LogEvent(log_level::eInfo,
             "config_read",
             { { "why", aWhy },
               { "outcome", reading ? "ok" : ErrorName(reading.error()) },
               { "version", has ? reading.value().mConfig->mVersion : 0 },
               { "ms", (mState.Now() - began).count() / 1000 },
               { "bytes_in", mStore.BytesIn() - bytes } });
    co_return reading;
  }

  /** Puts what was read in force and keeps the position to poll from. @return whether it is newer
   * than the one in force before. */
  bool ApplyReading(const config_reading& aReading)
  {
    mNextPosition = aReading.mNext;
    if (aReading.mMore) {
      mNextPosition.reset(); // Read the newest version at once, not one version after the other.
    }
    return aReading.mConfig && PutInForce(aReading);
  }

  /** Puts a configuration in force unless it is as old as the one in force, or older. @return
   * whether it did. */
  bool PutInForce(const config_reading& aReading)
  {
    const routing_config& config = *aReading.mConfig;
    if (mState.mRoutes && config.mVersion <= mState.mRoutes->Config().mVersion) {
      return false;
    }
    LogEvent(log_level::eInfo,
             "config_in_force",
             { { "version", config.mVersion }, { "routes", config.mRoutes.size() } });
    mInForceSince = mState.Now();
    mPeersAsked = 0;
    mOnConfig(config.mLimits);
    mLink.Members().SetSelf(config.mVersion, !mState.mStopping);
    mState.mRoutes = std::make_shared<const route_table>(config);
    mSource.Set({ aReading.mText, mNextPosition });
    mContact.BroadcastPosition();
    return true;
  }

  /** Pauses calls to the store. The pause doubles each time, up to @p aLongest, until a read
   * succeeds. */
  asio::awaitable<void> BackOff(duration aLongest)
  {
    const duration rest = mBackoff;
    mBackoff = std::min(mBackoff * 2, aLongest);
    co_await Sleep(rest);
  }

  forward_state& mState;       ///< State shared by the parts of the daemon.
  Store& mStore;               ///< Holds the configuration.
  daemon_link& mLink;          ///< Announces the version in force to other daemons.
  store_contact& mContact;     ///< Whether the store answers, and who reads it.
  config_source mSource;       ///< Serves the configuration to other daemons.
  std::size_t mPeersAsked = 0; ///< Daemons asked before the next read of the store.
  std::function<void(const caller_limits&)> mOnConfig; ///< Called with new caller limits.
  /** Position to long-poll from; empty if a full read is needed. */
  std::optional<store_mark> mNextPosition;
  duration mBackoff = kInitialStoreBackoff;    ///< Next pause after a failed or unneeded read.
  duration mReadTimeout = kInitialReadTimeout; ///< Time for the next full read to begin its answer.
  instant mReadStartedAt{ 0 }; ///< When the full read in progress started; zero if none.
  instant mBehindSince{ 0 };   ///< Since when another daemon has a newer version; zero if none has.
  instant mInForceSince{ 0 };  ///< When the version in force came into force.
  bool mLongPolling = false;   ///< A long poll is in progress.
  bool mLastPollAnswered =
    false; ///< The last long poll was answered, and this daemon has been a reader since.
  bool mCancelled = false; ///< This daemon cancelled the call in progress.
};

} // namespace dunehook
