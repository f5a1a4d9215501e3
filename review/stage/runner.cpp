/**
 * @file runner.cpp
 * Answers of runners.
 */
#include "runner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <sys/socket.h>
#include <thread>

namespace stage {

namespace {

using nlohmann::json;

constexpr ms kIdleTime{ 30000 };
constexpr int kTokensPerEvent = 64;
/** Time of an event while few run: 64 steps of 0.6 ms and a bit. */
constexpr ms kEventTime{ 45 };
constexpr double kPromptTokensPerMs = 55.5;
constexpr std::int64_t kHandleMs = 500;
constexpr ms kStageSwitch{ 6000 };
/** A machine's link carries 1,000 Mbit/s; a runner in trouble sends at a third of that. */
constexpr std::size_t kFastPiece = 400000;
constexpr ms kFastPause{ 10 };
constexpr std::size_t kSlowPiece = 1000;
constexpr ms kSlowPause{ 50 };
/** Answers in a hundred that a runner in trouble spoils. */
constexpr std::size_t kSpoiltOfHundred = 2;
/** Bytes that are no answer: no answer of a runner lacks the request's id and the signature. */
const std::string kNoAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

int
NumberAt(const std::string& aText, std::size_t aIndex)
{
  const std::size_t comma = aText.find(',');
  const std::string part = aIndex == 0 ? aText.substr(0, comma) : aText.substr(comma + 1);
  return comma == std::string::npos && aIndex > 0 ? 0 : std::atoi(part.c_str());
}

} // namespace

void
sightings::Note(const std::string& aRequest, sighting aSeen)
{
  mRecord.Line((aSeen.mRan ? "ran " : "reached ") + aRequest + " at " + aSeen.mRunner +
               (aSeen.mSound ? "" : ", which is in trouble"));
  const std::lock_guard lock(mMutex);
  mSightings[aRequest].push_back(std::move(aSeen));
}

std::vector<sighting>
sightings::Of(const std::string& aRequest) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mSightings.find(aRequest);
  return found == mSightings.end() ? std::vector<sighting>{} : found->second;
}

std::size_t
sightings::Size() const
{
  const std::lock_guard lock(mMutex);
  return mSightings.size();
}

runner::runner(store& aStore, sightings& aSeen, const std::string& aHost, runner_setup aSetup)
  : mStore(aStore)
  , mSeen(aSeen)
  , mSetup(std::move(aSetup))
{
  const int listener = Listen(aHost, 0);
  mAddress = aHost + ":" + std::to_string(PortOf(listener));
  List();
  std::thread([this, listener] { Accept(listener); }).detach();
}

void
runner::List()
{
  json entry{ { "service", mSetup.mService }, { "address", mAddress },
              { "zone", mSetup.mZone },       { "version", "1.0" },
              { "slots", mSetup.mSlots },     { "state", mDraining ? "draining" : "ready" },
              { "cold-remaining-ms", 0 },     { "sequence", mOrders } };
  if (!mSetup.mStage.empty()) {
    entry["stage"] = mSetup.mStage;
    entry["models"] =
      json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } });
  }
  mStore.Put("keyed.servers", mSetup.mId, entry.dump());
}

void
runner::Drain()
{
  mDraining = true;
  List();
}

void
runner::Accept(int aListener)
{
  for (;;) {
    const int handle = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle >= 0) {
      const auto caller = std::make_shared<connection>(handle);
      std::thread([this, caller] { Serve(caller); }).detach();
    }
  }
}

void
runner::Serve(std::shared_ptr<connection> aCaller)
{
  message call;
  while (aCaller->ReadHead(call, steady::now() + kIdleTime) &&
         aCaller->ReadBody(call, steady::now() + kIdleTime, false)) {
    if (!Answer(*aCaller, call)) {
      return;
    }
  }
}

bool
runner::Write(connection& aCaller, const std::string& aText)
{
  return aCaller.Write(aText, steady::now() + kIdleTime);
}

void
runner::Note(const message& aCall, bool aRan)
{
  mSeen.Note(aCall.Field("X-Request-Id"),
             { mSetup.mId, mTrouble == trouble::eNone, aRan, NowMs() });
}

std::string
runner::Own(const message& aCall) const
{
  return "X-Request-Id: " + aCall.Field("X-Request-Id") + "\r\nX-Server-Stamp: " + mSetup.mId +
         ".0.1\r\n" + Leaving();
}

bool
runner::NotRun(connection& aCaller, const std::string& aStatus)
{
  return Write(aCaller,
               Whole("HTTP/1.1 " + aStatus, "X-Not-Executed: 1\r\n" + Leaving(), std::string()));
}

