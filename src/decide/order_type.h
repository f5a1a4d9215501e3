/**
 * @file order_type.h
 * What the decision core answers: orders to carry out, and a record of each decision.
 */
#pragma once

#include "decide/decide_type.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace dunehook {

/** Have a prefill engine read the prompt. */
struct start_prefill
{
  attempt_id mAttempt;         ///< The request.
  engine_id mEngine;           ///< The prefill engine.
  std::uint32_t mPriority = 0; ///< 0 goes first at the engine.

  auto operator<=>(const start_prefill&) const = default;
};

/** Move a piece of the prefill result to a decode engine; after the last, start decoding. */
struct start_chunk
{
  attempt_id mAttempt;       ///< The request.
  engine_id mEngine;         ///< The decode engine.
  std::uint64_t mOffset = 0; ///< First byte of the piece.
  std::uint64_t mBytes = 0;  ///< Bytes of the piece.
  bool mLast = false;        ///< Whether decoding follows.

  auto operator<=>(const start_chunk&) const = default;
};

/** Answer the caller that the request is not run. */
struct refuse_request
{
  attempt_id mAttempt;              ///< The request.
  errc mReason = errc::eOverloaded; ///< Why.
  duration mRetryAfter{ 0 };        ///< When the caller may come back.

  auto operator<=>(const refuse_request&) const = default;
};

/** Free what an engine holds for a request. */
struct cancel_work
{
  attempt_id mAttempt; ///< The request.
  engine_id mEngine;   ///< The engine.

  auto operator<=>(const cancel_work&) const = default;
};

using decide_order = std::variant<start_prefill, start_chunk, refuse_request, cancel_work>;

/** One decision, for the log. */
struct decision_record
{
  attempt_id mAttempt;           ///< The request.
  std::string mClass;            ///< Its priority class.
  std::string mDecision;         ///< "admit", "prefill", "decode", "refuse", "requeue".
  std::uint32_t mCandidates = 0; ///< Engines that could have been chosen.
  std::string mChosen;           ///< The chosen engine's name; empty if none.
  std::string mReason;           ///< Why, in a few words.

  bool operator==(const decision_record&) const = default;
};

/** What one tick gives. */
struct tick_result
{
  std::vector<decide_order> mOrders;     ///< To carry out, in order.
  std::vector<decision_record> mRecords; ///< To log.
};

/** @return the record's members for a log line. */
nlohmann::json
ToJson(const decision_record& aRecord);

/** @return the order as one line of text, for golden files. */
std::string
Describe(const decide_order& aOrder);

} // namespace dunehook
