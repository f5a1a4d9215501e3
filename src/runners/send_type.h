/**
 * @file send_type.h
 * Request and answer metadata, decoded once from the HTTP heads.
 */
#pragma once

#include "core/clock_type.h"
#include "core/hash_func.h"
#include "core/text_func.h"
#include "runners/runner_type.h"

#include <optional>
#include <string>
#include <vector>

namespace dunehook {

/** Most shared parts of a prompt that are read. */
inline constexpr std::size_t kMaxSharedParts = 64;

/** Metadata from the head of a request. */
struct request_facts
{
  std::string mId;                   ///< Chosen by the caller; differs for each attempt.
  std::optional<duration> mTimeLeft; ///< How long the caller will wait.
  std::string mModel;                ///< Requested model; empty if none.
  std::uint32_t mPromptTokens = 0;   ///< Length of the prompt; 0 if unknown.
  std::uint32_t mMostTokens = 0;     ///< Limit on the answer's tokens; 0 if unknown.
  std::uint32_t mGuessedTokens = 0;  ///< The caller's estimate of the answer's tokens; 0 if none.
  std::uint64_t mPromptKey = 0;      ///< Hash of the prompt's own part; same for all attempts.
  /** Ids of the parts before it, in order, which other prompts may have as well; at most
   * kMaxSharedParts. */
  std::vector<std::string> mSharedParts;
  std::optional<std::uint64_t> mLastEvent; ///< Last event that the caller received.
  std::string mResumes; ///< Id of the attempt that brought its first event; empty if none is named.

  auto operator<=>(const request_facts&) const = default;
};

/** A reservation that a runner granted. */
struct reservation
{
  std::string mId; ///< As the runner named it.

  auto operator<=>(const reservation&) const = default;
};

/** Refers to a prompt's KV cache after its prefill. */
struct prefill_result
{
  std::string mHandle;        ///< As the runner named it.
  std::uint64_t mVersion = 0; ///< Version of the weights that computed it.

  auto operator<=>(const prefill_result&) const = default;
};

/** How a request is sent to a runner. */
struct send_plan
{
  std::string mRunnerName;   ///< Its id in service discovery.
  service_runner_id mRunner; ///< The intended incarnation.
  duration mTimeLeft{ 0 };   ///< Time limit of the work.
  std::uint32_t mRank = 5;   ///< 0 is the most urgent.
  bool mPrefillOnly = false; ///< Only prefill the prompt.
  std::string mReservation;  ///< Reservation to use; empty if none.
  std::string mPrefillAt;    ///< "address:port/handle" of the prefill; empty if none.
  std::optional<std::uint64_t> mAfterEvent; ///< Resume after this event.
};

/** Metadata from the head of a runner's answer. */
struct answer_facts
{
  unsigned mStatus = 0;      ///< HTTP status.
  std::string mRequestId;    ///< Request that it answers; empty if not given.
  bool mMisdirected = false; ///< The runner isn't the intended one, or has another role.
  bool mNotRun = false;      ///< The runner states that it did not run the request.
  bool mHasReceipt = false;  ///< It carries the runner's receipt.
  duration mKeepFor{ 0 };    ///< How long the runner keeps an idle connection; 0 if unknown.
  runner_notice mNotice;     ///< What the runner reports about itself.
  named_limit mLimit;        ///< The requests a second that it accepts from all daemons together.

  auto operator<=>(const answer_facts&) const = default;
};

/** @return the id of the incarnation of runner @p aName that started at @p aBorn.
 * @param aBorn start time in ms; 0 if unknown. */
inline service_runner_id
RunnerIdOf(std::string_view aName, std::uint64_t aBorn = 0)
{
  if (aBorn == 0) {
    return { HashBytes(aName) | 1U };
  }
  return { HashBytes(Join(aName, "@", aBorn)) | 1U };
}

} // namespace dunehook
