/**
 * @file fleet.cpp
 * Stand-in of the users' platform: the store of configuration, runners and terms, and any number of
 * runners, in one process. A test sets faults over the control address, and reads what runners saw.
 * Control calls: POST /control/config, /control/server?id=, /control/store, /control/runner?id=,
 * /control/crash?id=, /control/view (another address of the store, where runners are listed at
 * other addresses, as from the body's "addresses"); GET /control/seen, /control/holds,
 * /control/terms, /control/endless, /control/crashes, /control/birth?id=.
 */
#include "core/text_func.h"
#include "standins/common/standin.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>

#include <deque>
#include <map>
#include <set>

using nlohmann::json;

namespace dunehook {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::uint64_t kTokensPerEvent = 64;
/** Bytes of a request's body that are noted for the test. */
constexpr std::size_t kNotedBytes = 65536;
/** Bytes of a body and of a head that begin, and go no further. */
constexpr std::size_t kBegunBytes = 60000;
constexpr std::size_t kBegunHeadBytes = 7000;
/** Size of the pieces of an answer without an end. */
constexpr std::size_t kFillerBytes = 64000;
/** Time after which a runner resets late. */
constexpr duration kLateReset = std::chrono::milliseconds(50);
/** Heads are cut off this many bytes later from one request to the next. */
constexpr std::size_t kCutStep = 7;
/** Time that a slow store takes more for each call, unless a test sets another. */
constexpr duration kSlowStore = std::chrono::milliseconds(10);
/** Largest page of a read that names no size of its own; KB of 1,024 bytes. */
constexpr std::size_t kPageKb = 1024;
/** Most records of a page of the newest. */
constexpr std::size_t kPageItems = 500;
/** Time between looks whether a held read goes on. */
constexpr duration kLookAtMode = std::chrono::milliseconds(5);
/** Time from the begin of a run that crashes its runner to the crash. */
constexpr duration kCrashAfter = std::chrono::milliseconds(40);

std::string
BigEndian(std::uint64_t aNumber, std::size_t aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes; ++i) {
    text.push_back(static_cast<char>((aNumber >> (8 * (aBytes - 1 - i))) & 0xFFU));
  }
  return text;
}

/** @return a text in quotes; bytes that are no UTF-8 stay as they are. */
std::string
Quoted(const std::string& aText)
{
  try {
    return json(aText).dump();
  } catch (const json::exception&) {
    return Join("\"", aText, "\"");
  }
}

/** @return the value of a query with its escapes resolved. */
std::string
Unescaped(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      text += aText[at];
    }
  }
  return text;
}

/** A topic with keys. */
struct topic
{
  struct record
  {
    std::string mKey;   ///< Its key.
    std::string mValue; ///< Empty if the key was removed.
  };
  std::vector<record> mRecords; ///< By offset.

  void Append(const std::string& aKey, const std::string& aValue)
  {
    mRecords.push_back({ aKey, aValue });
  }

  /** @return the newest records after a key, as JSON; keys stand there as they were written. */
  std::string Newest(const std::string& aAfter, std::size_t aMost) const
  {
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < mRecords.size(); ++offset) {
      newest[mRecords[offset].mKey] = offset;
    }
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, offset] : newest) {
      if (mRecords[offset].mValue.empty() || (!aAfter.empty() && key <= aAfter)) {
        continue;
      }
      if (++count > aMost) {
        more = true;
        break;
      }
      items += Join(items.empty() ? "" : ",", R"({"key":)", Quoted(key));
      items += Join(R"(,"value":")", absl::Base64Escape(mRecords[offset].mValue), "\"");
      items += Join(R"(,"offset":)", offset, "}");
    }
    const std::string last = Join(R"(],"more":)", more ? "true" : "false", R"(,"end":)");
    return Join(R"({"items":[)", items, last, mRecords.size(), "}");
  }

  /** @return the newest value of a key; empty if it has none. */
  std::string Last(const std::string& aKey) const
  {
    for (auto one = mRecords.rbegin(); one != mRecords.rend(); ++one) {
      if (one->mKey == aKey) {
        return one->mValue;
      }
    }
    return {};
  }

  /** @return whole records from an offset on, as many as @p aMost bytes hold, and at least one. */
  std::string ReadFrom(std::size_t aFrom, std::size_t aMost) const
  {
    std::string out = BigEndian(mRecords.size(), kOffsetBytes) + BigEndian(0, kOffsetBytes);
    for (std::size_t offset = aFrom; offset < mRecords.size(); ++offset) {
      const record& one = mRecords[offset];
      const std::string content = BigEndian(one.mKey.size(), 1) + one.mKey + one.mValue;
      if (offset > aFrom && out.size() + content.size() > aMost) {
        break;
      }
      out += BigEndian(content.size(), kLengthBytes) + content;
    }
    return out;
  }
};

