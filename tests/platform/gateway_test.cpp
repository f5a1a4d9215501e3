/**
 * @file gateway_test.cpp
 * Promises of a daemon on the users' platform, with real processes: whose answer it is, how often
 * a request runs, what is said of one that didn't run, and what a leaving caller, runner or daemon
 * leaves behind.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** The latest that a final refusal may come: a quarter of the latency target, and the way. */
constexpr std::int64_t kRefusalMs = 400;
/** The latest that a runner may still work for a caller that is gone. */
constexpr int kLeftMs = 500;

std::string
Event(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: piece " + number + "\n\n";
}

/** Sends bytes on a fresh connection. @return what comes back until the daemon closes. */
std::string
RawCall(const std::string& aAddress, const std::string& aBytes)
{
  const endpoint to = ParseEndpoint(aAddress).value();
  asio::io_context io(1);
  tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(to.mAddress), to.mPort });
  asio::write(socket, asio::buffer(aBytes));
  std::string got;
  boost::system::error_code ended; // The daemon closes after its answer.
  asio::read(socket, asio::dynamic_buffer(got), ended);
  return got;
}

std::string
Events(int aFrom, int aTo)
{
  std::string text;
  for (int number = aFrom; number < aTo; ++number) {
    text += Event(number);
  }
  return text;
}

} // namespace

TEST_GROUP(gateway)
{
  fleet_bed mBed; ///< The deployment.
};

TEST(gateway, ServesAPlainRequestUnchanged)
{
  mBed.StartUsual();
  const answer got = Call(mBed.Callers(),
                          "POST",
                          "/records/a?b=c",
                          "body",
                          CallerHeaders("r1", { { "X-Other", "kept" } }));
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_EQUAL("answer to r1", got.mBody);
  CHECK_EQUAL("r1", got.mHeaders.at("x-request-id"));
  const std::vector<json> seen = mBed.Seen("r1");
  CHECK_EQUAL(1U, seen.size());
  CHECK_EQUAL("/records/a?b=c", seen[0].value("target", ""));
  CHECK_EQUAL("body", seen[0].value("body", ""));
  CHECK_EQUAL("kept", seen[0]["headers"].value("X-Other", ""));
}

TEST(gateway, AnUnknownRouteIsNotFound)
{
  mBed.StartUsual();
  CHECK_EQUAL(404U, Call(mBed.Callers(), "GET", "/none/", "", CallerHeaders("r1")).mStatus);
}

TEST(gateway, DropsWhatOnlyTheRouterMaySet)
{
  mBed.StartUsual();
  Call(mBed.Callers(),
       "POST",
       "/records/a",
       "body",
       CallerHeaders("r1",
                     { { "Hold", "forged" },
                       { "Kv-From", "forged" },
                       { "Kv-Backup", "forged" },
                       { "Pin-Ms", "1" },
                       { "Expect-Version", "9" },
                       { "X-Stage", "prefill" },
                       { "Priority", "0" },
                       { "X-Expect-Instance", "other" } }));
  const json headers = mBed.Seen("r1").at(0)["headers"];
  for (const char* const name :
       { "Hold", "Kv-From", "Kv-Backup", "Pin-Ms", "Expect-Version", "X-Stage" }) {
    CHECK_FALSE_TEXT(headers.contains(name), name);
  }
  CHECK_EQUAL("1", headers.value("Priority", ""));
  CHECK(headers.value("X-Expect-Instance", "") != "other");
}

TEST(gateway, AnAmbiguousLengthIsRefused)
{
  mBed.StartUsual();
  const std::string got = RawCall(mBed.Callers(),
                                  "POST /records/a HTTP/1.1\r\nHost: calls.example\r\n"
                                  "X-Request-Id: r1\r\nContent-Length: 4\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  CHECK_EQUAL("HTTP/1.1 400", got.substr(0, 12));
  CHECK(mBed.Seen("r1").empty());
}

TEST(gateway, AWriteThatBreaksIsNotSentAgain)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "reset" } });
  mBed.SetRunner("desk-2", { { "mode", "reset" } });
  const answer got = Call(mBed.Callers(), "POST", "/records/a", "body", CallerHeaders("r1"));
  CHECK_EQUAL(502U, got.mStatus);
  CHECK_EQUAL(1U, mBed.Seen("r1").size());
}

