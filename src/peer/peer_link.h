/**
 * @file peer_link.h
 * Calls between daemons: JSON-RPC lines over TCP. The first line of a connection is the common
 * secret; many calls share a connection and are told apart by their ids.
 */
#pragma once

#include "net/net_type.h"
#include "peer/rpc_dispatcher.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace dunehook {

/** Calls to one other daemon. */
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
  peer_link(asio::io_context& aIo, endpoint aTo, std::string aSecret);

  /**
   * Calls a method.
   * @param aMessage its parameters.
   * @return the result, eConnectFailed, eConnectionLost, eDeadlinePassed or eBadRequest.
   */
  asio::awaitable<result<nlohmann::json>> Call(std::string aMethod,
                                               nlohmann::json aMessage,
                                               duration aLimit);
  /** Ends the connection; waiting calls fail. */
  void Close();

private:
  /** A call whose response hasn't come. */
  struct pending_call
  {
    explicit pending_call(asio::io_context& aIo)
      : mCompleted(aIo)
    {
    }
    wake_list mCompleted;                    ///< Woken when the call ends.
    bool mEnded = false;                     ///< The response came or the connection ended.
    std::optional<nlohmann::json> mResponse; ///< The response, if it came.
  };

  asio::awaitable<result<void>> Connect(duration aLimit);
  asio::awaitable<void> ReadLoop(std::shared_ptr<tcp::socket> aSocket);
  asio::awaitable<void> WriteLoop(std::shared_ptr<tcp::socket> aSocket);
  void FailPending();

  asio::io_context& mIo;                ///< Runs the loops.
  endpoint mPeerAddress;                ///< The other daemon.
  std::string mSecret;                  ///< Sent first.
  std::shared_ptr<tcp::socket> mSocket; ///< Null while not connected.
  bool mConnecting = false;             ///< A connect is under way.
  wake_list mConnectEnded;              ///< Woken when a connect ends.
  std::string mUnsentLines;             ///< Lines not written yet.
  wake_list mSendReady;                 ///< Woken when mUnsentLines has lines.
  std::uint64_t mNextId = 1;            ///< Id of the next call.
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_call>> mPending; ///< By id.
};

/** Takes connections of other daemons and answers their calls. */
class peer_listener
{
public:
  /** @return a listener at @p aAt, or eConnectFailed. */
  static result<std::unique_ptr<peer_listener>> Open(asio::io_context& aIo,
                                                     const endpoint& aAt,
                                                     std::string aSecret,
                                                     rpc_dispatcher& aDispatcher);

  peer_listener(asio::io_context& aIo,
                tcp::acceptor aAcceptor,
                std::string aSecret,
                rpc_dispatcher& aDispatcher)
    : mIo(aIo)
    , mAcceptor(std::move(aAcceptor))
    , mSecret(std::move(aSecret))
    , mDispatcher(aDispatcher)
  {
  }

  endpoint Address() const;

private:
  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(tcp::socket aSocket);

  asio::io_context& mIo;       ///< Runs the sessions.
  tcp::acceptor mAcceptor;     ///< The listening socket.
  std::string mSecret;         ///< Expected first.
  rpc_dispatcher& mDispatcher; ///< Answers.
};

/** @return whether two secrets are equal, in a time that doesn't depend on where they differ. */
bool
SecretsEqual(std::string_view aLeft, std::string_view aRight);

} // namespace dunehook
