/**
 * @file crash_ledger.h
 * Tracks which requests were running on runners that crashed, and decides which requests are
 * quarantined. It does no I/O: the caller passes in crash reports, completed requests and the time.
 *
 * A crash breaks all runs on its runner, of which at most one caused it. It's blamed on the request
 * that was running at the most crashes; among equals, on those that had never made progress, and on
 * none while several are left. A request on which enough crashes are blamed is quarantined; that
 * explains its crashes, so they no longer count against those that were at fewer of them. If many
 * runners crash at once and a request was running on only a few of them, those crashes are no
 * evidence against it: the runners had a common cause of failure.
 *
 * A request that was at two crashes is suspected. It's sent only as trial_table allows, so that the
 * next crash tells the suspected requests apart. If other runners crash at the time without it, its
 * crashes may be theirs: unless it's proven by a crash at which no other is left, it's held until
 * they have ended, and judged by one more trial, unless another request that was at as many crashes
 * ran beside that trial as well.
 *
 * Parts that prompts share are judged by part_evidence. Requests that hold the parts of a set in
 * quarantine are refused like a quarantined request, and what ran beside them isn't blamed.
 *
 * Only crashes of which all reports come in are evidence: where some are missing, a bystander looks
 * like the only request that was running there.
 */
#pragma once

#include "quarantine/part_evidence.h"
#include "quarantine/quarantine_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** A request is quarantined once this many crashes are blamed on it. */
inline constexpr std::uint32_t kCrashesToQuarantine = 3;
/** Requests that were running at the same crashes, or are in doubt, are quarantined once these are
 * more than this many: the next crash usually tells. */
inline constexpr std::size_t kMaxCrashesInDoubt = 3;
/** Reports on one runner belong to the same crash if the connections broke within this time of each
 * other: it isn't back and crashed again so soon. A runner, or a link, that resets each connection
 * for a while has one crash, then; longer than kVerdictTime, after which a suspect is sent again.
 */
inline constexpr duration kSameCrashTime = std::chrono::milliseconds(500);
/** Length of a quarantine. After it, a single further crash quarantines the request again. */
inline constexpr duration kQuarantineDuration = std::chrono::minutes(10);
/** Length of the first quarantine of a set of parts: a single trial then tells whether it was
 * right, since no run could prove it while it was refused. */
inline constexpr duration kFirstPartQuarantine = std::chrono::seconds(10);
/** Crashes are kept for this long. */
inline constexpr duration kCrashRetention = std::chrono::minutes(10);
/** Time after a crash for other daemons' reports of it to arrive; it's evaluated after that. */
inline constexpr duration kReportWindow = std::chrono::milliseconds(250);
/** Time between evaluations. */
inline constexpr duration kEvaluationInterval = std::chrono::milliseconds(100);
/** A suspected request isn't sent for this long after a crash: the crash is evaluated by then. */
inline constexpr duration kVerdictTime = kReportWindow + kEvaluationInterval;
/** A request in doubt isn't sent until no other runner has crashed for this long. */
inline constexpr duration kCalmTime = std::chrono::milliseconds(2000);
/** It's sent again this long after its last crash, even if others go on crashing. */
inline constexpr duration kMaxDoubtTime = std::chrono::milliseconds(10000);
/** Crashes within this time of each other may have a common cause. */
inline constexpr duration kCommonFailureWindow = std::chrono::milliseconds(1000);
/** Crashes count as a common failure if, for each crashed runner that ran the request, at least
 * this many other runners crashed at the same time. */
inline constexpr std::uint32_t kCommonFailureRatio = 2;

/** Limits on the requests and the crashed runners that are tracked. */
inline constexpr std::size_t kMaxTrackedRequests = 4096;
inline constexpr std::size_t kMaxCrashedRunners = 2048;

/** Sets of parts are judged for this long after a crash; later ones bring them up again. */
inline constexpr duration kPartJudgeTime = std::chrono::seconds(5);

/** A change of the sets of parts in quarantine, to be told to all daemons. */
struct part_change
{
  std::vector<request_fingerprint> mEnded; ///< Keys of sets that are no longer refused.
  std::vector<quarantine_notice> mNotices; ///< Sets that are.
};

