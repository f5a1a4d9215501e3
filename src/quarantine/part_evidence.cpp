/**
 * @file part_evidence.cpp
 * Weighs crashes against runs that went on, by parts of prompts.
 */
#include "quarantine/part_evidence.h"

#include <algorithm>

namespace dunehook {

namespace {

/** @return whether a run at a crash held all of the parts. */
bool
HasRunWith(const std::vector<part_run>& aRuns, const part_set& aParts)
{
  return std::any_of(aRuns.begin(), aRuns.end(), [&](const part_run& aRun) {
    return HoldsAll(aRun.mParts, aParts);
  });
}

} // namespace

part_evidence::part_crash*
part_evidence::FindOrAdd(std::uint64_t aCrash, instant aCrashedAt)
{
  const auto [row, isNew] = mCrashes.try_emplace(aCrash);
  if (!isNew) {
    return &row->second;
  }
  row->second.mAt = aCrashedAt;
  if (mCrashes.size() <= kMaxPartCrashesKept) {
    return &row->second;
  }
  const bool isOldest = row == mCrashes.begin();
  mCrashes.erase(mCrashes.begin());
  return isOldest ? nullptr : &row->second;
}

void
part_evidence::NoteCrash(std::uint64_t aCrash, instant aCrashedAt)
{
  FindOrAdd(aCrash, aCrashedAt);
}

void
part_evidence::NoteRun(std::uint64_t aCrash, instant aCrashedAt, part_run aRun)
{
  part_crash* const crash = FindOrAdd(aCrash, aCrashedAt);
  if (crash != nullptr && crash->mRuns.size() < kMaxRunsPerCrash) {
    crash->mRuns.push_back(std::move(aRun));
  }
}

void
part_evidence::NoteProven(prompt_part aPart, instant aBegan)
{
  const auto [row, isNew] = mProven.try_emplace(aPart, aBegan);
  row->second = std::max(row->second, aBegan);
  if (mProven.size() > kMaxPartsProven) {
    mProven.erase(
      std::min_element(mProven.begin(), mProven.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second < aTwo.second;
      }));
  }
}

bool
part_evidence::IsProvenSince(prompt_part aPart, instant aSince) const
{
  const auto found = mProven.find(aPart);
  return found != mProven.end() && found->second > aSince;
}

void
part_evidence::Prune(instant aNow)
{
  std::erase_if(mCrashes,
                [&](const auto& aRow) { return aNow - aRow.second.mAt >= kPartRetention; });
  std::erase_if(mProven, [&](const auto& aRow) { return aNow - aRow.second >= kPartRetention; });
}

part_evidence::suspect_table
part_evidence::FindSuspects(instant aFrom, instant aUntil) const
{
  suspect_table suspects;
  std::vector<const part_crash*> crashes;
  for (const auto& [id, crash] : mCrashes) {
    if (crash.mAt >= aFrom && crash.mAt <= aUntil) {
      crashes.push_back(&crash);
    }
  }
  std::sort(crashes.begin(), crashes.end(), [](const part_crash* aOne, const part_crash* aTwo) {
    return aOne->mAt < aTwo->mAt;
  });
  for (const part_crash* const crash : crashes) {
    for (const part_run& run : crash->mRuns) {
      for (const prompt_part part : run.mParts) {
        // A part of the set that explains it may be the cause by itself.
        const part_set& by = crash->mExplainedBy;
        const bool isExplained = !by.empty() && !std::binary_search(by.begin(), by.end(), part);
        if (isExplained || IsProvenSince(part, crash->mAt)) {
          continue;
        }
        suspect& row = suspects[part];
        row.mTogether = row.mCrashes.empty() ? run.mParts : PartsInBoth(row.mTogether, run.mParts);
        if (row.mCrashes.empty() || row.mCrashes.back() != crash) {
          row.mCrashes.push_back(crash);
        }
      }
    }
  }
  for (auto& [part, row] : suspects) {
    const instant first = row.mCrashes.front()->mAt;
    std::erase_if(row.mTogether, [&](prompt_part aOther) { return IsProvenSince(aOther, first); });
  }
  return suspects;
}

