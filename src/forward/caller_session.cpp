/**
 * @file caller_session.cpp
 * Reads callers' requests and writes responses.
 */
#include "forward/caller_session.h"

#include "core/log_func.h"
#include "core/text_func.h"
#include "net/http_server.h"

#include <sys/socket.h>

#include <array>

namespace dunehook {

namespace {

/** A caller that accepts no bytes for this long counts as disconnected. */
constexpr duration kWriteTimeout = std::chrono::seconds(10);
/** Time for a caller to read a refusal that was sent before its request was read. */
constexpr duration kLingerTimeout = std::chrono::milliseconds(500);
/**
 * Most bytes of a pipelined request that are read while the current one is answered. Also the
 * memory reserved at first for a body without a stated length.
 */
constexpr std::size_t kMaxReadAheadBytes = 16384;
/** Status of a request whose body finds no room in memory: it hasn't run. */
constexpr unsigned kNoRoomStatus = 503;
/** Bytes per read. */
constexpr std::size_t kReadBytes = 4096;
/** Delay after a failed accept, most often for want of file descriptors. */
constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(10);

/** State of the coroutine that watches a caller's socket while its request is answered. */
struct disconnect_watch
{
  std::weak_ptr<caller_exchange> mExchange; ///< The current exchange.
  bool mDone = false;                       ///< The exchange has ended.
};

/** @return whether the other side has closed the connection, and no bytes are left to read. */
bool
IsClosedByPeer(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t got = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/** @return the most bytes that are held before they are parsed: a head, or the line of a chunk or a
 * trailer, and what follows. */
std::size_t
MaxUnparsedBytes(const caller_limits& aLimits)
{
  return std::max<std::size_t>(aLimits.mHeaderBytes, kMaxReadAheadBytes) + kReadBytes;
}

/**
 * Reads available bytes without blocking, unless the buffer is full.
 * @return false if the caller has closed the connection.
 */
bool
ReadAvailable(tcp::socket& aSocket, beast::flat_buffer& aBuffer)
{
  std::array<char, kReadBytes> bytes;
  const std::size_t room = aBuffer.max_size() - std::min(aBuffer.max_size(), aBuffer.size());
  if (room == 0) {
    return !IsClosedByPeer(aSocket);
  }
  const ssize_t got =
    ::recv(aSocket.native_handle(), bytes.data(), std::min(room, bytes.size()), MSG_DONTWAIT);
  if (got > 0) {
    const auto count = static_cast<std::size_t>(got);
    const auto space = aBuffer.prepare(count);
    std::copy_n(bytes.data(), count, static_cast<char*>(space.data()));
    aBuffer.commit(count);
    return true;
  }
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

asio::awaitable<void>
WatchForDisconnect(beast::tcp_stream& aStream,
                   beast::flat_buffer& aBuffer,
                   std::shared_ptr<disconnect_watch> aWatch)
{
  while (aBuffer.size() < kMaxReadAheadBytes) {
    boost::system::error_code error;
    co_await aStream.socket().async_wait(tcp::socket::wait_read,
                                         asio::redirect_error(asio::use_awaitable, error));
    if (aWatch->mDone) {
      co_return;
    }
    if (error || !ReadAvailable(aStream.socket(), aBuffer)) {
      if (const auto exchange = aWatch->mExchange.lock()) {
        exchange->MarkDisconnected();
      }
      co_return;
    }
  }
}

/**
 * Lets the caller read the response while it's still sending: closing now would discard the
 * response.
 */
asio::awaitable<void>
Linger(beast::tcp_stream& aStream)
{
  boost::system::error_code error;
  aStream.socket().shutdown(tcp::socket::shutdown_send, error);
  aStream.expires_after(kLingerTimeout);
  std::array<char, kReadBytes> bytes;
  while (!error) {
    co_await aStream.async_read_some(asio::buffer(bytes),
                                     asio::redirect_error(asio::use_awaitable, error));
  }
}

/** @return the status for an unreadable request; 0 if the connection just ended. */
unsigned
StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return 431;
  }
  if (aError == beast::error::timeout) {
    return 408;
  }
  static const auto& sHttpCategory = make_error_code(http::error::end_of_stream).category();
  const bool cut = aError == http::error::end_of_stream || aError == http::error::partial_message;
  return aError.category() == sHttpCategory && !cut ? 400 : 0;
}

/** @return whether the head is ambiguous about where the request ends or which host it's for. */
bool
IsAmbiguous(const http::request_header<>& aHead)
{
  const auto occurs = [&](http::field aName) { return aHead.count(aName); };
  const bool chunked = occurs(http::field::transfer_encoding) > 0;
  if (occurs(http::field::content_length) > 1 || occurs(http::field::transfer_encoding) > 1) {
    return true;
  }
  if (chunked && occurs(http::field::content_length) > 0) {
    return true;
  }
  if (chunked && !beast::iequals(aHead[http::field::transfer_encoding], "chunked")) {
    return true;
  }
  return occurs(http::field::host) != 1 || aHead.target().empty() || aHead.target()[0] != '/';
}

} // namespace

std::string
caller_exchange::HeadText(unsigned aStatus, const http::fields& aHead) const
{
  const auto reason = http::obsolete_reason(static_cast<http::status>(aStatus));
  std::string text =
    Join("HTTP/1.1 ", aStatus, " ", std::string_view(reason.data(), reason.size()), "\r\n");
  for (const auto& field : aHead) {
    text.append(field.name_string().data(), field.name_string().size());
    text += ": ";
    text.append(field.value().data(), field.value().size());
    text += "\r\n";
  }
  if (!mKeepAlive) {
    text += "Connection: close\r\n";
  }
  return text;
}

asio::awaitable<void>
caller_exchange::Respond(unsigned aStatus,
                         const http::fields& aHead,
                         std::string_view aBody,
                         body_framing aEnd)
{
  SetFraming(ProvesEnd(aEnd) ? body_framing::eLength : aEnd);
  std::string head = HeadText(aStatus, aHead);
  if (ProvesEnd(mFraming) && aStatus != 204 && aStatus != 304) {
    head += Join("Content-Length: ", aBody.size(), "\r\n");
  }
  head += "\r\n";
  mStarted = true;
  const bool silent = mRequest.method() == http::verb::head;
  mResponseComplete = co_await WriteAll(head, silent ? std::string_view() : aBody);
  SetResetOnClose(false);
}

asio::awaitable<bool>
caller_exchange::StartBody(unsigned aStatus,
                           const http::fields& aHead,
                           body_framing aFraming,
                           std::optional<std::uint64_t> aLength)
{
  const bool takesChunks = mRequest.version() >= 11;
  if (aLength) {
    SetFraming(body_framing::eLength);
  } else {
    SetFraming(ProvesEnd(aFraming) && takesChunks ? body_framing::eChunks
                                                  : body_framing::eConnection);
  }
  std::string head = HeadText(aStatus, aHead);
  if (aLength) {
    head += Join("Content-Length: ", *aLength, "\r\n");
  } else if (mFraming == body_framing::eChunks) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  head += "\r\n";
  mStarted = true;
  co_return co_await WriteAll(head, std::string_view());
}

asio::awaitable<bool>
caller_exchange::Write(std::string_view aBytes)
{
  if (aBytes.empty()) {
    co_return !mDisconnected;
  }
  if (mFraming != body_framing::eChunks) {
    co_return co_await WriteAll(std::string_view(), aBytes);
  }
  const std::string chunk = Join(absl::Hex(aBytes.size()), "\r\n", aBytes, "\r\n");
  co_return co_await WriteAll(chunk, std::string_view());
}

asio::awaitable<void>
caller_exchange::EndBody(body_framing aEnd)
{
  if (ProvesEnd(mFraming) && !ProvesEnd(aEnd)) {
    ResetConnection();
  } else if (mFraming == body_framing::eChunks) {
    static constexpr std::string_view kLastChunk = "0\r\n\r\n";
    mResponseComplete = co_await WriteAll(kLastChunk, std::string_view());
  } else {
    mResponseComplete = !mDisconnected;
    SetResetOnClose(false);
  }
}

void
caller_exchange::SetFraming(body_framing aFraming)
{
  mFraming = aFraming;
  mKeepAlive = mKeepAlive && ProvesEnd(aFraming);
  if (!ProvesEnd(aFraming)) {
    SetResetOnClose(true);
  }
}

void
caller_exchange::SetResetOnClose(bool aReset)
{
  boost::system::error_code ignored; // The socket may be closed already.
  mStream.socket().set_option(asio::socket_base::linger(aReset, 0), ignored);
}

void
caller_exchange::ResetConnection()
{
  mKeepAlive = false;
  SetResetOnClose(true);
  mStream.close();
}

void
caller_exchange::OnDisconnect(std::function<void()> aCallback)
{
  if (mDisconnected && aCallback) {
    aCallback();
    return;
  }
  mOnDisconnect = std::move(aCallback);
}

bool
caller_exchange::CheckDisconnected()
{
  if (!mDisconnected && IsClosedByPeer(mStream.socket())) {
    MarkDisconnected();
  }
  return mDisconnected;
}

void
caller_exchange::MarkDisconnected()
{
  if (mDisconnected) {
    return;
  }
  mDisconnected = true;
  if (mOnDisconnect) {
    const std::function<void()> callback = std::move(mOnDisconnect);
    mOnDisconnect = nullptr;
    callback();
  }
}

asio::awaitable<bool>
caller_exchange::WriteAll(std::string_view aHead, std::string_view aBytes)
{
  if (mDisconnected) {
    co_return false;
  }
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(aHead.data(), aHead.size()),
                                                   asio::buffer(aBytes.data(), aBytes.size()) };
  boost::system::error_code error;
  mStream.expires_after(kWriteTimeout);
  co_await asio::async_write(mStream, buffers, asio::redirect_error(asio::use_awaitable, error));
  mStream.expires_never();
  if (error) {
    MarkDisconnected();
  }
  co_return !error;
}

