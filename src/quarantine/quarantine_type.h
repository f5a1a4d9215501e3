/**
 * @file quarantine_type.h
 * Value types of the quarantine: crash reports, the status of a request, and the messages that
 * daemons exchange about them.
 */
#pragma once

#include "core/clock_type.h"
#include "core/hash_func.h"
#include "quarantine/prompt_part.h"
#include "quarantine/request_fingerprint.h"
#include "runners/runner_type.h"

#include <optional>
#include <vector>

namespace dunehook {

struct runner_site_tag;
/** Where a runner is: a hash of its address. Daemons learn of its next incarnation at different
 * times, so an incarnation doesn't tell two daemons that they mean the same runner. */
using runner_site = strong_id<runner_site_tag>;

/** @return where the runner with this address is. */
inline runner_site
SiteAt(const endpoint& aRunner)
{
  return { HashBytes(ToText(aRunner)) };
}

/** A report that the connection to a runner broke while it ran a request. */
struct crash_report
{
  request_fingerprint mRequest; ///< The request.
  runner_site mSite;            ///< The runner.
  bool mProgressed = false;     ///< The caller had received part of this run's answer.
  duration mAge{ 0 };           ///< Time since the connection broke.
  /** How long before that it was sent to the runner, if it may just have begun its answer. */
  std::optional<duration> mJustBegan;
  part_set mParts; ///< Shared parts of its prompt, if mJustBegan.

  auto operator<=>(const crash_report&) const = default;
};

/** A crash of a runner, whatever was running there. */
struct crash_notice
{
  runner_site mSite;  ///< The runner.
  duration mAge{ 0 }; ///< Time since its connections broke.

  auto operator<=>(const crash_notice&) const = default;
};

/** Whether a request may be sent to runners. */
enum class quarantine_status
{
  eClear,       ///< Nothing is recorded against it.
  eSuspected,   ///< It was running at two crashes; it's sent only as a trial.
  eQuarantined, ///< It isn't sent to any runner.
};

/** A run that went on after it had begun its answer: its parts crash no runner. */
struct part_proof
{
  prompt_part mPart;  ///< The part.
  duration mAge{ 0 }; ///< Time since the run was sent to its runner.

  auto operator<=>(const part_proof&) const = default;
};

/** The status of a request that isn't clear, as sent to other daemons. */
struct quarantine_notice
{
  request_fingerprint mRequest;                              ///< The request, or the key of mParts.
  quarantine_status mStatus = quarantine_status::eSuspected; ///< Never eClear.
  duration mAge{ 0 };                                        ///< Time since it got this status.
  part_set mParts; ///< If not empty, all requests whose prompts hold all of these parts are meant.
  bool mConfirmed = false; ///< A trial of the parts has crashed a runner again.

  auto operator<=>(const quarantine_notice&) const = default;
};

struct trial_tag;
/** Identifies the trial of one caller's request. */
using trial_id = strong_id<trial_tag>;

/** Most runners that a trial uses at once: one reads the prompt, another one generates. */
inline constexpr std::size_t kMaxTrialRunners = 2;

/** Asks for the right to send a suspected request to runners, keeps that right, or ends it. */
struct trial_request
{
  trial_id mTrial;                   ///< The trial.
  request_fingerprint mRequest;      ///< The suspected request.
  std::vector<runner_site> mRunners; ///< Where it's to run; empty: the trial has ended.
  std::uint32_t mRound = 0;          ///< Distinguishes the requests of a daemon.

  auto operator<=>(const trial_request&) const = default;
};

/** Outcome of a trial request. */
enum class trial_state
{
  eGranted,      ///< The request may be sent to these runners.
  eNotSuspected, ///< The request isn't suspected, and may be sent to any runner.
  eHeld,         ///< Another try of it is under way, or its last crash isn't evaluated yet.
  eRunnerBusy,   ///< Another suspected request is on trial at one of the runners.
  eNotGranting,  ///< The receiver doesn't grant trials now.
};

/** @return the outcome's name in the log. */
inline std::string_view
TrialStateName(trial_state aState)
{
  switch (aState) {
    case trial_state::eGranted:
      return "granted";
    case trial_state::eNotSuspected:
      return "not_suspected";
    case trial_state::eHeld:
      return "held";
    case trial_state::eRunnerBusy:
      return "runner_busy";
    case trial_state::eNotGranting:
      return "not_granting";
  }
  return "unknown";
}

/** The reply to a trial request. */
struct trial_reply
{
  request_fingerprint mRequest;                   ///< As in the request.
  std::uint32_t mRound = 0;                       ///< As in the request.
  trial_state mState = trial_state::eNotGranting; ///< Outcome.
  duration mWait{ 0 };                            ///< Time before the next request, if held.
  std::vector<runner_site> mBusy;                 ///< Those of the runners that are busy.

  auto operator<=>(const trial_reply&) const = default;
};

/** A message between daemons about crashes and quarantines. */
struct quarantine_message
{
  std::vector<crash_report> mCrashes;       ///< Observed by the sender.
  std::vector<request_fingerprint> mServed; ///< Completed by the sender.
  std::vector<quarantine_notice> mNotices;  ///< Requests that aren't clear.
  std::optional<std::uint64_t>
    mSenderDigest;            ///< Requests the receiver's quarantines if its digest differs.
  bool mAlwaysAnswer = false; ///< Answer even if the digests agree: the sender has just started.
  /** The sender has received the quarantines that existed when it started. */
  bool mSenderStateReceived = false;
  std::optional<trial_request> mTrial;       ///< To the daemon that grants trials.
  std::optional<trial_reply> mTrialReply;    ///< To the receiver's request.
  std::vector<crash_notice> mRunnersCrashed; ///< First reported to the sender just now.
  std::vector<prompt_part> mAsked;           ///< Parts of which the sender wants proofs.
  std::vector<part_proof> mProven;           ///< Parts of runs that went on.

  bool operator==(const quarantine_message&) const = default;
};

/** A quarantine as it's kept in the store. */
struct quarantine_record
{
  request_fingerprint mRequest; ///< The request, or the key of mParts.
  std::uint64_t mSince = 0;     ///< Unix time in ms at which it began.
  part_set mParts;              ///< As in quarantine_notice.
  bool mConfirmed = false;      ///< As in quarantine_notice.

  auto operator<=>(const quarantine_record&) const = default;
};

} // namespace dunehook
