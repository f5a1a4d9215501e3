/**
 * @file stop_answer_test.cpp
 * A planned stop of one daemon in calm: what it has taken gets an answer, and what it doesn't take
 * is refused or closed without having run.
 */
#include "tests/platform/bed_config.h"
#include "tests/platform/seen_answer.h"
#include "tests/platform/steady_callers.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <future>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** `grace-s` of the settings in fleet_bed: the process is killed this long after SIGTERM; ms. */
constexpr std::int64_t kGraceMs = 8000;
/** Times of requests that outlast a stop, before and after SIGTERM; ms. */
constexpr int kBeforeMs = 300;
constexpr int kLateMs = 2300;
/** Time that such a request takes at its runner, and its time limit; ms. */
constexpr int kLongMs = 9000;
constexpr int kTimeLimitMs = 12000;
/** Callers in calm, and how long they call before the signal; ms. */
constexpr int kCallers = 40;
constexpr int kCalmMs = 1000;
/** Times that requests take at their runners; ms. */
constexpr std::array<int, 3> kStepMs{ 50, 400, 900 };

} // namespace

TEST_GROUP(stop_answers)
{
  fleet_bed mBed;             ///< The deployment.
  std::int64_t mSignalAt = 0; ///< When SIGTERM was sent, in ms.

  void Start()
  {
    mBed.AddRunner("prefill-1", { "tutor", "prefill" });
    mBed.AddRunner("decode-1", { "tutor", "decode" });
    mBed.AddRunner("decode-2", { "tutor", "decode" });
    for (std::size_t i = 0; i < kStepMs.size(); ++i) {
      mBed.AddRunner("desk-" + std::to_string(i + 1),
                     { "desk", "", "ready", { { "step_ms", kStepMs.at(i) } } });
    }
    mBed.PutConfig(1);
    EditConfig(mBed, [](json& aConfig) {
      for (json& route : aConfig["routes"]) {
        route["timeout-ms"] = kTimeLimitMs;
      }
    });
    mBed.StartDaemon();
  }

  void Stop()
  {
    mBed.Daemon().Signal(SIGTERM);
    mSignalAt = NowMs();
  }

  /** Sends a call that its runner doesn't answer before the stop is over. */
  std::future<seen_answer> AskLong(
    const std::string& aMethod, const std::string& aTarget, const std::string& aId)
  {
    headers all = CallerHeaders(aId);
    for (auto& [name, value] : all) {
      value = name == "X-Deadline-Ms" ? std::to_string(kTimeLimitMs) : value;
    }
    return std::async(std::launch::async, [this, aMethod, aTarget, aId, all] {
      return AskOnce(mBed.Callers(), { aMethod, aTarget + aId, all, "" });
    });
  }

  void CheckEnd()
  {
    CHECK_EQUAL(0, mBed.Daemon().WaitForExit());
    CHECK_TRUE(NowMs() - mSignalAt < kGraceMs);
  }

  /** @return whether a runner ran a request; a prefill isn't a run. */
  bool Ran(const std::string& aId) const
  {
    for (const json& one : mBed.Seen(aId)) {
      if (one.value("run", false) && !one["headers"].contains("X-Stage")) {
        return true;
      }
    }
    return false;
  }
};

/** Guards against a request that the end of the stop cuts with no answer. */
TEST(stop_answers, ARequestThatOutlastsThePlannedStopIsAnswered)
{
  Start();
  for (std::size_t i = 1; i <= kStepMs.size(); ++i) {
    mBed.SetRunner("desk-" + std::to_string(i), { { "step_ms", kLongMs } });
  }
  std::vector<std::future<seen_answer>> calls;
  calls.push_back(AskLong("POST", "/records/", "before"));
  calls.push_back(AskLong("GET", "/pages/", "page-before"));
  std::this_thread::sleep_for(std::chrono::milliseconds(kBeforeMs));
  Stop();
  std::this_thread::sleep_for(std::chrono::milliseconds(kLateMs));
  calls.push_back(AskLong("POST", "/records/", "late"));
  calls.push_back(AskLong("GET", "/pages/", "page-late"));
  for (std::future<seen_answer>& call : calls) {
    const seen_answer got = call.get();
    CHECK_TRUE_TEXT(got.mStatus == 502 || got.mStatus == 504, got.mHead.c_str());
    CHECK_TRUE(got.LooksComplete());
  }
  CheckEnd();
  for (const char* const id : { "before", "late" }) {
    CHECK_EQUAL(1U, mBed.Seen(id).size());
  }
}

TEST(stop_answers, NoRequestThatRanIsCutInAPlannedStopInCalm)
{
  Start();
  std::vector<caller_plan> plans;
  for (int i = 0; i < kCallers; ++i) {
    const bool writes = i % 2 == 0;
    plans.push_back({ "c" + std::to_string(i),
                      mBed.Callers(),
                      writes ? "POST" : "GET",
                      (writes ? "/records/" : "/pages/") + std::to_string(i),
                      CallerHeaders(""),
                      "answer to",
                      20 });
  }
  steady_callers callers(std::move(plans));
  std::this_thread::sleep_for(std::chrono::milliseconds(kCalmMs));
  Stop();
  CheckEnd();
  callers.Stop();
  std::string cut;
  int served = 0;
  for (const caller_record& one : callers.Records()) {
    served += one.mWhole && one.mStatus == 200 && one.mSentAt >= mSignalAt ? 1 : 0;
    const bool answered = one.mWhole && one.mStatus == 200;
    cut += !answered && Ran(one.mId) ? one.mId + ": " + std::to_string(one.mStatus) + "; " : "";
  }
  CHECK_EQUAL("", cut);
  CHECK_TRUE(served > kCallers); // Requests are taken for some time after the signal.
}