/** Tracks crashes by request and by runner, and derives quarantines from them. */
class crash_ledger
{
public:
  /** Records that a runner crashed while it ran a request. Repeated reports count once.
   * @return whether the request is suspected because of it, and wasn't before. */
  bool NoteCrash(const crash_report& aReport, instant aNow);
  /** @return whether a runner is known to have crashed at a time. */
  bool KnowsCrash(runner_site aSite, instant aAt) const;
  /** Records that a request was completed, so it doesn't crash runners, and drops its crashes.
   * @return whether anything was recorded against it. */
  bool NoteServed(request_fingerprint aRequest);
  /** Applies the status that another daemon sent. @return whether it was new here. */
  bool ApplyNotice(const quarantine_notice& aNotice, instant aNow);
  /** Evaluates the requests whose crashes are at least kReportWindow old and not evaluated yet.
   * @return those that it puts into quarantine. */
  std::vector<request_fingerprint> EvaluateDue(instant aNow);
  /** Evaluates parts of prompts. @return the sets that it puts into quarantine. */
  std::vector<quarantine_notice> EvaluateParts(instant aNow);
  /** Records that a run went on which had begun at some time with a part. @return the changes of
   * sets that hold it. */
  part_change NoteProven(prompt_part aPart, instant aBegan, instant aNow);
  /** @return parts of which a proof would change something. */
  part_set PartsInQuestion(instant aNow) const;
  /** @return the key of a set in quarantine all of whose parts a prompt holds. */
  std::optional<request_fingerprint> QuarantinedPartsIn(const part_set& aParts, instant aNow) const;
  /** @return the key of a set, all of whose parts a prompt holds, that may be sent as a trial only,
   * since its quarantine is over and nothing has proven it. */
  std::optional<request_fingerprint> SuspectedPartsIn(const part_set& aParts, instant aNow) const;
  /** @return whether sets of parts are in quarantine, or were lately. */
  bool HasPartSets() const { return !mPartSets.empty(); }
  /** Sets since when this daemon has received the reports of all daemons. Nothing is blamed for
   * crashes before that. */
  void SetCompleteSince(instant aSince) { mCompleteSince = aSince; }
  /** Drops a suspicion that the daemon which grants trials doesn't share. */
  void ClearSuspicion(request_fingerprint aRequest);
  /** Removes expired crashes and quarantines; to be called periodically. */
  void Prune(instant aNow);

  /** @return how many requests are tracked. */
  std::size_t Size() const { return mRequests.size(); }
  /** @return whether no request is tracked. */
  bool Empty() const { return mRequests.empty(); }
  quarantine_status StatusOf(request_fingerprint aRequest, instant aNow) const;
  /** @return whether a request is suspected, as far as the crashes known here tell; if they are
   * fewer than two, as far as another daemon has told. */
  bool IsSuspected(request_fingerprint aRequest, instant aNow) const;
  /** @return until when a suspected request isn't sent because its crashes aren't evaluated yet. */
  instant HeldUntil(request_fingerprint aRequest) const;
  /** @return time until a request's quarantine ends; zero if it isn't quarantined. */
  duration RemainingQuarantine(request_fingerprint aRequest, instant aNow) const;
  /** @return at how many crashes a request was running, whether they are blamed on it or not. */
  std::size_t CountCrashes(request_fingerprint aRequest) const;
  /** @return how many requests are quarantined. */
  std::size_t CountQuarantined(instant aNow) const;
  /** @return at most @p aMaxCount quarantined requests, and sets of parts that await a trial, the
   * newest quarantine first. */
  std::vector<quarantine_notice> NewestQuarantined(instant aNow, std::size_t aMaxCount) const;
  /** @return an order-independent hash of these; 0 if there are none. */
  std::uint64_t Digest(instant aNow) const;

private:
  struct crash_tag;
  /** Numbers the crashes known to this daemon. */
  using crash_id = strong_id<crash_tag>;
  /** A crash of a runner while it ran a request. */
  struct runner_crash
  {
    crash_id mCrash;          ///< The crash.
    instant mAt{ 0 };         ///< When it was first reported.
    bool mProgressed = false; ///< See crash_report.
  };
  /** Crashes and status of a request. */
  struct tracked_request
  {
    std::vector<runner_crash> mCrashes;  ///< In order of first report.
    std::optional<instant> mSuspected;   ///< When it became suspected.
    std::optional<instant> mQuarantined; ///< When its last quarantine began.
    /** Set while its crashes may be another one's: it isn't sent before then. */
    std::optional<instant> mDoubtUntil;
    part_set mParts;         ///< Not empty: it stands for all requests that hold these parts.
    bool mConfirmed = false; ///< They crashed a runner again after a quarantine.
  };
  /** A crash of a runner. */
  struct crashed_runner
  {
    runner_site mSite;                          ///< The runner.
    instant mAt{ 0 };                           ///< When it crashed, as first reported.
    instant mLastAt{ 0 };                       ///< Latest time that was reported; from mAt.
    std::vector<request_fingerprint> mRequests; ///< Those that were running there.
  };
  /** Evidence against a request. The request with the strongest one is blamed. */
  struct evidence
  {
    std::size_t mCrashes = 0;        ///< Crashes at which it was running.
    std::size_t mBeforeProgress = 0; ///< Those of them at which it had made no progress.

    /** @return whether it weighs more. Progress counts only where one of the two had always made
     * some and the other one never: a request may crash its runner after its first events. */
    bool IsStrongerThan(const evidence& aOther) const;
  };

