/**
 * @file reading_test.cpp
 * Tests of what is learned about prompt reads: the engines' read speed, and the pauses of runs on
 * an engine that reads.
 */
#include "placement/prompt_queue.h"
#include "placement/reading_pauses.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr instant kNow = 100s;
/** Tokens of each prompt. */
constexpr double kPrompt = 4000.0;
constexpr duration kAllowed = 300ms;

} // namespace

TEST_GROUP(reading)
{
  /** Reads prompts one after the other that were all requested at once. @return end of the last
   * read. */
  instant ReadInARow(int aCount, duration aEach, instant aFrom)
  {
    for (int read = 0; read < aCount; ++read) {
      mQueue.Add(run_id{ ++mRuns }, kPrompt, aFrom);
    }
    for (int read = 1; read <= aCount; ++read) {
      const run_id run{ mRuns - static_cast<std::uint64_t>(aCount - read) };
      mQueue.NoteRead(run, aEach * read, aFrom + aEach * read);
    }
    return aFrom + aEach * aCount;
  }
  void LearnPauses(int aCount, duration aEach, instant aNow)
  {
    for (int run = 0; run < aCount; ++run) {
      mPauses.Learn(aEach, aNow);
    }
  }

  prompt_queue mQueue;     ///< Read queue of one engine.
  reading_pauses mPauses;  ///< Pauses of runs during reads.
  std::uint64_t mRuns = 0; ///< Number of prompts so far.
};

// Guards against a default speed that persists: engines of another deployment read at a third of
// the default, and a daemon that has just started must learn it from the first prompts.
TEST(reading, TheSpeedIsKnownAfterAFewPrompts)
{
  const duration each = 240ms; // The default speed gives 80 ms.
  const instant now = ReadInARow(5, each, kNow);
  const duration expected = mQueue.TimeFor(kPrompt, now);
  CHECK(expected > each * 8 / 10);
  CHECK(expected < each * 11 / 10);
}

TEST(reading, QueuedPromptsDoNotMakeTheEngineSlow)
{
  const instant now = ReadInARow(10, 80ms, kNow);
  const duration expected = mQueue.TimeFor(kPrompt, now);
  CHECK(expected > 75ms);
  CHECK(expected < 85ms);
}

TEST(reading, ASuspensionDoesNotMakeTheEngineSlow)
{
  const instant now = ReadInARow(10, 80ms, kNow);
  ReadInARow(1, 3s, now);
  CHECK(mQueue.TimeFor(kPrompt, now + 3s) < 160ms);
}

TEST(reading, WithoutAnyRunReadsAreTried)
{
  CHECK(mPauses.Fit(kAllowed, kNow));
}

TEST(reading, LongPausesStopReadsUntilTheMeasurementExpires)
{
  LearnPauses(5, 330ms, kNow);
  CHECK_FALSE(mPauses.Fit(kAllowed, kNow + 1s));
  CHECK(mPauses.Fit(kAllowed, kNow + 25s));
}

TEST(reading, OneRunWithAnUnrelatedPauseDoesNotStopReads)
{
  LearnPauses(10, 150ms, kNow);
  LearnPauses(1, 700ms, kNow);
  CHECK(mPauses.Fit(kAllowed, kNow));
  LearnPauses(1, 5s, kNow);
  CHECK(mPauses.Fit(kAllowed, kNow));
}
