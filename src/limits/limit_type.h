/**
 * @file limit_type.h
 * Value types of runners' rate limits: what an answer says of one, what daemons tell each
 * other, and the permits to send.
 */
#pragma once

#include "core/attempt_type.h"
#include "core/clock_type.h"
#include "runners/runner_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dunehook {

/** What an answer says about its runner's limit. */
struct limit_observation
{
  service_runner_id mRunner; ///< The runner.
  named_limit mLimit;        ///< What the answer's head names.
  instant mSentAt{ 0 };      ///< When its request was sent.
  /** The runner made the answer itself, so that one without a limit says that there is none. */
  bool mOwnAnswer = false;

  auto operator<=>(const limit_observation&) const = default;
};

/** A rate limit as one daemon knows it, sent to another. */
struct limit_notice
{
  service_runner_id mRunner;        ///< The incarnation that named it.
  std::optional<double> mPerSecond; ///< Requests a second; none if the limit has ended.
  duration mAge{ 0 };               ///< Time since the answer that said so.

  auto operator<=>(const limit_notice&) const = default;
};

/** The most daemons that one knows to have served of late. */
struct heard_daemons
{
  std::uint32_t mCount = 0; ///< Daemons.
  duration mAge{ 0 };       ///< Time since they were heard.

  auto operator<=>(const heard_daemons&) const = default;
};

/** Most permits that one request asks for. */
inline constexpr std::uint32_t kMaxSendsPerRequest = 4;

/** A daemon asks the grantor of a runner's permits for some. */
struct permit_request
{
  service_runner_id mRunner; ///< The runner.
  std::uint32_t mRound = 0;  ///< Distinguishes the requests of a daemon.
  std::uint32_t mSends = 1;  ///< Permits wanted; 0 only asks whether the receiver runs.
  std::uint32_t mRank = 0;   ///< Priority rank of the caller's route: 0 is the most urgent.
  bool mCharge = false;      ///< The sends are made anyway: they are counted, unanswered.
  bool mRetries = false;     ///< For retries of a service: mRunner is RetryBudgetOf() it.
  std::optional<limit_notice> mKnown; ///< The limit as the sender knows it.
  heard_daemons mHeard;               ///< As far as the sender knows.

  auto operator<=>(const permit_request&) const = default;
};

/** @return what stands for the retry budget of a service in requests and replies. */
service_runner_id
RetryBudgetOf(const std::string& aService);

/** Outcome of a permit request. */
enum class permit_state
{
  eGranted,     ///< All permits are granted.
  eDenied,      ///< None now; mWait says when to ask again.
  eNotGranting, ///< The receiver isn't the grantor, or has become it just now.
};

/** The reply to a permit request. */
struct permit_reply
{
  service_runner_id mRunner;                        ///< As in the request.
  std::uint32_t mRound = 0;                         ///< As in the request.
  permit_state mState = permit_state::eNotGranting; ///< Outcome.
  duration mWait{ 0 };  ///< Time before the next request, if not granted.
  heard_daemons mHeard; ///< As far as the sender knows.

  auto operator<=>(const permit_reply&) const = default;
};

/** A message between daemons about limits and permits. */
struct permit_message
{
  std::vector<limit_notice> mNotices;     ///< Limits that the sender knows.
  std::optional<permit_request> mRequest; ///< For permits that the receiver grants.
  std::optional<permit_reply> mReply;     ///< To the receiver's request.

  bool operator==(const permit_message&) const = default;
};

/** Validity of permits for requests that are sent at once: time for a connection. */
inline constexpr duration kPermitValidity = std::chrono::milliseconds(400);

/** What a daemon wants to send to a runner. */
struct permit_demand
{
  service_runner_id mRunner; ///< The runner.
  std::uint32_t mSends = 1;  ///< Requests to be sent.
  std::uint32_t mRank = 0;   ///< Priority rank of the caller's route: 0 is the most urgent.
  duration mValidFor{ 0 };   ///< Time in which they are sent.

  auto operator<=>(const permit_demand&) const = default;
};

/** Rank, among those who want retries, of the most urgent requests that no caller has an event of:
 * streams under way come first. */
inline constexpr std::uint32_t kNewRequestRank = 1;
/** A stream under way waits for a retry at most this long. */
inline constexpr duration kMaxRetryWait = std::chrono::milliseconds(1000);

/** Sends of a request beyond its first that a daemon wants to make. */
struct retry_demand
{
  std::string mService;     ///< Service of the runners.
  std::string mRequest;     ///< The request's id, for the log.
  std::uint32_t mSends = 1; ///< Sends wanted.
  std::uint32_t mRank = 0;  ///< Priority: 0 is the most urgent.
  duration mMaxWait{ 0 };   ///< The request may wait this long for them.

  auto operator<=>(const retry_demand&) const = default;
};

/** Runners that can't be sent requests before an instant, because no permit is expected earlier. */
using held_runners = std::map<service_runner_id, instant>;

/**
 * The right to send some requests to one runner. Whatever is sent to a runner takes one, so that no
 * path goes round the limit. Only permit_link makes them.
 */
class send_permit
{
public:
  service_runner_id Runner() const { return mRunner; }
  /** @return whether a send may still use it. A daemon that was suspended doesn't use what it held.
   */
  bool IsValid(instant aNow) const { return mSends > 0 && aNow < mValidUntil; }
  /** Takes one send out of it. @pre it has one left. */
  send_permit Split()
  {
    --mSends;
    return send_permit(mRunner, 1, mValidUntil);
  }

private:
  friend class permit_link;
  send_permit(service_runner_id aRunner, std::uint32_t aSends, instant aValidUntil)
    : mRunner(aRunner)
    , mSends(aSends)
    , mValidUntil(aValidUntil)
  {
  }

  service_runner_id mRunner; ///< Where the requests may go.
  std::uint32_t mSends;      ///< Requests left.
  instant mValidUntil;       ///< End of its validity.
};

} // namespace dunehook
