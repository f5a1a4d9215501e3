/**
 * @file peer_directory.h
 * Links to the other daemons. A call that can't reach its daemon makes the daemon suspected, so
 * that ownership passes it over until it's heard again.
 */
#pragma once

#include "members/member_base.h"
#include "peer/peer_link.h"

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

  /** Forgets the link to a member that is gone. */
  void Drop(const member_info& aMember);

private:
  asio::io_context& mIo;                                           ///< Runs the links.
  member_table& mMembers;                                          ///< Told of suspicions.
  std::string mSecret;                                             ///< Common secret.
  std::unordered_map<endpoint, std::shared_ptr<peer_link>> mLinks; ///< By address.
};

} // namespace dunehook
