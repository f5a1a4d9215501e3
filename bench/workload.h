/**
 * @file workload.h
 * A workload of the policy bench: the deployment and the classes of requests, read from TOML.
 */
#pragma once

#include "core/clock_type.h"
#include "resources/resource_type.h"

#include <string>
#include <vector>

namespace dunehook::bench {

/** A class of requests. */
struct class_load
{
  std::string mName;                 ///< Its name.
  double mShare = 0;                 ///< Share of the requests.
  priority_class_spec mTargets;      ///< Its targets.
  std::uint32_t mPromptLeast = 0;    ///< Shortest prompt, in tokens.
  std::uint32_t mPromptMost = 0;     ///< Longest prompt.
  std::uint32_t mAnswerLeast = 0;    ///< Shortest answer, in tokens.
  std::uint32_t mAnswerMost = 0;     ///< Longest answer.
  std::uint32_t mSharedPrefixes = 0; ///< Different prefixes shared by its prompts.
  std::uint32_t mSharedTokens = 0;   ///< Length of such a prefix.

  double MeanPrompt() const { return 0.5 * (mPromptLeast + mPromptMost); }
  double MeanAnswer() const { return 0.5 * (mAnswerLeast + mAnswerMost); }
};

/** The deployment and its load. */
struct workload
{
  std::string mName;                  ///< Its name.
  std::uint32_t mPrefillEngines = 0;  ///< Prefill engines.
  std::uint32_t mDecodeEngines = 0;   ///< Decode engines.
  std::uint32_t mSlots = 0;           ///< Slots of a decode engine.
  double mTokensPerSecond = 0;        ///< Prompt tokens a prefill engine reads a second.
  duration mHop{ 0 };                 ///< One way between hosts.
  double mLinkBytesPerSecond = 0;     ///< Rate of the link.
  std::uint64_t mKvBytesPerToken = 0; ///< Size of a prefill result.
  duration mKvLifetime{ 0 };          ///< Its lifetime.
  double mStepMs = 0;                 ///< Decode step of a batch of one.
  double mStepSlopeMs = 0;            ///< Added by each further request.
  std::uint32_t mCacheBlocks = 0;     ///< Prefixes cached by a prefill engine.
  duration mLoadLag{ 0 };             ///< Age of load reports.
  std::vector<class_load> mClasses;   ///< Classes.

  /** @return seconds of a decode step with @p aBatch requests. */
  double StepSeconds(double aBatch) const
  {
    return (mStepMs + mStepSlopeMs * (aBatch - 1.0)) / 1000.0;
  }
  /**
   * What the engines could do at best, from this file alone: the highest rate of requests, in the
   * file's mix, at which all slots are full with no gap, all prefill engines read without a pause,
   * with every shared prefix cached, and the link is never idle.
   * @return requests a second.
   */
  double Capacity() const;
};

/** Reads a workload; a fault ends the program with its place. */
workload
LoadWorkload(const std::string& aPath);

} // namespace dunehook::bench
