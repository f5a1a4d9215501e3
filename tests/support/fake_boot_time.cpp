/**
 * @file fake_boot_time.cpp
 * The clocks of a machine that was suspended.
 */
#include "tests/support/fake_boot_time.h"

#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::chrono::nanoseconds sSuspended{ 0 };

} // namespace

namespace dunehook::test {

void
SuspendFor(duration aSpan)
{
  sSuspended += aSpan;
}

} // namespace dunehook::test

extern "C" int
clock_gettime(clockid_t aClock, timespec* aRead) noexcept
{
  const long result = ::syscall(SYS_clock_gettime, aClock, aRead);
  const bool counts = aClock == CLOCK_BOOTTIME || aClock == CLOCK_REALTIME;
  if (result == 0 && counts) {
    const std::chrono::nanoseconds now =
      std::chrono::seconds(aRead->tv_sec) + std::chrono::nanoseconds(aRead->tv_nsec) + sSuspended;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now);
    aRead->tv_sec = seconds.count();
    aRead->tv_nsec = (now - seconds).count();
  }
  return static_cast<int>(result);
}