bool
runner::SendWithoutEnd(connection& aCaller, const std::string& aFields)
{
  const bool chunked = mTrouble == trouble::eEndlessChunk;
  const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n" : "";
  const std::string line = chunked ? "320;" : "";
  if (!Write(aCaller, "HTTP/1.1 200 OK\r\n" + aFields + framing + "\r\n" + line)) {
    return false;
  }
  const bool slow = mTrouble == trouble::eEndlessSlow;
  const std::string piece(slow ? kSlowPiece : kFastPiece, 'x');
  while (Write(aCaller, piece)) {
    if (aCaller.ClosedWithin(slow ? kSlowPause : kFastPause)) {
      break;
    }
  }
  return false;
}

bool
runner::Answer(connection& aCaller, const message& aCall)
{
  const std::string id = aCall.Field("X-Request-Id");
  const std::string path = aCall.Path();
  const std::string expected = aCall.Field("X-Expect-Instance");
  if (!expected.empty() && expected != mSetup.mId) {
    return Write(aCaller, Whole("HTTP/1.1 421 Misdirected", "X-Not-Executed: 1\r\n", ""));
  }
  if (id.empty()) {
    return AnswerSideCall(aCaller, aCall);
  }
  if (mTrouble != trouble::eNone && mTrouble != trouble::eNoAnswer) {
    Note(aCall, aCall.Field("X-Stage") != "prefill");
    return SendWithoutEnd(aCaller, Own(aCall));
  }
  if (mSetup.mStage.empty()) {
    return RunPlain(aCaller, aCall);
  }
  {
    const std::lock_guard lock(mMutex);
    if (mSwitching) {
      return NotRun(aCaller, "503 Switching");
    }
  }
  if (aCall.Field("X-Stage") == "prefill") {
    return mSetup.mStage == "prefill" ? Prefill(aCaller, aCall)
                                      : NotRun(aCaller, "421 Wrong Stage");
  }
  return mSetup.mStage == "decode" ? Generate(aCaller, aCall) : NotRun(aCaller, "421 Wrong Stage");
}

bool
runner::AnswerSideCall(connection& aCaller, const message& aCall)
{
  const std::string path = aCall.Path();
  if (mTrouble == trouble::eEndlessFast || mTrouble == trouble::eEndlessSlow) {
    return SendWithoutEnd(aCaller, Leaving());
  }
  if (path == "/order") {
    return AnswerOrder(aCaller, aCall);
  }
  const std::lock_guard lock(mMutex);
  if (path == "/hold-take") {
    const json body = json::parse(aCall.mBody, nullptr, false);
    const int tokens = body.value("tokens", 0);
    std::erase_if(mHolds, [&](const auto& aHold) {
      const bool over = aHold.second.second <= NowMs();
      mUsed -= over ? aHold.second.first : 0;
      return over;
    });
    if (mSetup.mStage != "decode" || mUsed + tokens > mSetup.mTokens) {
      return Write(aCaller, Whole("HTTP/1.1 503 Full", Leaving(), "{}"));
    }
    const std::string hold = mSetup.mId + "-hold-" + std::to_string(++mNumber);
    mHolds[hold] = { tokens, NowMs() + body.value("ttl_ms", 1000) };
    mUsed += tokens;
    return Write(aCaller, Whole("HTTP/1.1 200 OK", Leaving(), json{ { "hold", hold } }.dump()));
  }
  if (path.starts_with("/hold-drop/")) {
    const auto hold = mHolds.find(path.substr(11));
    if (hold != mHolds.end()) {
      mUsed -= hold->second.first;
      mHolds.erase(hold);
    }
    return Write(aCaller, Whole("HTTP/1.1 200 OK", Leaving(), "{}"));
  }
  if (path.starts_with("/kv-handle/")) {
    mHandles.erase(path.substr(11));
    return Write(aCaller, Whole("HTTP/1.1 200 OK", Leaving(), "{}"));
  }
  return Write(aCaller, Whole("HTTP/1.1 404 Not Found", Leaving(), "{}"));
}

bool
runner::AnswerOrder(connection& aCaller, const message& aCall)
{
  const json body = json::parse(aCall.mBody, nullptr, false);
  std::unique_lock lock(mMutex);
  const auto status = [&]() -> std::string {
    if (!body.is_object() || !body.contains("holder") || !body.contains("fence")) {
      return "400 Bad Request";
    }
    const auto fence = body.value("fence", std::uint64_t{ 0 });
    if (fence < mFence) {
      return "412 Fenced";
    }
    mFence = fence;
    if (body.value("stage", "") == mSetup.mStage && !mSwitching) {
      return "200 OK";
    }
    if (mSwitching || body.value("expected", mOrders) != mOrders) {
      return "409 Conflict";
    }
    return "202 Accepted";
  }();
  if (status.starts_with("202")) {
    ++mOrders;
    mSwitching = true;
    const std::string wanted = body.value("stage", "");
    std::thread([this, wanted] {
      std::this_thread::sleep_for(kStageSwitch);
      {
        const std::lock_guard inner(mMutex);
        mSetup.mStage = wanted;
        mSwitching = false;
      }
      List();
    }).detach();
  }
  lock.unlock();
  return Write(aCaller, Whole("HTTP/1.1 " + status, Leaving(), "{}"));
}

