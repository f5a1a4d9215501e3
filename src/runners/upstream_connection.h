/**
 * @file upstream_connection.h
 * A connection to a runner that passes a request and its answer through. It never gives bytes that
 * belong to one answer to another request: a connection is used again only after a whole answer
 * with nothing behind it, whose request was taken in full.
 */
#pragma once

#include "net/http_client.h"

namespace dunehook {

/** A request as it's sent to a runner: a head that is ready, and the caller's body. */
struct upstream_request
{
  http::verb mMethod = http::verb::get;     ///< Method.
  std::string mHead;                        ///< Request line and fields, with the empty line.
  std::shared_ptr<const std::string> mBody; ///< The caller's body; may be shared by repeats.
};

/** The connection. Abort() may be called at any time, also while an operation waits. */
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
   * Sends a request and reads the head of the answer. The body may still be on its way when the
   * answer comes.
   * @return the answer's head, eConnectionLost or eDeadlinePassed.
   * @pre no answer is under way.
   */
  asio::awaitable<result<const response_parser::value_type*>> Start(
    const upstream_request& aRequest,
    duration aLimit);

  /**
   * Reads some of the answer's body.
   * @param aOut text that the bytes are appended to.
   * @return whether the body goes on; eConnectionLost if the answer was cut.
   * @pre Start() succeeded.
   */
  asio::awaitable<result<bool>> ReadSome(std::string& aOut, duration aLimit);

  /** Ends the connection at once; a waiting operation fails. */
  void Abort();

  /** @return whether the connection can carry another request. */
  bool Reusable() const;
  /** @return whether the runner has closed the idle connection or sent unasked bytes. */
  bool Stale();
  /** @return the length of the answer's body, if the runner told it. */
  std::optional<std::uint64_t> BodyLength() const;

  instant mIdleSince{ 0 }; ///< For the pool: when it was given back.
  duration mKeepFor{ 0 };  ///< For the pool: how long it may rest.

private:
  /** The write of a request; shared with the operation, which may outlive the connection. */
  struct write_state
  {
    std::string mHead;                        ///< Owns the bytes on their way.
    std::shared_ptr<const std::string> mBody; ///< Owns the bytes on their way.
    bool mDone = false;                       ///< All bytes were taken.
  };

  beast::tcp_stream mStream;              ///< The socket.
  stream_limit mLimit;                    ///< Time for what is under way.
  beast::flat_buffer mBuffer;             ///< Bytes read and not parsed yet.
  std::optional<response_parser> mParser; ///< The answer under way.
  std::shared_ptr<write_state> mWrite;    ///< The request under way.
  bool mWhole = false;                    ///< The last answer was read to its end.
  bool mAborted = false;                  ///< Abort() was called.
};

using upstream_ptr = std::shared_ptr<upstream_connection>;

/**
 * @param aTaken connections that one runner takes from all daemons together.
 * @param aDaemons daemons that share them; at least 1.
 * @return connections to one runner that a daemon keeps while they rest. Half of its part: requests
 *   under way need the rest, and a runner resets what is over its limit.
 */
std::size_t
MostIdleConnections(std::uint32_t aTaken, std::size_t aDaemons);

/** Kept connections to runners. */
class upstream_pool
{
public:
  /**
   * @param aOnlyProven take a kept connection only if it was in use a moment ago: for requests that
   *   can't be sent again if it turns out to be closed.
   * @return a kept or fresh connection.
   */
  asio::awaitable<result<upstream_ptr>> Take(const endpoint& aTo,
                                             bool aOnlyProven,
                                             instant aNow,
                                             duration aLimit);
  /** Keeps a connection for later if it can carry another request, else ends it. */
  void Give(const endpoint& aTo, const upstream_ptr& aConnection, instant aNow);
  /** Ends the resting connections to @p aTo: what listened there has gone. */
  void Drop(const endpoint& aTo);
  /** Ends connections that have rested for too long. */
  void Prune(instant aNow);
  /** @param aMost kept connections for one runner. */
  void SetMostIdle(std::size_t aMost) { mMostIdle = aMost; }

private:
  std::size_t mMostIdle = 8;                                    ///< For one runner.
  std::unordered_map<endpoint, std::deque<upstream_ptr>> mIdle; ///< Newest at the back.
};

} // namespace dunehook
