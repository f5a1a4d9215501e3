/**
 * @file soak_check.h
 * The promises, checked from what callers and runners saw.
 */
#pragma once

#include "soak/soak_type.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace dunehook::soak {

/** A broken promise. */
struct violation
{
  std::string mPromise; ///< Which one, in a word.
  std::string mRequest; ///< The request; empty if it's not about one.
  std::string mDetail;  ///< What was seen.

  auto operator<=>(const violation&) const = default;
};

/** All that is known so far. */
struct evidence
{
  std::vector<call_record> mCalls;      ///< What callers saw.
  std::vector<nlohmann::json> mSeen;    ///< What runners saw, in order.
  std::vector<fault_record> mFaults;    ///< What was done, with its times.
  std::vector<drain_record> mDrains;    ///< Runners that were told to leave.
  std::vector<limit_record> mLimits;    ///< Limits that runners named.
  std::vector<cut_record> mCuts;        ///< Daemons that reached no runner.
  std::vector<nlohmann::json> mCrashes; ///< Runners' lives that crashed, and by which body.
  std::int64_t mDrainTime = 2000;       ///< Time that a leaving runner may get work, in ms.
};

/** @return the promises that the evidence shows broken. */
std::set<violation>
CheckPromises(const evidence& aEvidence);

} // namespace dunehook::soak
