/**
 * @file origin_link.h
 * Lets every daemon find out which software began a stream. The daemon that sends a stream's first
 * event tells some others, chosen by the stream's id; one that a caller returns to asks these. A
 * daemon that stops hands its records over. Datagrams may be lost: what nobody knows isn't guessed.
 */
#pragma once

#include "links/daemon_link.h"

namespace dunehook {

/** Daemons that are told of a stream, beside the one that begins it. */
inline constexpr std::size_t kOriginKeepers = 3;
/** Daemons that are asked. The one that began the stream isn't told although it may rank first, and
 * another one may have started since. */
inline constexpr std::size_t kOriginKeepersAsked = 5;
/** Longest time to wait for replies; a daemon that is suspended or cut off doesn't reply. */
inline constexpr duration kOriginReplyTimeout = std::chrono::milliseconds(100);
/** Time between requests of a daemon that has just started and hears of more and more others. */
inline constexpr duration kSettlingPollInterval = std::chrono::milliseconds(50);
/** If a service's runners have had one version only for this long, or for kAttemptsRemembered times
 * as long as a stream may be held, it began all streams that go on now. */
inline constexpr duration kOneSoftwareTime = std::chrono::seconds(30);
inline constexpr int kAttemptsRemembered = 2;
/** A list of runners that is older may lack a version that has begun to serve. */
inline constexpr duration kMaxRunnerListAge = std::chrono::seconds(3);

/** Other daemons that must agree on the only version of a service where this one has no record. All
 * that are asked must reply, too: a daemon that hears few of them may be the one that is cut off.
 */
inline constexpr std::size_t kDaemonsAgreeing = 3;

/** What daemons know together, and how many of them say so. */
struct origin_finding
{
  stream_evidence mKnown; ///< What they know.
  bool mConfirmed = true; ///< For eOnlyVersion: enough other daemons have read the same.
};

/** Exchanges with the other daemons which software began streams. */
class origin_link
{
public:
  origin_link(forward_state& aState, daemon_link& aLink);

  /** Records a stream and tells the daemons that keep it. @param aAttempt the request's id. */
  void Note(const std::string& aService, const std::string& aAttempt, software_id aSoftware);
  /**
   * Finds out which software began a stream, from the records of this daemon and of others.
   * @param aAttempt id of the attempt that brought its first event; empty if the caller doesn't
   * name it.
   * @return what the daemons know together.
   */
  asio::awaitable<origin_finding> Find(std::string aService, std::string aAttempt);
  /** Keeps the records of streams that the store had. */
  void Keep(const std::vector<stream_origin>& aOrigins);
  /** @return the record of a stream; none if this daemon has none. */
  software_id Recorded(const std::string& aService, const std::string& aAttempt) const
  {
    return mOrigins.Find(StreamIdOf(aService, aAttempt), mState.Now());
  }
  /** Sets what takes streams that this daemon is to store. */
  void SetStoreHandler(std::function<void(const std::vector<stream_origin>&)> aHandler)
  {
    mStoreHandler = std::move(aHandler);
  }
  /** @return what the list of runners says of the software that began a service's streams, if it
   * reaches back far enough. */
  stream_evidence EvidenceOfList(const std::string& aService) const;
  /** @return the time before now in which streams of a service that go on now can have begun. */
  duration OneSoftwareTime(const std::string& aService) const;
  /** Hands all records over to the daemons that keep them once this one has stopped. */
  void HandOver();

private:
  /** A request to several daemons. */
  struct pending_request
  {
    explicit pending_request(asio::io_context& aIo)
      : mChanged(aIo)
    {
    }

    std::size_t mOpen = 0;     ///< Daemons that haven't replied.
    std::size_t mAgreeing = 0; ///< Those that have replied with an only version.
    stream_evidence mEvidence; ///< What those that have replied know together.
    wake_list mChanged;        ///< Woken by each reply.
  };

  /** Asks other daemons. @return what they know together with this one. */
  asio::awaitable<origin_finding> Ask(origin_request aRequest, stream_evidence aOwn);
  /** Has the daemon that writes to the store take up a stream. */
  void TellStoreWriter(const stream_origin& aOrigin);
  void HandleMessage(const origin_message& aMessage, const endpoint& aFrom);
  /** @return what this daemon knows of a stream. */
  stream_evidence EvidenceOf(const origin_request& aRequest) const;
  /** @return where the daemons that keep a stream receive run messages. */
  std::vector<endpoint> Keepers(stream_id aStream, std::size_t aCount) const;

  forward_state& mState;     ///< State shared by the parts of the daemon.
  daemon_link& mLink;        ///< Sends messages and knows the members.
  origin_table mOrigins;     ///< Records of this daemon, and those that others gave it to keep.
  std::uint32_t mRounds = 0; ///< Requests sent so far.
  /** Takes streams to be stored. */
  std::function<void(const std::vector<stream_origin>&)> mStoreHandler;
  std::map<std::uint32_t, std::shared_ptr<pending_request>> mPending; ///< By round.
};

} // namespace dunehook
