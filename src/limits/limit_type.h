/**
 * @file limit_type.h
 * Value types of runners' rate limits: what an answer says of one, and what daemons tell each
 * other.
 */
#pragma once

#include "core/clock_type.h"
#include "runners/runner_type.h"

#include <optional>

namespace dunehook {

/** What an answer says about its runner's limit. */
struct limit_observation
{
  service_runner_id mRunner; ///< The runner.
  named_limit mLimit;        ///< What the answer's head names.
  instant mSentAt{ 0 };      ///< When its request was sent.
  /** The runner made the answer itself, so that one without a limit says that there is none. */
  bool mOwnAnswer = false;

  auto operator<=>(const limit_observation&) const = default;
};

/** A rate limit as one daemon knows it, sent to another. */
struct limit_notice
{
  service_runner_id mRunner;        ///< The incarnation that named it.
  std::optional<double> mPerSecond; ///< Requests a second; none if the limit has ended.
  duration mAge{ 0 };               ///< Time since the answer that said so.

  auto operator<=>(const limit_notice&) const = default;
};

} // namespace dunehook
