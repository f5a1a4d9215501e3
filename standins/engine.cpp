/**
 * @file engine.cpp
 * Stand-in for an engine, prefill or decode by its flag. It reads prompts by priority in pieces,
 * caches prefixes in limited memory, keeps prefill results for less than a second, holds a limited
 * number of decode slots, resumes and cancels streams, reports load with a lag and cache events
 * late and with gaps, and takes fenced orders. What it holds is freed only by a cancel, by the
 * end of the work, or (prefill results) by their lifetime: never since a connection closed.
 * Faults by POST /control: refuse, delay_ms, cross_answers (next N), cut_after_tokens, stall,
 * watch_ms (holds, cache events and cancels are answered that late), fail_loads (1: loads fail).
 */
#include "callers/completion_type.h"
#include "core/attempt_type.h"
#include "core/text_func.h"
#include "standins/common/standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <deque>
#include <list>
#include <map>
#include <set>

ABSL_FLAG(double, tokens_per_second, 8000, "prompt tokens read a second; 0 for no delay");
ABSL_FLAG(double, step_ms, 5, "time of a decode step with an empty batch; 0 for no delay");
ABSL_FLAG(double, step_slope_ms, 0.2, "time that each further request adds to a step");
ABSL_FLAG(int, slots, 20, "requests held at once for decoding");
ABSL_FLAG(int, kv_lifetime_ms, 800, "how long a prefill result is kept");
ABSL_FLAG(int, kv_bytes_per_token, 131072, "size of a prefill result");
ABSL_FLAG(double, link_bytes_per_second, 5e9, "rate of transfers from this engine; 0 for no delay");
ABSL_FLAG(int, cache_blocks, 256, "prefix blocks cached");
ABSL_FLAG(int, load_lag_ms, 200, "age of load reports and cache events");
ABSL_FLAG(bool, check_fences, true, "refuse orders with a fence lower than one taken");
ABSL_FLAG(std::string, weight_store, "", "address of the weight store; empty for none");

namespace dunehook {
namespace {

using json = nlohmann::json;

/** A prefill waiting or under way. */
struct prefill_task
{
  explicit prefill_task(asio::io_context& aIo)
    : mDone(aIo)
  {
  }
  std::string mAttempt;        ///< Whose.
  std::uint32_t mPriority = 0; ///< 0 goes first.
  std::uint64_t mOrder = 0;    ///< Arrival.
  double mLeft = 0;            ///< Tokens to read.
  bool mCancelled = false;     ///< Freed before its end.
  bool mFinished = false;      ///< Read to its end.
  wake_list mDone;             ///< Woken at the end.
};

/** A prefill result. */
struct kv_entry
{
  std::uint64_t mHash = 0;  ///< Of the prompt.
  std::uint64_t mBytes = 0; ///< Size.
  instant mExpires{ 0 };    ///< End of its life.
};

/** A decode slot. */
struct slot_entry
{
  std::uint64_t mHash = 0;     ///< Of the prompt.
  std::uint64_t mReceived = 0; ///< Bytes of the prefill result that came.
  std::uint64_t mTotal = 0;    ///< Its size.
  std::uint64_t mRun = 0;      ///< Counts decodes, so that a later one ends an earlier one.
};

class engine
{
public:
  explicit engine(asio::io_context& aIo)
    : mIo(aIo)
    , mWork(aIo)
  {
    Spawn(mIo, PrefillLoop());
    Spawn(mIo, ReportLoop());
  }

  asio::awaitable<void> Serve(exchange_ptr aExchange)
  {
    const std::string_view path = aExchange->Path();
    if (path == "/control") {
      mFaults.merge_patch(BodyOf(*aExchange));
      co_await aExchange->Respond(200, mFaults.dump());
    } else if (path == "/counters") {
      co_await aExchange->Respond(200, Counters().dump());
    } else if (path == "/v1/cancel" || path == "/v1/holds" || path == "/v1/cache_events") {
      co_await Watched(aExchange);
    } else if (path == "/v1/load") {
      co_await aExchange->Respond(200, mReport.dump());
    } else if (path == "/v1/state") {
      co_await aExchange->Respond(200, mState.dump());
    } else if (path == "/v1/orders") {
      co_await TakeOrder(aExchange);
    } else if (path == "/v1/kv") {
      co_await Export(aExchange);
    } else if (mFaults.value("refuse", 0) != 0) {
      ++mRefusals;
      co_await aExchange->Respond(429, "{}");
    } else if (path == "/v1/prefill") {
      co_await Prefill(aExchange);
    } else if (path == "/v1/import") {
      co_await Import(aExchange);
    } else if (path == "/v1/decode") {
      co_await Decode(aExchange);
    } else {
      co_await aExchange->Respond(404, "{}");
    }
  }

private:
  static instant Now() { return boot_clock_source().Now(); }

