/**
 * @file random_test.cpp
 * A bounded number of random faults from a printed seed. No answer may be corrupted, no record may
 * run twice, and each reported outcome must be true.
 */
#include "standins/common/token_text.h"
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <iostream>
#include <map>
#include <random>

using namespace dunehook;
using namespace dunehook::test;

namespace {

constexpr int kSteps = 10;
constexpr int kCallsPerStep = 6;

/** Injects a fault per step, makes calls, and compares answers with what the runners did. */
class random_run
{
public:
  explicit random_run(unsigned aSeed)
    : mRandom(aSeed)
  {
    std::cout << "seed " << aSeed << std::endl;
    mBed.StartTutoring(3, 2, 3);
    mBed.StartRunner("records-2", "lesson-records", "standin_service");
  }

  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      InjectFault();
      std::vector<std::future<void>> calls;
      for (int call = 0; call < kCallsPerStep; ++call) {
        const int number = step * kCallsPerStep + call;
        const std::string entry = AnyDaemon();
        calls.push_back(std::async(std::launch::async, [this, number, entry] {
          number % 2 == 0 ? Turn(number, entry) : Record(number, entry);
        }));
      }
      for (auto& call : calls) {
        call.get();
      }
      CheckRuns();
      ClearFaults();
    }
    CHECK_TRUE(mServed > 0);
    CHECK_TRUE(Eventually([&] { return mBed.Holds() == 0; }, 4000));
  }

private:
  int RandomBelow(int aMost) { return std::uniform_int_distribution<int>(0, aMost - 1)(mRandom); }
  std::string AnyDaemon() { return "entry-" + std::to_string(1 + RandomBelow(3)); }
  std::string AnyEngine()
  {
    return RandomBelow(2) == 0 ? "decode-" + std::to_string(1 + RandomBelow(3))
                               : "prefill-" + std::to_string(1 + RandomBelow(2));
  }

  void InjectFault()
  {
    switch (RandomBelow(8)) {
      case 0:
        Control(mBed.Platform(), { { "log_down", 1 } });
        break;
      case 1:
        Control(mBed.Platform(), { { "lose_answers", 2 } });
        break;
      case 2:
        Control(mBed.Platform(), { { "log_slow_ms", 300 } });
        break;
      case 3:
        Control(mBed.At(AnyEngine()), { { "cross_answers", 1 } });
        break;
      case 4:
        Control(mBed.At("decode-" + std::to_string(1 + RandomBelow(3))),
                { { "cut_after_tokens", 3 } });
        break;
      case 5:
        Control(mBed.At("records-" + std::to_string(1 + RandomBelow(2))), { { "cut_after", 1 } });
        break;
      case 6:
        Control(mBed.At("records-" + std::to_string(1 + RandomBelow(2))), { { "cut_before", 1 } });
        break;
      default:
        Restart(AnyDaemon());
        break;
    }
  }

  void Restart(const std::string& aName)
  {
    mBed.Daemon(aName).mProcess->Signal(SIGKILL);
    mBed.Daemon(aName).mProcess->WaitForExit();
    mBed.StartDaemon(aName);
  }

  void ClearFaults()
  {
    Control(mBed.Platform(), { { "log_down", 0 }, { "log_slow_ms", 0 }, { "lose_answers", 0 } });
  }

  void Turn(int aNumber, const std::string& aEntry)
  {
    const std::string prompt = "random turn " + std::to_string(aNumber);
    stream turn(mBed.Daemon(aEntry).mCallers, CompletionBody(prompt, 10));
    turn.ReadAll(15000);
    for (std::size_t at = 0; at < turn.Indexes().size(); ++at) {
      mCorruptedTexts += turn.Indexes()[at] == at ? 0 : 1;
    }
    const std::string whole = AnswerText(prompt, 10);
    mCorruptedTexts += whole.starts_with(turn.Text()) ? 0 : 1;
    mCorruptedTexts += turn.Done() && turn.Text() != whole ? 1 : 0;
    mServed += turn.Done() ? 1 : 0;
  }

  void Record(int aNumber, const std::string& aEntry)
  {
    const std::string record = "random-" + std::to_string(aNumber);
    const std::string body = json{ { "record", record } }.dump();
    const headers key{ { "Idempotency-Key", FreshKey(record) } };
    const answer first = Call(mBed.Daemon(aEntry).mCallers, "POST", "/records", body, key);
    const std::string other = aEntry == "entry-1" ? "entry-2" : "entry-1";
    const answer second = Call(mBed.Daemon(other).mCallers, "POST", "/records", body, key);
    const std::lock_guard<std::mutex> lock(mMutex);
    mOutcomes[record] = { first.Outcome(), second.Outcome() };
    mServed += first.Outcome() == "done" ? 1 : 0;
  }

  void CheckRuns()
  {
    LONGS_EQUAL(0, mCorruptedTexts);
    for (const auto& [record, outcomes] : mOutcomes) {
      const std::uint64_t runs = mBed.Runs(record);
      CHECK_TRUE(runs <= 1);
      const bool done = outcomes.first == "done" || outcomes.second == "done";
      CHECK_TRUE(!done || runs == 1);
      CHECK_TRUE(outcomes.first != "not-run" || outcomes.second != "not-run" || runs == 0);
    }
    mOutcomes.clear();
  }

  testbed mBed;                                                         ///< The deployment.
  std::mt19937 mRandom;                                                 ///< Draws faults.
  std::mutex mMutex;                                                    ///< Guards mOutcomes.
  std::map<std::string, std::pair<std::string, std::string>> mOutcomes; ///< Outcomes by record.
  std::atomic<int> mCorruptedTexts{ 0 }; ///< Duplicated, mixed-up or incomplete texts.
  std::atomic<int> mServed{ 0 };         ///< Complete answers.
};

} // namespace

TEST_GROUP(random){};

TEST(random, RandomFaultsOfSeedOneCorruptNoAnswerAndRunNoRecordTwice)
{
  random_run(1).Run();
}

TEST(random, RandomFaultsOfSeedTwoCorruptNoAnswerAndRunNoRecordTwice)
{
  random_run(2).Run();
}

TEST(random, RandomFaultsOfSeedThreeCorruptNoAnswerAndRunNoRecordTwice)
{
  random_run(3).Run();
}
