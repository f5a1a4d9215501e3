/**
 * @file path_test.cpp
 * End-to-end tests with real processes: completions, services, resources.
 */
#include "standins/common/token_text.h"
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace dunehook;
using namespace dunehook::test;

TEST_GROUP(path){};

TEST(path, TurnsAndReviewsAndRecordsAreServedThroughAnyDaemon)
{
  testbed bed;
  bed.StartTutoring(3);
  for (int number = 1; number <= 3; ++number) {
    const entry_daemon& entry = bed.Daemon("entry-" + std::to_string(number));
    const std::string prompt = "how do I ask for the bus, learner " + std::to_string(number);
    stream turn(entry.mCallers, CompletionBody(prompt, 12));
    turn.ReadAll();
    CHECK_TRUE(turn.Done());
    STRCMP_EQUAL(AnswerText(prompt, 12).c_str(), turn.Text().c_str());
    const answer review = Call(
      entry.mCallers, "POST", "/v1/completions", CompletionBody(prompt, 2, false, "tutor-review"));
    STRCMP_EQUAL("done", review.Outcome().c_str());
    STRCMP_EQUAL(AnswerText(prompt, 2).c_str(),
                 review.Json()["choices"][0]["text"].get<std::string>().c_str());
    const std::string record = "lesson-" + std::to_string(number);
    const answer recorded =
      Call(entry.mCallers, "POST", "/records", json{ { "record", record } }.dump());
    STRCMP_EQUAL("done", recorded.Outcome().c_str());
    LONGS_EQUAL(1, bed.Runs(record));
  }
  CHECK_TRUE(Eventually([&] { return bed.Holds() == 0; }, 2000));
}

TEST(path, ResourcesAreReadListedWatchedAndDeleted)
{
  testbed bed;
  const entry_daemon& one = bed.StartDaemon("entry-1");
  const entry_daemon& two = bed.StartDaemon("entry-2");
  const json spec{ { "requests_per_second", 5 }, { "burst", 5 } };
  const answer written = bed.Put(one, "team", "north", spec);
  LONGS_EQUAL(200, written.mStatus);
  const auto version = written.Json()["version"].get<std::uint64_t>();
  CHECK_TRUE(Eventually([&] {
    const json read = bed.Operate(two, "GET", "/api/v1/team/north").Json();
    return read.is_object() && read.contains("status") && read["status"]["in_force_at"] == 2;
  }));
  const json watched = bed.Operate(two, "GET", "/api/v1/watch?from=1").Json();
  LONGS_EQUAL(1, watched["items"].size());
  LONGS_EQUAL(409, bed.Put(two, "team", "north", spec, 0).mStatus);
  LONGS_EQUAL(422, bed.Put(two, "team", "south", { { "burst", -1 }, { "x", 1 } }).mStatus);
  const std::string target = "/api/v1/team/north?expected_version=" + std::to_string(version);
  LONGS_EQUAL(200, bed.Operate(two, "DELETE", target).mStatus);
  CHECK_TRUE(
    Eventually([&] { return bed.Operate(one, "GET", "/api/v1/team/north").mStatus == 404; }));
}

TEST(path, AModelVersionIsLoadedOnEveryRunnerOfItsPool)
{
  testbed bed;
  bed.StartTutoring(2, 1, 3);
  const json spec{
    { "model", "tutor" }, { "version", "2" }, { "weights", "w2" }, { "pool", "tutor-decode" }
  };
  const answer written = bed.Put(bed.Daemon("entry-1"), "model_version", "tutor", spec);
  const auto version = written.Json()["version"].get<std::uint64_t>();
  for (const char* const name : { "decode-1", "decode-2", "decode-3" }) {
    CHECK_TRUE(Eventually([&] {
      const json state = Call(bed.At(name).mAddress, "GET", "/v1/state").Json();
      return state.value("version", std::string()) == "2" && state.value("fence", 0U) == version;
    }));
    const json stale{ { "fence", version - 1 }, { "model", "tutor" }, { "version", "1" } };
    LONGS_EQUAL(409, Call(bed.At(name).mAddress, "POST", "/v1/orders", stale.dump()).mStatus);
  }
}

TEST(path, ATeamOverItsQuotaIsToldWhenToComeBack)
{
  testbed bed;
  bed.StartTutoring(1);
  bed.Put(bed.Daemon("entry-1"), "team", "small", { { "requests_per_second", 1 }, { "burst", 1 } });
  const headers team{ { "X-Dunehook-Team", "small" } };
  const std::string body = CompletionBody("hello there", 2, false);
  const std::string& callers = bed.Daemon("entry-1").mCallers;
  LONGS_EQUAL(200, Call(callers, "POST", "/v1/completions", body, team).mStatus);
  const answer refused = Call(callers, "POST", "/v1/completions", body, team);
  LONGS_EQUAL(429, refused.mStatus);
  STRCMP_EQUAL("not-run", refused.Outcome().c_str());
  CHECK_TRUE(refused.mHeaders.contains("retry-after"));
}
