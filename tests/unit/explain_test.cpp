/**
 * @file explain_test.cpp
 * The stories of requests of a played day, against committed files. DUNEHOOK_GOLDEN_WRITE=1 writes
 * them anew, for review.
 */
#include "cli/explain_func.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace dunehook;

namespace {

const std::string kFolder = "tests/golden/explain/";

std::vector<log_line>
DayLines()
{
  std::ifstream file(kFolder + "day.log");
  return ReadLogLines(file);
}

void
CompareStory(const std::string& aRequest)
{
  const std::string story = ToJson(ExplainRequest(DayLines(), aRequest)).dump(2) + "\n";
  if (std::getenv("DUNEHOOK_GOLDEN_WRITE") != nullptr) {
    std::ofstream(kFolder + aRequest + ".json") << story;
  }
  std::ifstream file(kFolder + aRequest + ".json");
  std::stringstream expected;
  expected << file.rdbuf();
  CHECK_TRUE(story.size() > 100);
  STRCMP_EQUAL(expected.str().c_str(), story.c_str());
}

} // namespace

TEST_GROUP(explain){};

TEST(explain, ARefusalAndTheCallersReturnAreOneStory)
{
  CompareStory("b655f3d61b0c9acd");
  const request_story story = ExplainRequest(DayLines(), "b655f3d61b0c9acd");
  CHECK(story.mSteps.front().mRequest == "b655f3d61b0c9acd"); // Although its host's clock is ahead.
  CHECK(story.mSteps.size() >= 2);
}

TEST(explain, ACallOfUnknownOutcome)
{
  CompareStory("cf359b784a44b8ba");
}

TEST(explain, AStreamThatBrokeOff)
{
  CompareStory("57f398142bd943e1");
}

TEST(explain, ARequestNobodyLoggedHasNoCause)
{
  CHECK(ExplainRequest(DayLines(), "nobody").mCause.empty());
}

TEST(explain, ACallerThatLeftADaemonThatStoodStill)
{
  std::istringstream input(
    R"({"event":"generation_started","host":"a","request":"r","time":10.0,"runner":"e"})"
    "\n"
    R"({"event":"stood_still","host":"b","time":20.9,"ms":8000})"
    "\n"
    R"({"event":"caller_left","host":"a","request":"r","time":21.0,"ms":11000})"
    "\n"
    R"({"event":"stood_still","host":"a","time":21.1,"ms":8000})"
    "\n");
  const request_story story = ExplainRequest(ReadLogLines(input), "r");
  STRCMP_EQUAL("the caller left after 11000 ms; its daemon stood still for 8000 ms before this",
               story.mCause.c_str());
  CHECK_EQUAL(3U, story.mSteps.size());
}

TEST(explain, ARequestThatARunnersNewLifeCost)
{
  std::istringstream input(
    R"({"event":"answer_lost","host":"a","request":"r","time":10.0,"runner":"e","outcome":"failed"})"
    "\n"
    R"({"event":"request_given_up","host":"a","request":"r","time":10.1,"status":502,)"
    R"("reason":"answer_broken","held_ms":80,"sends":1})"
    "\n"
    R"({"event":"runner_reborn","host":"b","time":10.7,"runner":"e","began_ms":2,"former_ms":1})"
    "\n"
    R"({"event":"runner_reborn","host":"a","time":10.9,"runner":"e","began_ms":2,"former_ms":1})"
    "\n"
    R"({"event":"runner_reborn","host":"a","time":11.0,"runner":"f","began_ms":2,"former_ms":1})"
    "\n");
  const request_story story = ExplainRequest(ReadLogLines(input), "r");
  CHECK_EQUAL(3U, story.mSteps.size());
  STRCMP_CONTAINS("; runner e began anew: what ran there is lost", story.mCause.c_str());
}

TEST(explain, ARefusedStreamAndADeniedRetryAreTold)
{
  std::istringstream input(
    R"({"event":"retry_denied","host":"a","request":"r","time":10.0,"service":"tutor","sends":2,)"
    R"("by":"grantor"})"
    "\n"
    R"({"event":"stream_not_taken_up","host":"a","request":"r","time":10.1,"resumes":"q"})"
    "\n");
  const request_story story = ExplainRequest(ReadLogLines(input), "r");
  CHECK_EQUAL(2U, story.mSteps.size());
  STRCMP_EQUAL("2 more sends to tutor were denied by grantor", story.mSteps[0].mText.c_str());
  STRCMP_CONTAINS("which software began the stream of attempt \"q\" is not known",
                  story.mCause.c_str());
}

TEST(explain, LinesThatAreNoJsonAreLeftOut)
{
  std::istringstream input("noise\n{broken\n 1.5 host {\"event\":\"x\",\"request\":\"r\"}\n{}\n");
  CHECK_EQUAL(1U, ReadLogLines(input).size());
}