  bool TakeFault(const char* aName)
  {
    const int left = mFaults.value(aName, 0);
    mFaults[aName] = left > 0 ? left - 1 : 0;
    return left > 0;
  }

  /** Answers a call of those that watch this engine, late if told so. */
  asio::awaitable<void> Watched(exchange_ptr aExchange)
  {
    const std::string path(aExchange->Path());
    const std::string attempt = BodyOf(*aExchange).value("attempt", std::string());
    const json cacheEvents =
      path == "/v1/cache_events" ? CacheEvents(*aExchange) : json(json::object());
    ++mWatchCalls[path];
    const int open = ++mWatchOpen[path];
    mWatchOpenMost[path] = std::max(mWatchOpenMost[path], open);
    if (mFaults.value("watch_ms", 0) > 0) {
      co_await Sleep(std::chrono::milliseconds(mFaults.value("watch_ms", 0)));
    }
    --mWatchOpen[path];
    json answer = json::object();
    if (path == "/v1/cancel") {
      Free(attempt);
    } else if (path == "/v1/holds") {
      answer = Holds();
    } else {
      answer = cacheEvents;
    }
    co_await aExchange->Respond(200, answer.dump());
  }

  void NoteWork()
  {
    ++mTaken;
    mLastWork = Now();
  }

  json Counters() const
  {
    return { { "taken", mTaken },
             { "refusals", mRefusals },
             { "prefill_tokens", mPrefillTokens },
             { "cached_tokens", mCachedTokens },
             { "lost_tokens", mLostTokens },
             { "tokens", mTokens },
             { "orders", mOrders },
             { "stale_orders", mStaleOrders },
             { "since_last_work_ms", mTaken == 0 ? -1 : (Now() - mLastWork).count() / 1000 },
             { "watch_calls", mWatchCalls },
             { "watch_open_most", mWatchOpenMost },
             { "cache_events_given", mCacheEventsGiven },
             { "cache_events_again", mCacheEventsAgain },
             { "holds", mTasks.size() + mKv.size() + mSlots.size() } };
  }

  json Holds()
  {
    Expire();
    json holds = json::array();
    for (const auto& task : mTasks) {
      holds.push_back({ { "attempt", task->mAttempt }, { "kind", "kv" } });
    }
    for (const auto& [attempt, kv] : mKv) {
      holds.push_back({ { "attempt", attempt }, { "kind", "kv" } });
    }
    for (const auto& [attempt, slot] : mSlots) {
      holds.push_back({ { "attempt", attempt }, { "kind", "slot" } });
    }
    return { { "holds", holds } };
  }

  void Expire()
  {
    std::erase_if(mKv, [this](const auto& aRow) {
      const bool gone = aRow.second.mExpires <= Now();
      mLostTokens += gone ? aRow.second.mBytes / KvBytesPerToken() : 0;
      return gone;
    });
  }

  void Free(const std::string& aAttempt)
  {
    std::erase_if(mTasks, [&](const auto& aTask) {
      if (aTask->mAttempt != aAttempt) {
        return false;
      }
      aTask->mCancelled = true;
      aTask->mDone.Notify();
      return true;
    });
    mKv.erase(aAttempt);
    mSlots.erase(aAttempt);
  }

  static std::uint64_t KvBytesPerToken()
  {
    return static_cast<std::uint64_t>(absl::GetFlag(FLAGS_kv_bytes_per_token));
  }

  // Prefix cache ------------------------------------------------------------------------------

  void NoteCache(std::uint64_t aHash, bool aPresent)
  {
    ++mCacheEventCount;
    if (mCacheEventCount % 10 == 0) {
      return; // Every tenth event never comes.
    }
    mCacheEvents.push_back(
      { { "n", mCacheEventCount }, { "hash", aHash }, { "present", aPresent } });
    mCacheEventTimes.push_back(Now());
    if (mCacheEvents.size() > 2048) {
      mCacheEvents.pop_front();
      mCacheEventTimes.pop_front();
    }
  }

