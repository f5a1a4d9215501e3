/**
 * @file quarantine_link.h
 * What daemons tell each other of requests that crash runners. Crashes go to the daemons that
 * place, which so hear of all; what they conclude goes to everybody at once. Each daemon also
 * compares what it knows with another one now and then, so that a lost datagram, a cut or a
 * standstill leaves no daemon behind for long, in a group of any size.
 */
#pragma once

#include "links/daemon_link.h"

#include <deque>
#include <map>

namespace dunehook {

/** Time between comparisons with another daemon. */
inline constexpr duration kCompareInterval = std::chrono::milliseconds(500);
/** The same for a daemon that has just started, until another one has told it. */
inline constexpr duration kInitialCompareInterval = std::chrono::milliseconds(100);
/** Time between passes over what is to be judged and told. */
inline constexpr duration kQuarantineInterval = std::chrono::milliseconds(100);
/** A crash is told again each second for this long: a datagram may be lost, and those that place
 * may just be replaced. */
inline constexpr duration kCrashResendPeriod = std::chrono::milliseconds(3500);
inline constexpr duration kCrashResendInterval = std::chrono::milliseconds(1000);
/** Most notices in one datagram. */
inline constexpr std::size_t kMaxNoticesPerDatagram = 64;
/** Most own crashes that are told again. */
inline constexpr std::size_t kMaxCrashesResent = 64;

/** The link. */
class quarantine_link
{
public:
  quarantine_link(forward_state& aState, daemon_link& aLink);

  /** Starts to judge, to tell and to compare. */
  void Start();
  /** Notes that a request was under way at a runner whose connection broke. */
  void NoteCrash(const crash_report& aReport);
  /** Notes that a request was served whole. */
  void NoteServed(request_fingerprint aRequest);
  /** @return whether what the others knew at this daemon's start is known. */
  bool IsSynced() const { return mSynced; }
  /** Notes that it is. */
  void MarkSynced() { mSynced = true; }
  /** @param aAction called with each request that this daemon has put into quarantine. */
  void OnQuarantined(std::function<void(request_fingerprint)> aAction)
  {
    mOnQuarantined = std::move(aAction);
  }

private:
  /** A crash that this daemon saw. */
  struct own_crash
  {
    crash_report mReport; ///< The crash.
    instant mAt{ 0 };     ///< When.
    instant mSentAt{ 0 }; ///< When it was last told.
  };

  asio::awaitable<void> Tick();
  asio::awaitable<void> Compare();
  /** Judges what is due, and tells what has changed. */
  void JudgeAndBroadcast();
  /** Tells crashes of this daemon that are to be told again. */
  void SendCrashes();
  void HandleMessage(const quarantine_message& aMessage, const endpoint& aFrom);
  /** Answers a daemon that compares. */
  void Answer(const quarantine_message& aMessage, const endpoint& aFrom);

  forward_state& mState;                                   ///< Shared.
  daemon_link& mLink;                                      ///< The other daemons.
  std::deque<own_crash> mRecentCrashes;                    ///< Told again, oldest first.
  std::function<void(request_fingerprint)> mOnQuarantined; ///< May be empty.
  bool mSynced = false;                                    ///< See IsSynced().
};

} // namespace dunehook
