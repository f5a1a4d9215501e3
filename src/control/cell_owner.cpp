/**
 * @file cell_owner.cpp
 * The owner role.
 */
#include "control/cell_owner.h"

#include "core/log_func.h"
#include "core/text_func.h"
#include "decide/request_func.h"

#include <algorithm>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kTickEvery = 10ms;    ///< Time limits take effect this late at most.
constexpr duration kWatchEvery = 250ms;  ///< Rest between looks at an engine.
constexpr duration kEngineLimit = 500ms; ///< Time limit of a call to an engine.
/** Longest rest after looks that an engine didn't answer. With kEngineLimit it stays below
 * kFailedTime, for which a failed look keeps work away from the engine: an engine that is silent
 * all the while gets none. */
constexpr duration kLongestWatchRest = 450ms;
static_assert(kLongestWatchRest + kEngineLimit < kFailedTime);
constexpr duration kOrderLimit = 300ms; ///< Time limit of an order to a front.
/** An owner that has just started hears of a front some ms after the front has heard it and has
 * sent its first events. Orders wait for the front's heartbeat so long, several times between
 * heartbeats; a dropped one leaves its call without an answer. */
constexpr duration kFrontHeardWithin = 1s;
constexpr duration kFrontUnheardRest = 20ms; ///< Time between looks for it.
constexpr duration kStrangerGrace = 1s;      ///< A hold unknown here may be news under way.
constexpr duration kGiveUpAfter = 2s;        ///< A cell that ranks elsewhere is dropped after this.
constexpr int kOrderTries = 3;
constexpr int kCancelTries = 5;

instant
Now()
{
  return boot_clock_source().Now();
}

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
cell_owner::CellOf(const cell_key& aKey)
{
  std::unique_ptr<cell_entry>& slot = mCells[aKey];
  if (!slot) {
    slot = std::make_unique<cell_entry>(cell_settings{}, mMembers.Self().mIncarnation.mValue);
    slot->mOwnedLast = Now();
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
  Carry(CellOf(aKey), event);
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
cell_owner::Carry(cell_entry& aCell, const decide_event& aEvent)
{
  Dispatch(aCell.mCore.Handle(aEvent, Now()));
}

void
cell_owner::NoteGone(incarnation_id aIncarnation)
{
  for (auto& [key, cell] : mCells) {
    Carry(*cell, incarnation_gone{ aIncarnation });
  }
}

void
cell_owner::Sync()
{
  for (auto& [key, cell] : mCells) {
    SyncCell(key, *cell);
  }
}

void
cell_owner::SyncCell(const cell_key& aKey, cell_entry& aCell)
{
  cell_settings settings;
  const fold& state = mLog.State();
  if (const auto* pool = state.FindSpec<pool_spec>(resource_kind::ePool, aKey.mPrefillPool)) {
    settings.mKvLifetime = std::chrono::milliseconds(pool->mKvLifetimeMs);
    settings.mKvBytesPerToken = pool->mKvBytesPerToken;
  }
  if (const auto* link = state.FindSpec<link_spec>(resource_kind::eLink, aKey.mLink)) {
    settings.mLink = *link;
  }
  if (settings != aCell.mCore.State().mSettings) {
    Carry(aCell, cell_changed{ settings });
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
    Carry(aCell, engine_gone{ id });
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
      Carry(aCell, engine_seen{ info });
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
    Deliver(addressed);
  }
}

void
cell_owner::Deliver(const addressed_order& aOrder)
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
    entry->mDeliver(aOrder);
  }
}

asio::awaitable<void>
cell_owner::SendOrder(addressed_order aOrder)
{
  const json message = OrderToJson(aOrder);
  const incarnation_id front = AttemptOf(aOrder.mOrder).mIncarnation;
  const instant heardBy = Now() + kFrontHeardWithin;
  while (mMembers.Find(front) == nullptr && !mMembers.IsKnownGone(front) && Now() < heardBy) {
    co_await Sleep(kFrontUnheardRest);
  }
  for (int tries = 0; tries < kOrderTries; ++tries) {
    const member_info* const member = mMembers.Find(front);
    if (member == nullptr) {
      co_return; // Its end frees what it had.
    }
    const result<json> answer =
      co_await mPeers.Call(member_info(*member), "order", message, kOrderLimit);
    if (answer) {
      co_return;
    }
  }
}

asio::awaitable<void>
cell_owner::CancelAt(endpoint aEngine, attempt_id aAttempt)
{
  for (int tries = 0; tries < kCancelTries; ++tries) {
    if (co_await mEngines.Cancel(aEngine, aAttempt, kEngineLimit)) {
      co_return;
    }
    co_await Sleep(kWatchEvery);
  }
}

