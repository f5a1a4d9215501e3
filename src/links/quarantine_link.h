/**
 * @file quarantine_link.h
 * Exchanges information on requests that crash runners. Crashes are sent to the first two daemons
 * by RanksBefore(), which therefore know of all of them and judge; decisions are broadcast at once.
 * Each daemon also compares its quarantines with a randomly picked one at intervals, so that no
 * daemon stays behind for long after a lost datagram, a network partition or a stall, however large
 * the group is.
 */
#pragma once

#include "links/daemon_link.h"
#include "membership/first_rank_watch.h"
#include "quarantine/recent_parts.h"

#include <deque>
#include <map>

namespace dunehook {

/** Mean time between comparisons with another daemon. */
inline constexpr duration kCompareInterval = std::chrono::milliseconds(500);
/** The same for a daemon that has just started, until it has received the state of another one. */
inline constexpr duration kInitialCompareInterval = std::chrono::milliseconds(100);
/** What all daemons are told of within this time goes into as few datagrams as it takes. */
inline constexpr duration kBroadcastDelay = std::chrono::milliseconds(2);
/** A crash is sent again each second for this long: a datagram may be lost, or the daemons that
 * judge may be changing at that moment. */
inline constexpr duration kCrashResendPeriod = std::chrono::milliseconds(3500);
inline constexpr duration kCrashResendInterval = std::chrono::milliseconds(1000);
/** A daemon that was suspended for longer has missed reports for good. */
inline constexpr duration kMaxMissedReports = kCrashResendPeriod - kCrashResendInterval;
/** Daemons that are told of all crashes and judge. */
inline constexpr std::size_t kMaxCrashJudges = 2;
/** A daemon judges only after it has been one of them for this long: earlier crashes have been sent
 * to it again by then. */
inline constexpr duration kJudgeWarmUp = kCrashResendInterval + kReportWindow + kEvaluationInterval;
/** A runner may go on with a run for this long after its caller left. */
inline constexpr duration kAbandonedRunTime = std::chrono::milliseconds(300);
/** A runner that has crashed is known to have ended within this time of the loss of its
 * connections: its entry lapses, or its next incarnation is listed. */
inline constexpr duration kRunnerEndTime = std::chrono::seconds(10);
/** Maximum number of this daemon's abandoned runs and unexplained losses that are remembered. */
inline constexpr std::size_t kMaxAbandonedRuns = 256;
/** Maximum number of quarantine notices in one datagram. */
inline constexpr std::size_t kMaxNoticesPerDatagram = 64;
/** Maximum number of parts that are asked for in one datagram. */
inline constexpr std::size_t kMaxPartsPerDatagram = 512;
/** Crash reports in one datagram: each may name kMaxSharedParts parts. */
inline constexpr std::size_t kMaxCrashesPerDatagram = 16;
/** Parts are asked for again after this time: datagrams may be lost, daemons may have started. */
inline constexpr duration kAskAgainInterval = std::chrono::milliseconds(1000);
/** Maximum number of this daemon's own crashes that are sent again. */
inline constexpr std::size_t kMaxCrashesResent = 64;

/** Exchanges crashes and quarantines with the other daemons. */
class quarantine_link
{
public:
  quarantine_link(forward_state& aState, daemon_link& aLink);

  /** Starts to judge requests, to send and to compare. */
  void Start();
  /** Records that a request was running at a runner whose connection broke. */
  void NoteCrash(const crash_report& aReport);
  /** Records that a caller left while its request was running at a runner. If the runner crashes
   * soon after, the request was running there. */
  void NoteAbandoned(const crash_report& aRun);
  /** Records a lost connection that may be due to a cut of this daemon. It's reported as a crash if
   * others report one of the runner at that time, or the runner has ended. */
  void NoteUnexplainedLoss(const crash_report& aLoss);
  /** Records that a runner ended without an announced shutdown. */
  void NoteRunnerEnded(runner_site aSite);
  /** Records that a request was served completely. */
  void NoteServed(request_fingerprint aRequest);
  /** Records that a run went on after it had begun its answer. @param aBegan when it was sent. */
  void NoteWentOn(const part_set& aParts, instant aBegan);
  /** @return whether this daemon has received the quarantines that existed when it started. */
  bool HasReceivedState() const { return mStateReceived; }
  /** Marks these quarantines as received. */
  void MarkStateReceived() { mStateReceived = true; }
  /** @param aTake called with each message that concerns trials, and the address to answer to. */
  void SetTrialHandler(std::function<void(const quarantine_message&, const endpoint&)> aTake)
  {
    mTrialHandler = std::move(aTake);
  }
  /** @param aAction called with each quarantine that this daemon begins. */
  void OnQuarantined(std::function<void(const quarantine_notice&)> aAction)
  {
    mOnQuarantined = std::move(aAction);
  }
  /** @param aAction called with the key of each set of parts that this daemon finds harmless. */
  void OnCleared(std::function<void(request_fingerprint)> aAction)
  {
    mOnCleared = std::move(aAction);
  }

private:
  /** A run whose caller left, or whose connection was lost for an unknown reason. */
  struct abandoned_run
  {
    crash_report mRun;            ///< As reported if the runner crashes.
    instant mAt{ 0 };             ///< When the caller left or the connection was lost.
    bool mConnectionLost = false; ///< It was lost.
  };

