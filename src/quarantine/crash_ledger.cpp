/**
 * @file crash_ledger.cpp
 * Evaluation of crashes: which request each is blamed on.
 */
#include "quarantine/crash_ledger.h"

#include "core/hash_func.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace dunehook {

bool
crash_ledger::NoteCrash(const crash_report& aReport, instant aNow)
{
  const crash_id crash = FindOrAddCrash(aReport.mSite, aNow - aReport.mAge);
  crashed_runner& runner = mCrashedRunners.at(crash);
  auto& requests = runner.mRequests;
  if (std::find(requests.begin(), requests.end(), aReport.mRequest) != requests.end()) {
    return false;
  }
  requests.push_back(aReport.mRequest);
  const bool byParts = NoteParts(aReport, crash, runner.mAt, aNow);
  if (byParts || IsExplained(aReport.mRequest, runner, aNow)) {
    return false;
  }
  tracked_request& row = mRequests[aReport.mRequest];
  row.mCrashes.push_back({ crash, aNow, aReport.mProgressed });
  mDueEvaluations[aNow + kReportWindow].push_back(aReport.mRequest);
  const bool isNew =
    !row.mSuspected && !IsQuarantined(row, aNow) && IsSuspected(aReport.mRequest, aNow);
  if (isNew) {
    row.mSuspected = aNow;
  }
  EvictOldest();
  return isNew;
}

std::optional<crash_ledger::crash_id>
crash_ledger::FindCrash(runner_site aSite, instant aAt) const
{
  for (const auto& [id, crash] : mCrashedRunners) {
    if (crash.mSite == aSite && aAt < crash.mLastAt + kSameCrashTime &&
        aAt > crash.mAt - kSameCrashTime) {
      return id;
    }
  }
  return std::nullopt;
}

bool
crash_ledger::KnowsCrash(runner_site aSite, instant aAt) const
{
  return FindCrash(aSite, aAt).has_value();
}

crash_ledger::crash_id
crash_ledger::FindOrAddCrash(runner_site aSite, instant aAt)
{
  if (const std::optional<crash_id> known = FindCrash(aSite, aAt)) {
    crashed_runner& crash = mCrashedRunners.at(*known);
    crash.mLastAt = std::max(crash.mLastAt, aAt);
    return *known;
  }
  const crash_id fresh{ ++mLastCrash };
  mCrashedRunners[fresh] = { aSite, aAt, aAt, {} };
  return fresh;
}

bool
crash_ledger::NoteServed(request_fingerprint aRequest)
{
  mPartSets.erase(aRequest);
  return mRequests.erase(aRequest) > 0;
}

bool
crash_ledger::ApplyNotice(const quarantine_notice& aNotice, instant aNow)
{
  const instant since = aNow - aNotice.mAge;
  if (aNotice.mAge >= kQuarantineDuration) {
    return false;
  }
  tracked_request& row = mRequests[aNotice.mRequest];
  std::optional<instant>& known =
    aNotice.mStatus == quarantine_status::eQuarantined ? row.mQuarantined : row.mSuspected;
  const bool isNew = !known || since - *known > kCommonFailureWindow;
  known = known ? std::max(*known, since) : since;
  if (aNotice.mStatus == quarantine_status::eQuarantined && aNotice.mParts.empty()) {
    ClearBystanders(aNotice.mRequest);
  } else if (!aNotice.mParts.empty()) {
    row.mParts = aNotice.mParts;
    row.mConfirmed = row.mConfirmed || aNotice.mConfirmed;
    mPartSets[aNotice.mRequest] = aNotice.mParts;
    DropExplained(aNotice.mParts);
  }
  EvictOldest();
  return isNew;
}

