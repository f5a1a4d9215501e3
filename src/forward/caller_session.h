/**
 * @file caller_session.h
 * Callers' connections: strict reading of requests within the limits of the configuration, whole
 * and streamed answers that go out as they come, and notice of a caller that leaves.
 */
#pragma once

#include "core/clock_type.h"
#include "net/http_client.h"
#include "routing/config_type.h"

#include <functional>
#include <optional>
#include <set>

namespace dunehook {

/** Sessions of a listener have these in common. */
struct listener_state
{
  caller_limits mLimits;               ///< In force for the next request.
  bool mClosing = false;               ///< Connections end after their next answer.
  bool mRefuseNewRequests = false;     ///< Requests that aren't whole yet are refused.
  std::optional<instant> mAcceptUntil; ///< From then on it's the same, whether noted or not.
  std::uint64_t mBodyBytes = 0;        ///< Bytes of request bodies held now.
  std::uint64_t mMaxBodyBytes = 0;     ///< Most bytes of request bodies held at once.
  std::size_t mOpenConnections = 0;    ///< Connections.
  std::size_t mActiveRequests = 0;     ///< Requests being read or answered.
  std::set<tcp::socket*> mIdleSockets; ///< Sockets of connections that rest between requests.

  /** @return whether no further request is taken. A process that stood still notes it late. */
  bool RefusesNewRequests(instant aNow) const
  {
    return mRefuseNewRequests || (mAcceptUntil && aNow >= *mAcceptUntil);
  }
};

/** One request of a caller and its answer. */
class caller_exchange
{
public:
  using request_type = http::request<http::string_body>;

  /** @param aCaller the caller's host. */
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

  /** Sends a whole answer. */
  asio::awaitable<void> Respond(unsigned aStatus,
                                const http::fields& aHead,
                                std::string_view aBody);
  /**
   * Sends the head of an answer whose body follows in pieces.
   * @param aLength length of the body, if known; else it goes in chunks.
   * @return whether the caller still takes bytes.
   */
  asio::awaitable<bool> StartBody(unsigned aStatus,
                                  const http::fields& aHead,
                                  std::optional<std::uint64_t> aLength);
  /** Sends a piece of the body. @return whether the caller still takes bytes. */
  asio::awaitable<bool> Write(std::string_view aBytes);
  /** Ends the body as whole. */
  asio::awaitable<void> EndBody();
  /** Ends the connection, so that the answer can't look whole. */
  void ResetConnection();

  /** @param aCallback called once if the caller leaves before the answer ends. */
  void OnDisconnect(std::function<void()> aCallback);
  bool Disconnected() const { return mDisconnected; }
  bool ResponseComplete() const { return mResponseComplete; }
  bool KeepAlive() const { return mKeepAlive; }
  /** The connection ends after this answer. */
  void EndKeepAlive() { mKeepAlive = false; }
  /** For the session: notes that the caller has left. */
  void MarkDisconnected();

private:
  asio::awaitable<bool> WriteAll(std::string_view aHead, std::string_view aBytes);
  std::string HeadText(unsigned aStatus, const http::fields& aHead) const;

  beast::tcp_stream& mStream;               ///< The caller's connection.
  asio::ip::address mCaller;                ///< The caller's host; known also once it has closed.
  request_type mRequest;                    ///< The request, without its body.
  std::shared_ptr<const std::string> mBody; ///< The request's body.
  std::function<void()> mOnDisconnect;      ///< Called at most once.
  bool mKeepAlive;                          ///< The connection goes on after the answer.
  bool mChunked = false;                    ///< The answer's body goes in chunks.
  bool mStarted = false;                    ///< Bytes of the answer were sent.
  bool mResponseComplete = false;           ///< The answer is whole.
  bool mDisconnected = false;               ///< The caller left or can't be written to.
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
  /** Takes no further connections, and no further requests on open ones. */
  void StopAccepting();
  /** Ends connections that rest between requests. */
  void CloseIdle();

private:
  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(tcp::socket aSocket, asio::ip::address aCaller);
  /** Waits for the first bytes of the next request. @return whether there are any. */
  asio::awaitable<bool> AwaitRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer);
  /** Reads and answers a request. @return whether the connection goes on. */
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 asio::ip::address aCaller,
                                 beast::flat_buffer& aBuffer);

  asio::io_context& mIo;   ///< Runs every session.
  tcp::acceptor mAcceptor; ///< The listening socket.
  caller_handler mHandler; ///< Called for each request.
  listener_state mState;   ///< Outlives the sessions.
};

} // namespace dunehook
