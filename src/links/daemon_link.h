/**
 * @file daemon_link.h
 * What daemons tell each other, in datagrams: heartbeats of the member table, and runs. All of it
 * is hints; a lost datagram is made good by the next heartbeat or digest.
 */
#pragma once

#include "membership/member_base.h"
#include "state/forward_state.h"

namespace dunehook {

/** @return where a daemon takes run messages: the port behind that of its heartbeats. */
endpoint
RunEndpointOf(const endpoint& aDaemon);

/** The link of one daemon to all others. */
class daemon_link
{
public:
  explicit daemon_link(forward_state& aState);

  /** Opens the sockets: heartbeats at the daemons' port, runs at the one behind it. */
  result<void> Open();
  /** Starts to send and to take. @param aReady tells whether this daemon takes callers. */
  void Start(std::function<bool()> aReady);
  /** Adds the seeds of the settings. */
  void AddSeeds();
  /** Tells all daemons that are heard. */
  void Broadcast(run_message aMessage);
  /** Tells some daemons. @param aTo where they take run messages. */
  void SendToAll(run_message aMessage, const std::vector<endpoint>& aTo);
  /** Tells one daemon.  @param aTo where it takes run messages. */
  void SendTo(run_message aMessage, const endpoint& aTo)
  {
    SendToAll(std::move(aMessage), { aTo });
  }
  /** @param aTake takes what others tell of quarantines, and where the sender takes answers. */
  void SetQuarantineHandler(std::function<void(const quarantine_message&, const endpoint&)> aTake)
  {
    mQuarantineHandler = std::move(aTake);
  }
  /** @return where another daemon takes run messages, drawn from those that are heard. */
  std::optional<endpoint> PickRandomPeer();
  /** @return how many daemons of this one's hall that take callers come before it. */
  std::size_t RankInHall() const { return mMembers.RankInHall(); }
  /** Drops daemons that fell silent, with the runs that they told of. */
  void DropSilent(instant aNow);

  member_table& Members() { return mMembers; }
  const member_table& Members() const { return mMembers; }

private:
  using udp = asio::ip::udp;

  asio::awaitable<void> SendHeartbeats();
  /** Asks another daemon for all members, in the first seconds of this one. */
  void RequestMembers();
  void HandleHeartbeat(std::string_view aData, instant aNow);
  void Apply(const run_message& aMessage, const udp::endpoint& aFrom, instant aNow);
  /** Notes how far the store is as another daemon tells it. */
  void ApplyStorePosition(const run_message& aMessage, instant aNow);
  /** Applies what a message tells of engines and of finished runs. */
  void ApplyReports(const run_message& aMessage, instant aNow);

  forward_state& mState;        ///< Shared.
  member_table mMembers;        ///< The other daemons.
  udp::socket mHeartbeatSocket; ///< Heartbeats.
  udp::socket mRunSocket;       ///< Run messages.
  /** Takes what others tell of quarantines. */
  std::function<void(const quarantine_message&, const endpoint&)> mQuarantineHandler;
  std::function<bool()> mReady;   ///< Whether this daemon takes callers.
  instant mFirstHeartbeatAt{ 0 }; ///< When the first heartbeat was sent.
};

} // namespace dunehook
