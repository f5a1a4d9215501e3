/**
 * @file answers_test.cpp
 * Each caller gets the complete answer to its own request exactly once, also when engines answer
 * late, answer for another attempt, or cut a stream.
 */
#include "standins/common/token_text.h"
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

void
CheckCompleteAnswer(const stream& aStream, const std::string& aPrompt, unsigned aTokens)
{
  CHECK_TRUE(aStream.Done());
  LONGS_EQUAL(aTokens, aStream.Indexes().size());
  for (std::size_t at = 0; at < aStream.Indexes().size(); ++at) {
    LONGS_EQUAL(at, aStream.Indexes()[at]);
  }
  STRCMP_EQUAL(AnswerText(aPrompt, aTokens).c_str(), aStream.Text().c_str());
}

} // namespace

TEST_GROUP(answers){};

TEST(answers, ADecodeEngineThatDiesMidStreamIsReplacedAndTheStreamGoesOn)
{
  testbed bed;
  bed.StartTutoring(2, 2, 2);
  const std::string prompt = "tell me about the ferry";
  stream turn(bed.Daemon("entry-1").mCallers, CompletionBody(prompt, 120));
  CHECK_TRUE(turn.ReadTokens(20) >= 20);
  const std::string busy = bed.HoldsAt("decode-1") > 0 ? "decode-1" : "decode-2";
  bed.At(busy).mProcess->Signal(SIGKILL);
  turn.ReadAll();
  CheckCompleteAnswer(turn, prompt, 120);
}

TEST(answers, AStreamThatIsCutIsResumedAtTheNextIndex)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  Control(bed.At("decode-1"), { { "cut_after_tokens", 7 } });
  const std::string prompt = "tell me about the ferry";
  stream turn(bed.Daemon("entry-1").mCallers, CompletionBody(prompt, 30));
  turn.ReadAll();
  CheckCompleteAnswer(turn, prompt, 30);
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, 2000));
}

TEST(answers, AnAnswerOfAnotherAttemptIsDroppedAndTheRightOneIsGiven)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  for (const char* const engine : { "decode-1", "prefill-1" }) {
    Control(bed.At(engine), { { "cross_answers", 1 } });
    const std::string prompt = std::string("crossed at ") + engine;
    stream turn(bed.Daemon("entry-1").mCallers, CompletionBody(prompt, 10));
    turn.ReadAll();
    CheckCompleteAnswer(turn, prompt, 10);
  }
}

TEST(answers, LateAnswersOnReusedConnectionsGoToTheirOwnCallers)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  Control(bed.At("prefill-1"), { { "delay_ms", 150 } });
  std::vector<std::unique_ptr<stream>> turns;
  for (int number = 0; number < 6; ++number) {
    const std::string prompt = "late " + std::to_string(number);
    turns.push_back(
      std::make_unique<stream>(bed.Daemon("entry-1").mCallers, CompletionBody(prompt, 8)));
    if (number % 2 == 1) {
      turns.back()->Close(); // Its answer arrives after the caller has left.
    }
  }
  for (int number = 0; number < 6; number += 2) {
    turns[static_cast<std::size_t>(number)]->ReadAll();
    CheckCompleteAnswer(
      *turns[static_cast<std::size_t>(number)], "late " + std::to_string(number), 8);
  }
}

TEST(answers, ARetryThroughAnotherDaemonEndsTheFirstAttempt)
{
  testbed bed;
  bed.StartTutoring(3, 2, 2);
  const headers key{ { "Idempotency-Key", FreshKey("turn-1") } };
  const std::string prompt = "the lesson froze, again please";
  stream first(bed.Daemon("entry-1").mCallers, CompletionBody(prompt, 300), key);
  CHECK_TRUE(first.ReadTokens(5) >= 5);
  stream second(bed.Daemon("entry-2").mCallers, CompletionBody(prompt, 60), key);
  second.ReadAll();
  CheckCompleteAnswer(second, prompt, 60);
  first.ReadAll(3000);
  CHECK_FALSE(first.Done());
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, 2000));
}

TEST(answers, TwoHundredCallersAtOnceEachGetTheirOwnText)
{
  testbed bed;
  bed.StartTutoring(3, 3, 10);
  std::string targets;
  for (int number = 1; number <= 3; ++number) {
    targets += (number > 1 ? "," : "") + bed.Daemon("entry-" + std::to_string(number)).mCallers;
  }
  process load({ BuildFolder() + "/standins/standin_caller",
                 "--daemons=" + targets,
                 "--calls=200",
                 "--rate=400",
                 "--tokens=30",
                 "--prompt_bytes=120" },
               bed.Path("load.out"));
  const int code = load.WaitForExit(30000);
  if (code != 0) {
    UT_PRINT(load.Output().c_str()); // Names the calls that are open.
  }
  LONGS_EQUAL(0, code);
  const json summary = json::parse(load.WaitForLine("\"done\""));
  LONGS_EQUAL(0, summary["wrong"].get<int>());
  LONGS_EQUAL(0, summary["failed"].get<int>());
  LONGS_EQUAL(200, summary["done"].get<int>() + summary["refused"].get<int>());
  CHECK_TRUE(summary["done"].get<int>() >= 150);
}

TEST(answers, EveryCallOfADaemonThatTheOthersTookForGoneEnds)
{
  constexpr int kSuspendedMs = 1800;   // The others drop its calls after 0.9 s.
  constexpr int kEndsWithinMs = 10000; // Counted from when it goes on.
  testbed bed;
  bed.StartTutoring(3, 3, 10);
  std::string front;
  for (const char* const name : { "entry-1", "entry-2", "entry-3" }) {
    const bool isOwner = !bed.Daemon(name).mProcess->WaitForLine("cell_taken", 200).empty();
    front = isOwner ? front : name;
  }
  const entry_daemon& daemon = bed.Daemon(front);
  process load({ BuildFolder() + "/standins/standin_caller",
                 "--daemons=" + daemon.mCallers,
                 "--calls=300",
                 "--rate=400",
                 "--tokens=30",
                 "--prompt_bytes=120" },
               bed.Path("load.out"));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  daemon.mProcess->Signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(kSuspendedMs));
  daemon.mProcess->Signal(SIGCONT);
  LONGS_EQUAL(0, load.WaitForExit(kEndsWithinMs)); // No text is wrong, either.
}
