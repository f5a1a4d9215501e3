/**
 * @file attempt_registry.h
 * The attempts in progress at this daemon's frontends: who receives their orders, and the state
 * that is sent to a new owner of their cell.
 */
#pragma once

#include "control/message_func.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace dunehook {

/** Identifies a cell: a prefill pool, a decode pool and the link between them. */
struct cell_key
{
  std::string mPrefillPool; ///< Pool that reads prompts.
  std::string mDecodePool;  ///< Pool that generates tokens.
  std::string mLink;        ///< Link between them.

  auto operator<=>(const cell_key&) const = default;
};

/** @return the key text that rendezvous hashing uses to choose the cell's owner. */
std::string
ToText(const cell_key& aKey);

/** An attempt in progress. */
struct attempt_entry
{
  cell_key mCell;                                 ///< Cell that the attempt belongs to.
  request_arrived mRequest;                       ///< Request as it was sent to the owner.
  request_stage mStage = request_stage::eWaiting; ///< Current stage.
  engine_id mPrefill;                             ///< Prefill engine, if any.
  engine_id mDecode;                              ///< Decode engine, if any.
  incarnation_id mOwner;                          ///< Owner that the attempt was last sent to.
  std::function<void(const addressed_order&)> mOnOrder; ///< Receives the owner's orders.
  std::function<void()> mOnSuperseded; ///< Ends the attempt because a newer one replaces it.
};

/** Attempts by id. */
class attempt_registry
{
public:
  void Add(const attempt_id& aAttempt, attempt_entry aEntry)
  {
    mEntries[aAttempt] = std::move(aEntry);
  }
  void Remove(const attempt_id& aAttempt) { mEntries.erase(aAttempt); }
  /** @return the entry, or null. */
  attempt_entry* Find(const attempt_id& aAttempt)
  {
    const auto found = mEntries.find(aAttempt);
    return found == mEntries.end() ? nullptr : &found->second;
  }
  std::unordered_map<attempt_id, attempt_entry>& Entries() { return mEntries; }

private:
  std::unordered_map<attempt_id, attempt_entry> mEntries; ///< By id.
};

} // namespace dunehook
