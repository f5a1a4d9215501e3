/**
 * @file event_type.h
 * Events of the placement core. Its tables change only by these events and by the placement steps
 * that follow them.
 */
#pragma once

#include "decide/decide_type.h"

#include <variant>

namespace dunehook {

/** A request has arrived and has to be placed. */
struct request_arrived
{
  attempt_id mAttempt;               ///< Identifies the request.
  std::string mClass;                ///< Name of its priority class.
  priority_class_spec mTargets;      ///< The class's targets.
  std::uint32_t mPromptTokens = 0;   ///< Length of the prompt.
  std::uint32_t mMaxTokens = 0;      ///< Upper limit of generated tokens; 0 if unknown.
  std::vector<prefix_block> mBlocks; ///< Prefixes of the prompt, shortest first.

  auto operator<=>(const request_arrived&) const = default;
};

/** A request that the cell's previous owner placed is handed to its new owner, or is announced
 * again to the same one, which may have lost it. */
struct request_adopted
{
  request_arrived mRequest;                       ///< The request.
  request_stage mStage = request_stage::eWaiting; ///< Stage that it has reached.
  engine_id mPrefill;                             ///< Prefill engine, if any.
  engine_id mDecode;                              ///< Decode engine, if any.
  bool mIsRepeat = false; ///< Its frontend has been waiting for an order since the last one.

  auto operator<=>(const request_adopted&) const = default;
};

/** The prefill engine has processed the prompt. */
struct prefill_finished
{
  attempt_id mAttempt;             ///< The request.
  std::uint64_t mKvBytes = 0;      ///< Size of the result.
  std::uint32_t mCachedTokens = 0; ///< Prompt tokens found in the engine's cache.

  auto operator<=>(const prefill_finished&) const = default;
};

/** A chunk of a transfer has arrived at the decode engine. */
struct chunk_finished
{
  attempt_id mAttempt; ///< The request.

  auto operator<=>(const chunk_finished&) const = default;
};

/** The last token of the answer was sent. */
struct stream_finished
{
  attempt_id mAttempt;       ///< The request.
  std::uint32_t mTokens = 0; ///< Tokens generated.

  auto operator<=>(const stream_finished&) const = default;
};

/** A step of a request failed at an engine. */
struct work_failed
{
  attempt_id mAttempt;   ///< The request.
  engine_id mEngine;     ///< Where it failed.
  bool mRefused = false; ///< Whether the engine refused the work, rather than failed.
  bool mKvLost = false;  ///< Whether the prefill result is lost.

  auto operator<=>(const work_failed&) const = default;
};

/** The caller disconnected, or the frontend ended the request. */
struct request_cancelled
{
  attempt_id mAttempt; ///< The request.

  auto operator<=>(const request_cancelled&) const = default;
};

/** Another daemon owns the request now: this one forgets it. */
struct request_moved
{
  attempt_id mAttempt; ///< The request.

  auto operator<=>(const request_moved&) const = default;
};

/** A runner was added to the host list, or its properties changed. */
struct engine_updated
{
  engine_info mInfo; ///< Its current properties.

  auto operator<=>(const engine_updated&) const = default;
};

/** A runner is no longer in the host list. */
struct engine_removed
{
  engine_id mEngine; ///< The runner.

  auto operator<=>(const engine_removed&) const = default;
};

/** An engine can't be reached. */
struct engine_unreachable
{
  engine_id mEngine; ///< The runner.

  auto operator<=>(const engine_unreachable&) const = default;
};

/** An engine reported its load. Reports lag behind the core's own records. */
struct load_reported
{
  engine_id mEngine;             ///< The engine.
  std::uint32_t mHeldSlots = 0;  ///< Slots held in total.
  std::uint32_t mOtherSlots = 0; ///< Slots held by requests that this core doesn't know.

  auto operator<=>(const load_reported&) const = default;
};

/** An engine cached or evicted a prefix. Reports come late, and some are lost. */
struct cache_changed
{
  engine_id mEngine;       ///< The engine.
  std::uint64_t mHash = 0; ///< Hash of the prefix.
  bool mPresent = false;   ///< Whether the prefix is cached now.

  auto operator<=>(const cache_changed&) const = default;
};

/** A daemon run has ended, so that no caller waits for its requests any more. */
struct incarnation_ended
{
  incarnation_id mIncarnation; ///< The daemon run.

  auto operator<=>(const incarnation_ended&) const = default;
};

/** The cell's settings changed. */
struct cell_settings_changed
{
  cell_settings mSettings; ///< The new settings.

  auto operator<=>(const cell_settings_changed&) const = default;
};

using decide_event = std::variant<request_arrived,
                                  request_adopted,
                                  prefill_finished,
                                  chunk_finished,
                                  stream_finished,
                                  work_failed,
                                  request_cancelled,
                                  request_moved,
                                  engine_updated,
                                  engine_removed,
                                  engine_unreachable,
                                  load_reported,
                                  cache_changed,
                                  incarnation_ended,
                                  cell_settings_changed>;

} // namespace dunehook
