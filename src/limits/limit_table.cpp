/**
 * @file limit_table.cpp
 * Orders what answers and other daemons say about limits, and derives the rates in force.
 */
#include "limits/limit_table.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

/** An ended limit is sent to other daemons for this long, so that none keeps it. */
constexpr duration kEndedNoticeTime = std::chrono::seconds(30);

} // namespace

limit_change
limit_table::Record(service_runner_id aRunner, double aPerSecond, instant aSentAt, instant aSeenAt)
{
  const auto [place, fresh] = mRows.try_emplace(aRunner);
  limit_row& row = place->second;
  const bool begins = fresh || row.mEndedAt.has_value();
  if (begins) {
    row.mAnswers.clear();
    row.mEndedAt.reset();
  }
  std::erase_if(row.mAnswers,
                [&](const named_answer& aOther) { return aOther.mSeenAt <= aSentAt; });
  row.mAnswers.push_back({ aPerSecond, aSeenAt });
  if (row.mAnswers.size() > kMaxAnswersKept) {
    row.mAnswers.pop_front();
  }
  row.mSeenAt = std::max(row.mSeenAt, aSeenAt);
  const double former = row.mPerSecond;
  row.mPerSecond = std::min_element(row.mAnswers.begin(),
                                    row.mAnswers.end(),
                                    [](const named_answer& aOne, const named_answer& aTwo) {
                                      return aOne.mPerSecond < aTwo.mPerSecond;
                                    })
                     ->mPerSecond;
  if (begins) {
    return limit_change::eLearned;
  }
  return former == row.mPerSecond ? limit_change::eNone : limit_change::eChanged;
}

limit_change
limit_table::End(limit_row& aRow, instant aSentAt, instant aNow)
{
  if (aRow.mEndedAt || aSentAt < aRow.mSeenAt) {
    return limit_change::eNone; // The answer may be older than the one that named the limit.
  }
  aRow.mEndedAt = aNow;
  aRow.mEndSentAt = aSentAt;
  aRow.mAnswers.clear();
  return limit_change::eEnded;
}

limit_change
limit_table::NoteNamed(service_runner_id aRunner, double aPerSecond, instant aSentAt, instant aNow)
{
  return Record(aRunner, aPerSecond, aSentAt, aNow);
}

limit_change
limit_table::NoteNotNamed(service_runner_id aRunner, instant aSentAt, instant aNow)
{
  const auto found = mRows.find(aRunner);
  return found == mRows.end() ? limit_change::eNone : End(found->second, aSentAt, aNow);
}

limit_change
limit_table::Apply(const limit_notice& aNotice, instant aNow)
{
  const instant saidAt = aNow - aNotice.mAge;
  const auto found = mRows.find(aNotice.mRunner);
  if (!aNotice.mPerSecond) {
    return found == mRows.end() ? limit_change::eNone : End(found->second, saidAt, aNow);
  }
  if (found != mRows.end()) {
    const limit_row& row = found->second;
    const instant known = row.mEndedAt ? row.mEndSentAt : row.mSeenAt;
    if (saidAt <= known) {
      return limit_change::eNone;
    }
  }
  return Record(aNotice.mRunner, *aNotice.mPerSecond, saidAt, saidAt);
}

void
limit_table::Prune(const std::function<bool(service_runner_id)>& aExists)
{
  std::erase_if(mRows, [&](const auto& aRow) { return !aExists(aRow.first); });
}

bool
limit_table::NeedsPermit(service_runner_id aRunner, instant aNow) const
{
  const auto found = mRows.find(aRunner);
  if (found == mRows.end()) {
    return false;
  }
  const std::optional<instant>& ended = found->second.mEndedAt;
  return !ended || aNow - *ended < kReleaseTime;
}

std::optional<double>
limit_table::LimitOf(service_runner_id aRunner) const
{
  const auto found = mRows.find(aRunner);
  if (found == mRows.end() || found->second.mEndedAt) {
    return std::nullopt;
  }
  return found->second.mPerSecond;
}

double
limit_table::RateOf(service_runner_id aRunner, instant aNow) const
{
  const auto found = mRows.find(aRunner);
  if (found == mRows.end()) {
    return kMinLimitedRate;
  }
  const limit_row& row = found->second;
  if (!row.mEndedAt) {
    return std::max(row.mPerSecond, kMinLimitedRate);
  }
  const double doublings = ToSeconds(aNow - *row.mEndedAt) / ToSeconds(kReleaseDoubling);
  return std::max(row.mPerSecond, kMinReleaseRate) * std::exp2(doublings);
}

std::optional<limit_notice>
limit_table::NoticeOf(service_runner_id aRunner, instant aNow) const
{
  const auto found = mRows.find(aRunner);
  if (found == mRows.end()) {
    return std::nullopt;
  }
  const limit_row& row = found->second;
  if (row.mEndedAt) {
    return limit_notice{ aRunner, std::nullopt, aNow - row.mEndSentAt };
  }
  return limit_notice{ aRunner, row.mPerSecond, aNow - row.mSeenAt };
}

std::vector<limit_notice>
limit_table::Notices(instant aNow) const
{
  std::vector<limit_notice> notices;
  for (const auto& [runner, row] : mRows) {
    if (!row.mEndedAt || aNow - *row.mEndedAt < kEndedNoticeTime) {
      notices.push_back(*NoticeOf(runner, aNow));
    }
  }
  return notices;
}

std::map<service_runner_id, double>
limit_table::InForce() const
{
  std::map<service_runner_id, double> limits;
  for (const auto& [runner, row] : mRows) {
    if (!row.mEndedAt) {
      limits[runner] = row.mPerSecond;
    }
  }
  return limits;
}

} // namespace dunehook