result<std::unique_ptr<caller_listener>>
caller_listener::Open(asio::io_context& aIo, const endpoint& aAt, caller_handler aHandler)
{
  BOOST_OUTCOME_TRY(tcp::acceptor acceptor, OpenAcceptor(aIo, aAt));
  auto listener = std::make_unique<caller_listener>(aIo, std::move(acceptor), std::move(aHandler));
  SpawnGuarded(aIo, listener->AcceptLoop());
  return listener;
}

void
caller_listener::StopAccepting()
{
  mState.mRefuseNewRequests = true;
  boost::system::error_code ignored; // Closing twice is harmless.
  mAcceptor.close(ignored);
}

void
caller_listener::CloseIdle(instant aSince)
{
  for (const auto& [socket, since] : mState.mIdleSince) {
    if (since < aSince) {
      boost::system::error_code ignored; // The session notices and closes.
      socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
  }
}

asio::awaitable<void>
caller_listener::AcceptLoop()
{
  while (mAcceptor.is_open()) {
    boost::system::error_code error;
    tcp::endpoint from;
    tcp::socket socket =
      co_await mAcceptor.async_accept(from, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      co_return;
    }
    if (error) {
      LogEvent(log_level::eWarning, "accept_failed", { { "error", error.message() } });
      co_await Sleep(kAcceptRetryDelay);
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    SpawnGuarded(mIo, Serve(std::move(socket), from.address()));
  }
}

asio::awaitable<void>
caller_listener::Serve(tcp::socket aSocket, asio::ip::address aCaller)
{
  ++mState.mOpenConnections;
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool more = true;
  while (more) {
    more = co_await AwaitRequest(stream, buffer);
    if (more) {
      ++mState.mActiveRequests;
      more = co_await ServeOne(stream, aCaller, buffer);
      --mState.mActiveRequests;
    }
  }
  --mState.mOpenConnections;
}

asio::awaitable<bool>
caller_listener::AwaitRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
{
  if (aBuffer.size() > 0) {
    co_return true;
  }
  aBuffer.shrink_to_fit();
  mState.mIdleSince.emplace(&aStream.socket(), boot_clock_source().Now());
  boost::system::error_code error;
  aStream.expires_after(mState.mLimits.mIdleTime);
  const std::size_t got = co_await aStream.async_read_some(
    aBuffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
  mState.mIdleSince.erase(&aStream.socket());
  aBuffer.commit(got);
  co_return !error;
}

bool
body_claim::RaiseTo(std::uint64_t aBytes)
{
  const std::uint64_t more = aBytes - std::min(aBytes, mBytes);
  if (mState.mBodyBytes + more > mState.mMaxBodyBytes) {
    return false;
  }
  mState.mBodyBytes += more;
  mBytes += more;
  return true;
}

asio::awaitable<unsigned>
caller_listener::ReadBody(beast::tcp_stream& aStream,
                          beast::flat_buffer& aBuffer,
                          http::request_parser<http::string_body>& aParser,
                          body_claim& aClaim,
                          boost::system::error_code& aError)
{
  const auto length = aParser.content_length();
  if (!aClaim.RaiseTo(length ? *length : kMaxReadAheadBytes)) {
    co_return kNoRoomStatus;
  }
  if (beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(aStream,
                               asio::buffer(kGoOn.data(), kGoOn.size()),
                               asio::redirect_error(asio::use_awaitable, aError));
  }
  aStream.expires_after(mState.mLimits.mIdleTime);
  if (length) {
    co_await http::async_read(
      aStream, aBuffer, aParser, asio::redirect_error(asio::use_awaitable, aError));
    co_return aError ? StatusOf(aError) : 0;
  }
  while (!aError && !aParser.is_done()) {
    co_await http::async_read_some(
      aStream, aBuffer, aParser, asio::redirect_error(asio::use_awaitable, aError));
    if (!aError && !aClaim.RaiseTo(aParser.get().body().capacity())) {
      co_return kNoRoomStatus;
    }
  }
  co_return aError ? StatusOf(aError) : 0;
}

asio::awaitable<bool>
caller_listener::ServeOne(beast::tcp_stream& aStream,
                          asio::ip::address aCaller,
                          beast::flat_buffer& aBuffer)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(mState.mLimits.mHeaderBytes);
  parser.body_limit(mState.mLimits.mBodyBytes);
  // The limits may be smaller than when the buffered bytes were read.
  aBuffer.max_size(std::max(MaxUnparsedBytes(mState.mLimits), aBuffer.size() + kReadBytes));
  boost::system::error_code error;
  aStream.expires_after(mState.mLimits.mHeaderTime);
  co_await http::async_read_header(
    aStream, aBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  unsigned refusal = error ? StatusOf(error) : 0;
  if (!error && IsAmbiguous(parser.get())) {
    refusal = 400;
  }
  body_claim claim(mState);
  if (!error && refusal == 0 && !parser.is_done()) {
    refusal = co_await ReadBody(aStream, aBuffer, parser, claim, error);
  }
  aStream.expires_never();
  const auto exchange =
    std::make_shared<caller_exchange>(aStream, aCaller, parser.release(), mState.mClosing);
  if (refusal != 0) {
    LogEvent(
      log_level::eInfo, "request_unread", { { "status", refusal }, { "error", error.message() } });
    exchange->EndKeepAlive();
    const http::fields empty;
    const std::string body = ErrorBody("unreadable", "the request can't be read");
    co_await exchange->Respond(refusal, empty, body);
    co_await Linger(aStream);
  }
  if (error || refusal != 0) {
    co_return false;
  }
  if (!ReadAvailable(aStream.socket(), aBuffer)) { // The daemon was busy or suspended meanwhile.
    LogEvent(log_level::eInfo, "caller_left_unread", {});
    co_return false;
  }
  const auto watch = std::make_shared<disconnect_watch>();
  watch->mExchange = exchange;
  SpawnGuarded(mIo, WatchForDisconnect(aStream, aBuffer, watch));
  try {
    co_await mHandler(exchange);
  } catch (const std::exception& failure) {
    LogEvent(log_level::eError, "request_failed", { { "what", failure.what() } });
  }
  watch->mDone = true;
  boost::system::error_code ignored; // Ends the watch coroutine; the socket may be closed already.
  aStream.socket().cancel(ignored);
  if (!exchange->ResponseComplete()) {
    exchange->ResetConnection();
    co_return false;
  }
  if (exchange->EndsWithConnection()) {
    co_await Linger(aStream); // A reset would make the response look cut off.
  }
  co_return exchange->KeepAlive();
}

} // namespace dunehook
