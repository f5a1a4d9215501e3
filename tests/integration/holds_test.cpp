/**
 * @file holds_test.cpp
 * Guarantee: no engine memory stays held for a caller that is gone. The fake engines free nothing
 * by themselves when a connection closes; holds are counted at the engines.
 */
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace dunehook;
using namespace dunehook::test;

namespace {

constexpr int kFreeTimeoutMs = 2000;
const std::string kLongPrompt(4000, 'x'); // 1000 tokens.

/** Stage of the request when its caller closes or its daemon is killed. */
enum class stage
{
  eQueue,
  ePrefill,
  eTransfer,
  eDecode,
};

/** Starts a deployment in which requests stay at one stage for seconds. */
void
StartSlowAt(testbed& aBed, stage aStage, int aDaemons)
{
  const bool slowPrefill = aStage == stage::ePrefill;
  const bool slowLink = aStage == stage::eTransfer;
  aBed.StartRunner("prefill-1",
                   "tutor-prefill",
                   "standin_engine",
                   { slowPrefill ? "--tokens_per_second=100" : "--tokens_per_second=50000",
                     slowLink ? "--link_bytes_per_second=1e7" : "--link_bytes_per_second=0",
                     "--kv_lifetime_ms=60000" });
  aBed.StartRunner("decode-1",
                   "tutor-decode",
                   "standin_engine",
                   { "--step_ms=50", aStage == stage::eQueue ? "--slots=1" : "--slots=20" });
  for (int number = 1; number <= aDaemons; ++number) {
    aBed.StartDaemon("entry-" + std::to_string(number));
  }
  const entry_daemon& first = aBed.Daemon("entry-1");
  aBed.ApplyTutoring(first);
  if (aStage == stage::eQueue) {
    const json pool = aBed.Operate(first, "GET", "/api/v1/pool/tutor-decode").Json();
    aBed.Put(
      first, "pool", "tutor-decode", { { "role", "decode" }, { "slots", 1 } }, pool["version"]);
    const json before = aBed.Operate(first, "GET", "/api/v1/priority_class/practice").Json();
    const json longWaits{ { "first_token_ms", 60000 }, { "max_wait_ms", 60000 } };
    aBed.Put(first, "priority_class", "practice", longWaits, before["version"]);
  }
  for (int number = 1; number <= aDaemons; ++number) {
    const entry_daemon& entry = aBed.Daemon("entry-" + std::to_string(number));
    Eventually([&] {
      const json route = aBed.Operate(entry, "GET", "/api/v1/route/lesson-records").Json();
      const json status = aBed.Operate(entry, "GET", "/api/v1/status").Json();
      return route.contains("spec") &&
             status["daemons"].size() == static_cast<std::size_t>(aDaemons);
    });
  }
}

/** Opens a call and waits until it's at the stage. */
std::unique_ptr<stream>
OpenAt(testbed& aBed, stage aStage, const entry_daemon& aEntry)
{
  auto call = std::make_unique<stream>(aEntry.mCallers, CompletionBody(kLongPrompt, 200));
  switch (aStage) {
    case stage::eQueue:
      // No such line is logged: this waits 300 ms for the call to be queued.
      aEntry.mProcess->WaitForLine("\"event\":\"nothing\"", 300);
      break;
    case stage::ePrefill:
      CHECK_TRUE(Eventually([&] { return aBed.HoldsAt("prefill-1") > 0; }));
      break;
    case stage::eTransfer:
      CHECK_TRUE(Eventually([&] { return aBed.HoldsAt("decode-1") > 0; }));
      break;
    case stage::eDecode:
      CHECK_TRUE(call->ReadTokens(3) >= 3);
      break;
  }
  return call;
}

void
CallerClosesAt(stage aStage)
{
  testbed bed;
  StartSlowAt(bed, aStage, 2);
  std::unique_ptr<stream> holder;
  if (aStage == stage::eQueue) {
    holder = OpenAt(bed, stage::eDecode, bed.Daemon("entry-1"));
  }
  const std::size_t before = bed.Holds();
  const auto call = OpenAt(bed, aStage, bed.Daemon("entry-2"));
  call->Close();
  CHECK_TRUE(Eventually([&] { return bed.Holds() <= before; }, kFreeTimeoutMs));
  if (holder) {
    holder->Close();
    CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, kFreeTimeoutMs));
    // The closed call must have left the queue: it must not run once the slot is free.
    CHECK_FALSE(Eventually([&] { return bed.Holds() > 0; }, 500));
  }
}

void
DaemonDiesAt(stage aStage)
{
  testbed bed;
  StartSlowAt(bed, aStage, 3);
  const auto call = OpenAt(bed, aStage, bed.Daemon("entry-2"));
  CHECK_TRUE(bed.Holds() > 0);
  bed.Daemon("entry-2").mProcess->Signal(SIGKILL);
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, kFreeTimeoutMs));
}

} // namespace

TEST_GROUP(holds){};

TEST(holds, CallerClosesInTheQueue)
{
  CallerClosesAt(stage::eQueue);
}

TEST(holds, CallerClosesDuringPrefill)
{
  CallerClosesAt(stage::ePrefill);
}

TEST(holds, CallerClosesDuringTransfer)
{
  CallerClosesAt(stage::eTransfer);
}

TEST(holds, CallerClosesDuringDecode)
{
  CallerClosesAt(stage::eDecode);
}

TEST(holds, DaemonDiesDuringPrefill)
{
  DaemonDiesAt(stage::ePrefill);
}

TEST(holds, DaemonDiesDuringTransfer)
{
  DaemonDiesAt(stage::eTransfer);
}

TEST(holds, DaemonDiesDuringDecode)
{
  DaemonDiesAt(stage::eDecode);
}

TEST(holds, DaemonAndTheOwnerOfTheEnginesDieTogether)
{
  testbed bed;
  StartSlowAt(bed, stage::eDecode, 4);
  std::string owner;
  for (int number = 1; number <= 4; ++number) {
    const entry_daemon& entry = bed.Daemon("entry-" + std::to_string(number));
    if (!entry.mProcess->WaitForLine("\"event\":\"cell_taken\"", 100).empty() &&
        entry.mProcess->WaitForLine("\"event\":\"cell_dropped\"", 100).empty()) {
      owner = entry.mName;
    }
  }
  const std::string frontend = owner == "entry-1" ? "entry-2" : "entry-1";
  const auto call = OpenAt(bed, stage::eDecode, bed.Daemon(frontend));
  const auto another = OpenAt(bed, stage::eDecode, bed.Daemon(owner.empty() ? "entry-3" : owner));
  bed.Daemon(frontend).mProcess->Signal(SIGKILL);
  bed.Daemon(owner.empty() ? "entry-3" : owner).mProcess->Signal(SIGKILL);
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, kFreeTimeoutMs));
}

TEST(holds, AFrozenDaemonsHoldsAreFreedAndItWakesWithoutHarm)
{
  testbed bed;
  StartSlowAt(bed, stage::eDecode, 3);
  const auto call = OpenAt(bed, stage::eDecode, bed.Daemon("entry-2"));
  bed.Daemon("entry-2").mProcess->Signal(SIGSTOP);
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, kFreeTimeoutMs + 500));
  bed.Daemon("entry-2").mProcess->Signal(SIGCONT);
  call->ReadAll();
  for (std::size_t at = 0; at < call->Indexes().size(); ++at) {
    LONGS_EQUAL(at, call->Indexes()[at]);
  }
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, kFreeTimeoutMs));
}
