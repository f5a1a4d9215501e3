/**
 * @file quarantine_link.cpp
 * Sends, compares and applies crashes and quarantines.
 */
#include "links/quarantine_link.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace dunehook {

namespace {

/** Removes the first elements of a list, at most @p aCount. @return them. */
template<typename Element>
std::vector<Element>
TakeFirst(std::vector<Element>& aList, std::size_t aCount)
{
  const auto end = aList.begin() + static_cast<std::ptrdiff_t>(std::min(aList.size(), aCount));
  std::vector<Element> taken(aList.begin(), end);
  aList.erase(aList.begin(), end);
  return taken;
}

/** @return the parts as text for the log. */
std::string
TextOf(const part_set& aParts)
{
  return absl::StrJoin(
    aParts, ",", [](std::string* aOut, prompt_part aPart) { absl::StrAppend(aOut, aPart.mValue); });
}

} // namespace

quarantine_link::quarantine_link(forward_state& aState, daemon_link& aLink)
  : mState(aState)
  , mLink(aLink)
{
  mLink.SetQuarantineHandler([this](const quarantine_message& aMessage, const endpoint& aFrom) {
    HandleMessage(aMessage, aFrom);
  });
}

void
quarantine_link::Start()
{
  SpawnGuarded(mState.mIo, Tick());
  SpawnGuarded(mState.mIo, Compare());
}

void
quarantine_link::NoteCrash(const crash_report& aReport)
{
  const instant now = mState.Now();
  RecordCrash(aReport, now);
  mRecentCrashes.push_back({ aReport, now - aReport.mAge, instant{ 0 } });
  if (mRecentCrashes.size() > kMaxCrashesResent) {
    mRecentCrashes.pop_front();
  }
  SendCrashes();
}

void
quarantine_link::NoteAbandoned(const crash_report& aRun)
{
  Remember({ aRun, mState.Now(), false });
}

void
quarantine_link::NoteUnexplainedLoss(const crash_report& aLoss)
{
  const instant now = mState.Now();
  if (mState.mCrashes.KnowsCrash(aLoss.mSite, now)) {
    NoteCrash(aLoss);
  } else {
    Remember({ aLoss, now, true });
  }
}

void
quarantine_link::NoteRunnerEnded(runner_site aSite)
{
  const instant now = mState.Now();
  std::vector<crash_report> reports;
  std::erase_if(mAbandonedRuns, [&](const abandoned_run& aRun) {
    const bool explained =
      aRun.mConnectionLost && aRun.mRun.mSite == aSite && now - aRun.mAt < kRunnerEndTime;
    if (explained) {
      reports.push_back(aRun.mRun);
      reports.back().mAge = now - aRun.mAt;
    }
    return explained;
  });
  for (const crash_report& report : reports) {
    NoteCrash(report);
  }
}

void
quarantine_link::Remember(const abandoned_run& aRun)
{
  mAbandonedRuns.push_back(aRun);
  if (mAbandonedRuns.size() > kMaxAbandonedRuns) {
    mAbandonedRuns.pop_front();
  }
}

void
quarantine_link::RecordCrash(const crash_report& aReport, instant aNow)
{
  const bool isFirstReport = !mState.mCrashes.KnowsCrash(aReport.mSite, aNow - aReport.mAge);
  if (mState.mCrashes.NoteCrash(aReport, aNow)) {
    TellSuspected(aReport.mRequest);
  }
  const bool isKnownPart =
    mState.mCrashes.HasPartSets() && mJudges.HasBeenFirstFor(kJudgeWarmUp, aNow);
  if (isKnownPart) { // A trial has crashed its runner: no other one may begin.
    JudgeParts();
  }
  AskForProofs();
  if (!isFirstReport) {
    return;
  }
  const crash_notice crash{ aReport.mSite, aReport.mAge };
  MarkCrashed(crash);
  if (mLink.Members().IsAmongFirst(1)) {
    mToBroadcast.mRunnersCrashed.push_back(crash);
    ScheduleBroadcast();
  }
  ReportAbandoned(crash, aNow);
}

