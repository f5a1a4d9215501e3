/**
 * @file notice_test.cpp
 * What runners say of themselves in their answers is heeded, with real processes.
 *
 * Callers saw nothing at first: a runner of three told in each of its answers that it was about to
 * leave, and was sent requests for another six seconds by all daemons. The store, where it would
 * have said the same, answered nobody for fourteen seconds; the list there was the only place from
 * which a daemon learned of a leave. The runner's time to leave would have ended with those
 * requests on it.
 *
 * Evidence: no daemon wrote that a runner left, its metric of leaving runners stayed at 0, and the
 * age of its list grew with each answer; with the line runner_notice in place, known_to_leave is
 * false in it while further requests go there.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Requests by which a runner that may be chosen is chosen at least once: of two alike, each is
 * passed over in all of them in one case of a million. */
constexpr int kRequests = 20;
/** The latest that a final refusal may come: a quarter of the latency target of 0.3 s, and the way
 * of a busy machine. */
constexpr std::int64_t kRefusalMs = 175;

} // namespace

TEST_GROUP(notices)
{
  fleet_bed mBed;   ///< The deployment.
  int mRequest = 0; ///< Number of the last request.

  /** Sends a repeatable request. @return the runner that saw it last. */
  std::string SendRequest(std::size_t aDaemon = 0)
  {
    const std::string id = "r" + std::to_string(++mRequest);
    mAnswer = Call(mBed.Callers(aDaemon), "GET", "/pages/a", "", CallerHeaders(id));
    const std::vector<json> seen = mBed.Seen(id);
    return seen.empty() ? "" : seen.back().value("runner", "");
  }

  /** Asks until a runner was met. @return whether it was. */
  bool SendUntilSeenBy(const std::string& aRunner)
  {
    for (int i = 0; i < kRequests; ++i) {
      if (SendRequest() == aRunner) {
        return true;
      }
    }
    return false;
  }

  /** @return how many of some requests a runner sees. */
  int CountRequestsAt(const std::string& aRunner, std::size_t aDaemon = 0)
  {
    int count = 0;
    for (int i = 0; i < kRequests; ++i) {
      count += SendRequest(aDaemon) == aRunner ? 1 : 0;
    }
    return count;
  }

  /** Has a generation run. @return the engine that read its prompt, or that generated. */
  std::string Generate(const std::string& aRole)
  {
    const std::string id = "g" + std::to_string(++mRequest);
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders(id, 2000, 1));
    std::string engine;
    for (const json& seen : mBed.Seen(id)) {
      const bool read = seen["headers"].value("X-Stage", "") == "prefill";
      if (read == (aRole == "prefill")) {
        engine = seen.value("runner", "");
      }
    }
    return engine;
  }

  /** Lets the engine say that it leaves which is chosen while none does. @return how many of some
   * generations go there once it has said so. */
  int CountRunsAfterLeave(const std::string& aRole)
  {
    const std::string usual = Generate(aRole);
    CHECK_TRUE(usual != "");
    mBed.SetRunner(usual, { { "leaves", true } });
    Generate(aRole); // The answers to this one say so.
    int count = 0;
    for (int i = 0; i < kRequests / 2; ++i) {
      count += Generate(aRole) == usual ? 1 : 0;
    }
    return count;
  }

  answer mAnswer; ///< Of the last request.
};

TEST(notices, ARunnerThatAnnouncesItsLeaveGetsNoMoreRequests)
{
  mBed.StartUsual();
  mBed.SetStore("silent");
  mBed.SetRunner("desk-1", { { "leaves", true } });
  CHECK_TRUE(SendUntilSeenBy("desk-1"));
  LONGS_EQUAL(0, CountRequestsAt("desk-1"));
}

TEST(notices, ADecodeEngineThatAnnouncesItsLeaveGetsNoMoreRuns)
{
  mBed.StartUsual();
  mBed.SetStore("silent");
  LONGS_EQUAL(0, CountRunsAfterLeave("decode"));
}

