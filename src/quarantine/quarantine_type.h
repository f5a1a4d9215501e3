/**
 * @file quarantine_type.h
 * Value types of the quarantine: crash reports, the status of a request, and the messages that
 * daemons exchange about them.
 */
#pragma once

#include "core/clock_type.h"
#include "quarantine/request_fingerprint.h"
#include "runners/runner_type.h"

#include <optional>
#include <vector>

namespace dunehook {

/** A report that the connection to a runner broke while it ran a request. */
struct crash_report
{
  request_fingerprint mRequest; ///< The request.
  service_runner_id mRunner;    ///< The incarnation of the runner.
  bool mProgressed = false;     ///< The caller had received part of this run's answer.

  auto operator<=>(const crash_report&) const = default;
};

/** Whether a request may be sent to runners. */
enum class quarantine_status
{
  eClear,       ///< Nothing is recorded against it.
  eSuspected,   ///< It was running at two crashes; its completion is sent to the other daemons.
  eQuarantined, ///< It isn't sent to any runner.
};

/** The status of a request that isn't clear, as sent to other daemons. */
struct quarantine_notice
{
  request_fingerprint mRequest;                              ///< The request.
  quarantine_status mStatus = quarantine_status::eSuspected; ///< Never eClear.
  duration mAge{ 0 };                                        ///< Time since it got this status.

  auto operator<=>(const quarantine_notice&) const = default;
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

  bool operator==(const quarantine_message&) const = default;
};

/** A quarantine as it's kept in the store. */
struct quarantine_record
{
  request_fingerprint mRequest; ///< The request.
  std::uint64_t mSince = 0;     ///< Unix time in ms at which it began.

  auto operator<=>(const quarantine_record&) const = default;
};

} // namespace dunehook