void
quarantine_link::MarkCrashed(const crash_notice& aCrash)
{
  if (aCrash.mAge < kReportWindow) {
    mState.NoteCrashed(aCrash.mSite);
  }
}

void
quarantine_link::ReportAbandoned(const crash_notice& aCrash, instant aNow)
{
  const instant crashedAt = aNow - aCrash.mAge;
  const auto mayHaveCaused = [&](const abandoned_run& aRun) {
    return aRun.mRun.mSite == aCrash.mSite && crashedAt < aRun.mAt + kAbandonedRunTime &&
           aRun.mAt < crashedAt + kSameCrashTime;
  };
  std::vector<crash_report> reports;
  for (const abandoned_run& run : mAbandonedRuns) {
    if (mayHaveCaused(run)) {
      reports.push_back(run.mRun);
      reports.back().mAge = aCrash.mAge;
    }
  }
  std::erase_if(mAbandonedRuns, mayHaveCaused);
  for (const crash_report& report : reports) {
    NoteCrash(report);
  }
}

void
quarantine_link::NoteServed(request_fingerprint aRequest)
{
  const bool suspected =
    mState.mCrashes.StatusOf(aRequest, mState.Now()) == quarantine_status::eSuspected;
  if (!mState.mCrashes.NoteServed(aRequest)) {
    return;
  }
  if (suspected) {
    std::erase_if(mToBroadcast.mNotices,
                  [&](const quarantine_notice& aNotice) { return aNotice.mRequest == aRequest; });
    mToBroadcast.mServed.push_back(aRequest);
    ScheduleBroadcast();
  }
  run_message message;
  message.mQuarantine.emplace().mServed.push_back(aRequest);
  SendToJudges(std::move(message));
}

asio::awaitable<void>
quarantine_link::Tick()
{
  for (;;) {
    const instant slept = mState.Now();
    co_await Sleep(kEvaluationInterval);
    const instant now = mState.Now();
    mJudges.Update(mLink.Members(), now - slept > kReportWindow, now);
    if (!ReceivesAllReports() || now - slept > kMaxMissedReports) {
      mState.mCrashes.SetCompleteSince(now);
    }
    if (mJudges.HasBeenFirstFor(kJudgeWarmUp, now)) {
      Judge();
      JudgeParts();
    }
    AskForProofs();
    SendCrashes();
  }
}

bool
quarantine_link::ReceivesAllReports() const
{
  const member_table& members = mLink.Members();
  return members.FirstServing(1).empty() || members.IsAmongFirst(kMaxCrashJudges);
}

void
quarantine_link::SendToJudges(run_message aMessage)
{
  std::vector<endpoint> to;
  for (const member_info* const judge : mLink.Members().FirstServing(kMaxCrashJudges)) {
    if (judge != &mLink.Members().Self()) {
      to.push_back(RunEndpointOf(judge->mAddress));
    }
  }
  mLink.SendToEach(std::move(aMessage), to);
}

void
quarantine_link::Judge()
{
  for (const request_fingerprint request : mState.mCrashes.EvaluateDue(mState.Now())) {
    mState.mMetrics.CountQuarantine("judged");
    LogEvent(
      log_level::eWarning,
      "request_quarantined",
      { { "fingerprint", request.mValue }, { "crashes", mState.mCrashes.CountCrashes(request) } });
    TellQuarantined({ request, quarantine_status::eQuarantined, duration{ 0 }, {}, false });
  }
}

void
quarantine_link::TellQuarantined(const quarantine_notice& aNotice)
{
  mToBroadcast.mNotices.push_back(aNotice);
  ScheduleBroadcast();
  if (mOnQuarantined) {
    mOnQuarantined(aNotice);
  }
}

