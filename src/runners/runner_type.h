/**
 * @file runner_type.h
 * Runners as the discovery of runners tells of them.
 */
#pragma once

#include "core/strong_id.h"
#include "net/net_type.h"

#include <map>
#include <string>
#include <vector>

namespace dunehook {

struct service_runner_tag;
/** One life of a runner, by the hash of its name and of the instant at which it was born. What is
 * told, counted or promised by this id concerns that life alone: whatever comes late of a life that
 * has ended finds nothing to change. */
using service_runner_id = strong_id<service_runner_tag>;

/** What an engine is there for now. */
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

/** A runner's entry in the discovery. */
struct runner_entry
{
  std::string mName;                            ///< Its id; lives after one another may share it.
  std::uint64_t mBorn = 0;                      ///< When this life began, in ms; 0 if not told.
  std::string mService;                         ///< Service it belongs to.
  endpoint mAddress;                            ///< Where it takes requests.
  std::string mHall;                            ///< Data hall it stands in.
  std::uint32_t mSlots = 1;                     ///< Requests it works on at once.
  bool mLeaving = false;                        ///< It takes no new work.
  engine_role mRole = engine_role::eNone;       ///< For engines.
  std::map<std::string, std::uint64_t> mModels; ///< Versions of weights by model.

  /** @return the version of a model's weights; 0 if the runner doesn't tell of the model. */
  std::uint64_t VersionOf(const std::string& aModel) const
  {
    const auto found = mModels.find(aModel);
    return found == mModels.end() ? 0 : found->second;
  }

  bool operator==(const runner_entry&) const = default;
};

/** What a runner says of itself in the head of an answer. */
struct runner_notice
{
  bool mLeaves = false;           ///< It leaves.
  duration mWantsNothingFor{ 0 }; ///< It turned a request away, and wants none for so long.

  auto operator<=>(const runner_notice&) const = default;
};

/** How a send to a runner ended, for the choice of the next. */
enum class send_outcome
{
  eServed,      ///< A whole answer that isn't a failure.
  eFailed,      ///< A failure of the runner's own, or a broken answer.
  eRefused,     ///< It took no work.
  eMisdirected, ///< Another runner has its address, or it has another role by now.
  eUnreachable, ///< No connection, or silence.
  eAbandoned,   ///< Ended by the caller; says nothing of the runner.
};

/** @return the outcome's name in records. */
std::string_view
OutcomeName(send_outcome aOutcome);

/** A place in a topic of the store. The store may come back from an older copy, in the next era;
 * its offsets are given out again then. So offsets of two eras can't be compared, and whatever is
 * of a later era is newer. */
struct store_mark
{
  std::uint64_t mEra = 0;    ///< Rises each time the store comes back older; 0 if not told.
  std::uint64_t mOffset = 0; ///< Offset within the era.

  auto operator<=>(const store_mark&) const = default;
};

/** One read of the discovery. */
struct runner_listing
{
  std::vector<runner_entry> mRunners; ///< All that have an entry.
  store_mark mEnd;                    ///< Position of the read; an older read has a lower one.
  bool mUnchanged =
    false; ///< Nothing changed since the reader's last read; mRunners is left empty.
};

/** What changed in the list of runners between two positions of the store. Applied to a list that
 * is anywhere between them, it makes the list of the second. */
struct runner_changes
{
  store_mark mFrom;                  ///< First position that it may be applied to.
  store_mark mTo;                    ///< Position of the list that it makes.
  std::vector<runner_entry> mListed; ///< Entries that changed, or are new.
  std::vector<std::string> mDropped; ///< Ids of runners that have no entry any more.
  bool mAway = false; ///< The store was away for the reader lately: entries may have lapsed.

  bool operator==(const runner_changes&) const = default;
};

} // namespace dunehook