TEST(gateway, ARefusedWriteIsToldAsNotRun)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "refuse" } });
  mBed.SetRunner("desk-2", { { "mode", "refuse" } });
  const answer got = Call(mBed.Callers(), "POST", "/records/a", "body", CallerHeaders("r1"));
  CHECK_EQUAL(503U, got.mStatus);
  CHECK(got.mHeaders.count("retry-after") == 1);
  CHECK_EQUAL(1U, mBed.Seen("r1").size());
}

TEST(gateway, ARequestWaitsAMomentForTheOnlyRunner)
{
  mBed.AddRunner("desk-1", { "desk", "", "ready", { { "mode", "refuse" }, { "faults", 1 } } });
  mBed.PutConfig(1);
  mBed.StartDaemon();
  // The first is refused, after which the runner is left alone for some milliseconds.
  CHECK_EQUAL(503U, Call(mBed.Callers(), "POST", "/records/a", "", CallerHeaders("r1")).mStatus);
  CHECK_EQUAL(200U, Call(mBed.Callers(), "POST", "/records/a", "", CallerHeaders("r2")).mStatus);
}

TEST(gateway, AReadThatBreaksIsServedByAnotherRunner)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "cut" } });
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const answer got = Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id));
    CHECK_EQUAL(200U, got.mStatus);
    CHECK_EQUAL("answer to " + id, got.mBody);
  }
}

TEST(gateway, AFailureOfTheRunnersOwnIsPassedOnWhenAllFail)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "error" } });
  mBed.SetRunner("desk-2", { { "mode", "error" } });
  const answer got = Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1"));
  CHECK_EQUAL(500U, got.mStatus);
  CHECK_EQUAL("own failure", got.mBody);
  CHECK_EQUAL(2U, mBed.Seen("r1").size());
}

TEST(gateway, AnExtraAnswerReachesNobody)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "extra" } });
  mBed.SetRunner("desk-2", { { "mode", "extra" } });
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const answer got = Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id));
    CHECK_EQUAL("answer to " + id, got.mBody);
  }
}

TEST(gateway, AnAnswerToAnotherRequestIsNotGiven)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "wrong_id" } });
  mBed.SetRunner("desk-2", { { "mode", "wrong_id" } });
  const answer got = Call(mBed.Callers(), "POST", "/records/a", "body", CallerHeaders("r1"));
  CHECK_EQUAL(502U, got.mStatus);
}

TEST(gateway, AnAnswerWithoutLengthIsWhole)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "no_length" } });
  mBed.SetRunner("desk-2", { { "mode", "no_length" } });
  const answer got = Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1"));
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_EQUAL("answer to r1", got.mBody);
}

TEST(gateway, ASilentRunnerOfARepeatableRequestIsReplaced)
{
  mBed.StartUsual();
  mBed.SetRunner("desk-1", { { "mode", "hang" } });
  const std::int64_t began = NowMs();
  for (int i = 0; i < 3; ++i) {
    const answer got =
      Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r" + std::to_string(i)));
    CHECK_EQUAL(200U, got.mStatus);
  }
  CHECK(NowMs() - began < 3000);
}

TEST(gateway, APromptIsReadElsewhereAndGeneratedInAReservedPlace)
{
  mBed.StartUsual();
  const answer got =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 5000, 5));
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_EQUAL(Events(0, 5), got.mBody);
  const std::vector<json> seen = mBed.Seen("g1");
  CHECK_EQUAL(2U, seen.size());
  CHECK_EQUAL("prefill-1", seen[0].value("runner", ""));
  CHECK_EQUAL("prefill", seen[0]["headers"].value("X-Stage", ""));
  CHECK_FALSE(seen[1]["headers"].contains("X-Stage"));
  CHECK(seen[1]["headers"].value("Kv-From", "").find("/h-g1") != std::string::npos);
  CHECK(seen[1]["headers"].contains("Hold"));
  CHECK_EQUAL("prompt", seen[1].value("body", ""));
}

