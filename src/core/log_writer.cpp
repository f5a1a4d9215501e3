/**
 * @file log_writer.cpp
 * Writing of log lines.
 */
#include "core/log_writer.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace dunehook {

namespace {

/** A pipe that's ready takes so many bytes without blocking (PIPE_BUF of Linux). */
constexpr std::size_t kSafeBytes = 4096;

} // namespace

void
log_writer::Drop(std::string_view aKind)
{
  ++mDropped[std::string(aKind)];
  ++mDroppedInAll;
}

bool
log_writer::Admit(log_level aLevel, std::string_view aKind, instant aNow)
{
  token_bucket& bucket = aLevel == log_level::eInfo ? mInfo : mProblems;
  const bool admitted = bucket.Take(aNow);
  if (!admitted) {
    Drop(aKind);
  }
  return admitted;
}

void
log_writer::Write(log_level aLevel, std::string_view aKind, std::string_view aLine)
{
  Flush();
  const bool info = aLevel == log_level::eInfo;
  const std::size_t most = info ? mLimits.mInfoQueueBytes : mLimits.mQueueBytes;
  if (mQueue.size() + aLine.size() + 1 > most) {
    Drop(aKind);
    return;
  }
  mQueue.append(aLine);
  mQueue.push_back('\n');
  Flush();
}

void
log_writer::Flush()
{
  while (!mQueue.empty()) {
    pollfd ready{ mHandle, POLLOUT, 0 };
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const std::size_t count = std::min(mQueue.size(), kSafeBytes);
    const ssize_t written = ::write(mHandle, mQueue.data(), count);
    if (written <= 0) {
      return; // The reader is gone or busy; what waits is bounded.
    }
    mBytes += static_cast<std::uint64_t>(written);
    mQueue.erase(0, static_cast<std::size_t>(written));
  }
}

std::map<std::string, std::uint64_t>
log_writer::TakeDropped()
{
  if (mDropped.empty() || mQueue.size() > mLimits.mInfoQueueBytes / 2) {
    return {};
  }
  std::map<std::string, std::uint64_t> dropped;
  dropped.swap(mDropped);
  return dropped;
}

} // namespace dunehook
