/**
 * @file crash_ledger_parts.cpp
 * Quarantine of parts that prompts share.
 */
#include "quarantine/crash_ledger.h"

#include <algorithm>

namespace dunehook {

bool
crash_ledger::NoteParts(const crash_report& aReport,
                        crash_id aCrash,
                        instant aCrashedAt,
                        instant aNow)
{
  mLastPartCrash = aNow;
  if (!aReport.mJustBegan) {
    mParts.NoteCrash(aCrash.mValue, aCrashedAt);
    return mParts.IsExplained(aCrash.mValue);
  }
  const instant began = aNow - aReport.mAge - *aReport.mJustBegan;
  mParts.NoteRun(aCrash.mValue, aCrashedAt, { aReport.mRequest, aReport.mParts, began });
  if (const auto key = QuarantinedPartsIn(aReport.mParts, aNow)) {
    DropExplained(mPartSets.at(*key));
  }
  return mParts.IsExplained(aCrash.mValue);
}

void
crash_ledger::DropExplained(const part_set& aParts)
{
  const std::vector<std::uint64_t> explained = mParts.Explain(aParts);
  for (auto& [request, row] : mRequests) {
    std::erase_if(row.mCrashes, [&](const runner_crash& aCrash) {
      return std::find(explained.begin(), explained.end(), aCrash.mCrash.mValue) != explained.end();
    });
  }
}

quarantine_notice
crash_ledger::QuarantineParts(const part_set& aParts, instant aSince, bool aConfirmed, instant aNow)
{
  const request_fingerprint key = FingerprintOf(aParts);
  tracked_request& row = mRequests[key];
  // What is left of a larger set may have a quarantine of its own.
  const instant since = std::max(row.mQuarantined.value_or(aSince), aSince);
  row.mParts = aParts;
  row.mQuarantined = since;
  row.mConfirmed = row.mConfirmed || aConfirmed;
  const bool isConfirmed = row.mConfirmed;
  mPartSets[key] = aParts;
  DropExplained(aParts);
  EvictOldest();
  return { key, quarantine_status::eQuarantined, aNow - since, aParts, isConfirmed };
}

std::vector<quarantine_notice>
crash_ledger::EvaluateParts(instant aNow)
{
  std::vector<quarantine_notice> notices;
  if (aNow - mLastPartCrash > kPartJudgeTime) {
    return notices;
  }
  const auto isQuarantined = [&](request_fingerprint aRequest) {
    return StatusOf(aRequest, aNow) == quarantine_status::eQuarantined;
  };
  const auto judged = mParts.Judge(isQuarantined, mCompleteSince, aNow - kReportWindow);
  const std::map<request_fingerprint, part_set> known = mPartSets;
  for (const auto& [key, parts] : known) {
    if (!isQuarantined(key) && mParts.HasUnexplained(parts)) {
      // What once went on is tried again soon: its trial may have been of a request that crashes.
      notices.push_back(QuarantineParts(parts, aNow, !mParts.WasProven(parts), aNow));
    }
  }
  for (const part_set& parts : judged) {
    if (!QuarantinedPartsIn(parts, aNow)) {
      notices.push_back(QuarantineParts(parts, aNow, false, aNow));
    }
  }
  return notices;
}

part_change
crash_ledger::NoteProven(prompt_part aPart, instant aBegan, instant aNow)
{
  mParts.NoteProven(aPart, aBegan);
  part_change change;
  std::vector<quarantine_notice> remaining;
  for (const auto& [key, parts] : mPartSets) {
    const tracked_request& row = mRequests.at(key);
    const bool isRefuted = row.mQuarantined && aBegan > *row.mQuarantined &&
                           std::binary_search(parts.begin(), parts.end(), aPart);
    if (isRefuted) {
      change.mEnded.push_back(key);
      part_set left = parts;
      std::erase(left, aPart);
      remaining.push_back({ {}, {}, aNow - *row.mQuarantined, std::move(left), row.mConfirmed });
    }
  }
  for (const request_fingerprint key : change.mEnded) {
    NoteServed(key);
  }
  for (const quarantine_notice& left : remaining) {
    if (!left.mParts.empty()) {
      change.mNotices.push_back(
        QuarantineParts(left.mParts, aNow - left.mAge, left.mConfirmed, aNow));
    }
  }
  return change;
}

part_set
crash_ledger::PartsInQuestion(instant aNow) const
{
  part_set parts;
  if (aNow - mLastPartCrash <= kPartJudgeTime) {
    parts = mParts.Suspects();
  }
  for (const auto& [key, set] : mPartSets) {
    parts.insert(parts.end(), set.begin(), set.end());
  }
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

std::optional<request_fingerprint>
crash_ledger::FindPartSet(const part_set& aParts, bool aQuarantined, instant aNow) const
{
  for (const auto& [key, parts] : mPartSets) {
    const bool isQuarantined = StatusOf(key, aNow) == quarantine_status::eQuarantined;
    if (isQuarantined == aQuarantined && HoldsAll(aParts, parts)) {
      return key;
    }
  }
  return std::nullopt;
}

std::optional<request_fingerprint>
crash_ledger::QuarantinedPartsIn(const part_set& aParts, instant aNow) const
{
  return FindPartSet(aParts, true, aNow);
}

std::optional<request_fingerprint>
crash_ledger::SuspectedPartsIn(const part_set& aParts, instant aNow) const
{
  return FindPartSet(aParts, false, aNow);
}

} // namespace dunehook
