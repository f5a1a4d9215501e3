/**
 * @file store_follower.h
 * Follows the configuration and the runners in the store, and knows whether the store answers.
 */
#pragma once

#include "core/log_func.h"
#include "forward/daemon_link.h"
#include "forward/wire_type.h"

namespace dunehook {

/** Time between reads of the runners; half of what a leaving runner is served on for, and less. */
inline constexpr duration kRunnersEvery = std::chrono::milliseconds(900);
/** One daemon of each hall reads the store and tells all how far it is. What was told lately stands
 * for a read of one's own: a reader that is silent is passed over within the time in which a
 * leaving runner is still served. */
inline constexpr duration kToldFor = std::chrono::milliseconds(1200);
/** Time between looks at what was told. */
inline constexpr duration kLookAtTold = std::chrono::milliseconds(100);
/** How long the store may hold the answer while the configuration doesn't change. */
inline constexpr duration kConfigWait = std::chrono::milliseconds(3000);
/** Rest after a failed read of the store; doubled up to the longest. */
inline constexpr duration kFirstStoreRest = std::chrono::milliseconds(150);
inline constexpr duration kLongestStoreRest = std::chrono::milliseconds(600);
/** Rest after a read that brought nothing newer although another daemon told of it, at most: a
 * claim that the store doesn't bear out costs no read every few 100 ms, and what is written
 * meanwhile is in force within the 2 s that the shortest deployments allow. */
inline constexpr duration kLongestFruitlessRest = std::chrono::milliseconds(1000);
/** The answer to a whole read must begin within this: a lost one is asked for again, in force
 * within the 2 s that the shortest deployments allow. Doubled after each that is late, up to the
 * longest: a store that hands a configuration to all daemons at once may take that long to begin.
 */
inline constexpr duration kFirstReadLimit = std::chrono::milliseconds(700);
inline constexpr duration kLongestReadLimit = std::chrono::milliseconds(6000);
/** A wait is ended after this if another daemon has a newer configuration: it comes by itself
 * mostly. */
inline constexpr duration kBehindFor = std::chrono::milliseconds(250);
/** The store counts as away until it has answered for this long: lapsed entries are back by then.
 */
inline constexpr duration kStoreBackFor = std::chrono::milliseconds(2500);

/** The follower. */
template<control_store Store>
class store_follower
{
public:
  /** @param aOnConfig called with the limits of a configuration that comes into force. */
  store_follower(forward_state& aState,
                 Store& aStore,
                 daemon_link& aLink,
                 std::function<void(const caller_limits&)> aOnConfig)
    : mState(aState)
    , mStore(aStore)
    , mLink(aLink)
    , mOnConfig(std::move(aOnConfig))
  {
  }

  void Start()
  {
    SpawnGuarded(mState.mIo, FollowConfig());
    SpawnGuarded(mState.mIo, FollowRunners());
  }

  /** @return whether a configuration and runners are known. */
  bool Known() const { return mState.mRoutes && mRunnersKnown; }
  /** @return whether the last call was answered. */
  bool Answers() const { return mAnswers; }
  /** @return reads of the whole configuration that haven't ended. */
  std::uint64_t ReadsUnderWay() const { return mReadsUnderWay; }
  /** @return whether the store was away lately, so that entries may have lapsed unasked. Only this
   * daemon's own calls count: another may be cut off from a store that is well. */
  bool WasAway() const { return mAwayAt != instant{ 0 } && mState.Now() - mAwayAt < kStoreBackFor; }
  /** @return when the configuration came into force. */
  instant ConfigSince() const { return mConfigSince; }

  /** Ends the wait for a configuration where another daemon has a newer one: the answer that should
   * have brought it is lost or late. Call it some times a second. */
  void CatchUp()
  {
    const instant now = mState.Now();
    if (!Behind()) {
      mBehindSince = instant{ 0 };
      return;
    }
    if (mBehindSince == instant{ 0 }) {
      mBehindSince = now;
    }
    if (now - mBehindSince >= kBehindFor) {
      StopWaiting();
    }
  }

private:
  /** @return whether others read the store for this daemon, and told lately. */
  bool IsTold() const
  {
    return Known() && !mLink.FirstOfHall() && mState.mToldStoreAt != instant{ 0 } &&
           mState.Now() - mState.mToldStoreAt < kToldFor;
  }

