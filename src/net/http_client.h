/**
 * @file http_client.h
 * HTTP/1.1 client over Beast with kept-alive connections. It tells whether any byte of a request
 * can have left this process, which is what "not run" rests on.
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
  header_list mHeaders;                 ///< Extra headers.
  std::string mBody;                    ///< Body, JSON unless a header says otherwise.
};

/** A whole answer. */
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
   * @param aTo where to connect.
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
   * Sends a request and reads the head of the answer.
   * @return the status, or eConnectionLost or eDeadlinePassed.
   * @pre no answer is under way on this connection.
   */
  asio::awaitable<result<unsigned>> Start(const http_call& aCall, duration aLimit);

  /**
   * Reads some of the answer's body.
   * @param aOut text that the bytes are appended to.
   * @return whether the body goes on.
   * @pre Start() succeeded.
   */
  asio::awaitable<result<bool>> ReadSome(std::string& aOut, duration aLimit);

  /** Sends a request and reads the whole answer. */
  asio::awaitable<result<http_answer>> Call(const http_call& aCall, duration aLimit);

  /** Ends the connection at once; a waiting operation fails. */
  void Abort();

  /** @return whether the connection can carry another request. */
  bool Reusable() const { return mReusable; }
  /** @return whether the server has closed the idle connection or sent unasked bytes. */
  bool Stale();
  /** @return a header of the answer whose head was read. */
  std::string Header(std::string_view aName) const;

private:
  using response_parser = body_parser;

  beast::tcp_stream mStream;              ///< The socket.
  stream_limit mLimit;                    ///< Time for what is under way.
  beast::flat_buffer mBuffer;             ///< Bytes read and not parsed yet.
  std::optional<response_parser> mParser; ///< The answer under way.
  bool mReusable = false;                 ///< True only between two whole answers.
};

using http_connection_ptr = std::shared_ptr<http_connection>;

/** Idle connections by endpoint. */
class http_pool
{
public:
  /** @return a kept or fresh connection. */
  asio::awaitable<result<http_connection_ptr>> Acquire(const endpoint& aTo, duration aLimit);
  /** Drops the kept connections to @p aTo, for after a failure: all may have fallen silent. */
  void Drop(const endpoint& aTo) { mIdle.erase(aTo); }
  /** Keeps @p aConnection for later if it can carry another request. */
  void Release(const endpoint& aTo, http_connection_ptr aConnection);
  /** Drops the kept connections to @p aTo if a call there ended by its time limit. */
  void DropIfTimedOut(const endpoint& aTo, const std::error_code& aError);
  /**
   * Sends a request that may be repeated: a stale kept connection is replaced once. After a call
   * that ended by its time limit the next one has a fresh connection: kept ones may all have
   * fallen silent.
   */
  asio::awaitable<result<http_answer>> Call(const endpoint& aTo,
                                            const http_call& aCall,
                                            duration aLimit);

private:
  static constexpr std::size_t kMaxIdlePerEndpoint = 64; ///< Connections kept for one endpoint.
  std::unordered_map<endpoint, std::deque<http_connection_ptr>> mIdle; ///< Newest at the back.
};

} // namespace dunehook
