/**
 * @file policy_run.h
 * One run of the policy bench: the real decision core, unchanged, against engines in virtual
 * time. With the owner's queue one core decides for eight daemons, a hop away from seven of them;
 * without it each daemon decides with a core of its own and reports of load that lag.
 */
#pragma once

#include "bench/fake_engines.h"
#include "decide/placement_core.h"

#include <memory>
#include <random>
#include <unordered_map>

namespace dunehook::bench {

/** What a run is made of. */
struct run_options
{
  placement_switches mSwitches; ///< Mechanisms of the core.
  bool mOwnerQueue = true;      ///< One core for all daemons.
  double mLoad = 1.0;           ///< Arrivals over capacity.
  double mLowerShare = 1.0;     ///< Scales the arrivals of classes below rank 0.
  std::uint64_t mSeed = 1;      ///< Seeds everything drawn.
  double mCancelShare = 0.02;   ///< Callers that leave on their own.
  bool mEngineDeath = false;    ///< A decode engine is dead for the middle third.
  double mLinkScale = 1.0;      ///< Scales the link's rate.
  double mCacheGaps = 0.2;      ///< Cache events that never come.
  double mBurst = 0.0;          ///< If over 0: load over capacity for 5 s from the 20th second.
  duration mWarmUp = std::chrono::seconds(10); ///< Not counted.
  duration mSpan = std::chrono::seconds(60);   ///< Counted.
};

/** What a class got. */
struct class_result
{
  std::uint64_t mArrived = 0; ///< Requests counted.
  std::uint64_t mGood = 0;    ///< Both targets met.
  std::uint64_t mRefused = 0; ///< Refused.
  std::uint64_t mLate = 0;    ///< Whole answers that missed a target.
  std::uint64_t mLeft = 0;    ///< Callers that lost patience.
};

/** What a run gave. */
struct run_result
{
  std::vector<class_result> mClasses;   ///< By class of the workload.
  std::uint64_t mComputed = 0;          ///< Prompt tokens computed.
  std::uint64_t mWasted = 0;            ///< Of them thrown away, cancels apart.
  std::uint64_t mCancelled = 0;         ///< Of them thrown away since the caller left.
  double mSlowestRefusalMs = 0;         ///< Longest wait for a refusal given at arrival.
  std::uint64_t mLateRefusals = 0;      ///< Refusals of requests that had been admitted.
  std::uint64_t mAttempts = 0;          ///< Prefills started.
  std::uint64_t mStarted = 0;           ///< Requests with at least one prefill.
  std::vector<double> mGoodBySecond;    ///< Good requests of rank 0 by second of arrival.
  std::vector<double> mArrivedBySecond; ///< Requests of rank 0 by second of arrival.
};

/** Runs the bench with engines chosen by Chooser. */
template<engine_chooser Chooser>
run_result
RunPolicy(const workload& aLoad, const run_options& aOptions);

extern template run_result
RunPolicy<cost_chooser>(const workload&, const run_options&);
extern template run_result
RunPolicy<round_robin_chooser>(const workload&, const run_options&);
extern template run_result
RunPolicy<least_loaded_chooser>(const workload&, const run_options&);

} // namespace dunehook::bench
