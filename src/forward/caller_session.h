/**
 * @file caller_session.h
 * Callers' HTTP connections: parses requests within the configured limits, writes whole and
 * streamed responses, and detects callers that disconnect.
 */
#pragma once

#include "core/clock_type.h"
#include "net/http_client.h"
#include "routing/config_type.h"

#include <functional>
#include <map>
#include <optional>

namespace dunehook {

/** State that all sessions of a listener share. */
struct listener_state
{
  caller_limits mLimits;               ///< Limits for the next request that is read.
  bool mClosing = false;               ///< Each connection closes after its next response.
  bool mRefuseNewRequests = false;     ///< Requests that aren't complete yet are refused.
  std::optional<instant> mAcceptUntil; ///< From this time on new requests are refused as well, even
                                       ///< if mRefuseNewRequests isn't set yet.
  std::uint64_t mBodyBytes = 0;        ///< Bytes of request bodies in memory.
  std::uint64_t mMaxBodyBytes = 0;     ///< Limit of mBodyBytes.
  std::size_t mOpenConnections = 0;    ///< Open connections.
  std::size_t mActiveRequests = 0;     ///< Requests being read or answered.
  std::map<tcp::socket*, instant> mIdleSince; ///< Connections without a request, and since when.

  /**
   * @return whether new requests are refused at aNow. The time is compared as well, because a
   * process that was suspended sets mRefuseNewRequests late.
   */
  bool RefusesNewRequests(instant aNow) const
  {
    return mRefuseNewRequests || (mAcceptUntil && aNow >= *mAcceptUntil);
  }
};

/** The part of the memory for bodies that one request takes, for as long as this lives. */
class body_claim
{
public:
  explicit body_claim(listener_state& aState)
    : mState(aState)
  {
  }
  ~body_claim() { mState.mBodyBytes -= mBytes; }
  body_claim(const body_claim&) = delete;
  body_claim& operator=(const body_claim&) = delete;

  /** Raises the claim to @p aBytes; it isn't lowered. @return whether there's room; if not, it's
   * unchanged. */
  bool RaiseTo(std::uint64_t aBytes);

private:
  listener_state& mState;   ///< Counts the claims of all requests.
  std::uint64_t mBytes = 0; ///< Part of mState.mBodyBytes.
};

/** One request of a caller and its response. */
class caller_exchange
{
public:
  using request_type = http::request<http::string_body>;

  /** @param aCaller address of the caller's host. */
  caller_exchange(beast::tcp_stream& aStream,
                  const asio::ip::address& aCaller,
                  request_type aRequest,
                  bool aClosing)
    : mStream(aStream)
    , mCaller(aCaller)
    , mRequest(std::move(aRequest))
    , mBody(std::make_shared<const std::string>(std::move(mRequest.body())))
    , mKeepAlive(mRequest.keep_alive() && !aClosing)
  {
  }

  const request_type& Request() const { return mRequest; }
  const std::shared_ptr<const std::string>& Body() const { return mBody; }
  std::string_view Target() const { return { mRequest.target().data(), mRequest.target().size() }; }

  /** @return the address of the caller's host, without the port. */
  std::string CallerAddress() const { return mCaller.to_string(); }

  /**
   * Sends a response whose body is known.
   * @param aEnd how the body's end was marked where it came from: the caller is told no more.
   */
  asio::awaitable<void> Respond(unsigned aStatus,
                                const http::fields& aHead,
                                std::string_view aBody,
                                body_framing aEnd = body_framing::eLength);
  /**
   * Sends the head of a response whose body follows in pieces.
   * @param aFraming how the body's end is marked where it comes from: the caller is told no more.
   * @param aLength length of the body, if known; otherwise a body whose end is marked is chunked.
   * @return whether the caller still receives.
   */
  asio::awaitable<bool> StartBody(unsigned aStatus,
                                  const http::fields& aHead,
                                  body_framing aFraming,
                                  std::optional<std::uint64_t> aLength);
  /**
   * Sends a piece of the body.
   * @return whether the caller still receives.
   */
  asio::awaitable<bool> Write(std::string_view aBytes);
  /**
   * Completes the body. If the response's framing would state more than @p aEnd does, the
   * connection is reset instead: the rest of the body came from another upstream than its start.
   * @param aEnd how the end was marked where the last piece came from.
   */
  asio::awaitable<void> EndBody(body_framing aEnd);
  /** Resets the connection, so that the caller can't take a partial response for a complete one. */
  void ResetConnection();