TEST(gateway, AReadWhoseAnswerIsLostIsAskedForAgainAtItsEngine)
{
  mBed.StartUsual();
  mBed.AddRunner("prefill-2", { "tutor", "prefill" });
  mBed.SetRunner("prefill-1", { { "mode", "late_reset" }, { "faults", 1 } });
  mBed.SetRunner("prefill-2", { { "mode", "late_reset" }, { "faults", 1 } });
  const answer got =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 5000, 5));
  CHECK_EQUAL(200U, got.mStatus);
  const std::vector<json> seen = mBed.Seen("g1");
  CHECK_EQUAL(3U, seen.size());
  CHECK_EQUAL(seen[0].value("runner", ""), seen[1].value("runner", ""));
  const auto timeLeft = [&](std::size_t aSend) {
    return std::stoi(seen[aSend]["headers"].value("X-Deadline-Ms", "0"));
  };
  CHECK(timeLeft(1) < timeLeft(0));
}

TEST(gateway, AReaderThatIsNotReachedCostsNoRetries)
{
  mBed.ListUnreachable("prefill-1", { "tutor", "prefill" });
  mBed.AddRunner("decode-1", { "tutor", "decode" });
  mBed.PutConfig(1);
  platform_daemon_options options;
  options.mRetryAllowance = 60;
  mBed.StartDaemon(options);
  // Each few requests meet the dead engine; retries for all of them aren't in the budget.
  for (int i = 0; i < 25; ++i) {
    const std::string id = "g" + std::to_string(i);
    const answer got =
      Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders(id, 1000, 1));
    CHECK_EQUAL(200U, got.mStatus);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

TEST(gateway, APromptThatWasReadIsHandedToAnotherEngineWhereTheFirstIsNotThere)
{
  mBed.AddRunner("prefill-1", { "tutor", "prefill" });
  mBed.AddRunner("decode-1", { "tutor", "decode" });
  mBed.PutConfig(1);
  mBed.StartDaemon();
  // Both entries name lives that have ended: the engine there turns the handoff away. They're
  // nearer than the one that lives.
  mBed.ListAs("decode-8", "decode-1");
  mBed.ListAs("decode-9", "decode-1");
  mBed.List("decode-1", "");
  CHECK(Eventually([&] {
    return Call(mBed.Metrics(), "GET", "/metrics").mBody.find("runners_taking_work\"} 3") !=
           std::string::npos;
  }));
  mBed.AddRunner("decode-2", { "tutor", "decode", "ready", json::object(), "hall-b" });
  CHECK(Eventually([&] {
    return Call(mBed.Metrics(), "GET", "/metrics").mBody.find("runners_taking_work\"} 4") !=
           std::string::npos;
  }));
  for (int i = 0; i < 4; ++i) {
    const std::string id = "g" + std::to_string(i);
    const answer got =
      Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders(id, 5000, 1));
    CHECK_EQUAL(200U, got.mStatus);
    int reads = 0;
    for (const json& one : mBed.Seen(id)) {
      reads += one["headers"].value("X-Stage", "") == "prefill" ? 1 : 0;
    }
    CHECK_EQUAL(1, reads);
  }
}

TEST(gateway, ARequestAtTheStartWaitsForTheConfiguration)
{
  mBed.AddRunner("desk-1", { "desk", "", "ready", { { "step_ms", 0 } } });
  mBed.PutConfig(1);
  mBed.SetStore("slow");
  // The first answer that a starting daemon gives; on a busy machine a start may be slower.
  int served = 0;
  for (std::size_t i = 0; i < 8; ++i) {
    mBed.StartDaemon(false);
    unsigned first = 0;
    CHECK(Eventually([&] {
      first = Call(mBed.Callers(i), "GET", "/pages/a", "", CallerHeaders("r1")).mStatus;
      return first != 0;
    }));
    served += first == 200U ? 1 : 0;
  }
  CHECK(served > 0);
}

