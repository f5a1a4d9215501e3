/**
 * @file cell_owner.cpp
 * The owner role: cell lifecycle, synchronisation with the configuration, and delivery of orders.
 */
#include "control/cell_owner.h"

#include "control/cell_limits.h"
#include "core/log_func.h"
#include "core/text_func.h"
#include "decide/request_func.h"

#include <algorithm>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kTickInterval =
  10ms; ///< Upper bound of the delay with which time limits take effect.
/** How long an order waits for the first heartbeat of its frontend; several heartbeat intervals. An
 * owner that has just started receives the frontend's heartbeat some ms after the frontend has sent
 * its first events. Dropping the order would leave the call without an answer. */
constexpr duration kFrontendHeartbeatTimeout = 1s;
constexpr duration kFrontendPollInterval = 20ms; ///< Time between checks for that heartbeat.
constexpr duration kCellDropDelay =
  2s; ///< A cell that another daemon has owned for this long is dropped.
constexpr int kMaxOrderTries = 3;
constexpr int kMaxCancelTries = 5;

} // namespace

std::string
ToText(const cell_key& aKey)
{
  return Join("cell:", aKey.mPrefillPool, "|", aKey.mDecodePool, "|", aKey.mLink);
}

void
cell_owner::Start()
{
  Spawn(mIo, TickLoop());
  Spawn(mIo, WatchLoop());
}

cell_owner::cell_entry&
cell_owner::GetOrCreateCell(const cell_key& aKey)
{
  std::unique_ptr<cell_entry>& slot = mCells[aKey];
  if (!slot) {
    slot = std::make_unique<cell_entry>(cell_settings{}, mMembers.Self().mIncarnation.mValue);
    slot->mLastOwned = Now();
    SyncCell(aKey, *slot);
    LogEvent(log_level::eInfo, "cell_taken", { { "cell", ToText(aKey) } });
  }
  return *slot;
}

void
cell_owner::Handle(const cell_key& aKey, const decide_event& aEvent)
{
  decide_event event = aEvent;
  if (auto* const arrived = std::get_if<request_arrived>(&event)) {
    SetTargets(*arrived);
  } else if (auto* const adopted = std::get_if<request_adopted>(&event)) {
    SetTargets(adopted->mRequest);
  }
  ApplyEvent(GetOrCreateCell(aKey), event);
}

void
cell_owner::SetTargets(request_arrived& aRequest) const
{
  const auto* targets =
    mLog.State().FindSpec<priority_class_spec>(resource_kind::ePriorityClass, aRequest.mClass);
  if (targets != nullptr) {
    aRequest.mTargets = *targets;
  }
}

void
cell_owner::ApplyEvent(cell_entry& aCell, const decide_event& aEvent)
{
  Dispatch(aCell.mCore.Handle(aEvent, Now()));
}

void
cell_owner::Forget(const cell_key& aKey, const attempt_id& aAttempt)
{
  const auto cell = mCells.find(aKey);
  if (cell != mCells.end()) {
    ApplyEvent(*cell->second, request_moved{ aAttempt });
  }
}

void
cell_owner::HandleDaemonGone(incarnation_id aIncarnation)
{
  for (auto& [key, cell] : mCells) {
    ApplyEvent(*cell, incarnation_ended{ aIncarnation });
  }
}

void
cell_owner::SyncAllCells()
{
  for (auto& [key, cell] : mCells) {
    SyncCell(key, *cell);
  }
}

