/**
 * @file daemon_link.h
 * UDP messages between daemons: heartbeats of the member table, and run messages. They are hints:
 * whatever a lost datagram contained is repeated by the next heartbeat or digest.
 */
#pragma once

#include "links/remote_clock.h"
#include "membership/member_base.h"
#include "state/forward_state.h"

namespace dunehook {

/** @return the address at which a daemon receives run messages: the port after that of its
 * heartbeats. */
endpoint
RunEndpointOf(const endpoint& aDaemon);

/** Sends datagrams to the other daemons and applies the ones received. */
class daemon_link
{
public:
  explicit daemon_link(forward_state& aState);

  /** Opens the sockets: heartbeats at the peer port, run messages at the next port. */
  result<void> Open();
  /** Starts to send and receive. @param aReady tells whether this daemon accepts calls. */
  void Start(std::function<bool()> aReady);
  /** Adds the seed hosts of the settings to the member table. */
  void AddSeeds();
  /** Sends a run message to all known daemons. */
  void Broadcast(run_message aMessage);
  /** Sends a run message to several daemons. @param aTo where they receive run messages. */
  void SendToEach(run_message aMessage, const std::vector<endpoint>& aTo);
  /** Sends a run message to one daemon. @param aTo where it receives run messages. */
  void SendTo(run_message aMessage, const endpoint& aTo)
  {
    SendToEach(std::move(aMessage), { aTo });
  }
  /** @param aTake called with each quarantine message received and the address to answer to. */
  void SetQuarantineHandler(std::function<void(const quarantine_message&, const endpoint&)> aTake)
  {
    mQuarantineHandler = std::move(aTake);
  }
  /** @param aTake called with each message on permits, the sender's incarnation and the address to
   * answer to. */
  void SetPermitHandler(
    std::function<void(const permit_message&, std::uint64_t, const endpoint&)> aTake)
  {
    mPermitHandler = std::move(aTake);
  }
  /** @param aTake called with each message on streams and the address to answer to. */
  void SetOriginHandler(std::function<void(const origin_message&, const endpoint&)> aTake)
  {
    mOriginHandler = std::move(aTake);
  }
  /** @return where a randomly picked daemon receives run messages; nothing if no other is known. */
  std::optional<endpoint> PickRandomPeer();
  /** @return how many daemons of this data hall that accept calls rank before this one. */
  std::size_t RankInHall() const { return mMembers.RankInHall(); }
  /** @return whether this daemon has just started, so that it may not know the others yet. */
  bool IsSettling() const;
  /** Removes daemons that fell silent, and the runs that they reported. */
  void DropSilent(instant aNow);

  member_table& Members() { return mMembers; }
  const member_table& Members() const { return mMembers; }

private:
  using udp = asio::ip::udp;

  asio::awaitable<void> SendHeartbeats();
  /** Asks another daemon for the whole member list, during the first seconds after the start. */
  void RequestMembers();
  void HandleHeartbeat(std::string_view aData, instant aNow);
  void Apply(const run_message& aMessage, const udp::endpoint& aFrom, instant aNow);
  /** @return when the read behind a report began, on this daemon's clock. */
  instant ReadTimeOf(const run_message& aMessage, instant aNow);
  /** Applies the store position and the runner changes that another daemon reports. */
  void ApplyStorePosition(const run_message& aMessage, instant aNow);
  /** Applies reports on engines and on finished runs. */
  void ApplyReports(const run_message& aMessage, instant aNow);

  forward_state& mState;        ///< State shared by the parts of the daemon.
  member_table mMembers;        ///< This daemon and the others known.
  udp::socket mHeartbeatSocket; ///< Sends and receives heartbeats.
  udp::socket mRunSocket;       ///< Sends and receives run messages.
  /** Called with quarantine messages; may be empty. */
  std::function<void(const quarantine_message&, const endpoint&)> mQuarantineHandler;
  /** Called with messages on permits; may be empty. */
  std::function<void(const permit_message&, std::uint64_t, const endpoint&)> mPermitHandler;
  /** Called with messages on streams; may be empty. */
  std::function<void(const origin_message&, const endpoint&)> mOriginHandler;
  std::map<std::uint64_t, remote_clock> mClocks; ///< Of daemons that report, by incarnation.
  std::function<bool()> mReady;                  ///< Whether this daemon accepts calls.
  instant mFirstHeartbeatAt{ 0 }; ///< When the first heartbeat was sent; zero before.
};

} // namespace dunehook
