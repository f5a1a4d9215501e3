/**
 * @file soak_callers.h
 * Callers of a soak: each sends one request after the other, on kept or fresh connections, resumes
 * streams that broke, and leaves now and then. They go on through all faults and judge nothing.
 */
#pragma once

#include "soak/soak_type.h"
#include "tests/platform/fleet_bed.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace dunehook::soak {

/** What a body that crashes runners begins with. */
inline const std::string kPoison = "poison-";
/** What a part of prompts that crashes engines begins with; the number follows. */
inline const std::string kPoisonPart = "bad";
/** Such parts that engines know. */
inline constexpr int kPoisonParts = 60;

/** What callers and faults share. */
struct caller_world
{
  std::vector<std::string> mDaemons;        ///< Callers' addresses of the daemons.
  std::vector<std::atomic<int>> mLives;     ///< Runs of each daemon's process so far.
  std::atomic<std::uint64_t> mVersion{ 1 }; ///< Newest configuration that was written.

  std::atomic<int> mPoison{ 0 }; ///< Number of the body that crashes runners; 0: none.

  /** That number names a part of prompts which are no two alike, and not a body. */
  std::atomic<bool> mPoisonParts{ false };

  std::atomic<bool> mRepeats{ false }; ///< Callers send again what a runner's end has broken.

  explicit caller_world(std::size_t aDaemons)
    : mLives(aDaemons)
  {
  }
};

/** The callers, on one thread of their own. */
class soak_callers
{
public:
  soak_callers(caller_world& aWorld, std::size_t aCallers, unsigned aSeed);
  ~soak_callers();
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;

  /** No new requests; waits until those under way have ended. */
  void Stop();
  /** @return all requests that have ended. */
  std::vector<call_record> Records() const;

private:
  struct connection;

  asio::awaitable<void> Live(std::size_t aNumber);
  call_record DrawCall(std::size_t aNumber, std::uint64_t aCount);
  asio::awaitable<void> Perform(connection& aConnection, call_record& aCall);
  int Draw(int aMost) { return std::uniform_int_distribution<int>(0, aMost - 1)(mRandom); }

  caller_world& mWorld;                 ///< Where to call.
  asio::io_context mIo;                 ///< Runs all callers.
  std::mt19937 mRandom;                 ///< Used on the callers' thread only.
  std::atomic<bool> mStopping{ false }; ///< No new requests.
  mutable std::mutex mLock;             ///< Guards mRecords.
  std::vector<call_record> mRecords;    ///< Ended requests.
  std::thread mThread;                  ///< Runs mIo.
};

} // namespace dunehook::soak
