/**
 * @file suspension_test.cpp
 * Time during which the machine is suspended counts for leases, budgets and timeouts.
 */
#include "limits/retry_budget.h"
#include "links/permit_link.h"
#include "membership/member_base.h"
#include "platform/store_client.h"
#include "platform/wire.h"
#include "roles/role_controller.h"
#include "runners/upstream_connection.h"
#include "tests/support/fake_boot_time.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace dunehook::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time within which a waiting operation must notice the end of a suspension: the shortest tick of
 * the daemon and a margin. */
constexpr duration kNoticeLimit = milliseconds(500);

/** A store with one term holder; the machine is suspended while its answer is on its way. */
struct suspending_store : platform::store_client
{
  suspending_store()
    : platform::store_client(endpoint{ "127.0.0.1", 1 })
  {
  }
  asio::awaitable<result<term_record>> ReadTerm() { co_return mTerm; }
  asio::awaitable<result<term_record>> TakeTerm(std::uint64_t aAt, const std::string& aHolder)
  {
    mTerm = { aAt + 1, aHolder };
    co_return mTerm;
  }
  term_record mTerm; ///< Latest term.
};

/** The wire protocol of the platform, on a machine that is suspended while an order is prepared. */
struct suspending_wire : platform::wire
{
  static http_call OrderCall(const role_order& aOrder)
  {
    SuspendFor(sSpan);
    return platform::wire::OrderCall(aOrder);
  }
  static inline duration sSpan{ 0 }; ///< How long the machine is suspended.
};

} // namespace

TEST_GROUP(suspension)
{
  asio::io_context mIo{ 1 }; ///< Runs all coroutines of the test.

  /** Runs a coroutine beside a periodic tick as in the daemon. @return the real time that it took.
   */
  duration Run(asio::awaitable<void> aTask)
  {
    const auto began = std::chrono::steady_clock::now();
    bool done = false;
    asio::co_spawn(mIo, std::move(aTask), [&](const std::exception_ptr&) { done = true; });
    Spawn(mIo, Tick(done));
    mIo.run();
    return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - began);
  }
  static asio::awaitable<void> Tick(const bool& aDone)
  {
    while (!aDone) {
      co_await Sleep(milliseconds(15));
    }
  }
  /** Suspends the machine 50 ms from now. */
  void SuspendAfter50Ms(duration aSpan)
  {
    Spawn(mIo, [](duration aFor) -> asio::awaitable<void> {
      co_await Sleep(milliseconds(50));
      SuspendFor(aFor);
    }(aSpan));
  }
};

TEST(suspension, TheClockCountsSuspendedTime)
{
  const instant before = boot_clock_source{}.Now();
  SuspendFor(seconds(7));
  CHECK_TRUE(boot_clock_source{}.Now() - before >= seconds(7));
}

TEST(suspension, ASleepEndsWhenItsTimeIsOver)
{
  SuspendAfter50Ms(seconds(5));
  CHECK_TRUE(Run(Sleep(seconds(5))) < kNoticeLimit);
}

TEST(suspension, AWaitForAWakeUpEndsWhenItsTimeIsOver)
{
  wake_list list(mIo);
  SuspendAfter50Ms(seconds(5));
  CHECK_TRUE(Run(list.Wait(seconds(5))) < kNoticeLimit);
}

TEST(suspension, AnAnswerIsAwaitedNoLongerThanItsLimit)
{
  tcp::acceptor silent = OpenAcceptor(mIo, { "127.0.0.1", 0 }).value();
  const endpoint at = AddressOf(silent);
  std::error_code why;
  const auto call = [&]() -> asio::awaitable<void> {
    result<upstream_ptr> connection = co_await upstream_connection::Connect(at, seconds(1));
    upstream_request request;
    request.mMethod = http::verb::get;
    request.mHead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto head = co_await connection.value()->Start(request, seconds(5));
    why = head ? std::error_code{} : head.error();
  };
  SuspendAfter50Ms(seconds(5));
  CHECK_TRUE(Run(call()) < kNoticeLimit);
  CHECK_TRUE(why == errc::eDeadlinePassed);
}

TEST(suspension, AConnectTimeoutDoesNotLimitLaterCalls)
{
  tcp::acceptor silent = OpenAcceptor(mIo, { "127.0.0.1", 0 }).value();
  const endpoint at = AddressOf(silent);
  duration took{ 0 };
  const auto call = [&]() -> asio::awaitable<void> {
    auto connection = co_await http_connection::Connect(at, milliseconds(100));
    http_call sent;
    sent.mTarget = "/";
    const instant began = boot_clock_source{}.Now();
    co_await connection.value()->Call(sent, milliseconds(400));
    took = boot_clock_source{}.Now() - began;
  };
  Run(call());
  CHECK_TRUE(took >= milliseconds(400));
}

