/**
 * @file config_follower.h
 * Follows the configuration in the store. This is the only place that reads it, one call after the
 * other.
 */
#pragma once

#include "links/config_source.h"
#include "links/store_contact.h"
#include "messages/wire_type.h"

namespace dunehook {

/** How long the store may hold the answer while the configuration doesn't change. Shorter than 2 s,
 * the shortest time in which a change must be in force: a store may not notice what a read waits
 * for until that is over. */
inline constexpr duration kConfigLongPollTime = std::chrono::milliseconds(1200);
/** A wait is ended after this if another daemon has a newer configuration: it comes by itself
 * mostly. */
inline constexpr duration kBehindTolerance = std::chrono::milliseconds(250);
/** Rest after a read that brought nothing newer although another daemon told of it, at most: a
 * claim that the store doesn't bear out costs a read a second. */
inline constexpr duration kMaxUnconfirmedReadBackoff = std::chrono::milliseconds(1000);
/** The answer to a whole read must begin within this: a lost one is asked for again, early enough
 * for 2 s, the shortest time in which a change must be in force. Doubled up to the longest while a
 * store that answers other reads takes longer to begin, as one may that hands a large one to
 * hundreds of daemons. One that says nothing gets no longer time: it may come back while the answer
 * to that read is lost for good. */
inline constexpr duration kInitialReadTimeout = std::chrono::milliseconds(700);
inline constexpr duration kMaxReadTimeout = std::chrono::milliseconds(6000);

/** Another daemon's answer with a configuration must begin within this, and go on after a pause;
 * then the store is asked. Both together stay within the shortest time in which a change must be in
 * force, 2 s. */
inline constexpr duration kPeerResponseTimeout = std::chrono::milliseconds(400);
inline constexpr duration kPeerIdleTimeout = std::chrono::milliseconds(300);
/** Daemons that are asked for a configuration before the store is. */
inline constexpr std::size_t kMaxPeersAsked = 2;

/** The follower. */
template<control_store Store>
class config_follower
{
public:
  /** @param aOnConfig called with the limits of a configuration that comes into force. */
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

  /** Reads for as long as the daemon runs. Nothing else does, so no failure may end it. */
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

  /** @return what hands the configuration on to other daemons. */
  config_source& Source() { return mSource; }
  /** @return when the configuration came into force. */
  instant InForceSince() const { return mInForceSince; }
  /** @return how long the whole read under way has taken so far; zero if there's none. */
  duration CurrentReadDuration() const
  {
    return mReadStartedAt == instant{ 0 } ? duration{ 0 } : mState.Now() - mReadStartedAt;
  }

  /** Ends the wait for a configuration where another daemon has a newer one: the answer that should
   * have brought it is lost or late. Call it some times a second. */
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
  /** Ends a wait for the next configuration, if its answer hasn't begun. */
  void CancelLongPoll()
  {
    if (mLongPolling) {
      CancelCall();
    }
  }
  /** Ends the wait or the read under way, if its answer hasn't begun, so that it's begun anew. */
  void CancelCall() { mCancelled = mStore.StopWaiting() || mCancelled; }

private:
  /**
   * One call after the other: reads that overlap share the daemon's link, so that each makes the
   * others longer and all but one are thrown away.
   */
  asio::awaitable<void> Step()
  {
    if (mNextPosition && mNextPosition->mEra < mState.mRunners.End().mEra) {
      mNextPosition.reset(); // The store came back older: its offsets are given out again.
    }
    const bool behind = mContact.IsBehind();
    const bool leaves = !behind && (!mContact.IsReader() || mContact.RunnerReadFailed());
    if (leaves) {
      mLastPollAnswered = false;
      co_await Sleep(kReportCheckInterval);
    } else if (behind && mPeersAsked < kMaxPeersAsked) {
      co_await AskPeer(mPeersAsked++);
    } else if (mNextPosition && !mContact.IsBehind()) {
      co_await LongPollNext(*mNextPosition);
    } else {
      co_await ReadNewest();
    }
  }

