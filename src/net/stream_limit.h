/**
 * @file stream_limit.h
 * A time limit for what is under way on a stream. Beast's own limits stand still while the machine
 * is suspended: what waits for an answer would wait longer than its caller does.
 */
#pragma once

#include "net/net_type.h"

#include <array>

namespace dunehook {

/** Connects within a time. @return a stream without a limit, or eConnectFailed. */
asio::awaitable<result<beast::tcp_stream>>
ConnectStream(endpoint aTo, duration aLimit);

/** The limit of one stream, which must outlive it. Closes the stream once the time is over. */
class stream_limit
{
public:
  explicit stream_limit(beast::tcp_stream& aStream);
  ~stream_limit();
  stream_limit(const stream_limit&) = delete;
  stream_limit& operator=(const stream_limit&) = delete;

  /** Sets the time for what is begun next, in place of the former one. */
  void Set(duration aLimit);
  /** Takes the limit away. */
  void Clear();
  /** @return why an operation on the stream failed: eDeadlinePassed or eConnectionLost. */
  std::error_code Cause() const
  {
    return make_error_code(mState->mExpired ? errc::eDeadlinePassed : errc::eConnectionLost);
  }

private:
  /** Shared with the timer's handlers, which may run after the limit's end. */
  struct limit_state
  {
    limit_state(beast::tcp_stream& aStream)
      : mStream(&aStream)
      , mTimer(aStream.get_executor())
    {
    }

    beast::tcp_stream* mStream;    ///< Null once the limit has ended.
    boot_timer mTimer;             ///< Runs while there's a limit.
    std::uint64_t mGeneration = 0; ///< Counts changes: a handler of a former limit does nothing.
    bool mExpired = false;         ///< The stream was closed.
  };

  std::shared_ptr<limit_state> mState; ///< Never null.
};

/** Reads answers piece by piece. */
using body_parser = http::response_parser<http::buffer_body>;

/**
 * Reads some of an answer's body.
 * @tparam Most bytes read at once; they're held while the read waits.
 * @param aOut text that the bytes are appended to.
 * @param aTime longest wait for the next bytes.
 * @return whether the body goes on, or why the stream ended.
 * @pre the parser has the head.
 */
template<std::size_t Most>
asio::awaitable<result<bool>>
ReadSomeBody(beast::tcp_stream& aStream,
             stream_limit& aLimit,
             beast::flat_buffer& aBuffer,
             body_parser& aParser,
             std::string& aOut,
             duration aTime)
{
  if (aParser.is_done()) {
    co_return false;
  }
  std::array<char, Most> bytes;
  auto& body = aParser.get().body();
  body.data = bytes.data();
  body.size = bytes.size();
  boost::system::error_code error;
  aLimit.Set(aTime);
  co_await http::async_read_some(
    aStream, aBuffer, aParser, asio::redirect_error(asio::use_awaitable, error));
  aLimit.Clear();
  if (error && error != http::error::need_buffer) {
    co_return aLimit.Cause();
  }
  aOut.append(bytes.data(), bytes.size() - body.size);
  co_return !aParser.is_done();
}

} // namespace dunehook
