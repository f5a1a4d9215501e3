/**
 * @file store_follower.h
 * Follows the configuration and the runners in the store.
 */
#pragma once

#include "links/config_follower.h"

namespace dunehook {

/** Time between reads of the runners; half of what a leaving runner is served on for, and less. */
inline constexpr duration kRunnerReadInterval = std::chrono::milliseconds(900);

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
  /** @return what hands the configuration on to other daemons. */
  config_source& Source() { return mConfig.Source(); }
  /** Call it some times a second. */
  void Tick()
  {
    mContact.Tick();
    mConfig.CancelOverdueLongPoll();
  }

private:
  asio::awaitable<void> FollowRunners()
  {
    for (;;) {
      bool failed = false;
      try {
        co_await FollowRunnersStep();
      } catch (const std::exception& error) {
        LogEvent(log_level::eError, "runner_reading_failed", { { "what", error.what() } });
        failed = true;
      }
      if (failed) {
        co_await Sleep(kMaxStoreBackoff);
      }
    }
  }

  /** Reads what changed of the runners, or leaves it to those that read for this daemon. */
  asio::awaitable<void> FollowRunnersStep()
  {
    if (!mContact.MustReadRunners()) {
      mState.mListedAt = mState.mToldStoreAt;
      co_await Sleep(kReportCheckInterval);
      co_return;
    }
    const result<runner_listing> listing = co_await mStore.ReadRunners();
    mContact.NoteAnswer(listing.has_value(), "runners");
    if (!listing) {
      mContact.NoteRunnerReadFailed();
      co_await BackOffAfterFailure(listing.error());
      co_return;
    }
    if (mContact.RunnerReadFailed()) {
      mBackoff = kInitialStoreBackoff;
      mConfig.CancelCall(); // It may have been begun while the store was away: its answer is lost.
    }
    if (mState.NoteEra(listing.value().mEnd.mEra)) {
      mContact.NoteStoreRolledBack();
      mConfig.CancelLongPoll(); // It waits at an offset that is given out again.
    }
    // Not before the read: what another daemon has told meanwhile isn't among what this one
    // changes.
    const store_mark from = mState.mRunners.End();
    const std::vector<service_runner_id> changed =
      mState.mRunners.Apply(listing.value(), mState.Now(), mContact.WasRecentlyAway());
    mState.NoteRunnersChanged(changed);
    mContact.NoteRunners(from, changed);
    mContact.BroadcastPosition();
    if (mContact.Known()) {
      mBackoff = kInitialStoreBackoff;
      co_await Sleep(mContact.IsReader() ? kRunnerReadInterval : kReportCheckInterval);
      co_return;
    }
    // The first entries, or the first configuration, are still to be written.
    co_await Sleep(kMaxStoreBackoff);
  }

  /** Leaves the store alone for a moment, which gets longer until there's something to follow. */
  asio::awaitable<void> BackOff()
  {
    const duration rest = mBackoff;
    mBackoff = std::min(mBackoff * 2, kMaxStoreBackoff);
    co_await Sleep(rest);
  }

  asio::awaitable<void> BackOffAfterFailure(std::error_code aError)
  {
    if (aError == errc::eDeadlinePassed || aError == errc::eConnectionLost) {
      mConfig.CancelLongPoll(); // Its connection may have fallen silent as well.
    }
    co_await BackOff();
  }

  forward_state& mState;                    ///< Shared.
  Store& mStore;                            ///< The store.
  store_contact mContact;                   ///< What is known of the store.
  config_follower<Store> mConfig;           ///< Follows the configuration.
  duration mBackoff = kInitialStoreBackoff; ///< After the next failed read of the runners.
};

} // namespace dunehook
