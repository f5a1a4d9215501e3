/**
 * @file relay_call.h
 * Passes a request to another daemon when this one reaches no runner of its service. The other
 * daemon serves it like a caller's: placement, limits, retries and crash tracking happen there
 * only. It never relays the request again.
 */
#pragma once

#include "forward/upstream_send.h"

#include <absl/strings/numbers.h>

namespace dunehook {

/**
 * Header of an answer to a relayed request: the daemon that was asked serves nothing now, and has
 * passed nothing on. Only the listener for relayed requests sends it.
 */
inline constexpr std::string_view kRelayRefusedHeader = "Dunehook-Relay-Refused";
/** Daemons that a request is offered to, one after the other. */
inline constexpr std::size_t kMaxRelayOffers = 3;
/** A daemon that refused a relayed request isn't offered one of that service for this long. */
inline constexpr duration kRelayRefusalMemory = std::chrono::milliseconds(1000);

/** @return the address at which a daemon takes relayed requests: the TCP port after its peer port.
 */
inline endpoint
RelayEndpointOf(const endpoint& aDaemon)
{
  return { aDaemon.mAddress, static_cast<std::uint16_t>(aDaemon.mPort + 1) };
}

/** What a request has got before it's relayed. */
struct relay_progress
{
  std::uint32_t mRuns = 0;                  ///< Engines that may have run it.
  bool mStarted = false;                    ///< The caller has the head, and perhaps events.
  std::optional<std::uint64_t> mAfterEvent; ///< Last event that the caller has.
  software_id mSoftware;                    ///< Software that began the stream; none if none has.
};

/** @return the number in a header of a relayed request; 0 if there is none. */
inline std::uint64_t
ReadRelayNumber(const http::fields& aHead, std::string_view aName)
{
  std::uint64_t number = 0;
  const auto value = aHead[beast::string_view(aName.data(), aName.size())];
  const bool good = absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &number);
  return good ? number : 0;
}

/** How relaying a request ended. */
enum class relay_outcome
{
  eAnswered,  ///< The caller has got an answer, or part of one.
  eNoDaemon,  ///< No daemon took it; it hasn't run.
  eUncertain, ///< It may have run, and the caller has no complete answer.
};

/** Answers a relayed request that this daemon has passed to nobody: another one may serve it. */
inline asio::awaitable<void>
RefuseRelayed(caller_exchange& aExchange, std::string_view aReason)
{
  http::fields head;
  head.set(beast::string_view(kRelayRefusedHeader.data(), kRelayRefusedHeader.size()),
           beast::string_view(aReason.data(), aReason.size()));
  co_await aExchange.Respond(503, head, std::string_view());
}

/** Relays one request. */
template<wire_format Wire>
class relay_call
{
public:
  /** All arguments must outlive this object. */
  relay_call(forward_state& aState,
             caller_exchange& aExchange,
             const std::string& aRequestId,
             const forward_route& aRoute,
             const std::string& aService,
             const relay_progress& aProgress = {})
    : mState(aState)
    , mExchange(aExchange)
    , mRequestId(aRequestId)
    , mRoute(aRoute)
    , mService(aService)
    , mProgress(aProgress)
  {
  }

  /**
   * Offers the request to daemons until one takes it, and forwards its answer.
   * @param aDeadline end of the request's time limit.
   */
  asio::awaitable<relay_outcome> Run(instant aDeadline)
  {
    const std::vector<endpoint> daemons = Candidates();
    for (const endpoint& daemon : daemons) {
      if (mExchange.Disconnected() || mState.Now() >= aDeadline) {
        break;
      }
      const std::optional<relay_outcome> end = co_await Offer(daemon, aDeadline);
      if (end) {
        mState.mMetrics.CountRelay(*end == relay_outcome::eAnswered ? "answered" : "uncertain");
        co_return *end;
      }
    }
    mState.mMetrics.CountRelay("no_daemon");
    co_return relay_outcome::eNoDaemon;
  }

private:
  /**
   * @return daemons to ask, in order: one of this data hall, since bytes between halls are costly,
   * then any others. Within each part the order is random, which spreads the load.
   */
  std::vector<endpoint> Candidates()
  {
    std::vector<relay_peer> peers = mState.mRelayPeers();
    std::map<endpoint, instant>& refused = mState.mRelayRefusals[mService];
    std::erase_if(refused, [now = mState.Now()](const auto& aRefusal) {
      return now - aRefusal.second >= kRelayRefusalMemory;
    });
    std::erase_if(peers, [&](const relay_peer& aPeer) { return refused.contains(aPeer.mAddress); });
    std::shuffle(peers.begin(), peers.end(), mState.mRandom);
    const auto near = std::find_if(
      peers.begin(), peers.end(), [](const relay_peer& aPeer) { return aPeer.mSameHall; });
    if (near != peers.end()) {
      std::iter_swap(peers.begin(), near);
    }
    std::vector<endpoint> daemons;
    for (const relay_peer& peer : peers) {
      if (daemons.size() < kMaxRelayOffers) {
        daemons.push_back(peer.mAddress);
      }
    }
    return daemons;
  }

