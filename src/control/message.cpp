/**
 * @file message.cpp
 * JSON encoding and decoding of the messages between a frontend and the owner of a cell.
 */
#include "control/message_func.h"

namespace dunehook {

namespace {

using json = nlohmann::json;

json
RequestToJson(const request_arrived& aRequest)
{
  json blocks = json::array();
  for (const prefix_block& block : aRequest.mBlocks) {
    blocks.push_back(json::array({ block.mHash, block.mTokens }));
  }
  return { { "attempt", ToText(aRequest.mAttempt) },
           { "class", aRequest.mClass },
           { "prompt_tokens", aRequest.mPromptTokens },
           { "max_tokens", aRequest.mMaxTokens },
           { "blocks", std::move(blocks) } };
}

attempt_id
ReadAttempt(const json& aJson)
{
  return ParseAttempt(aJson.at("attempt").get<std::string>()).value();
}

engine_id
ReadEngine(const json& aJson, const char* aName)
{
  return { aJson.at(aName).get<std::uint64_t>() };
}

request_arrived
ReadRequest(const json& aJson)
{
  request_arrived request;
  request.mAttempt = ReadAttempt(aJson);
  request.mClass = aJson.at("class").get<std::string>();
  request.mPromptTokens = aJson.at("prompt_tokens").get<std::uint32_t>();
  request.mMaxTokens = aJson.at("max_tokens").get<std::uint32_t>();
  for (const json& block : aJson.at("blocks")) {
    request.mBlocks.push_back(
      { block.at(0).get<std::uint64_t>(), block.at(1).get<std::uint32_t>() });
  }
  return request;
}

struct event_encoder
{
  json operator()(const request_arrived& aEvent) const
  {
    json encoded = RequestToJson(aEvent);
    encoded["type"] = "arrived";
    return encoded;
  }
  json operator()(const request_adopted& aEvent) const
  {
    return { { "type", "adopted" },
             { "attempt", ToText(aEvent.mRequest.mAttempt) },
             { "request", RequestToJson(aEvent.mRequest) },
             { "stage", static_cast<int>(aEvent.mStage) },
             { "prefill", aEvent.mPrefill.mValue },
             { "decode", aEvent.mDecode.mValue },
             { "repeat", aEvent.mIsRepeat } };
  }
  json operator()(const prefill_finished& aEvent) const
  {
    return { { "type", "prefilled" },
             { "attempt", ToText(aEvent.mAttempt) },
             { "bytes", aEvent.mKvBytes },
             { "cached", aEvent.mCachedTokens } };
  }
  json operator()(const chunk_finished& aEvent) const
  {
    return { { "type", "chunk" }, { "attempt", ToText(aEvent.mAttempt) } };
  }
  json operator()(const stream_finished& aEvent) const
  {
    return { { "type", "finished" },
             { "attempt", ToText(aEvent.mAttempt) },
             { "tokens", aEvent.mTokens } };
  }
  json operator()(const work_failed& aEvent) const
  {
    return { { "type", "failed" },
             { "attempt", ToText(aEvent.mAttempt) },
             { "engine", aEvent.mEngine.mValue },
             { "refused", aEvent.mRefused },
             { "kv_lost", aEvent.mKvLost } };
  }
  json operator()(const request_cancelled& aEvent) const
  {
    return { { "type", "cancelled" }, { "attempt", ToText(aEvent.mAttempt) } };
  }
  json operator()(const request_moved& aEvent) const
  {
    // Earlier versions take it for the end of the stream, which releases the engines as well.
    return { { "type", "finished" },
             { "attempt", ToText(aEvent.mAttempt) },
             { "tokens", 0 },
             { "moved", true } };
  }
  template<typename Other>
  json operator()(const Other& /*aEvent*/) const
  {
    return json::object(); // Events that only owners create are never sent.
  }
};

decide_event
ReadEvent(const json& aJson)
{
  const auto type = aJson.at("type").get<std::string>();
  if (type == "arrived") {
    return ReadRequest(aJson);
  }
  if (type == "adopted") {
    return request_adopted{ ReadRequest(aJson.at("request")),
                            static_cast<request_stage>(aJson.at("stage").get<int>()),
                            ReadEngine(aJson, "prefill"),
                            ReadEngine(aJson, "decode"),
                            aJson.value("repeat", false) }; // Earlier versions don't send it.
  }
  if (type == "prefilled") {
    return prefill_finished{ ReadAttempt(aJson),
                             aJson.at("bytes").get<std::uint64_t>(),
                             aJson.at("cached").get<std::uint32_t>() };
  }
  if (type == "chunk") {
    return chunk_finished{ ReadAttempt(aJson) };
  }
  if (type == "finished" && aJson.value("moved", false)) {
    return request_moved{ ReadAttempt(aJson) };
  }
  if (type == "finished") {
    return stream_finished{ ReadAttempt(aJson), aJson.at("tokens").get<std::uint32_t>() };
  }
  if (type == "failed") {
    return work_failed{ ReadAttempt(aJson),
                        ReadEngine(aJson, "engine"),
                        aJson.at("refused").get<bool>(),
                        aJson.at("kv_lost").get<bool>() };
  }
  return request_cancelled{ ReadAttempt(aJson) };
}

struct order_encoder
{
  json operator()(const start_prefill& aOrder) const
  {
    return { { "type", "prefill" }, { "priority", aOrder.mPriority } };
  }
  json operator()(const start_chunk& aOrder) const
  {
    return { { "type", "chunk" },
             { "offset", aOrder.mOffset },
             { "bytes", aOrder.mBytes },
             { "last", aOrder.mLast } };
  }
  json operator()(const refuse_request& aOrder) const
  {
    return { { "type", "refuse" },
             { "reason", static_cast<int>(aOrder.mReason) },
             { "retry_after_us", aOrder.mRetryAfter.count() } };
  }
  json operator()(const cancel_work& /*aOrder*/) const { return { { "type", "cancel" } }; }
};

decide_order
ReadOrder(const json& aJson)
{
  const auto type = aJson.at("type").get<std::string>();
  const attempt_id attempt = ReadAttempt(aJson);
  const engine_id engine = ReadEngine(aJson, "engine");
  if (type == "prefill") {
    return start_prefill{ attempt, engine, aJson.at("priority").get<std::uint32_t>() };
  }
  if (type == "chunk") {
    return start_chunk{ attempt,
                        engine,
                        aJson.at("offset").get<std::uint64_t>(),
                        aJson.at("bytes").get<std::uint64_t>(),
                        aJson.at("last").get<bool>() };
  }
  if (type == "refuse") {
    return refuse_request{ attempt,
                           static_cast<errc>(aJson.at("reason").get<int>()),
                           duration{ aJson.at("retry_after_us").get<std::int64_t>() } };
  }
  return cancel_work{ attempt, engine };
}

} // namespace

json
EventToJson(const decide_event& aEvent)
{
  return std::visit(event_encoder{}, aEvent);
}

result<decide_event>
EventFromJson(const json& aJson)
{
  try {
    return ReadEvent(aJson);
  } catch (const std::exception&) {
    return make_error_code(errc::eBadRequest);
  }
}

json
OrderToJson(const addressed_order& aOrder)
{
  json encoded = std::visit(order_encoder{}, aOrder.mOrder);
  encoded["attempt"] = ToText(AttemptOf(aOrder.mOrder));
  encoded["engine"] = EngineOf(aOrder.mOrder).mValue;
  encoded["address"] = ToText(aOrder.mAddress);
  return encoded;
}

result<addressed_order>
OrderFromJson(const json& aJson)
{
  try {
    addressed_order order{ ReadOrder(aJson), {} };
    const result<endpoint> address = ParseEndpoint(aJson.at("address").get<std::string>());
    if (address) {
      order.mAddress = address.value();
    }
    return order;
  } catch (const std::exception&) {
    return make_error_code(errc::eBadRequest);
  }
}

attempt_id
AttemptOf(const decide_order& aOrder)
{
  return std::visit([](const auto& aOne) { return aOne.mAttempt; }, aOrder);
}

attempt_id
AttemptOf(const decide_event& aEvent)
{
  return std::visit(
    [](const auto& aOne) {
      if constexpr (requires { aOne.mAttempt; }) {
        return aOne.mAttempt;
      } else if constexpr (requires { aOne.mRequest.mAttempt; }) {
        return aOne.mRequest.mAttempt;
      } else {
        return attempt_id{};
      }
    },
    aEvent);
}

engine_id
EngineOf(const decide_order& aOrder)
{
  return std::visit(
    [](const auto& aOne) {
      if constexpr (requires { aOne.mEngine; }) {
        return aOne.mEngine;
      } else {
        return engine_id{};
      }
    },
    aOrder);
}

} // namespace dunehook
