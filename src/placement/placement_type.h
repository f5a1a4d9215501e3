/**
 * @file placement_type.h
 * What the placement of generations is asked and answers.
 */
#pragma once

#include "placement/prompt_queue.h"
#include "runners/runner_type.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dunehook {

/** An engine that had no room isn't given work again before this: about the time in which a run of
 * some ends. */
inline constexpr duration kMinFullBackoff = std::chrono::milliseconds(60);
/** The rest doubles with each refusal after a rest, up to this: an engine that goes on refusing
 * holds more than anybody has told of, and a run takes some seconds to end. */
inline constexpr duration kMaxFullBackoff = std::chrono::milliseconds(960);

/** Knobs of placement; the defaults are those of the settings. */
struct placement_tuning
{
  /** Part of an engine's memory that the forecast may fill. */
  double mMemoryShare = 0.97;
  /** Standard deviations that the forecast adds to the expected use of memory. */
  double mCaution = 2.25;
  /** Part of an engine's memory that large requests leave to smaller ones. */
  double mLargeReserve = 0.12;
  /** Standard deviations less for a request that was refused before and has come back. */
  double mReturnedCredit = 1.0;
  /** Standard deviations more for such a request as it begins to wait: new ones, which can still be
   * in time, find room before it does. From there its need falls to that with the credit. */
  double mReturnedReserve = 1.0;
  /** Part of the guessed answer that is reserved at the engine before the prompt is read. */
  double mReservedShare = 0.3;
  /** Part of the engines that read prompts, until their work is known. */
  double mPrefillShare = 0.22;
  /** Decode engines read prompts themselves where prefill engines are behind. */
  bool mDecodeReads = true;
  /** Off: baseline without a reservation and without a forecast, for comparison. */
  bool mReserve = true;
  /** Off: baseline that takes the engine with the fewest runs. */
  bool mForecast = true;
  /** Off: baseline in which each daemon decides by itself and tells all others of its runs. */
  bool mPlacers = true;

  auto operator<=>(const placement_tuning&) const = default;
};

/** A generation that wants a place. */
struct generation_demand
{
  run_id mRun;                              ///< Its id.
  std::string mService;                     ///< Service that takes it.
  std::string mModel;                       ///< Model wanted; empty if any.
  std::string mHall;                        ///< Data hall of this daemon.
  std::uint32_t mPromptTokens = 0;          ///< Length of the prompt.
  std::uint32_t mAnswerTokens = 0;          ///< Guessed length of the answer.
  std::uint32_t mMostTokens = 0;            ///< Most tokens of the answer; 0 if unknown.
  std::vector<service_runner_id> mFailed;   ///< Engines that failed this request already.
  std::vector<service_runner_id> mExcluded; ///< Engines that its daemon may send nothing to.
  bool mReturned = false;  ///< Its caller has come back: it was refused, or its stream broke.
  double mWaited = 1.0;    ///< Part of its wait that is over, if it was refused.
  duration mEventGap{ 0 }; ///< Longest pause between events that is in time.
  duration mFirstEventWithin{ 0 }; ///< Time left until the first event is late.

  auto operator<=>(const generation_demand&) const = default;
};

/** Where a generation shall run. */
struct placement_choice
{
  service_runner_id mDecode;                 ///< Generates the answer.
  std::optional<service_runner_id> mPrefill; ///< Reads the prompt; none: the decode engine does.
  duration mUntilRead{ 0 };                  ///< Expected time until the prompt is read.
  duration mUntilEvent{ 0 };                 ///< Expected time to the first event.
  double mPeakShare = 0.0;                   ///< Expected peak of the decode engine's memory.

  /** @return all engines that the generation needs. */
  std::vector<service_runner_id> Engines() const
  {
    return mPrefill ? std::vector<service_runner_id>{ mDecode, *mPrefill }
                    : std::vector<service_runner_id>{ mDecode };
  }
};

/** Why a generation has no place. */
enum class no_place
{
  eNoEngine, ///< No engine may be given work.
  eNoMemory, ///< No decode engine will have memory in time.
  eTooLate,  ///< The prompt can't be read in time.
};

/** @return the reason's name in records. */
std::string_view
ReasonName(no_place aReason);

/** The answer to a demand: a choice, or when to ask again. */
struct placement_answer
{
  std::optional<placement_choice> mChoice; ///< Set if there's a place.
  no_place mReason = no_place::eNoEngine;  ///< Why not, if not.
  duration mFreeIn{ 0 };                   ///< Expected time until there's a place, if not.
};

/** A generation under way, as daemons tell each other. */
struct run_record
{
  run_id mRun;                        ///< Its id.
  service_runner_id mDecode;          ///< Engine that generates.
  service_runner_id mPrefill;         ///< Engine that reads the prompt; none if the decode engine.
  std::uint32_t mPromptTokens = 0;    ///< Length of the prompt.
  std::uint32_t mAnswerTokens = 0;    ///< Guessed length of the answer.
  std::uint32_t mMostTokens = 0;      ///< Most tokens of the answer; 0 if unknown.
  std::uint32_t mGeneratedTokens = 0; ///< Tokens made by mSeen.
  instant mSeen{ 0 };        ///< When mGeneratedTokens was right; ahead if not started yet.
  std::uint64_t mDaemon = 0; ///< Daemon that placed it; 0 is this one.

  auto operator<=>(const run_record&) const = default;
};

/** What an engine has to do, and was given so far. */
struct engine_load
{
  std::size_t mRuns = 0;    ///< Runs under way that it generates.
  double mReadTokens = 0.0; ///< Of all prompts that it was asked to read.
  /** Of all runs that it was given: tokens held, summed over the tokens that they make meanwhile.
   */
  double mHeldTokens = 0.0;

  auto operator<=>(const engine_load&) const = default;
};

/** How quickly engines work, as means of what was seen of late. */
struct engine_speeds
{
  double mReadTokensPerMicro = 0.0; ///< Of one that reads; zero if no read has ended yet.
  double mMicrosPerToken = 0.0;     ///< Of one run that generates; zero if none has ended yet.

  auto operator<=>(const engine_speeds&) const = default;
};

/** The work of all engines. */
struct engine_work
{
  std::map<service_runner_id, engine_load> mLoads; ///< Those with nothing so far are left out.
  engine_speeds mSpeeds;                           ///< Of all engines.
};

/** A run that ended well. */
struct finished_run
{
  run_id mRun;                    ///< Its id.
  std::uint32_t mTokens = 0;      ///< Tokens that it made.
  std::uint32_t mPacedTokens = 0; ///< Tokens after its first event.
  duration mTook{ 0 };            ///< Time that those took.
  duration mLongestGap{ 0 };      ///< Longest pause between its events.

  auto operator<=>(const finished_run&) const = default;
};

} // namespace dunehook