std::vector<request_fingerprint>
crash_ledger::EvaluateDue(instant aNow)
{
  std::vector<request_fingerprint> quarantined;
  while (!mDueEvaluations.empty() && mDueEvaluations.begin()->first <= aNow) {
    const std::vector<request_fingerprint> due = std::move(mDueEvaluations.begin()->second);
    mDueEvaluations.erase(mDueEvaluations.begin());
    for (const request_fingerprint request : due) {
      const auto found = mRequests.find(request);
      if (found == mRequests.end() || IsQuarantined(found->second, aNow) ||
          found->second.mCrashes.empty()) {
        continue;
      }
      tracked_request& row = found->second;
      const std::uint32_t priorBlame = row.mQuarantined ? kCrashesToQuarantine - 1 : 0;
      if (!IsSuspected(request, aNow)) { // Reports of a common failure have come in since.
        row.mSuspected.reset();
        row.mDoubtUntil.reset();
        continue;
      }
      const bool blamed = priorBlame + CountBlamedCrashes(request, aNow) >= kCrashesToQuarantine;
      if (UpdateDoubt(request, blamed, aNow)) {
        if (aNow < row.mCrashes.back().mAt + kMaxDoubtTime) {
          mDueEvaluations[aNow + kEvaluationInterval].push_back(request);
        }
        continue;
      }
      if (!blamed) {
        continue;
      }
      row.mQuarantined = aNow;
      ClearBystanders(request);
      quarantined.push_back(request);
    }
  }
  return quarantined;
}

crash_ledger::evidence
crash_ledger::EvidenceOf(request_fingerprint aRequest) const
{
  evidence found;
  const auto row = mRequests.find(aRequest);
  if (row != mRequests.end()) {
    found.mCrashes = row->second.mCrashes.size();
    found.mBeforeProgress = static_cast<std::size_t>(std::count_if(
      row->second.mCrashes.begin(), row->second.mCrashes.end(), [](const runner_crash& aCrash) {
        return !aCrash.mProgressed;
      }));
  }
  return found;
}

bool
crash_ledger::IsBlamed(request_fingerprint aRequest, const crashed_runner& aRunner) const
{
  const evidence own = EvidenceOf(aRequest);
  const bool inDoubt = own.mCrashes <= kMaxCrashesInDoubt;
  return std::none_of(
    aRunner.mRequests.begin(), aRunner.mRequests.end(), [&](request_fingerprint aOther) {
      const evidence other = EvidenceOf(aOther);
      const bool weaker = own.IsStrongerThan(other);
      return other.IsStrongerThan(own) || (inDoubt && !weaker && aOther != aRequest);
    });
}

bool
crash_ledger::evidence::IsStrongerThan(const evidence& aOther) const
{
  const bool progressDiffers = mBeforeProgress == mCrashes && aOther.mBeforeProgress == 0;
  return mCrashes > aOther.mCrashes || (mCrashes == aOther.mCrashes && progressDiffers);
}

bool
crash_ledger::IsExplained(request_fingerprint aRequest,
                          const crashed_runner& aRunner,
                          instant aNow) const
{
  const std::size_t own = EvidenceOf(aRequest).mCrashes;
  return std::any_of(
    aRunner.mRequests.begin(), aRunner.mRequests.end(), [&](request_fingerprint aOther) {
      return aOther != aRequest && StatusOf(aOther, aNow) == quarantine_status::eQuarantined &&
             EvidenceOf(aOther).mCrashes > own;
    });
}

void
crash_ledger::ClearBystanders(request_fingerprint aQuarantined)
{
  const std::vector<runner_crash> explained = mRequests.at(aQuarantined).mCrashes;
  std::set<request_fingerprint> bystanders;
  for (const runner_crash& crash : explained) {
    const auto runner = mCrashedRunners.find(crash.mCrash);
    if (runner == mCrashedRunners.end()) {
      continue;
    }
    for (const request_fingerprint other : runner->second.mRequests) {
      if (EvidenceOf(other).mCrashes < explained.size()) {
        bystanders.insert(other);
      }
    }
  }
  for (const request_fingerprint other : bystanders) {
    const auto row = mRequests.find(other);
    if (row == mRequests.end()) {
      continue;
    }
    std::erase_if(row->second.mCrashes, [&](const runner_crash& aCrash) {
      return std::any_of(explained.begin(), explained.end(), [&](const runner_crash& aOther) {
        return aOther.mCrash == aCrash.mCrash;
      });
    });
  }
}

