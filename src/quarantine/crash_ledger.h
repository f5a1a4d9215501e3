/**
 * @file crash_ledger.h
 * Which requests were under way at runners that crashed, and which of them are kept from runners.
 * Pure: it's told of crashes, answers and the passing of time.
 *
 * A crash breaks all runs at its runner, of which one at most is to blame. It's blamed on the
 * request that was under way at the most crashes; where several are even, on those that had not
 * progressed. A request on which enough crashes are blamed is quarantined. Crashes of many runners
 * at once of which a request was at few are no evidence against it: the runners failed together.
 */
#pragma once

#include "quarantine/quarantine_type.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** Crashes that are blamed on a request before it's quarantined. */
inline constexpr std::uint32_t kCrashesToQuarantine = 3;
/** Time that a quarantine lasts. A request that comes back from it has one crash left. */
inline constexpr duration kQuarantineDuration = std::chrono::minutes(10);
/** Crashes are remembered for this long. */
inline constexpr duration kCrashRetention = std::chrono::minutes(10);
/** Time after a crash in which the other daemons' reports on it come in; it's judged then. */
inline constexpr duration kReportWindow = std::chrono::milliseconds(250);
/** Crashes so close together may have one cause. */
inline constexpr duration kCommonFailureWindow = std::chrono::milliseconds(1000);
/** Crashes are put down to a common failure where, for each runner that the request was at, at
 * least so many others crashed at the same time. */
inline constexpr std::uint32_t kCommonFailureRatio = 2;

/** Most requests and lives remembered. */
inline constexpr std::size_t kMaxTrackedRequests = 4096;
inline constexpr std::size_t kMaxCrashedRunners = 2048;

/** The ledger. */
class crash_ledger
{
public:
  /** Notes a crash under a request. The same report twice counts once. */
  void NoteCrash(const crash_report& aReport, instant aNow);
  /** Notes that a request was served whole: it crashes nobody. @return whether anything was known
   * against it. */
  bool NoteServed(request_fingerprint aRequest);
  /** Takes in what another daemon tells. @return whether that's news. */
  bool ApplyNotice(const quarantine_notice& aNotice, instant aNow);
  /** Judges the requests with crashes whose reports have come in since the last call.
   * @return those whose standing has changed by it. */
  std::vector<quarantine_notice> EvaluateDue(instant aNow);
  /** Forgets what is older than it's kept; call it now and then. */
  void Prune(instant aNow);

  /** @return requests that anything is known against. */
  std::size_t Size() const { return mRequests.size(); }
  /** @return whether nothing is known against any request. */
  bool Empty() const { return mRequests.empty(); }
  quarantine_status StatusOf(request_fingerprint aRequest, instant aNow) const;
  /** @return time until the end of a request's quarantine; zero if there's none. */
  duration RemainingQuarantine(request_fingerprint aRequest, instant aNow) const;
  /** @return how many crashes a request was under way at, blamed on it or not. */
  std::size_t CountCrashes(request_fingerprint aRequest) const;
  /** @return how many requests are in quarantine. */
  std::size_t CountQuarantined(instant aNow) const;
  /** @return requests in quarantine, at most @p aMaxCount, those that came last first. */
  std::vector<quarantine_notice> NewestQuarantined(instant aNow, std::size_t aMaxCount) const;
  /** @return a digest of the requests in quarantine; 0 if there's none. */
  std::uint64_t Digest(instant aNow) const;

private:
  /** A crash that a request was under way at. */
  struct runner_crash
  {
    service_runner_id mRunner; ///< The runner's incarnation.
    instant mAt{ 0 };          ///< When it was first reported.
    bool mProgressed = false;  ///< See crash_report.
  };
  /** What is known of a request. */
  struct tracked_request
  {
    std::vector<runner_crash> mCrashes;  ///< In order of their reports; one for each incarnation.
    std::optional<instant> mSuspected;   ///< Since when it's suspected.
    std::optional<instant> mQuarantined; ///< Since when it's in quarantine, or was.
  };
  /** An incarnation that crashed. */
  struct crashed_runner
  {
    instant mAt{ 0 };                           ///< When it was first reported.
    std::vector<request_fingerprint> mRequests; ///< Those under way there.
  };
  /** Evidence against a request; the larger goes before. */
  struct evidence
  {
    std::size_t mCrashes = 0;        ///< Crashes that it was under way at.
    std::size_t mBeforeProgress = 0; ///< Those of them at which it had not progressed.

    auto operator<=>(const evidence&) const = default;
  };

  evidence EvidenceOf(request_fingerprint aRequest) const;
  /** @return whether no other request there has more evidence against it. */
  bool IsBlamed(request_fingerprint aRequest, const crashed_runner& aRunner) const;
  /** @return how many crashes are blamed on a request. */
  std::uint32_t CountBlamedCrashes(request_fingerprint aRequest, instant aNow) const;
  /** @return crashes within kCommonFailureWindow of a span at which the request was not under way,
   * but for those of requests in quarantine. */
  std::uint32_t CountOtherCrashes(request_fingerprint aRequest,
                                  instant aFrom,
                                  instant aUntil,
                                  instant aNow) const;
  bool IsQuarantined(const tracked_request& aRow, instant aNow) const;
  /** Takes out the request with the oldest news if there are too many. */
  void EvictOldest();

  std::unordered_map<request_fingerprint, tracked_request>
    mRequests; ///< Never more than kMaxTrackedRequests.
  std::map<service_runner_id, crashed_runner>
    mCrashedRunners; ///< Never more than kMaxCrashedRunners.
  std::map<instant, std::vector<request_fingerprint>> mDueEvaluations; ///< By when it's due.
};

} // namespace dunehook
