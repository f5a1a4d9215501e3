/**
 * @file http_pool_test.cpp
 * If all idle connections of an endpoint are unresponsive, only one call may time out, not one per
 * connection.
 */
#include "net/http_client.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr int kIdleConnections = 4;

/** A server that can stop answering on its open connections, as after a network failure that
 * neither side is notified of. */
class silent_server
{
public:
  explicit silent_server(asio::io_context& aIo)
    : mIo(aIo)
    , mAcceptor(OpenAcceptor(aIo, { "127.0.0.1", 0 }).value())
  {
    Spawn(mIo, AcceptLoop());
  }

  endpoint Address() const { return AddressOf(mAcceptor); }
  /** Sends no more answers on the connections that are open now. */
  void StopAnsweringOpenConnections() { mFirstAnswered = mConnections; }

  int mConnections = 0; ///< Connections accepted.

private:
  asio::awaitable<void> AcceptLoop()
  {
    for (;;) {
      tcp::socket socket = co_await mAcceptor.async_accept(asio::use_awaitable);
      Spawn(mIo, Serve(std::make_shared<tcp::socket>(std::move(socket)), mConnections++));
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket, int aNumber)
  {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    std::string buffer;
    for (;;) {
      boost::system::error_code error;
      const std::size_t length =
        co_await asio::async_read_until(*aSocket,
                                        asio::dynamic_buffer(buffer),
                                        "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      buffer.erase(0, length);
      co_await Sleep(20ms); // The delay makes concurrent calls use separate connections.
      if (aNumber < mFirstAnswered) {
        continue;
      }
      co_await asio::async_write(
        *aSocket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::io_context& mIo;   ///< Event loop of the sessions.
  tcp::acceptor mAcceptor; ///< The listening socket.
  int mFirstAnswered = 0;  ///< Number of the first connection that gets answers.
};

asio::awaitable<void>
CallOnce(http_pool& aPool, endpoint aTo, int& aAnswered, int& aFailed)
{
  const http_call call;
  const result<http_answer> answer = co_await aPool.Call(aTo, call, 200ms);
  ++(answer ? aAnswered : aFailed);
}

} // namespace

TEST_GROUP(kept_connections){};

TEST(kept_connections, ATimeoutOnOneIdleConnectionDropsAllOfItsEndpoint)
{
  asio::io_context io(1);
  silent_server server(io);
  http_pool pool;
  int answered = 0;
  int failed = 0;
  for (int number = 0; number < kIdleConnections; ++number) {
    Spawn(io, CallOnce(pool, server.Address(), answered, failed));
  }
  io.run_for(150ms);
  LONGS_EQUAL(kIdleConnections, answered);
  LONGS_EQUAL(kIdleConnections, server.mConnections);
  server.StopAnsweringOpenConnections();
  answered = 0;
  while (answered == 0 && failed <= kIdleConnections) {
    const int before = failed;
    Spawn(io, CallOnce(pool, server.Address(), answered, failed));
    const auto ended = [&] { return answered != 0 || failed != before; };
    while (!ended()) {
      io.run_for(10ms);
    }
  }
  UT_PRINT(StringFromFormat(
    "of %d kept connections that fell silent, %d cost a deadline", kIdleConnections, failed));
  LONGS_EQUAL(1, failed);
  LONGS_EQUAL(1, answered);
}
