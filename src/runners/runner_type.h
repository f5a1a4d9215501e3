/**
 * @file runner_type.h
 * Runners as they are listed by service discovery.
 */
#pragma once

#include "core/hash_func.h"
#include "core/strong_id.h"
#include "net/net_type.h"

#include <map>
#include <string>
#include <vector>

namespace dunehook {

struct service_runner_tag;
/** Identifies one incarnation of a runner: a hash of its name and start time. Messages, counters
 * and reservations under this id apply to that incarnation alone, so a late message about one that
 * has ended changes nothing. */
using service_runner_id = strong_id<service_runner_tag>;

struct software_tag;
/** Identifies a version of the software of a service's runners: a hash of both. Versions have no
 * order. */
using software_id = strong_id<software_tag>;

/** Current role of an engine. */
enum class engine_role
{
  eNone,    ///< Not an engine.
  ePrefill, ///< Reads prompts.
  eDecode,  ///< Generates tokens.
};

/** @return the role's name in records. */
inline std::string_view
RoleName(engine_role aRole)
{
  switch (aRole) {
    case engine_role::eNone:
      return "none";
    case engine_role::ePrefill:
      return "prefill";
    case engine_role::eDecode:
      return "decode";
  }
  return "unknown";
}

/** A runner's entry in service discovery. */
struct runner_entry
{
  std::string mName;                            ///< Its id; successive incarnations may share it.
  std::uint64_t mBorn = 0;                      ///< Start of this incarnation in ms; 0 if unknown.
  std::string mService;                         ///< Service that it belongs to.
  endpoint mAddress;                            ///< Where it accepts requests.
  std::string mHall;                            ///< Data hall that it's in.
  std::string mSoftware;                        ///< Version of its software, not of weights.
  std::uint32_t mSlots = 1;                     ///< Requests that it runs at once.
  bool mLeaving = false;                        ///< It accepts no new work.
  engine_role mRole = engine_role::eNone;       ///< Role, if it's an engine.
  std::map<std::string, std::uint64_t> mModels; ///< Versions of weights, by model.

  /** @return the version of a model's weights; 0 if the entry doesn't list the model. */
  std::uint64_t VersionOf(const std::string& aModel) const
  {
    const auto found = mModels.find(aModel);
    return found == mModels.end() ? 0 : found->second;
  }

  bool operator==(const runner_entry&) const = default;
};

/** @return the software of a runner; never none. */
inline software_id
SoftwareOf(const runner_entry& aEntry)
{
  return { HashBytes(aEntry.mSoftware, HashBytes(aEntry.mService)) | 1U };
}

/** @return whether a runner is of a version of the software. @param aSoftware none: any will do. */
inline bool
RunsSoftware(const runner_entry& aEntry, software_id aSoftware)
{
  return !aSoftware || SoftwareOf(aEntry) == aSoftware;
}

/** What the head of an answer says about its runner's rate limit. */
enum class limit_report
{
  eNone,       ///< Names none.
  eNamed,      ///< Names one.
  eUnreadable, ///< Names something that isn't a rate; it changes nothing.
};

/** A rate limit as an answer states it. */
struct named_limit
{
  limit_report mReport = limit_report::eNone; ///< Whether there is one.
  double mPerSecond = 0.0;                    ///< Requests a second, if eNamed; never below 0.

  auto operator<=>(const named_limit&) const = default;
};

/** What a runner reports about itself in the head of an answer. */
struct runner_notice
{
  bool mLeaves = false;           ///< It's shutting down.
  duration mWantsNothingFor{ 0 }; ///< It rejected a request, and wants none for this long.

  auto operator<=>(const runner_notice&) const = default;
};

/** How a send to a runner ended; used to choose the next runner. */
enum class send_outcome
{
  eServed,      ///< A complete answer that isn't a failure.
  eFailed,      ///< An error of the runner, or an incomplete answer.
  eRefused,     ///< The runner rejected the work.
  eMisdirected, ///< Another runner has this address, or the role has changed.
  eUnreachable, ///< No connection, or no answer in time.
  eAbandoned,   ///< Ended by the caller; no evidence about the runner.
};

/** @return the outcome's name in records. */
std::string_view
OutcomeName(send_outcome aOutcome);

/** A position in a topic of the store. If the store is restored from an older copy, a new era
 * begins and offsets are assigned again. So offsets of different eras can't be compared, and a
 * position of a later era is always newer. */
struct store_mark
{
  std::uint64_t mEra = 0;    ///< Rises each time an older copy is restored; 0 if unknown.
  std::uint64_t mOffset = 0; ///< Offset within the era.

  auto operator<=>(const store_mark&) const = default;
};

/** One read of service discovery. */
struct runner_listing
{
  std::vector<runner_entry> mRunners; ///< All runners that have an entry.
  store_mark mEnd;                    ///< Position of the read; older reads have lower ones.
  bool mUnchanged = false; ///< Nothing changed since the reader's last read; mRunners is empty.
};

/** The changes to the list of runners between two positions of the store. Applied to a list of any
 * position between them, they produce the list of the second. */
struct runner_changes
{
  store_mark mFrom;                  ///< First position that they may be applied to.
  store_mark mTo;                    ///< Position of the resulting list.
  std::vector<runner_entry> mListed; ///< Changed and new entries.
  std::vector<std::string> mDropped; ///< Ids of runners without an entry now.
  bool mAway = false; ///< The reader lost the store lately: entries may have expired.

  bool operator==(const runner_changes&) const = default;
};

} // namespace dunehook