TEST(gateway, WithoutAReservationNoPromptIsRead)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "free", 10 } });
  mBed.SetRunner("decode-2", { { "free", 10 } });
  const std::int64_t began = NowMs();
  const answer got =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 5000, 5));
  CHECK_EQUAL(503U, got.mStatus);
  CHECK(NowMs() - began < kRefusalMs);
  CHECK(std::stod(got.mHeaders.at("retry-after")) > 0.0);
  CHECK(mBed.Seen("g1").empty());
}

/** Guards against bytes that look like a refusal and are passed on as the promise that a request
 * hasn't run. */
TEST(gateway, ARefusalThatNamesNoRequestIsNoPromise)
{
  mBed.StartUsual();
  for (const std::string name : { "desk-1", "desk-2", "decode-1", "decode-2" }) {
    mBed.SetRunner(name, { { "mode", "bare" } });
  }
  const answer record = Call(mBed.Callers(), "POST", "/records/a", "x", CallerHeaders("r1"));
  CHECK_EQUAL(502U, record.mStatus);
  LONGS_EQUAL(1, mBed.Seen("r1").size());
  const answer stream =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 10));
  CHECK_EQUAL(502U, stream.mStatus);
  mBed.SetRunner("desk-2", { { "mode", "" } });
  for (int i = 0; i < 6; ++i) {
    const std::string id = "p" + std::to_string(i);
    CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id)).mStatus);
  }
}

TEST(gateway, AResumableStreamGoesOnAtAnotherEngine)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "mode", "cut" }, { "faults", 1 } });
  mBed.SetRunner("decode-2", { { "mode", "cut" }, { "faults", 1 } });
  // Whichever engine is first cuts the stream within an event; both have one fault to give.
  mBed.SetRunner("decode-2", { { "mode", "" } });
  for (int i = 0; i < 3; ++i) {
    const answer got = Call(mBed.Callers(),
                            "POST",
                            "/resumed/a",
                            "prompt",
                            GenerationHeaders("g" + std::to_string(i), 2000, 10));
    CHECK_EQUAL(200U, got.mStatus);
    CHECK_EQUAL(Events(0, 10), got.mBody);
  }
}

TEST(gateway, AStreamThatMayNotRunAgainIsTornWhenItBreaks)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "mode", "cut" } });
  mBed.SetRunner("decode-2", { { "mode", "cut" } });
  const answer got =
    Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 10));
  CHECK_EQUAL(0U, got.mStatus); // No whole answer.
  std::size_t runs = 0;
  for (const json& one : mBed.Seen("g1")) {
    runs += one["headers"].contains("X-Stage") ? 0 : 1;
  }
  CHECK_EQUAL(1U, runs);
}

TEST(gateway, ACallersLeaveEndsTheRun)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "step_ms", 50 } });
  mBed.SetRunner("decode-2", { { "step_ms", 50 } });
  // The call gives up after 400 ms and closes its connection; the stream would last 10 s.
  Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 200), 400);
  const auto open = [&] {
    return mBed.Holds("decode-1").value("runs", 0) + mBed.Holds("decode-2").value("runs", 0);
  };
  CHECK(Eventually([&] { return open() == 0; }, kLeftMs));
  const json first = mBed.Holds("decode-1");
  const json second = mBed.Holds("decode-2");
  CHECK_EQUAL(0, first.value("holds", 0) + second.value("holds", 0));
}

