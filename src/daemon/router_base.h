/**
 * @file router_base.h
 * The daemon: its parts, wired together. Every host runs one, all alike.
 */
#pragma once

#include "callers/frontend_base.h"
#include "control/model_controller.h"
#include "daemon/operator_api.h"
#include "settings/settings_type.h"

#include <boost/asio/ip/udp.hpp>

#include <memory>

namespace dunehook {

/** A running daemon. */
class router
{
public:
  /**
   * Opens the sockets.
   * @return the daemon, or the error that kept it from opening one.
   */
  static result<std::unique_ptr<router>> Open(asio::io_context& aIo,
                                              const daemon_settings& aSettings);

  router(asio::io_context& aIo,
         const daemon_settings& aSettings,
         member_info aSelf,
         const std::string& aPeerSecret,
         std::string aOperatorToken);

  /** Starts following the log and serving. */
  void Start();
  /** Begins a planned stop: no new work, running calls go on to their end. */
  void Drain();

private:
  using udp = asio::ip::udp;

  result<void> OpenSockets();
  void AddPeerMethods();
  asio::awaitable<void> HeartbeatLoop();
  asio::awaitable<void> DrainLoop();
  void TakeChanges(const member_changes& aChanges);
  bool IsServing() const;
  std::string AnswerEvent(const nlohmann::json& aMessage);
  std::string AnswerOrder(const nlohmann::json& aMessage);
  std::string AnswerRecords(const nlohmann::json& aMessage) const;
  std::string AnswerSnapshot() const;
  std::string AnswerClaimStatus(const nlohmann::json& aMessage);
  std::string AnswerTakeOver(const nlohmann::json& aMessage);
  std::string AnswerEndAttempt(const nlohmann::json& aMessage);
  std::string AnswerAttemptActive(const nlohmann::json& aMessage);

  asio::io_context& mIo;                            ///< Runs everything on one thread.
  daemon_settings mSettings;                        ///< As read at the start.
  rpc_dispatcher mDispatcher;                       ///< Answers other daemons.
  std::unique_ptr<peer_listener> mPeerListener;     ///< Their calls.
  std::string mPeerSecret;                          ///< Common secret of the daemons.
  udp::socket mDatagrams;                           ///< Heartbeats.
  member_table mMembers;                            ///< The other daemons.
  peer_directory mPeers;                            ///< Calls to them.
  log_follower mLog;                                ///< Configuration and claims.
  host_directory mHosts;                            ///< Runners.
  engine_client mEngines;                           ///< Calls to engines.
  attempt_registry mAttempts;                       ///< Attempts under way.
  key_registry mKeys;                               ///< Idempotency keys.
  cell_owner mOwner;                                ///< Cells owned.
  owner_router mOwners;                             ///< Owners of cells.
  model_controller mRoles;                          ///< Orders to load models.
  team_quotas mQuotas;                              ///< Quotas.
  frontend_metrics mMetrics;                        ///< Metrics.
  frontend_context mFrontend;                       ///< What frontends use of the above.
  operator_api mOperators;                          ///< The resource API.
  std::unique_ptr<http_listener> mCallerListener;   ///< Callers.
  std::unique_ptr<http_listener> mOperatorListener; ///< Operators.
  instant mLastContact{ 0 };    ///< When the log or most daemons were last in reach.
  std::size_t mMostMembers = 0; ///< Most other daemons known at once.
};

} // namespace dunehook
