/**
 * @file recent_parts.cpp
 * Keeps proofs of parts, and decides which are sent.
 */
#include "quarantine/recent_parts.h"

#include <algorithm>

namespace dunehook {

void
recent_parts::AddProof(prompt_part aPart,
                       recent_part& aRow,
                       instant aNow,
                       std::vector<part_proof>& aProofs)
{
  const bool isNew = aRow.mBegan && (!aRow.mSent || *aRow.mBegan >= *aRow.mSent + kProofInterval);
  if (isNew) {
    aRow.mSent = aRow.mBegan;
    aProofs.push_back({ aPart, aNow - *aRow.mBegan });
  }
}

std::vector<part_proof>
recent_parts::NoteWentOn(const part_set& aParts, instant aBegan, instant aNow)
{
  std::vector<part_proof> proofs;
  for (const prompt_part part : aParts) {
    recent_part& row = mParts[part];
    row.mBegan = std::max(row.mBegan.value_or(aBegan), aBegan);
    if (row.mAskedUntil > aNow) {
      AddProof(part, row, aNow, proofs);
    }
  }
  EvictOldest();
  return proofs;
}

std::vector<part_proof>
recent_parts::NoteAsked(const std::vector<prompt_part>& aParts, instant aNow)
{
  std::vector<part_proof> proofs;
  for (const prompt_part part : aParts) {
    recent_part& row = mParts[part];
    row.mAskedUntil = aNow + kPartWatchTime;
    row.mSent.reset(); // Whoever asks may not have had the former proofs.
    AddProof(part, row, aNow, proofs);
  }
  EvictOldest();
  return proofs;
}

void
recent_parts::EvictOldest()
{
  while (mParts.size() > kMaxRecentParts) {
    mParts.erase(
      std::min_element(mParts.begin(), mParts.end(), [](const auto& aOne, const auto& aTwo) {
        const auto newest = [](const recent_part& aRow) {
          return std::max(aRow.mBegan.value_or(instant{ 0 }), aRow.mAskedUntil);
        };
        return newest(aOne.second) < newest(aTwo.second);
      }));
  }
}

} // namespace dunehook
