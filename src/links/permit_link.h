/**
 * @file permit_link.h
 * Keeps the rate limits that runners name in their answers, and the limits on retries, over all
 * daemons. Whoever reads an answer tells the others that a limit began or ended; the value goes to
 * the grantor of the runner's permits, which are asked for before each send. Retries that a
 * daemon's own requests don't pay for are asked for in the same way. So no daemon has to know how
 * many others send.
 */
#pragma once

#include "limits/permit_broker.h"
#include "links/daemon_link.h"
#include "links/pending_replies.h"

namespace dunehook {

/** Time between passes over members and limits. */
inline constexpr duration kPermitPassInterval = std::chrono::milliseconds(250);
/** Mean time between messages to another daemon, drawn at random, with the limits known here. They
 * make up for lost datagrams and reach daemons that have just started. */
inline constexpr duration kLimitCompareInterval = std::chrono::milliseconds(500);
/** Most limits in one datagram. */
inline constexpr std::size_t kMaxLimitsPerDatagram = 64;
/** Asks for permits, grants them, and exchanges limits with the other daemons. */
class permit_link
{
public:
  permit_link(forward_state& aState, daemon_link& aLink);

  /** Starts the passes and the exchange. */
  void Start();
  /**
   * Gets the right to send requests to a runner; at once if it names no limit.
   * @param aValidFor how long the permit may be kept.
   * @return the permit, or eRunnerRefused if the limit leaves none now.
   */
  asio::awaitable<result<send_permit>> Take(permit_demand aDemand);
  /** @return a permit for a call that frees something at the runner. It isn't refused, but counted.
   */
  send_permit Charge(service_runner_id aRunner);

  /**
   * Gets the right to send a request beyond its first send. It waits for it if the grantor expects
   * one in time.
   */
  asio::awaitable<bool> TakeRetries(retry_demand aDemand);

private:
  /** Asks the grantor of a service's retries once. @return whether they were granted. */
  asio::awaitable<bool> AskForRetries(service_runner_id aBudget, retry_demand aDemand);
  /** Asks the grantor, which may be this daemon. @return whether it has granted the request. */
  asio::awaitable<bool> AskGrantor(incarnation_id aGrantor, permit_request aRequest);
  /** Logs and counts retries that were granted or denied. @param aBy who paid for or denied them.
   */
  void NoteRetries(const retry_demand& aDemand, bool aGranted, std::string_view aBy);
  /** @return daemons that exist at least: this one and those that its settings name. */
  std::size_t LeastDaemons() const;
  /** Passes the members that serve, and the limits on retries, to the broker. */
  void UpdateMembers(bool aLate);
  asio::awaitable<void> RunPasses();
  asio::awaitable<void> ExchangeLimits();
  asio::awaitable<void> Check(incarnation_id aDaemon);
  /** Sends a request to another daemon. @return its reply; none if it didn't come in time. */
  asio::awaitable<std::optional<permit_reply>> Ask(incarnation_id aDaemon,
                                                   const permit_request& aRequest);
  void HandleMessage(const permit_message& aMessage, std::uint64_t aDaemon, const endpoint& aFrom);
  /** Tells the others of a limit that began or ended, and the grantor of one that changed. */
  void Tell(service_runner_id aRunner, limit_change aChange);
  std::optional<endpoint> EndpointOfDaemon(incarnation_id aDaemon) const;
  std::string NameOf(service_runner_id aRunner) const;
  /** Counts a send, or one that the limit held back. */
  void Count(service_runner_id aRunner, bool aSent);

  forward_state& mState; ///< State shared by the parts of the daemon; the broker among it.
  daemon_link& mLink;    ///< Sends messages to the other daemons.
  pending_replies<permit_reply> mPending; ///< Requests of this daemon.
};

} // namespace dunehook
