/**
 * @file held_answer_test.cpp
 * Tests with real processes that the memory for answers which aren't whole yet is bounded as a sum:
 * many at once, each of which is within its own bound.
 */
#include "tests/platform/bed_config.h"
#include "tests/platform/seen_answer.h"

#include <CppUTest/TestHarness.h>

#include <future>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Engines, and callers of the broken ones at once. */
constexpr int kBrokenEngines = 8;
constexpr int kSoundEngines = 2;
constexpr int kStreams = 200;
/** Plain runners, and callers of them at once. */
constexpr int kDesks = 3;
constexpr int kPlainCalls = 1500;
/** Memory of the smallest host; a process that takes more is killed. MB. */
constexpr std::int64_t kMemoryMb = 110;
/** Callers of the sound engines, one after the other. */
constexpr int kSoundCalls = 40;
/** An event of this size is sound, and so large that it comes in several reads. */
constexpr std::size_t kLongEventBytes = 40000;
/** An event is within its own bound, 1 MB. */
constexpr std::size_t kLargestEventBytes = 1000000;

} // namespace

TEST_GROUP(held_answers)
{
  fleet_bed mBed; ///< The deployment: a service with broken engines and one with sound ones.

  void Start(const std::string& aMode)
  {
    for (int i = 1; i <= kBrokenEngines; ++i) {
      mBed.AddRunner("decode-" + std::to_string(i), { "tutor", "decode" });
    }
    mBed.AddRunner("prefill-1", { "tutor", "prefill" });
    for (int i = 1; i <= kSoundEngines; ++i) {
      mBed.AddRunner("sound-" + std::to_string(i), { "coach", "decode" });
    }
    mBed.AddRunner("sound-prefill", { "coach", "prefill" });
    for (int i = 1; i <= kDesks; ++i) {
      mBed.AddRunner("desk-" + std::to_string(i));
    }
    mBed.PutConfig(1);
    EditConfig(mBed, [](json& aConfig) {
      json coach = aConfig["services"][1];
      coach["name"] = "coach";
      aConfig["services"].push_back(coach);
      json route = aConfig["routes"][2];
      route["name"] = "route/coach/";
      route["path-prefix"] = "/coach/";
      route["service"] = "coach";
      aConfig["routes"].push_back(route);
    });
    mBed.StartDaemon();
    const std::string event = "id: 0\ndata: " + std::string(kLongEventBytes, 'y') + "\n\n";
    for (int i = 1; i <= kSoundEngines; ++i) {
      mBed.SetRunner("sound-" + std::to_string(i), { { "events", { event, event } } });
    }
    for (int i = 1; i <= kBrokenEngines; ++i) {
      mBed.SetRunner("decode-" + std::to_string(i), { { "mode", aMode } });
    }
    CHECK(Eventually([&] { return AskSound(1000000).mStatus == 200; }));
  }

  using seen_answers = std::vector<seen_answer>;

  /** Sends calls at once, and runs a function meanwhile. @return their answers. */
  template<typename Meanwhile>
  seen_answers AskAtOnce(int aCalls, bool aGenerates, Meanwhile aMeanwhile)
  {
    std::vector<std::future<seen_answer>> calls;
    calls.reserve(aCalls);
    for (int i = 0; i < aCalls; ++i) {
      calls.push_back(std::async(std::launch::async, [this, i, aGenerates] {
        const std::string id = "h" + std::to_string(i);
        const headers all = aGenerates ? GenerationHeaders(id, 1000 + i, 3) : CallerHeaders(id);
        return AskOnce(mBed.Callers(),
                       { "POST", (aGenerates ? "/turns/" : "/records/") + id, all, "" });
      }));
    }
    aMeanwhile();
    seen_answers answers;
    answers.reserve(calls.size());
    for (auto& call : calls) {
      answers.push_back(call.get());
    }
    return answers;
  }

  void CheckMemory()
  {
    const std::int64_t peakMb = mBed.Daemon().PeakKb() >> 10;
    CHECK_TEXT(peakMb <= kMemoryMb, std::to_string(peakMb).c_str());
  }

  /** Checks that streams without whole events get 502, while sound ones beside them are served. */
  void CheckStreams(const std::string& aMode)
  {
    Start(aMode);
    int served = 0;
    const seen_answers answers = AskAtOnce(kStreams, true, [&] {
      for (int i = 0; i < kSoundCalls; ++i) {
        const seen_answer got = AskSound(i);
        served += got.mStatus == 200 && got.LooksComplete() ? 1 : 0;
      }
    });
    for (const seen_answer& got : answers) {
      CHECK_EQUAL_TEXT(502U, got.mStatus, got.mBody.c_str());
    }
    CHECK_EQUAL(kSoundCalls, served);
    CheckMemory();
  }

  /** Checks that no caller takes an answer for whole that has no end. */
  void CheckPlain(const std::string& aMode)
  {
    Start("");
    for (int i = 1; i <= kDesks; ++i) {
      mBed.SetRunner("desk-" + std::to_string(i), { { "mode", aMode } });
    }
    for (const seen_answer& got : AskAtOnce(kPlainCalls, false, [] {})) {
      CHECK_FALSE(got.mStatus == 200 && got.LooksComplete());
    }
    CheckMemory();
  }

  seen_answer AskSound(int aNumber)
  {
    const std::string id = "s" + std::to_string(aNumber);
    return AskOnce(mBed.Callers(),
                   { "POST", "/coach/" + id, GenerationHeaders(id, 1000 + aNumber % 500, 3), "" });
  }
};

/** Guards against a bound of each event only. */
TEST(held_answers, LinesWithoutAnEndOfManyStreamsFitIntoMemory)
{
  CheckStreams("endless_event");
}

TEST(held_answers, SlowLinesWithoutAnEndOfManyStreamsFitIntoMemory)
{
  CheckStreams("slow_event");
}

TEST(held_answers, EventsWithoutAnEndOfManyStreamsFitIntoMemory)
{
  CheckStreams("slow_lines");
}

TEST(held_answers, UnframedBytesWithoutAnEndOfManyStreamsFitIntoMemory)
{
  CheckStreams("endless_body");
}

/** Guards against held beginnings of plain answers that add up. */
TEST(held_answers, AnswersThatBeginAndStopFitIntoMemory)
{
  CheckPlain("begun_body");
}

TEST(held_answers, PlainAnswersWithoutAnEndFitIntoMemory)
{
  CheckPlain("endless_body");
}

TEST(held_answers, HeadsThatBeginAndStopFitIntoMemory)
{
  CheckPlain("begun_head");
}

TEST(held_answers, AnEventOfNearlyTheLargestSizeIsServed)
{
  Start("");
  const std::string event = "id: 0\ndata: " + std::string(kLargestEventBytes, 'y') + "\n\n";
  for (int i = 1; i <= kSoundEngines; ++i) {
    mBed.SetRunner("sound-" + std::to_string(i), { { "events", { event } } });
  }
  const seen_answer got = AskSound(1);
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_TRUE(got.LooksComplete());
  CHECK_TRUE(got.mBody == event);
}
