/**
 * @file reading_test.cpp
 * What is learned of engines that read prompts: how quickly they read, and what the runs beside a
 * read suffer.
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
  /** Has prompts read one after the other, all asked for at once. @return when the last one is. */
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

  prompt_queue mQueue;     ///< Of one engine.
  reading_pauses mPauses;  ///< Of runs beside reads.
  std::uint64_t mRuns = 0; ///< Prompts so far.
};

// Engines of another deployment read a third as fast as is guessed: after the first prompts a
// daemon that has just started knows.
TEST(reading, TheSpeedIsKnownAfterAFewPrompts)
{
  const duration each = 240ms; // The guess is 80 ms.
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