  /** @param aCallback called once if the caller disconnects before the response ends. */
  void OnDisconnect(std::function<void()> aCallback);
  bool Disconnected() const { return mDisconnected; }
  /** @return whether the caller has disconnected, also if the event loop hasn't come to its socket
   * since. */
  bool CheckDisconnected();
  bool ResponseComplete() const { return mResponseComplete; }
  bool KeepAlive() const { return mKeepAlive; }
  /** @return whether the end of the connection marks the end of the response. */
  bool EndsWithConnection() const { return mFraming == body_framing::eConnection; }
  /** Closes the connection after this response. */
  void EndKeepAlive() { mKeepAlive = false; }
  /** Called by the session when the caller has disconnected. */
  void MarkDisconnected();

private:
  void SetFraming(body_framing aFraming);
  /** A close resets the connection from now on, also if the process is killed: a close without a
   * reset would end a response whose end is marked by it. */
  void SetResetOnClose(bool aReset);
  asio::awaitable<bool> WriteAll(std::string_view aHead, std::string_view aBytes);
  std::string HeadText(unsigned aStatus, const http::fields& aHead) const;

  beast::tcp_stream& mStream;                    ///< The caller's connection.
  asio::ip::address mCaller;                     ///< The caller's host; still valid after a close.
  request_type mRequest;                         ///< The request without its body.
  std::shared_ptr<const std::string> mBody;      ///< The request's body.
  std::function<void()> mOnDisconnect;           ///< Called at most once.
  bool mKeepAlive;                               ///< Keep the connection open after the response.
  body_framing mFraming = body_framing::eLength; ///< Of the response that is being sent.
  bool mStarted = false;                         ///< Sending of the response has begun.
  bool mResponseComplete = false;                ///< The response is complete.
  bool mDisconnected = false; ///< The caller disconnected or can't be written to.
};

using caller_exchange_ptr = std::shared_ptr<caller_exchange>;
using caller_handler = std::function<asio::awaitable<void>(caller_exchange_ptr)>;

/** The listening socket for callers. */
class caller_listener
{
public:
  /** @return the listener, or eConnectFailed. */
  static result<std::unique_ptr<caller_listener>> Open(asio::io_context& aIo,
                                                       const endpoint& aAt,
                                                       caller_handler aHandler);

  caller_listener(asio::io_context& aIo, tcp::acceptor aAcceptor, caller_handler aHandler)
    : mIo(aIo)
    , mAcceptor(std::move(aAcceptor))
    , mHandler(std::move(aHandler))
  {
  }

  endpoint Address() const { return AddressOf(mAcceptor); }
  listener_state& State() { return mState; }
  const listener_state& State() const { return mState; }
  /** Stops accepting connections, and refuses new requests on open ones. */
  void StopAccepting();
  /** Shuts down connections that have had no request since before @p aSince. */
  void CloseIdle(instant aSince);

private:
  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(tcp::socket aSocket, asio::ip::address aCaller);
  /**
   * Waits for the first bytes of the next request.
   * @return whether any arrived.
   */
  asio::awaitable<bool> AwaitRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer);
  /**
   * Reads and answers one request.
   * @return whether the connection stays open.
   */
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 asio::ip::address aCaller,
                                 beast::flat_buffer& aBuffer);
  /**
   * Reads a request's body. What a body without a stated length takes is claimed as it grows.
   * @return the status to refuse the request with; 0 if the body is whole, or if the connection
   * ended, as @p aError says.
   */
  asio::awaitable<unsigned> ReadBody(beast::tcp_stream& aStream,
                                     beast::flat_buffer& aBuffer,
                                     http::request_parser<http::string_body>& aParser,
                                     body_claim& aClaim,
                                     boost::system::error_code& aError);

  asio::io_context& mIo;   ///< Runs every session.
  tcp::acceptor mAcceptor; ///< The listening socket.
  caller_handler mHandler; ///< Called for each request.
  listener_state mState;   ///< Shared by the sessions, which it outlives.
};

} // namespace dunehook
