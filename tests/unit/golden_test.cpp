/**
 * @file golden_test.cpp
 * Golden sessions: a script of events must give the committed orders and decisions, byte for byte.
 * DUNEHOOK_GOLDEN_WRITE=1 regenerates the expected files, for review.
 */
#include "tests/support/session_script.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void
CompareSession(const std::string& aName)
{
  const std::string base = "tests/golden/" + aName;
  const std::string out = dunehook::test::ReplaySession(ReadFile(base + ".session"));
  if (std::getenv("DUNEHOOK_GOLDEN_WRITE") != nullptr) {
    std::ofstream(base + ".expected") << out;
  }
  CHECK_TRUE(out.size() > 100);
  STRCMP_EQUAL(ReadFile(base + ".expected").c_str(), out.c_str());
}

} // namespace

TEST_GROUP(golden){};

TEST(golden, LakeshoreSessionGivesTheCommittedDecisions)
{
  CompareSession("lakeshore");
}

TEST(golden, BarangaySessionGivesTheCommittedDecisions)
{
  CompareSession("barangay");
}