/** A runner. */
struct fake_runner
{
  std::string mId;                       ///< Id of its life.
  std::string mMode;                     ///< Fault; empty if it's well.
  int mFaults = -1;                      ///< Requests that the fault still hits; -1: all.
  int mStepMs = 10;                      ///< Time between events.
  std::string mRole;                     ///< "prefill", "decode", or empty.
  std::int64_t mFree = 0;                ///< Tokens that may be reserved.
  tcp::acceptor mAcceptor;               ///< Where it listens.
  std::map<std::string, instant> mHolds; ///< Reserved and not used: when they lapse.
  int mOpenRuns = 0;                     ///< Requests that it works on.
  bool mLeaves = false;                  ///< It says in all its answers that it leaves.
  std::string mRetryAfter;               ///< Seconds that it adds to a 503; empty for none.
  std::string mCrashesOn;                ///< Requests with this in path or body crash it; or empty.
  bool mCrashesReading = false;          ///< It crashes on them also where it only reads them.
  duration mDownFor{ 0 };                ///< Time from a crash to its next life.
  bool mDown = false;                    ///< It crashed and isn't back.
  bool mKeepsId = false;                 ///< Its next lives have its id, and tell their birth.
  int mLives = 1;                        ///< Lives so far; all but the first have ids of their own.
  std::int64_t mBorn = 0;                ///< Unix ms of its last rebirth under its id; 0 if none.
  std::string mName;                     ///< Id of its first life.
  std::set<tcp::socket*> mSockets;       ///< Open connections.
  std::string mLimit{};                  ///< Limit that all its answers name; empty for none.
  std::string mFraming{};                ///< "length", "chunks" or "none"; empty for the usual one.
  std::vector<std::string> mEvents{};    ///< What each generation streams; empty for numbered ones.
  std::string mBody{};                   ///< Body of plain answers; empty for the usual one.
  std::int64_t mCutAt = -1;              ///< Bytes of a body after which it's cut off; -1: never.
  bool mCutByReset = false;              ///< A cut resets the connection; else it just closes.
  bool mCutsOnce = false;                ///< Only the first answer to a request is cut.
  std::vector<std::string> mCrashesOnParts{}; ///< Prompts with one of them, not the last, crash it.
  std::string mResumedFraming{}; ///< Framing of streams that go on; empty for mFraming.
  std::string mRaw{};            ///< Bytes that a raw answer consists of, see WriteRaw().
  std::string mRawEnd{};         ///< How its connection ends, see WriteRaw().
  duration mRawAfter{ 0 };       ///< Time from the last of its bytes to that end.
};

/** The stand-in. */
class fleet
{
public:
  explicit fleet(asio::io_context& aIo)
    : mIo(aIo)
    , mChanged(aIo)
  {
  }

  asio::awaitable<void> Serve(exchange_ptr aExchange)
  {
    static const address_view sNoView;
    co_await ServeAs(std::move(aExchange), sNoView);
  }

private:
  /** Addresses to list in place of others. */
  using address_view = std::map<std::string, std::string>;

  /** @return a topic as a daemon with a view sees it. */
  static topic Viewed(const topic& aTopic, const address_view& aView)
  {
    topic viewed = aTopic;
    for (topic::record& record : viewed.mRecords) {
      for (const auto& [from, to] : aView) {
        const std::string quoted = Join("\"", from, "\"");
        if (const std::size_t at = record.mValue.find(quoted); at != std::string::npos) {
          record.mValue.replace(at, quoted.size(), Join("\"", to, "\""));
        }
      }
    }
    return viewed;
  }

  /** Opens another address of the store. @return it. */
  json OpenView(const json& aBody)
  {
    const auto view =
      std::make_shared<const address_view>(aBody.at("addresses").get<address_view>());
    auto listener =
      http_listener::Open(mIo, { "127.0.0.1", 0 }, {}, [this, view](exchange_ptr aExchange) {
        return ServeAs(std::move(aExchange), *view);
      });
    mViews.push_back(std::move(listener.value()));
    return { { "address", ToText(mViews.back()->Address()) } };
  }

  asio::awaitable<void> ServeAs(exchange_ptr aExchange, const address_view& aView)
  {
    const std::string path(aExchange->Path());
    if (path.substr(0, 9) == "/control/") {
      co_await ServeControl(aExchange, path.substr(9));
      co_return;
    }
    ++mStoreCalls;
    const header_list noHeaders;
    const header_list era = Era();
    if (mStoreMode == "silent") {
      co_await Sleep(std::chrono::seconds(60));
    }
    if (mStoreMode == "slow") {
      co_await Sleep(mSlowStore);
    }
    if (mStoreMode == "endless") {
      co_await RespondWithoutEnd(aExchange);
      co_return;
    }
    if (mStoreMode == "busy") {
      co_await aExchange->Respond(503, "{}", era);
      co_return;
    }
    const std::string name = aExchange->Query("topic");
    topic& wanted = mTopics[name];
    if (name == "keyed.servers") {
      co_await HoldRead();
    }
    if (path == "/log-newest") {
      if (name == "keyed.dunehook-quarantine") {
        ++mQuarantineReads;
      } else if (name != "keyed.dunehook-software") {
        ++mWholeReads;
      }
      if (mStoreMode == "lose_whole") {
        mStoreMode.clear();
        co_await Sleep(std::chrono::seconds(60));
      }
      if (mStoreMode == "stall_whole") {
        mStoreMode.clear();
        co_await aExchange->StartStream(200, noHeaders, "application/json");
        co_await aExchange->Write("{\"items\":[");
        co_await Sleep(std::chrono::seconds(60));
      }
      const std::string after = Unescaped(aExchange->Query("after"));
      const std::string body = Viewed(wanted, aView).Newest(after, mPageItems);
      co_await aExchange->Respond(200, body, era);
    } else if (path == "/log-read") {
      co_await ServeRead(aExchange, wanted, aView);
    } else if (path == "/log-append") {
      co_await ServeAppend(aExchange, wanted);
    } else {
      co_await aExchange->Respond(404, "{}", era);
    }
  }

  /** Sends an answer of the store that goes on until the caller closes. */
  asio::awaitable<void> RespondWithoutEnd(exchange_ptr aExchange)
  {
    const header_list noHeaders;
    const std::string filler(kFillerBytes, 'x');
    ++mEndless;
    bool open = co_await aExchange->StartStream(200, noHeaders, "application/json");
    while (open) {
      open = co_await aExchange->Write(filler);
    }
    --mEndless;
  }

  /** Holds a read of the runners while a test wants it held. */
  asio::awaitable<void> HoldRead()
  {
    ++mHeldReads;
    while (mStoreMode == "hold_runners") {
      co_await Sleep(kLookAtMode);
    }
    --mHeldReads;
  }