  std::uint32_t UseCache(std::string_view aPrompt)
  {
    std::uint32_t cached = 0;
    for (const prefix_block& block : PrefixBlocks(aPrompt)) {
      const auto found = mCacheIndex.find(block.mHash);
      if (found != mCacheIndex.end()) {
        cached = block.mTokens;
        mCacheOrder.splice(mCacheOrder.begin(), mCacheOrder, found->second);
        continue;
      }
      mCacheOrder.push_front(block.mHash);
      mCacheIndex[block.mHash] = mCacheOrder.begin();
      NoteCache(block.mHash, true);
    }
    while (mCacheOrder.size() > static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_blocks))) {
      NoteCache(mCacheOrder.back(), false);
      mCacheIndex.erase(mCacheOrder.back());
      mCacheOrder.pop_back();
    }
    return cached;
  }

  json CacheEvents(const http_exchange& aExchange)
  {
    const std::uint64_t from = std::stoull("0" + aExchange.Query("from"));
    const duration lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
    json events = json::array();
    std::uint64_t next = from;
    for (std::size_t at = 0; at < mCacheEvents.size(); ++at) {
      const auto number = mCacheEvents[at].at("n").get<std::uint64_t>();
      if (number >= from && mCacheEventTimes[at] + lag <= Now()) {
        events.push_back(mCacheEvents[at]);
        next = number + 1;
        mCacheEventsAgain += number < mCacheEventsGiven ? 1 : 0;
      }
    }
    mCacheEventsGiven = std::max(mCacheEventsGiven, next);
    return { { "events", events }, { "next", next } };
  }

  // Prefill -----------------------------------------------------------------------------------

  asio::awaitable<void> Prefill(exchange_ptr aExchange)
  {
    const json body = BodyOf(*aExchange);
    const auto prompt = body.value("prompt", std::string());
    const auto tokens = CountTokens(prompt) + CountTokens(body.value("generated", std::string()));
    const auto cached = std::min(UseCache(prompt), tokens);
    const auto task = std::make_shared<prefill_task>(mIo);
    task->mAttempt = body.value("attempt", std::string());
    task->mPriority = body.value("priority", 0U);
    task->mOrder = ++mTaskCount;
    task->mLeft = tokens - cached;
    NoteWork();
    mTasks.push_back(task);
    mWork.Notify();
    while (!task->mFinished && !task->mCancelled) {
      co_await task->mDone.Wait(std::chrono::hours(1));
    }
    if (task->mCancelled) {
      co_await aExchange->Respond(410, "{}");
      co_return;
    }
    mPrefillTokens += tokens - cached;
    mCachedTokens += cached;
    const std::uint64_t bytes = tokens * KvBytesPerToken();
    const duration life = std::chrono::milliseconds(absl::GetFlag(FLAGS_kv_lifetime_ms));
    mKv[task->mAttempt] = { HashBytes(prompt), bytes, Now() + life };
    if (mFaults.value("delay_ms", 0) > 0) {
      co_await Sleep(std::chrono::milliseconds(mFaults.value("delay_ms", 0)));
    }
    const std::string echo = TakeFault("cross_answers") ? "0000000000000001-1" : task->mAttempt;
    const json answer{
      { "attempt", echo }, { "bytes", bytes }, { "tokens", tokens }, { "cached", cached }
    };
    co_await aExchange->Respond(200, answer.dump());
  }

  asio::awaitable<void> PrefillLoop()
  {
    constexpr double kPiece = 256;
    for (;;) {
      if (mTasks.empty()) {
        co_await mWork.Wait(std::chrono::hours(1));
        continue;
      }
      const auto first =
        std::min_element(mTasks.begin(), mTasks.end(), [](const auto& aOne, const auto& aTwo) {
          return std::tie(aOne->mPriority, aOne->mOrder) < std::tie(aTwo->mPriority, aTwo->mOrder);
        });
      const std::shared_ptr<prefill_task> task = *first;
      const double piece = std::min(kPiece, task->mLeft);
      const double rate = absl::GetFlag(FLAGS_tokens_per_second);
      if (rate > 0 && piece > 0) {
        co_await Sleep(FromSeconds(piece / rate));
      }
      task->mLeft -= piece;
      if (task->mLeft <= 0 && !task->mCancelled) {
        std::erase(mTasks, task);
        task->mFinished = true;
        task->mDone.Notify();
      }
    }
  }

