/**
 * @file stream_limit.h
 * Limits of operations on a stream: their time, and the bytes that they hold. Beast's own timeouts
 * stop counting while the machine is suspended, so an operation would wait for an answer longer
 * than its caller does; and its buffers grow with any line that doesn't end.
 */
#pragma once

#include "net/answer_end.h"

#include <array>

namespace dunehook {

/** Connects within a time limit. @return a stream without a limit, or eConnectFailed. */
asio::awaitable<result<beast::tcp_stream>>
ConnectStream(endpoint aTo, duration aLimit);

/** Most bytes of an answer that are held before they are parsed: its head, or the line of a chunk
 * with its extensions, or a trailer. It holds the largest head that the parser takes. */
inline constexpr std::size_t kMaxUnparsedBytes = 16384;

/** Finds lines of a head that begin with a blank: the parser joins each to the line before it. */
class folded_line_finder
{
public:
  /** Looks at the next bytes; those after the head are ignored. */
  void Feed(std::string_view aBytes);
  /** @return whether there was such a line. */
  bool Found() const { return mFound; }

private:
  bool mInLine = false; ///< The current line has a byte.
  bool mEnded = false;  ///< The empty line after the head was seen.
  bool mFound = false;  ///< A line began with a blank.
};

/** Bytes of an answer that were read but not parsed yet. A read that would hold more fails. */
class unparsed_bytes : public beast::flat_buffer
{
public:
  unparsed_bytes()
    : beast::flat_buffer(kMaxUnparsedBytes)
  {
  }

  /** A head begins with the bytes that are held. */
  void BeginHead();
  /** @return whether a line of the current head is folded. */
  bool HasFoldedLine() const { return mFoldedLines.Found(); }
  /** Takes bytes over that were read; replaces that of flat_buffer for the parser's reads. */
  void commit(std::size_t aCount);

private:
  folded_line_finder mFoldedLines; ///< Of the current head.
};

/** @return whether an answer was given up because its head, a line of its framing or a trailer is
 * over its limit, see kMaxUnparsedBytes. */
bool
IsOverlong(const boost::system::error_code& aError);

/** The time limit of one stream, which must outlive it. Closes the stream when it expires. */
class stream_limit
{
public:
  explicit stream_limit(beast::tcp_stream& aStream);
  ~stream_limit();
  stream_limit(const stream_limit&) = delete;
  stream_limit& operator=(const stream_limit&) = delete;

  /** Sets the limit of the next operation; replaces a former limit. */
  void Set(duration aLimit);
  /** The same with the time at which it ends, so that several operations share one limit. */
  void SetEnd(instant aUntil);
  /** Removes the limit. */
  void Clear();
  /**
   * @param aError the operation's error.
   * @return why an operation on the stream failed: eDeadlinePassed, eWrongAnswer for an overlong
   * head, line or trailer, eBodyTooLarge for a body over the parser's limit, else eConnectionLost.
   */
  std::error_code Cause(const boost::system::error_code& aError) const;

private:
  /** Shared with the timer's handlers, which may run after the stream_limit is destroyed. */
  struct limit_state
  {
    limit_state(beast::tcp_stream& aStream)
      : mStream(&aStream)
      , mTimer(aStream.get_executor())
    {
    }

    beast::tcp_stream* mStream;    ///< Null after the stream_limit is destroyed.
    boot_timer mTimer;             ///< Runs while a limit is set.
    std::uint64_t mGeneration = 0; ///< Counts changes; handlers of former limits do nothing.
    bool mExpired = false;         ///< The limit expired and closed the stream.
  };

  std::shared_ptr<limit_state> mState; ///< Never null.
};

/**
 * Reads an answer's head.
 * @return success, or why the stream ended; eWrongAnswer also for a status that isn't one,
 * and for a folded line.
 * @pre the limit is set; it's removed.
 */
asio::awaitable<result<void>>
ReadHead(beast::tcp_stream& aStream,
         stream_limit& aLimit,
         unparsed_bytes& aBuffer,
         body_parser& aParser);

/**
 * Reads some of an answer's body.
 * @tparam Most size of the read buffer in bytes; it's held while the read waits.
 * @param aOut text that the bytes are appended to.
 * @param aUntil when the read is given up. Bytes that come without an end are always there to be
 * read, so that no timer of a single read would ever end them.
 * @param aWrite the write of the request, which may go on meanwhile.
 * @return whether more of the body follows, or why the stream ended; eConnectionLost also for an
 * answer that has ended and isn't whole, see IsWholeAnswer().
 * @pre the parser has read the headers.
 */
template<std::size_t Most>
asio::awaitable<result<bool>>
ReadSomeBody(beast::tcp_stream& aStream,
             stream_limit& aLimit,
             unparsed_bytes& aBuffer,
             body_parser& aParser,
             std::string& aOut,
             instant aUntil,
             const request_write& aWrite)
{
  if (aParser.is_done()) {
    co_return false;
  }
  if (boot_clock_source{}.Now() >= aUntil) {
    co_return make_error_code(errc::eDeadlinePassed);
  }
  std::array<char, Most> bytes;
  auto& body = aParser.get().body();
  body.data = bytes.data();
  body.size = bytes.size();
  boost::system::error_code error;
  aLimit.SetEnd(aUntil);
  co_await http::async_read_some(
    aStream, aBuffer, aParser, asio::redirect_error(asio::use_awaitable, error));
  aLimit.Clear();
  if (error && error != http::error::need_buffer) {
    co_return aLimit.Cause(error);
  }
  if (aParser.is_done() && !IsWholeAnswer(aStream.socket(), aParser, aWrite)) {
    co_return make_error_code(errc::eConnectionLost);
  }
  aOut.append(bytes.data(), bytes.size() - body.size);
  co_return !aParser.is_done();
}

} // namespace dunehook