  /** @return the head of all the store's answers. */
  header_list Era() const { return { { "Store-Era", std::to_string(mEra) } }; }

  /** Lets the store come back from a copy that lacks the newest records of some topics; a
   * configuration is there by then, if one is given. */
  void GoBack(const json& aBody)
  {
    ++mEra;
    for (const auto& [name, count] : aBody.at("lacks").items()) {
      std::vector<topic::record>& records = mTopics[name].mRecords;
      records.resize(records.size() - std::min(records.size(), count.get<std::size_t>()));
    }
    if (aBody.contains("config")) {
      mTopics["keyed.op"].Append("config", aBody["config"].get<std::string>());
    }
    mChanged.Notify(); // Reads that wait for what won't come are answered.
  }

  asio::awaitable<void> ServeRead(exchange_ptr aExchange, topic& aTopic, const address_view& aView)
  {
    const std::size_t from = std::stoul("0" + aExchange->Query("from"));
    const int wait = std::stoi("0" + aExchange->Query("wait-ms"));
    const instant until = boot_clock_source{}.Now() + std::chrono::milliseconds(wait);
    const bool waits = aTopic.mRecords.size() <= from && wait > 0;
    const std::uint64_t era = mEra;
    // A deaf store doesn't notice what a read waits for before its time is over.
    const auto there = [&] { return aTopic.mRecords.size() > from && mStoreMode != "deaf"; };
    while (!there() && era == mEra && boot_clock_source{}.Now() < until) {
      co_await mChanged.Wait(until - boot_clock_source{}.Now());
    }
    if (waits && mStoreMode == "slow") {
      co_await Sleep(mSlowStore); // What a read waited for is late as any other answer.
    }
    if (mStoreMode == "lose_one" && aTopic.mRecords.size() > from) {
      mStoreMode.clear();
      co_await Sleep(std::chrono::seconds(60));
    }
    if (mStoreMode == "forgetful" || aTopic.mRecords.size() < from) {
      const std::string first = json{ { "first", aTopic.mRecords.size() } }.dump();
      const header_list head = Era();
      co_await aExchange->Respond(410, first, head);
      co_return;
    }
    const std::string most = aExchange->Query("max_kb");
    const std::size_t page = most.empty() ? kPageKb : std::stoul(most);
    const std::string body = Viewed(aTopic, aView).ReadFrom(from, page * 1024);
    const header_list head = Era();
    co_await aExchange->Respond(200, body, head, "application/octet-stream");
  }

  asio::awaitable<void> ServeAppend(exchange_ptr aExchange, topic& aTopic)
  {
    const std::string at = aExchange->Query("at");
    if (!at.empty() && std::stoul(at) != aTopic.mRecords.size()) {
      const std::string body = json{ { "end", aTopic.mRecords.size() } }.dump();
      const header_list head = Era();
      co_await aExchange->Respond(412, body, head);
      co_return;
    }
    const std::string content = aExchange->Body().substr(kLengthBytes);
    const std::size_t keyLength = static_cast<unsigned char>(content.at(0));
    const std::size_t offset = aTopic.mRecords.size();
    aTopic.Append(content.substr(1, keyLength), content.substr(1 + keyLength));
    const std::string body = json{ { "offset", offset }, { "end", offset + 1 } }.dump();
    const header_list head = Era();
    co_await aExchange->Respond(200, body, head);
  }

  asio::awaitable<void> ServeControl(exchange_ptr aExchange, std::string aWhat)
  {
    const std::string id = Unescaped(aExchange->Query("id"));
    const json body = BodyOf(*aExchange);
    json answer = json::object();
    if (aWhat == "config") {
      mTopics["keyed.op"].Append("config", aExchange->Body());
      mChanged.Notify();
    } else if (aWhat == "server") {
      const bool leaves = aExchange->Body() == "{}";
      mTopics["keyed.servers"].Append(id, leaves ? "" : aExchange->Body());
    } else if (aWhat == "go_back") {
      GoBack(body);
    } else if (aWhat == "store") {
      mStoreMode = body.value("mode", "");
      mPageItems = body.value("page_items", kPageItems);
      mSlowStore = std::chrono::milliseconds(body.value("slow_ms", kSlowStore.count() / 1000));
    } else if (aWhat == "runner") {
      answer = SetRunner(id, body);
    } else if (aWhat == "view") {
      answer = OpenView(body);
    } else if (aWhat == "crash") {
      Crash(mRunners.at(id), "");
    } else if (aWhat == "endless") {
      answer["open"] = mEndless;
    } else if (aWhat == "crashes") {
      answer["crashes"] = mCrashes;
    } else if (aWhat == "birth") {
      answer["born"] = mRunners.at(id)->mBorn;
    } else if (aWhat == "seen") {
      answer["seen"] = mSeen;
      answer["store_calls"] = mStoreCalls;
      answer["whole_reads"] = mWholeReads;
      answer["quarantine_reads"] = mQuarantineReads;
      answer["held_reads"] = mHeldReads;
    } else if (aWhat == "holds") {
      for (const auto& [name, runner] : mRunners) {
        const instant now = boot_clock_source{}.Now();
        std::erase_if(runner->mHolds, [&](const auto& aHold) { return aHold.second <= now; });
        answer[name] = { { "holds", runner->mHolds.size() }, { "runs", runner->mOpenRuns } };
      }
    } else if (aWhat == "terms") {
      answer["terms"] = mTopics["keyed.dunehook"].mRecords.size();
    }
    const std::string text = answer.dump();
    co_await aExchange->Respond(200, text);
  }

