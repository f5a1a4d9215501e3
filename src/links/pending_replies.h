/**
 * @file pending_replies.h
 * Requests to other daemons that wait for their replies, which come as datagrams of their own.
 */
#pragma once

#include "core/clock_type.h"
#include "net/net_type.h"

#include <map>
#include <memory>
#include <optional>

namespace dunehook {

/** The requests of one kind. @tparam Reply has mRound, which names the request. */
template<typename Reply>
class pending_replies
{
public:
  explicit pending_replies(asio::io_context& aIo)
    : mIo(aIo)
  {
  }

  /** Waits for the reply to a request that was sent. @return it; nothing if it doesn't come in
   * time.
   */
  asio::awaitable<std::optional<Reply>> Wait(std::uint32_t aRound, duration aLimit)
  {
    const auto pending = std::make_shared<pending_request>(mIo);
    mRequests[aRound] = pending;
    const instant until = boot_clock_source{}.Now() + aLimit;
    for (instant now = boot_clock_source{}.Now(); !pending->mReply && now < until;
         now = boot_clock_source{}.Now()) {
      co_await pending->mReplyArrived.Wait(until - now);
    }
    mRequests.erase(aRound);
    co_return pending->mReply;
  }

  /** Passes a reply to the request that waits for it, if there's one. */
  void Deliver(const Reply& aReply)
  {
    const auto found = mRequests.find(aReply.mRound);
    if (found != mRequests.end()) {
      found->second->mReply = aReply;
      found->second->mReplyArrived.Notify();
    }
  }

private:
  /** A request that waits for its reply. */
  struct pending_request
  {
    explicit pending_request(asio::io_context& aIo)
      : mReplyArrived(aIo)
    {
    }

    std::optional<Reply> mReply; ///< Set once it came.
    wake_list mReplyArrived;     ///< Woken then.
  };

  asio::io_context& mIo;                                               ///< Runs the waits.
  std::map<std::uint32_t, std::shared_ptr<pending_request>> mRequests; ///< By round.
};

} // namespace dunehook
