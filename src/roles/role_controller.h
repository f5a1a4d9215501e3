/**
 * @file role_controller.h
 * Orders the engines to change their roles. Only one daemon at a time sends orders: the holder of
 * the current term in the store, whose number is the fencing token of the orders. No request waits
 * for this.
 */
#pragma once

#include "core/log_func.h"
#include "messages/wire_type.h"
#include "roles/role_plan.h"
#include "runners/role_timing.h"
#include "state/forward_state.h"

namespace dunehook {

/** Interval at which the roles are planned. */
inline constexpr duration kRolePlanInterval = std::chrono::milliseconds(700);
/** A confirmed term allows orders for this long, so that a daemon that was suspended in between
 * sends none.
 */
inline constexpr duration kTermValidity = std::chrono::milliseconds(400);
/** A daemon takes no term before it has run for this long: until it hears the others, it believes
 * that it is the first of them. */
inline constexpr duration kStartupDelay = std::chrono::milliseconds(2500);
/** After a term went to another daemon, no term is requested for this long, in which that daemon
 * should be heard. */
inline constexpr duration kTermLostDelay = std::chrono::seconds(5);
/** Timeout for the connection to an engine, and for its answer to an order. */
inline constexpr duration kOrderTimeout = std::chrono::milliseconds(500);

/** State of the other daemons, as needed by the controller. */
struct role_peers
{
  bool mFirst = false; ///< Whether this daemon is the first in order of those that are heard.
  std::vector<std::string> mAlive; ///< Names of the daemons that are heard, without this one.
};

/** Sends the planned role changes to the engines while this daemon holds the term. */
template<wire_format Wire, control_store Store>
class role_controller
{
public:
  role_controller(forward_state& aState, Store& aStore)
    : mState(aState)
    , mStore(aStore)
    , mPlanner(aState.mSettings.mPlacement.mPrefillShare)
    , mEarliestTermAttempt(aState.Now() + kStartupDelay)
  {
  }

  /** Plans the roles once, and sends the orders if this daemon holds the term. */
  asio::awaitable<void> Tick(role_peers aPeers)
  {
    const memory_lookup memory = [this](const std::string& aService) {
      const std::optional<engine_traits> traits = mState.TraitsOf(aService);
      return traits ? traits->mMemoryTokens : 0;
    };
    const std::vector<role_change> wanted =
      mPlanner.Plan(mState.mRunners, mState.mPlacement.Work(), memory, mState.Now());
    if (wanted.empty() || mState.mStopping) {
      co_return;
    }
    const bool holds = co_await ConfirmTerm(aPeers);
    if (!holds) {
      co_return;
    }
    mOrdersValidUntil = mState.Now() + kTermValidity;
    for (const role_change& change : wanted) {
      if (mState.Now() >= mOrdersValidUntil) {
        co_return;
      }
      co_await Order(change);
    }
  }

private:
  /** @return whether this daemon holds the term now and may send orders; takes the term if it's
   * free. */
  asio::awaitable<bool> ConfirmTerm(const role_peers& aPeers)
  {
    const bool mine = mTerm != 0;
    if (!mine && (!aPeers.mFirst || mState.Now() < mEarliestTermAttempt)) {
      co_return false;
    }
    const result<term_record> read = co_await mStore.ReadTerm();
    if (!read) {
      co_return false;
    }
    const term_record& current = read.value();
    if (mine && current.mTerm == mTerm) {
      co_return mState.Now() >= mEarliestOrder;
    }
    mTerm = 0;
    const auto& alive = aPeers.mAlive;
    const bool otherAlive = std::find(alive.begin(), alive.end(), current.mHolder) != alive.end();
    if (!aPeers.mFirst || otherAlive) {
      mEarliestTermAttempt = mState.Now() + kTermLostDelay;
      co_return false;
    }
    const result<term_record> taken =
      co_await mStore.TakeTerm(current.mTerm, mState.mSettings.mName);
    LogEvent(log_level::eInfo,
             "term_taken",
             { { "after", current.mTerm },
               { "former", current.mHolder },
               { "outcome", taken ? "ok" : ErrorName(taken.error()) } });
    if (!taken) {
      mEarliestTermAttempt = mState.Now() + kTermLostDelay;
      co_return false;
    }
    mTerm = taken.value().mTerm;
    // The former holder may just have sent an order, and an engine must not change its role twice
    // within the lease time. If the store names no holder, it may have lost the record, except at
    // the very first start.
    const bool hadHolder = !current.mHolder.empty() || !mState.mSettings.mFirstStart;
    mEarliestOrder =
      mState.Now() + (hadHolder ? mState.mSettings.mLeaseTime * 5 / 4 : duration{ 0 });
    co_return !hadHolder;
  }