bool
crash_ledger::WasAt(request_fingerprint aRequest, crash_id aCrash) const
{
  const auto row = mRequests.find(aRequest);
  return row != mRequests.end() &&
         std::any_of(row->second.mCrashes.begin(),
                     row->second.mCrashes.end(),
                     [&](const runner_crash& aOne) { return aOne.mCrash == aCrash; });
}

bool
crash_ledger::HasOtherSuspectAt(request_fingerprint aRequest,
                                crash_id aCrash,
                                std::size_t aMinCrashes) const
{
  const auto runner = mCrashedRunners.find(aCrash);
  if (runner == mCrashedRunners.end()) {
    return false;
  }
  const auto& crashes = mRequests.at(aRequest).mCrashes;
  const auto& running = runner->second.mRequests;
  return std::any_of(running.begin(), running.end(), [&](request_fingerprint aOther) {
    // One that was at all of the request's crashes is compared by IsBlamed().
    const bool wasAtAll =
      std::all_of(crashes.begin(), crashes.end(), [&](const runner_crash& aOne) {
        return WasAt(aOther, aOne.mCrash);
      });
    return aOther != aRequest && WasAt(aOther, aCrash) && !wasAtAll &&
           EvidenceOf(aOther).mCrashes >= aMinCrashes;
  });
}

bool
crash_ledger::IsProven(request_fingerprint aRequest) const
{
  const auto& crashes = mRequests.at(aRequest).mCrashes;
  return std::any_of(crashes.begin(), crashes.end(), [&](const runner_crash& aCrash) {
    const auto runner = mCrashedRunners.find(aCrash.mCrash);
    return runner != mCrashedRunners.end() && IsComplete(runner->second) &&
           !HasOtherSuspectAt(aRequest, aCrash.mCrash, 1);
  });
}

std::optional<instant>
crash_ledger::LastOtherCrash(request_fingerprint aRequest, instant aNow) const
{
  const auto& crashes = mRequests.at(aRequest).mCrashes;
  instant first = crashes.front().mAt;
  for (const runner_crash& crash : crashes) {
    const auto runner = mCrashedRunners.find(crash.mCrash);
    first = runner == mCrashedRunners.end() ? first : std::min(first, runner->second.mAt);
  }
  const instant from = first - kCommonFailureWindow;
  std::optional<instant> last;
  for (const auto& [id, runner] : mCrashedRunners) {
    if (runner.mAt >= from && IsUnrelated(runner, aRequest, aNow)) {
      last = std::max(last.value_or(runner.mAt), runner.mAt);
    }
  }
  return last;
}

bool
crash_ledger::UpdateDoubt(request_fingerprint aRequest, bool aBlamed, instant aNow)
{
  tracked_request& row = mRequests.at(aRequest);
  row.mDoubtUntil.reset();
  const std::size_t crashes = row.mCrashes.size();
  const bool isDecided =
    aBlamed && crashes > kMaxCrashesInDoubt &&
    !HasOtherSuspectAt(aRequest, row.mCrashes.back().mCrash, kCrashesToQuarantine);
  const bool mayDoubt = crashes >= kCrashesToQuarantine && !row.mQuarantined && !isDecided;
  const bool inDoubt = mayDoubt && !IsProven(aRequest);
  if (inDoubt) {
    const instant own = row.mCrashes.back().mAt;
    const instant last = std::max(own, LastOtherCrash(aRequest, aNow).value_or(own));
    row.mDoubtUntil = std::min(last + kCalmTime, own + kMaxDoubtTime);
  }
  return inDoubt;
}

std::uint32_t
crash_ledger::CountBlamedCrashes(request_fingerprint aRequest, instant aNow) const
{
  return CountSeparateCrashes(aRequest, aNow, [&](const crashed_runner& aRunner) {
    return IsComplete(aRunner) && IsBlamed(aRequest, aRunner);
  });
}

