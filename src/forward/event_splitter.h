/**
 * @file event_splitter.h
 * Splits a stream of server-sent events into complete events, so that a stream that breaks is cut
 * between two events and can be resumed at the next one. A line ends with LF, CRLF or CR; an event
 * ends with a blank line (WHATWG HTML, section 9.2.5).
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dunehook {

/** Bytes without the end of an event after which a stream is no stream of events. */
inline constexpr std::size_t kMaxEventBytes = std::size_t{ 1024 } * 1024;

/** Splits the events of one stream. */
class event_splitter
{
public:
  /**
   * Appends bytes of the stream.
   * @return the events that are now complete.
   */
  std::string Feed(std::string_view aBytes);

  /** @return the bytes after the last complete event. */
  const std::string& PartialEvent() const { return mPartialEvent; }
  /**
   * @return whether the stream would be cut within an event or a line if it ended here. Complete
   * comment lines belong to no event.
   */
  bool InsideEvent() const { return mHasField || mLineStart < mPartialEvent.size(); }
  /** @return whether so much came without a whole event that it's no stream of events. */
  bool IsOverlong() const { return mSinceEvent > kMaxEventBytes; }
  /** Drops the bytes after the last complete event: another runner generates that event again. */
  void DropPartialEvent();
  /** @return the id of the last complete event that had a numeric one. */
  std::optional<std::uint64_t> LastId() const { return mLastId; }
  /** @return the number of complete events so far; comments alone are none. */
  std::uint32_t Count() const { return mCount; }

private:
  /** Takes a complete line of the partial event. @return whether it ends an event. */
  bool TakeLine(std::string_view aLine);

  std::string mPartialEvent;               ///< Bytes after the last complete event.
  std::size_t mScanned = 0;                ///< Bytes of mPartialEvent looked at.
  std::size_t mLineStart = 0;              ///< Where the last line in mPartialEvent starts.
  bool mAfterReturn = false;               ///< The last byte was a CR: an LF belongs to it.
  bool mHasField = false;                  ///< mPartialEvent has a complete line of an event.
  bool mAtStart = true;                    ///< No line was complete yet; a byte-order mark may be.
  std::optional<std::uint64_t> mPartialId; ///< Id in mPartialEvent.
  std::optional<std::uint64_t> mLastId;    ///< Id of the last complete event that had one.
  std::uint32_t mCount = 0;                ///< Complete events.
  std::size_t mSinceEvent = 0;             ///< Bytes of the stream since the last one.
};

} // namespace dunehook
