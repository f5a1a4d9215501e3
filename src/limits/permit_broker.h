/**
 * @file permit_broker.h
 * Shares each runner's rate limit, and each service's retry allowance, among all daemons. For each
 * runner and each allowance one daemon, the grantor, gives out permits to send; it's the one with
 * the highest rendezvous hash among those that serve. It does no I/O: the caller passes in
 * messages, the members and the time.
 *
 * Two daemons may both believe that they are the grantor while their views of the membership
 * differ. So a daemon that becomes grantor begins with nothing, and for a while gives out half the
 * rate; and one that has lost sight of many daemons gives out the part of those that it still
 * hears.
 */
#pragma once

#include "limits/limit_table.h"
#include "limits/permit_bucket.h"
#include "limits/retry_budget.h"

#include <deque>
#include <set>

namespace dunehook {

/** A reply to a permit request that comes later is ignored, and the permit lapses. */
inline constexpr duration kPermitReplyTimeout = std::chrono::milliseconds(60);
/** A new grantor grants nothing for this long: permits of the former one are still used. */
inline constexpr duration kGrantorWarmUp = std::chrono::milliseconds(1000);
/** It then grants kNewGrantorShare of the rate for this long: the former one may still grant. */
inline constexpr duration kNewGrantorTime = std::chrono::milliseconds(3000);
inline constexpr double kNewGrantorShare = 0.5;
/** Without a change of the members for this long, a grantor isn't new to any runner. */
inline constexpr duration kStableMembersTime = std::chrono::milliseconds(4000);
/** Requests without a reply in a row after which a grantor is passed over until it's heard. */
inline constexpr std::uint32_t kMaxUnansweredRequests = 2;
/** Time between checks of a grantor that is passed over, while permits are asked for. */
inline constexpr duration kSilentCheckInterval = std::chrono::milliseconds(1000);
/** Time before the next request after one without a reply, or to a daemon that doesn't grant. */
inline constexpr duration kUngrantedWait = std::chrono::milliseconds(100);
/** Limits of the wait that a denied daemon is told. */
inline constexpr duration kMinDeniedWait = std::chrono::milliseconds(10);
inline constexpr duration kMaxDeniedWait = std::chrono::milliseconds(5000);
/** Requests that a grantor expects from the denied daemons together, per permit. */
inline constexpr double kRequestsPerPermit = 2.0;
/** A denied daemon counts as wanting permits for this long. */
inline constexpr duration kDeniedDaemonMemory = std::chrono::milliseconds(2000);
/** A daemon that hears less than this share of the daemons of late grants only their part. */
inline constexpr double kMajorShare = 0.75;
/** Parts of a service's retry allowance that its grantor gives out: at once, after a window without
 * retries, and over each window. The rest is for two grantors at once. */
inline constexpr double kSavedAllowanceShare = 0.2;
inline constexpr double kWindowAllowanceShare = 0.55;
/** Permits that a bucket holds in addition to those saved up, one for each of its two parts. */
inline constexpr double kPermitsBesideSaved = 2.0;
/** The most daemons heard counts for this long: hosts that were taken away are forgotten then. */
inline constexpr duration kMostHeardMemory = std::chrono::minutes(5);

/** A daemon's part in the sharing of limits. */
class permit_broker
{
public:
  /** The limits that this daemon knows. */
  limit_table& Limits() { return mLimits; }
  const limit_table& Limits() const { return mLimits; }

  /**
   * Sets the daemons that serve, with this one if it does.
   * @param aSelf this daemon. @param aLate the process stood still since the last call.
   */
  void SetMembers(incarnation_id aSelf,
                  std::set<incarnation_id> aServing,
                  bool aLate,
                  instant aNow);
  /**
   * Sets the limits on retries.
   * @param aDaemons daemons that exist at least, heard or not.
   */
  void SetRetryLimits(const retry_limits& aLimits, std::size_t aDaemons);
  /** @return the daemon that grants permits for a runner; none if no daemon serves. */
  std::optional<incarnation_id> GrantorOf(service_runner_id aRunner) const;
  /** @return daemons that are passed over and due to be checked. */
  std::vector<incarnation_id> DueChecks(instant aNow);

