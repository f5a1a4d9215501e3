/**
 * @file order_type.h
 * Output of the placement core: orders to carry out, and a record of each decision.
 */
#pragma once

#include "decide/decide_type.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace dunehook {

/** Has a prefill engine process the prompt. */
struct start_prefill
{
  attempt_id mAttempt;         ///< The request.
  engine_id mEngine;           ///< The prefill engine.
  std::uint32_t mPriority = 0; ///< 0 is served first by the engine.

  auto operator<=>(const start_prefill&) const = default;
};

/** Transfers a chunk of the prefill result to a decode engine, which decodes after the last one. */
struct start_chunk
{
  attempt_id mAttempt;       ///< The request.
  engine_id mEngine;         ///< The decode engine.
  std::uint64_t mOffset = 0; ///< Offset of the chunk in the prefill result.
  std::uint64_t mBytes = 0;  ///< Size of the chunk.
  bool mLast = false;        ///< Whether this is the last chunk, after which decoding starts.

  auto operator<=>(const start_chunk&) const = default;
};

/** Tells the caller that the request is refused. */
struct refuse_request
{
  attempt_id mAttempt;              ///< The request.
  errc mReason = errc::eOverloaded; ///< Why.
  duration mRetryAfter{ 0 };        ///< Time after which the caller may retry.

  auto operator<=>(const refuse_request&) const = default;
};

/** Has an engine stop a request and free its slot and memory. */
struct cancel_work
{
  attempt_id mAttempt; ///< The request.
  engine_id mEngine;   ///< The engine.

  auto operator<=>(const cancel_work&) const = default;
};

using decide_order = std::variant<start_prefill, start_chunk, refuse_request, cancel_work>;

/** One placement decision, for the log. */
struct decision_record
{
  attempt_id mAttempt;           ///< The request.
  std::string mClass;            ///< Its priority class.
  std::string mDecision;         ///< "admit", "prefill", "decode", "refuse", "requeue".
  std::uint32_t mCandidates = 0; ///< Engines that could have been chosen.
  std::string mChosen;           ///< The chosen engine's name; empty if none.
  std::string mReason;           ///< Reason, in a few words.

  bool operator==(const decision_record&) const = default;
};

/** Output of one event or tick. */
struct tick_result
{
  std::vector<decide_order> mOrders;     ///< Orders to carry out, in this sequence.
  std::vector<decision_record> mRecords; ///< Decisions to log.
};

/** @return the record as the fields of a log line. */
nlohmann::json
ToJson(const decision_record& aRecord);

/** @return the order as one line of text, for golden files. */
std::string
Describe(const decide_order& aOrder);

} // namespace dunehook
