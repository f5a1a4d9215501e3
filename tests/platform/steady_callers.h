/**
 * @file steady_callers.h
 * Callers that send one request after the other on kept connections, and note how each ended.
 */
#pragma once

#include "tests/support/testbed.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace dunehook::test {

/** What a caller sends, again and again. */
struct caller_plan
{
  std::string mName;      ///< Begins the ids of its requests; unique.
  std::string mAddress;   ///< Of the daemon.
  std::string mMethod;    ///< Of the request.
  std::string mTarget;    ///< Of the request.
  headers mHeaders;       ///< Beside the id.
  std::string mLastPiece; ///< What a whole success contains.
  int mPauseMs = 100;     ///< Between an end and the next request.
};

/** A request that has ended. */
struct caller_record
{
  std::string mId;           ///< Its id: the caller's name, "-", and a number.
  std::string mCaller;       ///< The caller's name.
  std::int64_t mSentAt = 0;  ///< Before its first byte was sent; see NowMs().
  std::int64_t mEndedAt = 0; ///< At the end of its answer or of the connection.
  unsigned mStatus = 0;      ///< 0 if no head came.
  bool mWhole = false;       ///< The answer is complete.
};

/** Callers on a thread of their own. */
class steady_callers
{
public:
  explicit steady_callers(std::vector<caller_plan> aPlans);
  ~steady_callers() { Stop(); }
  steady_callers(const steady_callers&) = delete;
  steady_callers& operator=(const steady_callers&) = delete;

  /** Lets what is under way end, and sends nothing more. */
  void Stop();
  /** @return requests that ended so far. */
  std::vector<caller_record> Records() const;

private:
  asio::awaitable<void> Run(caller_plan aPlan);
  /** Sends a request and notes how it ends. @return whether the connection goes on. */
  asio::awaitable<bool> SendOne(const caller_plan& aPlan,
                                int aNumber,
                                beast::tcp_stream& aLink,
                                beast::flat_buffer& aBuffer);

  asio::io_context mIo{ 1 };            ///< Runs the callers.
  std::atomic<bool> mStopping{ false }; ///< Stop() was called.
  mutable std::mutex mMutex;            ///< Guards mRecords.
  std::vector<caller_record> mRecords;  ///< In the order of their ends.
  std::thread mThread;                  ///< Runs mIo.
};

} // namespace dunehook::test
