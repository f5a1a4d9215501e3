/**
 * @file quarantine_type.h
 * Values of the quarantine: reports of crashes, and what follows from them for a request.
 */
#pragma once

#include "core/clock_type.h"
#include "quarantine/request_fingerprint.h"
#include "runners/runner_type.h"

#include <optional>
#include <vector>

namespace dunehook {

/** A request was under way at a runner whose connection broke. */
struct crash_report
{
  request_fingerprint mRequest; ///< The request.
  service_runner_id mRunner;    ///< The runner's life.
  bool mProgressed = false;     ///< Its caller had something of this run's answer.

  auto operator<=>(const crash_report&) const = default;
};

/** How a request stands. */
enum class quarantine_status
{
  eClear,       ///< Nothing is known against it.
  eSuspected,   ///< It was under way at two crashes; where it's served, that is told.
  eQuarantined, ///< It's sent to no runner.
};

/** What daemons tell each other of a request that isn't clear. */
struct quarantine_notice
{
  request_fingerprint mRequest;                              ///< The request.
  quarantine_status mStatus = quarantine_status::eSuspected; ///< Never eClear.
  duration mAge{ 0 };                                        ///< Time since it came to stand so.

  auto operator<=>(const quarantine_notice&) const = default;
};

/** What daemons tell each other of crashes and quarantines. */
struct quarantine_message
{
  std::vector<crash_report> mCrashes;       ///< Seen by the sender.
  std::vector<request_fingerprint> mServed; ///< Served whole by the sender.
  std::vector<quarantine_notice> mNotices;  ///< Requests that aren't clear.
  std::optional<std::uint64_t>
    mSenderDigest; ///< Asks for notices where the receiver's digest differs.
  bool mAlwaysAnswer =
    false; ///< mSenderDigest is to be answered in any case: the sender has just started.
  bool mSynchronized = false; ///< The sender knows of all quarantines that the others knew of.

  bool operator==(const quarantine_message&) const = default;
};

/** A quarantine as the store keeps it. */
struct quarantine_record
{
  request_fingerprint mRequest; ///< The request.
  std::uint64_t mSince = 0;     ///< Unix time in ms of its begin.

  auto operator<=>(const quarantine_record&) const = default;
};

} // namespace dunehook
