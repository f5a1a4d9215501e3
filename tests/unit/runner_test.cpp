/**
 * @file runner_test.cpp
 * Tests the parser of token streams, which has to join partial reads and to refuse tokens of
 * another attempt, and the parsing of attempt ids, completion calls, prompt prefixes and team
 * quotas.
 */
#include "callers/completion_type.h"
#include "callers/quota_base.h"
#include "runners/engine_client.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;

namespace {

const attempt_id kAttempt{ { 1 }, 2 };

std::string
Event(const std::string& aAttempt, int aIndex)
{
  return "data: {\"a\":\"" + aAttempt + "\",\"i\":" + std::to_string(aIndex) + ",\"t\":\"w \"}\n\n";
}

} // namespace

TEST_GROUP(runners){};

TEST(runners, ATokenStreamIsParsedWhereverItsReadsAreSplit)
{
  const std::string whole = Event(ToText(kAttempt), 0) + Event(ToText(kAttempt), 1) +
                            "data: {\"a\":\"" + ToText(kAttempt) + "\",\"done\":true}\n\n";
  for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
    token_parser parser(kAttempt);
    std::vector<token> tokens;
    CHECK_TRUE(parser.Take(whole.substr(0, cut), tokens).has_value());
    CHECK_TRUE(parser.Take(whole.substr(cut), tokens).has_value());
    LONGS_EQUAL(2, tokens.size());
    CHECK_TRUE(parser.Done());
  }
}

TEST(runners, ATokenOfAnotherAttemptIsRefused)
{
  token_parser parser(kAttempt);
  std::vector<token> tokens;
  const auto parsed = parser.Take(Event("0000000000000001-3", 0), tokens);
  CHECK_TRUE(parsed.error() == errc::eWrongAnswer);
  LONGS_EQUAL(0, tokens.size());
}

TEST(runners, AttemptIdsAreParsedAsTheyAreWritten)
{
  CHECK_TRUE(ParseAttempt(ToText(kAttempt)).value() == kAttempt);
  CHECK_FALSE(ParseAttempt("12").has_value());
  CHECK_FALSE(ParseAttempt("xyz-1").has_value());
}

TEST(runners, InvalidCompletionCallsAreRefused)
{
  std::string detail;
  CHECK_TRUE(ParseCompletion(R"({"model":"m","prompt":"p"})", detail).has_value());
  CHECK_FALSE(ParseCompletion("{", detail).has_value());
  CHECK_FALSE(ParseCompletion(R"({"model":"m"})", detail).has_value());
  CHECK_FALSE(ParseCompletion(R"({"model":"m","prompt":""})", detail).has_value());
  CHECK_FALSE(ParseCompletion(R"({"model":"m","prompt":"p","max_tokens":0})", detail).has_value());
}

TEST(runners, PromptsWithACommonStartShareTheirFirstBlocks)
{
  const std::string commonPrefix(2 * kPrefixBlockBytes, 'g');
  const auto one = PrefixBlocks(commonPrefix + std::string(3 * kPrefixBlockBytes, 'a'));
  const auto two = PrefixBlocks(commonPrefix + std::string(3 * kPrefixBlockBytes, 'b'));
  LONGS_EQUAL(4, one.size()); // 1, 2, 4 and all 5 blocks.
  CHECK_TRUE(one[1] == two[1]);
  CHECK_FALSE(one[2] == two[2]);
  LONGS_EQUAL(5 * kPrefixBlockBytes / kBytesPerToken, one[3].mTokens);
}

TEST(runners, ATeamsQuotaIsSharedByTheDaemons)
{
  replicated_state state;
  state.Apply(
    { 1,
      1,
      EncodeCommand(put_command{ "w", { resource_kind::eTeam, "t" }, 0, team_spec{ 8.0, 8.0 } }) });
  team_quotas quotas;
  const instant now = std::chrono::seconds(1);
  for (int call = 0; call < 2; ++call) {
    CHECK_TRUE(quotas.Take(state, "t", 4, now) == duration{ 0 });
  }
  CHECK_TRUE(quotas.Take(state, "t", 4, now) > duration{ 0 });
  CHECK_TRUE(quotas.Take(state, "unknown", 4, now) == duration{ 0 });
  CHECK_TRUE(quotas.Take(state, "t", 4, now + std::chrono::milliseconds(501)) == duration{ 0 });
}
