/**
 * @file platform_test.cpp
 * Decoding and encoding of the platform's formats.
 */
#include "platform/codec.h"
#include "platform/wire.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <random>

using namespace dunehook;
using namespace std::chrono_literals;
using platform::wire;

TEST_GROUP(platform_wire){};

TEST(platform_wire, ReadsARequestsHead)
{
  http::fields head;
  head.set("X-Request-Id", "abc");
  head.set("X-Deadline-Ms", "14000");
  head.set("X-Model", "m");
  head.set("X-Token-Counts", "1460,80");
  head.set("X-Prefix-Hash", "5c1e07a2:800,e4402b7d:250");
  head.set("Length-Hint", "60");
  head.set("Last-Event-Id", "12");
  head.set("Resumes", "9c41d07be2a35f68");
  const request_facts facts = wire::ReadRequest(head);
  CHECK_EQUAL("abc", facts.mId);
  CHECK(facts.mTimeLeft == 14s);
  CHECK_EQUAL(1460U, facts.mPromptTokens);
  CHECK_EQUAL(80U, facts.mMostTokens);
  CHECK_EQUAL(60U, facts.mGuessedTokens);
  CHECK_EQUAL(12U, *facts.mLastEvent);
  CHECK_EQUAL("9c41d07be2a35f68", facts.mResumes);
  CHECK(facts.mPromptKey == HashBytes("e4402b7d:250"));
  CHECK(facts.mSharedParts == (std::vector<std::string>{ "5c1e07a2" }));
}

TEST(platform_wire, AHeadWithoutNumbersIsRead)
{
  http::fields head;
  head.set("X-Deadline-Ms", "soon");
  head.set("X-Token-Counts", ",");
  const request_facts facts = wire::ReadRequest(head);
  CHECK_FALSE(facts.mTimeLeft.has_value());
  CHECK_EQUAL(0U, facts.mPromptTokens);
  CHECK_EQUAL(0U, facts.mMostTokens);
}

TEST(platform_wire, WritesWhatTheRouterSets)
{
  send_plan plan;
  plan.mRunnerName = "i-1";
  plan.mTimeLeft = 1500ms;
  plan.mRank = 2;
  plan.mPrefillOnly = true;
  plan.mReservation = "h";
  plan.mPrefillAt = "10.0.0.1:80/x";
  plan.mAfterEvent = 4;
  http::fields out;
  wire::WritePlan(plan, out);
  CHECK(out["X-Expect-Instance"] == "i-1");
  CHECK(out["X-Deadline-Ms"] == "1500");
  CHECK(out["Priority"] == "2");
  CHECK(out["X-Stage"] == "prefill");
  CHECK(out["Hold"] == "h");
  CHECK(out["Kv-From"] == "10.0.0.1:80/x");
  CHECK(out["Last-Event-Id"] == "4");
}

TEST(platform_wire, TellsWhetherARequestRan)
{
  http::fields head;
  CHECK_FALSE(wire::ReadAnswer(head, 503).mNotRun);
  CHECK(wire::ReadAnswer(head, 421).mNotRun);
  CHECK(wire::ReadAnswer(head, 421).mMisdirected);
  head.set("X-Not-Executed", "1");
  CHECK(wire::ReadAnswer(head, 503).mNotRun);
  head.set("Keep-Alive", "timeout=5, max=100");
  CHECK(wire::ReadAnswer(head, 200).mKeepFor == 5s);
}

TEST(platform_wire, ReadsWhatARunnerSaysOfItself)
{
  http::fields head;
  CHECK(wire::ReadAnswer(head, 200).mNotice == runner_notice{});
  head.set("Server-Leaving", "1");
  head.set("Retry-After", "1.5");
  CHECK(wire::ReadAnswer(head, 200).mNotice == (runner_notice{ true, 0ms }));
  CHECK(wire::ReadAnswer(head, 503).mNotice == (runner_notice{ true, 1500ms }));
  const http_answer side{ 503, { { "Server-Leaving", "1" }, { "Retry-After", "2" } }, "" };
  CHECK(wire::ReadNotice(side) == (runner_notice{ true, 2s }));
}

TEST(platform_wire, AWrongRunnersNoticeIsNotTheOnesThatWasMeant)
{
  http::fields head;
  head.set("Server-Leaving", "1");
  head.set("Retry-After", "1.5");
  CHECK(wire::ReadAnswer(head, 421).mNotice == runner_notice{});
}

