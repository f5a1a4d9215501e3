/**
 * @file crash_ledger.cpp
 * Blame for crashes.
 */
#include "quarantine/crash_ledger.h"

#include "core/hash_func.h"

#include <algorithm>
#include <string_view>

namespace dunehook {

void
crash_ledger::NoteCrash(const crash_report& aReport, instant aNow)
{
  crashed_life& life = mLives.try_emplace(aReport.mRunner, crashed_life{ aNow, {} }).first->second;
  auto& requests = life.mRequests;
  if (std::find(requests.begin(), requests.end(), aReport.mRequest) != requests.end()) {
    return;
  }
  requests.push_back(aReport.mRequest);
  mRequests[aReport.mRequest].mStrikes.push_back({ aReport.mRunner, aNow, aReport.mProgressed });
  mToJudge[aNow + kReportsIn].push_back(aReport.mRequest);
  MakeRoom();
}

bool
crash_ledger::NoteServed(request_fingerprint aRequest)
{
  return mRequests.erase(aRequest) > 0;
}

bool
crash_ledger::Take(const quarantine_notice& aNotice, instant aNow)
{
  const instant since = aNow - aNotice.mAge;
  if (aNotice.mAge >= kQuarantineTime) {
    return false;
  }
  request_row& row = mRequests[aNotice.mRequest];
  std::optional<instant>& known =
    aNotice.mStanding == request_standing::eQuarantined ? row.mQuarantined : row.mSuspected;
  const bool news = !known || since - *known > kOneFailure;
  known = known ? std::max(*known, since) : since;
  MakeRoom();
  return news;
}

std::vector<quarantine_notice>
crash_ledger::Judge(instant aNow)
{
  std::vector<quarantine_notice> changed;
  while (!mToJudge.empty() && mToJudge.begin()->first <= aNow) {
    const std::vector<request_fingerprint> due = std::move(mToJudge.begin()->second);
    mToJudge.erase(mToJudge.begin());
    for (const request_fingerprint request : due) {
      const auto found = mRequests.find(request);
      if (found == mRequests.end() || InQuarantine(found->second, aNow)) {
        continue;
      }
      request_row& row = found->second;
      const std::uint32_t parole = row.mQuarantined ? kCrashesAllowed - 1 : 0;
      if (parole + CountBlamed(request, aNow) >= kCrashesAllowed) {
        row.mQuarantined = aNow;
        changed.push_back({ request, request_standing::eQuarantined, duration{ 0 } });
      } else if (!row.mSuspected && row.mStrikes.size() + 1 >= kCrashesAllowed) {
        row.mSuspected = aNow;
        changed.push_back({ request, request_standing::eSuspected, duration{ 0 } });
      }
    }
  }
  return changed;
}

crash_ledger::evidence
crash_ledger::EvidenceOf(request_fingerprint aRequest) const
{
  evidence found;
  const auto row = mRequests.find(aRequest);
  if (row != mRequests.end()) {
    found.mCrashes = row->second.mStrikes.size();
    found.mAtBegin = static_cast<std::size_t>(std::count_if(
      row->second.mStrikes.begin(), row->second.mStrikes.end(), [](const strike& aStrike) {
        return !aStrike.mProgressed;
      }));
  }
  return found;
}

bool
crash_ledger::IsBlamed(request_fingerprint aRequest, const crashed_life& aLife) const
{
  const evidence own = EvidenceOf(aRequest);
  return std::none_of(aLife.mRequests.begin(),
                      aLife.mRequests.end(),
                      [&](request_fingerprint aOther) { return EvidenceOf(aOther) > own; });
}

std::uint32_t
crash_ledger::CountBlamed(request_fingerprint aRequest, instant aNow) const
{
  std::uint32_t count = 0;
  std::uint32_t together = 0; // Of one failure, which began at mFrom and goes on until mUntil.
  instant from{ 0 };
  instant until{ 0 };
  const auto conclude = [&] {
    const std::uint32_t others = together == 0 ? 0 : CountOthers(aRequest, from, until, aNow);
    const bool explained = others >= kFailedTogether * together;
    count += explained && together > 0 ? together - 1 : together;
    together = 0;
  };
  for (const strike& one : mRequests.at(aRequest).mStrikes) {
    const auto life = mLives.find(one.mRunner);
    if (life == mLives.end() || !IsBlamed(aRequest, life->second)) {
      continue;
    }
    if (together > 0 && one.mAt - from > kOneFailure) {
      conclude();
    }
    from = together == 0 ? one.mAt : from;
    until = one.mAt;
    ++together;
  }
  conclude();
  return count;
}

std::uint32_t
crash_ledger::CountOthers(request_fingerprint aRequest,
                          instant aFrom,
                          instant aUntil,
                          instant aNow) const
{
  const auto isOther = [&](const auto& aRow) {
    const crashed_life& life = aRow.second;
    if (life.mAt < aFrom - kOneFailure || life.mAt > aUntil + kOneFailure) {
      return false;
    }
    return std::none_of(
      life.mRequests.begin(), life.mRequests.end(), [&](request_fingerprint aThere) {
        return aThere == aRequest || StandingOf(aThere, aNow) == request_standing::eQuarantined;
      });
  };
  return static_cast<std::uint32_t>(std::count_if(mLives.begin(), mLives.end(), isOther));
}

bool
crash_ledger::InQuarantine(const request_row& aRow, instant aNow) const
{
  return aRow.mQuarantined && aNow - *aRow.mQuarantined < kQuarantineTime;
}

request_standing
crash_ledger::StandingOf(request_fingerprint aRequest, instant aNow) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return request_standing::eClear;
  }
  if (InQuarantine(found->second, aNow)) {
    return request_standing::eQuarantined;
  }
  return found->second.mSuspected ? request_standing::eSuspected : request_standing::eClear;
}