  asio::awaitable<void> Order(role_change aChange)
  {
    const runner_state* const runner = mState.mRunners.Find(aChange.mRunner);
    if (runner == nullptr || !mState.mRunners.MayReceive(*runner, mState.Now())) {
      co_return;
    }
    role_order order;
    order.mRunnerName = runner->mEntry.mName;
    order.mRole = aChange.mRole;
    order.mHolder = mState.mSettings.mName;
    order.mTerm = mTerm;
    order.mAfterOrders = mAcceptedOrders[aChange.mRunner];
    const endpoint address = runner->mEntry.mAddress;
    const permit_demand demand{ aChange.mRunner, 1, 0, 2 * kOrderTimeout };
    const result<send_permit> permit = co_await mState.mTakePermit(demand);
    if (!permit) { // Planned again at the next tick.
      LogEvent(log_level::eInfo, "order_withheld", { { "runner", order.mRunnerName } });
      co_return;
    }
    mPlanner.NoteOrdered(aChange, mState.Now());
    const http_call call = Wire::OrderCall(order);
    auto connected = co_await http_connection::Connect(address, kOrderTimeout);
    if (!connected) {
      LogEvent(log_level::eWarning, "order_unsent", { { "runner", order.mRunnerName } });
      co_return;
    }
    // Connecting takes time, in which the machine may have been suspended, so that another daemon
    // may hold the term by now.
    if (mState.Now() >= mOrdersValidUntil || !permit.value().IsValid(mState.Now())) {
      LogEvent(log_level::eInfo, "order_withheld", { { "runner", order.mRunnerName } });
      co_return;
    }
    // Not repeated: an order without an answer may still be carried out later.
    const result<http_answer> answer =
      co_await connected.value()->Call(call, kOrderTimeout, kMaxSideAnswerBytes);
    const unsigned status = answer ? answer.value().mStatus : 0;
    if (status == 202) {
      ++mAcceptedOrders[aChange.mRunner];
      mState.mRunners.NoteRoleChange(aChange.mRunner, mState.Now() + kMaxRoleChangeTime);
      run_message message;
      message.mOrdered.push_back(aChange.mRunner);
      mState.mTellDaemons(std::move(message));
    }
    if (status == 412) {
      mTerm = 0; // The engine has orders of a later term.
    }
    LogEvent(log_level::eInfo,
             "role_ordered",
             { { "runner", order.mRunnerName },
               { "role", RoleName(order.mRole) },
               { "term", order.mTerm },
               { "status", status } });
  }

  forward_state& mState;          ///< State shared by the parts of the daemon.
  Store& mStore;                  ///< Store that holds the term.
  role_planner mPlanner;          ///< Plans the changes.
  std::uint64_t mTerm = 0;        ///< Number of the term held; 0 if none.
  instant mEarliestTermAttempt;   ///< No attempt to take a term before this.
  instant mEarliestOrder{ 0 };    ///< No orders are sent before this.
  instant mOrdersValidUntil{ 0 }; ///< End of the validity of the last confirmation of the term.
  /** Orders accepted by each engine; a restarted engine has a new id. */
  std::map<service_runner_id, std::uint64_t> mAcceptedOrders;
};

} // namespace dunehook
