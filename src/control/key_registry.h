/**
 * @file key_registry.h
 * Idempotency keys known to this daemon: the state of calls that it claimed, and the newest attempt
 * for each key of a repeatable call that it owns by rendezvous rank.
 */
#pragma once

#include "core/attempt_type.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace dunehook {

/** State of a claimed call. */
enum class keyed_state
{
  eRunning,   ///< Claimed; it may be sent or was sent, and no answer came yet.
  eDone,      ///< The runner answered.
  eUnknown,   ///< It may have run.
  eAbandoned, ///< It was not sent and never will be.
};

/** A claimed call. */
struct keyed_call
{
  attempt_id mAttempt;                        ///< Attempt that claimed the key.
  keyed_state mState = keyed_state::eRunning; ///< State of the call.
  unsigned mStatus = 0;                       ///< Status of the answer; if done.
  std::string mBody;                          ///< Body of the answer; if done.
};

/** A table of bounded size that evicts the oldest entries first. */
template<typename Value>
class bounded_table
{
public:
  explicit bounded_table(std::size_t aMaxEntries)
    : mMaxEntries(aMaxEntries)
  {
  }

  /** Sets the value of a key. */
  void Set(const std::string& aKey, Value aValue)
  {
    if (mValues.insert_or_assign(aKey, std::move(aValue)).second) {
      mOrder.push_back(aKey);
    }
    if (mOrder.size() > mMaxEntries) {
      mValues.erase(mOrder.front());
      mOrder.pop_front();
    }
  }

  /** @return the value of a key, or null. */
  Value* Find(const std::string& aKey)
  {
    const auto found = mValues.find(aKey);
    return found == mValues.end() ? nullptr : &found->second;
  }

private:
  std::size_t mMaxEntries;                        ///< Size limit.
  std::unordered_map<std::string, Value> mValues; ///< By key.
  std::deque<std::string> mOrder;                 ///< Keys of mValues, oldest first.
};

/** Idempotency keys known to this daemon. */
class key_registry
{
public:
  bounded_table<keyed_call>& Calls() { return mCalls; }

  /** Makes @p aAttempt the newest of a key. @return the previous newest attempt, if any. */
  std::optional<attempt_id> ReplaceNewest(const std::string& aKey, attempt_id aAttempt)
  {
    const attempt_id* const before = mNewest.Find(aKey);
    const std::optional<attempt_id> old = before == nullptr ? std::nullopt : std::optional(*before);
    mNewest.Set(aKey, aAttempt);
    return old;
  }

private:
  static constexpr std::size_t kMaxKeys = 20000; ///< Size limit of each table.
  bounded_table<keyed_call> mCalls{ kMaxKeys };  ///< Calls claimed by this daemon.
  bounded_table<attempt_id> mNewest{ kMaxKeys }; ///< Newest attempts of repeatable calls.
};

/** @return the call as the JSON answer to a peer's query. */
nlohmann::json
ToJson(const keyed_call& aCall);

/** @return the call parsed from a peer's JSON answer. */
keyed_call
KeyedCallFromJson(const nlohmann::json& aJson);

} // namespace dunehook
