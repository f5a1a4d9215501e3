/**
 * @file quarantine_link.cpp
 * Telling and comparing of quarantines.
 */
#include "links/quarantine_link.h"

namespace dunehook {

quarantine_link::quarantine_link(forward_state& aState, daemon_link& aLink)
  : mState(aState)
  , mLink(aLink)
{
  mLink.OnQuarantine(
    [this](const quarantine_message& aMessage, const endpoint& aFrom) { Take(aMessage, aFrom); });
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
  mState.mCrashes.NoteCrash(aReport, now);
  mOwn.push_back({ aReport, now, instant{ 0 } });
  if (mOwn.size() > kMostCrashesTold) {
    mOwn.pop_front();
  }
  TellCrashes();
}

void
quarantine_link::NoteServed(request_fingerprint aRequest)
{
  if (!mState.mCrashes.NoteServed(aRequest)) {
    return;
  }
  run_message message;
  message.mQuarantine.emplace().mServed.push_back(aRequest);
  mState.mTellPlacers(std::move(message));
}

asio::awaitable<void>
quarantine_link::Tick()
{
  for (;;) {
    co_await Sleep(kQuarantineTick);
    JudgeAndTell();
    TellCrashes();
  }
}

void
quarantine_link::JudgeAndTell()
{
  const std::vector<quarantine_notice> changed = mState.mCrashes.EvaluateDue(mState.Now());
  if (changed.empty()) {
    return;
  }
  quarantine_message told;
  for (const quarantine_notice& notice : changed) {
    const bool quarantined = notice.mStatus == quarantine_status::eQuarantined;
    if (told.mNotices.size() < kMostNotices) {
      told.mNotices.push_back(notice);
    }
    if (!quarantined) {
      continue;
    }
    mState.mMetrics.CountQuarantine("judged");
    LogEvent(log_level::eWarning,
             "request_quarantined",
             { { "fingerprint", notice.mRequest.mValue },
               { "crashes", mState.mCrashes.CountCrashes(notice.mRequest) } });
    if (mOnQuarantined) {
      mOnQuarantined(notice.mRequest);
    }
  }
  run_message message;
  message.mQuarantine = std::move(told);
  mLink.Tell(std::move(message));
}

void
quarantine_link::TellCrashes()
{
  const instant now = mState.Now();
  while (!mOwn.empty() && now - mOwn.front().mAt >= kCrashToldFor) {
    mOwn.pop_front();
  }
  quarantine_message told;
  for (own_crash& crash : mOwn) {
    const bool due = crash.mToldAt == instant{ 0 } || now - crash.mToldAt >= kCrashToldEvery;
    if (due) {
      told.mCrashes.push_back(crash.mReport);
      crash.mToldAt = now;
    }
  }
  if (!told.mCrashes.empty()) {
    run_message message;
    message.mQuarantine = std::move(told);
    mState.mTellPlacers(std::move(message));
  }
}

asio::awaitable<void>
quarantine_link::Compare()
{
  for (;;) {
    mState.mCrashes.Prune(mState.Now());
    if (const std::optional<endpoint> other = mLink.DrawOther()) {
      run_message message;
      quarantine_message& question = message.mQuarantine.emplace();
      question.mSenderDigest = mState.mCrashes.Digest(mState.Now());
      question.mAlwaysAnswer = !mKnows;
      mLink.TellOne(std::move(message), *other);
    }
    const double spread = 0.5 + mState.RandomFraction();
    const duration every = mKnows ? kCompareEvery : kCompareAtStart;
    co_await Sleep(FromSeconds(ToSeconds(every) * spread));
  }
}

void
quarantine_link::Take(const quarantine_message& aMessage, const endpoint& aFrom)
{
  const instant now = mState.Now();
  for (const crash_report& report : aMessage.mCrashes) {
    mState.mCrashes.NoteCrash(report, now);
  }
  for (const request_fingerprint request : aMessage.mServed) {
    mState.mCrashes.NoteServed(request);
  }
  for (const quarantine_notice& notice : aMessage.mNotices) {
    const bool news = mState.mCrashes.ApplyNotice(notice, now);
    if (news && notice.mStatus == quarantine_status::eQuarantined) {
      mState.mMetrics.CountQuarantine("told");
      LogEvent(log_level::eInfo,
               "quarantine_told",
               { { "fingerprint", notice.mRequest.mValue },
                 { "age_ms", notice.mAge.count() / 1000 },
                 { "by", ToText(aFrom) } });
    }
  }
  mKnows = mKnows || aMessage.mSynchronized;
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
  answer.mNotices = mState.mCrashes.NewestQuarantined(now, kMostNotices);
  answer.mSynchronized = mKnows;
  mLink.TellOne(std::move(message), aFrom);
}

} // namespace dunehook