  /** Starts a runner, or sets its faults. @return its address. */
  json SetRunner(const std::string& aId, const json& aBody)
  {
    auto found = mRunners.find(aId);
    if (found == mRunners.end()) {
      const endpoint any{ "127.0.0.1", static_cast<std::uint16_t>(aBody.value("port", 0)) };
      auto acceptor = OpenAcceptor(mIo, any);
      auto runner = std::make_shared<fake_runner>(fake_runner{ aId,
                                                               "",
                                                               -1,
                                                               10,
                                                               aBody.value("role", ""),
                                                               aBody.value("free", 100000),
                                                               std::move(acceptor.value()),
                                                               {},
                                                               0,
                                                               false,
                                                               "",
                                                               "",
                                                               false,
                                                               duration{ 0 },
                                                               false,
                                                               false,
                                                               1,
                                                               0,
                                                               aId,
                                                               {} });
      found = mRunners.emplace(aId, runner).first;
      Spawn(mIo, Accept(runner));
    }
    fake_runner& runner = *found->second;
    runner.mMode = aBody.value("mode", "");
    runner.mFaults = aBody.value("faults", -1);
    runner.mStepMs = aBody.value("step_ms", runner.mStepMs);
    runner.mFree = aBody.value("free", runner.mFree);
    runner.mLeaves = aBody.value("leaves", false);
    runner.mRetryAfter = aBody.value("retry_after", "");
    runner.mLimit = aBody.value("limit", runner.mLimit);
    runner.mFraming = aBody.value("framing", runner.mFraming);
    runner.mEvents = aBody.value("events", runner.mEvents);
    runner.mBody = aBody.value("body", runner.mBody);
    runner.mCutAt = aBody.value("cut_at", runner.mCutAt);
    runner.mCutByReset = aBody.value("cut_by", "") == "reset";
    runner.mCutsOnce = aBody.value("cuts_once", false);
    runner.mResumedFraming = aBody.value("resumed_framing", "");
    runner.mRaw = aBody.value("raw", "");
    runner.mRawEnd = aBody.value("raw_end", "");
    runner.mRawAfter = std::chrono::milliseconds(aBody.value("raw_after_ms", 0));
    if (aBody.contains("receive_bytes")) { // Connections take it over from the listening socket.
      runner.mAcceptor.set_option(
        asio::socket_base::receive_buffer_size(aBody["receive_bytes"].get<int>()));
    }
    runner.mCrashesReading = aBody.value("crashes_reading", runner.mCrashesReading);
    runner.mKeepsId = aBody.value("keeps_id", runner.mKeepsId);
    runner.mCrashesOn = aBody.value("crashes_on", runner.mCrashesOn);
    runner.mCrashesOnParts = aBody.value("crashes_on_parts", runner.mCrashesOnParts);
    runner.mDownFor =
      std::chrono::milliseconds(aBody.value("down_ms", runner.mDownFor.count() / 1000));
    if (aBody.value("reborn", false)) {
      runner.mHolds.clear();
    }
    return { { "address", ToText(AddressOf(runner.mAcceptor)) } };
  }

