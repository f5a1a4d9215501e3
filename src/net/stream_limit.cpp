/**
 * @file stream_limit.cpp
 * Connecting with a time limit, and time limits of streams.
 */
#include "net/stream_limit.h"

namespace dunehook {

namespace {

/** Statuses that an answer may have (RFC 9110, section 15). */
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;

} // namespace

asio::awaitable<result<beast::tcp_stream>>
ConnectStream(endpoint aTo, duration aLimit)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTo.mAddress, error);
  if (error) {
    co_return make_error_code(errc::eConnectFailed);
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aLimit);
  const tcp::endpoint target(address, aTo.mPort);
  co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  stream.expires_never(); // From here on a stream_limit sets the time limits.
  if (error) {
    co_return make_error_code(errc::eConnectFailed);
  }
  boost::system::error_code ignored; // If this fails, small writes are only delayed.
  stream.socket().set_option(tcp::no_delay(true), ignored);
  co_return std::move(stream);
}

bool
IsOverlong(const boost::system::error_code& aError)
{
  return aError == http::error::buffer_overflow || aError == http::error::header_limit;
}

void
folded_line_finder::Feed(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (mEnded) {
      return;
    }
    if (byte == '\n') {
      mEnded = !mInLine;
      mInLine = false;
    } else if (byte != '\r') {
      mFound = mFound || (!mInLine && (byte == ' ' || byte == '\t'));
      mInLine = true;
    }
  }
}

void
unparsed_bytes::BeginHead()
{
  mFoldedLines = folded_line_finder();
  mFoldedLines.Feed({ static_cast<const char*>(cdata().data()), size() });
}

void
unparsed_bytes::commit(std::size_t aCount)
{
  const std::size_t before = size();
  beast::flat_buffer::commit(aCount);
  mFoldedLines.Feed({ static_cast<const char*>(cdata().data()) + before, size() - before });
}

stream_limit::stream_limit(beast::tcp_stream& aStream)
  : mState(std::make_shared<limit_state>(aStream))
{
}

stream_limit::~stream_limit()
{
  mState->mStream = nullptr;
  Clear();
}

std::error_code
stream_limit::Cause(const boost::system::error_code& aError) const
{
  if (mState->mExpired) {
    return make_error_code(errc::eDeadlinePassed);
  }
  if (aError == http::error::body_limit) {
    return make_error_code(errc::eBodyTooLarge);
  }
  return make_error_code(IsOverlong(aError) ? errc::eWrongAnswer : errc::eConnectionLost);
}

void
stream_limit::Set(duration aLimit)
{
  SetEnd(boot_clock_source{}.Now() + std::max(duration{ 0 }, aLimit));
}

void
stream_limit::SetEnd(instant aUntil)
{
  const std::uint64_t generation = ++mState->mGeneration;
  mState->mTimer.expires_at(boot_clock::time_point(aUntil));
  mState->mTimer.async_wait([state = mState, generation](const boost::system::error_code& aError) {
    const bool ended = aError || state->mGeneration != generation || state->mStream == nullptr;
    if (!ended) {
      state->mExpired = true;
      state->mStream->close();
    }
  });
}

void
stream_limit::Clear()
{
  ++mState->mGeneration;
  mState->mTimer.cancel();
}

asio::awaitable<result<void>>
ReadHead(beast::tcp_stream& aStream,
         stream_limit& aLimit,
         unparsed_bytes& aBuffer,
         body_parser& aParser)
{
  boost::system::error_code error;
  aBuffer.BeginHead();
  co_await http::async_read_header(
    aStream, aBuffer, aParser, asio::redirect_error(asio::use_awaitable, error));
  aLimit.Clear();
  if (error) {
    co_return aLimit.Cause(error);
  }
  const unsigned status = aParser.get().result_int();
  if (status < kFirstStatus || status > kLastStatus || aBuffer.HasFoldedLine()) {
    co_return make_error_code(errc::eWrongAnswer);
  }
  co_return boost::outcome_v2::success();
}

} // namespace dunehook