duration
crash_ledger::QuarantinedFor(request_fingerprint aRequest, instant aNow) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || !InQuarantine(found->second, aNow)) {
    return duration{ 0 };
  }
  return *found->second.mQuarantined + kQuarantineTime - aNow;
}

std::size_t
crash_ledger::CrashesUnder(request_fingerprint aRequest) const
{
  return EvidenceOf(aRequest).mCrashes;
}

std::size_t
crash_ledger::CountQuarantined(instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aRow) {
      return InQuarantine(aRow.second, aNow);
    }));
}

std::vector<quarantine_notice>
crash_ledger::Quarantined(instant aNow, std::size_t aMost) const
{
  std::vector<quarantine_notice> notices;
  for (const auto& [request, row] : mRequests) {
    if (InQuarantine(row, aNow)) {
      notices.push_back({ request, request_standing::eQuarantined, aNow - *row.mQuarantined });
    }
  }
  std::sort(notices.begin(), notices.end(), [](const auto& aOne, const auto& aTwo) {
    return std::tie(aOne.mAge, aOne.mRequest) < std::tie(aTwo.mAge, aTwo.mRequest);
  });
  notices.resize(std::min(notices.size(), aMost));
  return notices;
}

std::uint64_t
crash_ledger::Digest(instant aNow) const
{
  std::uint64_t digest = 0;
  for (const auto& [request, row] : mRequests) {
    if (InQuarantine(row, aNow)) {
      const std::uint64_t value = request.mValue;
      digest ^= HashBytes({ reinterpret_cast<const char*>(&value), sizeof value });
    }
  }
  return digest;
}

void
crash_ledger::Prune(instant aNow)
{
  std::erase_if(mLives, [&](const auto& aRow) { return aNow - aRow.second.mAt >= kCrashKept; });
  for (auto& [request, row] : mRequests) {
    std::erase_if(row.mStrikes,
                  [&](const strike& aStrike) { return aNow - aStrike.mAt >= kCrashKept; });
  }
  std::erase_if(mRequests, [&](const auto& aRow) {
    const request_row& row = aRow.second;
    const bool suspected = row.mSuspected && aNow - *row.mSuspected < kCrashKept;
    const bool remembered =
      row.mQuarantined && aNow - *row.mQuarantined < kQuarantineTime + kCrashKept;
    return row.mStrikes.empty() && !suspected && !remembered;
  });
}

void
crash_ledger::MakeRoom()
{
  const auto newest = [](const request_row& aRow) {
    instant at = aRow.mStrikes.empty() ? instant{ 0 } : aRow.mStrikes.back().mAt;
    at = std::max(at, aRow.mSuspected.value_or(instant{ 0 }));
    return std::max(at, aRow.mQuarantined.value_or(instant{ 0 }));
  };
  if (mRequests.size() > kMostRequests) {
    mRequests.erase(
      std::min_element(mRequests.begin(), mRequests.end(), [&](const auto& aOne, const auto& aTwo) {
        const bool oneKept = aOne.second.mQuarantined.has_value();
        const bool twoKept = aTwo.second.mQuarantined.has_value();
        const instant oneAt = newest(aOne.second);
        const instant twoAt = newest(aTwo.second);
        return std::tie(oneKept, oneAt) < std::tie(twoKept, twoAt);
      }));
  }
  if (mLives.size() > kMostLives) {
    mLives.erase(
      std::min_element(mLives.begin(), mLives.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mAt < aTwo.second.mAt;
      }));
  }
}

} // namespace dunehook
