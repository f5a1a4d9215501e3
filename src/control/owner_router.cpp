/**
 * @file owner_router.cpp
 * Sending of events to the owners of cells.
 */
#include "control/owner_router.h"

#include <set>
#include <utility>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kEventTimeout = 250ms;      ///< Timeout of an event to an owner.
constexpr duration kOwnerPollInterval = 150ms; ///< Time between checks for changes of owners.
constexpr int kMaxSendTries = 4;               ///< Owners tried for one event.
/** A former owner that isn't reached is told for this long; one that stays away is gone by then. */
constexpr duration kFormerOwnerTime = 5s;

json
EventMessage(const cell_key& aKey, const decide_event& aEvent)
{
  return { { "prefill", aKey.mPrefillPool },
           { "decode", aKey.mDecodePool },
           { "link", aKey.mLink },
           { "event", EventToJson(aEvent) } };
}

} // namespace

asio::awaitable<result<void>>
owner_router::Send(cell_key aKey, decide_event aEvent)
{
  const attempt_id attempt = AttemptOf(aEvent);
  for (int tries = 0; tries < kMaxSendTries; ++tries) {
    const member_info owner = mMembers.OwnerOf(ToText(aKey));
    NoteOwner(attempt, owner, aEvent);
    if (owner.mIncarnation == mMembers.Self().mIncarnation) {
      mOwner.Handle(aKey, aEvent);
      co_return boost::outcome_v2::success();
    }
    const json message = EventMessage(aKey, aEvent);
    if (co_await mPeers.Call(owner, "event", message, kEventTimeout)) {
      co_return boost::outcome_v2::success();
    }
  }
  co_return make_error_code(errc::eNoRunner);
}

void
owner_router::NoteOwner(const attempt_id& aAttempt,
                        const member_info& aOwner,
                        const decide_event& aEvent)
{
  // Only these events make an attempt known to an owner; it drops other events of unknown attempts.
  const bool announcesAttempt = std::holds_alternative<request_arrived>(aEvent) ||
                                std::holds_alternative<request_adopted>(aEvent);
  const bool endsAttempt = std::holds_alternative<stream_finished>(aEvent) ||
                           std::holds_alternative<request_cancelled>(aEvent);
  attempt_entry* const entry = mAttempts.Find(aAttempt);
  if (entry == nullptr || (!announcesAttempt && !endsAttempt)) {
    return;
  }
  if (entry->mOwner && entry->mOwner != aOwner.mIncarnation) {
    mFormerOwners.push_back(
      { entry->mOwner, entry->mCell, aAttempt, boot_clock_source{}.Now() + kFormerOwnerTime });
  }
  entry->mOwner = aOwner.mIncarnation;
}

asio::awaitable<void>
owner_router::TellFormerOwners()
{
  const std::vector<former_owner> due = std::exchange(mFormerOwners, {});
  std::set<incarnation_id> unreached;
  for (const former_owner& former : due) {
    bool told = false;
    if (!unreached.contains(former.mOwner)) {
      told = co_await TellFormerOwner(former);
    }
    if (!told) {
      unreached.insert(former.mOwner);
    }
    if (!told && boot_clock_source{}.Now() < former.mUntil) {
      mFormerOwners.push_back(former);
    }
  }
}

asio::awaitable<bool>
owner_router::TellFormerOwner(former_owner aFormer)
{
  const attempt_entry* const entry = mAttempts.Find(aFormer.mAttempt);
  if (entry != nullptr && entry->mOwner == aFormer.mOwner) {
    co_return true; // It's the owner again.
  }
  if (aFormer.mOwner == mMembers.Self().mIncarnation) {
    mOwner.Forget(aFormer.mCell, aFormer.mAttempt);
    co_return true;
  }
  const member_info* const member = mMembers.Find(aFormer.mOwner);
  if (member == nullptr) { // It may be heard again.
    co_return false;
  }
  const json message = EventMessage(aFormer.mCell, request_moved{ aFormer.mAttempt });
  const result<json> answer =
    co_await mPeers.Call(member_info(*member), "event", message, kEventTimeout);
  co_return answer.has_value();
}

asio::awaitable<void>
owner_router::WatchLoop()
{
  for (;;) {
    co_await Sleep(kOwnerPollInterval);
    std::vector<attempt_id> moved;
    for (const auto& [attempt, entry] : mAttempts.Entries()) {
      const incarnation_id owner = mMembers.OwnerOf(ToText(entry.mCell)).mIncarnation;
      if (entry.mOwner && owner != entry.mOwner) {
        moved.push_back(attempt);
      }
    }
    for (const attempt_id& attempt : moved) {
      co_await AnnounceToNewOwner(attempt);
    }
    co_await TellFormerOwners();
  }
}

asio::awaitable<void>
owner_router::AnnounceToNewOwner(attempt_id aAttempt)
{
  const attempt_entry* const entry = mAttempts.Find(aAttempt);
  if (entry == nullptr) {
    co_return;
  }
  const cell_key cell = entry->mCell;
  if (entry->mStage == request_stage::eWaiting) {
    co_await Send(cell, entry->mRequest);
    co_return;
  }
  const request_adopted adopted{ entry->mRequest, entry->mStage, entry->mPrefill, entry->mDecode };
  co_await Send(cell, adopted);
  co_await SendMissedChanges(cell, aAttempt, adopted.mStage);
}

asio::awaitable<void>
owner_router::SendMissedChanges(cell_key aKey, attempt_id aAttempt, request_stage aReportedStage)
{
  const attempt_entry* const entry = mAttempts.Find(aAttempt);
  const request_cancelled cancelled{ aAttempt };
  if (entry == nullptr) {
    co_await Send(aKey, cancelled);
    co_return;
  }
  if (aReportedStage != request_stage::ePrefilling) {
    co_return; // A transfer starts again from its beginning, and a stream needs no order.
  }
  if (entry->mStage == request_stage::eReady) {
    co_await AnnounceToNewOwner(aAttempt);
  } else if (entry->mStage == request_stage::eWaiting) {
    co_await Send(aKey, cancelled); // Otherwise the owner takes the request for a duplicate.
    co_await AnnounceToNewOwner(aAttempt);
  }
}

} // namespace dunehook