  asio::awaitable<void> Export(exchange_ptr aExchange)
  {
    Expire();
    const std::string attempt = aExchange->Query("attempt");
    const auto bytes = std::stoull("0" + aExchange->Query("bytes"));
    const auto offset = std::stoull("0" + aExchange->Query("offset"));
    if (!mKv.contains(attempt)) {
      co_await aExchange->Respond(404, "{}");
      co_return;
    }
    const double rate = absl::GetFlag(FLAGS_link_bytes_per_second);
    if (rate > 0) {
      const instant start = std::max(Now(), mLinkFree);
      mLinkFree = start + FromSeconds(static_cast<double>(bytes) / rate);
      co_await Sleep(mLinkFree - Now());
    }
    while (mFaults.value("stall", 0) != 0) {
      co_await Sleep(std::chrono::milliseconds(50));
    }
    const auto found = mKv.find(attempt);
    if (found == mKv.end()) {
      co_await aExchange->Respond(404, "{}");
      co_return;
    }
    const json answer{ { "hash", found->second.mHash } };
    if (offset + bytes >= found->second.mBytes) {
      mKv.erase(found);
    }
    co_await aExchange->Respond(200, answer.dump());
  }

  // Decode ------------------------------------------------------------------------------------

  asio::awaitable<void> Import(exchange_ptr aExchange)
  {
    const json body = BodyOf(*aExchange);
    const auto attempt = body.value("attempt", std::string());
    const auto offset = body.value("offset", std::uint64_t{ 0 });
    const auto bytes = body.value("bytes", std::uint64_t{ 0 });
    if (!mSlots.contains(attempt)) {
      if (mSlots.size() >= static_cast<std::size_t>(absl::GetFlag(FLAGS_slots))) {
        ++mRefusals;
        co_await aExchange->Respond(429, "{}");
        co_return;
      }
      NoteWork();
      mSlots[attempt].mTotal = body.value("total", std::uint64_t{ 0 });
    }
    const result<endpoint> from = ParseEndpoint(body.value("from", std::string()));
    http_call call;
    call.mTarget = Join("/v1/kv?attempt=", attempt, "&offset=", offset, "&bytes=", bytes);
    const result<http_answer> fetched =
      co_await mPool.Call(from.value(), call, std::chrono::seconds(20), kUnlimitedBody);
    const auto slot = mSlots.find(attempt);
    if (!fetched || fetched.value().mStatus != 200 || slot == mSlots.end()) {
      mSlots.erase(attempt);
      co_await aExchange->Respond(410, "{}");
      co_return;
    }
    slot->second.mHash = json::parse(fetched.value().mBody).value("hash", std::uint64_t{ 0 });
    slot->second.mReceived += bytes;
    const json answer{ { "attempt", attempt } };
    co_await aExchange->Respond(200, answer.dump());
  }

  duration StepTime() const
  {
    const double batch = mSlots.empty() ? 0 : static_cast<double>(mSlots.size() - 1);
    return FromSeconds((absl::GetFlag(FLAGS_step_ms) + absl::GetFlag(FLAGS_step_slope_ms) * batch) /
                       1000.0);
  }

  asio::awaitable<void> Decode(exchange_ptr aExchange)
  {
    constexpr std::uint32_t kBurst = 16;
    const json body = BodyOf(*aExchange);
    const auto attempt = body.value("attempt", std::string());
    const auto start = body.value("start", 0U);
    const auto most = body.value("max_tokens", 0U);
    const auto slot = mSlots.find(attempt);
    if (slot == mSlots.end() || slot->second.mReceived < slot->second.mTotal) {
      co_await aExchange->Respond(410, "{}");
      co_return;
    }
    const std::uint64_t hash = slot->second.mHash;
    const std::uint64_t run = ++slot->second.mRun;
    const int cutAfter = mFaults.value("cut_after_tokens", 0);
    const bool crossed = TakeFault("cross_answers");
    const std::string echo = crossed ? "0000000000000001-1" : attempt;
    const std::uint64_t textHash = crossed ? hash + 1 : hash; // The other attempt's text.
    if (!co_await aExchange->StartStream(200, {})) {
      co_return;
    }
    const bool paced = absl::GetFlag(FLAGS_step_ms) > 0;
    std::string events;
    for (std::uint32_t index = start; index < most; ++index) {
      if (paced) {
        co_await Sleep(StepTime());
      }
      const auto held = mSlots.find(attempt);
      if (held == mSlots.end() || held->second.mRun != run) {
        aExchange->Abort();
        co_return;
      }
      const json event{ { "a", echo }, { "i", index }, { "t", TokenText(textHash, index) } };
      events += "data: " + event.dump() + "\n\n";
      ++mTokens;
      if (cutAfter > 0 && static_cast<int>(index - start) >= cutAfter) {
        mFaults["cut_after_tokens"] = 0;
        co_await aExchange->Write(events);
        aExchange->Abort();
        co_return;
      }
      if (paced || index % kBurst == 0) {
        if (!co_await aExchange->Write(events)) {
          co_return; // The slot stays held until somebody frees it.
        }
        events.clear();
      }
    }
    mSlots.erase(attempt);
    const json done{ { "a", echo }, { "done", true } };
    if (co_await aExchange->Write(events + "data: " + done.dump() + "\n\n")) {
      co_await aExchange->EndStream();
    }
  }