  /** @return how it ended; nothing if the daemon didn't take the request. */
  asio::awaitable<std::optional<relay_outcome>> Offer(endpoint aDaemon, instant aDeadline)
  {
    const instant began = mState.Now();
    const duration limit = aDeadline - began + kResponseSlack;
    const bool onlyProven = mRoute.mRepeat != repeat_rule::eRepeatable;
    result<upstream_ptr> taken =
      co_await mState.mRelayPool.Take(aDaemon, onlyProven, began, std::min(kConnectTime, limit));
    std::optional<relay_outcome> end;
    if (!taken) {
      NoteRefused(aDaemon, "unreachable");
      co_return end;
    }
    const upstream_ptr connection = taken.value();
    if (mExchange.CheckDisconnected()) {
      mState.mRelayPool.Give(aDaemon, connection, mState.Now());
      co_return end;
    }
    mExchange.OnDisconnect([connection] { connection->Abort(); });
    send_plan plan;
    plan.mTimeLeft = aDeadline - mState.Now();
    plan.mRank = mRoute.mRank;
    plan.mAfterEvent = mProgress.mAfterEvent;
    upstream_request request = BuildUpstreamRequest<Wire>(mExchange, plan);
    AddHeader(request, kRelayRunsHeader, std::to_string(mProgress.mRuns));
    AddHeader(request, kRelaySoftwareHeader, std::to_string(mProgress.mSoftware.mValue));
    AddHeader(request, kRelayConfigHeader, std::to_string(mState.mRoutes->Config().mVersion));
    const auto head = co_await connection->Start(request, limit);
    if (!head) {
      connection->Abort();
      LogEnd(aDaemon, 0, began);
      end = relay_outcome::eUncertain;
      co_return end;
    }
    if (head.value()->count(kRelayRefusedHeader) > 0) {
      mExchange.OnDisconnect(nullptr);
      connection->Abort();
      NoteRefused(aDaemon, "refused");
      co_return end;
    }
    LogEnd(aDaemon, head.value()->result_int(), began);
    if (mProgress.mRuns > 0 && head.value()->result_int() != 200) {
      connection->Abort(); // Whatever it says, the request has run.
      end = relay_outcome::eUncertain;
      co_return end;
    }
    co_await ForwardAnswer(*connection, *head.value(), aDeadline);
    mExchange.OnDisconnect(nullptr);
    mState.mRelayPool.Give(aDaemon, connection, mState.Now());
    end = relay_outcome::eAnswered;
    co_return end;
  }

  /** Forwards an answer piece by piece. */
  asio::awaitable<void> ForwardAnswer(upstream_connection& aConnection,
                                      const http::fields& aHead,
                                      instant aDeadline)
  {
    const unsigned status = aConnection.Status();
    const body_framing framing = aConnection.Framing();
    const http::fields fields = FieldsForCaller(aHead);
    bool open = true;
    if (!mProgress.mStarted) {
      open = co_await mExchange.StartBody(status, fields, framing, aConnection.BodyLength());
    }
    bool more = true;
    while (open && more) {
      std::string bytes;
      const result<bool> read = co_await aConnection.ReadSome(bytes, aDeadline + kResponseSlack);
      if (!read) {
        aConnection.Abort();
        mExchange.ResetConnection();
        co_return;
      }
      open = co_await mExchange.Write(bytes);
      more = read.value();
    }
    if (open) {
      co_await mExchange.EndBody(framing);
    }
  }

  static void AddHeader(upstream_request& aRequest, std::string_view aName, std::string_view aValue)
  {
    const std::size_t end = aRequest.mHead.size() - kLineEnd.size(); // Before the empty line.
    aRequest.mHead.insert(end, Join(aName, ": ", aValue, kLineEnd));
  }

  void NoteRefused(const endpoint& aDaemon, std::string_view aWhy)
  {
    mState.mRelayRefusals[mService][aDaemon] = mState.Now();
    LogEvent(log_level::eInfo,
             "relay_not_taken",
             { { "daemon", ToText(aDaemon) }, { "service", mService }, { "why", aWhy } });
  }

  /** @param aStatus 0 if there was no answer. */
  void LogEnd(const endpoint& aDaemon, unsigned aStatus, instant aBegan) const
  {
    mState.LogDecision(aStatus == 200 ? log_level::eInfo : log_level::eWarning,
                       "request_relayed",
                       mRequestId,
                       { { "route", mRoute.mName },
                         { "daemon", ToText(aDaemon) },
                         { "status", aStatus },
                         { "ms", (mState.Now() - aBegan).count() / 1000 } });
  }

  static constexpr std::string_view kLineEnd = "\r\n";

  forward_state& mState;         ///< State shared by the daemon's components.
  caller_exchange& mExchange;    ///< The caller's connection and request.
  const std::string& mRequestId; ///< Its id.
  const forward_route& mRoute;   ///< Its route.
  const std::string& mService;   ///< The service that this daemon doesn't reach.
  relay_progress mProgress;      ///< What the request has got so far.
};

} // namespace dunehook