  /** @return the crash of a runner that is known around a time. */
  std::optional<crash_id> FindCrash(runner_site aSite, instant aAt) const;
  /** @return the crash that a report is about; a new one if none is known at that time. */
  crash_id FindOrAddCrash(runner_site aSite, instant aAt);
  evidence EvidenceOf(request_fingerprint aRequest) const;
  /** @return whether no other request on that runner has as much evidence against it, or more. */
  bool IsBlamed(request_fingerprint aRequest, const crashed_runner& aRunner) const;
  /** @return how many of a request's crashes pass a filter. Of crashes that a common failure
   * explains, one isn't counted. */
  std::uint32_t CountSeparateCrashes(
    request_fingerprint aRequest,
    instant aNow,
    const std::function<bool(const crashed_runner&)>& aFilter) const;
  /** @return how many crashes are blamed on a request. */
  std::uint32_t CountBlamedCrashes(request_fingerprint aRequest, instant aNow) const;
  bool WasAt(request_fingerprint aRequest, crash_id aCrash) const;
  /** @return whether a crash may be that of another request, which was at some of the request's
   * crashes only, and at so many in all. */
  bool HasOtherSuspectAt(request_fingerprint aRequest,
                         crash_id aCrash,
                         std::size_t aMinCrashes) const;
  /** @return whether a request was at a crash that nobody else can have caused: all others there
   * were served since, or another crash of theirs explains it. */
  bool IsProven(request_fingerprint aRequest) const;
  /** @return when a runner last crashed since shortly before the request's first crash that ran
   * neither it nor a quarantined one; nothing if none did. */
  std::optional<instant> LastOtherCrash(request_fingerprint aRequest, instant aNow) const;
  /** Updates whether a request's crashes may be those of others.
   * @param aBlamed enough of them are blamed on it to quarantine it. @return whether they may. */
  bool UpdateDoubt(request_fingerprint aRequest, bool aBlamed, instant aNow);
  /** @return whether neither the request nor a quarantined one was running on a runner. */
  bool IsUnrelated(const crashed_runner& aRunner, request_fingerprint aRequest, instant aNow) const;
  /** @return how many runners crashed around the time between @p aFrom and @p aUntil, within
   * kCommonFailureWindow in all, that ran neither the request nor a quarantined one. */
  std::uint32_t CountOtherCrashes(request_fingerprint aRequest,
                                  instant aFrom,
                                  instant aUntil,
                                  instant aNow) const;
  bool IsQuarantined(const tracked_request& aRow, instant aNow) const;
  /** @return whether a row stands for parts that may be sent as a trial only, now or soon. */
  static bool AwaitsTrial(const tracked_request& aRow, instant aNow);
  /** @return whether all reports of a crash have come in. */
  bool IsComplete(const crashed_runner& aRunner) const { return aRunner.mAt >= mCompleteSince; }
  /** @return whether a quarantined request that was at more crashes explains that of a runner. */
  bool IsExplained(request_fingerprint aRequest, const crashed_runner& aRunner, instant aNow) const;
  /** Clears requests that were at fewer crashes than a quarantined one of those that it explains.
   */
  void ClearBystanders(request_fingerprint aQuarantined);
  /** Records a run at a crash for its parts. @return whether parts in quarantine explain it. */
  bool NoteParts(const crash_report& aReport, crash_id aCrash, instant aCrashedAt, instant aNow);
  /** Puts a set of parts into quarantine and drops the crashes that it explains. */
  quarantine_notice QuarantineParts(const part_set& aParts,
                                    instant aSince,
                                    bool aConfirmed,
                                    instant aNow);
  /** @return the key of a set with a status, all of whose parts a prompt holds. */
  std::optional<request_fingerprint> FindPartSet(const part_set& aParts,
                                                 bool aQuarantined,
                                                 instant aNow) const;
  /** @return the length of a row's quarantine. */
  static duration QuarantineOf(const tracked_request& aRow)
  {
    return aRow.mParts.empty() || aRow.mConfirmed ? kQuarantineDuration : kFirstPartQuarantine;
  }
  /** Drops all crashes that a set of parts explains from the requests that ran there. */
  void DropExplained(const part_set& aParts);
  /** Over a limit, evicts the request updated longest ago, or the oldest crashed runner. Requests
   * that were ever quarantined are evicted last. */
  void EvictOldest();

  std::unordered_map<request_fingerprint, tracked_request>
    mRequests;                                        ///< At most kMaxTrackedRequests.
  std::map<crash_id, crashed_runner> mCrashedRunners; ///< At most kMaxCrashedRunners.
  std::uint64_t mLastCrash = 0;                       ///< Number of the last crash.
  instant mCompleteSince{ 0 };                        ///< See SetCompleteSince().
  std::map<instant, std::vector<request_fingerprint>> mDueEvaluations; ///< By due time.
  part_evidence mParts;                              ///< Evidence for and against parts.
  std::map<request_fingerprint, part_set> mPartSets; ///< Rows of mRequests that have parts.
  instant mLastPartCrash{ 0 };                       ///< When a crash was last recorded.
};

} // namespace dunehook
