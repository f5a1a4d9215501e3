/**
 * @file cut_check.h
 * Tells the end of one runner from a cut that separates this daemon from all runners of a service:
 * to a daemon that is cut off by resets, each runner seems to crash.
 */
#pragma once

#include "forward/upstream_send.h"

namespace dunehook {

/** Time limit for a connection to another runner. Two of these end within kReportWindow. */
inline constexpr duration kCutCheckConnectTime = std::chrono::milliseconds(100);
/** Number of other runners tried: one of them may be down as well. */
inline constexpr std::size_t kCutCheckRunners = 2;

/**
 * Checks after a lost connection whether this daemon still reaches another runner of the service.
 * Runners that were known not to take work before, or have crashed, aren't tried.
 * @return whether it may be cut off: the loss by itself says nothing about @p aRunner. False if
 * there's no other runner to try.
 */
inline asio::awaitable<bool>
IsCutOffAfterLoss(forward_state& aState, service_runner_id aRunner)
{
  const runner_state* const lost = aState.mRunners.Find(aRunner);
  if (lost == nullptr) {
    co_return false;
  }
  const std::string service = lost->mEntry.mService;
  std::vector<std::pair<service_runner_id, endpoint>> others;
  std::size_t crashed = 0;
  const std::vector<const runner_state*> runners = aState.mRunners.RunnersOf(service);
  for (const runner_state* const runner : runners) {
    if (runner->mId == aRunner) {
      continue;
    }
    crashed += runner->mHasCrashed ? 1 : 0;
    if (!runner->mHasCrashed && aState.mRunners.TakesWork(*runner, aState.Now())) {
      others.emplace_back(runner->mId, runner->mEntry.mAddress);
    }
  }
  if (crashed > 0 && crashed + 1 >= runners.size()) { // That explains why none is reached.
    co_return false;
  }
  std::shuffle(others.begin(), others.end(), aState.mRandom);
  others.resize(std::min(others.size(), kCutCheckRunners));
  for (const auto& [id, address] : others) {
    if (aState.IsCutOff(service)) {
      break;
    }
    const result<upstream_ptr> taken =
      co_await upstream_connection::Connect(address, kCutCheckConnectTime);
    if (taken) {
      taken.value()->Abort();
      aState.NoteReached(id);
      co_return false;
    }
    aState.NoteUnreachable(id);
  }
  co_return aState.IsCutOff(service) || !others.empty();
}

} // namespace dunehook
