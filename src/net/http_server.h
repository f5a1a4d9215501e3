/**
 * @file http_server.h
 * HTTP/1.1 server over Beast: keep-alive, limits on header, body, time and connections, complete
 * and streamed answers, and notification when a caller closes its connection.
 */
#pragma once

#include "net/http_client.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace dunehook {

/** Limits of a listener. */
struct http_limits
{
  std::uint32_t mHeaderBytes = 16384;                   ///< Maximum size of the request headers.
  std::uint64_t mBodyBytes = std::uint64_t{ 1 } << 20U; ///< Maximum size of the request body.
  duration mReadTimeout = std::chrono::seconds(30);  ///< Longest read of a request, or idle time.
  duration mWriteTimeout = std::chrono::seconds(10); ///< Longest wait for the peer to take bytes.
  std::size_t mConnections = 4096;                   ///< Maximum number of open connections.

  auto operator<=>(const http_limits&) const = default;
};

/** One request and its answer. Exactly one of Respond() or StartStream()..EndStream() is called. */
class http_exchange
{
public:
  http_exchange(beast::tcp_stream& aStream,
                http::request<http::string_body> aRequest,
                duration aWriteTimeout)
    : mStream(aStream)
    , mRequest(std::move(aRequest))
    , mWriteTimeout(aWriteTimeout)
  {
  }

  http::verb Method() const { return mRequest.method(); }
  std::string_view Target() const { return { mRequest.target().data(), mRequest.target().size() }; }
  /** @return the target without its query. */
  std::string_view Path() const;
  /** @return the value of a query parameter, or an empty text. */
  std::string Query(std::string_view aName) const;
  std::string Header(std::string_view aName) const { return std::string(mRequest[aName]); }
  const std::string& Body() const { return mRequest.body(); }

  /** Sends a complete answer. @param aType the body's media type. */
  asio::awaitable<void> Respond(unsigned aStatus,
                                std::string aBody,
                                const header_list& aHeaders = {},
                                std::string_view aType = "application/json");
  /** Sends the headers of a chunked answer. @return whether they were written. */
  asio::awaitable<bool> StartStream(unsigned aStatus,
                                    const header_list& aHeaders,
                                    std::string_view aType = "text/event-stream");
  /** Sends a chunk of a chunked answer. @return whether it was written. */
  asio::awaitable<bool> Write(std::string_view aBytes);
  /** Ends a chunked answer. */
  asio::awaitable<void> EndStream();
  /** Closes the connection before the answer is complete, so that the peer sees it truncated. */
  void Abort();

  /** @param aCallback called once when the caller closes its connection before the answer ends. */
  void OnCallerGone(std::function<void()> aCallback) { mOnCallerGone = std::move(aCallback); }
  bool CallerGone() const { return mCallerGone; }
  bool Streaming() const { return mStreaming; }
  bool Answered() const { return mAnswered; }
  bool KeepAlive() const { return mRequest.keep_alive() && !mAborted; }

  /** For the listener: records that the peer closed, and runs the OnCallerGone() callback. */
  void HandleCallerGone();

private:
  asio::awaitable<bool> WriteAll(std::string_view aBytes);

  beast::tcp_stream& mStream;                ///< The caller's connection.
  http::request<http::string_body> mRequest; ///< The request.
  duration mWriteTimeout;                    ///< Longest wait for the peer to take bytes.
  std::function<void()> mOnCallerGone;       ///< Called at most once.
  bool mCallerGone = false;                  ///< The peer closed, or a write failed.
  bool mStreaming = false;                   ///< The headers of a chunked answer were sent.
  bool mAnswered = false;                    ///< The answer was sent completely.
  bool mAborted = false;                     ///< Closed by Abort().
};

using exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler = std::function<asio::awaitable<void>(exchange_ptr)>;

/** Accepts connections and calls a handler for each request. */
class http_listener
{
public:
  /**
   * @param aAt address to listen on; port 0 lets the kernel choose.
   * @return the listener, or eConnectFailed.
   */
  static result<std::unique_ptr<http_listener>> Open(asio::io_context& aIo,
                                                     const endpoint& aAt,
                                                     http_limits aLimits,
                                                     http_handler aHandler);

  http_listener(asio::io_context& aIo,
                tcp::acceptor aAcceptor,
                http_limits aLimits,
                http_handler aHandler)
    : mIo(aIo)
    , mAcceptor(std::move(aAcceptor))
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  /** @return the address and port in use. */
  endpoint Address() const;
  /** Accepts no further connections; open ones are still served. */
  void StopAccepting();
  std::size_t Connections() const { return mOpenConnections; }

private:
  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(tcp::socket aSocket);
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer);

  asio::io_context& mIo;            ///< Event loop of the sessions.
  tcp::acceptor mAcceptor;          ///< The listening socket.
  http_limits mLimits;              ///< Limits of each session.
  http_handler mHandler;            ///< Called for each request.
  std::size_t mOpenConnections = 0; ///< Sessions; at most mLimits.mConnections are served.
};

/** @return a JSON error body with a stable code. @param aDetail explanation for a person. */
std::string
ErrorBody(std::string_view aCode, std::string_view aDetail);

} // namespace dunehook