TEST(platform_wire, ReadsTheLimitThatARunnerNames)
{
  http::fields head;
  CHECK(wire::ReadAnswer(head, 200).mLimit == named_limit{});
  head.set("Server-Limit", "5.8");
  CHECK(wire::ReadAnswer(head, 200).mLimit == (named_limit{ limit_report::eNamed, 5.8 }));
  CHECK(wire::ReadAnswer(head, 503).mLimit == (named_limit{ limit_report::eNamed, 5.8 }));
  CHECK(wire::ReadAnswer(head, 421).mLimit == named_limit{}); // Another runner's.
  head.insert("Server-Limit", "4");
  CHECK(wire::ReadAnswer(head, 200).mLimit == (named_limit{ limit_report::eNamed, 4.0 }));
  head.insert("Server-Limit", "few");
  CHECK(wire::ReadAnswer(head, 200).mLimit == (named_limit{ limit_report::eNamed, 4.0 }));
  const http_answer side{ 503, { { "Server-Limit", "0" } }, "" };
  CHECK(wire::ReadLimit(side) == (named_limit{ limit_report::eNamed, 0.0 }));
  CHECK(wire::ReadLimit(http_answer{ 200, {}, "" }) == named_limit{});
}

TEST(platform_wire, ALimitThatIsNoRateIsUnreadable)
{
  for (const char* const text : { "", "many", "-1", "nan", "inf", "-inf", "5 7", "1e999" }) {
    http::fields head;
    head.set("Server-Limit", text);
    CHECK_TRUE_TEXT(
      wire::ReadAnswer(head, 200).mLimit == (named_limit{ limit_report::eUnreadable, 0.0 }), text);
  }
  http::fields head;
  head.set("Server-Limit", "1e300");
  CHECK(wire::ReadAnswer(head, 200).mLimit.mPerSecond <= 1e6);
}

TEST(platform_wire, ATimeThatIsNoneIsNotBelieved)
{
  http::fields head;
  for (const char* const text :
       { "", "soon", "-1", "nan", "-inf", "0", "Thu, 03 Dec 2026 00:00:00 GMT" }) {
    head.set("Retry-After", text);
    CHECK_TRUE_TEXT(wire::ReadAnswer(head, 503).mNotice == runner_notice{}, text);
  }
  head.set("Retry-After", "1e300");
  CHECK(wire::ReadAnswer(head, 503).mNotice.mWantsNothingFor == 1h);
}

TEST(platform_wire, ACallerMayNotSayThatARunnerLeaves)
{
  CHECK(wire::IsOwnHeader("server-leaving"));
}

TEST(platform_wire, ARefusalSaysWhenToComeBack)
{
  http::fields head;
  wire::WriteRefusal("abc", 1250ms, head);
  CHECK(head["Retry-After"] == "1.25");
  CHECK(head["X-Request-Id"] == "abc");
}

TEST(platform_wire, OrdersCarryTheirFenceAndWhomTheyMean)
{
  role_order order;
  order.mRunnerName = "i-1";
  order.mRole = engine_role::ePrefill;
  order.mHolder = "node-7";
  order.mTerm = 41;
  order.mAfterOrders = 2;
  const http_call call = wire::OrderCall(order);
  const auto body = nlohmann::json::parse(call.mBody);
  CHECK_EQUAL("prefill", body["stage"].get<std::string>());
  CHECK_EQUAL(41, body["fence"].get<int>());
  CHECK_EQUAL(2, body["expected"].get<int>());
  CHECK(call.mHeaders.at(0).second == "i-1");
}

TEST_GROUP(platform_codec)
{
  static constexpr const char* kEntry =
    R"({"service":"llm","address":"10.0.0.1:80","zone":"hall","version":"v1","slots":64,)"
    R"("state":"draining","cold-remaining-ms":0,"stage":"decode",)"
    R"("models":[{"name":"m","version":3}],"sequence":4,"born":1796256000123})";
  static constexpr const char* kConfig =
    R"({"version":7,"routes":[{"name":"a","host":"h","path-prefix":"/a/","kind":"streaming",)"
    R"("timeout-ms":14000,"priority":1,"service":"llm","max-attempts":2}],)"
    R"("services":[{"name":"llm","max-connections":370,"engine":{"slots":64,"stride":64}}],)"
    R"("limits":{"max-header-bytes":16384}})";

  static bool IsRunner(const std::string& aText)
  {
    return platform::DecodeRunner("i-1", aText).mFindings.empty();
  }
};

