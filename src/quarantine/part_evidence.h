/**
 * @file part_evidence.h
 * Finds parts of prompts that crash each runner which begins to answer a prompt with them, whatever
 * else the request holds. It does no I/O.
 *
 * A crash may be due to any part of any run that had just begun there. A run that goes on for
 * kRunProvenTime clears all its parts of the crashes before it began, at any runner; of later ones
 * it doesn't, since a part may begin to crash runners. What is left at kPartCrashes crashes, in at
 * least two different requests, is blamed, unless another part or request explains a crash as well.
 *
 * Parts that were together in all those runs can't be told apart, so prompts that hold all of them
 * are refused. Once a run proves one of them harmless, it's taken out of the set. For the same
 * reason the largest such set is blamed, not the popular part that many prompts begin with.
 *
 * Crashes of several runners at the same moment are nobody's the first time, and count as one each
 * time after. Those around which as many other runners crash without the parts may have a common
 * cause, and count once, but for crashes that another part explains. Parts that went on
 * before the crashes are blamed at kProvenPartCrashes, and only if the crashes go on for
 * kProofWait, each at a run that began after the one before: else nothing had time to prove them
 * again. At a crash that a part explains which never went on, they aren't blamed.
 */
#pragma once

#include "core/clock_type.h"
#include "quarantine/prompt_part.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace dunehook {

/** A run that has gone on for this long since its first event didn't crash its runner. */
inline constexpr duration kRunProvenTime = std::chrono::milliseconds(500);
/** Parts are blamed for this many crashes. */
inline constexpr std::size_t kPartCrashes = 3;
/** At so many crashes parts are blamed beside others that explain them as well, but not better. */
inline constexpr std::size_t kSurePartCrashes = 5;
/** The same as kPartCrashes for parts that were proven harmless before. */
inline constexpr std::size_t kProvenPartCrashes = 8;
/** Time for runs that began after a crash to prove their parts, while several engines are down. */
inline constexpr duration kProofWait = std::chrono::milliseconds(6000);
/** Other runners that crash within this time of a crash may have a common cause. */
inline constexpr duration kCommonCauseTime = std::chrono::milliseconds(1000);
/** So many runners that crash within this time are likely to have a common cause. */
inline constexpr std::size_t kSimultaneousCrashes = 4;
inline constexpr duration kSimultaneousTime = std::chrono::milliseconds(50);
/** Crashes and proofs are kept for this long. */
inline constexpr duration kPartRetention = std::chrono::minutes(10);
/** Limits on what is kept; the oldest gives way. */
inline constexpr std::size_t kMaxPartCrashesKept = 64;
inline constexpr std::size_t kMaxRunsPerCrash = 64;
inline constexpr std::size_t kMaxPartsProven = 4096;

/** A run that had just begun at a runner that crashed. */
struct part_run
{
  request_fingerprint mRequest; ///< Its request.
  part_set mParts;              ///< Shared parts of its prompt; may be empty.
  instant mBegan{ 0 };          ///< When it was sent to the runner.

  auto operator<=>(const part_run&) const = default;
};

/** Relates crashes to parts, and derives which are to be refused. */
class part_evidence
{
public:
  /** Records a run that had just begun at a crash. @param aCrash numbers the crashes. */
  void NoteRun(std::uint64_t aCrash, instant aCrashedAt, part_run aRun);
  /** Records a crash at which no run had just begun, or none is known. */
  void NoteCrash(std::uint64_t aCrash, instant aCrashedAt);
  /** Records that a run went on. @param aBegan when it was sent. */
  void NoteProven(prompt_part aPart, instant aBegan);
  /** Removes expired crashes and proofs. */
  void Prune(instant aNow);

