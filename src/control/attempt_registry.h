/**
 * @file attempt_registry.h
 * The attempts that this daemon's frontends have under way: where orders for them go, and what a
 * new owner of their cell has to be told.
 */
#pragma once

#include "control/message_func.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace dunehook {

/** Names a cell: one pair of pools and the link between them. */
struct cell_key
{
  std::string mPrefillPool; ///< Pool that reads prompts.
  std::string mDecodePool;  ///< Pool that generates tokens.
  std::string mLink;        ///< Link between them.

  auto operator<=>(const cell_key&) const = default;
};

/** @return the text whose rendezvous rank decides who owns the cell. */
std::string
ToText(const cell_key& aKey);

/** An attempt under way. */
struct attempt_entry
{
  cell_key mCell;                                       ///< Its cell.
  request_arrived mRequest;                             ///< What the owner was told.
  request_stage mStage = request_stage::eWaiting;       ///< How far it has come.
  engine_id mPrefill;                                   ///< Prefill engine, if any.
  engine_id mDecode;                                    ///< Decode engine, if any.
  incarnation_id mOwner;                                ///< The owner that was told last.
  std::function<void(const addressed_order&)> mOnOrder; ///< Takes orders.
  std::function<void()> mOnSuperseded;                  ///< Ends the attempt for a newer one.
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
