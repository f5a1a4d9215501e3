/**
 * @file input_test.cpp
 * Invalid settings and calls get their documented errors, and the daemon keeps serving.
 */
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <fstream>

using namespace dunehook;
using namespace dunehook::test;

namespace {

std::string
CodeOf(const answer& aAnswer)
{
  const json body = aAnswer.Json();
  return body.is_object() ? body["error"].value("code", std::string()) : "";
}

} // namespace

TEST_GROUP(input){};

TEST(input, FaultySettingsGiveAllFindingsAndExitCodeTwo)
{
  testbed bed;
  const std::string path = bed.Path("faulty.toml");
  std::ofstream(path) << "[daemon]\nname = 7\nhall = \"h\"\ncolour = \"red\"\n[callers]\n"
                      << "listen = \"nowhere\"\nbody_bytes = -1\n[operators]\n"
                      << "listen = \"127.0.0.1:0\"\ntoken_file = \"t\"\n[peers]\n"
                      << "listen = \"127.0.0.1:0\"\n[platform]\nlog = \"127.0.0.1:1\"\n"
                      << "host_list = \"127.0.0.1:1\"\n";
  process checked({ BuildFolder() + "/src/dunehookd", "--settings=" + path, "--check" },
                  bed.Path("check.out"));
  LONGS_EQUAL(2, checked.WaitForExit());
  const std::string printed = checked.Output();
  LONGS_EQUAL(5, std::count(printed.begin(), printed.end(), '\n'));
  CHECK_TRUE(printed.find(path + ":2:8: daemon.name") != std::string::npos);
}

TEST(input, BadCallsGetTheirDocumentedErrorsAndTheDaemonServesOn)
{
  testbed bed;
  bed.StartTutoring(1);
  const entry_daemon& entry = bed.Daemon("entry-1");
  const auto post = [&](const std::string& aBody) {
    return Call(entry.mCallers, "POST", "/v1/completions", aBody);
  };
  STRCMP_EQUAL("bad_request", CodeOf(post("{broken")).c_str());
  STRCMP_EQUAL("not_found", CodeOf(post(CompletionBody("x", 1, false, "nobody"))).c_str());
  const answer large = post(std::string(300000, 'x'));
  LONGS_EQUAL(413, large.mStatus);
  STRCMP_EQUAL("body_too_large", CodeOf(large).c_str());
  STRCMP_EQUAL("not_found", CodeOf(Call(entry.mCallers, "GET", "/nowhere")).c_str());
  const answer wrong = Call(entry.mOperators,
                            "PUT",
                            "/api/v1/team/x",
                            "{\"spec\":{}}",
                            { { "Authorization", "Bearer wrong" } });
  LONGS_EQUAL(401, wrong.mStatus);
  STRCMP_EQUAL("unauthorized", CodeOf(wrong).c_str());
  LONGS_EQUAL(
    400, Call(entry.mCallers, "POST", "/records", "{}", { { "Idempotency-Key", "x" } }).mStatus);
  STRCMP_EQUAL("done", post(CompletionBody("still here", 2, false)).Outcome().c_str());
  LONGS_EQUAL(200, Call(entry.mCallers, "GET", "/metrics").mStatus);
}