  /** Asks a daemon of the hall that reads the store for others. @param aRank which of them. */
  asio::awaitable<void> AskPeer(std::size_t aRank)
  {
    const std::vector<const member_info*> ranked =
      mLink.Members().RankedServing(mState.mSettings.mHall);
    if (aRank >= ranked.size() || ranked[aRank] == &mLink.Members().Self()) {
      co_return;
    }
    const endpoint at = ranked[aRank]->mAddress;
    const std::string name = ranked[aRank]->mName;
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

  /** Reads a newer configuration from another daemon. */
  asio::awaitable<result<config_reading>> ReadFromPeer(endpoint aAt)
  {
    http_call call;
    call.mTarget = Join(kConfigPath, "?", kAfterParameter, "=", mState.mRoutes->Config().mVersion);
    BOOST_OUTCOME_CO_TRY(const http_connection_ptr connection,
                         co_await http_connection::Connect(aAt, kPeerResponseTimeout));
    BOOST_OUTCOME_CO_TRY(const unsigned status,
                         co_await connection->Start(call, kPeerResponseTimeout));
    std::string text;
    bool more = true;
    while (more) {
      BOOST_OUTCOME_CO_TRY(more, co_await connection->ReadSome(text, kPeerIdleTimeout));
    }
    if (status != 200) {
      co_return make_error_code(errc::eLogUnavailable);
    }
    config_reading reading;
    BOOST_OUTCOME_CO_TRY(reading.mConfig, Store::DecodeText(text));
    reading.mText = std::make_shared<const std::string>(std::move(text));
    const std::optional<store_mark> next = ParseMark(connection->Header(kNextHeader));
    reading.mMore = !next;
    reading.mNext = next.value_or(store_mark{});
    co_return reading;
  }

  /** Waits for the configuration after the one in force. What was written while this daemon didn't
   * ask, or wasn't answered, is asked for without a wait: a store may notice it at the end only. */
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
      co_return; // What to read is decided anew.
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
      co_await Sleep(kReportCheckInterval); // The store didn't hold the answer.
    }
  }

  /** Reads the newest configuration whole. */
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

  /** Reads the configuration whole, and tells how that went. @param aWhy for the log. */
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

  /** Puts what was read in force. @return whether it's newer than what was. */
  bool ApplyReading(const config_reading& aReading)
  {
    mNextPosition = aReading.mNext;
    if (aReading.mMore) {
      mNextPosition.reset(); // The newest is read at once, not one version after the other.
    }
    return aReading.mConfig && PutInForce(aReading);
  }

  /** Puts a configuration in force unless it's older than the one in force. @return whether it is
   * newer. */
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

  /** Leaves the store alone for a moment, which gets longer until something newer is read. */
  asio::awaitable<void> BackOff(duration aLongest)
  {
    const duration rest = mBackoff;
    mBackoff = std::min(mBackoff * 2, aLongest);
    co_await Sleep(rest);
  }

  forward_state& mState;       ///< Shared.
  Store& mStore;               ///< The store.
  daemon_link& mLink;          ///< Told of the version in force.
  store_contact& mContact;     ///< What is known of the store.
  config_source mSource;       ///< Hands the configuration on.
  std::size_t mPeersAsked = 0; ///< Daemons asked for the version that is behind.
  std::function<void(const caller_limits&)> mOnConfig; ///< Told of new limits.
  std::optional<store_mark> mNextPosition;             ///< Where to wait for a configuration.
  duration mBackoff = kInitialStoreBackoff;            ///< The next rest.
  duration mReadTimeout = kInitialReadTimeout;         ///< For the next whole read to begin.
  instant mReadStartedAt{ 0 };                         ///< Begin of the whole read; zero if none.
  instant mBehindSince{ 0 };                           ///< Another daemon has a newer version.
  instant mInForceSince{ 0 };                          ///< When the version came into force.
  bool mLongPolling = false;                           ///< A wait is under way.
  bool mLastPollAnswered =
    false; ///< LongPollNext() was answered last, and this daemon has asked on since.
  bool mCancelled = false; ///< The call was ended by this daemon.
};

} // namespace dunehook
