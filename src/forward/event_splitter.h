/**
 * @file event_splitter.h
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks midway ends
 * between two events and can go on at the next one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dunehook {

/** The splitter of one stream. */
class event_splitter
{
public:
  /** Takes bytes of the stream. @return the whole events among the bytes so far. */
  std::string Feed(std::string_view aBytes);

  /** @return the bytes after the last whole event. */
  const std::string& PartialEvent() const { return mPartialEvent; }
  /** Drops the bytes after the last whole event: another runner makes that event anew. */
  void DropPartialEvent() { mPartialEvent.clear(); }
  /** @return the id of the last whole event, if it has a numeric one. */
  std::optional<std::uint64_t> LastId() const { return mLastId; }
  /** @return whole events so far. */
  std::uint32_t Count() const { return mCount; }

private:
  void NoteEvent(std::string_view aEvent);

  std::string mPartialEvent;            ///< Bytes of an event that isn't whole.
  std::optional<std::uint64_t> mLastId; ///< Of the last whole event that had an id.
  std::uint32_t mCount = 0;             ///< Whole events.
};

} // namespace dunehook