part_set
part_evidence::Suspects() const
{
  part_set parts;
  for (const auto& [part, row] : FindSuspects(instant::min(), instant::max())) {
    if (row.mCrashes.size() + 1 >= kPartCrashes) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::size_t
part_evidence::CountCrashes(request_fingerprint aRequest) const
{
  return static_cast<std::size_t>(
    std::count_if(mCrashes.begin(), mCrashes.end(), [&](const auto& aRow) {
      const std::vector<part_run>& runs = aRow.second.mRuns;
      return aRow.second.mExplainedBy.empty() &&
             std::any_of(runs.begin(), runs.end(), [&](const part_run& aRun) {
               return aRun.mRequest == aRequest;
             });
    }));
}

bool
part_evidence::IsExplainedOtherwise(const suspect& aSuspect,
                                    const part_crash& aCrash,
                                    const suspect_table& aSuspects) const
{
  const std::size_t own = aSuspect.mCrashes.size();
  const bool wasProven = WasProven(aSuspect.mTogether);
  const auto isStronger = [&](const suspect& aOther) {
    const std::size_t count = aOther.mCrashes.size();
    if (WasProven(aOther.mTogether) != wasProven) { // What never went on is the likelier cause.
      return wasProven && count >= kPartCrashes;
    }
    return own >= kSurePartCrashes ? count > own : count >= own;
  };
  return std::any_of(aCrash.mRuns.begin(), aCrash.mRuns.end(), [&](const part_run& aRun) {
    if (HoldsAll(aRun.mParts, aSuspect.mTogether)) {
      return false;
    }
    const bool byPart = std::any_of(aRun.mParts.begin(), aRun.mParts.end(), [&](prompt_part aPart) {
      const auto other = aSuspects.find(aPart);
      return other != aSuspects.end() && isStronger(other->second) &&
             !HoldsAll(aSuspect.mTogether, other->second.mTogether);
    });
    return byPart || CountCrashes(aRun.mRequest) >= own;
  });
}

std::set<request_fingerprint>
part_evidence::RequestsOf(const suspect& aSuspect)
{
  std::set<request_fingerprint> requests;
  for (const part_crash* const crash : aSuspect.mCrashes) {
    for (const part_run& run : crash->mRuns) {
      if (HoldsAll(run.mParts, aSuspect.mTogether)) {
        requests.insert(run.mRequest);
      }
    }
  }
  return requests;
}

std::size_t
part_evidence::CountInRow(const suspect& aSuspect)
{
  std::size_t count = 0;
  instant last = instant::min();
  for (const part_crash* const crash : aSuspect.mCrashes) {
    const bool follows =
      std::any_of(crash->mRuns.begin(), crash->mRuns.end(), [&](const part_run& aRun) {
        return HoldsAll(aRun.mParts, aSuspect.mTogether) && aRun.mBegan > last;
      });
    if (follows) {
      ++count;
      last = crash->mAt;
    }
  }
  return count;
}

bool
part_evidence::IsSimultaneous(const part_crash& aCrash) const
{
  const auto count = std::count_if(mCrashes.begin(), mCrashes.end(), [&](const auto& aRow) {
    const instant at = aRow.second.mAt;
    return std::max(at, aCrash.mAt) - std::min(at, aCrash.mAt) < kSimultaneousTime;
  });
  return static_cast<std::size_t>(count) >= kSimultaneousCrashes;
}

part_evidence::crash_set
part_evidence::FindCrashesOfParts(const suspect_table& aSuspects) const
{
  crash_set crashes;
  for (const auto& [part, row] : aSuspects) {
    const duration span = row.mCrashes.back()->mAt - row.mCrashes.front()->mAt;
    const bool isLikely =
      row.mCrashes.size() >= kPartCrashes && span > kCommonCauseTime && !WasProven(row.mTogether);
    if (isLikely) {
      crashes.insert(row.mCrashes.begin(), row.mCrashes.end());
    }
  }
  return crashes;
}

std::size_t
part_evidence::CountOthersNear(const part_set& aParts,
                               const crash_set& aOfParts,
                               instant aFrom,
                               instant aUntil) const
{
  return static_cast<std::size_t>(
    std::count_if(mCrashes.begin(), mCrashes.end(), [&](const auto& aRow) {
      const part_crash& other = aRow.second;
      const bool isNear =
        other.mAt > aFrom - kCommonCauseTime && other.mAt < aUntil + kCommonCauseTime;
      return isNear && other.mExplainedBy.empty() && !HasRunWith(other.mRuns, aParts) &&
             !aOfParts.contains(&other);
    }));
}

std::size_t
part_evidence::CountSeparate(const suspect& aSuspect, const crash_set& aOfParts) const
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aSuspect.mCrashes.size();) {
    const instant begin = aSuspect.mCrashes[i]->mAt;
    std::size_t next = i;
    while (next < aSuspect.mCrashes.size() &&
           aSuspect.mCrashes[next]->mAt - begin < kCommonCauseTime) {
      ++next;
    }
    const instant end = aSuspect.mCrashes[next - 1]->mAt;
    const bool mayHaveCommonCause =
      CountOthersNear(aSuspect.mTogether, aOfParts, begin, end) >= next - i;
    count += mayHaveCommonCause ? 1 : next - i;
    i = next;
  }
  return count;
}

