/**
 * @file log_client.cpp
 * HTTP clients of the log service and the host list.
 */
#include "log/log_client.h"

#include "core/text_func.h"

#include <nlohmann/json.hpp>

namespace dunehook {

namespace {

using json = nlohmann::json;

constexpr duration kCallTimeout = std::chrono::seconds(2);
/** Largest batch of records, and largest list of hosts. */
constexpr std::uint64_t kMaxBatchBytes = std::uint64_t{ 8 } << 20U;
constexpr std::uint64_t kMaxHostListBytes = std::uint64_t{ 8 } << 20U;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusGone = 410;

std::int64_t
Milliseconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

log_batch
ParseBatch(const std::string& aBody)
{
  const json body = json::parse(aBody);
  log_batch batch;
  batch.mFirst = body.at("first").get<std::uint64_t>();
  batch.mNext = body.at("next").get<std::uint64_t>();
  for (const json& record : body.at("records")) {
    batch.mRecords.push_back({ record.at("offset").get<std::uint64_t>(),
                               record.at("time").get<std::int64_t>(),
                               record.at("data").get<std::string>() });
  }
  return batch;
}

std::vector<host>
ParseHosts(const std::string& aBody)
{
  std::vector<host> hosts;
  const json body = json::parse(aBody);
  for (const json& item : body.at("hosts")) {
    const result<endpoint> address = ParseEndpoint(item.at("address").get<std::string>());
    if (!address) {
      continue;
    }
    hosts.push_back({ item.at("name").get<std::string>(),
                      address.value(),
                      item.at("pool").get<std::string>(),
                      item.at("hall").get<std::string>(),
                      item.at("state").get<std::string>() == "leaving" });
  }
  return hosts;
}

} // namespace

asio::awaitable<result<log_batch>>
log_client::Read(std::uint64_t aFrom, duration aWait)
{
  http_call call;
  call.mTarget = Join("/log/read?from=", aFrom, "&wait_ms=", Milliseconds(aWait));
  const result<http_answer> answer =
    co_await mPool.Call(mAddress, call, aWait + kCallTimeout, kMaxBatchBytes);
  if (!answer) {
    co_return make_error_code(errc::eLogUnavailable);
  }
  if (answer.value().mStatus == kStatusGone) {
    co_return make_error_code(errc::eRetentionPassed);
  }
  if (answer.value().mStatus != kStatusOk) {
    co_return make_error_code(errc::eLogUnavailable);
  }
  try {
    log_batch batch = ParseBatch(answer.value().mBody);
    mOldestKept = batch.mFirst;
    co_return batch;
  } catch (const json::exception&) {
    co_return make_error_code(errc::eLogUnavailable);
  }
}

asio::awaitable<result<std::uint64_t>>
log_client::Append(const std::vector<std::string>& aRecords)
{
  const result<http_connection_ptr> connection =
    co_await http_connection::Connect(mAddress, kCallTimeout);
  if (!connection) {
    co_return make_error_code(errc::eLogUnavailable);
  }
  http_call call;
  call.mMethod = http::verb::post;
  call.mTarget = "/log/append";
  call.mBody = json{ { "records", aRecords } }.dump();
  const result<http_answer> answer = co_await connection.value()->Call(call, kCallTimeout);
  if (!answer) {
    co_return make_error_code(errc::eLogAmbiguous);
  }
  if (answer.value().mStatus != kStatusOk) {
    co_return make_error_code(errc::eLogUnavailable);
  }
  try {
    co_return json::parse(answer.value().mBody).at("offset").get<std::uint64_t>();
  } catch (const json::exception&) {
    co_return make_error_code(errc::eLogAmbiguous);
  }
}

asio::awaitable<result<std::vector<host>>>
host_list_client::Read()
{
  http_call call;
  call.mTarget = "/hosts";
  const result<http_answer> answer =
    co_await mPool.Call(mAddress, call, kCallTimeout, kMaxHostListBytes);
  if (!answer || answer.value().mStatus != kStatusOk) {
    co_return make_error_code(errc::eLogUnavailable);
  }
  try {
    co_return ParseHosts(answer.value().mBody);
  } catch (const json::exception&) {
    co_return make_error_code(errc::eLogUnavailable);
  }
}

} // namespace dunehook