TEST(platform_codec, ReadsAConfiguration)
{
  const char* const text = R"({"version":7,"routes":[
    {"name":"a","host":"h.example","path-prefix":"/a/","kind":"streaming","timeout-ms":14000,
     "target-latency-ms":900,"priority":1,"service":"llm","max-attempts":2,"resumable":true,
     "gap_aim_ms":300},
    {"name":"b","host":"h.example","path-prefix":"/b/","kind":"unsafe","timeout-ms":1500,
     "backends":[{"service":"x","weight":90},{"service":"y","weight":10}]}],
    "services":[{"name":"llm","max-connections":370,"engine":{"slots":64,"kv-tokens":89659,
     "stride":64,"handle-ttl-s":0.5,"stage-switch-s":6.0,"hold-ms":2000.0}},{"name":"x"}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
     "idle-timeout-ms":15000}})";
  const result<routing_config> read = platform::DecodeConfig(text);
  CHECK(read.has_value());
  const routing_config& config = read.value();
  CHECK_EQUAL(7U, config.mVersion);
  CHECK(config.mRoutes[0].mRepeat == repeat_rule::eStream);
  CHECK(config.mRoutes[0].mResumable);
  CHECK(config.mRoutes[0].mEventGap == 300ms);
  CHECK(config.mRoutes[1].mRepeat == repeat_rule::eOnce);
  CHECK_EQUAL(2U, config.mRoutes[1].mServices.size());
  const engine_traits& traits = *config.mServices.at("llm").mEngines;
  CHECK_EQUAL(89659U, traits.mMemoryTokens);
  CHECK(traits.mResultLifetime == 500ms);
  CHECK(traits.mRoleSwitch == 6s);
  CHECK(traits.mLongestHold == 2s);
  CHECK(config.mLimits.mIdleTime == 15s);
}

TEST(platform_codec, AConfigurationThatIsNotOneIsAnError)
{
  CHECK_FALSE(platform::DecodeConfig("{}").has_value());
  CHECK_FALSE(platform::DecodeConfig("nothing").has_value());
  CHECK_FALSE(platform::DecodeConfig(R"({"version":1,"routes":[{}],"services":[]})").has_value());
}

TEST(platform_codec, ReadsARunner)
{
  const platform::runner_entry_report read = platform::DecodeRunner("i-1", kEntry);
  CHECK_TRUE(read.mFindings.empty());
  CHECK(read.mEntry.mLeaving);
  CHECK(read.mEntry.mRole == engine_role::eDecode);
  CHECK_EQUAL(3U, read.mEntry.mModels.at("m"));
  CHECK(read.mEntry.mBorn == 1796256000123);
}

TEST(platform_codec, AnEntryThatLacksAFieldOrHasOneOfAnotherTypeNamesNoRunner)
{
  const auto whole = nlohmann::json::parse(kEntry);
  for (const auto& [name, value] : whole.items()) {
    const bool optional = name == "stage" || name == "models" || name == "born";
    auto lacks = whole;
    lacks.erase(name);
    CHECK_EQUAL_TEXT(optional, IsRunner(lacks.dump()), name.c_str());
    for (const nlohmann::json& other : { nlohmann::json(nullptr),
                                         nlohmann::json(-1),
                                         nlohmann::json(0.5),
                                         nlohmann::json("other"),
                                         nlohmann::json(true),
                                         nlohmann::json::array({ 1 }),
                                         nlohmann::json{ { "a", 1 } } }) {
      auto changed = whole;
      changed[name] = other;
      const bool anyText = name == "service" || name == "zone" || name == "version";
      const bool still =
        (anyText && other.is_string()) || (name == "cold-remaining-ms" && other == 0.5);
      CHECK_EQUAL_TEXT(still, IsRunner(changed.dump()), (name + " " + other.dump()).c_str());
    }
  }
}

TEST(platform_codec, WhatIsNoEntryAtAllNamesNoRunner)
{
  const std::string entry = kEntry;
  const std::string start = entry.substr(0, entry.size() - 1);
  CHECK_FALSE(IsRunner(""));
  CHECK_FALSE(IsRunner("nothing"));
  CHECK_FALSE(IsRunner("[" + entry + "]"));
  CHECK_FALSE(IsRunner(start));
  CHECK_FALSE(IsRunner(start + ",\"service\":\"twice\"}"));
  CHECK_FALSE(IsRunner(start + ",\"x\":\"\xff\xfe\"}"));
  CHECK_FALSE(IsRunner(start + ",\"x\":" + std::string(100000, '[') + "}"));
  CHECK_FALSE(IsRunner(start + ",\"x\":" + std::string(50, '[') + std::string(50, ']') + "}"));
  CHECK_FALSE(IsRunner(start + ",\"x\":\"" + std::string(100000, 'x') + "\"}"));
  CHECK_TRUE(IsRunner(start + ",\"x\":{\"service\":1}}"));
}

