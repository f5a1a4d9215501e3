/**
 * @file service.cpp
 * Stand-in for a plain service. It counts the runs of each call by the call's "record" field; the
 * count is the judge of what ran. Faults by POST /control: delay_ms, leaving, cut_before (next N
 * calls: connection ended before the run), cut_after (next N: ended after the run).
 */
#include "standins/common/standin.h"

#include <map>

namespace dunehook {
namespace {

using json = nlohmann::json;

class service
{
public:
  explicit service(asio::io_context& /*aIo*/) {}

  asio::awaitable<void> Serve(exchange_ptr aExchange)
  {
    const std::string_view path = aExchange->Path();
    if (path == "/control") {
      mFaults.merge_patch(BodyOf(*aExchange));
      co_await aExchange->Respond(200, mFaults.dump());
      co_return;
    }
    if (path == "/counters") {
      const json body{ { "runs", mRuns }, { "total", mTotal } };
      co_await aExchange->Respond(200, body.dump());
      co_return;
    }
    if (mFaults.value("leaving", 0) != 0) {
      const header_list refusal{ { "X-Runner-Refused", "leaving" } };
      co_await aExchange->Respond(503, "{}", refusal);
      co_return;
    }
    if (TakeFault("cut_before")) {
      aExchange->Abort();
      co_return;
    }
    if (mFaults.value("delay_ms", 0) > 0) {
      co_await Sleep(std::chrono::milliseconds(mFaults.value("delay_ms", 0)));
    }
    const auto record = BodyOf(*aExchange).value("record", std::string("-"));
    ++mRuns[record];
    ++mTotal;
    if (TakeFault("cut_after")) {
      aExchange->Abort();
      co_return;
    }
    const json body{ { "record", record }, { "runs", mRuns[record] } };
    const header_list echo{ { "X-Dunehook-Attempt", aExchange->Header("X-Dunehook-Attempt") } };
    co_await aExchange->Respond(200, body.dump(), echo);
  }

private:
  bool TakeFault(const char* aName)
  {
    const int left = mFaults.value(aName, 0);
    mFaults[aName] = left > 0 ? left - 1 : 0;
    return left > 0;
  }

  std::map<std::string, std::uint64_t> mRuns; ///< Runs by record.
  std::uint64_t mTotal = 0;                   ///< All runs.
  json mFaults = json::object();              ///< As set by /control.
};

} // namespace
} // namespace dunehook

int
main(int aCount, char** aValues)
{
  return dunehook::RunStandin<dunehook::service>(aCount, aValues);
}