void
cell_owner::SyncCell(const cell_key& aKey, cell_entry& aCell)
{
  cell_settings settings;
  const replicated_state& state = mLog.State();
  if (const auto* pool = state.FindSpec<pool_spec>(resource_kind::ePool, aKey.mPrefillPool)) {
    settings.mKvLifetime = std::chrono::milliseconds(pool->mKvLifetimeMs);
    settings.mKvBytesPerToken = pool->mKvBytesPerToken;
  }
  if (const auto* link = state.FindSpec<link_spec>(resource_kind::eLink, aKey.mLink)) {
    settings.mLink = *link;
  }
  if (settings != aCell.mCore.State().mSettings) {
    ApplyEvent(aCell, cell_settings_changed{ settings });
  }
  std::set<engine_id> seen;
  SyncEngines(aCell, aKey.mPrefillPool, seen);
  SyncEngines(aCell, aKey.mDecodePool, seen);
  std::vector<engine_id> gone;
  for (const auto& [id, engine] : aCell.mCore.State().mEngines) {
    if (!seen.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const engine_id id : gone) {
    ApplyEvent(aCell, engine_removed{ id });
  }
}

void
cell_owner::SyncEngines(cell_entry& aCell, const std::string& aPool, std::set<engine_id>& aSeen)
{
  const auto* pool = mLog.State().FindSpec<pool_spec>(resource_kind::ePool, aPool);
  if (pool == nullptr) {
    return;
  }
  for (const host& one : mHosts.Hosts()) {
    if (one.mPool != aPool) {
      continue;
    }
    const engine_info info{ EngineIdOf(one.mName),
                            one.mName,
                            pool->mRole,
                            pool->mSlots,
                            static_cast<double>(pool->mTokensPerSecond),
                            one.mLeaving };
    aSeen.insert(info.mId);
    const auto& engines = aCell.mCore.State().mEngines;
    const auto known = engines.find(info.mId);
    if (known == engines.end() || known->second.mInfo != info) {
      ApplyEvent(aCell, engine_updated{ info });
    }
  }
}

void
cell_owner::Dispatch(const tick_result& aResult)
{
  for (const decision_record& record : aResult.mRecords) {
    LogEvent(log_level::eInfo, "placement", ToJson(record));
  }
  for (const decide_order& order : aResult.mOrders) {
    addressed_order addressed{ order, {} };
    if (const host* const engine = mHosts.Find(EngineOf(order))) {
      addressed.mAddress = engine->mAddress;
    }
    DeliverOrder(addressed);
  }
}

void
cell_owner::DeliverOrder(const addressed_order& aOrder)
{
  const attempt_id attempt = AttemptOf(aOrder.mOrder);
  if (std::holds_alternative<cancel_work>(aOrder.mOrder)) {
    if (aOrder.mAddress.mPort != 0) {
      Spawn(mIo, CancelAt(aOrder.mAddress, attempt));
    }
    return;
  }
  if (attempt.mIncarnation != mMembers.Self().mIncarnation) {
    Spawn(mIo, SendOrder(aOrder));
    return;
  }
  if (attempt_entry* const entry = mAttempts.Find(attempt)) {
    entry->mOnOrder(aOrder);
  }
}

asio::awaitable<void>
cell_owner::SendOrder(addressed_order aOrder)
{
  const json message = OrderToJson(aOrder);
  const incarnation_id frontend = AttemptOf(aOrder.mOrder).mIncarnation;
  const instant heartbeatDeadline = Now() + kFrontendHeartbeatTimeout;
  while (mMembers.Find(frontend) == nullptr && !mMembers.IsKnownGone(frontend) &&
         Now() < heartbeatDeadline) {
    co_await Sleep(kFrontendPollInterval);
  }
  for (int tries = 0; tries < kMaxOrderTries; ++tries) {
    const member_info* const member = mMembers.Find(frontend);
    if (member == nullptr) {
      co_return; // The frontend is gone: HandleDaemonGone() releases its attempts.
    }
    const result<json> answer =
      co_await mPeers.Call(member_info(*member), "order", message, kFrontendCallTimeout);
    if (answer) {
      co_return;
    }
  }
}

asio::awaitable<void>
cell_owner::CancelAt(endpoint aEngine, attempt_id aAttempt)
{
  for (int tries = 0; tries < kMaxCancelTries; ++tries) {
    if (co_await mEngines.Cancel(aEngine, aAttempt, kEngineCallTimeout)) {
      co_return;
    }
    co_await Sleep(kEnginePollInterval);
  }
}

asio::awaitable<void>
cell_owner::TickLoop()
{
  for (;;) {
    co_await Sleep(kTickInterval);
    for (auto& [key, cell] : mCells) {
      Dispatch(cell->mCore.Tick(Now()));
    }
  }
}

void
cell_owner::DropUnownedCells()
{
  for (auto row = mCells.begin(); row != mCells.end();) {
    const bool owned =
      mMembers.OwnerOf(ToText(row->first)).mIncarnation == mMembers.Self().mIncarnation;
    if (owned) {
      row->second->mLastOwned = Now();
    }
    if (Now() - row->second->mLastOwned > kCellDropDelay) {
      LogEvent(log_level::eInfo, "cell_dropped", { { "cell", ToText(row->first) } });
      AddCounters(mDroppedCellTotals, row->second->mCore.State().mCounters);
      row = mCells.erase(row);
    } else {
      ++row;
    }
  }
}

asio::awaitable<void>
cell_owner::WatchLoop()
{
  for (;;) {
    co_await Sleep(kEnginePollInterval);
    // Takes over a cell whose owner ended even before a frontend sends an event for it.
    for (const auto& [key, one] : mLog.State().Resources()) {
      const auto* const route = std::get_if<route_spec>(&one.mSpec);
      if (route == nullptr || route->mModel.empty()) {
        continue;
      }
      const cell_key cell{ route->mPrefillPool, route->mDecodePool, route->mLink };
      if (mMembers.OwnerOf(ToText(cell)).mIncarnation == mMembers.Self().mIncarnation) {
        GetOrCreateCell(cell);
      }
    }
    DropUnownedCells();
    StartEnginePolling();
  }
}

void
cell_owner::AddCounters(cell_counters& aTo, const cell_counters& aFrom)
{
  aTo.mArrived += aFrom.mArrived;
  aTo.mAdmitted += aFrom.mAdmitted;
  aTo.mRefused += aFrom.mRefused;
  aTo.mRequeued += aFrom.mRequeued;
  aTo.mFinished += aFrom.mFinished;
  aTo.mCancelled += aFrom.mCancelled;
  aTo.mPrefillTokens += aFrom.mPrefillTokens;
  aTo.mWastedTokens += aFrom.mWastedTokens;
  aTo.mCancelledTokens += aFrom.mCancelledTokens;
}

cell_counters
cell_owner::Totals() const
{
  cell_counters totals = mDroppedCellTotals;
  for (const auto& [key, cell] : mCells) {
    AddCounters(totals, cell->mCore.State().mCounters);
  }
  return totals;
}

} // namespace dunehook