TEST(gateway, ARequestThatIsReadAfterItsCallerHasLeftReachesNoRunner)
{
  mBed.StartUsual();
  for (int i = 0; i < 6; ++i) { // Leaves open connections to the runners.
    const std::string id = "r" + std::to_string(i);
    CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id)).mStatus);
  }
  mBed.Daemon().Signal(SIGSTOP);
  for (int i = 0; i < 20; ++i) { // The system takes the connections for the daemon.
    const std::string id = "left" + std::to_string(i);
    const bool page = i % 2 == 0;
    Call(mBed.Callers(),
         page ? "GET" : "POST",
         page ? "/pages/a" : "/turns/a",
         page ? "" : "prompt",
         page ? CallerHeaders(id) : GenerationHeaders(id, 2000, 10),
         10);
  }
  mBed.Daemon().Signal(SIGCONT);
  CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("last")).mStatus);
  std::this_thread::sleep_for(std::chrono::milliseconds(kLeftMs));
  for (int i = 0; i < 20; ++i) {
    LONGS_EQUAL(0, mBed.Seen("left" + std::to_string(i)).size());
  }
}

TEST(gateway, ACallersLeaveIsNotBlamedOnTheEngine)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "step_ms", 50 } });
  mBed.SetRunner("decode-2", { { "step_ms", 50 } });
  Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 200), 400);
  CHECK(mBed.Daemon().WaitForLine("caller_left") != "");
  CHECK(mBed.Daemon().Output().find("generation_broke") == std::string::npos);
}

TEST(gateway, ADrainingRunnerGetsNoNewWork)
{
  mBed.StartUsual();
  mBed.List("desk-1", "draining");
  CHECK(mBed.Daemon().WaitForLine("\"leaving\":true") != "");
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id)).mStatus);
    CHECK_EQUAL("desk-2", mBed.Seen(id).at(0).value("runner", ""));
  }
}

TEST(gateway, WhatAnotherDaemonSaysOfTheStoreKeepsNoRunnerThatIsGone)
{
  mBed.StartUsual();
  // Another daemon tells that it could not reach the store lately: its own trouble.
  run_message message;
  message.mDaemon = 77;
  message.mStore = store_position{ { 1, 1 }, 1 };
  message.mRunners = runner_changes{ { 1, 0 }, { 1, 1 }, {}, {}, true };
  message.mStoreSilent = true;
  mBed.SendToRuns(message);
  mBed.List("desk-1", "");
  CHECK(mBed.Daemon().WaitForLine("\"listed\":false") != "");
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id)).mStatus);
    CHECK_EQUAL("desk-2", mBed.Seen(id).at(0).value("runner", ""));
  }
}

TEST(gateway, AnEntryThatIsOutOfDateIsAskedOnce)
{
  mBed.StartUsual();
  mBed.ListAs("ended", "desk-2"); // An incarnation that has ended; desk-2 has its address now.
  CHECK(mBed.Daemon().WaitForLine("\"runner\":\"ended\"") != "");
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r" + std::to_string(i);
    Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id));
  }
  std::size_t misdirected = 0;
  for (const json& one : mBed.Seen()) {
    misdirected += one["headers"].value("X-Expect-Instance", "") == "ended" ? 1 : 0;
  }
  CHECK_EQUAL(1U, misdirected);
}

TEST(gateway, ANewConfigurationIsInForceAndAnOlderOneIsNot)
{
  mBed.StartUsual();
  const json added{ { "name", "added" }, { "host", "calls.example" }, { "path-prefix", "/new/" },
                    { "kind", "safe" },  { "timeout-ms", 1500 },      { "target-latency-ms", 300 },
                    { "priority", 2 },   { "service", "desk" },       { "max-attempts", 2 } };
  mBed.PutConfig(5, json::array({ added }));
  CHECK(Eventually(
    [&] { return Call(mBed.Callers(), "GET", "/new/a", "", CallerHeaders("r1")).mStatus == 200; },
    2000));
  mBed.PutConfig(4);
  mBed.PutConfig(3);
  CHECK_FALSE(Eventually(
    [&] { return Call(mBed.Callers(), "GET", "/new/a", "", CallerHeaders("r2")).mStatus != 200; },
    1000));
}

