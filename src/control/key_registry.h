/**
 * @file key_registry.h
 * Idempotency keys as this daemon knows them: what became of calls that it claimed, and which
 * attempt is the newest for keys of repeatable calls that it owns by rank.
 */
#pragma once

#include "core/attempt_type.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace dunehook {

/** How far a claimed call has come. */
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
  attempt_id mAttempt;                        ///< The call.
  keyed_state mState = keyed_state::eRunning; ///< How far it has come.
  unsigned mStatus = 0;                       ///< Status of the answer; if done.
  std::string mBody;                          ///< Body of the answer; if done.
};

/** A table with a bound: the oldest entries go first. */
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
  std::size_t mMaxEntries;                        ///< Most entries.
  std::unordered_map<std::string, Value> mValues; ///< By key.
  std::deque<std::string> mOrder;                 ///< Keys of mValues, oldest first.
};

/** Keys known here. */
class key_registry
{
public:
  bounded_table<keyed_call>& Calls() { return mCalls; }

  /** @return the attempt that was the newest for a key, and makes @p aAttempt the newest. */
  std::optional<attempt_id> ReplaceNewest(const std::string& aKey, attempt_id aAttempt)
  {
    const attempt_id* const before = mNewest.Find(aKey);
    const std::optional<attempt_id> old = before == nullptr ? std::nullopt : std::optional(*before);
    mNewest.Set(aKey, aAttempt);
    return old;
  }

private:
  static constexpr std::size_t kMaxKeys = 20000; ///< Keys remembered of each sort.
  bounded_table<keyed_call> mCalls{ kMaxKeys };  ///< Calls claimed by this daemon.
  bounded_table<attempt_id> mNewest{ kMaxKeys }; ///< Newest attempts of repeatable calls.
};

/** @return the call as the answer to a peer that asks for it. */
nlohmann::json
ToJson(const keyed_call& aCall);

/** @return the call of a peer's answer. */
keyed_call
KeyedCallFromJson(const nlohmann::json& aJson);

} // namespace dunehook
