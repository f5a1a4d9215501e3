/**
 * @file http_client.h
 * HTTP/1.1 client over Beast with keep-alive connections. Connecting and sending are separate
 * steps, so a caller knows whether a byte of a request can have left this process; the outcome
 * not-run depends on that.
 */
#pragma once

#include "net/stream_limit.h"

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dunehook {

/** Largest body of an answer that names no limit of its own, such as a JSON object. */
inline constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{ 1 } << 20U;
/** For bodies that are passed on as they come. */
inline constexpr std::uint64_t kUnlimitedBody = std::numeric_limits<std::uint64_t>::max();

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
   * @param aLimit time limit of the whole step.
   * @param aMaxBody largest body of the answer, in bytes.
   * @return the status, or eConnectionLost, eDeadlinePassed, eWrongAnswer or eBodyTooLarge.
   * @pre no answer is being read on this connection.
   */
  asio::awaitable<result<unsigned>> Start(const http_call& aCall,
                                          duration aLimit,
                                          std::uint64_t aMaxBody = kMaxAnswerBytes);

  /**
   * Reads some of the answer's body.
   * @param aOut text that the bytes are appended to.
   * @param aUntil when the read is given up.
   * @return whether more of the body follows, or an error as of Start().
   * @pre Start() succeeded.
   */
  asio::awaitable<result<bool>> ReadSome(std::string& aOut, instant aUntil);

  /**
   * Reads the rest of the answer's body.
   * @param aOut text that the bytes are appended to, also those before an error.
   * @param aPause longest time without any bytes.
   * @param aUntil when the body must be whole.
   * @pre Start() succeeded.
   */
  asio::awaitable<result<void>> ReadRest(std::string& aOut, duration aPause, instant aUntil);

  /**
   * Sends a request and reads the complete answer.
   * @param aLimit time limit of the whole call.
   * @param aMaxBody largest body of the answer, in bytes.
   */
  asio::awaitable<result<http_answer>> Call(const http_call& aCall,
                                            duration aLimit,
                                            std::uint64_t aMaxBody = kMaxAnswerBytes);

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
   * @param aLimit time limit of the whole call, with its repetition.
   * @param aMaxBody largest body of the answer, in bytes.
   */
  asio::awaitable<result<http_answer>> Call(const endpoint& aTo,
                                            const http_call& aCall,
                                            duration aLimit,
                                            std::uint64_t aMaxBody = kMaxAnswerBytes);

private:
  static constexpr std::size_t kMaxIdlePerEndpoint = 64; ///< Idle connections kept.
  std::unordered_map<endpoint, std::deque<http_connection_ptr>>
    mIdle; ///< Most recently used at the back.
};

} // namespace dunehook