  /** A crash that this daemon observed. */
  struct own_crash
  {
    crash_report mReport; ///< What happened.
    instant mAt{ 0 };     ///< When it was observed.
    instant mSentAt{ 0 }; ///< When it was last sent; zero before.
  };

  asio::awaitable<void> Tick();
  asio::awaitable<void> Compare();
  /** Sends a message to the daemons that judge. */
  void SendToJudges(run_message aMessage);
  /** @return whether other daemons send their crashes to this one, if there are any. */
  bool ReceivesAllReports() const;
  /** Judges the requests that are due. */
  void Judge();
  /** Judges parts of prompts. */
  void JudgeParts();
  /** Tells all daemons of a quarantine that this one has begun. */
  void TellQuarantined(const quarantine_notice& aNotice);
  /** As a daemon that judges, asks all for proofs of the parts in question. */
  void AskForProofs();
  /** Sends proofs to the daemons that judge, and takes them if this is one. */
  void SendProofs(std::vector<part_proof> aProofs);
  /** Takes proofs as a daemon that judges. */
  void TakeProofs(const std::vector<part_proof>& aProofs);
  /** Queues a newly suspected request to be sent to all daemons. */
  void TellSuspected(request_fingerprint aRequest);
  /** Has mToBroadcast sent to all daemons soon. */
  void ScheduleBroadcast();
  asio::awaitable<void> BroadcastQueued();
  /** Sends the crashes of this daemon that are due to be sent or sent again. */
  void SendCrashes();
  /** Adds a report to the ledger; the first daemon by rank tells all of a crash that it's the first
   * report of. */
  void RecordCrash(const crash_report& aReport, instant aNow);
  /** Adds a run to mAbandonedRuns. */
  void Remember(const abandoned_run& aRun);
  /** Marks a runner as crashed, unless its next incarnation may be there by now. */
  void MarkCrashed(const crash_notice& aCrash);
  /** Reports the runs that were abandoned at a runner shortly before it crashed. */
  void ReportAbandoned(const crash_notice& aCrash, instant aNow);
  void HandleMessage(const quarantine_message& aMessage, const endpoint& aFrom);
  /** Answers a comparison: sends the quarantines if the digests differ or the sender asks for them.
   */
  void Answer(const quarantine_message& aMessage, const endpoint& aFrom);

  forward_state& mState;                ///< State shared by the parts of the daemon.
  daemon_link& mLink;                   ///< Sends messages to the other daemons.
  std::deque<own_crash> mRecentCrashes; ///< This daemon's crashes to send again, oldest first; at
                                        ///< most kMaxCrashesResent.
  std::deque<abandoned_run> mAbandonedRuns;    ///< Oldest first; at most kMaxAbandonedRuns.
  first_rank_watch mJudges{ kMaxCrashJudges }; ///< Whether this daemon judges.
  quarantine_message mToBroadcast;  ///< Conclusions, served suspects and crashed runners that all
                                    ///< are to be told of.
  bool mBroadcastScheduled = false; ///< mToBroadcast is sent soon.
  std::function<void(const quarantine_notice&)> mOnQuarantined; ///< May be empty.
  std::function<void(request_fingerprint)> mOnCleared;          ///< May be empty.
  recent_parts mRecentParts;                                    ///< Parts of this daemon's runs.
  std::unordered_map<prompt_part, instant> mAskedAt; ///< Parts asked for lately, and when.
  /** Called with messages on trials; may be empty. */
  std::function<void(const quarantine_message&, const endpoint&)> mTrialHandler;
  bool mStateReceived = false; ///< See HasReceivedState().
};

} // namespace dunehook