TEST(notices, APrefillEngineThatAnnouncesItsLeaveGetsNoMorePrompts)
{
  mBed.AddRunner("prefill-2", { "tutor", "prefill" });
  mBed.StartUsual();
  mBed.SetStore("silent");
  LONGS_EQUAL(0, CountRunsAfterLeave("prefill"));
}

TEST(notices, ABackingOffRunnerGetsNoRequestsUntilItsBackoffEnds)
{
  constexpr std::int64_t kRestMs = 2000;
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "refuse" }, { "faults", 1 }, { "retry_after", "2" } });
  const auto first = [&] {
    for (const json& seen : mBed.Seen()) {
      if (seen.value("runner", "") == "desk-1") {
        return seen.value("at_ms", std::int64_t{ 0 });
      }
    }
    return std::int64_t{ 0 };
  };
  while (first() == 0 && mRequest < kRequests) {
    SendRequest();
  }
  const std::int64_t refusedAt = first();
  CHECK(refusedAt != 0);
  while (NowMs() < refusedAt + kRestMs) {
    SendRequest();
  }
  int early = 0;
  for (const json& seen : mBed.Seen()) {
    const std::int64_t after = seen.value("at_ms", std::int64_t{ 0 }) - refusedAt;
    early += seen.value("runner", "") == "desk-1" && after > 0 && after < kRestMs ? 1 : 0;
  }
  LONGS_EQUAL(0, early);
  CHECK_TRUE_TEXT(SendUntilSeenBy("desk-1"), "it's asked again afterwards");
}

TEST(notices, WhenAllRunnersBackOffCallersGetARetryTimeAtOnce)
{
  mBed.StartUsual();
  for (const char* const runner : { "desk-1", "desk-2" }) {
    mBed.SetRunner(runner, { { "mode", "refuse" }, { "retry_after", "3" } });
  }
  for (int i = 0; i < 2; ++i) { // Both are met: a request goes to a second runner.
    SendRequest();
  }
  const std::int64_t began = NowMs();
  CHECK_EQUAL("", SendRequest());
  const std::int64_t took = NowMs() - began;
  CHECK_EQUAL(503U, mAnswer.mStatus);
  CHECK_TRUE(took < kRefusalMs);
  const double back = std::stod(mAnswer.mHeaders.at("retry-after"));
  CHECK_TRUE(back > 1.5 && back < 6.0); // Its half second to one and a half, of three seconds.
}

TEST(notices, ABackingOffEngineIsNotAskedForReservations)
{
  mBed.StartUsual();
  const std::string usual = Generate("decode");
  mBed.SetRunner(usual, { { "free", 0 }, { "retry_after", "30" } });
  const auto asked = [&] {
    int count = 0;
    for (const json& seen : mBed.Seen()) {
      const bool place = seen.value("target", "") == "/hold-take";
      count += place && seen.value("runner", "") == usual ? 1 : 0;
    }
    return count;
  };
  const int before = asked();
  for (int i = 0; i < kRequests / 2; ++i) {
    Generate("decode");
    std::this_thread::sleep_for(std::chrono::milliseconds(150)); // A full engine rests for less.
  }
  LONGS_EQUAL(before + 1, asked());
}

TEST(notices, ALeaveAnnouncedToOneDaemonIsHeededByTheOthers)
{
  mBed.StartUsual();
  mBed.StartDaemon();
  CHECK_TRUE(mBed.Daemon().WaitForLine("daemon_heard") != "");
  mBed.SetStore("silent");
  mBed.SetRunner("desk-1", { { "leaves", true } });
  CHECK_TRUE(SendUntilSeenBy("desk-1"));
  CHECK_TRUE(mBed.Daemon(1).WaitForLine("\"leaving\":true", 2000) != "");
  LONGS_EQUAL(0, CountRequestsAt("desk-1", 1));
}