  // Orders and reports ------------------------------------------------------------------------

  asio::awaitable<void> TakeOrder(exchange_ptr aExchange)
  {
    const json order = BodyOf(*aExchange);
    ++mOrders;
    if (mFaults.value("fail_loads", 0) != 0) {
      co_await aExchange->Respond(500, "{}");
      co_return;
    }
    const auto fence = order.value("fence", std::uint64_t{ 0 });
    if (absl::GetFlag(FLAGS_check_fences) && fence < mFence) {
      ++mStaleOrders;
      co_await aExchange->Respond(409, "{}");
      co_return;
    }
    const result<endpoint> store = ParseEndpoint(absl::GetFlag(FLAGS_weight_store));
    if (store) {
      http_call call;
      call.mTarget = "/weights";
      const auto granted = co_await mPool.Call(store.value(), call, std::chrono::seconds(2));
      if (!granted || granted.value().mStatus != 200) {
        co_await aExchange->Respond(503, "{}");
        co_return;
      }
    }
    mFence = std::max(mFence, fence);
    mState = { { "model", order.value("model", std::string()) },
               { "version", order.value("version", std::string()) },
               { "fence", mFence } };
    co_await aExchange->Respond(200, "{}");
  }

  asio::awaitable<void> ReportLoop()
  {
    for (;;) {
      co_await Sleep(std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms)));
      Expire();
      mReport = { { "slots", mSlots.size() }, { "queue", mTasks.size() } };
    }
  }

  asio::io_context& mIo;                             ///< Runs everything.
  http_pool mPool;                                   ///< Connections to prefill engines.
  json mFaults = json::object();                     ///< As set by /control.
  std::vector<std::shared_ptr<prefill_task>> mTasks; ///< Prefills not finished.
  std::map<std::string, kv_entry> mKv;               ///< Prefill results by attempt.
  std::map<std::string, slot_entry> mSlots;          ///< Decode slots by attempt.
  std::list<std::uint64_t> mCacheOrder;              ///< Cached blocks, latest used first.
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> mCacheIndex; ///< Into mCacheOrder.
  std::deque<json> mCacheEvents;             ///< Events that are published.
  std::deque<instant> mCacheEventTimes;      ///< When each of them happened.
  std::uint64_t mCacheEventCount = 0;        ///< Events, the lost ones included.
  std::uint64_t mCacheEventsGiven = 0;       ///< Number after the newest event handed out.
  std::uint64_t mCacheEventsAgain = 0;       ///< Events handed out again.
  std::map<std::string, int> mWatchCalls;    ///< Calls of those that watch, by path.
  std::map<std::string, int> mWatchOpen;     ///< Those not answered yet.
  std::map<std::string, int> mWatchOpenMost; ///< Most that were open at once.
  std::uint64_t mTaskCount = 0;              ///< Prefills taken.
  std::uint64_t mTaken = 0;                  ///< Prefills and slots taken.
  std::uint64_t mRefusals = 0;               ///< Work refused.
  std::uint64_t mPrefillTokens = 0;          ///< Prompt tokens computed.
  std::uint64_t mCachedTokens = 0;           ///< Prompt tokens found in the cache.
  std::uint64_t mLostTokens = 0;             ///< Prompt tokens whose result expired.
  std::uint64_t mTokens = 0;                 ///< Tokens generated.
  std::uint64_t mOrders = 0;                 ///< Orders that came.
  std::uint64_t mStaleOrders = 0;            ///< Orders refused by their fence.
  std::uint64_t mFence = 0;                  ///< Highest fence taken.
  instant mLastWork{ 0 };                    ///< When work was last taken.
  instant mLinkFree{ 0 };                    ///< When the link is free again.
  json mReport = json::object();             ///< Load as last reported.
  json mState = json::object();              ///< Model loaded.
  wake_list mWork;                           ///< Woken by new prefills.
};

} // namespace
} // namespace dunehook

int
main(int aCount, char** aValues)
{
  return dunehook::RunStandin<dunehook::engine>(aCount, aValues);
}
