/**
 * @file operator_api.h
 * The resource API for operators: PUT, GET, list, DELETE, watch and status over the fold.
 */
#pragma once

#include "control/host_directory.h"
#include "control/log_follower.h"
#include "net/http_server.h"

namespace dunehook {

/** Answers operators. */
class operator_api
{
public:
  operator_api(asio::io_context& aIo,
               log_follower& aLog,
               host_directory& aHosts,
               member_table& aMembers,
               std::string aToken)
    : mIo(aIo)
    , mLog(aLog)
    , mHosts(aHosts)
    , mMembers(aMembers)
    , mToken(std::move(aToken))
  {
  }

  /** Answers one call. */
  asio::awaitable<void> Serve(exchange_ptr aExchange);

private:
  asio::awaitable<void> ServeResource(exchange_ptr aExchange, resource_key aKey);
  asio::awaitable<void> Put(exchange_ptr aExchange, resource_key aKey);
  asio::awaitable<void> Delete(exchange_ptr aExchange, resource_key aKey);
  asio::awaitable<void> Write(exchange_ptr aExchange, resource_key aKey, command aCommand);
  asio::awaitable<void> List(exchange_ptr aExchange, resource_kind aKind);
  asio::awaitable<void> Watch(exchange_ptr aExchange);
  asio::awaitable<void> Status(exchange_ptr aExchange);
  nlohmann::json Describe(const resource& aResource) const;
  bool Authorized(const http_exchange& aExchange) const;

  asio::io_context& mIo;  ///< Runs the calls.
  log_follower& mLog;     ///< Reads and writes resources.
  host_directory& mHosts; ///< For the status.
  member_table& mMembers; ///< Says who has what in force.
  std::string mToken;     ///< The operators' secret.
};

} // namespace dunehook