  /** Tells the others how far the store is, if this daemon reads it for them. */
  void TellPosition()
  {
    if (!Known() || !mLink.FirstOfHall()) {
      return;
    }
    run_message message;
    message.mStore = store_position{ mState.mRunners.End(), mState.mRoutes->Config().mVersion };
    mLink.Tell(std::move(message));
  }

  /** Puts a configuration in force unless it's older than the one in force. @return whether it is
   * newer. */
  bool Adopt(routing_config aConfig)
  {
    if (mState.mRoutes && aConfig.mVersion <= mState.mRoutes->Config().mVersion) {
      return false;
    }
    LogEvent(log_level::eInfo,
             "config_in_force",
             { { "version", aConfig.mVersion }, { "routes", aConfig.mRoutes.size() } });
    mConfigSince = mState.Now();
    mOnConfig(aConfig.mLimits);
    mLink.Members().SetSelf(aConfig.mVersion, !mState.mStopping);
    mState.mRoutes = std::make_shared<const route_table>(std::move(aConfig));
    TellPosition();
    return true;
  }

  /** Notes whether the store answered. */
  void NoteAnswer(bool aAnswered, std::string_view aCall)
  {
    mState.mMetrics.CountStoreCall(aCall, aAnswered);
    if (!aAnswered) {
      mAwayAt = mState.Now();
    }
    if (aAnswered != mAnswers) {
      mAnswers = aAnswered;
      LogEvent(
        log_level::eInfo, aAnswered ? "store_regained" : "store_lost", { { "call", aCall } });
    }
  }

  /** Reads the configuration whole, and tells how that went. @param aWhy "first" or "behind". */
  asio::awaitable<result<config_reading>> ReadWhole(std::string_view aWhy)
  {
    const instant began = mState.Now();
    const std::uint64_t bytes = mStore.BytesIn();
    ++mReadsUnderWay;
    result<config_reading> reading = co_await mStore.ReadConfig(mReadLimit);
    --mReadsUnderWay;
    const bool late = !reading && reading.error() == errc::eDeadlinePassed;
    mReadLimit = late ? std::min(mReadLimit * 2, kLongestReadLimit) : kFirstReadLimit;
    const bool has = reading && reading.value().mConfig;
    LogEvent(log_level::eInfo,
             "config_read",
             { { "why", aWhy },
               { "outcome", reading ? "ok" : ErrorName(reading.error()) },
               { "version", has ? reading.value().mConfig->mVersion : 0 },
               { "ms", (mState.Now() - began).count() / 1000 },
               { "bytes_in", mStore.BytesIn() - bytes } });
    NoteAnswer(reading.has_value(), "config");
    co_return reading;
  }

  /** @return the newest version that any daemon has told of. */
  std::uint64_t NewestTold() const
  {
    return std::max(mState.mToldStore.mConfig, mLink.Members().HighestNext());
  }

  /** @return whether another daemon has a newer configuration than this one. */
  bool Behind() const { return mState.mRoutes && NewestTold() > mState.mRoutes->Config().mVersion; }

  /** Ends a wait for the next configuration, if its answer hasn't begun. */
  void StopWaiting() { mWaitStopped = mStore.StopWaiting() || mWaitStopped; }

  /**
   * The only place that reads the configuration, one call after the other: reads that overlap share
   * the daemon's link, so that each makes the others longer and all but one are thrown away. On a
   * link of 10 Mbit/s, 4,248 routes (1 MB) were in force 7 to 10 s after they were written while a
   * read was begun every 250 ms, and some 1 s after one by one (two daemons and a proxy of that
   * rate on loopback).
   */
  asio::awaitable<void> FollowConfig()
  {
    for (;;) {
      if (IsTold() && !Behind()) {
        mNext.reset();
        co_await Sleep(kLookAtTold);
      } else if (mNext && !Behind()) {
        co_await AwaitNext(*mNext);
      } else {
        co_await ReadNewest();
      }
    }
  }

  /** Waits for the configuration after the one in force. */
  asio::awaitable<void> AwaitNext(std::uint64_t aNext)
  {
    mWaitStopped = false;
    result<config_reading> reading = co_await mStore.AwaitConfig(aNext, kConfigWait);
    if (!reading && mWaitStopped) {
      co_return; // What to read is decided anew.
    }
    const bool forgotten = !reading && reading.error() == errc::eRetentionPassed;
    NoteAnswer(reading || forgotten, "config");
    if (!reading) {
      mNext.reset();
      co_await Rest(kLongestStoreRest);
      co_return;
    }
    mRest = kFirstStoreRest;
    Take(std::move(reading.value()));
  }