TEST(gateway, AConfigurationWhoseAnswerIsLostComesByWayOfTheOthers)
{
  mBed.StartUsual();
  mBed.StartDaemon();
  CHECK(mBed.Daemon(0).WaitForLine("daemon_heard") != "");
  const json added{ { "name", "added" }, { "host", "calls.example" }, { "path-prefix", "/new/" },
                    { "kind", "safe" },  { "timeout-ms", 1500 },      { "service", "desk" } };
  mBed.SetStore("lose_one"); // One of the two that wait gets no answer.
  mBed.PutConfig(5, json::array({ added }));
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    CHECK(Eventually(
      [&] {
        return Call(mBed.Callers(daemon), "GET", "/new/a", "", CallerHeaders("r1")).mStatus == 200;
      },
      1900));
  }
}

TEST(gateway, OneDaemonOfAHallReadsTheStoreForAll)
{
  mBed.StartUsual();
  for (int i = 0; i < 3; ++i) {
    mBed.StartDaemon();
  }
  for (std::size_t daemon = 0; daemon < 4; ++daemon) {
    CHECK(mBed.Daemon(daemon).WaitForLine("daemon_heard") != "");
  }
  CHECK_FALSE(Eventually([] { return false; }, 1500)); // Until all have told of themselves.
  const std::uint64_t before = mBed.StoreCalls();
  CHECK_FALSE(Eventually([] { return false; }, 3000));
  // One reads some four times and waits for the configuration; four would make some sixteen calls.
  CHECK(mBed.StoreCalls() - before <= 8);
  // What changes is known to all in time.
  mBed.List("desk-1", "draining");
  for (std::size_t daemon = 0; daemon < 4; ++daemon) {
    CHECK(mBed.Daemon(daemon).WaitForLine("\"leaving\":true", 1800) != "");
  }
}

TEST(gateway, StartsWithTheStoreAwayAndServesOnWithoutIt)
{
  mBed.AddRunner("desk-1");
  mBed.PutConfig(1);
  mBed.SetStore("busy");
  mBed.StartDaemon(false);
  CHECK(Eventually([&] { return mBed.Readiness() == 503; }));
  const answer early = Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1"));
  CHECK_EQUAL(503U, early.mStatus);
  mBed.SetStore("");
  CHECK(Eventually([&] { return mBed.Readiness() == 200; }));
  mBed.SetStore("busy");
  CHECK(mBed.Daemon().WaitForLine("store_lost") != "");
  CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r2")).mStatus);
}

TEST(gateway, APlannedStopLetsAStreamEndAndTurnsTheBalancerAway)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "step_ms", 100 } });
  mBed.SetRunner("decode-2", { { "step_ms", 100 } });
  auto running = std::async(std::launch::async, [&] {
    return Call(mBed.Callers(), "POST", "/turns/a", "prompt", GenerationHeaders("g1", 2000, 40));
  });
  CHECK(Eventually([&] { return mBed.Seen("g1").size() == 2; }));
  mBed.Daemon().Signal(SIGTERM);
  CHECK(Eventually([&] { return mBed.Readiness() == 503; }, 1000));
  // Callers still come for a while.
  CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1")).mStatus);
  const answer got = running.get();
  CHECK_EQUAL(Events(0, 40), got.mBody);
  CHECK_EQUAL(0, mBed.Daemon().WaitForExit(9000));
}

TEST(gateway, AReloadDoesNotEndTheProcess)
{
  mBed.StartUsual();
  mBed.Daemon().Signal(SIGHUP);
  CHECK(mBed.Daemon().WaitForLine("reloaded") != "");
  CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1")).mStatus);
}

