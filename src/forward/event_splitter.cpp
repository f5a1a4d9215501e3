/**
 * @file event_splitter.cpp
 * Splitting of server-sent events.
 */
#include "forward/event_splitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace dunehook {

namespace {

/** @return the offset after the first blank line, or npos. */
std::size_t
EndOfEvent(std::string_view aBytes)
{
  const std::size_t plain = aBytes.find("\n\n");
  const std::size_t carriage = aBytes.find("\r\n\r\n");
  const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
  const std::size_t carriageEnd = carriage == std::string_view::npos ? carriage : carriage + 4;
  return std::min(plainEnd, carriageEnd);
}

} // namespace

std::string
event_splitter::Feed(std::string_view aBytes)
{
  mPartialEvent.append(aBytes);
  std::size_t whole = 0;
  const std::string_view all = mPartialEvent;
  while (whole < all.size()) {
    const std::size_t end = EndOfEvent(all.substr(whole));
    if (end == std::string_view::npos) {
      break;
    }
    NoteEvent(all.substr(whole, end));
    whole += end;
  }
  std::string events = mPartialEvent.substr(0, whole);
  mPartialEvent.erase(0, whole);
  return events;
}

void
event_splitter::NoteEvent(std::string_view aEvent)
{
  ++mCount;
  std::string_view rest = aEvent;
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (line.substr(0, 3) != "id:") {
      continue;
    }
    const std::string_view value = line.substr(3);
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(absl::string_view(value.data(), value.size())),
                         &id)) {
      mLastId = id;
    }
  }
}

} // namespace dunehook