void
quarantine_link::JudgeParts()
{
  for (const quarantine_notice& notice : mState.mCrashes.EvaluateParts(mState.Now())) {
    mState.mMetrics.CountQuarantine("parts_judged");
    LogEvent(log_level::eWarning,
             "parts_quarantined",
             { { "fingerprint", notice.mRequest.mValue },
               { "parts", TextOf(notice.mParts) },
               { "confirmed", notice.mConfirmed } });
    TellQuarantined(notice);
  }
}

void
quarantine_link::AskForProofs()
{
  if (!ReceivesAllReports()) {
    return;
  }
  const instant now = mState.Now();
  std::erase_if(mAskedAt, [&](const auto& aRow) { return now - aRow.second >= kAskAgainInterval; });
  std::vector<prompt_part> asked;
  for (const prompt_part part : mState.mCrashes.PartsInQuestion(now)) {
    if (mAskedAt.size() < kMaxPartsPerDatagram && mAskedAt.try_emplace(part, now).second) {
      asked.push_back(part);
    }
  }
  if (asked.empty()) {
    return;
  }
  mToBroadcast.mAsked.insert(mToBroadcast.mAsked.end(), asked.begin(), asked.end());
  ScheduleBroadcast();
  TakeProofs(mRecentParts.NoteAsked(asked, now));
}

void
quarantine_link::NoteWentOn(const part_set& aParts, instant aBegan)
{
  SendProofs(mRecentParts.NoteWentOn(aParts, aBegan, mState.Now()));
}

void
quarantine_link::SendProofs(std::vector<part_proof> aProofs)
{
  if (aProofs.empty()) {
    return;
  }
  if (ReceivesAllReports()) {
    TakeProofs(aProofs);
  }
  run_message message;
  message.mQuarantine.emplace().mProven = std::move(aProofs);
  SendToJudges(std::move(message));
}

void
quarantine_link::TakeProofs(const std::vector<part_proof>& aProofs)
{
  const instant now = mState.Now();
  for (const part_proof& proof : aProofs) {
    const part_change change = mState.mCrashes.NoteProven(proof.mPart, now - proof.mAge, now);
    for (const request_fingerprint ended : change.mEnded) {
      mState.mMetrics.CountQuarantine("parts_proven");
      LogEvent(log_level::eInfo,
               "parts_proven",
               { { "fingerprint", ended.mValue }, { "part", proof.mPart.mValue } });
      mToBroadcast.mServed.push_back(ended);
      ScheduleBroadcast();
      if (mOnCleared) {
        mOnCleared(ended);
      }
    }
    for (const quarantine_notice& notice : change.mNotices) {
      TellQuarantined(notice);
    }
  }
}

void
quarantine_link::TellSuspected(request_fingerprint aRequest)
{
  mState.mMetrics.CountQuarantine("suspected");
  LogEvent(log_level::eInfo, "request_suspected", { { "fingerprint", aRequest.mValue } });
  mToBroadcast.mNotices.push_back(
    { aRequest, quarantine_status::eSuspected, duration{ 0 }, {}, false });
  ScheduleBroadcast();
}

void
quarantine_link::ScheduleBroadcast()
{
  if (!mBroadcastScheduled) {
    mBroadcastScheduled = true;
    SpawnGuarded(mState.mIo, BroadcastQueued());
  }
}

asio::awaitable<void>
quarantine_link::BroadcastQueued()
{
  co_await Sleep(kBroadcastDelay);
  mBroadcastScheduled = false;
  while (!mToBroadcast.mNotices.empty() || !mToBroadcast.mServed.empty() ||
         !mToBroadcast.mRunnersCrashed.empty() || !mToBroadcast.mAsked.empty()) {
    run_message message;
    quarantine_message& sent = message.mQuarantine.emplace();
    sent.mNotices = TakeFirst(mToBroadcast.mNotices, kMaxNoticesPerDatagram);
    sent.mServed = TakeFirst(mToBroadcast.mServed, kMaxNoticesPerDatagram);
    sent.mRunnersCrashed = TakeFirst(mToBroadcast.mRunnersCrashed, kMaxNoticesPerDatagram);
    sent.mAsked = TakeFirst(mToBroadcast.mAsked, kMaxPartsPerDatagram);
    mLink.Broadcast(std::move(message));
  }
}

