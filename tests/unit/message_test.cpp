/**
 * @file message_test.cpp
 * Tests that messages between frontends and owners are decoded as they were encoded, and that
 * invalid ones are refused.
 */
#include "control/message_func.h"
#include "peer/rpc_dispatcher.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;

namespace {

const attempt_id kAttempt{ { 0xABCDEF }, 42 };

} // namespace

TEST_GROUP(messages){};

TEST(messages, EveryEventIsDecodedAsItWasEncoded)
{
  const request_arrived arrived{ kAttempt, "practice", {}, 200, 60, { { 7, 256 }, { 9, 512 } } };
  const std::vector<decide_event> events{
    arrived,
    request_adopted{ arrived, request_stage::eDecoding, { 3 }, { 4 } },
    prefill_finished{ kAttempt, 1234567890123, 17 },
    chunk_finished{ kAttempt },
    stream_finished{ kAttempt, 60 },
    work_failed{ kAttempt, { 5 }, true, false },
    request_cancelled{ kAttempt },
    request_moved{ kAttempt },
  };
  for (const decide_event& event : events) {
    CHECK_TRUE(EventFromJson(EventToJson(event)).value() == event);
  }
}

TEST(messages, EveryOrderIsDecodedAsItWasEncoded)
{
  const std::vector<decide_order> orders{
    start_prefill{ kAttempt, { 5 }, 1 },
    start_chunk{ kAttempt, { 6 }, 100, 50, true },
    refuse_request{ kAttempt, errc::eOverloaded, duration{ 250000 } },
    cancel_work{ kAttempt, { 7 } },
  };
  for (const decide_order& order : orders) {
    const addressed_order sent{ order, { "127.0.0.1", 90 } };
    const addressed_order read = OrderFromJson(OrderToJson(sent)).value();
    CHECK_TRUE(read.mOrder == order);
    CHECK_TRUE(read.mAddress == sent.mAddress);
  }
}

TEST(messages, InvalidMessagesAreRefused)
{
  CHECK_FALSE(EventFromJson(nlohmann::json::parse(R"({"type":"arrived"})")).has_value());
  CHECK_FALSE(EventFromJson(nlohmann::json::array()).has_value());
  CHECK_FALSE(
    OrderFromJson(nlohmann::json::parse(R"({"type":"prefill","attempt":"x"})")).has_value());
}

TEST(messages, TheDispatcherAnswersValidCallsAndReportsInvalidOnes)
{
  rpc_dispatcher dispatcher;
  dispatcher.Add("echo", [](const std::string& aMessage) { return aMessage; });
  const auto good = nlohmann::json::parse(dispatcher.Handle(
    R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"message":{"a":18446744073709551615}}})"));
  CHECK_TRUE(good["result"]["a"].get<std::uint64_t>() == UINT64_MAX);
  const auto broken = nlohmann::json::parse(dispatcher.Handle("{nonsense"));
  LONGS_EQUAL(-32700, broken["error"]["code"].get<int>());
  const auto unknown = nlohmann::json::parse(
    dispatcher.Handle(R"({"jsonrpc":"2.0","id":1,"method":"none","params":{"message":{}}})"));
  LONGS_EQUAL(-32601, unknown["error"]["code"].get<int>());
}