asio::awaitable<void>
cell_owner::TickLoop()
{
  for (;;) {
    co_await Sleep(kTickEvery);
    for (auto& [key, cell] : mCells) {
      Dispatch(cell->mCore.Tick(Now()));
    }
  }
}

void
cell_owner::DropLostCells()
{
  for (auto row = mCells.begin(); row != mCells.end();) {
    const bool owned =
      mMembers.OwnerOf(ToText(row->first)).mIncarnation == mMembers.Self().mIncarnation;
    if (owned) {
      row->second->mOwnedLast = Now();
    }
    if (Now() - row->second->mOwnedLast > kGiveUpAfter) {
      LogEvent(log_level::eInfo, "cell_dropped", { { "cell", ToText(row->first) } });
      Add(mPast, row->second->mCore.State().mCounters);
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
    co_await Sleep(kWatchEvery);
    // A cell whose owner ended is taken over here even before a front asks for it.
    for (const auto& [key, one] : mLog.State().Resources()) {
      const auto* const route = std::get_if<route_spec>(&one.mSpec);
      if (route == nullptr || route->mModel.empty()) {
        continue;
      }
      const cell_key cell{ route->mPrefillPool, route->mDecodePool, route->mLink };
      if (mMembers.OwnerOf(ToText(cell)).mIncarnation == mMembers.Self().mIncarnation) {
        CellOf(cell);
      }
    }
    DropLostCells();
    WatchEngines();
  }
}

void
cell_owner::WatchEngines()
{
  std::set<engine_id> engines;
  for (const auto& [key, cell] : mCells) {
    for (const auto& [id, engine] : cell->mCore.State().mEngines) {
      engines.insert(id);
    }
  }
  for (const engine_id id : engines) {
    if (mHoldsRepeated.insert(id).second) {
      Spawn(mIo, Repeat(id, &cell_owner::LookAtHolds, mHoldsRepeated));
    }
    if (mCacheRepeated.insert(id).second) {
      Spawn(mIo, Repeat(id, &cell_owner::LookAtCache, mCacheRepeated));
    }
  }
}

bool
cell_owner::IsInACell(engine_id aEngine) const
{
  return std::any_of(mCells.begin(), mCells.end(), [aEngine](const auto& aRow) {
    return aRow.second->mCore.State().mEngines.contains(aEngine);
  });
}

/**
 * Does something at an engine, once at a time and for all cells that have the engine, until none
 * has it. A look begun by a timer beside one that hasn't ended loads an engine the more the slower
 * it is.
 */
asio::awaitable<void>
cell_owner::Repeat(engine_id aEngine, engine_step aStep, std::set<engine_id>& aRepeated)
{
  duration rest = kWatchEvery;
  while (IsInACell(aEngine)) {
    const bool answered = co_await (this->*aStep)(aEngine);
    rest = answered ? kWatchEvery : std::min(rest * 2, kLongestWatchRest);
    co_await Sleep(rest);
  }
  aRepeated.erase(aEngine);
}

asio::awaitable<bool>
cell_owner::LookAtHolds(engine_id aEngine)
{
  const host* const at = mHosts.Find(aEngine);
  if (at == nullptr) {
    co_return true; // It's about to leave the cells.
  }
  const endpoint address = at->mAddress;
  const result<std::vector<engine_hold>> holds = co_await mEngines.Holds(address, kEngineLimit);
  stranger_ages strangers;
  for (const auto& [key, cell] : mCells) {
    if (!cell->mCore.State().mEngines.contains(aEngine)) {
      continue;
    }
    if (holds) {
      ReportHolds(*cell, aEngine, holds.value(), strangers);
    } else {
      Carry(*cell, engine_silent{ aEngine });
    }
  }
  if (!strangers.empty() && mFreeing.insert(aEngine).second) {
    Spawn(mIo, FreeAbandoned(aEngine, address, std::move(strangers)));
  }
  co_return holds.has_value();
}

/** Tells a cell what its engine holds. @param aStrangers takes the attempts it doesn't know. */
void
cell_owner::ReportHolds(cell_entry& aCell,
                        engine_id aEngine,
                        const std::vector<engine_hold>& aHolds,
                        stranger_ages& aStrangers)
{
  load_reported report{ aEngine, 0, 0 };
  std::map<std::pair<engine_id, attempt_id>, instant> stillStrange;
  for (const engine_hold& hold : aHolds) {
    report.mHeld += hold.mSlot ? 1 : 0;
    if (aCell.mCore.State().mRequests.contains(hold.mAttempt)) {
      continue;
    }
    report.mForeign += hold.mSlot ? 1 : 0;
    const auto row = std::make_pair(aEngine, hold.mAttempt);
    const auto since = aCell.mStrangers.try_emplace(row, Now()).first->second;
    stillStrange[row] = since;
    duration& age = aStrangers[hold.mAttempt];
    age = std::max(age, Now() - since);
  }
  std::erase_if(aCell.mStrangers, [&](const auto& aRow) {
    return aRow.first.first == aEngine && !stillStrange.contains(aRow.first);
  });
  Carry(aCell, report);
}

/**
 * Frees those of an engine's strangers that nobody waits for, one after the other. One that isn't
 * freed is listed by a later look and tried again then. A front that doesn't answer is asked once,
 * not for each of its attempts.
 */
asio::awaitable<void>
cell_owner::FreeAbandoned(engine_id aEngine, endpoint aAddress, stranger_ages aStrangers)
{
  std::set<incarnation_id> silent;
  for (const auto& [attempt, age] : aStrangers) {
    if (silent.contains(attempt.mIncarnation)) {
      continue;
    }
    const result<bool> abandoned = co_await IsAbandoned(attempt, age);
    if (!abandoned) {
      silent.insert(attempt.mIncarnation);
    } else if (abandoned.value()) {
      LogEvent(log_level::eWarning,
               "hold_freed",
               { { "attempt", ToText(attempt) }, { "engine", ToText(aAddress) } });
      co_await mEngines.Cancel(aAddress, attempt, kEngineLimit);
    }
  }
  mFreeing.erase(aEngine);
}

/** @return whether nobody waits for an attempt, or why its front didn't say. */
asio::awaitable<result<bool>>
cell_owner::IsAbandoned(attempt_id aAttempt, duration aAge)
{
  if (mMembers.IsKnownGone(aAttempt.mIncarnation)) {
    co_return true;
  }
  if (aAge < kStrangerGrace) {
    co_return false;
  }
  if (aAttempt.mIncarnation == mMembers.Self().mIncarnation) {
    co_return mAttempts.Find(aAttempt) == nullptr;
  }
  const member_info* const front = mMembers.Find(aAttempt.mIncarnation);
  if (front == nullptr) {
    co_return true;
  }
  const json message{ { "attempt", ToText(aAttempt) } };
  const result<json> answer =
    co_await mPeers.Call(member_info(*front), "attempt_active", message, kOrderLimit);
  if (!answer) {
    co_return answer.error();
  }
  co_return !answer.value().value("active", true);
}

asio::awaitable<bool>
cell_owner::LookAtCache(engine_id aEngine)
{
  const host* const at = mHosts.Find(aEngine);
  if (at == nullptr) {
    co_return true; // It's about to leave the cells.
  }
  const endpoint address = at->mAddress;
  std::vector<cell_key> cells;
  for (const auto& [key, cell] : mCells) {
    if (key.mPrefillPool == at->mPool && cell->mCore.State().mEngines.contains(aEngine)) {
      cells.push_back(key);
    }
  }
  for (const cell_key& key : cells) {
    if (!co_await ReadCacheEvents(key, aEngine, address)) {
      co_return false;
    }
  }
  co_return true;
}

/** Takes an engine's next cache events into a cell. @return whether the engine answered. */
asio::awaitable<bool>
cell_owner::ReadCacheEvents(cell_key aKey, engine_id aEngine, endpoint aAddress)
{
  const auto before = mCells.find(aKey);
  if (before == mCells.end()) {
    co_return true;
  }
  const std::uint64_t from = before->second->mCacheNext[aEngine];
  const result<json> events =
    co_await mEngines.Get(aAddress, Join("/v1/cache_events?from=", from), kEngineLimit);
  if (!events) {
    co_return false;
  }
  const auto found = mCells.find(aKey);
  if (found == mCells.end() || found->second->mCacheNext[aEngine] != from) {
    co_return true; // Given up, or taken anew meanwhile: a new cell needs all events.
  }
  for (const json& event : events.value().value("events", json::array())) {
    Carry(*found->second,
          cache_changed{
            aEngine, event.value("hash", std::uint64_t{ 0 }), event.value("present", false) });
  }
  found->second->mCacheNext[aEngine] = events.value().value("next", from);
  co_return true;
}

void
cell_owner::Add(cell_counters& aTo, const cell_counters& aFrom)
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
  cell_counters totals = mPast;
  for (const auto& [key, cell] : mCells) {
    Add(totals, cell->mCore.State().mCounters);
  }
  return totals;
}

} // namespace dunehook
