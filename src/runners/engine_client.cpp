/**
 * @file engine_client.cpp
 * Calls to engines.
 */
#include "runners/engine_client.h"

#include "core/json_func.h"

namespace dunehook {

namespace {

using json = nlohmann::json;

/** Longest line of a token stream. */
constexpr std::size_t kMaxEventBytes = 65536;
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kDataPrefix = "data: ";

/** @return the error that an engine's status stands for; empty for success. */
std::error_code
ErrorOf(unsigned aStatus)
{
  switch (aStatus) {
    case kOk:
      return {};
    case kNotFound:
    case kGone:
      return make_error_code(errc::eNotFound);
    case kConflict:
      return make_error_code(errc::eStaleFence);
    case kTooMany:
    case kUnavailable:
      return make_error_code(errc::eRunnerRefused);
    default:
      return make_error_code(errc::eConnectionLost);
  }
}

result<json>
ParseAnswer(const result<http_answer>& aAnswer)
{
  if (!aAnswer) {
    return aAnswer.error();
  }
  if (const std::error_code error = ErrorOf(aAnswer.value().mStatus)) {
    return error;
  }
  json body = ParseJson(aAnswer.value().mBody);
  if (!body.is_object()) {
    return make_error_code(errc::eWrongAnswer);
  }
  return body;
}

http_call
PostCall(std::string aTarget, const json& aBody)
{
  http_call call;
  call.mMethod = http::verb::post;
  call.mTarget = std::move(aTarget);
  call.mBody = aBody.dump(-1, ' ', false, json::error_handler_t::replace);
  return call;
}

bool
EchoesAttempt(const json& aBody, const attempt_id& aAttempt)
{
  return ValueOr(aBody, "attempt", std::string()) == ToText(aAttempt);
}

} // namespace

result<void>
token_parser::Take(std::string_view aBytes, std::vector<token>& aOut)
{
  mPartialLine += aBytes;
  std::size_t start = 0;
  for (std::size_t end = mPartialLine.find('\n'); end != std::string::npos;
       end = mPartialLine.find('\n', start)) {
    BOOST_OUTCOME_TRY(ParseLine(std::string_view(mPartialLine).substr(start, end - start), aOut));
    start = end + 1;
  }
  mPartialLine.erase(0, start);
  if (mPartialLine.size() > kMaxEventBytes) {
    return make_error_code(errc::eWrongAnswer);
  }
  return boost::outcome_v2::success();
}

result<void>
token_parser::ParseLine(std::string_view aLine, std::vector<token>& aOut)
{
  if (!aLine.starts_with(kDataPrefix)) {
    return boost::outcome_v2::success();
  }
  const json event = ParseJson(aLine.substr(kDataPrefix.size()));
  if (!event.is_object() || ValueOr(event, "a", std::string()) != mAttempt) {
    return make_error_code(errc::eWrongAnswer);
  }
  if (event.contains("done")) {
    mDone = true;
    return boost::outcome_v2::success();
  }
  aOut.push_back({ ValueOr(event, "i", std::uint32_t{ 0 }), ValueOr(event, "t", std::string()) });
  return boost::outcome_v2::success();
}

asio::awaitable<result<json>>
engine_client::Post(endpoint aEngine, std::string aTarget, json aBody, duration aLimit)
{
  const http_call call = PostCall(std::move(aTarget), aBody);
  co_return ParseAnswer(co_await mPool.Call(aEngine, call, aLimit));
}

asio::awaitable<result<json>>
engine_client::Get(endpoint aEngine, std::string aTarget, duration aLimit)
{
  http_call call;
  call.mTarget = std::move(aTarget);
  co_return ParseAnswer(co_await mPool.Call(aEngine, call, aLimit));
}

asio::awaitable<result<prefill_answer>>
engine_client::Prefill(endpoint aEngine,
                       prefill_call aCall,
                       duration aLimit,
                       http_connection_ptr& aConnection)
{
  BOOST_OUTCOME_CO_TRY(aConnection, co_await mPool.Acquire(aEngine, aLimit));
  const http_connection_ptr connection = aConnection;
  const http_call call = PostCall("/v1/prefill",
                                  { { "attempt", ToText(aCall.mAttempt) },
                                    { "prompt", aCall.mPrompt },
                                    { "generated", aCall.mGenerated },
                                    { "priority", aCall.mPriority } });
  const result<json> body = ParseAnswer(co_await connection->Call(call, aLimit));
  if (!body) {
    mPool.DropIfTimedOut(aEngine, body.error());
    co_return body.error();
  }
  if (!EchoesAttempt(body.value(), aCall.mAttempt)) {
    connection->Abort();
    co_return make_error_code(errc::eWrongAnswer);
  }
  mPool.Release(aEngine, connection);
  co_return prefill_answer{ ValueOr(body.value(), "bytes", std::uint64_t{ 0 }),
                            ValueOr(body.value(), "cached", std::uint32_t{ 0 }),
                            ValueOr(body.value(), "tokens", std::uint32_t{ 0 }) };
}

asio::awaitable<result<void>>
engine_client::Import(endpoint aEngine, import_call aCall, duration aLimit)
{
  const json body{ { "attempt", ToText(aCall.mAttempt) },
                   { "from", ToText(aCall.mFrom) },
                   { "offset", aCall.mOffset },
                   { "bytes", aCall.mBytes },
                   { "total", aCall.mTotal } };
  const result<json> answer = co_await Post(std::move(aEngine), "/v1/import", body, aLimit);
  if (!answer) {
    co_return answer.error();
  }
  if (!EchoesAttempt(answer.value(), aCall.mAttempt)) {
    co_return make_error_code(errc::eWrongAnswer);
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<result<http_connection_ptr>>
engine_client::Decode(endpoint aEngine, decode_call aCall, duration aLimit)
{
  BOOST_OUTCOME_CO_TRY(const http_connection_ptr connection,
                       co_await mPool.Acquire(aEngine, aLimit));
  const http_call call = PostCall("/v1/decode",
                                  { { "attempt", ToText(aCall.mAttempt) },
                                    { "start", aCall.mStartIndex },
                                    { "max_tokens", aCall.mMaxTokens } });
  const result<unsigned> status = co_await connection->Start(call, aLimit, kUnlimitedBody);
  if (!status) {
    mPool.DropIfTimedOut(aEngine, status.error());
    co_return status.error();
  }
  if (const std::error_code error = ErrorOf(status.value())) {
    connection->Abort();
    co_return error;
  }
  co_return connection;
}

asio::awaitable<result<void>>
engine_client::Cancel(endpoint aEngine, attempt_id aAttempt, duration aLimit)
{
  const json body{ { "attempt", ToText(aAttempt) } };
  const result<json> answer = co_await Post(std::move(aEngine), "/v1/cancel", body, aLimit);
  if (!answer) {
    co_return answer.error();
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<result<std::vector<engine_hold>>>
engine_client::Holds(endpoint aEngine, duration aLimit)
{
  BOOST_OUTCOME_CO_TRY(const json body, co_await Get(std::move(aEngine), "/v1/holds", aLimit));
  std::vector<engine_hold> holds;
  for (const json& row : ValueOr(body, "holds", json(json::array()))) {
    const result<attempt_id> attempt = ParseAttempt(ValueOr(row, "attempt", std::string()));
    if (attempt) {
      holds.push_back({ attempt.value(), ValueOr(row, "kind", std::string()) == "slot" });
    }
  }
  co_return holds;
}

asio::awaitable<result<void>>
engine_client::Order(endpoint aEngine, json aOrder, duration aLimit)
{
  const result<json> answer =
    co_await Post(std::move(aEngine), "/v1/orders", std::move(aOrder), aLimit);
  if (!answer) {
    co_return answer.error();
  }
  co_return boost::outcome_v2::success();
}

} // namespace dunehook