  asio::awaitable<void> Accept(std::shared_ptr<fake_runner> aRunner)
  {
    for (;;) {
      boost::system::error_code error;
      tcp::socket socket =
        co_await aRunner->mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return; // It crashed; its next life accepts anew.
      }
      Spawn(mIo, Session(aRunner, std::move(socket)));
    }
  }

  /** Ends a runner's life: its connections are reset, and its port refuses until the next one. */
  void Crash(const std::shared_ptr<fake_runner>& aRunner, const std::string& aBy)
  {
    if (aRunner->mDown) {
      return;
    }
    aRunner->mDown = true;
    aRunner->mHolds.clear();
    mCrashes.push_back({ { "runner", aRunner->mId },
                         { "by", aBy },
                         { "at_ms", boot_clock_source{}.Now().count() / 1000 } });
    const endpoint at = AddressOf(aRunner->mAcceptor);
    boost::system::error_code ignored; // The socket may be closed already.
    aRunner->mAcceptor.close(ignored);
    // Holds the port without listening: connections are refused, and nobody else is given it.
    tcp::socket held(mIo, tcp::v4());
    held.set_option(asio::socket_base::reuse_address(true), ignored);
    held.bind(tcp::endpoint(asio::ip::make_address(at.mAddress), at.mPort), ignored);
    for (tcp::socket* const socket : aRunner->mSockets) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    Spawn(mIo, Revive(aRunner, at, std::move(held)));
  }

  /** @return an entry that tells of a birth; empty if it isn't one. */
  static std::string WithBirth(const std::string& aEntry, std::int64_t aBorn)
  {
    json entry = json::parse(aEntry, nullptr, false);
    if (!entry.is_object()) {
      return {};
    }
    entry["born"] = aBorn;
    return entry.dump();
  }

  /** Begins a runner's next life at its address. */
  asio::awaitable<void> Revive(std::shared_ptr<fake_runner> aRunner,
                               endpoint aAt,
                               tcp::socket aHeld)
  {
    co_await Sleep(aRunner->mDownFor);
    aHeld.close();
    auto acceptor = OpenAcceptor(mIo, aAt);
    aRunner->mAcceptor = std::move(acceptor.value());
    const std::string former = aRunner->mId;
    topic& listed = mTopics["keyed.servers"];
    std::string entry = listed.Last(former);
    ++aRunner->mLives;
    if (aRunner->mKeepsId) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      aRunner->mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
      entry = WithBirth(entry, aRunner->mBorn);
    } else {
      aRunner->mId = Join(aRunner->mName, ".", aRunner->mLives);
      listed.Append(former, "");
    }
    if (!entry.empty()) { // It may have left for good meanwhile.
      listed.Append(aRunner->mId, entry);
    }
    mChanged.Notify();
    aRunner->mDown = false;
    Spawn(mIo, Accept(aRunner));
  }

  /** Crashes a runner a moment after a run has begun. */
  asio::awaitable<void> CrashSoon(std::shared_ptr<fake_runner> aRunner, std::string aBy)
  {
    const int life = aRunner->mLives;
    co_await Sleep(kCrashAfter);
    if (life == aRunner->mLives) {
      Crash(aRunner, aBy);
    }
  }

  asio::awaitable<void> Session(std::shared_ptr<fake_runner> aRunner, tcp::socket aSocket)
  {
    beast::tcp_stream stream(std::move(aSocket));
    beast::flat_buffer buffer;
    bool open = true;
    aRunner->mSockets.insert(&stream.socket());
    while (open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      boost::system::error_code error;
      co_await http::async_read_header(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
      if (!error && !AnswersUnread(*aRunner, parser.get())) {
        co_await http::async_read(
          stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
      }
      open = !error;
      if (open) {
        ++aRunner->mOpenRuns;
        open = co_await Answer(aRunner, stream, parser.get());
        --aRunner->mOpenRuns;
      }
    }
    aRunner->mSockets.erase(&stream.socket());
  }

  static asio::awaitable<bool> Write(beast::tcp_stream& aStream, std::string aText)
  {
    boost::system::error_code error;
    co_await asio::async_write(
      aStream, asio::buffer(aText), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
  }

  static std::string Whole(unsigned aStatus, const std::string& aHeaders, const std::string& aBody)
  {
    return Join("HTTP/1.1 ",
                aStatus,
                " X\r\n",
                aHeaders,
                "Content-Length: ",
                aBody.size(),
                "\r\n\r\n",
                aBody);
  }

  /** @return whether a runner answers a request before it has read the body. */
  static bool AnswersUnread(const fake_runner& aRunner,
                            const http::request<http::string_body>& aRequest)
  {
    return aRunner.mMode == "raw_unread" && aRequest.count("X-Request-Id") > 0;
  }

  /**
   * Sends a raw answer and ends its connection: by "close", which resets it where bytes of the
   * request aren't read, by "reset", by "half_close", which is followed by a close, or not at all.
   * @param aOwn fields that make a head the runner's own; they take the place of "{own}".
   * @return whether the connection goes on.
   */
  asio::awaitable<bool> WriteRaw(fake_runner& aRunner, beast::tcp_stream& aStream, std::string aOwn)
  {
    constexpr duration kHalfClosed = std::chrono::milliseconds(300);
    const std::string end = aRunner.mRawEnd;
    const duration after = aRunner.mRawAfter;
    const std::string text = absl::StrReplaceAll(aRunner.mRaw, { { "{own}", aOwn } });
    const bool open = co_await Write(aStream, text);
    co_await Sleep(after);
    boost::system::error_code ignored; // The caller may have closed it.
    if (end == "reset") {
      aStream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    } else if (end == "half_close") {
      aStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      co_await Sleep(kHalfClosed);
    }
    co_return open&& end.empty();
  }

  static std::string LeaveHeader(const fake_runner& aRunner)
  {
    return aRunner.mLeaves ? "Server-Leaving: 1\r\n" : "";
  }

  static std::string LimitHeader(const fake_runner& aRunner)
  {
    return aRunner.mLimit.empty() ? "" : Join("Server-Limit: ", aRunner.mLimit, "\r\n");
  }

  static std::string RetryHeader(const fake_runner& aRunner)
  {
    return aRunner.mRetryAfter.empty() ? "" : Join("Retry-After: ", aRunner.mRetryAfter, "\r\n");
  }

  /** Notes a request for the test. @return its number. */
  std::size_t Note(const fake_runner& aRunner, const http::request<http::string_body>& aRequest)
  {
    json headers = json::object();
    for (const auto& field : aRequest) {
      headers[std::string(field.name_string())] = std::string(field.value());
    }
    mSeen.push_back({ { "runner", aRunner.mId },
                      { "method", std::string(aRequest.method_string()) },
                      { "target", std::string(aRequest.target()) },
                      { "headers", headers },
                      { "body", aRequest.body().substr(0, kNotedBytes) },
                      { "run", false },
                      { "at_ms", boot_clock_source{}.Now().count() / 1000 } });
    return mSeen.size() - 1;
  }

  /** @return whether the connection goes on. */
  asio::awaitable<bool> Answer(std::shared_ptr<fake_runner> aOwner,
                               beast::tcp_stream& aStream,
                               const http::request<http::string_body>& aRequest)
  {
    fake_runner& aRunner = *aOwner;
    const std::size_t number = Note(aRunner, aRequest);
    const std::string target(aRequest.target());
    const std::string id(aRequest["X-Request-Id"]);
    const std::string own = Join("X-Request-Id: ",
                                 id,
                                 "\r\nX-Server-Stamp: stamp-",
                                 aRunner.mId,
                                 "\r\n",
                                 LeaveHeader(aRunner),
                                 LimitHeader(aRunner));
    std::string mode = aRunner.mFaults == 0 ? "" : aRunner.mMode;
    const bool isSideCall = id.empty();
    if (!mode.empty() && !isSideCall && aRunner.mFaults > 0) {
      --aRunner.mFaults;
    }
    if (isSideCall && target == "/hold-take" && SideBytes(mode)) {
      co_return co_await WriteWithoutEnd(aStream, *SideBytes(mode));
    }
    if (isSideCall && target == "/hold-take" && mode == "raw_hold") {
      co_return co_await WriteRaw(aRunner, aStream, std::string());
    }
    if (isSideCall) {
      const std::string text = SideAnswer(aRunner, aRequest, target);
      co_return co_await Write(aStream, text);
    }
    const std::string expected(aRequest["X-Expect-Instance"]);
    if (!expected.empty() && expected != aRunner.mId) {
      const std::string text =
        Whole(421, Join("X-Request-Id: ", id, "\r\nX-Instance-Id: ", aRunner.mId, "\r\n"), "");
      co_return co_await Write(aStream, text);
    }
    mSeen[number]["run"] = mode != "refuse";
    if (mode == "raw" || mode == "raw_unread") {
      co_return co_await WriteRaw(aRunner, aStream, own);
    }
    if (mode == "late_reset") {
      co_await Sleep(kLateReset);
    }
    if (mode == "reset" || mode == "late_reset") {
      aStream.socket().set_option(asio::socket_base::linger(true, 0));
      co_return false;
    }
    if (const std::optional<endless_bytes> endless = EndlessBytes(mode, own, id)) {
      co_return co_await WriteWithoutEnd(aStream, *endless);
    }
    if (mode == "cut_head" || mode == "cut_head_by_reset") {
      const std::string head = Join("HTTP/1.1 200 OK\r\n", own, "Content-Length: 4\r\n\r\n");
      const std::string start = head.substr(0, number * kCutStep % head.size());
      const bool open = co_await Write(aStream, start);
      if (open && mode != "cut_head") {
        aStream.socket().set_option(asio::socket_base::linger(true, 0));
      }
      co_return false;
    }
    if (mode == "bare") { // Bytes that look like a refusal, of a request that has run.
      const std::string text = Whole(503, "", "");
      co_return co_await Write(aStream, text);
    }
    if (mode == "hang") { // Until the connection closes.
      char rest = 0;
      boost::system::error_code closed;
      co_await aStream.socket().async_read_some(asio::buffer(&rest, 1),
                                                asio::redirect_error(asio::use_awaitable, closed));
      co_return false;
    }
    if (mode == "refuse") {
      const std::string text = Whole(503,
                                     Join("X-Not-Executed: 1\r\nX-Request-Id: ",
                                          id,
                                          "\r\n",
                                          LeaveHeader(aRunner),
                                          RetryHeader(aRunner),
                                          LimitHeader(aRunner)),
                                     "");
      co_return co_await Write(aStream, text);
    }
    const bool crashes = aRequest.body().find(aRunner.mCrashesOn) != std::string::npos ||
                         target.find(aRunner.mCrashesOn) != std::string::npos;
    const bool runs = aRequest["X-Stage"] != "prefill" || aRunner.mCrashesReading;
    if (!aRunner.mCrashesOn.empty() && crashes && runs) {
      Spawn(mIo, CrashSoon(aOwner, aRequest.body()));
    }
    for (const std::string& part : aRunner.mCrashesOnParts) {
      if (runs && HoldsPart(aRequest, part)) {
        Spawn(mIo, CrashSoon(aOwner, part));
      }
    }
    if (aRequest["X-Stage"] == "prefill") {
      if (aRunner.mCrashesReading && crashes) {
        co_await Sleep(2 * kCrashAfter);
      }
      const std::string body =
        json{ { "kv-handle", "h-" + id }, { "tokens", 1 }, { "version", 1 } }.dump();
      const std::string text = Whole(200, own, body);
      co_return co_await Write(aStream, text);
    }
    if (aRunner.mRole == "decode") {
      co_return co_await Generate(aRunner, aStream, aRequest, own, mode);
    }
    co_return co_await AnswerPlain(aRunner, aStream, aRequest, own, mode);
  }

  /** Bytes that are no answer and have no end. */
  struct endless_bytes
  {
    std::string mStart;   ///< What comes first.
    std::string mPiece;   ///< What comes again and again.
    duration mPause{ 0 }; ///< Pause after each piece.
  };

  /**
   * @param aOwn fields that make a head the runner's own.
   * @return what a runner sends in a mode in place of an answer; nothing if the mode is another
   * one.
   */
  static std::optional<endless_bytes> EndlessBytes(const std::string& aMode,
                                                   const std::string& aOwn,
                                                   const std::string& aRequest)
  {
    constexpr duration kSlowPause = std::chrono::milliseconds(50);
    constexpr duration kTrickle = std::chrono::seconds(1);
    constexpr std::size_t kLineBytes = 20000;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string body = Join(status, aOwn, "\r\n");
    const std::string chunks = Join(status, aOwn, "Transfer-Encoding: chunked\r\n\r\n");
    const std::string kilobyte(1000, 'x');
    const std::string filler(kFillerBytes, 'x');
    const std::string line = Join("X-Filler: ", kilobyte, "\r\n");
    std::string lines;
    for (int i = 0; i < 64; ++i) {
      lines += line;
    }
    const std::string oneLine = Chunk(std::string(kLineBytes, 'x'));
    const std::string dataLines = Chunk(Join("data: ", std::string(kLineBytes, 'x'), "\n"));
    const std::string begun(kBegunBytes, 'x');
    const std::map<std::string, endless_bytes> known{
      { "endless_head", { status, lines } },
      { "endless_body", { body, filler } },
      { "endless_unsigned", { Join(status, "X-Request-Id: ", aRequest, "\r\n\r\n"), filler } },
      { "endless_line", { Join(chunks, "5;a="), filler } },
      { "endless_trailer", { Join(chunks, "5\r\nxxxxx\r\n0\r\n"), lines } },
      { "slow_body", { body, kilobyte, kSlowPause } },
      { "slow_line", { Join(chunks, "5;a="), "x", kTrickle } },
      { "endless_event", { chunks, Chunk(filler) } },
      { "slow_event", { chunks, oneLine, kSlowPause } },
      { "slow_lines", { chunks, dataLines, kSlowPause } },
      { "begun_body", { Join(body, begun), "", kTrickle } },
      { "begun_head", { Join(status, begun.substr(0, kBegunHeadBytes)), "", kTrickle } },
    };
    const auto found = known.find(aMode);
    return found == known.end() ? std::nullopt : std::optional(found->second);
  }

  static std::string Chunk(const std::string& aBytes)
  {
    return Join(absl::Hex(aBytes.size()), "\r\n", aBytes, "\r\n");
  }

  /** @return the same for a reservation. */
  static std::optional<endless_bytes> SideBytes(const std::string& aMode)
  {
    if (aMode == "endless_hold" || aMode == "slow_hold") {
      return EndlessBytes(aMode == "endless_hold" ? "endless_body" : "slow_body", "", "");
    }
    return std::nullopt;
  }

  /** Sends bytes that are no answer until the caller closes. */
  asio::awaitable<bool> WriteWithoutEnd(beast::tcp_stream& aStream, endless_bytes aBytes)
  {
    bool open = co_await Write(aStream, aBytes.mStart);
    ++mEndless;
    while (open) {
      open = co_await Write(aStream, aBytes.mPiece);
      if (aBytes.mPause > duration{ 0 }) {
        co_await Sleep(aBytes.mPause);
      }
    }
    --mEndless;
    co_return false;
  }

  /** @return whether a prompt holds a part before its last one. */
  static bool HoldsPart(const http::request<http::string_body>& aRequest, const std::string& aPart)
  {
    const std::string parts(aRequest["X-Prefix-Hash"]);
    const std::size_t last = parts.rfind(',');
    return last != std::string::npos &&
           Join(",", parts.substr(0, last)).find(Join(",", aPart, ":")) != std::string::npos;
  }

  /** @return where the answer to a request is cut off; -1 if it isn't. */
  std::int64_t CutOf(const fake_runner& aRunner, const std::string& aRequest)
  {
    const bool first = mCutRequests.insert(aRequest).second;
    return first || !aRunner.mCutsOnce ? aRunner.mCutAt : -1;
  }

  static std::vector<std::string> NumberedEvents(std::uint64_t aCount)
  {
    std::vector<std::string> events;
    for (std::uint64_t number = 0; number < aCount; ++number) {
      events.push_back(Join("id: ", number, "\ndata: piece ", number, "\n\n"));
    }
    return events;
  }

  static std::string FramingHeader(const std::string& aFraming, std::size_t aLength)
  {
    if (aFraming == "none") {
      return "";
    }
    return aFraming == "chunks" ? "Transfer-Encoding: chunked\r\n"
                                : Join("Content-Length: ", aLength, "\r\n");
  }

  /**
   * Sends an answer in pieces, framed and cut off as the runner's faults say.
   * @param aFraming the usual framing.
   * @param aCutAt bytes of the body after which it's cut off; -1: never.
   * @return whether the connection goes on.
   */
  asio::awaitable<bool> SendPieces(fake_runner& aRunner,
                                   beast::tcp_stream& aStream,
                                   const http::request<http::string_body>& aRequest,
                                   std::string aHead,
                                   std::vector<std::string> aPieces,
                                   std::string aFraming,
                                   std::int64_t aCutAt)
  {
    std::string framing = aRunner.mFraming.empty() ? aFraming : aRunner.mFraming;
    if (aRequest.count("Last-Event-Id") > 0 && !aRunner.mResumedFraming.empty()) {
      framing = aRunner.mResumedFraming;
    }
    const bool chunked = framing == "chunks";
    std::size_t length = 0;
    for (const std::string& piece : aPieces) {
      length += piece.size();
    }
    bool open = co_await Write(aStream, Join(aHead, FramingHeader(framing, length), "\r\n"));
    std::size_t sent = 0;
    bool cut = false;
    for (std::size_t i = 0; open && !cut && i < aPieces.size(); ++i) {
      co_await Sleep(std::chrono::milliseconds(aRunner.mStepMs));
      const std::string& piece = aPieces[i];
      const std::size_t most = aCutAt < 0 ? piece.size() : static_cast<std::size_t>(aCutAt) - sent;
      cut = aCutAt >= 0 && most <= piece.size();
      const std::string some = piece.substr(0, most);
      sent += some.size();
      const std::string size = chunked ? Join(absl::Hex(piece.size()), "\r\n") : "";
      const std::string end = chunked && some.size() == piece.size() ? "\r\n" : "";
      open = some.empty() || co_await Write(aStream, Join(size, some, end));
    }
    if (cut && aRunner.mCutByReset) {
      aStream.socket().set_option(asio::socket_base::linger(true, 0));
    }
    if (cut || framing == "none") {
      co_return false;
    }
    co_return open && (!chunked || co_await Write(aStream, "0\r\n\r\n"));
  }

  asio::awaitable<bool> AnswerPlain(fake_runner& aRunner,
                                    beast::tcp_stream& aStream,
                                    const http::request<http::string_body>& aRequest,
                                    std::string aOwn,
                                    std::string aMode)
  {
    co_await Sleep(std::chrono::milliseconds(aRunner.mStepMs));
    const std::string body =
      Join("answer to ",
           std::string_view(aRequest["X-Request-Id"].data(), aRequest["X-Request-Id"].size()));
    const std::string id(aRequest["X-Request-Id"]);
    if (!aRunner.mFraming.empty() || aRunner.mCutAt >= 0) {
      const std::string status = aMode == "error" ? "500 X" : "200 OK";
      std::vector<std::string> pieces(1, aRunner.mBody.empty() ? body : aRunner.mBody);
      co_return co_await SendPieces(aRunner,
                                    aStream,
                                    aRequest,
                                    Join("HTTP/1.1 ", status, "\r\n", aOwn),
                                    std::move(pieces),
                                    "length",
                                    CutOf(aRunner, id));
    }
    if (aMode == "error") {
      const std::string text = Whole(500, aOwn, "own failure");
      co_return co_await Write(aStream, text);
    }
    if (aMode == "cut") {
      const std::string text =
        Join("HTTP/1.1 200 OK\r\n", aOwn, "Content-Length: 1000\r\n\r\nsome");
      co_await Write(aStream, text);
      co_return false;
    }
    if (aMode == "no_length") {
      const std::string text = Join("HTTP/1.1 200 OK\r\n", aOwn, "\r\n", body);
      co_await Write(aStream, text);
      co_return false;
    }
    if (aMode == "wrong_id") {
      const std::string text =
        Whole(200, "X-Request-Id: another\r\nX-Server-Stamp: x\r\n", "not yours");
      co_return co_await Write(aStream, text);
    }
    std::string text = Whole(200, aOwn, body);
    if (aMode == "extra") {
      text += Whole(200, "X-Request-Id: another\r\nX-Server-Stamp: x\r\n", "not yours");
    }
    co_return co_await Write(aStream, text);
  }

  asio::awaitable<bool> Generate(fake_runner& aRunner,
                                 beast::tcp_stream& aStream,
                                 const http::request<http::string_body>& aRequest,
                                 std::string aOwn,
                                 std::string aMode)
  {
    aRunner.mHolds.erase(std::string(aRequest["Hold"]));
    const std::string id(aRequest["X-Request-Id"]);
    const std::string counts(aRequest["X-Token-Counts"]);
    const std::uint64_t events =
      std::stoul("0" + counts.substr(counts.find(',') + 1)) / kTokensPerEvent;
    const std::string last(aRequest["Last-Event-Id"]);
    std::uint64_t event = last.empty() ? 0 : std::stoul(last) + 1;
    if (aMode == "error") {
      std::vector<std::string> pieces(1, "own failure");
      co_return co_await SendPieces(aRunner,
                                    aStream,
                                    aRequest,
                                    Join("HTTP/1.1 500 X\r\n", aOwn),
                                    std::move(pieces),
                                    "length",
                                    CutOf(aRunner, id));
    }
    const std::vector<std::string> stream =
      aRunner.mEvents.empty() ? NumberedEvents(events) : aRunner.mEvents;
    const std::size_t from = std::min<std::size_t>(event, stream.size());
    std::int64_t cutAt = CutOf(aRunner, id);
    if (aMode == "cut" && from <= stream.size() / 2 && !stream.empty()) { // Within that event.
      const std::size_t middle = stream.size() / 2;
      cutAt = static_cast<std::int64_t>(stream[middle].size() / 2);
      for (std::size_t i = from; i < middle; ++i) {
        cutAt += static_cast<std::int64_t>(stream[i].size());
      }
    }
    std::vector<std::string> pieces(stream.begin() + static_cast<std::ptrdiff_t>(from),
                                    stream.end());
    const std::string head =
      Join("HTTP/1.1 200 OK\r\n", aOwn, "Content-Type: text/event-stream\r\n");
    co_return co_await SendPieces(
      aRunner, aStream, aRequest, head, std::move(pieces), "chunks", cutAt);
  }

  std::string SideAnswer(fake_runner& aRunner,
                         const http::request<http::string_body>& aRequest,
                         const std::string& aTarget)
  {
    const json body = json::parse(aRequest.body(), nullptr, false);
    if (aTarget == "/hold-take") {
      const std::int64_t tokens = body.value("tokens", 0);
      if (tokens > aRunner.mFree) {
        return Whole(
          503, Join(LeaveHeader(aRunner), RetryHeader(aRunner), LimitHeader(aRunner)), "{}");
      }
      const std::string hold = Join("hold-", ++mHolds);
      const std::chrono::milliseconds life(body.value("ttl_ms", 1000));
      aRunner.mHolds[hold] = boot_clock_source{}.Now() + life;
      return Whole(
        200, Join(LeaveHeader(aRunner), LimitHeader(aRunner)), json{ { "hold", hold } }.dump());
    }
    if (aTarget.substr(0, 11) == "/hold-drop/") {
      aRunner.mHolds.erase(aTarget.substr(11));
      return Whole(200, "", "{}");
    }
    if (aTarget == "/order") {
      return Whole(202, "", "{}");
    }
    return Whole(aTarget.substr(0, 11) == "/kv-handle/" ? 200 : 404, "", "{}");
  }

  asio::io_context& mIo;                                        ///< Runs everything.
  wake_list mChanged;                                           ///< Reads that wait.
  std::map<std::string, topic> mTopics;                         ///< By name.
  std::map<std::string, std::shared_ptr<fake_runner>> mRunners; ///< By id.
  json mSeen = json::array();                                   ///< Requests at runners.
  std::set<std::string> mCutRequests;                           ///< Ids of requests cut once.
  std::vector<std::unique_ptr<http_listener>> mViews;           ///< Other addresses of the store.
  std::string mStoreMode;                                       ///< Fault of the store.
  duration mSlowStore = kSlowStore;                             ///< More time of a slow store.
  std::uint64_t mStoreCalls = 0;                                ///< Calls to the store.
  int mHeldReads = 0;                                           ///< Reads that are held.
  std::uint64_t mEra = 1;                                       ///< Rises as the store goes back.
  std::size_t mPageItems = kPageItems;                          ///< Records of a page.
  std::uint64_t mWholeReads = 0;      ///< Reads of a whole topic, but for quarantines.
  std::uint64_t mQuarantineReads = 0; ///< Reads of all quarantines.
  std::uint64_t mHolds = 0;           ///< Reservations granted.
  int mEndless = 0;                   ///< Answers without an end that are being sent.
  json mCrashes = json::array();      ///< Lives that crashed, and when.
};

} // namespace

} // namespace dunehook

int
main(int aCount, char** aValues)
{
  return dunehook::RunStandin<dunehook::fleet>(aCount, aValues);
}
