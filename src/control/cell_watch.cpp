/**
 * @file cell_watch.cpp
 * Polling of engines by the owner role: their holds, their cache events, and freeing of abandoned
 * holds.
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

/** Longest pause after polls that an engine didn't answer. With kEngineCallTimeout it stays below
 * kFailureBackoff, for which a failed poll keeps work away from the engine: an engine that stays
 * silent gets none. */
constexpr duration kMaxEnginePollInterval = 450ms;
static_assert(kMaxEnginePollInterval + kEngineCallTimeout < kFailureBackoff);
/** The event that announces the attempt of an unknown hold may still be in flight. */
constexpr duration kUnknownHoldGracePeriod = 1s;

} // namespace

void
cell_owner::StartEnginePolling()
{
  std::set<engine_id> engines;
  for (const auto& [key, cell] : mCells) {
    for (const auto& [id, engine] : cell->mCore.State().mEngines) {
      engines.insert(id);
    }
  }
  for (const engine_id id : engines) {
    if (mHoldsPolled.insert(id).second) {
      Spawn(mIo, PollEngine(id, &cell_owner::PollHolds, mHoldsPolled));
    }
    if (mCachePolled.insert(id).second) {
      Spawn(mIo, PollEngine(id, &cell_owner::PollCacheEvents, mCachePolled));
    }
  }
}

bool
cell_owner::IsInOwnedCell(engine_id aEngine) const
{
  return std::any_of(mCells.begin(), mCells.end(), [aEngine](const auto& aRow) {
    return aRow.second->mCore.State().mEngines.contains(aEngine);
  });
}

/**
 * Polls an engine on behalf of all cells that contain it, until none does. Only one poll runs at a
 * time: starting polls by a timer while others are pending would load an engine more the slower it
 * is.
 */
asio::awaitable<void>
cell_owner::PollEngine(engine_id aEngine, engine_poll aPoll, std::set<engine_id>& aPolled)
{
  duration rest = kEnginePollInterval;
  while (IsInOwnedCell(aEngine)) {
    const bool answered = co_await (this->*aPoll)(aEngine);
    rest = answered ? kEnginePollInterval : std::min(rest * 2, kMaxEnginePollInterval);
    co_await Sleep(rest);
  }
  aPolled.erase(aEngine);
}

asio::awaitable<bool>
cell_owner::PollHolds(engine_id aEngine)
{
  const host* const at = mHosts.Find(aEngine);
  if (at == nullptr) {
    co_return true; // The engine is no longer listed; SyncAllCells() removes it.
  }
  const endpoint address = at->mAddress;
  const result<std::vector<engine_hold>> holds =
    co_await mEngines.Holds(address, kEngineCallTimeout);
  unknown_hold_ages unknownHolds;
  for (const auto& [key, cell] : mCells) {
    if (!cell->mCore.State().mEngines.contains(aEngine)) {
      continue;
    }
    if (holds) {
      ReportHolds(*cell, aEngine, holds.value(), unknownHolds);
    } else {
      ApplyEvent(*cell, engine_unreachable{ aEngine });
    }
  }
  if (!unknownHolds.empty() && mFreeing.insert(aEngine).second) {
    Spawn(mIo, FreeAbandonedHolds(aEngine, address, std::move(unknownHolds)));
  }
  co_return holds.has_value();
}

/** Reports an engine's holds to a cell. @param aUnknownHolds receives the attempts it doesn't know.
 */
void
cell_owner::ReportHolds(cell_entry& aCell,
                        engine_id aEngine,
                        const std::vector<engine_hold>& aHolds,
                        unknown_hold_ages& aUnknownHolds)
{
  load_reported report{ aEngine, 0, 0 };
  std::map<std::pair<engine_id, attempt_id>, instant> stillUnknown;
  for (const engine_hold& hold : aHolds) {
    report.mHeldSlots += hold.mSlot ? 1 : 0;
    if (aCell.mCore.State().mRequests.contains(hold.mAttempt)) {
      continue;
    }
    report.mOtherSlots += hold.mSlot ? 1 : 0;
    const auto row = std::make_pair(aEngine, hold.mAttempt);
    const auto since = aCell.mUnknownHolds.try_emplace(row, Now()).first->second;
    stillUnknown[row] = since;
    duration& age = aUnknownHolds[hold.mAttempt];
    age = std::max(age, Now() - since);
  }
  std::erase_if(aCell.mUnknownHolds, [&](const auto& aRow) {
    return aRow.first.first == aEngine && !stillUnknown.contains(aRow.first);
  });
  ApplyEvent(aCell, report);
}

