/**
 * @file skew_test.cpp
 * Tests with real processes that requests stay served while most new connections go to one daemon,
 * and more of them come.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <mutex>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

constexpr std::size_t kDaemons = 8;
constexpr std::size_t kEngines = 6;
constexpr std::size_t kDesks = 3;
/** Callers of each kind, before and while the connections go to one daemon. */
constexpr std::size_t kUsualCallers = 10;
constexpr std::size_t kMoreCallers = 2 * kUsualCallers;
constexpr int kUsualMs = 4000;
constexpr int kSkewedMs = 8000;
/** Time after the change in which less may be served; ms. */
constexpr std::int64_t kContactMs = 3000;
/** Share of the requests served before that must be served then. */
constexpr double kMinShare = 0.75;
constexpr int kPauseMs = 100;
constexpr int kSettleMs = 3000;
constexpr int kCallLimitMs = 8000;

} // namespace

TEST_GROUP(skew)
{
  fleet_bed mBed;
  std::atomic<int> mRequests{ 0 };
  std::mutex mMutex;           ///< Guards the counts.
  std::size_t mSent = 0;       ///< Requests since the last ResetCounts().
  std::size_t mServed = 0;     ///< Those of them that were served.
  std::int64_t mCountFrom = 0; ///< Requests sent before aren't counted.

  void Start()
  {
    for (std::size_t i = 1; i <= kDesks; ++i) {
      mBed.AddRunner("desk-" + std::to_string(i));
    }
    mBed.AddRunner("prefill-1", { "tutor", "prefill" });
    mBed.AddRunner("prefill-2", { "tutor", "prefill" });
    for (std::size_t i = 1; i <= kEngines; ++i) {
      mBed.AddRunner("decode-" + std::to_string(i), { "tutor", "decode" });
    }
    mBed.PutConfig(1);
    mBed.StartDaemons(std::vector<platform_daemon_options>(kDaemons));
    std::this_thread::sleep_for(std::chrono::milliseconds(kSettleMs));
  }

  void SendOne(bool aGenerates, std::size_t aDaemon)
  {
    const std::string id = "s" + std::to_string(++mRequests);
    const std::int64_t sent = NowMs();
    const unsigned status =
      aGenerates
        ? Call(mBed.Callers(aDaemon),
               "POST",
               "/turns/a",
               id,
               GenerationHeaders(id, 1000, 8),
               kCallLimitMs)
            .mStatus
        : Call(mBed.Callers(aDaemon), "GET", "/pages/a", "", CallerHeaders(id), kCallLimitMs)
            .mStatus;
    const std::scoped_lock lock(mMutex);
    if (sent >= mCountFrom) {
      ++mSent;
      mServed += status == 200 ? 1 : 0;
    }
  }

  /** Lets callers send for a time, to one daemon or to all in turn. @return the share served of
   * what was sent later than @p aAfterMs. */
  double Play(
    std::size_t aCallers, std::optional<std::size_t> aOnly, int aForMs, std::int64_t aAfterMs)
  {
    mSent = 0;
    mServed = 0;
    mCountFrom = NowMs() + aAfterMs;
    const std::int64_t until = NowMs() + aForMs;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 2 * aCallers; ++i) {
      callers.emplace_back([this, i, aOnly, until] {
        for (std::size_t number = i; NowMs() < until; ++number) {
          SendOne(i % 2 == 0, aOnly.value_or(number % kDaemons));
          std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK_TRUE(mSent > 0);
    return static_cast<double>(mServed) / static_cast<double>(mSent);
  }
};

TEST(skew, RequestsAreServedWhileAllNewConnectionsGoToOneDaemonAndThenToAnother)
{
  Start();
  const double before = Play(kUsualCallers, std::nullopt, kUsualMs, 0);
  for (const std::size_t daemon : { 0, 5 }) {
    const double share = Play(kMoreCallers, daemon, kSkewedMs, kContactMs);
    const std::string text = std::to_string(share) + " of " + std::to_string(before);
    CHECK_TEXT(share >= kMinShare * before, text.c_str());
  }
}
