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
inline constexpr std::uint32_t kCrashesAllowed = 3;
/** Time that a quarantine lasts. A request that comes back from it has one crash left. */
inline constexpr duration kQuarantineTime = std::chrono::minutes(10);
/** Crashes are remembered for this long. */
inline constexpr duration kCrashKept = std::chrono::minutes(10);
/** Time after a crash in which the other daemons' reports on it come in; it's judged then. */
inline constexpr duration kReportsIn = std::chrono::milliseconds(250);
/** Crashes so close together may have one cause. */
inline constexpr duration kOneFailure = std::chrono::milliseconds(1000);
/** Crashes are put down to a common failure where, for each runner that the request was at, at
 * least so many others crashed at the same time. */
inline constexpr std::uint32_t kFailedTogether = 2;

/** Most requests and lives remembered. */
inline constexpr std::size_t kMostRequests = 4096;
inline constexpr std::size_t kMostLives = 2048;

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
  bool Take(const quarantine_notice& aNotice, instant aNow);
  /** Judges the requests with crashes whose reports have come in since the last call.
   * @return those whose standing has changed by it. */
  std::vector<quarantine_notice> Judge(instant aNow);
  /** Forgets what is older than it's kept; call it now and then. */
  void Prune(instant aNow);

  /** @return requests that anything is known against. */
  std::size_t Size() const { return mRequests.size(); }
  /** @return whether nothing is known against any request. */
  bool Empty() const { return mRequests.empty(); }
  request_standing StandingOf(request_fingerprint aRequest, instant aNow) const;
  /** @return time until the end of a request's quarantine; zero if there's none. */
  duration QuarantinedFor(request_fingerprint aRequest, instant aNow) const;
  /** @return how many crashes a request was under way at, blamed on it or not. */
  std::size_t CrashesUnder(request_fingerprint aRequest) const;
  /** @return how many requests are in quarantine. */
  std::size_t CountQuarantined(instant aNow) const;
  /** @return requests in quarantine, at most @p aMost, those that came last first. */
  std::vector<quarantine_notice> Quarantined(instant aNow, std::size_t aMost) const;
  /** @return a digest of the requests in quarantine; 0 if there's none. */
  std::uint64_t Digest(instant aNow) const;

private:
  /** A crash that a request was under way at. */
  struct strike
  {
    service_runner_id mRunner; ///< The runner's life.
    instant mAt{ 0 };          ///< When it was first reported.
    bool mProgressed = false;  ///< See crash_report.
  };
  /** What is known of a request. */
  struct request_row
  {
    std::vector<strike> mStrikes;        ///< In order of their reports; one for each life.
    std::optional<instant> mSuspected;   ///< Since when it's suspected.
    std::optional<instant> mQuarantined; ///< Since when it's in quarantine, or was.
  };
  /** A life that crashed. */
  struct crashed_life
  {
    instant mAt{ 0 };                           ///< When it was first reported.
    std::vector<request_fingerprint> mRequests; ///< Those under way there.
  };
  /** Evidence against a request; the larger goes before. */
  struct evidence
  {
    std::size_t mCrashes = 0; ///< Crashes that it was under way at.
    std::size_t mAtBegin = 0; ///< Those of them at which it had not progressed.

    auto operator<=>(const evidence&) const = default;
  };

  evidence EvidenceOf(request_fingerprint aRequest) const;
  /** @return whether no other request there has more evidence against it. */
  bool IsBlamed(request_fingerprint aRequest, const crashed_life& aLife) const;
  /** @return how many crashes are blamed on a request. */
  std::uint32_t CountBlamed(request_fingerprint aRequest, instant aNow) const;
  /** @return crashes within kOneFailure of a span at which the request was not under way, but for
   * those of requests in quarantine. */
  std::uint32_t CountOthers(request_fingerprint aRequest,
                            instant aFrom,
                            instant aUntil,
                            instant aNow) const;
  bool InQuarantine(const request_row& aRow, instant aNow) const;
  /** Takes out the request with the oldest news if there are too many. */
  void MakeRoom();

  std::unordered_map<request_fingerprint, request_row>
    mRequests;                                                  ///< Never more than kMostRequests.
  std::map<service_runner_id, crashed_life> mLives;             ///< Never more than kMostLives.
  std::map<instant, std::vector<request_fingerprint>> mToJudge; ///< By when it's due.
};

} // namespace dunehook
