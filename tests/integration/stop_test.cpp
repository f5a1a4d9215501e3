/**
 * @file stop_test.cpp
 * A leaving runner gets no new work after a few seconds, and a planned stop of a daemon or an
 * engine interrupts no call.
 */
#include "standins/common/token_text.h"
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Callers behind a load balancer that sends calls only to daemons whose /readyz succeeds. */
class balanced_load
{
public:
  balanced_load(std::function<std::vector<std::string>()> aReady, int aCallers)
    : mReady(std::move(aReady))
  {
    mTargets = mReady();
    mThreads.emplace_back([this] {
      while (!mStop) {
        auto ready = mReady();
        const std::lock_guard<std::mutex> lock(mMutex);
        mTargets = std::move(ready);
      }
    });
    for (int caller = 0; caller < aCallers; ++caller) {
      mThreads.emplace_back([this, caller] { CallRepeatedly(caller); });
    }
  }
  ~balanced_load() { Stop(); }
  void Stop()
  {
    mStop = true;
    for (std::thread& one : mThreads) {
      if (one.joinable()) {
        one.join();
      }
    }
  }

  std::atomic<int> mDone{ 0 };    ///< Complete answers with the right text.
  std::atomic<int> mCut{ 0 };     ///< Anything else.
  std::atomic<int> mRefused{ 0 }; ///< Calls refused before they ran.

private:
  std::string Target(int aCount)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mTargets.empty() ? "" : mTargets[static_cast<std::size_t>(aCount) % mTargets.size()];
  }

  void CallRepeatedly(int aCaller)
  {
    for (int count = 0; !mStop; ++count) {
      const std::string target = Target(aCaller + count);
      if (target.empty()) {
        continue;
      }
      const std::string prompt = "rolling " + std::to_string(aCaller) + " " + std::to_string(count);
      const answer got = Call(target, "POST", "/v1/completions", CompletionBody(prompt, 20, false));
      if (got.mStatus == 429 || (got.mStatus == 503 && got.Outcome() == "not-run")) {
        ++mRefused;
      } else if (got.mStatus == 200 &&
                 got.Json()["choices"][0]["text"].get<std::string>() == AnswerText(prompt, 20)) {
        ++mDone;
      } else {
        ++mCut;
      }
    }
  }

  std::function<std::vector<std::string>()> mReady; ///< Queries /readyz of all daemons.
  std::mutex mMutex;                                ///< Guards mTargets.
  std::vector<std::string> mTargets;                ///< Daemons that take calls.
  std::atomic<bool> mStop{ false };                 ///< Ends the threads.
  std::vector<std::thread> mThreads;                ///< The balancer and the callers.
};

/** Addresses shared between the test and the balancer. */
class address_book
{
public:
  void Set(const std::string& aName, const std::string& aCallers)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mAddresses[aName] = aCallers;
  }
  std::vector<std::string> Ready()
  {
    std::map<std::string, std::string> addresses;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      addresses = mAddresses;
    }
    std::vector<std::string> ready;
    for (const auto& [name, callers] : addresses) {
      if (Call(callers, "GET", "/readyz", "", {}, 200).mStatus == 200) {
        ready.push_back(callers);
      }
    }
    return ready;
  }

private:
  std::mutex mMutex;                             ///< Guards mAddresses.
  std::map<std::string, std::string> mAddresses; ///< Callers' addresses by daemon.
};

} // namespace

TEST_GROUP(stop){};

TEST(stop, ARollingRestartOfAllDaemonsUnderLoadCutsNothing)
{
  testbed bed;
  bed.StartTutoring(3, 2, 4);
  address_book book;
  for (int number = 1; number <= 3; ++number) {
    const std::string name = "entry-" + std::to_string(number);
    book.Set(name, bed.Daemon(name).mCallers);
  }
  balanced_load load([&] { return book.Ready(); }, 8);
  for (int number = 1; number <= 3; ++number) {
    const std::string name = "entry-" + std::to_string(number);
    bed.Daemon(name).mProcess->Signal(SIGTERM);
    LONGS_EQUAL(0, bed.Daemon(name).mProcess->WaitForExit(20000));
    CHECK_TRUE(bed.Daemon(name).mProcess->WaitForLine("\"calls_cut\":0", 0).size() > 0);
    book.Set(name, bed.StartDaemon(name).mCallers);
    const int before = load.mDone;
    CHECK_TRUE(Eventually([&] { return load.mDone > before + 20; }));
  }
  load.Stop();
  LONGS_EQUAL(0, load.mCut);
  CHECK_TRUE(load.mDone > 60);
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, 2000));
}

