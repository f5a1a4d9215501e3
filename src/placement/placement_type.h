/**
 * @file placement_type.h
 * Types of the placement of generations: demands, choices, run records and engine loads.
 */
#pragma once

#include "placement/prompt_queue.h"
#include "runners/runner_type.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dunehook {

/** First backoff of an engine that refused a reservation: about the time in which one of its runs
 * ends. */
inline constexpr duration kMinFullBackoff = std::chrono::milliseconds(60);
/** Limit of the backoff, which doubles with each refusal after a backoff: an engine that keeps
 * refusing holds more than the daemons know of, and a run takes some seconds to end. */
inline constexpr duration kMaxFullBackoff = std::chrono::milliseconds(960);

/** Settings of placement, with the defaults of the settings file. */
struct placement_tuning
{
  /** Share of an engine's memory that the forecast may fill. */
  double mMemoryShare = 0.97;
  /** Standard deviations that the forecast adds to the expected memory use. */
  double mCaution = 2.25;
  /** Share of an engine's memory that large requests leave to smaller ones. */
  double mLargeReserve = 0.12;
  /** Standard deviations taken off mCaution for a returned request, at the end of its wait. */
  double mReturnedCredit = 1.0;
  /** Standard deviations added to mCaution for a returned request as it begins to wait, so that new
   * ones, which can still be in time, find room first. The margin falls linearly to mCaution less
   * mReturnedCredit as it waits. */
  double mReturnedReserve = 1.0;
  /** Share of the estimated answer that is reserved at the engine before the prompt is read. */
  double mReservedShare = 0.3;
  /** Share of the engines that are prefill engines, until their work is known. */
  double mPrefillShare = 0.22;
  /** Whether decode engines read prompts themselves when prefill engines are behind. */
  bool mDecodeReads = true;
  /** False: baseline for comparison, without reservations. */
  bool mReserve = true;
  /** False: baseline for comparison, which takes the engine with the fewest runs. */
  bool mForecast = true;
  /** False: baseline for comparison, in which each daemon places by itself and reports its runs to
   * all others. */
  bool mPlacers = true;

  auto operator<=>(const placement_tuning&) const = default;
};

/** A generation to be placed. */
struct generation_demand
{
  run_id mRun;                              ///< Id of the generation.
  std::string mService;                     ///< Service whose engines may serve it.
  std::string mModel;                       ///< Required model; empty for any.
  std::string mHall;                        ///< Data hall of the requesting daemon.
  std::uint32_t mPromptTokens = 0;          ///< Length of the prompt.
  std::uint32_t mAnswerTokens = 0;          ///< Estimated length of the answer.
  std::uint32_t mMostTokens = 0;            ///< Upper limit of the answer's tokens; 0 if unknown.
  std::vector<service_runner_id> mFailed;   ///< Engines that already failed this request.
  std::vector<service_runner_id> mExcluded; ///< Engines that the requesting daemon can't use.
  software_id mSoftware;           ///< Software that began the stream; none: any may run it.
  bool mReturned = false;          ///< The caller came back after a refusal or a broken stream.
  double mWaited = 1.0;            ///< Elapsed share of its wait, 0 to 1, if mReturned.
  duration mEventGap{ 0 };         ///< Longest allowed pause between events.
  duration mFirstEventWithin{ 0 }; ///< Time left in which the first event must come.

  auto operator<=>(const generation_demand&) const = default;
};

/** Engines chosen for a generation. */
struct placement_choice
{
  service_runner_id mDecode;                 ///< Generates the answer.
  std::optional<service_runner_id> mPrefill; ///< Reads the prompt; none: mDecode reads it.
  duration mUntilRead{ 0 };                  ///< Expected time until the prompt has been read.
  duration mUntilEvent{ 0 };                 ///< Expected time to the first event.
  double mPeakShare = 0.0; ///< Expected peak of memory use, as a share of mDecode's memory.

  /** @return all engines that the generation needs. */
  std::vector<service_runner_id> Engines() const
  {
    return mPrefill ? std::vector<service_runner_id>{ mDecode, *mPrefill }
                    : std::vector<service_runner_id>{ mDecode };
  }
};

/** Reason why a generation can't be placed. */
enum class no_place
{
  eNoEngine, ///< No usable decode engine.
  eNoMemory, ///< No decode engine has memory for it now.
  eTooLate,  ///< No engine can read the prompt in time.
};

/** @return the reason's name in records. */
std::string_view
ReasonName(no_place aReason);

/** Result of a search for a place: a choice, or a reason and a retry time. */
struct placement_answer
{
  std::optional<placement_choice> mChoice; ///< Set if there's a place.
  no_place mReason = no_place::eNoEngine;  ///< Reason, if there's no place.
  duration mFreeIn{ 0 }; ///< Expected time until there's a place, if there's none.
};

/** A running generation, as reported between daemons. */
struct run_record
{
  run_id mRun;                        ///< Id of the generation.
  service_runner_id mDecode;          ///< Engine that generates.
  service_runner_id mPrefill;         ///< Engine that reads the prompt; none if the decode engine.
  std::uint32_t mPromptTokens = 0;    ///< Length of the prompt.
  std::uint32_t mAnswerTokens = 0;    ///< Estimated length of the answer.
  std::uint32_t mMostTokens = 0;      ///< Upper limit of the answer's tokens; 0 if unknown.
  std::uint32_t mGeneratedTokens = 0; ///< Tokens generated by mSeen.
  /** Time to which mGeneratedTokens applies; in the future if the run hasn't started generating. */
  instant mSeen{ 0 };
  std::uint64_t mDaemon = 0; ///< Daemon that placed it; 0 is this one.

  auto operator<=>(const run_record&) const = default;
};

/** Current runs of an engine, and the total work that it was given so far. */
struct engine_load
{
  std::size_t mRuns = 0;    ///< Runs that it generates now.
  double mReadTokens = 0.0; ///< Total tokens of the prompts that it was asked to read.
  /** Total over the runs that it was given: tokens held, summed over the generated tokens of each
   * run. */
  double mHeldTokens = 0.0;

  auto operator<=>(const engine_load&) const = default;
};

/** Recent mean speeds of all engines. */
struct engine_speeds
{
  /** Read speed of a prefill engine; zero until a read has ended. */
  double mReadTokensPerMicro = 0.0;
  double mMicrosPerToken = 0.0; ///< Time for a token of one run; zero until a run has ended.

  auto operator<=>(const engine_speeds&) const = default;
};

/** Load and speeds of all engines. */
struct engine_work
{
  /** Load by engine; engines that were given no work are left out. */
  std::map<service_runner_id, engine_load> mLoads;
  engine_speeds mSpeeds; ///< Mean over all engines.
};

/** A run that ended successfully. */
struct finished_run
{
  run_id mRun;                    ///< Id of the generation.
  std::uint32_t mTokens = 0;      ///< Generated tokens.
  std::uint32_t mPacedTokens = 0; ///< Tokens generated after its first event.
  duration mTook{ 0 };            ///< Time in which the mPacedTokens were generated.
  duration mLongestGap{ 0 };      ///< Longest pause between its events.

  auto operator<=>(const finished_run&) const = default;
};

} // namespace dunehook
