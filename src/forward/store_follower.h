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
/** Another daemon's newer configuration is read for after this: it comes by itself mostly. */
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

  /** Reads the configuration where another daemon has a newer one: the answer that should have
   * brought it may be lost or late. Call it some times a second. */
  void CatchUp()
  {
    const instant now = mState.Now();
    const std::uint64_t own = mState.mRoutes ? mState.mRoutes->Config().mVersion : 0;
    const std::uint64_t newest = mLink.Members().HighestNext();
    if (own == 0 || newest <= own) {
      mBehindSince = instant{ 0 };
      return;
    }
    if (mBehindSince == instant{ 0 }) {
      mBehindSince = now;
    }
    if (now - mBehindSince >= kBehindFor) {
      mBehindSince = now;
      LogEvent(log_level::eInfo, "config_behind", { { "own", own }, { "newest", newest } });
      SpawnGuarded(mState.mIo, ReadOnce("behind"));
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

  /** Puts a configuration in force unless it's older than the one in force. */
  void Adopt(routing_config aConfig)
  {
    if (mState.mRoutes && aConfig.mVersion <= mState.mRoutes->Config().mVersion) {
      return;
    }
    LogEvent(log_level::eInfo,
             "config_in_force",
             { { "version", aConfig.mVersion }, { "routes", aConfig.mRoutes.size() } });
    mConfigSince = mState.Now();
    mOnConfig(aConfig.mLimits);
    mLink.Members().SetSelf(aConfig.mVersion, !mState.mStopping);
    mState.mRoutes = std::make_shared<const route_table>(std::move(aConfig));
    TellPosition();
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

  /** Reads the configuration whole, and tells how that went. @param aWhy "first", "told",
   * "behind". */
  asio::awaitable<result<config_reading>> ReadWhole(std::string_view aWhy)
  {
    const instant began = mState.Now();
    const std::uint64_t bytes = mStore.BytesIn();
    ++mReadsUnderWay;
    result<config_reading> reading = co_await mStore.ReadConfig();
    const std::uint64_t underWay = mReadsUnderWay--;
    const bool has = reading && reading.value().mConfig;
    LogEvent(log_level::eInfo,
             "config_read",
             { { "why", aWhy },
               { "outcome", reading ? "ok" : ErrorName(reading.error()) },
               { "version", has ? reading.value().mConfig->mVersion : 0 },
               { "ms", (mState.Now() - began).count() / 1000 },
               { "bytes_in", mStore.BytesIn() - bytes },
               { "under_way", underWay } });
    NoteAnswer(reading.has_value(), "config");
    co_return reading;
  }

  asio::awaitable<void> ReadOnce(std::string_view aWhy)
  {
    result<config_reading> reading = co_await ReadWhole(aWhy);
    if (reading && reading.value().mConfig) {
      Adopt(std::move(*reading.value().mConfig));
    }
  }

  asio::awaitable<void> FollowConfig()
  {
    std::optional<std::uint64_t> next;
    duration rest = kFirstStoreRest;
    for (;;) {
      if (IsTold()) {
        next.reset();
        if (mState.mToldStore.mConfig > mState.mRoutes->Config().mVersion) {
          co_await ReadOnce("told");
        }
        co_await Sleep(kLookAtTold);
        continue;
      }
      // Two statements: GCC 12 destroys a result twice that a conditional expression awaits.
      result<config_reading> reading = make_error_code(errc::eLogUnavailable);
      if (next) {
        reading = co_await mStore.AwaitConfig(*next, kConfigWait);
        NoteAnswer(reading.has_value(), "config");
      } else {
        reading = co_await ReadWhole("first");
      }
      if (!reading) {
        next.reset();
        co_await Sleep(rest);
        rest = std::min(rest * 2, kLongestStoreRest);
        continue;
      }
      rest = kFirstStoreRest;
      next = reading.value().mNext;
      if (reading.value().mConfig) {
        Adopt(std::move(*reading.value().mConfig));
      } else if (!mState.mRoutes) {
        next.reset();
        co_await Sleep(kFirstStoreRest);
      }
    }
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
  std::uint64_t mReadsUnderWay = 0;                    ///< Whole reads of the configuration.
  bool mRunnersKnown = false;                          ///< A listing with runners was read.
  bool mAnswers = true;                                ///< The last call was answered.
  instant mAwayAt{ 0 };                                ///< Last failed call; zero if none.
  instant mBehindSince{ 0 };                           ///< Another daemon has a newer version.
  instant mConfigSince{ 0 };                           ///< When the version came into force.
};

} // namespace dunehook