/** Guards against requests to an address where no runner can listen, such as the daemon itself. */
TEST(platform_codec, AnAddressThatIsNotOneOfASingleHostNamesNoRunner)
{
  const auto whole = nlohmann::json::parse(kEntry);
  for (const char* const address : { "10.0.0.1:0",
                                     "10.0.0.1:65536",
                                     "10.0.0.1:99999999999",
                                     "10.0.0.1:-1",
                                     "10.0.0.1:",
                                     "10.0.0.1",
                                     "",
                                     "[::1]:80",
                                     "::1:80",
                                     "0.0.0.0:80",
                                     "224.0.0.1:80",
                                     "255.255.255.255:80" }) {
    auto changed = whole;
    changed["address"] = address;
    CHECK_EQUAL_TEXT(false, IsRunner(changed.dump()), address);
  }
}

/** Guards against numbers that are out of range, in fields that are read and in others. */
TEST(platform_codec, ANumberOutOfRangeNamesNoRunner)
{
  const std::string entry = kEntry;
  const std::string start = entry.substr(0, entry.size() - 1);
  CHECK_FALSE(IsRunner(start + ",\"x\":1e999}"));
  CHECK_FALSE(IsRunner(start + ",\"x\":" + std::string(400, '9') + "}"));
}

/** Guards against ids of a runner that end a line of a later request's head. */
TEST(platform_codec, AnIdThatCannotStandInAHeadIsNone)
{
  CHECK_TRUE(platform::wire::ReadReservation(R"({"hold":"h-1"})").has_value());
  CHECK_FALSE(platform::wire::ReadReservation(R"({"hold":"h\r\nX-Stage: prefill"})").has_value());
  CHECK_FALSE(platform::wire::ReadReservation(R"({"hold":""})").has_value());
  CHECK_FALSE(platform::wire::ReadReservation(std::string(60000, '[')).has_value());
  CHECK_TRUE(platform::wire::ReadPrefill(R"({"kv-handle":"a","version":1})").has_value());
  CHECK_FALSE(platform::wire::ReadPrefill(R"({"kv-handle":"a b"})").has_value());
}

TEST(platform_codec, ASpanOutOfRangeIsTheLongestOne)
{
  CHECK(FromSeconds(1e300) == std::chrono::seconds(1000000000));
  CHECK(FromSeconds(-1e300) == -std::chrono::seconds(1000000000));
  CHECK(FromSeconds(std::nan("")) == duration{ 0 });
}

TEST(platform_codec, ANameThatCannotStandInAHeadNamesNoRunner)
{
  for (const char* const name : { "", "a b", "a\r\nX-Stage: prefill", "\x01", "\xc3\xa4" }) {
    CHECK_FALSE(platform::DecodeRunner(name, kEntry).mFindings.empty());
  }
}

/** Entries and configurations with some bytes changed, cut out, doubled or put in: none ends the
 * program, and what is still a runner has what a runner needs. */
TEST(platform_codec, ChangedBytesNameNoRunnerThatCannotBe)
{
  constexpr int kCases = 20000;
  std::mt19937_64 random(27);
  const std::vector<std::string> texts{ kEntry, kConfig };
  int runners = 0;
  int configs = 0;
  for (int number = 0; number < kCases; ++number) {
    std::string text = texts[number % 2];
    for (std::uint64_t change = random() % 4; change < 4; ++change) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, random() % 8);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), random() % 30));
          break;
        default:
          text.insert(at, std::to_string(random()));
      }
      text += text.empty() ? "{" : "";
    }
    const platform::runner_entry_report report = platform::DecodeRunner("i-1", text);
    if (report.mFindings.empty()) {
      ++runners;
      CHECK_TRUE(report.mEntry.mAddress.mPort != 0);
      CHECK_TRUE(report.mEntry.mSlots > 0);
    }
    const result<routing_config> config =
      platform::DecodeConfig(text); // Ends, with or without one.
    configs += config ? 1 : 0;
  }
  printf("of %d changed texts %d name a runner, %d are configurations\n", kCases, runners, configs);
  CHECK_TRUE(runners < kCases / 2);
}

TEST(platform_codec, SettingsFaultsAreReportedTogetherWithTheirPlace)
{
  const gateway_settings_report report = platform::DecodeSettings(
    "node-name = \"n\"\nzone = 5\nip = \"127.0.0.1\"\n[listen]\nfront = \"nowhere\"\n"
    "[bounds]\ngrace-s = -1\nbudget-window-s = 0\nfuture-key = true\n");
  std::vector<std::string> places;
  for (const finding& one : report.mFindings) {
    places.push_back(one.mPlace);
  }
  const std::vector<std::string> wanted{ "zone",
                                         "listen.front",
                                         "listen.ready",
                                         "listen.ready",
                                         "platform.address",
                                         "platform.address",
                                         "bounds.budget-window-s",
                                         "bounds.grace-s" };
  CHECK(places == wanted);
  CHECK_EQUAL(2U, report.mFindings[0].mLine);
  CHECK_EQUAL(5U, report.mFindings[1].mLine);
}
