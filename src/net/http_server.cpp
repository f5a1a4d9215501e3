/**
 * @file http_server.cpp
 * HTTP server sessions, and the detection of callers that disconnect.
 */
#include "net/http_server.h"

#include "core/text_func.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace dunehook {

namespace {

/** @return whether the peer has closed its side. Consumes no bytes. */
bool
PeerClosed(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t got = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/** @return whether the bytes read aren't valid HTTP, as opposed to missing or incomplete. */
bool
IsMalformed(const boost::system::error_code& aError)
{
  static const auto& sHttpCategory = make_error_code(http::error::end_of_stream).category();
  return aError.category() == sHttpCategory && aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

/** State shared with the task that watches a session's socket while a handler runs. */
struct close_watch
{
  std::weak_ptr<http_exchange> mExchange; ///< The current exchange.
  bool mHandlerDone = false;              ///< The handler has returned.
};

asio::awaitable<void>
WatchForClose(beast::tcp_stream& aStream, std::shared_ptr<close_watch> aWatch)
{
  boost::system::error_code error;
  co_await aStream.socket().async_wait(tcp::socket::wait_read,
                                       asio::redirect_error(asio::use_awaitable, error));
  if (aWatch->mHandlerDone) {
    co_return;
  }
  if (!error && !PeerClosed(aStream.socket())) {
    co_return; // A pipelined request; a later close is noticed at the next write.
  }
  if (const auto exchange = aWatch->mExchange.lock()) {
    exchange->HandleCallerGone();
  }
}

} // namespace

std::string
ErrorBody(std::string_view aCode, std::string_view aDetail)
{
  return nlohmann::json{ { "error", { { "code", aCode }, { "detail", aDetail } } } }.dump();
}

std::string_view
http_exchange::Path() const
{
  const std::string_view target = Target();
  return target.substr(0, target.find('?'));
}

std::string
http_exchange::Query(std::string_view aName) const
{
  const std::string_view target = Target();
  const std::size_t mark = target.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}

asio::awaitable<void>
http_exchange::Respond(unsigned aStatus,
                       std::string aBody,
                       const header_list& aHeaders,
                       std::string_view aType)
{
  http::response<http::string_body> response(static_cast<http::status>(aStatus), 11);
  response.set(http::field::content_type, beast::string_view(aType.data(), aType.size()));
  for (const auto& [name, value] : aHeaders) {
    response.set(name, value);
  }
  response.keep_alive(KeepAlive());
  response.body() = std::move(aBody);
  response.prepare_payload();
  boost::system::error_code error;
  mStream.expires_after(mWriteTimeout);
  co_await http::async_write(mStream, response, asio::redirect_error(asio::use_awaitable, error));
  mStream.expires_never();
  mAnswered = !error;
  if (error) {
    HandleCallerGone();
  }
}

asio::awaitable<bool>
http_exchange::StartStream(unsigned aStatus, const header_list& aHeaders, std::string_view aType)
{
  std::string head = Join("HTTP/1.1 ", aStatus, " OK\r\nContent-Type: ", aType);
  for (const auto& [name, value] : aHeaders) {
    head += Join("\r\n", name, ": ", value);
  }
  head += "\r\nTransfer-Encoding: chunked\r\n\r\n";
  mStreaming = true;
  co_return co_await WriteAll(head);
}

asio::awaitable<bool>
http_exchange::Write(std::string_view aBytes)
{
  const std::string chunk = Join(absl::Hex(aBytes.size()), "\r\n", aBytes, "\r\n");
  co_return co_await WriteAll(chunk);
}

asio::awaitable<void>
http_exchange::EndStream()
{
  mAnswered = co_await WriteAll("0\r\n\r\n");
}

void
http_exchange::Abort()
{
  mAborted = true;
  boost::system::error_code ignored;
  mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void
http_exchange::HandleCallerGone()
{
  if (mCallerGone) {
    return;
  }
  mCallerGone = true;
  if (mOnCallerGone) {
    const std::function<void()> callback = std::move(mOnCallerGone);
    mOnCallerGone = nullptr;
    callback();
  }
}

asio::awaitable<bool>
http_exchange::WriteAll(std::string_view aBytes)
{
  if (mCallerGone) {
    co_return false;
  }
  boost::system::error_code error;
  mStream.expires_after(mWriteTimeout);
  co_await asio::async_write(mStream,
                             asio::buffer(aBytes.data(), aBytes.size()),
                             asio::redirect_error(asio::use_awaitable, error));
  mStream.expires_never();
  if (error) {
    HandleCallerGone();
  }
  co_return !error;
}

result<std::unique_ptr<http_listener>>
http_listener::Open(asio::io_context& aIo,
                    const endpoint& aAt,
                    http_limits aLimits,
                    http_handler aHandler)
{
  BOOST_OUTCOME_TRY(tcp::acceptor acceptor, OpenAcceptor(aIo, aAt));
  auto listener =
    std::make_unique<http_listener>(aIo, std::move(acceptor), aLimits, std::move(aHandler));
  Spawn(aIo, listener->AcceptLoop());
  return listener;
}

endpoint
http_listener::Address() const
{
  return AddressOf(mAcceptor);
}

void
http_listener::StopAccepting()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
}

asio::awaitable<void>
http_listener::AcceptLoop()
{
  while (mAcceptor.is_open()) {
    boost::system::error_code error;
    tcp::socket socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      co_return;
    }
    if (error) {
      co_await Sleep(std::chrono::milliseconds(10));
      continue;
    }
    if (mOpenConnections >= mLimits.mConnections) {
      continue; // Closes the socket, so the load balancer tries another host.
    }
    socket.set_option(tcp::no_delay(true), error);
    Spawn(mIo, Serve(std::move(socket)));
  }
}

asio::awaitable<void>
http_listener::Serve(tcp::socket aSocket)
{
  ++mOpenConnections;
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool more = true;
  while (more) {
    more = co_await ServeOne(stream, buffer);
  }
  --mOpenConnections;
}

asio::awaitable<bool>
http_listener::ServeOne(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(mLimits.mHeaderBytes);
  parser.body_limit(mLimits.mBodyBytes);
  aBuffer.max_size(mLimits.mHeaderBytes + kMaxUnparsedBytes);
  boost::system::error_code error;
  aStream.expires_after(mLimits.mReadTimeout);
  co_await http::async_read(
    aStream, aBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  aStream.expires_never();
  const auto exchange =
    std::make_shared<http_exchange>(aStream, parser.release(), mLimits.mWriteTimeout);
  if (error == http::error::body_limit) {
    co_await exchange->Respond(413, ErrorBody("body_too_large", "the body is over the limit"));
    co_return false;
  }
  if (IsOverlong(error)) {
    co_await exchange->Respond(431, ErrorBody("header_too_large", "the head is over the limit"));
    co_return false;
  }
  if (IsMalformed(error)) {
    co_await exchange->Respond(400, ErrorBody("bad_request", "the request can't be read"));
    co_return false;
  }
  if (error) {
    co_return false;
  }
  const auto watch = std::make_shared<close_watch>();
  watch->mExchange = exchange;
  Spawn(mIo, WatchForClose(aStream, watch));
  co_await mHandler(exchange);
  watch->mHandlerDone = true;
  boost::system::error_code ignored;
  aStream.socket().cancel(ignored);
  co_return exchange->Answered() && exchange->KeepAlive();
}

} // namespace dunehook