  /** @return a request for permits, to be sent to the grantor. */
  permit_request MakeRequest(service_runner_id aRunner,
                             std::uint32_t aSends,
                             std::uint32_t aRank,
                             instant aNow);
  /** @return a request for retries of a service, to be sent to the grantor of its budget. */
  permit_request MakeRetryRequest(service_runner_id aBudget,
                                  std::uint32_t aSends,
                                  std::uint32_t aRank,
                                  instant aNow);
  /** @return until when no retries of this rank are to be asked for; in the past if they are. */
  instant RetriesHeldUntil(service_runner_id aBudget, std::uint32_t aRank) const;
  /** @return a request that only asks whether a daemon runs. */
  permit_request MakeCheck();
  /** Applies the outcome of a request. */
  void NoteReply(const permit_reply& aReply, std::uint32_t aRank, instant aNow);
  /** Records that no permit is to be asked for, for requests of this rank and less urgent ones. */
  void Hold(service_runner_id aRunner, std::uint32_t aRank, instant aUntil);
  /** Records that a daemon didn't reply in time. */
  void NoteNoReply(incarnation_id aDaemon, const permit_request& aRequest, instant aNow);
  /** Records that something was heard from a daemon. */
  void NoteHeard(incarnation_id aDaemon, instant aNow);

  /** @return the reply to a daemon's request. */
  permit_reply Answer(const permit_request& aRequest, incarnation_id aFrom, instant aNow);

  /** @return runners that a request of this rank can't be sent to, and until when. */
  held_runners Held(std::uint32_t aRank, instant aNow) const;
  /** Drops what is over; to be called several times a second. */
  void Prune(const std::function<bool(service_runner_id)>& aExists, instant aNow);

private:
  /** State of the permits of a runner for which this daemon is the grantor. */
  struct grant_row
  {
    permit_bucket mBucket;                     ///< Permits to give.
    bool mRetries = false;                     ///< They're for retries of a service.
    instant mSince{ 0 };                       ///< When this daemon became the grantor.
    std::map<incarnation_id, instant> mDenied; ///< Daemons denied lately, and when.
  };
  /** A daemon that left requests unanswered. */
  struct unanswered_row
  {
    std::uint32_t mCount = 0; ///< Requests in a row.
    instant mCheckAt{ 0 };    ///< When it's to be checked.
  };
  /** A daemon count of the past. */
  struct heard_count
  {
    instant mAt{ 0 };       ///< When it was counted.
    std::size_t mCount = 0; ///< Daemons that served.
  };

  bool IsSilent(incarnation_id aDaemon) const;
  /** Records how many daemons another one knows to have served of late. */
  void NoteTold(const heard_daemons& aHeard, instant aNow);
  /** @return the most daemons that this one has heard of late, or was told of. */
  heard_daemons MostHeard(instant aNow) const;
  /** @return the share of the rate that this daemon may grant, as far as it hears the others. */
  double HeardShare() const;
  /** @return the same for retries. A daemon that was cut off when it started, or has just started,
   * knows of few others: it grants none before it has heard one of those that exist. */
  double HeardShareForRetries() const;
  /** @return a row for a runner or a service's retries, without permits. */
  grant_row NewRow(const permit_request& aRequest, instant aNow) const;
  /** @return the rate at which it may grant retries of a service now. */
  double RetryRate() const;
  /** @return the rate at which it may grant permits of a runner now. */
  double RateOf(service_runner_id aRunner, const grant_row& aRow, instant aNow) const;
  /** @return the wait of a denied daemon: all denied ones together ask for kRequestsPerPermit times
   * the permits that there will be. */
  static duration DeniedWait(grant_row& aRow, incarnation_id aFrom, double aRate, instant aNow);

  limit_table mLimits;                  ///< Limits known.
  incarnation_id mSelf;                 ///< This daemon.
  std::set<incarnation_id> mServing;    ///< Daemons that serve, as this one sees it.
  instant mMembersChangedAt{ 0 };       ///< When grantors may last have changed.
  instant mOthersChangedAt{ 0 };        ///< The same; a daemon alone that begins to serve is none.
  std::deque<heard_count> mHeardCounts; ///< Falling counts, the highest first.
  /** The highest count that another daemon told. Its time is told on, so that it's forgotten. */
  heard_count mToldCount;
  std::map<incarnation_id, unanswered_row> mUnanswered; ///< Daemons without a reply.
  /** Runners and budgets that this daemon grants for. */
  std::map<service_runner_id, grant_row> mGrants;
  /** By runner or budget: the rank that was denied, and until when. */
  std::map<service_runner_id, std::map<std::uint32_t, instant>> mHeldUntil;
  retry_limits mRetryLimits;     ///< Limits on retries of all daemons together.
  std::size_t mLeastDaemons = 1; ///< Daemons that exist at least.
  std::uint32_t mRounds = 0;     ///< Requests made so far.
  instant mLastRequestAt{ 0 };   ///< When the last request was made.
};

} // namespace dunehook
