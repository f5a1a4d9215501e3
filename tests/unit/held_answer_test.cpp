/**
 * @file held_answer_test.cpp
 * What is held of answers fits into its memory at any time, and which answers are given up for it.
 */
#include "state/held_answers.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <random>
#include <vector>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kMost = 1000;

} // namespace

TEST_GROUP(held_answers)
{
  held_answers mAll{ kMost };
  int mClosed = 0; ///< Connections that were closed.
  instant mNow{ 1s };

  std::unique_ptr<held_answer> Make()
  {
    return std::make_unique<held_answer>(mAll, [this] { ++mClosed; });
  }

  void Set(held_answer & aAnswer, std::size_t aBytes)
  {
    mNow += 1ms;
    aAnswer.Set(aBytes, mNow);
  }
};

TEST(held_answers, WhatFitsIsKept)
{
  const auto first = Make();
  const auto second = Make();
  Set(*first, 400);
  Set(*second, 600);
  CHECK_FALSE(first->IsGivenUp() || second->IsGivenUp());
  LONGS_EQUAL(kMost, mAll.Bytes());
}

TEST(held_answers, OfTheLargeOnesTheOldestIsGivenUp)
{
  const auto small = Make();
  const auto old = Make();
  const auto young = Make();
  Set(*small, 10);
  Set(*old, 500);
  Set(*young, 800);
  CHECK_TRUE(old->IsGivenUp());
  CHECK_FALSE(young->IsGivenUp() || small->IsGivenUp());
  LONGS_EQUAL(810, mAll.Bytes());
  LONGS_EQUAL(1, mClosed);
  LONGS_EQUAL(1, mAll.GivenUp());
}

TEST(held_answers, AnAnswerThatNeedsTooMuchAloneIsGivenUp)
{
  const auto only = Make();
  Set(*only, kMost + 1);
  CHECK_TRUE(only->IsGivenUp());
  LONGS_EQUAL(0, mAll.Bytes());
  Set(*only, 5);
  LONGS_EQUAL(0, mAll.Bytes());
}

TEST(held_answers, TheNextEventOfAStreamCountsAsYoung)
{
  const auto stream = Make();
  const auto other = Make();
  Set(*stream, 450);
  Set(*other, 500);
  stream->Clear();
  Set(*stream, 501);
  CHECK_TRUE(other->IsGivenUp());
  CHECK_FALSE(stream->IsGivenUp());
}

TEST(held_answers, WhatIsHeldFitsAtAnyTime)
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    held_answers all(kMost);
    std::vector<std::unique_ptr<held_answer>> answers(20);
    for (int step = 0; step < 500; ++step) {
      auto& answer = answers[random() % answers.size()];
      if (!answer || answer->IsGivenUp() || random() % 20 == 0) {
        answer = std::make_unique<held_answer>(all, [] {});
      }
      mNow += 1ms;
      answer->Set(random() % 300, mNow);
      CHECK_TRUE(all.Bytes() <= kMost);
    }
    answers.clear();
    LONGS_EQUAL(0, all.Bytes());
  }
}

TEST(held_answers, AnswersArePassedOnEarlyWhileThereIsLittleRoom)
{
  const auto answer = Make();
  CHECK_TRUE(mAll.MostOfPassable() > kMost);
  Set(*answer, kMost / 2 + 1);
  CHECK_TRUE(mAll.MostOfPassable() < 65536);
}