void
quarantine_link::SendCrashes()
{
  const instant now = mState.Now();
  while (!mRecentCrashes.empty() && now - mRecentCrashes.front().mAt >= kCrashResendPeriod) {
    mRecentCrashes.pop_front();
  }
  std::vector<crash_report> due;
  for (own_crash& crash : mRecentCrashes) {
    if (crash.mSentAt == instant{ 0 } || now - crash.mSentAt >= kCrashResendInterval) {
      due.push_back(crash.mReport);
      due.back().mAge = now - crash.mAt;
      crash.mSentAt = now;
    }
  }
  while (!due.empty()) {
    run_message message;
    message.mQuarantine.emplace().mCrashes = TakeFirst(due, kMaxCrashesPerDatagram);
    SendToJudges(std::move(message));
  }
}

asio::awaitable<void>
quarantine_link::Compare()
{
  for (;;) {
    mState.mCrashes.Prune(mState.Now());
    if (const std::optional<endpoint> other = mLink.PickRandomPeer()) {
      run_message message;
      quarantine_message& question = message.mQuarantine.emplace();
      question.mSenderDigest = mState.mCrashes.Digest(mState.Now());
      question.mAlwaysAnswer = !mStateReceived;
      mLink.SendTo(std::move(message), *other);
    }
    const double spread = 0.5 + mState.RandomFraction();
    const duration every = mStateReceived ? kCompareInterval : kInitialCompareInterval;
    co_await Sleep(FromSeconds(ToSeconds(every) * spread));
  }
}

void
quarantine_link::HandleMessage(const quarantine_message& aMessage, const endpoint& aFrom)
{
  const instant now = mState.Now();
  for (const crash_report& report : aMessage.mCrashes) {
    RecordCrash(report, now);
  }
  for (const crash_notice& crash : aMessage.mRunnersCrashed) {
    MarkCrashed(crash);
    ReportAbandoned(crash, now);
  }
  for (const request_fingerprint request : aMessage.mServed) {
    mState.mCrashes.NoteServed(request);
  }
  if (!aMessage.mAsked.empty()) {
    SendProofs(mRecentParts.NoteAsked(aMessage.mAsked, now));
  }
  if (ReceivesAllReports()) {
    TakeProofs(aMessage.mProven);
  }
  for (const quarantine_notice& notice : aMessage.mNotices) {
    const bool news = mState.mCrashes.ApplyNotice(notice, now);
    if (news && notice.mStatus == quarantine_status::eQuarantined) {
      mState.mMetrics.CountQuarantine("told");
      LogEvent(log_level::eInfo,
               "quarantine_told",
               { { "fingerprint", notice.mRequest.mValue },
                 { "parts", TextOf(notice.mParts) },
                 { "age_ms", notice.mAge.count() / 1000 },
                 { "by", ToText(aFrom) } });
    }
  }
  mStateReceived = mStateReceived || aMessage.mSenderStateReceived;
  if (mTrialHandler && (aMessage.mTrial || aMessage.mTrialReply)) {
    mTrialHandler(aMessage, aFrom);
  }
  if (aMessage.mSenderDigest) {
    Answer(aMessage, aFrom);
  }
}

void
quarantine_link::Answer(const quarantine_message& aMessage, const endpoint& aFrom)
{
  const instant now = mState.Now();
  const bool differs = *aMessage.mSenderDigest != mState.mCrashes.Digest(now);
  if (!differs && !aMessage.mAlwaysAnswer) {
    return;
  }
  run_message message;
  quarantine_message& answer = message.mQuarantine.emplace();
  answer.mNotices = mState.mCrashes.NewestQuarantined(now, kMaxNoticesPerDatagram);
  answer.mSenderStateReceived = mStateReceived;
  mLink.SendTo(std::move(message), aFrom);
}

} // namespace dunehook
