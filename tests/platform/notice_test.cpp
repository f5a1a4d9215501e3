/**
 * @file notice_test.cpp
 * Notices that runners give in their responses (leaving, backing off) are heeded, with real
 * processes.
 *
 * Guards against sending requests to a runner that announces its leave only in its responses. While
 * the store was unavailable for fourteen seconds, all daemons kept sending requests to a runner of
 * three for six seconds after its first announcement, because they learned of leaves from the
 * store's list alone. Requests running when the runner's leave time ended would have been lost.
 *
 * Symptoms: no daemon logged that the runner left, its metric of leaving runners stayed at 0, and
 * the age of its runner list grew with each response. In the log line runner_notice, known_to_leave
 * stays false while further requests go to the runner.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/**
 * Requests after which a runner that may be chosen was chosen at least once: with two equal
 * runners, the chance that one is passed over in all of them is one in a million.
 */
constexpr int kRequests = 20;
/**
 * Latest time of a final refusal, in ms: a quarter of the latency target of 0.3 s, plus the delay
 * of a busy machine.
 */
constexpr std::int64_t kRefusalMs = 175;

} // namespace

TEST_GROUP(notices)
{
  fleet_bed mBed;   ///< The deployment.
  int mRequest = 0; ///< Number of the last request.

  /**
   * Sends a repeatable request.
   * @return the runner that saw it last.
   */
  std::string SendRequest(std::size_t aDaemon = 0)
  {
    const std::string id = "r" + std::to_string(++mRequest);
    mAnswer = Call(mBed.Callers(aDaemon), "GET", "/pages/a", "", CallerHeaders(id));
    const std::vector<json> seen = mBed.Seen(id);
    return seen.empty() ? "" : seen.back().value("runner", "");
  }

  /**
   * Sends requests until a runner gets one.
   * @return whether it did.
   */
  bool SendUntilSeenBy(const std::string& aRunner)
  {
    for (int i = 0; i < kRequests; ++i) {
      if (SendRequest() == aRunner) {
        return true;
      }
    }
    return false;
  }

  /** @return how many of kRequests requests reach a runner. */
  int CountRequestsAt(const std::string& aRunner, std::size_t aDaemon = 0)
  {
    int count = 0;
    for (int i = 0; i < kRequests; ++i) {
      count += SendRequest(aDaemon) == aRunner ? 1 : 0;
    }
    return count;
  }

  /**
   * Runs a generation.
   * @return the engine that processed its prompt, or that decoded.
   */
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

  /**
   * Lets the engine that is usually chosen announce its leave.
   * @return how many later generations go there.
   */
  int CountRunsAfterLeave(const std::string& aRole)
  {
    const std::string usual = Generate(aRole);
    CHECK_TRUE(usual != "");
    mBed.SetRunner(usual, { { "leaves", true } });
    Generate(aRole); // The responses to this one announce it.
    int count = 0;
    for (int i = 0; i < kRequests / 2; ++i) {
      count += Generate(aRole) == usual ? 1 : 0;
    }
    return count;
  }

  answer mAnswer; ///< Response to the last request.
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
  for (int i = 0; i < 2; ++i) { // Reaches both: a refused request goes to a second runner.
    SendRequest();
  }
  const std::int64_t began = NowMs();
  CHECK_EQUAL("", SendRequest());
  const std::int64_t took = NowMs() - began;
  CHECK_EQUAL(503U, mAnswer.mStatus);
  CHECK_TRUE(took < kRefusalMs);
  const double back = std::stod(mAnswer.mHeaders.at("retry-after"));
  CHECK_TRUE(
    back > 1.5 &&
    back < 6.0); // The stated three seconds, spread by a factor of 0.5 to 1.5 and the base delay.
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
    std::this_thread::sleep_for(
      std::chrono::milliseconds(150)); // Longer than the backoff after a refusal of a full engine.
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
