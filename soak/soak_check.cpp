/**
 * @file soak_check.cpp
 * One function for each promise.
 */
#include "soak/soak_check.h"

#include "core/text_func.h"
#include "soak/soak_callers.h"

#include <algorithm>
#include <limits>

namespace dunehook::soak {

namespace {

using nlohmann::json;

/** A caller that has left isn't worked for this long after, in ms, on a loopback. */
constexpr std::int64_t kLeftTime = 500;
/** Faults and requests are taken for overlapping within this, in ms. */
constexpr std::int64_t kAround = 300;
/** Runners that a request may crash, and its tries that may reach one later than the time in which
 * all daemons that are in contact learn of it, in ms. */
constexpr int kCrashesAllowed = 3;
/** The same for a part of prompts. */
constexpr int kPartCrashesAllowed = 5;
constexpr std::size_t kRetriesAllowed = 3;
constexpr std::int64_t kContactTime = 3000;

/** The users' rule: a runner that names a limit gets in a window, in ms, at most its limit times
 * the window times kLimitShare, and kLimitMore, once all daemons can know of it. */
constexpr std::int64_t kLimitWindow = 4000;
constexpr double kLimitShare = 1.5;
constexpr double kLimitMore = 5.0;
constexpr std::int64_t kLimitSpreadTime = 500;

/** The users' rule: from kCutKnownTime after a daemon was cut off from all runners on, first tries
 * there are served at least kCutShare as often as at the others, or no more than kCutFailures and
 * kCutFailureShare of them fail. */
constexpr std::int64_t kCutKnownTime = 3000;
constexpr double kCutShare = 2.0 / 3.0;
constexpr double kCutFailures = 10.0;
constexpr double kCutFailureShare = 0.02;

/** Runs that runners began, by request. */
using runs_by_request = std::map<std::string, std::vector<const json*>>;

runs_by_request
RunsOf(const evidence& aEvidence)
{
  runs_by_request runs;
  for (const json& one : aEvidence.mSeen) {
    const json& headers = one.at("headers");
    if (one.value("run", false) && headers.value("X-Stage", "").empty()) {
      runs[headers.value("X-Request-Id", "")].push_back(&one);
    }
  }
  return runs;
}

bool
IsStream(const call_record& aCall)
{
  return aCall.mKind == call_kind::eTurn || aCall.mKind == call_kind::eResumed;
}

bool
MayRunOnce(const call_record& aCall)
{
  return aCall.mKind == call_kind::eRecord || aCall.mKind == call_kind::eTurn;
}

/** @return whether a status tells that the request didn't run and won't. */
bool
SaysNotRun(unsigned aStatus)
{
  return aStatus == 503 || aStatus == 429 || aStatus == 408 || aStatus == 421;
}

std::string
WholeBodyOf(const call_record& aCall)
{
  if (!IsStream(aCall)) {
    return "answer to " + aCall.mId;
  }
  std::string text;
  for (std::uint64_t event = aCall.mFirstEvent; event < aCall.mEvents; ++event) {
    text += Join("id: ", event, "\ndata: piece ", event, "\n\n");
  }
  return text;
}

/** @return whether faults of a kind touched the daemon, or all, between two times. */
bool
Touched(const evidence& aEvidence, const call_record& aCall, std::int64_t aUntil, bool aPlanned)
{
  return std::any_of(
    aEvidence.mFaults.begin(), aEvidence.mFaults.end(), [&](const fault_record& aFault) {
      const bool mine = !aFault.mDaemon || *aFault.mDaemon == aCall.mDaemon;
      const bool overlaps =
        aFault.mFrom - kAround < aUntil && aFault.mUntil + kAround > aCall.mSentAt;
      return mine && overlaps && aFault.mPlanned == aPlanned;
    });
}

void
CheckAnswer(const call_record& aCall, std::set<violation>& aFound)
{
  const bool named = !aCall.mAnswerId.empty() && aCall.mAnswerId != aCall.mId;
  if (named) {
    aFound.insert({ "own answer", aCall.mId, "the answer names " + aCall.mAnswerId });
  }
  if (aCall.mStatus == 200) {
    const std::string whole = WholeBodyOf(aCall);
    const bool right =
      aCall.mWhole ? aCall.mBody == whole : whole.compare(0, aCall.mBody.size(), aCall.mBody) == 0;
    if (!right) {
      aFound.insert({ "whole answer", aCall.mId, aCall.mBody.substr(0, 120) });
    }
  }
  const bool misjudged = aCall.mStatus >= 400 && aCall.mStatus < 500 && !SaysNotRun(aCall.mStatus);
  if (misjudged && !(aCall.mKind == call_kind::eVersion && aCall.mStatus == 404)) {
    aFound.insert({ "proper requests", aCall.mId, "status " + std::to_string(aCall.mStatus) });
  }
}

void
CheckRuns(const call_record& aCall, const runs_by_request& aRuns, std::set<violation>& aFound)
{
  const auto found = aRuns.find(aCall.mId);
  const std::size_t runs = found == aRuns.end() ? 0 : found->second.size();
  if (MayRunOnce(aCall) && runs > 1) {
    aFound.insert({ "at most once", aCall.mId, std::to_string(runs) + " runs" });
  }
  if (MayRunOnce(aCall) && SaysNotRun(aCall.mStatus) && runs > 0) {
    aFound.insert({ "not run is true", aCall.mId, "status " + std::to_string(aCall.mStatus) });
  }
}

/** A planned stop, reload or change cuts no request that was passed on. */
void
CheckPlanned(const evidence& aEvidence,
             const call_record& aCall,
             const runs_by_request& aRuns,
             std::set<violation>& aFound)
{
  const bool cut = !aCall.mLeft && aCall.mSentAt != 0 && !aCall.mWhole;
  if (cut && aRuns.count(aCall.mId) > 0 && Touched(aEvidence, aCall, aCall.mEndedAt, true) &&
      !Touched(aEvidence, aCall, aCall.mEndedAt, false)) {
    aFound.insert({ "planned work cuts nothing", aCall.mId, "the connection ended" });
  }
}

/** Nothing is sent on for a caller that has left. */
void
CheckLeft(const evidence& aEvidence,
          const call_record& aCall,
          const runs_by_request& aRuns,
          std::set<violation>& aFound)
{
  const auto found = aRuns.find(aCall.mId);
  if (!aCall.mLeft || found == aRuns.end()) {
    return;
  }
  for (const json* const run : found->second) {
    const std::int64_t late = run->value("at_ms", std::int64_t{ 0 }) - aCall.mEndedAt;
    if (late > kLeftTime && !Touched(aEvidence, aCall, aCall.mEndedAt + late, false)) {
      aFound.insert(
        { "caller gone", aCall.mId, "run begun " + std::to_string(late) + " ms after" });
    }
  }
}

/** Within one run of a daemon's process, a configuration that was in force stays so. */
void
CheckVersions(const evidence& aEvidence, std::set<violation>& aFound)
{
  for (const call_record& known : aEvidence.mCalls) {
    if (known.mKind != call_kind::eVersion || known.mStatus == 0 || known.mStatus == 404) {
      continue;
    }
    for (const call_record& later : aEvidence.mCalls) {
      const bool same = later.mDaemon == known.mDaemon && later.mLife == known.mLife;
      if (same && later.mKind == call_kind::eVersion && later.mStatus == 404 &&
          later.mVersion <= known.mVersion && later.mSentAt > known.mEndedAt) {
        aFound.insert({ "configuration never back", later.mId, "after " + known.mId });
      }
    }
  }
}

/** @return whether anything else than planned work went on between two times. */
bool
Disturbed(const evidence& aEvidence, std::int64_t aFrom, std::int64_t aUntil)
{
  return std::any_of(
    aEvidence.mFaults.begin(), aEvidence.mFaults.end(), [&](const fault_record& aFault) {
      return !aFault.mPlanned && aFault.mFrom < aUntil && aFault.mUntil > aFrom;
    });
}

/** @return when a runner that says so in its answers had told the first of them. */
std::int64_t
FirstTold(const evidence& aEvidence, const drain_record& aDrain)
{
  std::int64_t first = std::numeric_limits<std::int64_t>::max() / 2;
  for (const json& one : aEvidence.mSeen) {
    const std::int64_t at = one.value("at_ms", std::int64_t{ 0 });
    if (one.value("runner", "") == aDrain.mRunner && at >= aDrain.mListedAt) {
      first = std::min(first, at);
    }
  }
  return first;
}

/** @return whether a daemon was stopped, killed or held up between two times: one that begins anew
 * has heard no answers. */
bool
DaemonsTouched(const evidence& aEvidence, std::int64_t aFrom, std::int64_t aUntil)
{
  return std::any_of(
    aEvidence.mFaults.begin(), aEvidence.mFaults.end(), [&](const fault_record& aFault) {
      return aFault.mDaemon && aFault.mFrom < aUntil && aFault.mUntil > aFrom;
    });
}

/** A leaving runner gets nothing new, unless the store was away when it said so; where its answers
 * say so the store doesn't matter. */
void
CheckDrains(const evidence& aEvidence, std::set<violation>& aFound)
{
  for (const drain_record& drain : aEvidence.mDrains) {
    const std::int64_t toldAt = drain.mByAnswers ? FirstTold(aEvidence, drain) : drain.mListedAt;
    for (const json& one : aEvidence.mSeen) {
      const std::int64_t at = one.value("at_ms", std::int64_t{ 0 });
      const bool late = at > toldAt + aEvidence.mDrainTime;
      const std::string id = one.at("headers").value("X-Request-Id", "");
      const bool excused =
        drain.mByAnswers ? DaemonsTouched(aEvidence, toldAt, at) : Disturbed(aEvidence, toldAt, at);
      if (one.value("runner", "") == drain.mRunner && late && !id.empty() && !excused) {
        aFound.insert({ "leaving runner", id, drain.mRunner + " was told to leave" });
      }
    }
  }
}

/** @return when a body, or a part, had crashed as many runners as it may; nothing if it hasn't. */
std::optional<std::int64_t>
LastAllowedCrash(const evidence& aEvidence, const std::string& aPoison)
{
  const int allowed = aPoison.starts_with(kPoisonPart) ? kPartCrashesAllowed : kCrashesAllowed;
  int crashes = 0;
  for (const json& crash : aEvidence.mCrashes) {
    crashes += crash.value("by", "") == aPoison ? 1 : 0;
    if (crashes == allowed) {
      return crash.value("at_ms", std::int64_t{ 0 });
    }
  }
  return std::nullopt;
}

/** A request that has crashed three runners reaches hardly any more, by whichever daemon, unless
 * that one was just stopped, killed or held up. */
void
CheckPoison(const evidence& aEvidence, std::set<violation>& aFound)
{
  std::map<std::string, std::set<std::string>> late;
  std::map<std::string, const call_record*> calls;
  for (const call_record& call : aEvidence.mCalls) {
    if (!call.mPoison.empty()) {
      calls[call.mId] = &call;
    }
  }
  for (const json& one : aEvidence.mSeen) {
    const auto call = calls.find(one.at("headers").value("X-Request-Id", ""));
    if (call == calls.end()) {
      continue;
    }
    const std::string& poison = call->second->mPoison;
    const std::optional<std::int64_t> third = LastAllowedCrash(aEvidence, poison);
    const std::int64_t at = one.value("at_ms", std::int64_t{ 0 });
    const bool excused = std::any_of(
      aEvidence.mFaults.begin(), aEvidence.mFaults.end(), [&](const fault_record& aFault) {
        return aFault.mDaemon == call->second->mDaemon && aFault.mFrom < at &&
               aFault.mUntil > at - kContactTime;
      });
    if (third && at > *third + kContactTime && !excused) {
      late[poison].insert(call->first);
    }
  }
  for (const auto& [poison, requests] : late) {
    if (requests.size() > kRetriesAllowed) {
      aFound.insert({ "crashes end", *requests.begin(), poison + " went on being sent" });
    }
  }
}

/** A request that crashes nobody isn't taken for one that does. */
void
CheckBeside(const call_record& aCall, std::set<violation>& aFound)
{
  if (aCall.mPoison.empty() && aCall.mBody.find("quarantined") != std::string::npos) {
    aFound.insert({ "callers beside a crash", aCall.mId, aCall.mBody });
  }
}

/** @return the highest limit that a runner named within a window; none if it named none at some
 * time of it, or named the first one too late for all daemons to know. */
std::optional<double>
LimitWithin(const evidence& aEvidence,
            const std::string& aRunner,
            std::int64_t aFrom,
            std::int64_t aUntil)
{
  double highest = 0.0;
  std::int64_t covered = aFrom;
  for (const limit_record& record : aEvidence.mLimits) {
    const std::int64_t until =
      record.mUntil == 0 ? std::numeric_limits<std::int64_t>::max() : record.mUntil;
    const std::int64_t from = record.mFrom + (record.mFirst ? kLimitSpreadTime : 0);
    if (record.mRunner == aRunner && from <= covered && until + kLimitSpreadTime >= aFrom) {
      highest = std::max(highest, record.mPerSecond);
      covered = std::max(covered, until);
    }
  }
  return covered >= aUntil ? std::optional<double>(highest) : std::nullopt;
}

/** A runner that names a limit gets no more in any window than the users' rule allows, from all
 * daemons together. */
void
CheckLimits(const evidence& aEvidence, std::set<violation>& aFound)
{
  std::map<std::string, std::vector<std::int64_t>> arrivals;
  for (const json& one : aEvidence.mSeen) {
    arrivals[one.value("runner", "")].push_back(one.value("at_ms", std::int64_t{ 0 }));
  }
  for (const auto& [runner, times] : arrivals) {
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > kLimitWindow) {
        ++first;
      }
      const std::optional<double> limit =
        LimitWithin(aEvidence, runner, times[last] - kLimitWindow, times[last]);
      const auto got = static_cast<double>(last - first + 1);
      if (limit && got > kLimitShare * *limit * kLimitWindow / 1000.0 + kLimitMore) {
        aFound.insert({ "limits hold", "", Join(runner, ": ", got, " of ", *limit, " a second") });
      }
    }
  }
}

