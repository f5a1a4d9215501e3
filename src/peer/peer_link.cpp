/**
 * @file peer_link.cpp
 * Connections for JSON-RPC calls between daemons.
 */
#include "peer/peer_link.h"

#include "core/json_func.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <openssl/crypto.h>

namespace dunehook {

namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxLineBytes = std::size_t{ 16 } << 20U;
/** Longest line of a peer that hasn't shown the secret yet. */
constexpr std::size_t kMaxSecretBytes = 4096;

asio::awaitable<result<std::string>>
ReadLine(tcp::socket& aSocket, std::string& aBuffer, std::size_t aMaxBytes)
{
  boost::system::error_code error;
  const std::size_t length =
    co_await asio::async_read_until(aSocket,
                                    asio::dynamic_buffer(aBuffer, aMaxBytes),
                                    '\n',
                                    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return make_error_code(errc::eConnectionLost);
  }
  std::string line = aBuffer.substr(0, length - 1);
  aBuffer.erase(0, length);
  co_return line;
}

asio::awaitable<bool>
WriteText(tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code error;
  co_await asio::async_write(
    aSocket, asio::buffer(aText), asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

void
CloseSocket(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.shutdown(tcp::socket::shutdown_both, ignored);
  aSocket.close(ignored);
}

} // namespace

bool
SecretsEqual(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

peer_link::peer_link(asio::io_context& aIo, endpoint aTo, std::string aSecret)
  : mIo(aIo)
  , mPeerAddress(std::move(aTo))
  , mSecret(std::move(aSecret))
  , mConnectEnded(aIo)
  , mSendReady(aIo)
{
}

asio::awaitable<result<void>>
peer_link::Connect(duration aLimit)
{
  while (mConnecting) {
    co_await mConnectEnded.Wait(aLimit);
  }
  if (mSocket) {
    co_return boost::outcome_v2::success();
  }
  mConnecting = true;
  boost::system::error_code error;
  const auto address = asio::ip::make_address(mPeerAddress.mAddress, error);
  beast::tcp_stream stream(mIo);
  stream.expires_after(aLimit);
  if (!error) {
    co_await stream.async_connect(tcp::endpoint(address, mPeerAddress.mPort),
                                  asio::redirect_error(asio::use_awaitable, error));
  }
  mConnecting = false;
  mConnectEnded.Notify();
  if (error) {
    co_return make_error_code(errc::eConnectFailed);
  }
  mSocket = std::make_shared<tcp::socket>(stream.release_socket());
  mSocket->set_option(tcp::no_delay(true), error);
  mUnsentLines = mSecret + "\n";
  Spawn(mIo, ReadLoop(mSocket));
  Spawn(mIo, WriteLoop(mSocket));
  co_return boost::outcome_v2::success();
}

asio::awaitable<result<json>>
peer_link::Call(std::string aMethod, json aMessage, duration aLimit)
{
  const auto self = shared_from_this();
  BOOST_OUTCOME_CO_TRY(co_await Connect(aLimit));
  const std::uint64_t id = mNextId++;
  const auto pending = std::make_shared<pending_call>(mIo);
  mPending[id] = pending;
  json request{ { "jsonrpc", "2.0" }, { "id", id }, { "method", std::move(aMethod) } };
  request["params"]["message"] = std::move(aMessage);
  mUnsentLines += request.dump(-1, ' ', false, json::error_handler_t::replace);
  mUnsentLines += '\n';
  mSendReady.Notify();
  if (!pending->mEnded) {
    co_await pending->mCompleted.Wait(aLimit);
  }
  mPending.erase(id);
  if (!pending->mEnded) {
    co_return make_error_code(errc::eDeadlinePassed);
  }
  if (!pending->mResponse) {
    co_return make_error_code(errc::eConnectionLost);
  }
  if (!pending->mResponse->contains("result")) {
    co_return make_error_code(errc::eBadRequest);
  }
  co_return std::move(pending->mResponse->at("result"));
}

asio::awaitable<void>
peer_link::WriteLoop(std::shared_ptr<tcp::socket> aSocket)
{
  constexpr duration kIdleWait = std::chrono::hours(1);
  const auto self = shared_from_this();
  while (mSocket == aSocket) {
    if (mUnsentLines.empty()) {
      co_await mSendReady.Wait(kIdleWait);
      continue;
    }
    const std::string text = std::exchange(mUnsentLines, {});
    if (!co_await WriteText(*aSocket, text)) {
      CloseSocket(*aSocket);
      co_return;
    }
  }
}

asio::awaitable<void>
peer_link::ReadLoop(std::shared_ptr<tcp::socket> aSocket)
{
  const auto self = shared_from_this();
  std::string buffer;
  for (;;) {
    const result<std::string> line = co_await ReadLine(*aSocket, buffer, kMaxLineBytes);
    if (!line) {
      break;
    }
    json response = ParseJson(line.value());
    if (!response.is_object() || !response.contains("id") || !response["id"].is_number()) {
      continue;
    }
    const auto found = mPending.find(response["id"].get<std::uint64_t>());
    if (found != mPending.end()) {
      found->second->mResponse = std::move(response);
      found->second->mEnded = true;
      found->second->mCompleted.Notify();
    }
  }
  CloseSocket(*aSocket);
  if (mSocket == aSocket) {
    mSocket.reset();
    mSendReady.Notify();
    FailPending();
  }
}

void
peer_link::FailPending()
{
  for (const auto& [id, pending] : mPending) {
    pending->mEnded = true;
    pending->mCompleted.Notify();
  }
}

void
peer_link::Close()
{
  if (mSocket) {
    CloseSocket(*mSocket);
  }
}

result<std::unique_ptr<peer_listener>>
peer_listener::Open(asio::io_context& aIo,
                    const endpoint& aAt,
                    std::string aSecret,
                    rpc_dispatcher& aDispatcher)
{
  BOOST_OUTCOME_TRY(tcp::acceptor acceptor, OpenAcceptor(aIo, aAt));
  auto listener =
    std::make_unique<peer_listener>(aIo, std::move(acceptor), std::move(aSecret), aDispatcher);
  Spawn(aIo, listener->AcceptLoop());
  return listener;
}

endpoint
peer_listener::Address() const
{
  return AddressOf(mAcceptor);
}

asio::awaitable<void>
peer_listener::AcceptLoop()
{
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(std::chrono::milliseconds(10));
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    Spawn(mIo, Serve(std::move(socket)));
  }
}

asio::awaitable<void>
peer_listener::Serve(tcp::socket aSocket)
{
  std::string buffer;
  const result<std::string> secret = co_await ReadLine(aSocket, buffer, kMaxSecretBytes);
  if (!secret || !SecretsEqual(secret.value(), mSecret)) {
    co_return;
  }
  for (;;) {
    const result<std::string> line = co_await ReadLine(aSocket, buffer, kMaxLineBytes);
    if (!line) {
      co_return;
    }
    std::string response = mDispatcher.Handle(line.value());
    if (response.empty() || response.back() != '\n') {
      response += '\n';
    }
    if (!co_await WriteText(aSocket, response)) {
      co_return;
    }
  }
}

} // namespace dunehook