  /** @return whether it was proven by a run that began after a time. */
  bool IsProvenSince(prompt_part aPart, instant aSince) const;
  /** @return whether all of these parts were ever proven harmless. */
  bool WasProven(const part_set& aParts) const;
  /** @return parts at two crashes or more, of which proofs are wanted. */
  part_set Suspects() const;
  /**
   * @param aIsQuarantined tells whether a request is in quarantine for itself.
   * @param aFrom crashes before are no evidence: reports of them are missing.
   * @param aUntil crashes after it aren't evaluated: reports may come yet.
   * @return the sets of parts that are to be refused.
   */
  std::vector<part_set> Judge(const std::function<bool(request_fingerprint)>& aIsQuarantined,
                              instant aFrom,
                              instant aUntil) const;
  /** Marks the crashes at which a run held all of these parts as explained by them: they are no
   * evidence against others. @return these crashes. */
  std::vector<std::uint64_t> Explain(const part_set& aParts);
  /** @return whether a run with all of these parts was at a crash that nothing explains. */
  bool HasUnexplained(const part_set& aParts) const;
  /** @return whether a crash is explained by parts. */
  bool IsExplained(std::uint64_t aCrash) const;
  /** @return how many crashes are kept. */
  std::size_t Size() const { return mCrashes.size(); }

private:
  /** A crash and what had just begun there. */
  struct part_crash
  {
    instant mAt{ 0 };            ///< When the runner crashed, as first reported.
    part_set mExplainedBy;       ///< See Explain(); empty if nothing explains it.
    std::vector<part_run> mRuns; ///< At most kMaxRunsPerCrash.
  };
  /** Crashes that may be due to a part. */
  struct suspect
  {
    std::vector<const part_crash*> mCrashes; ///< In order of time.
    part_set mTogether; ///< Parts in all its runs there that weren't proven since the first one.
  };
  using suspect_table = std::map<prompt_part, suspect>;
  using crash_set = std::set<const part_crash*>;

  /** @return the crash with this number, new or known; null if it's too old to be kept. */
  part_crash* FindOrAdd(std::uint64_t aCrash, instant aCrashedAt);
  suspect_table FindSuspects(instant aFrom, instant aUntil) const;
  /** @return whether the evidence against a suspect suffices. */
  bool IsBlamed(const suspect& aSuspect,
                const suspect_table& aSuspects,
                const crash_set& aOfParts,
                const std::function<bool(request_fingerprint)>& aIsQuarantined) const;
  /** @return whether another suspect, or one request, explains a crash as well. */
  bool IsExplainedOtherwise(const suspect& aSuspect,
                            const part_crash& aCrash,
                            const suspect_table& aSuspects) const;
  /** @return at how many of the crashes that are kept a request had just begun. */
  std::size_t CountCrashes(request_fingerprint aRequest) const;
  /** @return the requests that held all the parts at a suspect's crashes. */
  static std::set<request_fingerprint> RequestsOf(const suspect& aSuspect);
  /** @return how many crashes are in a row, each at a run that began after the one before. */
  static std::size_t CountInRow(const suspect& aSuspect);
  /** @return how many crashes count: those around which as many other runners crashed without the
   * parts may have a common cause, and count once. */
  std::size_t CountSeparate(const suspect& aSuspect, const crash_set& aOfParts) const;
  /** @return whether several runners crashed at the moment of a crash. */
  bool IsSimultaneous(const part_crash& aCrash) const;
  /** @return crashes that may be due to parts which never went on, and were at crashes for longer
   * than a common cause lasts. */
  crash_set FindCrashesOfParts(const suspect_table& aSuspects) const;
  /** @return how many other runners crashed around a time without the parts, for no such reason. */
  std::size_t CountOthersNear(const part_set& aParts,
                              const crash_set& aOfParts,
                              instant aFrom,
                              instant aUntil) const;

  std::map<std::uint64_t, part_crash> mCrashes;     ///< At most kMaxPartCrashesKept.
  std::unordered_map<prompt_part, instant> mProven; ///< Latest begin of a run that went on.
};

} // namespace dunehook
