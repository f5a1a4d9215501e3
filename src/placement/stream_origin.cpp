/**
 * @file stream_origin.cpp
 * The records of streams and their limits.
 */
#include "placement/stream_origin.h"

namespace dunehook {

stream_id
StreamIdOf(const std::string& aService, const std::string& aAttempt)
{
  if (aAttempt.empty() || aAttempt.size() > kMaxAttemptBytes) {
    return {};
  }
  return { HashBytes(aAttempt, KeyOf(aService).mValue) | 1U };
}

stream_evidence
Combine(const stream_evidence& aOne, const stream_evidence& aTwo)
{
  const bool contradict = aOne.mEvidence == origin_evidence::eOnlyVersion &&
                          aTwo.mEvidence == origin_evidence::eOnlyVersion &&
                          aOne.mSoftware != aTwo.mSoftware;
  if (contradict) {
    return { origin_evidence::eSeveralVersions, {} };
  }
  return aTwo.mEvidence > aOne.mEvidence ? aTwo : aOne;
}

void
origin_table::Note(const stream_origin& aOrigin, instant aNow)
{
  Prune(aNow);
  if (!aOrigin.mStream || !aOrigin.mSoftware) {
    return;
  }
  const bool fresh =
    mRows.try_emplace(aOrigin.mStream, origin_row{ aOrigin.mSoftware, aNow }).second;
  if (fresh) {
    mOrder.push_back(aOrigin.mStream);
  }
  Prune(aNow);
}

software_id
origin_table::Find(stream_id aStream, instant aNow) const
{
  const auto found = mRows.find(aStream);
  const bool known = found != mRows.end() && aNow - found->second.mSince < kOriginLife;
  return known ? found->second.mSoftware : software_id{};
}

std::vector<stream_origin>
origin_table::Known(instant aNow) const
{
  std::vector<stream_origin> known;
  for (const stream_id stream : mOrder) {
    if (const software_id software = Find(stream, aNow)) {
      known.push_back({ stream, software });
    }
  }
  return known;
}

void
origin_table::Prune(instant aNow)
{
  while (!mOrder.empty() &&
         (mOrder.size() > kMaxOrigins || aNow - mRows.at(mOrder.front()).mSince >= kOriginLife)) {
    mRows.erase(mOrder.front());
    mOrder.pop_front();
  }
}

} // namespace dunehook
