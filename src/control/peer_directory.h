/**
 * @file peer_directory.h
 * Links to the other daemons. A call that can't reach its daemon makes the daemon suspected, so
 * that ownership passes it over until it's heard again.
 */
#pragma once

#include "membership/member_base.h"
#include "peer/peer_link.h"

#include <map>
#include <unordered_map>

namespace dunehook {

/** Calls to members. */
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
   * Calls a method over a connection of its own that ends with the call: for an answer so large
   * that other calls would wait behind it, and that mustn't come on after the limit.
   */
  asio::awaitable<result<nlohmann::json>> CallOnOwnConnection(member_info aMember,
                                                              std::string aMethod,
                                                              nlohmann::json aMessage,
                                                              duration aLimit);

  /** Ends the calls to a member that is gone, and forgets the link to it. */
  void CloseLinks(const member_info& aMember);

private:
  asio::awaitable<result<nlohmann::json>> CallOverLink(std::shared_ptr<peer_link> aLink,
                                                       incarnation_id aMember,
                                                       std::string aMethod,
                                                       nlohmann::json aMessage,
                                                       duration aLimit);

  asio::io_context& mIo;                                                ///< Runs the links.
  member_table& mMembers;                                               ///< Told of suspicions.
  std::string mSecret;                                                  ///< Common secret.
  std::unordered_map<endpoint, std::shared_ptr<peer_link>> mLinks;      ///< By address.
  std::multimap<endpoint, std::shared_ptr<peer_link>> mSingleCallLinks; ///< Links of one call each.
};

} // namespace dunehook
