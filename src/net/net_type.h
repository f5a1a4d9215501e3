/**
 * @file net_type.h
 * Short names for Asio and Beast, endpoints, and coroutine helpers. All sockets of a process run
 * on one thread, so none of this code locks.
 */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <string>

namespace dunehook {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
/** A timer whose time goes on while the machine is suspended. The process is woken late for it, by
 * the next wake-up of any other cause. */
using boot_timer = asio::basic_waitable_timer<boot_clock>;

/** Where a process listens: an IP number, never a name. */
struct endpoint
{
  std::string mAddress;    ///< IPv4 or IPv6 number.
  std::uint16_t mPort = 0; ///< TCP or UDP port.

  auto operator<=>(const endpoint&) const = default;
};

/** @return "address:port". */
inline std::string
ToText(const endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

/** @return the endpoint written as "address:port", or eBadRequest. */
result<endpoint>
ParseEndpoint(std::string_view aText);

/** @return a listening socket; port 0 lets the kernel choose. eConnectFailed if it can't be had. */
result<tcp::acceptor>
OpenAcceptor(asio::io_context& aIo, const endpoint& aAt);

/** @return the address and port that a listening socket has. */
endpoint
AddressOf(const tcp::acceptor& aAcceptor);

/** Opens a socket for datagrams at an address. @return eConnectFailed if it can't be had. */
result<void>
OpenUdp(asio::ip::udp::socket& aSocket, const endpoint& aAt);

/** Sends a datagram; nobody learns whether it arrives, or was sent at all. */
void
SendUdp(asio::ip::udp::socket& aSocket, const std::string& aData, const endpoint& aTo);

/** Takes a datagram; the second argument is where it came from. */
using datagram_handler = std::function<void(std::string_view, const asio::ip::udp::endpoint&)>;

/** @return an endpoint of Asio's in our form. */
inline endpoint
EndpointOf(const asio::ip::udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

/** Hands on all datagrams that come to a socket until it's closed. @param aMaxBytes bytes of one.
 */
asio::awaitable<void>
ReceiveDatagrams(asio::ip::udp::socket& aSocket, std::size_t aMaxBytes, datagram_handler aHandler);

/** Suspends the calling coroutine for @p aSpan. */
asio::awaitable<void>
Sleep(duration aSpan);

/** Starts a coroutine that nobody waits for; an exception that leaves it ends the process. */
void
Spawn(asio::io_context& aIo, asio::awaitable<void> aTask);

/** Starts a coroutine that nobody waits for; an exception that leaves it is logged and ends it. */
void
SpawnGuarded(asio::io_context& aIo, asio::awaitable<void> aTask);

/**
 * A list of waiting coroutines that are woken together.
 * Invariant: a waiter is woken by the first Notify() after its Wait(), or by its time limit. The
 * list outlives its waiters.
 */
class wake_list
{
public:
  explicit wake_list(asio::io_context& aIo)
    : mIo(aIo)
  {
  }

  /** Wakes every waiter. */
  void Notify();

  /** Waits for the next Notify(), at most @p aLimit. */
  asio::awaitable<void> Wait(duration aLimit);

private:
  asio::io_context& mIo;           ///< Runs the timers.
  std::list<boot_timer*> mWaiters; ///< One timer for each waiter, owned by it.
};

} // namespace dunehook

template<>
struct std::hash<dunehook::endpoint>
{
  std::size_t operator()(const dunehook::endpoint& aEndpoint) const noexcept
  {
    return std::hash<std::string>{}(aEndpoint.mAddress) * 31U + aEndpoint.mPort;
  }
};
