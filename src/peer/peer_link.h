/**
 * @file peer_link.h
 * JSON-RPC calls between daemons, one message per line over TCP. The first line of a connection is
 * the shared secret. Concurrent calls share a connection and are matched to responses by id.
 */
#pragma once

#include "net/net_type.h"
#include "peer/rpc_dispatcher.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace dunehook {

/** Client connection to one other daemon; connects when a call needs it. */
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
  peer_link(asio::io_context& aIo, endpoint aTo, std::string aSecret);

  /**
   * Calls a method.
   * @param aMessage its "message" parameter.
   * @param aLimit time limit of the connect and again of the response.
   * @return the result, eConnectFailed, eConnectionLost, eDeadlinePassed or eBadRequest.
   */
  asio::awaitable<result<nlohmann::json>> Call(std::string aMethod,
                                               nlohmann::json aMessage,
                                               duration aLimit);
  /** Closes the connection; pending calls fail. */
  void Close();

private:
  /** A call without a response yet. */
  struct pending_call
  {
    explicit pending_call(asio::io_context& aIo)
      : mCompleted(aIo)
    {
    }
    wake_list mCompleted;                    ///< Woken when the call ends.
    bool mEnded = false;                     ///< The response came or the connection ended.
    std::optional<nlohmann::json> mResponse; ///< The response, if one came.
  };

  asio::awaitable<result<void>> Connect(duration aLimit);
  asio::awaitable<void> ReadLoop(std::shared_ptr<tcp::socket> aSocket);
  asio::awaitable<void> WriteLoop(std::shared_ptr<tcp::socket> aSocket);
  void FailPending();

  asio::io_context& mIo;                ///< Event loop of the read and write loops.
  endpoint mPeerAddress;                ///< Address of the other daemon.
  std::string mSecret;                  ///< Shared secret; sent as the first line.
  std::shared_ptr<tcp::socket> mSocket; ///< Null while not connected.
  bool mConnecting = false;             ///< A connect is in progress.
  wake_list mConnectEnded;              ///< Woken when a connect ends.
  std::string mUnsentLines;             ///< Lines not handed to the socket yet.
  wake_list mSendReady;                 ///< Woken when lines are added or the connection ends.
  std::uint64_t mNextId = 1;            ///< Id of the next call.
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_call>>
    mPending; ///< Calls by request id.
};

/** Accepts connections of other daemons and answers their calls. */
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

  asio::io_context& mIo;       ///< Event loop of the sessions.
  tcp::acceptor mAcceptor;     ///< The listening socket.
  std::string mSecret;         ///< Shared secret; expected as the first line.
  rpc_dispatcher& mDispatcher; ///< Executes the calls.
};

/** @return whether two secrets are equal; takes the same time wherever they differ. */
bool
SecretsEqual(std::string_view aLeft, std::string_view aRight);

} // namespace dunehook