/** First tries, and those of them that were served. */
struct try_counts
{
  double mTried = 0.0;  ///< All.
  double mServed = 0.0; ///< Answered with success.

  double Share() const { return mTried > 0.0 ? mServed / mTried : 1.0; }
};

/** @return whether a daemon was cut off at some time between two. */
bool
CutBetween(const evidence& aEvidence, std::size_t aDaemon, std::int64_t aFrom, std::int64_t aUntil)
{
  return std::any_of(aEvidence.mCuts.begin(), aEvidence.mCuts.end(), [&](const cut_record& aCut) {
    return aCut.mDaemon == aDaemon && aCut.mFrom < aUntil &&
           (aCut.mUntil == 0 || aCut.mUntil > aFrom);
  });
}

/** A daemon that is cut off from all runners serves its callers hardly worse than the others. */
void
CheckCuts(const evidence& aEvidence, std::set<violation>& aFound)
{
  for (const cut_record& cut : aEvidence.mCuts) {
    const std::int64_t known = cut.mFrom + kCutKnownTime;
    try_counts here;
    try_counts elsewhere;
    for (const call_record& call : aEvidence.mCalls) {
      const bool within = call.mSentAt >= known && call.mEndedAt <= cut.mUntil;
      if (!within || call.mLeft || call.mRepeats > 0 || call.mKind == call_kind::eVersion) {
        continue;
      }
      const bool cutOff = call.mDaemon == cut.mDaemon;
      if (!cutOff && CutBetween(aEvidence, call.mDaemon, cut.mFrom, cut.mUntil)) {
        continue;
      }
      try_counts& counts = cutOff ? here : elsewhere;
      counts.mTried += 1.0;
      counts.mServed += call.mStatus == 200 && call.mWhole ? 1.0 : 0.0;
    }
    const double failed = here.mTried - here.mServed;
    if (here.Share() < kCutShare * elsewhere.Share() &&
        failed > kCutFailures + kCutFailureShare * here.mTried) {
      aFound.insert({ "cut daemons serve",
                      "",
                      Join("daemon ",
                           cut.mDaemon,
                           ": ",
                           here.mServed,
                           " of ",
                           here.mTried,
                           ", others ",
                           elsewhere.mServed,
                           " of ",
                           elsewhere.mTried) });
    }
  }
}

} // namespace

std::set<violation>
CheckPromises(const evidence& aEvidence)
{
  std::set<violation> found;
  const runs_by_request runs = RunsOf(aEvidence);
  for (const call_record& call : aEvidence.mCalls) {
    CheckAnswer(call, found);
    CheckRuns(call, runs, found);
    CheckPlanned(aEvidence, call, runs, found);
    CheckLeft(aEvidence, call, runs, found);
    CheckBeside(call, found);
  }
  CheckPoison(aEvidence, found);
  CheckVersions(aEvidence, found);
  CheckDrains(aEvidence, found);
  CheckLimits(aEvidence, found);
  CheckCuts(aEvidence, found);
  return found;
}

} // namespace dunehook::soak
