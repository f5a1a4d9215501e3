/**
 * @file decide_type.h
 * Ids, settings and switches of the placement core. The core is deterministic: it does no I/O,
 * reads no clock and seeds its random numbers, so the same events at the same times give the same
 * orders.
 */
#pragma once

#include "core/attempt_type.h"
#include "core/clock_type.h"
#include "resources/resource_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dunehook {

struct engine_tag;
/** Identifies a runner by the hash of its name. */
using engine_id = strong_id<engine_tag>;

/** A prefix of a prompt that engines may have cached. */
struct prefix_block
{
  std::uint64_t mHash = 0;   ///< Hash of the prompt up to the end of the block.
  std::uint32_t mTokens = 0; ///< Prompt tokens up to the end of the block.

  auto operator<=>(const prefix_block&) const = default;
};

/** Mechanisms of placement that the bench can switch off one at a time. */
struct placement_switches
{
  bool mDecodeSlotGating = true; ///< Start a prefill only if a decode slot is expected at its end.
  bool mPrefixAffinity = true;   ///< Prefer the engine that holds the prompt's prefix.
  bool mChunkedTransfers = true; ///< Split large transfers into chunks.
  bool mAdmission = true;        ///< Refuse requests that can't meet their targets.
  bool mRetryBudget = true;      ///< Limit retries to a fraction of the admitted requests.
  bool mAging = false;           ///< Serve the longest wait first. Off: see docs/DECISIONS.md, 5.

  auto operator<=>(const placement_switches&) const = default;
};

/** Settings of one cell, from its route, pools and link. */
struct cell_settings
{
  duration mKvLifetime =
    std::chrono::milliseconds(800);        ///< How long an engine keeps a prefill result.
  std::uint64_t mKvBytesPerToken = 131072; ///< Size of a prefill result per prompt token.
  link_spec mLink;                         ///< Link between the two pools.
  placement_switches mSwitches;            ///< Mechanisms in use.

  auto operator<=>(const cell_settings&) const = default;
};

/** Properties of a runner from the configuration and the host list. */
struct engine_info
{
  engine_id mId;                             ///< Its id.
  std::string mName;                         ///< Its name, for records.
  runner_role mRole = runner_role::ePrefill; ///< Prefill or decode.
  std::uint32_t mSlots = 20;                 ///< Requests held at once; decode only.
  double mTokensPerSecond = 8000.0;          ///< Prompt tokens processed per second; prefill only.
  bool mLeaving = false;                     ///< Takes no new work.

  auto operator<=>(const engine_info&) const = default;
};

/** Stage of a request, in the order in which they are passed. */
enum class request_stage
{
  eWaiting,      ///< Queued for a prefill engine; a retry comes back here.
  ePrefilling,   ///< A prefill engine processes the prompt.
  eReady,        ///< The prefill result waits for a decode slot.
  eTransferring, ///< A decode slot is held; the result is being transferred to it.
  eDecoding,     ///< The decode engine generates tokens.
};

/** @return the stage's name in records. */
std::string_view
StageName(request_stage aStage);

} // namespace dunehook
