/**
 * @file event_splitter.h
 * Splits a stream of server-sent events into complete events, so that a stream that breaks is cut
 * between two events and can be resumed at the next one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dunehook {

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
  /** Drops the bytes after the last complete event: another runner generates that event again. */
  void DropPartialEvent() { mPartialEvent.clear(); }
  /** @return the id of the last complete event that had a numeric one. */
  std::optional<std::uint64_t> LastId() const { return mLastId; }
  /** @return the number of complete events so far. */
  std::uint32_t Count() const { return mCount; }

private:
  void NoteEvent(std::string_view aEvent);

  std::string mPartialEvent;            ///< Bytes of an incomplete event.
  std::optional<std::uint64_t> mLastId; ///< Id of the last complete event that had one.
  std::uint32_t mCount = 0;             ///< Complete events.
};

} // namespace dunehook