TEST(gateway, OnlyWhatChangedIsReadOfTheRunners)
{
  mBed.StartUsual();
  const std::uint64_t before = mBed.WholeReads();
  CHECK_FALSE(Eventually([&] { return mBed.WholeReads() > before; }, 2500));
  mBed.List("desk-1", "");
  mBed.List("desk-2", "draining");
  mBed.AddRunner("desk-3");
  CHECK(Eventually([&] {
    Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1"));
    return mBed.Seen("r1").back().value("runner", "") == "desk-3";
  }));
  for (int i = 0; i < 6; ++i) {
    const std::string id = "s" + std::to_string(i);
    CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id)).mStatus);
    CHECK_EQUAL("desk-3", mBed.Seen(id).at(0).value("runner", ""));
  }
}

TEST(gateway, AStoreThatForgotItsHistoryIsReadWhole)
{
  mBed.StartUsual();
  mBed.SetStore("forgetful");
  mBed.List("desk-1", "");
  CHECK(Eventually([&] {
    return Call(mBed.Metrics(), "GET", "/metrics").mBody.find("runners_taking_work\"} 4") !=
           std::string::npos;
  }));
}

TEST(gateway, TellsThatItStoodStill)
{
  mBed.StartUsual();
  mBed.Daemon().Signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  mBed.Daemon().Signal(SIGCONT);
  const std::string line = mBed.Daemon().WaitForLine("stood_still");
  CHECK_FALSE(line.empty());
  CHECK(json::parse(line).value("ms", 0) > 900);
}

TEST(gateway, ARequestLateInAPlannedStopIsNotTaken)
{
  mBed.StartUsual();
  mBed.SetRunner("decode-1", { { "step_ms", 100 } });
  mBed.SetRunner("decode-2", { { "step_ms", 100 } });
  const endpoint to = ParseEndpoint(mBed.Callers()).value();
  asio::io_context io(1);
  tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(to.mAddress), to.mPort });
  const std::string host = "Host: calls.example\r\nX-Deadline-Ms: 14000\r\n";
  asio::write(socket,
              asio::buffer("POST /turns/a HTTP/1.1\r\n" + host +
                           "X-Request-Id: g1\r\nX-Model: m\r\nX-Token-Counts: 1000,2560\r\n"
                           "X-Prefix-Hash: bb:1000\r\nContent-Length: 0\r\n\r\n"));
  std::string got;
  asio::read_until(socket, asio::dynamic_buffer(got), "piece 1\n");
  mBed.Daemon().Signal(SIGTERM);
  // The stream ends some 4 s after the signal; its head, sent before, left the connection open.
  asio::read_until(socket, asio::dynamic_buffer(got), "\r\n0\r\n\r\n");
  asio::write(socket,
              asio::buffer("POST /records/a HTTP/1.1\r\n" + host +
                           "X-Request-Id: r2\r\nContent-Length: 0\r\n\r\n"));
  std::string rest;
  boost::system::error_code ended;
  asio::read(socket, asio::dynamic_buffer(rest), ended);
  // Told as not run, and the connection ends: the caller can go elsewhere at once.
  CHECK_EQUAL("HTTP/1.1 503", rest.substr(0, 12));
  CHECK(rest.find("Connection: close\r\n") != std::string::npos);
  CHECK(mBed.Seen("r2").empty());
  CHECK_EQUAL(0, mBed.Daemon().WaitForExit());
}

TEST(gateway, AReloadDuringTheStartIsNeitherTheEndNorLost)
{
  mBed.AddRunner("desk-1");
  mBed.PutConfig(1);
  mBed.StartDaemonSignalled(SIGHUP);
  CHECK(Eventually([&] { return mBed.Readiness() == 200; }));
  CHECK_FALSE(mBed.Daemon().WaitForLine("reloaded").empty());
}

TEST(gateway, ALogThatNobodyReadsStopsNothing)
{
  mBed.AddRunner("desk-1", { "desk", "", "ready", { { "step_ms", 0 } } });
  mBed.PutConfig(1);
  mBed.StartDaemonUnread();
  for (int i = 0; i < 400; ++i) { // Some 150 KB of lines; the pipe takes 64 KB.
    const std::string id = "r" + std::to_string(i);
    CHECK_EQUAL(200U, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id)).mStatus);
  }
}