bool
part_evidence::WasProven(const part_set& aParts) const
{
  return std::all_of(
    aParts.begin(), aParts.end(), [&](prompt_part aPart) { return mProven.contains(aPart); });
}

bool
part_evidence::IsBlamed(const suspect& aSuspect,
                        const suspect_table& aSuspects,
                        const crash_set& aOfParts,
                        const std::function<bool(request_fingerprint)>& aIsQuarantined) const
{
  suspect counted{ {}, aSuspect.mTogether };
  std::set<request_fingerprint> repeated;
  std::optional<instant> simultaneous; // The last crashes of several runners.
  for (const part_crash* const crash : aSuspect.mCrashes) {
    if (IsExplainedOtherwise(aSuspect, *crash, aSuspects)) {
      continue;
    }
    if (IsSimultaneous(*crash)) {
      const bool isFirst = !simultaneous;
      const bool isSame = !isFirst && crash->mAt - *simultaneous < kSimultaneousTime;
      simultaneous = isSame ? *simultaneous : crash->mAt;
      if (isFirst || isSame) {
        continue;
      }
    }
    // All crashes of a request that is quarantined for itself count as one.
    const auto found =
      std::find_if(crash->mRuns.begin(), crash->mRuns.end(), [&](const part_run& aRun) {
        return HoldsAll(aRun.mParts, aSuspect.mTogether) && aIsQuarantined(aRun.mRequest);
      });
    if (found == crash->mRuns.end() || repeated.insert(found->mRequest).second) {
      counted.mCrashes.push_back(crash);
    }
  }
  if (counted.mCrashes.size() < kPartCrashes || RequestsOf(counted).size() < 2) {
    return false;
  }
  const bool isNew =
    std::any_of(counted.mCrashes.begin(), counted.mCrashes.end(), [](const part_crash* aCrash) {
      return aCrash->mExplainedBy.empty();
    });
  if (!isNew || CountSeparate(counted, aOfParts) < kPartCrashes) {
    return false;
  }
  if (!WasProven(counted.mTogether)) {
    return true;
  }
  const duration span = counted.mCrashes.back()->mAt - counted.mCrashes.front()->mAt;
  return CountInRow(counted) >= kProvenPartCrashes && span >= kProofWait;
}

std::vector<part_set>
part_evidence::Judge(const std::function<bool(request_fingerprint)>& aIsQuarantined,
                     instant aFrom,
                     instant aUntil) const
{
  const suspect_table suspects = FindSuspects(aFrom, aUntil);
  const crash_set ofParts = FindCrashesOfParts(suspects);
  std::vector<part_set> blamed;
  for (const auto& [part, row] : suspects) {
    const bool isBlamed = row.mCrashes.size() >= kPartCrashes && !row.mTogether.empty() &&
                          IsBlamed(row, suspects, ofParts, aIsQuarantined);
    if (isBlamed && std::find(blamed.begin(), blamed.end(), row.mTogether) == blamed.end()) {
      blamed.push_back(row.mTogether);
    }
  }
  // The larger set explains the same crashes and refuses fewer prompts.
  const std::vector<part_set> all = blamed;
  std::erase_if(blamed, [&](const part_set& aOne) {
    return std::any_of(all.begin(), all.end(), [&](const part_set& aOther) {
      return aOther != aOne && HoldsAll(aOther, aOne);
    });
  });
  return blamed;
}

std::vector<std::uint64_t>
part_evidence::Explain(const part_set& aParts)
{
  std::vector<std::uint64_t> explained;
  for (auto& [id, crash] : mCrashes) {
    if (HasRunWith(crash.mRuns, aParts)) {
      crash.mExplainedBy = aParts;
      explained.push_back(id);
    }
  }
  return explained;
}

bool
part_evidence::HasUnexplained(const part_set& aParts) const
{
  return std::any_of(mCrashes.begin(), mCrashes.end(), [&](const auto& aRow) {
    return aRow.second.mExplainedBy.empty() && HasRunWith(aRow.second.mRuns, aParts);
  });
}

bool
part_evidence::IsExplained(std::uint64_t aCrash) const
{
  const auto found = mCrashes.find(aCrash);
  return found != mCrashes.end() && !found->second.mExplainedBy.empty();
}

} // namespace dunehook
