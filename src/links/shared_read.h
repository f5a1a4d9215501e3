/**
 * @file shared_read.h
 * Lets many requests share one read of the store: callers that return together don't all read it.
 */
#pragma once

#include "core/clock_type.h"
#include "net/net_type.h"

namespace dunehook {

/** A read that serves all requests for a while. */
class shared_read
{
public:
  /** @param aLifetime for how long a read that succeeded serves requests.
   * @param aWait longest wait for a read that is under way. */
  shared_read(asio::io_context& aIo, duration aLifetime, duration aWait)
    : mLifetime(aLifetime)
    , mWait(aWait)
    , mEnded(aIo)
  {
  }

  /**
   * Reads, unless that was done just now; waits for a read that is under way.
   * @param aRead starts the read, and says in the end whether it has succeeded.
   */
  template<typename Read>
  asio::awaitable<void> Run(Read aRead)
  {
    if (mReading) {
      co_await mEnded.Wait(mWait);
      co_return;
    }
    const bool isFresh = mReadAt && boot_clock_source{}.Now() - *mReadAt < mLifetime;
    if (isFresh) {
      co_return;
    }
    const reading_mark mark(*this);
    const bool read = co_await aRead();
    mReadAt.reset();
    if (read) {
      mReadAt = boot_clock_source{}.Now();
    }
  }

private:
  /** Marks a read as under way for as long as it lives, also if the read ends by an exception. */
  class reading_mark
  {
  public:
    explicit reading_mark(shared_read& aOwner)
      : mOwner(aOwner)
    {
      mOwner.mReading = true;
    }
    ~reading_mark()
    {
      mOwner.mReading = false;
      mOwner.mEnded.Notify();
    }
    reading_mark(const reading_mark&) = delete;
    reading_mark& operator=(const reading_mark&) = delete;

  private:
    shared_read& mOwner; ///< Outlives the read.
  };

  duration mLifetime;             ///< For how long a read serves.
  duration mWait;                 ///< Longest wait for one that is under way.
  std::optional<instant> mReadAt; ///< When the last read ended; none if it failed.
  bool mReading = false;          ///< A read is under way.
  wake_list mEnded;               ///< Woken when it has ended.
};

} // namespace dunehook