TEST(stop, ADrainingDaemonRunsItsStreamsToTheirEnd)
{
  testbed bed;
  bed.StartTutoring(2, 1, 2);
  const std::string prompt = "a long story, please";
  stream turn(bed.Daemon("entry-1").mCallers, CompletionBody(prompt, 500));
  CHECK_TRUE(turn.ReadTokens(10) >= 10);
  bed.Daemon("entry-1").mProcess->Signal(SIGTERM);
  CHECK_TRUE(Eventually(
    [&] { return Call(bed.Daemon("entry-1").mCallers, "GET", "/readyz").mStatus != 200; }, 1000));
  turn.ReadAll();
  CHECK_TRUE(turn.Done());
  STRCMP_EQUAL(AnswerText(prompt, 500).c_str(), turn.Text().c_str());
  LONGS_EQUAL(0, bed.Daemon("entry-1").mProcess->WaitForExit());
}

TEST(stop, ALeavingEngineFinishesItsStreamsAndGetsNoNewWorkWithinThreeSeconds)
{
  testbed bed;
  bed.StartTutoring(2, 2, 2);
  Control(bed.Platform(), { { "host_lag_ms", 1000 } });
  stream turn(bed.Daemon("entry-1").mCallers, CompletionBody("on the leaving engine", 1200));
  CHECK_TRUE(turn.ReadTokens(10) >= 10);
  const std::string leaving = bed.HoldsAt("decode-1") > 0 ? "decode-1" : "decode-2";
  bed.SetHost(leaving, bed.At(leaving).mAddress, "tutor-decode", "leaving");
  bed.SetHost("prefill-1", bed.At("prefill-1").mAddress, "tutor-prefill", "leaving");
  const std::int64_t notice = NowMs();
  const auto taken = [&](const std::string& aName) {
    return Call(bed.At(aName).mAddress, "GET", "/counters").Json()["taken"].get<int>();
  };
  int atLimit = 0;
  int prefillAtLimit = 0;
  for (int call = 0; NowMs() - notice < 5000; ++call) {
    Call(bed.Daemon("entry-2").mCallers,
         "POST",
         "/v1/completions",
         CompletionBody("after the notice " + std::to_string(call), 2, false));
    if (NowMs() - notice < 3000) {
      atLimit = taken(leaving);
      prefillAtLimit = taken("prefill-1");
    }
  }
  LONGS_EQUAL(atLimit, taken(leaving));
  LONGS_EQUAL(prefillAtLimit, taken("prefill-1"));
  turn.ReadAll();
  CHECK_TRUE(turn.Done());
  LONGS_EQUAL(1200, turn.Indexes().size());
}

TEST(stop, AServiceThatRefusesSinceItLeavesGetsNothingMoreAndTheCallRunsElsewhere)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  bed.StartRunner("records-2", "lesson-records", "standin_service");
  Control(bed.At("records-1"), { { "leaving", 1 } });
  for (int call = 0; call < 6; ++call) {
    const std::string record = "moved-" + std::to_string(call);
    CHECK_TRUE(Eventually([&] {
      return Call(bed.Daemon("entry-1").mCallers,
                  "POST",
                  "/records",
                  json{ { "record", record } }.dump())
               .Outcome() == "done";
    }));
    LONGS_EQUAL(1, bed.Runs(record));
  }
  LONGS_EQUAL(0, Call(bed.At("records-1").mAddress, "GET", "/counters").Json()["total"].get<int>());
}