TEST(gateway, TellsItsMetrics)
{
  mBed.StartUsual();
  Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("r1"));
  Call(mBed.Callers(), "GET", "/none/", "", CallerHeaders("r2"));
  const std::string text = Call(mBed.Metrics(), "GET", "/metrics").mBody;
  for (const char* const wanted :
       { "dunehook_requests_total{outcome=\"served\",reason=\"\",route=\"route/pages/\"} 1",
         "reason=\"no_route\"",
         "dunehook_first_answer_seconds_bucket",
         "dunehook_store_calls_total{answered=\"yes\",call=\"runners\"}",
         "dunehook_state{name=\"config_version\"} 1",
         "dunehook_state{name=\"runners_taking_work\"} 5" }) {
    CHECK_TRUE_TEXT(text.find(wanted) != std::string::npos, wanted);
  }
}

TEST(gateway, TheCommandLineShowsWhatTheStoreHolds)
{
  mBed.StartUsual();
  mBed.List("desk-2", "draining");
  const json status = json::parse(mBed.RunCli({ "status" })).at(0);
  CHECK_EQUAL(1, status.value("config_version", 0));
  CHECK_EQUAL(5, status.value("runners", 0));
  CHECK_EQUAL(1, status.value("leaving", 0));
  const json runners = json::parse(mBed.RunCli({ "get", "runners" }));
  CHECK_EQUAL(5U, runners.size());
  const json routes = json::parse(mBed.RunCli({ "get", "routes" }));
  CHECK_EQUAL("/records/", routes.at(0).value("path", ""));
  CHECK_EQUAL("once", routes.at(0).value("repeat", ""));
  mBed.PutConfig(7);
  CHECK_EQUAL(7, json::parse(mBed.RunCli({ "watch", "--seconds=1" })).value("config_version", 0));
}

TEST(gateway, TheCommandLineTellsAllFaultsOfSettings)
{
  const std::string told = mBed.RunCli({ "check", mBed.WriteFile("port = 1\n[listen\n") });
  CHECK(told.find(":2:") != std::string::npos);
  const std::string missing = mBed.RunCli({ "check", mBed.WriteFile("zone = 7\n") });
  for (const char* const key : { "node-name", "zone", "listen.front", "platform.address" }) {
    CHECK_TRUE_TEXT(missing.find(key) != std::string::npos, missing.c_str());
  }
}

TEST(gateway, OneDaemonGivesTheOrders)
{
  // Three prefill engines of five are too many: some are ordered to decode, each by one daemon.
  for (const char* const id : { "prefill-1", "prefill-2", "prefill-3" }) {
    mBed.AddRunner(id, { "tutor", "prefill" });
  }
  mBed.AddRunner("decode-1", { "tutor", "decode" });
  mBed.AddRunner("decode-2", { "tutor", "decode" });
  mBed.PutConfig(1);
  for (int i = 0; i < 3; ++i) {
    mBed.StartDaemon();
  }
  const auto orders = [&] {
    std::map<std::string, int> byRunner;
    std::map<std::string, int> byHolder;
    for (const json& one : mBed.Seen()) {
      if (one.value("target", "") == "/order") {
        const json body = json::parse(one.value("body", ""));
        ++byRunner[one.value("runner", "")];
        ++byHolder[body.value("holder", "")];
      }
    }
    return std::pair(byRunner, byHolder);
  };
  CHECK(Eventually([&] { return orders().first.size() == 2; }));
  CHECK_FALSE(Eventually([&] { return orders().first.size() != 2; }, 2000));
  CHECK_EQUAL(1U, orders().second.size());
  CHECK_EQUAL(1U, mBed.Terms());
  for (const auto& [runner, count] : orders().first) {
    CHECK_EQUAL(1, count);
  }
}