std::uint32_t
crash_ledger::CountSeparateCrashes(request_fingerprint aRequest,
                                   instant aNow,
                                   const std::function<bool(const crashed_runner&)>& aFilter) const
{
  std::uint32_t count = 0;
  std::uint32_t groupSize = 0; // Crashes close enough to have one cause.
  instant groupBegin{ 0 };
  instant groupEnd{ 0 };
  const auto closeGroup = [&] {
    const std::uint32_t others =
      groupSize == 0 ? 0 : CountOtherCrashes(aRequest, groupBegin, groupEnd, aNow);
    const bool commonCause = others >= kCommonFailureRatio * groupSize;
    count += commonCause && groupSize > 0 ? groupSize - 1 : groupSize;
    groupSize = 0;
  };
  std::vector<instant> times; // Not of the reports: some come late.
  for (const runner_crash& crash : mRequests.at(aRequest).mCrashes) {
    const auto runner = mCrashedRunners.find(crash.mCrash);
    if (runner != mCrashedRunners.end() && aFilter(runner->second)) {
      times.push_back(runner->second.mAt);
    }
  }
  std::sort(times.begin(), times.end());
  for (const instant at : times) {
    if (groupSize > 0 && at - groupBegin > kCommonFailureWindow) {
      closeGroup();
    }
    groupBegin = groupSize == 0 ? at : groupBegin;
    groupEnd = at;
    ++groupSize;
  }
  closeGroup();
  return count;
}

std::uint32_t
crash_ledger::CountOtherCrashes(request_fingerprint aRequest,
                                instant aFrom,
                                instant aUntil,
                                instant aNow) const
{
  // No longer than the window: two requests that each crash a runner a second have no common cause.
  const instant middle = aFrom + (aUntil - aFrom) / 2;
  return static_cast<std::uint32_t>(
    std::count_if(mCrashedRunners.begin(), mCrashedRunners.end(), [&](const auto& aRow) {
      const crashed_runner& runner = aRow.second;
      return runner.mAt >= middle - kCommonFailureWindow / 2 &&
             runner.mAt <= middle + kCommonFailureWindow / 2 && IsUnrelated(runner, aRequest, aNow);
    }));
}

bool
crash_ledger::IsUnrelated(const crashed_runner& aRunner,
                          request_fingerprint aRequest,
                          instant aNow) const
{
  return std::none_of(
    aRunner.mRequests.begin(), aRunner.mRequests.end(), [&](request_fingerprint aRunning) {
      return aRunning == aRequest || StatusOf(aRunning, aNow) == quarantine_status::eQuarantined;
    });
}

bool
crash_ledger::IsQuarantined(const tracked_request& aRow, instant aNow) const
{
  return aRow.mQuarantined && aNow - *aRow.mQuarantined < QuarantineOf(aRow);
}

bool
crash_ledger::AwaitsTrial(const tracked_request& aRow, instant aNow)
{
  return !aRow.mParts.empty() && aRow.mQuarantined &&
         aNow - *aRow.mQuarantined < kQuarantineDuration;
}

quarantine_status
crash_ledger::StatusOf(request_fingerprint aRequest, instant aNow) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return quarantine_status::eClear;
  }
  if (IsQuarantined(found->second, aNow)) {
    return quarantine_status::eQuarantined;
  }
  return found->second.mSuspected ? quarantine_status::eSuspected : quarantine_status::eClear;
}

bool
crash_ledger::IsSuspected(request_fingerprint aRequest, instant aNow) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return false;
  }
  if (found->second.mCrashes.size() + 1 < kCrashesToQuarantine) {
    return found->second.mSuspected.has_value();
  }
  const auto all = [](const crashed_runner&) { return true; };
  return CountSeparateCrashes(aRequest, aNow, all) + 1 >= kCrashesToQuarantine;
}

instant
crash_ledger::HeldUntil(request_fingerprint aRequest) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || found->second.mCrashes.empty()) {
    return instant{ 0 };
  }
  const instant evaluated = found->second.mCrashes.back().mAt + kVerdictTime;
  return std::max(evaluated, found->second.mDoubtUntil.value_or(evaluated));
}

void
crash_ledger::ClearSuspicion(request_fingerprint aRequest)
{
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end()) {
    found->second.mSuspected.reset();
  }
}

duration
crash_ledger::RemainingQuarantine(request_fingerprint aRequest, instant aNow) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || !IsQuarantined(found->second, aNow)) {
    return duration{ 0 };
  }
  return *found->second.mQuarantined + QuarantineOf(found->second) - aNow;
}

