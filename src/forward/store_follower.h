/**
 * @file store_follower.h
 * Follows the configuration and the runners in the store.
 */
#pragma once

#include "forward/config_follower.h"

namespace dunehook {

/** Time between reads of the runners; half of what a leaving runner is served on for, and less. */
inline constexpr duration kRunnersEvery = std::chrono::milliseconds(900);

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
    , mContact(aState, aLink)
    , mConfig(aState, aStore, aLink, mContact, std::move(aOnConfig))
  {
  }

  void Start()
  {
    SpawnGuarded(mState.mIo, mConfig.Follow());
    SpawnGuarded(mState.mIo, FollowRunners());
  }

  const store_contact& Contact() const { return mContact; }
  const config_follower<Store>& Config() const { return mConfig; }
  /** Call it some times a second. */
  void Tick() { mConfig.EndLateWait(); }

private:
  asio::awaitable<void> FollowRunners()
  {
    for (;;) {
      bool failed = false;
      try {
        co_await FollowRunnersOnce();
      } catch (const std::exception& error) {
        LogEvent(log_level::eError, "runner_reading_failed", { { "what", error.what() } });
        failed = true;
      }
      if (failed) {
        co_await Sleep(kLongestStoreRest);
      }
    }
  }

  /** Reads what changed of the runners, or leaves it to those that read for this daemon. */
  asio::awaitable<void> FollowRunnersOnce()
  {
    if (!mContact.ReadsRunners()) {
      mState.mListedAt = mState.mToldStoreAt;
      co_await Sleep(kLookAtTold);
      co_return;
    }
    const result<runner_listing> listing = co_await mStore.ReadRunners();
    mContact.NoteAnswer(listing.has_value(), "runners");
    if (!listing) {
      co_await RestAfterFailure(listing.error());
      co_return;
    }
    if (mRest != kFirstStoreRest) {
      mRest = kFirstStoreRest;
      mConfig.EndCall(); // It may have been begun while the store was away: its answer is lost.
    }
    for (const service_runner_id id :
         mState.mRunners.Apply(listing.value(), mState.Now(), mContact.WasAway())) {
      LogRunner(id);
    }
    mContact.NoteRunners(!listing.value().mRunners.empty());
    mContact.TellPosition();
    const bool lookSoon = mContact.Known() && !mContact.ReadsRunners();
    const duration next = lookSoon ? kLookAtTold : kRunnersEvery;
    co_await Sleep(mContact.Known() ? next : kFirstStoreRest);
  }

  asio::awaitable<void> RestAfterFailure(std::error_code aError)
  {
    if (aError == errc::eDeadlinePassed || aError == errc::eConnectionLost) {
      mConfig.EndWait(); // Its connection may have fallen silent as well.
    }
    const duration rest = mRest;
    mRest = std::min(mRest * 2, kLongestStoreRest);
    co_await Sleep(rest);
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

  forward_state& mState;            ///< Shared.
  Store& mStore;                    ///< The store.
  store_contact mContact;           ///< What is known of the store.
  config_follower<Store> mConfig;   ///< Follows the configuration.
  duration mRest = kFirstStoreRest; ///< After the next failed read of the runners.
};

} // namespace dunehook
