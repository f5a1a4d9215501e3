/**
 * @file upstream_connection.h
 * A connection that passes a request to a runner and its answer back. To never mix up bytes of two
 * answers, a connection is reused only if the request was sent in full, and its answer was complete
 * with no bytes after it.
 */
#pragma once

#include "net/http_client.h"

#include <set>

namespace dunehook {

/** A request as it's sent to a runner: the encoded head, and the caller's body. */
struct upstream_request
{
  http::verb mMethod = http::verb::get; ///< Method.
  std::string mHead;                    ///< Request line and header fields, with the empty line.
  std::shared_ptr<const std::string> mBody; ///< The caller's body; shared by retries.
};

/** A connection to a runner. Abort() may be called at any time, even during an operation. */
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
  using response_parser = body_parser;

  /** @return the connection, or eConnectFailed, after which nothing was sent. */
  static asio::awaitable<result<std::shared_ptr<upstream_connection>>> Connect(const endpoint& aTo,
                                                                               duration aLimit);

  explicit upstream_connection(beast::tcp_stream aStream)
    : mStream(std::move(aStream))
    , mLimit(mStream)
  {
  }

  /**
   * Sends a request and reads the head of the answer. The answer may arrive before the body
   * is sent in full.
   * @return the answer's head, eConnectionLost, eDeadlinePassed, or eWrongAnswer if it's overlong
   * or no head of an answer.
   * @pre no answer is being read.
   */
  asio::awaitable<result<const response_parser::value_type*>> Start(
    const upstream_request& aRequest,
    duration aLimit);

  /**
   * Reads some of the answer's body.
   * @param aOut text that the bytes are appended to.
   * @param aUntil when the read is given up; a whole body is read with one and the same.
   * @return whether the body continues; eConnectionLost if the answer was cut off or isn't known to
   * be whole, eWrongAnswer if a line of its framing is overlong.
   * @pre Start() succeeded.
   */
  asio::awaitable<result<bool>> ReadSome(std::string& aOut, instant aUntil);

  /** Closes the connection at once; a pending operation fails. */
  void Abort();
  /** The pending operation fails with eDeadlinePassed. */
  void Expire();

  /** @return whether the connection can carry another request. */
  bool Reusable() const;
  /** @return whether the runner has closed the idle connection or sent unexpected bytes. */
  bool Stale();
  /** @return the answer's status. @pre Start() succeeded. */
  unsigned Status() const { return mParser->get().result_int(); }
  /** @return how the answer's body is framed. @pre Start() succeeded. */
  body_framing Framing() const { return FramingOf(*mParser); }
  /** @return the length of the answer's body, if the runner stated it. */
  std::optional<std::uint64_t> BodyLength() const;

  instant mIdleSince{ 0 }; ///< For the pool: when it was returned.
  duration mKeepFor{ 0 };  ///< For the pool: how long it may stay idle.

private:
  /** The write of a request; shared with the asynchronous write, which may outlive Start(). */
  struct write_state
  {
    std::string mHead;                              ///< Owns the bytes on their way.
    std::shared_ptr<const std::string> mBody;       ///< Owns the bytes on their way.
    request_write mState = request_write::ePending; ///< How far it is.
  };

  beast::tcp_stream mStream;              ///< The socket.
  stream_limit mLimit;                    ///< Time limit of the current operation.
  unparsed_bytes mBuffer;                 ///< Bytes read but not parsed yet.
  std::optional<response_parser> mParser; ///< Parser of the current answer.
  std::shared_ptr<write_state> mWrite;    ///< The current request.
  bool mAnswerComplete = false;           ///< The last answer was read to its end.
  bool mAborted = false;                  ///< Abort() was called.
};

using upstream_ptr = std::shared_ptr<upstream_connection>;

/**
 * @param aTaken connections that one runner accepts from all daemons together.
 * @param aDaemons daemons that share them; at least 1.
 * @return how many idle connections to one runner a daemon keeps: half of its part. Requests in
 *   progress need the other half, and a runner resets connections over its limit.
 */
std::size_t
MaxIdleConnections(std::uint32_t aTaken, std::size_t aDaemons);

/** Pool of idle connections to runners. */
class upstream_pool
{
public:
  /**
   * @param aOnlyProven reuse a connection only if it was in use within kProvenAge: for requests
   * that can't be sent again if the connection turns out to be closed.
   * @return a pooled or new connection.
   */
  asio::awaitable<result<upstream_ptr>> Take(endpoint aTo,
                                             bool aOnlyProven,
                                             instant aNow,
                                             duration aLimit);
  /** Returns a connection to the pool, or closes it if it can't be reused. */
  void Give(const endpoint& aTo, const upstream_ptr& aConnection, instant aNow);
  /** Closes the idle connections to @p aTo: the runner there is gone. */
  void Drop(const endpoint& aTo);
  /** Closes connections that were idle for too long. */
  void Prune(instant aNow);
  /** The pending operations of all connections that were taken fail with eDeadlinePassed. */
  void ExpireTaken();
  /** @param aMost limit on idle connections to one runner. */
  void SetMaxIdle(std::size_t aMost) { mMaxIdle = aMost; }

private:
  /** @return an idle connection that can be used, or null. */
  upstream_ptr TakeIdle(const endpoint& aTo, bool aOnlyProven, instant aNow);

  std::size_t mMaxIdle = 8;                                     ///< Limit for each runner.
  std::unordered_map<endpoint, std::deque<upstream_ptr>> mIdle; ///< Newest at the back.
  /** Connections that were taken; some may be idle again, or closed. */
  std::set<std::weak_ptr<upstream_connection>, std::owner_less<>> mTaken;
};

} // namespace dunehook
