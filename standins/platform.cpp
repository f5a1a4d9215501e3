/**
 * @file platform.cpp
 * Stand-in for the platform: the log service, the host list and the weight store. Faults are set
 * by POST /control: log_down, log_slow_ms, lose_answers (next N), refuse_appends (next N),
 * keep_records, host_lag_ms, appends_per_second, loads_per_second.
 */
#include "core/token_bucket.h"
#include "standins/common/standin.h"

#include <chrono>
#include <deque>
#include <map>

namespace dunehook {
namespace {

using json = nlohmann::json;

/** One record as kept. */
struct kept_record
{
  std::int64_t mTimeMs = 0; ///< When it was taken.
  std::string mData;        ///< What it says.
};

/** A version of the host list. */
struct host_list_version
{
  instant mAt{ 0 }; ///< When it was set.
  json mHosts;      ///< The list.
};

class platform
{
public:
  explicit platform(asio::io_context& aIo)
    : mNews(aIo)
  {
  }

  asio::awaitable<void> Serve(exchange_ptr aExchange)
  {
    const std::string_view path = aExchange->Path();
    if (path == "/log/append") {
      co_await Append(aExchange);
    } else if (path == "/log/read") {
      co_await Read(aExchange);
    } else if (path == "/hosts" && aExchange->Method() == http::verb::put) {
      mHosts.push_back({ Now(), BodyOf(*aExchange) });
      co_await aExchange->Respond(200, "{}");
    } else if (path == "/hosts") {
      co_await aExchange->Respond(200, VisibleHosts().dump());
    } else if (path == "/weights") {
      const bool granted = mLoads.Take(Now());
      co_await aExchange->Respond(granted ? 200 : 429, "{}");
    } else if (path == "/control") {
      mFaults.merge_patch(BodyOf(*aExchange));
      Trim();
      mNews.Notify();
      co_await aExchange->Respond(200, mFaults.dump());
    } else if (path == "/counters") {
      const json body{ { "appends", mAppends }, { "next", mFirst + mRecords.size() } };
      co_await aExchange->Respond(200, body.dump());
    } else {
      co_await aExchange->Respond(404, "{}");
    }
  }

private:
  static instant Now() { return boot_clock_source().Now(); }

  std::int64_t Fault(const char* aName) const { return mFaults.value(aName, std::int64_t{ 0 }); }

  bool TakeFault(const char* aName)
  {
    const std::int64_t left = Fault(aName);
    if (left <= 0) {
      return false;
    }
    mFaults[aName] = left - 1;
    return true;
  }

  asio::awaitable<bool> Fails(exchange_ptr aExchange)
  {
    if (Fault("log_slow_ms") > 0) {
      co_await Sleep(std::chrono::milliseconds(Fault("log_slow_ms")));
    }
    if (Fault("log_down") != 0) {
      aExchange->Abort();
      co_return true;
    }
    co_return false;
  }

  asio::awaitable<void> Append(exchange_ptr aExchange)
  {
    if (co_await Fails(aExchange)) {
      co_return;
    }
    mRate.Reshape(static_cast<double>(mFaults.value("appends_per_second", 100)), 100);
    if (TakeFault("refuse_appends") || !mRate.Take(Now())) {
      co_await aExchange->Respond(429, "{}");
      co_return;
    }
    ++mAppends;
    const std::uint64_t offset = mFirst + mRecords.size();
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    for (const json& record : BodyOf(*aExchange).value("records", json::array())) {
      mRecords.push_back({ wall.count() + Fault("clock_ahead_ms"), record.get<std::string>() });
    }
    Trim();
    mNews.Notify();
    if (TakeFault("lose_answers")) {
      aExchange->Abort();
      co_return;
    }
    const json body{ { "offset", offset } };
    co_await aExchange->Respond(200, body.dump());
  }

  asio::awaitable<void> Read(exchange_ptr aExchange)
  {
    if (co_await Fails(aExchange)) {
      co_return;
    }
    const std::uint64_t wanted = std::stoull("0" + aExchange->Query("from"));
    const std::int64_t wait = std::stoll("0" + aExchange->Query("wait_ms"));
    const instant deadline = Now() + std::chrono::milliseconds(wait);
    while (wanted >= mFirst + mRecords.size() && Now() < deadline && Fault("log_down") == 0) {
      co_await mNews.Wait(deadline - Now());
    }
    if (co_await Fails(aExchange)) {
      co_return;
    }
    if (wanted != 0 && wanted < mFirst) {
      const json gone{ { "first", mFirst } };
      co_await aExchange->Respond(410, gone.dump());
      co_return;
    }
    constexpr std::size_t kMost = 512;
    json records = json::array();
    const std::uint64_t from = std::max(wanted, mFirst);
    for (std::uint64_t at = from; at < mFirst + mRecords.size() && records.size() < kMost; ++at) {
      const kept_record& one = mRecords[at - mFirst];
      records.push_back({ { "offset", at }, { "time", one.mTimeMs }, { "data", one.mData } });
    }
    const json body{ { "first", mFirst },
                     { "next", mFirst + mRecords.size() },
                     { "records", records } };
    co_await aExchange->Respond(200, body.dump());
  }

  void Trim()
  {
    const auto keep = static_cast<std::size_t>(mFaults.value("keep_records", 1'000'000));
    while (mRecords.size() > keep) {
      mRecords.pop_front();
      ++mFirst;
    }
  }

  json VisibleHosts()
  {
    const duration lag = std::chrono::milliseconds(Fault("host_lag_ms"));
    while (mHosts.size() > 1 && mHosts[1].mAt + lag <= Now()) {
      mHosts.pop_front();
    }
    return mHosts.empty() ? json{ { "hosts", json::array() } } : mHosts.front().mHosts;
  }

  std::deque<kept_record> mRecords;     ///< Kept records; mFirst is the offset of the first.
  std::uint64_t mFirst = 1;             ///< Oldest offset kept.
  std::uint64_t mAppends = 0;           ///< Appends taken.
  std::deque<host_list_version> mHosts; ///< Versions not shown to everybody yet; the first is.
  json mFaults = json::object();        ///< As set by /control.
  token_bucket mRate{ 100, 100 };       ///< Appends a second.
  token_bucket mLoads{ 2, 2 };          ///< Weight loads a second.
  wake_list mNews;                      ///< Woken by appends.
};

} // namespace
} // namespace dunehook

int
main(int aCount, char** aValues)
{
  return dunehook::RunStandin<dunehook::platform>(aCount, aValues);
}
