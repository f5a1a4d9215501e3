/**
 * @file list_check.h
 * Checks with the store that this daemon's list of runners isn't behind. A daemon that is cut off
 * from the others, or has stood still, doesn't notice by itself that a runner was listed meanwhile.
 */
#pragma once

#include "messages/wire_type.h"
#include "state/forward_state.h"

namespace dunehook {

/** How long a check waits for the list to come up to the store's; longer than the time between
 * reads of the list. */
inline constexpr duration kListWait = std::chrono::milliseconds(1200);
/** Time between looks at the list. */
inline constexpr duration kListPollInterval = std::chrono::milliseconds(50);
/** Least time between questions of a daemon, which serve all checks that wait, for the store's
 * rate. */
inline constexpr duration kListCheckInterval = std::chrono::milliseconds(100);

/** Checks the list of runners. */
template<control_store Store>
class list_check
{
public:
  list_check(forward_state& aState, Store& aStore)
    : mState(aState)
    , mStore(aStore)
    , mAnswered(aState.mIo)
  {
  }

  /** @return whether the list has come up to where the store's ended after this call; false if the
   * store doesn't say so in time. */
  asio::awaitable<bool> AwaitCurrentList()
  {
    const instant until = mState.Now() + kListWait;
    const std::uint64_t wanted = mAsked + 1; // One that is under way may have been answered before.
    while (mAnswer < wanted && mState.Now() < until) {
      if (mAsking) {
        co_await mAnswered.Wait(until - mState.Now());
      } else {
        co_await Ask();
      }
    }
    while (mAnswer >= wanted && mEnd && mState.mRunners.End() < *mEnd && mState.Now() < until) {
      co_await Sleep(kListPollInterval);
    }
    co_return mAnswer >= wanted&& mEnd && !(mState.mRunners.End() < *mEnd);
  }

private:
  /** Asks the store where the list ends. */
  asio::awaitable<void> Ask()
  {
    mAsking = true;
    const duration rest = mAskedAt + kListCheckInterval - mState.Now();
    if (rest > duration{ 0 }) {
      co_await Sleep(rest);
    }
    mAskedAt = mState.Now();
    const std::uint64_t number = ++mAsked;
    const result<store_mark> end = co_await mStore.FindRunnersEnd(mState.mRunners.End());
    mEnd.reset();
    if (end) {
      mEnd = end.value();
    }
    mAnswer = number;
    mAsking = false;
    mAnswered.Notify();
  }

  forward_state& mState;          ///< State shared by the parts of the daemon.
  Store& mStore;                  ///< Has the newest list.
  std::uint64_t mAsked = 0;       ///< Number of the last question.
  std::uint64_t mAnswer = 0;      ///< Number of the last question that has ended.
  std::optional<store_mark> mEnd; ///< Its answer; none if it failed.
  instant mAskedAt{ 0 };          ///< When the last question was sent.
  bool mAsking = false;           ///< A question is being prepared or under way.
  wake_list mAnswered;            ///< Woken when one has ended.
};

} // namespace dunehook
