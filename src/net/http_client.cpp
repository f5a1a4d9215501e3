/**
 * @file http_client.cpp
 * HTTP client connections and the pool of idle ones.
 */
#include "net/http_client.h"

#include <sys/socket.h>

#include <array>

namespace dunehook {

namespace {

constexpr std::size_t kReadBytes = 16384;
/** A request is sent before its answer is read. */
constexpr request_write kRequestSent = request_write::eSent;

http::request<http::string_body>
BuildRequest(const http_call& aCall)
{
  http::request<http::string_body> request(aCall.mMethod, aCall.mTarget, 11);
  request.set(http::field::host, "dunehook");
  request.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : aCall.mHeaders) {
    request.set(name, value);
  }
  request.body() = aCall.mBody;
  request.prepare_payload();
  return request;
}

} // namespace

std::string
http_answer::Header(std::string_view aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

asio::awaitable<result<http_connection_ptr>>
http_connection::Connect(const endpoint& aTo, duration aLimit)
{
  BOOST_OUTCOME_CO_TRY(beast::tcp_stream stream, co_await ConnectStream(aTo, aLimit));
  co_return std::make_shared<http_connection>(std::move(stream));
}

asio::awaitable<result<unsigned>>
http_connection::Start(const http_call& aCall, duration aLimit, std::uint64_t aMaxBody)
{
  mReusable = false;
  const auto request = BuildRequest(aCall);
  boost::system::error_code error;
  mLimit.Set(aLimit);
  co_await http::async_write(mStream, request, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return mLimit.Cause(error);
  }
  mParser.emplace();
  mParser->body_limit(aMaxBody);
  BOOST_OUTCOME_CO_TRY(co_await ReadHead(mStream, mLimit, mBuffer, *mParser));
  co_return mParser->get().result_int();
}

asio::awaitable<result<bool>>
http_connection::ReadSome(std::string& aOut, instant aUntil)
{
  result<bool> more = co_await ReadSomeBody<kReadBytes>(
    mStream, mLimit, mBuffer, *mParser, aOut, aUntil, kRequestSent);
  if (more && !more.value()) {
    mReusable = mParser->keep_alive() && mBuffer.size() == 0;
  }
  co_return more;
}

asio::awaitable<result<http_answer>>
http_connection::Call(const http_call& aCall, duration aLimit, std::uint64_t aMaxBody)
{
  const instant until = boot_clock_source{}.Now() + aLimit;
  BOOST_OUTCOME_CO_TRY(const unsigned status, co_await Start(aCall, aLimit, aMaxBody));
  http_answer answer;
  answer.mStatus = status;
  for (const auto& field : mParser->get()) {
    answer.mHeaders.emplace_back(field.name_string(), field.value());
  }
  BOOST_OUTCOME_CO_TRY(co_await ReadRest(answer.mBody, aLimit, until));
  co_return answer;
}

asio::awaitable<result<void>>
http_connection::ReadRest(std::string& aOut, duration aPause, instant aUntil)
{
  bool more = true;
  while (more) {
    const instant pauseEnd = boot_clock_source{}.Now() + aPause;
    BOOST_OUTCOME_CO_TRY(more, co_await ReadSome(aOut, std::min(pauseEnd, aUntil)));
  }
  co_return boost::outcome_v2::success();
}

void
http_connection::Abort()
{
  mReusable = false;
  boost::system::error_code ignored;
  mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  mStream.close();
}

bool
http_connection::Stale()
{
  char byte = 0;
  const ssize_t got = ::recv(mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string
http_connection::Header(std::string_view aName) const
{
  return std::string(mParser->get()[aName]);
}

asio::awaitable<result<http_connection_ptr>>
http_pool::Acquire(const endpoint& aTo, duration aLimit)
{
  auto& idle = mIdle[aTo];
  while (!idle.empty()) {
    http_connection_ptr connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->Stale()) {
      co_return connection;
    }
  }
  co_return co_await http_connection::Connect(aTo, aLimit);
}

void
http_pool::Release(const endpoint& aTo, http_connection_ptr aConnection)
{
  auto& idle = mIdle[aTo];
  if (aConnection->Reusable() && idle.size() < kMaxIdlePerEndpoint) {
    idle.push_back(std::move(aConnection));
  }
}

void
http_pool::DropIfTimedOut(const endpoint& aTo, const std::error_code& aError)
{
  if (aError == errc::eDeadlinePassed) {
    Drop(aTo);
  }
}

asio::awaitable<result<http_answer>>
http_pool::Call(const endpoint& aTo,
                const http_call& aCall,
                duration aLimit,
                std::uint64_t aMaxBody)
{
  const instant until = boot_clock_source{}.Now() + aLimit;
  const auto timeLeft = [until] { return until - boot_clock_source{}.Now(); };
  BOOST_OUTCOME_CO_TRY(http_connection_ptr connection, co_await Acquire(aTo, aLimit));
  result<http_answer> answer = co_await connection->Call(aCall, timeLeft(), aMaxBody);
  if (!answer && answer.error() == errc::eConnectionLost && timeLeft() > duration{ 0 }) {
    BOOST_OUTCOME_CO_TRY(connection, co_await http_connection::Connect(aTo, timeLeft()));
    answer = co_await connection->Call(aCall, timeLeft(), aMaxBody);
  }
  if (answer) {
    Release(aTo, std::move(connection));
  } else {
    DropIfTimedOut(aTo, answer.error());
  }
  co_return answer;
}

} // namespace dunehook
