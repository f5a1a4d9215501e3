/**
 * @file store.cpp
 * Calls of the store.
 */
#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <thread>

namespace stage {

namespace {

constexpr ms kAnswerTime{ 4 };
constexpr ms kIdleTime{ 60000 };
const std::string kEra = "Store-Era: 1\r\n";

std::string
Base64(const std::string& aBytes)
{
  static constexpr std::string_view kSigns =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (k < count ? static_cast<unsigned char>(aBytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(k <= count ? kSigns[group >> (18 - 6 * k) & 63U] : '=');
    }
  }
  return out;
}

std::string
BigEndian(std::uint64_t aNumber, unsigned aBytes)
{
  std::string text;
  for (unsigned i = aBytes; i-- > 0;) {
    text.push_back(static_cast<char>(aNumber >> (8 * i) & 0xFFU));
  }
  return text;
}

std::uint64_t
Number(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

std::string
Json(const std::string& aStatus, const nlohmann::json& aBody)
{
  return Whole("HTTP/1.1 " + aStatus, kEra + "Content-Type: application/json\r\n", aBody.dump());
}

} // namespace

store::store(const std::string& aAddress)
{
  const int listener = Listen(aAddress, 0);
  mAddress = aAddress + ":" + std::to_string(PortOf(listener));
  std::thread([this, listener] { Accept(listener); }).detach();
}

void
store::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  mTopics[aTopic].push_back({ aKey, aValue });
  mChanged.notify_all();
}

void
store::Accept(int aListener)
{
  for (;;) {
    const int handle = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle >= 0) {
      std::thread([this, handle] { Serve(handle); }).detach();
    }
  }
}

void
store::Serve(int aHandle)
{
  connection caller(aHandle);
  message call;
  while (caller.ReadHead(call, steady::now() + kIdleTime) &&
         caller.ReadBody(call, steady::now() + kIdleTime, false)) {
    std::this_thread::sleep_for(kAnswerTime);
    if (!caller.Write(Answer(call), steady::now() + kIdleTime)) {
      return;
    }
  }
}

std::string
store::Answer(const message& aCall)
{
  const std::string path = aCall.Path();
  if (path == "/log-newest") {
    return Newest(aCall);
  }
  if (path == "/log-read") {
    return Read(aCall);
  }
  return path == "/log-append" ? Append(aCall) : Json("404 Not Found", nlohmann::json::object());
}

std::string
store::Newest(const message& aCall)
{
  const std::lock_guard lock(mMutex);
  const std::vector<record>& records = mTopics[aCall.Query("topic")];
  std::map<std::string, std::size_t> newest;
  for (std::size_t offset = 0; offset < records.size(); ++offset) {
    newest[records[offset].mKey] = offset;
  }
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, offset] : newest) {
    if (!records[offset].mValue.empty()) {
      items.push_back(
        { { "key", key }, { "value", Base64(records[offset].mValue) }, { "offset", offset } });
    }
  }
  return Json("200 OK", { { "items", items }, { "more", false }, { "end", records.size() } });
}

std::string
store::Read(const message& aCall)
{
  const std::uint64_t from = Number(aCall.Query("from"));
  const ms wait(Number(aCall.Query("wait-ms")));
  const std::string topic = aCall.Query("topic");
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, wait, [&] { return mTopics[topic].size() > from; });
  const std::vector<record>& records = mTopics[topic];
  if (from > records.size()) {
    return Json("410 Gone", { { "first", 0 } });
  }
  std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (std::size_t offset = from; offset < records.size(); ++offset) {
    const record& one = records[offset];
    const std::string content = BigEndian(one.mKey.size(), 1) + one.mKey + one.mValue;
    body += BigEndian(content.size(), 4) + content;
  }
  return Whole("HTTP/1.1 200 OK", kEra + "Content-Type: application/octet-stream\r\n", body);
}

std::string
store::Append(const message& aCall)
{
  const std::string topic = aCall.Query("topic");
  if (topic == "keyed.servers") {
    return Json("403 Forbidden", nlohmann::json::object());
  }
  const std::lock_guard lock(mMutex);
  std::vector<record>& records = mTopics[topic];
  const std::string at = aCall.Query("at");
  if (!at.empty() && Number(at) != records.size()) {
    return Json("412 Precondition Failed", { { "end", records.size() } });
  }
  const std::size_t first = records.size();
  std::string_view rest = aCall.mBody;
  while (rest.size() > 4) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      length = length << 8U | static_cast<unsigned char>(rest[i]);
    }
    const std::string_view content = rest.substr(4, length);
    rest.remove_prefix(std::min(rest.size(), 4 + length));
    const auto keyLength = static_cast<unsigned char>(content.empty() ? 0 : content[0]);
    records.push_back(
      { std::string(content.substr(1, keyLength)),
        std::string(content.substr(std::min<std::size_t>(content.size(), 1U + keyLength))) });
  }
  mChanged.notify_all();
  return Json("200 OK", { { "offset", first }, { "end", records.size() } });
}

} // namespace stage
