/**
 * @file placer_link.h
 * Requests engine placements from the daemon that places generations for all, and answers such
 * requests when this daemon is the placer. The first two daemons by RanksBefore() are informed of
 * every run. The first of them that answers is used; a daemon that gets no answer in time asks the
 * other one, and then places by itself.
 */
#pragma once

#include "links/daemon_link.h"
#include "messages/place_message.h"

namespace dunehook {

/** Response timeout of a placer. It answers at once, even if only that the request is queued; one
 * that has used up its CPU share answers some tens of milliseconds later. */
inline constexpr duration kPlacerResponseTimeout = std::chrono::milliseconds(60);
/** A placer that didn't answer is skipped for this long. */
inline constexpr duration kPlacerRetryDelay = std::chrono::milliseconds(1500);
/** A daemon waits this long before it places, so that it has received a digest of the runs of each
 * other daemon. Digests come once a second. */
inline constexpr duration kPlacerWarmUp = std::chrono::milliseconds(1250);
/** Daemons that are informed of all runs: the current placer and the next one, which takes over. */
inline constexpr std::size_t kMaxPlacers = 2;
/** Time between attempts to place queued requests. */
inline constexpr duration kQueueInterval = std::chrono::milliseconds(15);

/** Connects this daemon to the placers, and is the placer's front end when this daemon places. */
class placer_link
{
public:
  placer_link(forward_state& aState, daemon_link& aLink);

  /** Opens the socket, two ports after that of the heartbeats. */
  result<void> Open();
  /** Starts to receive requests and replies. @param aReady tells whether this daemon accepts calls.
   */
  void Start(std::function<bool()> aReady);

  /** Requests a placement.
   * @param aGone tells whether the caller has left.
   * @return the reply, or nothing if this daemon must place by itself or the caller has left. */
  asio::awaitable<std::optional<place_reply>> RequestPlace(place_request aQuestion,
                                                           std::function<bool()> aGone);
  /** Sends a run message to the placers, or to all daemons if placers are disabled. */
  void SendToPlacers(run_message aMessage);
  /** Updates the list of placers. Call it several times a second.
   * @param aLate this call came late because the process was stalled. */
  void UpdatePlacers(bool aLate);

private:
  using udp = asio::ip::udp;

  /** A placement request that waits for its reply. */
  struct pending_question
  {
    pending_question(asio::io_context& aIo, std::uint32_t aRound)
      : mRound(aRound)
      , mReplyArrived(aIo)
    {
    }

    std::uint32_t mRound; ///< Number of the request; replies to earlier ones are ignored.
    std::optional<place_reply> mReply; ///< Latest reply, if one came.
    wake_list mReplyArrived;           ///< Woken when a reply arrives.
  };
  /** A daemon that may place for others. */
  struct placer
  {
    incarnation_id mIncarnation; ///< Identifies its process.
    endpoint mQuestionEndpoint;  ///< Where it receives placement requests.
    endpoint mRunEndpoint;       ///< Where it receives run messages.
    bool mSelf = false;          ///< It is this daemon.
  };

  /** Handles a received request or reply. */
  void HandleDatagram(std::string_view aData, const udp::endpoint& aFrom);
  asio::awaitable<void> ProcessQueue();
  asio::awaitable<void> SendDigests();
  /** Sends the request to one placer and waits for its final reply. */
  asio::awaitable<std::optional<place_reply>> RequestFrom(const placer& aPlacer,
                                                          const place_request& aQuestion,
                                                          const std::function<bool()>& aGone);
  /** Waits for a reply. @return whether one came in time. */
  asio::awaitable<bool> WaitForReply(std::shared_ptr<pending_question> aPending,
                                     instant aUntil,
                                     const std::function<bool()>& aGone);
  place_reply Answer(const place_request& aQuestion, std::uint64_t aDaemon, const endpoint& aFrom);
  /** Passes a reply to the request that waits for it. @return whether one does. */
  bool Deliver(const place_reply& aReply);
  /** Withdraws the request of a caller that has left, and frees a place it may have got. */
  void Withdraw(run_id aRun);
  bool IsSkipped(const placer& aPlacer) const;

  forward_state& mState;        ///< State shared by the parts of the daemon.
  daemon_link& mLink;           ///< Sends run messages and knows the members.
  udp::socket mSocket;          ///< Sends and receives requests and replies.
  std::function<bool()> mReady; ///< Whether this daemon accepts calls.
  std::vector<placer> mPlacers; ///< Current placers, highest rank first; at most kMaxPlacers.
  /** Placers that didn't answer, and until when they are skipped. */
  std::map<incarnation_id, instant> mSkippedUntil;
  std::map<run_id, std::shared_ptr<pending_question>> mPending; ///< Requests that wait for a reply.
  instant mWarmUpUntil{ 0 };       ///< This daemon doesn't place before then.
  std::uint32_t mRounds = 0;       ///< Requests sent so far.
  std::uint32_t mEmptyDigests = 0; ///< Empty digests sent in a row.
};

} // namespace dunehook