TEST(suspension, AnHttpCallIsAwaitedNoLongerThanItsLimit)
{
  tcp::acceptor silent = OpenAcceptor(mIo, { "127.0.0.1", 0 }).value();
  const endpoint at = AddressOf(silent);
  std::error_code why;
  const auto call = [&]() -> asio::awaitable<void> {
    auto connection = co_await http_connection::Connect(at, seconds(1));
    http_call sent;
    sent.mTarget = "/";
    const auto answer = co_await connection.value()->Call(sent, seconds(5));
    why = answer ? std::error_code{} : answer.error();
  };
  SuspendAfter50Ms(seconds(5));
  CHECK_TRUE(Run(call()) < kNoticeLimit);
  CHECK_TRUE(why == errc::eDeadlinePassed);
}

TEST(suspension, AnOrderIsWithheldWhereTheTermWasConfirmedBeforeIt)
{
  tcp::acceptor engine = OpenAcceptor(mIo, { "127.0.0.1", 0 }).value();
  gateway_settings settings;
  settings.mName = "entry-1";
  settings.mFirstStart = true;
  forward_state state(mIo, settings);
  state.mTellDaemons = [](const run_message&) {};
  daemon_link link(state);
  const permit_link permits(state, link); // Engines name no limits.
  std::vector<runner_entry> entries;
  for (int i = 0; i < 4; ++i) {
    runner_entry entry;
    entry.mName = "engine-" + std::to_string(i);
    entry.mService = "tutor";
    entry.mAddress = AddressOf(engine);
    entry.mRole = engine_role::eDecode; // All engines generate, so that the controller wants some
                                        // of them to prefill.
    entries.push_back(entry);
  }
  state.mRunners.Apply({ entries, { 1, 1 }, false }, state.Now(), false);
  suspending_store store;
  role_controller<suspending_wire, suspending_store> controller(state, store);
  std::size_t orders = 0;
  const auto count = [&]() -> asio::awaitable<void> {
    for (;;) {
      tcp::socket socket = co_await engine.async_accept(asio::use_awaitable);
      std::array<char, 1000> bytes;
      boost::system::error_code error;
      const std::size_t got = co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      orders += got > 0 ? 1 : 0;
    }
  };
  const auto order = [&](duration aSuspended) -> asio::awaitable<void> {
    suspending_wire::sSpan = aSuspended;
    for (int round = 0; round < 6; ++round) {
      SuspendFor(seconds(3)); // Changes that must be wanted for a while become due.
      role_peers peers;
      peers.mFirst = true;
      co_await controller.Tick(std::move(peers));
    }
  };
  asio::co_spawn(mIo, count(), asio::detached);
  bool done = false;
  asio::co_spawn(mIo, order(seconds(4)), [&](const std::exception_ptr&) { done = true; });
  while (!done) {
    mIo.run_one();
  }
  LONGS_EQUAL(0, orders);
  done = false;
  asio::co_spawn(mIo, order(duration{ 0 }), [&](const std::exception_ptr&) { done = true; });
  while (!done) {
    mIo.run_one();
  }
  // Without a suspension orders are sent, so the check above can fail.
  CHECK_TRUE(orders > 0);
}

TEST(suspension, APermitLapsesDuringASuspension)
{
  forward_state state(mIo, gateway_settings{});
  daemon_link link(state);
  permit_link permits(state, link);
  const service_runner_id runner{ 1 };
  const incarnation_id self = link.Members().Self().mIncarnation;
  state.mPermits.SetMembers(self, { self }, false, state.Now());
  SuspendFor(kStableMembersTime);
  state.mPermits.Limits().NoteNamed(runner, 100.0, state.Now(), state.Now());
  std::vector<send_permit> granted;
  const auto take = [&]() -> asio::awaitable<void> {
    const permit_demand demand{ runner, 1, 0, kPermitValidity };
    for (int i = 0; i < 2; ++i) { // The grantor has none in the first moment.
      const result<send_permit> permit = co_await permits.Take(demand);
      if (permit) {
        granted.push_back(permit.value());
      }
      SuspendFor(milliseconds(100));
    }
  };
  Run(take());
  LONGS_EQUAL(1, granted.size());
  CHECK_TRUE(granted[0].IsValid(state.Now()));
  SuspendFor(kPermitValidity);
  CHECK_FALSE(granted[0].IsValid(state.Now()));
}

TEST(suspension, AQuarantineEndsAfterItsTime)
{
  crash_ledger ledger;
  const boot_clock_source clock;
  ledger.ApplyNotice({ { 1 }, quarantine_status::eQuarantined, duration{ 0 } }, clock.Now());
  SuspendFor(kQuarantineDuration);
  CHECK_TRUE(ledger.StatusOf({ 1 }, clock.Now()) == quarantine_status::eClear);
}

TEST(suspension, SuspensionReducesTheTimeLeftOfARequest)
{
  forward_state state(mIo, gateway_settings{});
  const instant deadline = state.Now() + seconds(10);
  SuspendFor(seconds(8));
  CHECK_TRUE(deadline - state.Now() <= seconds(2));
}