std::size_t
crash_ledger::CountCrashes(request_fingerprint aRequest) const
{
  return EvidenceOf(aRequest).mCrashes;
}

std::size_t
crash_ledger::CountQuarantined(instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aRow) {
      return IsQuarantined(aRow.second, aNow);
    }));
}

std::vector<quarantine_notice>
crash_ledger::NewestQuarantined(instant aNow, std::size_t aMaxCount) const
{
  std::vector<quarantine_notice> notices;
  for (const auto& [request, row] : mRequests) {
    if (IsQuarantined(row, aNow) || AwaitsTrial(row, aNow)) {
      notices.push_back({ request,
                          quarantine_status::eQuarantined,
                          aNow - *row.mQuarantined,
                          row.mParts,
                          row.mConfirmed });
    }
  }
  std::sort(notices.begin(), notices.end(), [](const auto& aOne, const auto& aTwo) {
    return std::tie(aOne.mAge, aOne.mRequest) < std::tie(aTwo.mAge, aTwo.mRequest);
  });
  notices.resize(std::min(notices.size(), aMaxCount));
  return notices;
}

std::uint64_t
crash_ledger::Digest(instant aNow) const
{
  std::uint64_t digest = 0;
  for (const auto& [request, row] : mRequests) {
    if (IsQuarantined(row, aNow) || AwaitsTrial(row, aNow)) {
      const std::uint64_t value = request.mValue;
      digest ^= HashBytes({ reinterpret_cast<const char*>(&value), sizeof value });
    }
  }
  return digest;
}

void
crash_ledger::Prune(instant aNow)
{
  mDueEvaluations.erase(mDueEvaluations.begin(),
                        mDueEvaluations.lower_bound(aNow - kCrashRetention));
  std::erase_if(mCrashedRunners,
                [&](const auto& aRow) { return aNow - aRow.second.mAt >= kCrashRetention; });
  for (auto& [request, row] : mRequests) {
    std::erase_if(row.mCrashes,
                  [&](const runner_crash& aCrash) { return aNow - aCrash.mAt >= kCrashRetention; });
  }
  std::erase_if(mRequests, [&](const auto& aRow) {
    const tracked_request& row = aRow.second;
    const bool suspected = row.mSuspected && aNow - *row.mSuspected < kCrashRetention;
    const bool remembered =
      row.mQuarantined && aNow - *row.mQuarantined < kQuarantineDuration + kCrashRetention;
    return row.mCrashes.empty() && !suspected && !remembered;
  });
  mParts.Prune(aNow);
  std::erase_if(mPartSets, [&](const auto& aRow) { return !mRequests.contains(aRow.first); });
}

void
crash_ledger::EvictOldest()
{
  const auto newest = [](const tracked_request& aRow) {
    instant at = aRow.mCrashes.empty() ? instant{ 0 } : aRow.mCrashes.back().mAt;
    at = std::max(at, aRow.mSuspected.value_or(instant{ 0 }));
    return std::max(at, aRow.mQuarantined.value_or(instant{ 0 }));
  };
  if (mRequests.size() > kMaxTrackedRequests) {
    mRequests.erase(
      std::min_element(mRequests.begin(), mRequests.end(), [&](const auto& aOne, const auto& aTwo) {
        const bool oneQuarantined = aOne.second.mQuarantined.has_value();
        const bool twoQuarantined = aTwo.second.mQuarantined.has_value();
        const instant oneAt = newest(aOne.second);
        const instant twoAt = newest(aTwo.second);
        return std::tie(oneQuarantined, oneAt) < std::tie(twoQuarantined, twoAt);
      }));
    std::erase_if(mPartSets, [&](const auto& aRow) { return !mRequests.contains(aRow.first); });
  }
  if (mCrashedRunners.size() > kMaxCrashedRunners) {
    mCrashedRunners.erase(std::min_element(
      mCrashedRunners.begin(), mCrashedRunners.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mAt < aTwo.second.mAt;
      }));
  }
}

} // namespace dunehook
