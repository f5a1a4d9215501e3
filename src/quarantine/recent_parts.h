/**
 * @file recent_parts.h
 * Remembers which shared parts of prompts this daemon's runs have proven harmless, and which of
 * them the daemons that judge ask for.
 */
#pragma once

#include "quarantine/part_evidence.h"
#include "quarantine/quarantine_type.h"

namespace dunehook {

/** Proofs of a part are sent for this long after it was asked for. */
inline constexpr duration kPartWatchTime = std::chrono::seconds(10);
/** Time between proofs of a part that are sent. */
inline constexpr duration kProofInterval = std::chrono::milliseconds(200);
/** Most parts remembered; the one proven longest ago gives way. */
inline constexpr std::size_t kMaxRecentParts = 4096;

/** The parts of this daemon's runs. */
class recent_parts
{
public:
  /** Records a run that went on. @return proofs to send now. */
  std::vector<part_proof> NoteWentOn(const part_set& aParts, instant aBegan, instant aNow);
  /** Records that proofs are wanted. @return those that are known. */
  std::vector<part_proof> NoteAsked(const std::vector<prompt_part>& aParts, instant aNow);

private:
  /** What is known of a part. */
  struct recent_part
  {
    std::optional<instant> mBegan; ///< Latest begin of a run that went on.
    std::optional<instant> mSent;  ///< Latest begin that was sent.
    instant mAskedUntil{ 0 };      ///< Proofs are wanted until then.
  };

  /** Adds the proof of a part to a list, if there's a newer one than was sent. */
  static void AddProof(prompt_part aPart,
                       recent_part& aRow,
                       instant aNow,
                       std::vector<part_proof>& aProofs);
  void EvictOldest();

  std::unordered_map<prompt_part, recent_part> mParts; ///< At most kMaxRecentParts.
};

} // namespace dunehook
