/**
 * @file http_client.h
 * HTTP/1.1 client over Beast with keep-alive connections. Connecting and sending are separate
 * steps, so a caller knows whether a byte of a request can have left this process; the outcome
 * not-run depends on that.
 */
#pragma once

#include "net/stream_limit.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dunehook {

using header_list = std::vector<std::pair<std::string, std::string>>;

/** A request to send. */
struct http_call
{
  http::verb mMethod = http::verb::get; ///< Method.
  std::string mTarget = "/";            ///< Path and query.
  header_list mHeaders;                 ///< Additional headers.
  std::string mBody;                    ///< Body, JSON unless a header says otherwise.
};

/** A complete answer. */
struct http_answer
{
  unsigned mStatus = 0; ///< Status code.
  header_list mHeaders; ///< Headers as received.
  std::string mBody;    ///< Body.

  /** @return the value of a header, or an empty text. */
  std::string Header(std::string_view aName) const;
};

/** One connection to a server. Abort() may be called at any time, also while an operation waits. */
class http_connection
{
public:
  /**
   * @param aTo address of the server.
   * @param aLimit time limit of the connect.
   * @return the connection, or eConnectFailed.
   */
  static asio::awaitable<result<std::shared_ptr<http_connection>>> Connect(const endpoint& aTo,
                                                                           duration aLimit);

  explicit http_connection(beast::tcp_stream aStream)
    : mStream(std::move(aStream))
    , mLimit(mStream)
  {
  }

  /**
   * Sends a request and reads the header section of the answer.
   * @return the status, or eConnectionLost or eDeadlinePassed.
   * @pre no answer is being read on this connection.
   */
  asio::awaitable<result<unsigned>> Start(const http_call& aCall, duration aLimit);

  /**
   * Reads some of the answer's body.
   * @param aOut text that the bytes are appended to.
   * @return whether more of the body follows.
   * @pre Start() succeeded.
   */
  asio::awaitable<result<bool>> ReadSome(std::string& aOut, duration aLimit);

  /** Sends a request and reads the complete answer. @param aLimit applies to each step. */
  asio::awaitable<result<http_answer>> Call(const http_call& aCall, duration aLimit);

  /** Closes the connection immediately; a pending operation fails. */
  void Abort();

  /** @return whether the connection can carry another request. */
  bool Reusable() const { return mReusable; }
  /** @return whether the server has closed the idle connection or sent unexpected bytes. */
  bool Stale();
  /** @return a header of the current answer. @pre Start() succeeded. */
  std::string Header(std::string_view aName) const;

private:
  using response_parser = body_parser;

  beast::tcp_stream mStream;              ///< The socket.
  stream_limit mLimit;                    ///< Time limit of the current operation.
  unparsed_bytes mBuffer;                 ///< Bytes read but not parsed yet.
  std::optional<response_parser> mParser; ///< Parser of the current answer.
  bool mReusable = false;                 ///< True only between two complete answers.
};

using http_connection_ptr = std::shared_ptr<http_connection>;

/** A pool of idle connections by endpoint. */
class http_pool
{
public:
  /** @return an idle connection, or a new one. */
  asio::awaitable<result<http_connection_ptr>> Acquire(const endpoint& aTo, duration aLimit);
  /** Drops the idle connections to @p aTo after a failure, since all may be unresponsive. */
  void Drop(const endpoint& aTo) { mIdle.erase(aTo); }
  /** Returns @p aConnection to the pool if it can carry another request. */
  void Release(const endpoint& aTo, http_connection_ptr aConnection);
  /** Drops the idle connections to @p aTo if @p aError is a timeout. */
  void DropIfTimedOut(const endpoint& aTo, const std::error_code& aError);
  /**
   * Sends a request that may be repeated: if the connection is lost, the request is sent once more
   * on a new one. After a timeout the idle connections are dropped, since all may be unresponsive.
   */
  asio::awaitable<result<http_answer>> Call(const endpoint& aTo,
                                            const http_call& aCall,
                                            duration aLimit);

private:
  static constexpr std::size_t kMaxIdlePerEndpoint = 64; ///< Idle connections kept.
  std::unordered_map<endpoint, std::deque<http_connection_ptr>>
    mIdle; ///< Most recently used at the back.
};

} // namespace dunehook
