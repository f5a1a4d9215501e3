/**
 * @file stop_end.h
 * The end of a graceful stop for the requests that are still running.
 */
#pragma once

#include "state/forward_state.h"

namespace dunehook {

/** Reserved after the time limit of a graceful stop for the final answers of running requests. */
inline constexpr duration kFinalAnswerTime = std::chrono::milliseconds(200);

/**
 * Gives the requests up that still run at the end of a graceful stop: their callers are told that
 * they may have run, in place of a connection that closes.
 * @param aRunning tells how many there are.
 * @return how many there were.
 */
template<typename Running>
asio::awaitable<std::size_t>
EndRunning(forward_state& aState, Running aRunning)
{
  constexpr duration kPollInterval = std::chrono::milliseconds(10);
  const std::size_t running = aRunning();
  aState.mPool.ExpireTaken();
  aState.mRelayPool.ExpireTaken();
  const instant until = aState.Now() + kFinalAnswerTime;
  while (aRunning() > 0 && aState.Now() < until) {
    co_await Sleep(kPollInterval);
  }
  co_return running;
}

} // namespace dunehook