/**
 * Frees the unknown holds of an engine that no caller waits for, one after the other. A hold that
 * couldn't be freed is found again by a later poll. A frontend that doesn't answer is asked only
 * once, not for each of its attempts.
 */
asio::awaitable<void>
cell_owner::FreeAbandonedHolds(engine_id aEngine,
                               endpoint aAddress,
                               unknown_hold_ages aUnknownHolds)
{
  std::set<incarnation_id> unresponsive;
  for (const auto& [attempt, age] : aUnknownHolds) {
    if (unresponsive.contains(attempt.mIncarnation)) {
      continue;
    }
    const result<bool> abandoned = co_await IsAbandoned(attempt, age);
    if (!abandoned) {
      unresponsive.insert(attempt.mIncarnation);
    } else if (abandoned.value()) {
      LogEvent(log_level::eWarning,
               "hold_freed",
               { { "attempt", ToText(attempt) }, { "engine", ToText(aAddress) } });
      co_await mEngines.Cancel(aAddress, attempt, kEngineCallTimeout);
    }
  }
  mFreeing.erase(aEngine);
}

/** @return whether no caller waits for an attempt, or the error of the query to its frontend. */
asio::awaitable<result<bool>>
cell_owner::IsAbandoned(attempt_id aAttempt, duration aAge)
{
  if (mMembers.IsKnownGone(aAttempt.mIncarnation)) {
    co_return true;
  }
  if (aAge < kUnknownHoldGracePeriod) {
    co_return false;
  }
  if (aAttempt.mIncarnation == mMembers.Self().mIncarnation) {
    co_return mAttempts.Find(aAttempt) == nullptr;
  }
  const member_info* const frontend = mMembers.Find(aAttempt.mIncarnation);
  if (frontend == nullptr) {
    co_return true;
  }
  const json message{ { "attempt", ToText(aAttempt) } };
  const result<json> answer =
    co_await mPeers.Call(member_info(*frontend), "attempt_active", message, kFrontendCallTimeout);
  if (!answer) {
    co_return answer.error();
  }
  co_return !answer.value().value("active", true);
}

asio::awaitable<bool>
cell_owner::PollCacheEvents(engine_id aEngine)
{
  const host* const at = mHosts.Find(aEngine);
  if (at == nullptr) {
    co_return true; // The engine is no longer listed; SyncAllCells() removes it.
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

/** Reads an engine's next cache events and applies them to a cell. @return whether the engine
 * answered. */
asio::awaitable<bool>
cell_owner::ReadCacheEvents(cell_key aKey, engine_id aEngine, endpoint aAddress)
{
  const auto before = mCells.find(aKey);
  if (before == mCells.end()) {
    co_return true;
  }
  const std::uint64_t from = before->second->mNextCacheEvent[aEngine];
  const result<json> events =
    co_await mEngines.Get(aAddress, Join("/v1/cache_events?from=", from), kEngineCallTimeout);
  if (!events) {
    co_return false;
  }
  const auto found = mCells.find(aKey);
  if (found == mCells.end() || found->second->mNextCacheEvent[aEngine] != from) {
    co_return true; // Dropped or re-created meanwhile: a new cell needs all events from the first.
  }
  for (const json& event : events.value().value("events", json::array())) {
    ApplyEvent(*found->second,
               cache_changed{
                 aEngine, event.value("hash", std::uint64_t{ 0 }), event.value("present", false) });
  }
  found->second->mNextCacheEvent[aEngine] = events.value().value("next", from);
  co_return true;
}

} // namespace dunehook
