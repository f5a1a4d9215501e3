/**
 * @file peer_directory.h
 * Links to the other daemons. A call that fails other than by eBadRequest marks its daemon as
 * suspected, so that it isn't chosen as an owner until its next heartbeat.
 */
#pragma once

#include "membership/member_base.h"
#include "peer/peer_link.h"

#include <map>
#include <unordered_map>

namespace dunehook {

/** Calls methods of other daemons. */
class peer_directory
{
public:
  peer_directory(asio::io_context& aIo, member_table& aMembers, std::string aSecret)
    : mIo(aIo)
    , mMembers(aMembers)
    , mSecret(std::move(aSecret))
  {
  }

  /** Calls a method of a member; see peer_link::Call(). */
  asio::awaitable<result<nlohmann::json>> Call(member_info aMember,
                                               std::string aMethod,
                                               nlohmann::json aMessage,
                                               duration aLimit);

  /**
   * Calls a method over a separate connection that is closed after the call: for answers so large
   * that other calls would wait behind them, and whose transfer must stop at the timeout.
   */
  asio::awaitable<result<nlohmann::json>> CallOnOwnConnection(member_info aMember,
                                                              std::string aMethod,
                                                              nlohmann::json aMessage,
                                                              duration aLimit);

  /** Ends the calls to a member that is gone, and closes the links to it. */
  void CloseLinks(const member_info& aMember);

private:
  asio::awaitable<result<nlohmann::json>> CallOverLink(std::shared_ptr<peer_link> aLink,
                                                       incarnation_id aMember,
                                                       std::string aMethod,
                                                       nlohmann::json aMessage,
                                                       duration aLimit);

  asio::io_context& mIo;  ///< Runs the links.
  member_table& mMembers; ///< Records suspected daemons.
  std::string mSecret;    ///< Secret shared by all daemons.
  std::unordered_map<endpoint, std::shared_ptr<peer_link>> mLinks; ///< By address.
  std::multimap<endpoint, std::shared_ptr<peer_link>>
    mSingleCallLinks; ///< Links that serve a single call.
};

} // namespace dunehook