bool
runner::TakeSlot(connection& aCaller)
{
  std::unique_lock lock(mMutex);
  if (mBusy >= mSetup.mSlots && mWaiting >= mSetup.mQueue) {
    return false;
  }
  ++mWaiting;
  const instant until = steady::now() + ms(1000);
  while (mBusy >= mSetup.mSlots && steady::now() < until) {
    mSlotFree.wait_for(lock, ms(20));
    if (aCaller.ClosedWithin(ms(0))) {
      break;
    }
  }
  --mWaiting;
  if (mBusy >= mSetup.mSlots) {
    return false;
  }
  ++mBusy;
  return true;
}

void
runner::GiveSlot()
{
  const std::lock_guard lock(mMutex);
  --mBusy;
  mSlotFree.notify_one();
}

bool
runner::RunPlain(connection& aCaller, const message& aCall)
{
  if (!TakeSlot(aCaller)) {
    Note(aCall, false);
    return NotRun(aCaller, "503 Full");
  }
  Note(aCall, true);
  const std::string id = aCall.Field("X-Request-Id");
  const ms work(40 + std::hash<std::string>{}(id) % 40);
  const bool left = aCaller.ClosedWithin(work);
  GiveSlot();
  if (left) {
    return false;
  }
  if (mTrouble == trouble::eNoAnswer &&
      std::hash<std::string>{}(id) / 64 % 100 < kSpoiltOfHundred) {
    return Write(aCaller, kNoAnswer);
  }
  std::string body = "answer to " + id + " ";
  body.resize(800, '.');
  return Write(aCaller, Whole("HTTP/1.1 200 OK", Own(aCall), body));
}

bool
runner::Prefill(connection& aCaller, const message& aCall)
{
  Note(aCall, false);
  const int tokens = NumberAt(aCall.Field("X-Token-Counts"), 0);
  const ms time(static_cast<int>(tokens / kPromptTokensPerMs) * mSlower + 3);
  bool left = false;
  {
    const std::lock_guard reads(mReading);
    left = aCaller.ClosedWithin(time);
  }
  if (left) {
    return false;
  }
  std::string handle;
  {
    const std::lock_guard lock(mMutex);
    handle = mSetup.mId + "-kv-" + std::to_string(++mNumber);
    mHandles[handle] = NowMs() + kHandleMs;
  }
  const json body{ { "kv-handle", handle }, { "tokens", tokens }, { "version", 1 } };
  return Write(
    aCaller,
    Whole("HTTP/1.1 200 OK", Own(aCall) + "Content-Type: application/json\r\n", body.dump()));
}

bool
runner::Generate(connection& aCaller, const message& aCall)
{
  const std::string counts = aCall.Field("X-Token-Counts");
  const int events = std::max(1, NumberAt(counts, 1) / kTokensPerEvent);
  {
    const std::lock_guard lock(mMutex);
    const auto hold = mHolds.find(aCall.Field("Hold"));
    if (hold != mHolds.end()) {
      mUsed -= hold->second.first;
      mHolds.erase(hold);
    }
  }
  if (!TakeSlot(aCaller)) {
    Note(aCall, false);
    return NotRun(aCaller, "503 Full");
  }
  const bool reads = aCall.Field("Kv-From").empty();
  const int tokens = NumberAt(counts, 0);
  const ms before(reads ? static_cast<int>(2 * tokens / kPromptTokensPerMs) : 5);
  bool open = !aCaller.ClosedWithin(before);
  Note(aCall, true);
  const std::string last = aCall.Field("Last-Event-Id");
  int event = last.empty() ? 0 : std::atoi(last.c_str()) + 1;
  open = open && Write(aCaller,
                       "HTTP/1.1 200 OK\r\n" + Own(aCall) +
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (; open && event < events; ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: piece " +
                             std::to_string(event) + " of " + aCall.Field("X-Request-Id") + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    open = Write(aCaller, size + text + "\r\n") && !aCaller.ClosedWithin(kEventTime);
  }
  GiveSlot();
  return open && Write(aCaller, "0\r\n\r\n");
}

} // namespace stage
