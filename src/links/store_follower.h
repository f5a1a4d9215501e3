/**
 * @file store_follower.h
 * Follows the configuration and the runners in the store.
 */
#pragma once

#include "links/config_follower.h"

#include <algorithm>

namespace dunehook {

/** Time between reads of the runners. It is less than half of the time for which a leaving runner
 * still serves. */
inline constexpr duration kRunnerReadInterval = std::chrono::milliseconds(900);

/** Reads the runners from the store, and runs the configuration follower. */
template<control_store Store>
class store_follower
{
public:
  /** @param aOnConfig called with the caller limits of each configuration that comes into force. */
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
  /** @return the object that serves the configuration to other daemons. */
  config_source& Source() { return mConfig.Source(); }
  /** Updates what depends on time. Call it several times a second. */
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

  /** Reads the changed runners, or waits while another daemon reads them for this one. */
  asio::awaitable<void> FollowRunnersStep()
  {
    if (!mContact.MustReadRunners()) {
      co_await Sleep(kReportCheckInterval);
      co_return;
    }
    const instant began = mState.Now();
    const result<runner_listing> listing = co_await mStore.ReadRunners();
    mContact.NoteAnswer(listing.has_value(), "runners");
    if (!listing) {
      mContact.NoteRunnerReadFailed();
      co_await BackOffAfterFailure(listing.error());
      co_return;
    }
    if (mContact.RunnerReadFailed()) {
      mBackoff = kInitialStoreBackoff;
      mConfig.CancelCall(); // It may have been started while the store was away, so that its answer
                            // is lost.
    }
    if (mState.LogStoreRollback(listing.value().mEnd.mEra)) {
      mContact.NoteStoreRolledBack();
      mConfig.CancelLongPoll(); // It waits at an offset that the store assigns again.
    }
    // Taken after the read: changes that another daemon reported meanwhile aren't among those that
    // this read makes.
    const store_mark from = mState.mRunners.End();
    const std::vector<service_runner_id> changed =
      mState.mRunners.Apply(listing.value(), mState.Now(), mContact.WasRecentlyAway());
    mState.NoteRunnersChanged(changed);
    mContact.NoteRunners(began, from, changed);
    mContact.BroadcastPosition();
    if (mContact.Known()) {
      mBackoff = kInitialStoreBackoff;
      co_await Sleep(mContact.IsReader() ? kRunnerReadInterval : kReportCheckInterval);
      co_return;
    }
    // The store holds no runners or no configuration yet.
    co_await Sleep(kMaxStoreBackoff);
  }

  /** Pauses calls to the store. The pause doubles each time, up to kMaxStoreBackoff, until a read
   * succeeds. */
  asio::awaitable<void> BackOff()
  {
    const duration rest = mBackoff;
    mBackoff = std::min(mBackoff * 2, kMaxStoreBackoff);
    co_await Sleep(rest);
  }

  asio::awaitable<void> BackOffAfterFailure(std::error_code aError)
  {
    if (aError == errc::eDeadlinePassed || aError == errc::eConnectionLost) {
      mConfig.CancelLongPoll(); // The connection of the long poll may have fallen silent as well.
    }
    co_await BackOff();
  }

  forward_state& mState;                    ///< State shared by the parts of the daemon.
  Store& mStore;                            ///< Holds the runners.
  store_contact mContact;                   ///< Whether the store answers, and who reads it.
  config_follower<Store> mConfig;           ///< Follows the configuration.
  duration mBackoff = kInitialStoreBackoff; ///< Pause after the next failed read of the runners.
};

} // namespace dunehook
