/**
 * @file role_controller.h
 * Gives the engines their roles. Orders come from one daemon at a time: the holder of a term in the
 * store, whose number is the orders' fence. Nothing on a request's path waits for this.
 */
#pragma once

#include "core/log_func.h"
#include "messages/wire_type.h"
#include "roles/role_plan.h"
#include "runners/role_timing.h"
#include "state/forward_state.h"

namespace dunehook {

/** Time between looks at the plan. */
inline constexpr duration kRoleTick = std::chrono::milliseconds(700);
/** A confirmed term allows orders for this long; a daemon that stood still in between gives none.
 */
inline constexpr duration kTermFresh = std::chrono::milliseconds(400);
/** A daemon takes no term before it has run for so long: until it has heard the others, it takes
 * itself for the first of them. */
inline constexpr duration kHearsOthersFor = std::chrono::milliseconds(2500);
/** After a term went to another daemon, none is asked for until that one has been heard. */
inline constexpr duration kTermLostRest = std::chrono::seconds(5);
/** Longest wait for an engine's answer to an order. */
inline constexpr duration kOrderTime = std::chrono::milliseconds(500);

/** What the controller needs to know of the other daemons. */
struct role_peers
{
  bool mFirst = false;             ///< This daemon comes first among those that are heard.
  std::vector<std::string> mAlive; ///< Names of daemons that are heard, without this one.
};

/** The controller. */
template<wire_format Wire, control_store Store>
class role_controller
{
public:
  role_controller(forward_state& aState, Store& aStore)
    : mState(aState)
    , mStore(aStore)
    , mPlanner(aState.mSettings.mPlacement.mPrefillShare)
    , mTermFrom(aState.Now() + kHearsOthersFor)
  {
  }

  /** Looks at the plan once, and orders what is wanted if this daemon holds the term. */
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
    const bool holds = co_await Confirm(aPeers);
    if (!holds) {
      co_return;
    }
    mOrdersUntil = mState.Now() + kTermFresh;
    for (const role_change& change : wanted) {
      if (mState.Now() >= mOrdersUntil) {
        co_return;
      }
      co_await Order(change);
    }
  }

private:
  /** @return whether this daemon holds the term now and may give orders. */
  asio::awaitable<bool> Confirm(const role_peers& aPeers)
  {
    const bool mine = mTerm != 0;
    if (!mine && (!aPeers.mFirst || mState.Now() < mTermFrom)) {
      co_return false;
    }
    const result<term_record> read = co_await mStore.ReadTerm();
    if (!read) {
      co_return false;
    }
    const term_record& current = read.value();
    if (mine && current.mTerm == mTerm) {
      co_return mState.Now() >= mOrdersFrom;
    }
    mTerm = 0;
    const auto& alive = aPeers.mAlive;
    const bool otherAlive = std::find(alive.begin(), alive.end(), current.mHolder) != alive.end();
    if (!aPeers.mFirst || otherAlive) {
      mTermFrom = mState.Now() + kTermLostRest;
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
      mTermFrom = mState.Now() + kTermLostRest;
      co_return false;
    }
    mTerm = taken.value().mTerm;
    // The former holder may have given an order a moment ago; turns within the lease aren't
    // allowed.
    // Where the store names none it may have lost it, but for the first start of all.
    const bool hadHolder = !current.mHolder.empty() || !mState.mSettings.mFirstStart;
    mOrdersFrom = mState.Now() + (hadHolder ? mState.mSettings.mLeaseTime * 5 / 4 : duration{ 0 });
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
    order.mAfterOrders = mOrdersTaken[aChange.mRunner];
    const endpoint address = runner->mEntry.mAddress;
    mPlanner.NoteOrdered(aChange, mState.Now());
    const http_call call = Wire::OrderCall(order);
    auto connected = co_await http_connection::Connect(address, kOrderTime);
    if (!connected) {
      LogEvent(log_level::eWarning, "order_unsent", { { "runner", order.mRunnerName } });
      co_return;
    }
    // Connecting takes time, and the machine may have been suspended in it: another daemon may hold
    // the term by now.
    if (mState.Now() >= mOrdersUntil) {
      LogEvent(log_level::eInfo, "order_withheld", { { "runner", order.mRunnerName } });
      co_return;
    }
    // Sent once: an order without an answer may still be carried out later.
    const result<http_answer> answer = co_await connected.value()->Call(call, kOrderTime);
    const unsigned status = answer ? answer.value().mStatus : 0;
    if (status == 202) {
      ++mOrdersTaken[aChange.mRunner];
      mState.mRunners.NoteChanging(aChange.mRunner, mState.Now() + kLongestChange);
      run_message message;
      message.mOrdered.push_back(aChange.mRunner);
      mState.mTellDaemons(std::move(message));
    }
    if (status == 412) {
      mTerm = 0; // A later term has given orders.
    }
    LogEvent(log_level::eInfo,
             "role_ordered",
             { { "runner", order.mRunnerName },
               { "role", RoleName(order.mRole) },
               { "term", order.mTerm },
               { "status", status } });
  }

  forward_state& mState;                                   ///< Shared.
  Store& mStore;                                           ///< Holds the term.
  role_planner mPlanner;                                   ///< What is wanted.
  std::uint64_t mTerm = 0;                                 ///< The term held; 0 if none.
  instant mTermFrom;                                       ///< No try to take a term before this.
  instant mOrdersFrom{ 0 };                                ///< No orders before this.
  instant mOrdersUntil{ 0 };                               ///< The term was confirmed until then.
  std::map<service_runner_id, std::uint64_t> mOrdersTaken; ///< Orders taken in each life.
};

} // namespace dunehook
