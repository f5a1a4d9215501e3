/**
 * @file send_type.h
 * What forwarding knows of a request and of an answer, decoded from their heads once.
 */
#pragma once

#include "core/clock_type.h"
#include "core/hash_func.h"
#include "core/text_func.h"
#include "runners/runner_type.h"

#include <optional>
#include <string>

namespace dunehook {

/** What a request's head says. */
struct request_facts
{
  std::string mId;                   ///< Chosen by the caller; differs with each of its tries.
  std::optional<duration> mTimeLeft; ///< How long the caller will wait.
  std::string mModel;                ///< Model wanted; empty if none.
  std::uint32_t mPromptTokens = 0;   ///< Length of the prompt; 0 if unknown.
  std::uint32_t mMostTokens = 0;     ///< Most tokens of the answer; 0 if unknown.
  std::uint32_t mGuessedTokens = 0;  ///< The caller's guess of the answer's tokens; 0 if none.
  std::uint64_t mPromptKey = 0;      ///< Hash of the prompt's own part: alike for all tries.
  std::optional<std::uint64_t> mLastEvent; ///< The caller has the events up to this one.

  auto operator<=>(const request_facts&) const = default;
};

/** A reservation that a runner granted. */
struct reservation
{
  std::string mId; ///< As the runner named it.

  auto operator<=>(const reservation&) const = default;
};

/** Where a prompt's KV cache lies after its prefill. */
struct prefill_result
{
  std::string mHandle;        ///< As the runner named it.
  std::uint64_t mVersion = 0; ///< Version of the weights that read it.

  auto operator<=>(const prefill_result&) const = default;
};

/** How a request is sent to a runner. */
struct send_plan
{
  std::string mRunnerName;   ///< Its id in the discovery.
  service_runner_id mRunner; ///< The life that is meant.
  duration mTimeLeft{ 0 };   ///< Work on it ends then.
  std::uint32_t mRank = 5;   ///< 0 is the most urgent.
  bool mPrefillOnly = false; ///< The prompt is only read.
  std::string mReservation;  ///< Reservation to use; empty if none.
  std::string mPrefillAt;    ///< "address:port/handle" of the prefill; empty if none.
  std::optional<std::uint64_t> mAfterEvent; ///< Go on after this event.
};

/** What the head of a runner's answer says. */
struct answer_facts
{
  unsigned mStatus = 0;      ///< HTTP status.
  std::string mRequestId;    ///< The request it belongs to; empty if it doesn't say.
  bool mMisdirected = false; ///< The runner isn't the one that was meant, or has another role.
  bool mNotRun = false;      ///< The runner tells that it did not run the request.
  bool mHasReceipt = false;  ///< It carries the runner's receipt.
  duration mKeepFor{ 0 };    ///< How long the runner keeps an idle connection; 0 if not told.
  runner_notice mNotice;     ///< What the runner says of itself.

  auto operator<=>(const answer_facts&) const = default;
};

/** @return the id of the life of the runner @p aName that was born at @p aBorn; 0 if not told. */
inline service_runner_id
RunnerIdOf(std::string_view aName, std::uint64_t aBorn = 0)
{
  if (aBorn == 0) {
    return { HashBytes(aName) | 1U };
  }
  return { HashBytes(Join(aName, "@", aBorn)) | 1U };
}

} // namespace dunehook