  /** Reads the newest configuration whole. */
  asio::awaitable<void> ReadNewest()
  {
    const bool behind = Behind();
    if (behind) {
      LogEvent(log_level::eInfo,
               "config_behind",
               { { "own", mState.mRoutes->Config().mVersion }, { "newest", NewestTold() } });
    }
    result<config_reading> reading = co_await ReadWhole(behind ? "behind" : "first");
    if (!reading) {
      mNext.reset();
      co_await Rest(kLongestStoreRest);
      co_return;
    }
    const bool newer = Take(std::move(reading.value()));
    if (newer || !behind) {
      mRest = kFirstStoreRest;
    }
    if (!mState.mRoutes || (behind && !newer)) {
      co_await Rest(kLongestFruitlessRest);
    }
  }

  /** Puts what was read in force. @return whether it's newer than what was. */
  bool Take(config_reading aReading)
  {
    mNext = aReading.mNext;
    if (aReading.mMore || (!aReading.mConfig && !mState.mRoutes)) {
      mNext.reset(); // The newest is read at once, not one version after the other.
    }
    return aReading.mConfig && Adopt(std::move(*aReading.mConfig));
  }

  /** Leaves the store alone for a moment, which gets longer until something newer is read. */
  asio::awaitable<void> Rest(duration aLongest)
  {
    const duration rest = mRest;
    mRest = std::min(mRest * 2, aLongest);
    co_await Sleep(rest);
  }

  asio::awaitable<void> FollowRunners()
  {
    duration rest = kFirstStoreRest;
    for (;;) {
      if (IsTold() && mState.mToldStore.mRunners <= mState.mRunners.End()) {
        mState.mListedAt = mState.mToldStoreAt;
        co_await Sleep(kLookAtTold);
        continue;
      }
      const result<runner_listing> listing = co_await mStore.ReadRunners();
      NoteAnswer(listing.has_value(), "runners");
      if (!listing) {
        StopWaiting(); // Its connection may have fallen silent as well.
        co_await Sleep(rest);
        rest = std::min(rest * 2, kLongestStoreRest);
        continue;
      }
      rest = kFirstStoreRest;
      mState.mListedAt = mState.Now();
      mRunnersKnown = mRunnersKnown || !listing.value().mRunners.empty();
      for (const service_runner_id id :
           mState.mRunners.Apply(listing.value(), mState.Now(), WasAway())) {
        LogRunner(id);
      }
      TellPosition();
      co_await Sleep(!mRunnersKnown ? kFirstStoreRest : IsTold() ? kLookAtTold : kRunnersEvery);
    }
  }

  void LogRunner(service_runner_id aId)
  {
    const runner_state* const runner = mState.mRunners.Find(aId);
    if (runner == nullptr) {
      return;
    }
    LogEvent(log_level::eInfo,
             "runner_changed",
             { { "runner", runner->mEntry.mName },
               { "service", runner->mEntry.mService },
               { "address", ToText(runner->mEntry.mAddress) },
               { "listed", runner->mListed },
               { "leaving", runner->mDraining },
               { "role", RoleName(runner->mEntry.mRole) },
               { "position", mState.mRunners.End() } });
  }

  forward_state& mState;                               ///< Shared.
  Store& mStore;                                       ///< The store.
  daemon_link& mLink;                                  ///< Versions of the other daemons.
  std::function<void(const caller_limits&)> mOnConfig; ///< Told of new limits.
  std::uint64_t mReadsUnderWay = 0;                    ///< Whole reads: one at most.
  std::optional<std::uint64_t> mNext;                  ///< Where to wait for a configuration.
  duration mRest = kFirstStoreRest;                    ///< The next rest of FollowConfig().
  duration mReadLimit = kFirstReadLimit;               ///< For the next whole read to begin.
  bool mWaitStopped = false;                           ///< The wait was ended by this daemon.
  bool mRunnersKnown = false;                          ///< A listing with runners was read.
  bool mAnswers = true;                                ///< The last call was answered.
  instant mAwayAt{ 0 };                                ///< Last failed call; zero if none.
  instant mBehindSince{ 0 };                           ///< Another daemon has a newer version.
  instant mConfigSince{ 0 };                           ///< When the version came into force.
};

} // namespace dunehook
