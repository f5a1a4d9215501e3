/**
 * @file event_splitter.cpp
 * Splitting of server-sent events.
 */
#include "forward/event_splitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace dunehook {

namespace {

/** Memory of events that is kept for the next ones, in bytes. */
constexpr std::size_t kMostKeptBytes = 4096;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

} // namespace

std::string
event_splitter::Feed(std::string_view aBytes)
{
  mPartialEvent.append(aBytes);
  mSinceEvent += aBytes.size();
  std::size_t whole = 0;
  for (; mScanned < mPartialEvent.size(); ++mScanned) {
    const char byte = mPartialEvent[mScanned];
    const bool secondOfTwo = mAfterReturn && byte == '\n';
    mAfterReturn = byte == '\r';
    if (secondOfTwo) { // The line ended at the CR.
      whole = whole == mScanned ? mScanned + 1 : whole;
      mLineStart = mScanned + 1;
      continue;
    }
    if (byte != '\n' && byte != '\r') {
      continue;
    }
    const std::string_view all = mPartialEvent;
    const bool ends = TakeLine(all.substr(mLineStart, mScanned - mLineStart));
    mLineStart = mScanned + 1;
    whole = ends ? mLineStart : whole;
  }
  std::string events = mPartialEvent.substr(0, whole);
  mPartialEvent.erase(0, whole);
  if (whole > kMostKeptBytes) {
    mPartialEvent.shrink_to_fit();
  }
  mScanned -= whole;
  mLineStart -= whole;
  return events;
}

void
event_splitter::DropPartialEvent()
{
  mPartialEvent.clear();
  mPartialEvent.shrink_to_fit(); // The stream may go on for long.
  mSinceEvent = 0;
  mScanned = 0;
  mLineStart = 0;
  mAfterReturn = false;
  mHasField = false;
  mPartialId.reset();
}

bool
event_splitter::TakeLine(std::string_view aLine)
{
  std::string_view line = aLine;
  if (mAtStart && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  mAtStart = false;
  if (line.empty()) {
    mCount += mHasField ? 1 : 0;
    mSinceEvent = mHasField ? 0 : mSinceEvent;
    mLastId = mPartialId ? mPartialId : mLastId;
    mPartialId.reset();
    mHasField = false;
    return true;
  }
  mHasField = mHasField || line.front() != ':';
  if (line.starts_with("id:")) {
    const std::string_view value = line.substr(3);
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(absl::string_view(value.data(), value.size())),
                         &id)) {
      mPartialId = id;
    }
  }
  return false;
}

} // namespace dunehook
