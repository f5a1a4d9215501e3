/**
 * @file operator_api.cpp
 * The resource API.
 */
#include "daemon/operator_api.h"

#include "core/json_func.h"
#include "core/log_func.h"

#include <charconv>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kWriteLimit = 5s;
constexpr duration kWatchLimit = 20s;
constexpr std::string_view kPrefix = "/api/v1/";
constexpr std::string_view kBearer = "Bearer ";

json
ToJson(const finding_list& aFindings)
{
  json list = json::array();
  for (const finding& one : aFindings) {
    list.push_back({ { "place", one.mPlace }, { "message", one.mMessage } });
  }
  return list;
}

asio::awaitable<void>
RespondFindings(exchange_ptr aExchange, finding_list aFindings)
{
  json body = json::parse(ErrorBody("invalid_resource", "the resource has faults"));
  body["error"]["findings"] = ToJson(aFindings);
  co_await aExchange->Respond(422, body.dump());
}

unsigned
StatusOf(const std::error_code& aError)
{
  if (aError == errc::eVersionConflict) {
    return 409;
  }
  if (aError == errc::eNotFound) {
    return 404;
  }
  if (aError == errc::eInvalidResource) {
    return 422;
  }
  if (aError == errc::eLogUnavailable || aError == errc::eLogAmbiguous) {
    return 503;
  }
  return 500;
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

bool
operator_api::Authorized(const http_exchange& aExchange) const
{
  const std::string header = aExchange.Header("Authorization");
  return header.starts_with(kBearer) &&
         SecretsEqual(std::string_view(header).substr(kBearer.size()), mToken);
}

json
operator_api::Describe(const resource& aResource) const
{
  const std::size_t daemons = mMembers.Others().size() + 1;
  return { { "kind", KindName(aResource.mKey.mKind) },
           { "name", aResource.mKey.mName },
           { "version", aResource.mVersion },
           { "spec", SpecToJson(aResource.mSpec) },
           { "status",
             { { "in_force_at", mMembers.CountHavingApplied(aResource.mVersion) },
               { "daemons", daemons } } } };
}

asio::awaitable<void>
operator_api::Serve(exchange_ptr aExchange)
{
  if (!Authorized(*aExchange)) {
    LogEvent(log_level::eWarning, "operator_refused", { { "path", aExchange->Path() } });
    co_await aExchange->Respond(401, ErrorBody("unauthorized", "the token is missing or wrong"));
    co_return;
  }
  std::string_view path = aExchange->Path();
  if (!path.starts_with(kPrefix)) {
    co_await aExchange->Respond(404, ErrorBody("not_found", "no such path"));
    co_return;
  }
  path.remove_prefix(kPrefix.size());
  if (path == "watch") {
    co_await Watch(aExchange);
    co_return;
  }
  if (path == "status") {
    co_await Status(aExchange);
    co_return;
  }
  const std::size_t slash = path.find('/');
  const result<resource_kind> kind = ParseKind(path.substr(0, slash));
  if (!kind) {
    co_await aExchange->Respond(404, ErrorBody("not_found", "no such kind"));
    co_return;
  }
  if (slash == std::string_view::npos) {
    co_await List(aExchange, kind.value());
    co_return;
  }
  const resource_key key{ kind.value(), std::string(path.substr(slash + 1)) };
  co_await ServeResource(aExchange, key);
}

asio::awaitable<void>
operator_api::ServeResource(exchange_ptr aExchange, resource_key aKey)
{
  switch (aExchange->Method()) {
    case http::verb::put:
      co_await Put(aExchange, std::move(aKey));
      break;
    case http::verb::delete_:
      co_await Delete(aExchange, std::move(aKey));
      break;
    case http::verb::get:
      if (const resource* const found = mLog.State().Find(aKey)) {
        co_await aExchange->Respond(200, Describe(*found).dump());
      } else {
        co_await aExchange->Respond(404, ErrorBody("not_found", "no such resource"));
      }
      break;
    default:
      co_await aExchange->Respond(405, ErrorBody("bad_request", "use GET, PUT or DELETE"));
  }
}

asio::awaitable<void>
operator_api::Put(exchange_ptr aExchange, resource_key aKey)
{
  const json body = ParseJson(aExchange->Body());
  finding_list findings;
  if (!body.is_object()) {
    findings.push_back({ "body", "must be a JSON object" });
    co_await RespondFindings(aExchange, findings);
    co_return;
  }
  if (!IsValidName(aKey.mName)) {
    findings.push_back({ "name", "must be 1 to 64 of a-z, 0-9, '-', '.', '_'" });
  }
  const json expected = body.value("expected_version", json(0U));
  if (!expected.is_number_unsigned()) {
    findings.push_back({ "expected_version", "must be a whole number of 0 or more" });
  }
  const result<resource_spec> spec =
    ParseSpec(aKey.mKind, body.value("spec", json::object()), findings);
  if (!findings.empty()) {
    co_await RespondFindings(aExchange, findings);
    co_return;
  }
  std::string writeId = body.value("write_id", std::string());
  if (writeId.empty()) {
    writeId = ToText(DrawIncarnation());
  }
  const put_command put{ writeId, aKey, expected.get<std::uint64_t>(), spec.value() };
  co_await Write(aExchange, aKey, put);
}

asio::awaitable<void>
operator_api::Delete(exchange_ptr aExchange, resource_key aKey)
{
  const std::uint64_t expected = ParseNumber(aExchange->Query("expected_version"));
  std::string writeId = aExchange->Query("write_id");
  if (writeId.empty()) {
    writeId = ToText(DrawIncarnation());
  }
  const delete_command deletion{ writeId, aKey, expected };
  co_await Write(aExchange, aKey, deletion);
}

asio::awaitable<void>
operator_api::Write(exchange_ptr aExchange, resource_key aKey, command aCommand)
{
  const result<write_outcome> written = co_await mLog.Write(std::move(aCommand), kWriteLimit);
  const std::error_code error = written ? written.value().mError : written.error();
  LogEvent(log_level::eInfo,
           "resource_write",
           { { "kind", KindName(aKey.mKind) },
             { "name", aKey.mName },
             { "outcome", error ? ErrorName(error) : "accepted" } });
  if (error) {
    const std::string_view detail =
      error == errc::eLogAmbiguous
        ? "the write may or may not be accepted; repeat it with the same write_id"
        : "the write was not accepted";
    co_await aExchange->Respond(StatusOf(error), ErrorBody(ErrorName(error), detail));
    co_return;
  }
  const json body{ { "kind", KindName(aKey.mKind) },
                   { "name", aKey.mName },
                   { "version", written.value().mVersion } };
  co_await aExchange->Respond(200, body.dump());
}

asio::awaitable<void>
operator_api::List(exchange_ptr aExchange, resource_kind aKind)
{
  json items = json::array();
  for (const auto& [key, one] : mLog.State().Resources()) {
    if (key.mKind == aKind) {
      items.push_back(Describe(one));
    }
  }
  const json body{ { "items", items }, { "next_offset", mLog.State().NextOffset() } };
  co_await aExchange->Respond(200, body.dump());
}

asio::awaitable<void>
operator_api::Watch(exchange_ptr aExchange)
{
  const std::uint64_t from = ParseNumber(aExchange->Query("from"));
  const instant deadline = boot_clock_source().Now() + kWatchLimit;
  while (mLog.State().NextOffset() <= from && boot_clock_source().Now() < deadline &&
         !aExchange->CallerGone()) {
    co_await mLog.WaitForChange(500ms);
  }
  json changed = json::array();
  for (const auto& [key, one] : mLog.State().Resources()) {
    if (one.mVersion >= from) {
      changed.push_back(Describe(one));
    }
  }
  const json body{ { "items", changed }, { "next_offset", mLog.State().NextOffset() } };
  co_await aExchange->Respond(200, body.dump());
}

asio::awaitable<void>
operator_api::Status(exchange_ptr aExchange)
{
  json daemons = json::array();
  const auto add = [&daemons](const member_info& aInfo) {
    daemons.push_back({ { "name", aInfo.mName },
                        { "hall", aInfo.mHall },
                        { "incarnation", ToText(aInfo.mIncarnation) },
                        { "next_offset", aInfo.mNextOffset },
                        { "serving", aInfo.mServing } });
  };
  add(mMembers.Self());
  for (const auto& [incarnation, entry] : mMembers.Others()) {
    add(entry.mInfo);
  }
  const json body{ { "next_offset", mLog.State().NextOffset() },
                   { "digest", mLog.State().Digest() },
                   { "log_reachable", mLog.LogReachable() },
                   { "host_list_reachable", mHosts.Reachable() },
                   { "resources", mLog.State().Resources().size() },
                   { "claims", mLog.State().ClaimCount() },
                   { "daemons", daemons } };
  co_await aExchange->Respond(200, body.dump());
}

} // namespace dunehook
