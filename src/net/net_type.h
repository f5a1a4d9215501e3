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
/** A timer whose clock keeps running while the machine is suspended. An expiry during suspension is
 * handled late: when the process next wakes for another reason. */
using boot_timer = asio::basic_waitable_timer<boot_clock>;

/** Address of a listening process: an IP address, never a host name. */
struct endpoint
{
  std::string mAddress;    ///< IPv4 or IPv6 address.
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

/** @return a listening socket, or eConnectFailed; port 0 lets the kernel choose. */
result<tcp::acceptor>
OpenAcceptor(asio::io_context& aIo, const endpoint& aAt);

/** @return the local address and port of a listening socket. */
endpoint
AddressOf(const tcp::acceptor& aAcceptor);

/** Opens a datagram socket and binds it to an address. @return eConnectFailed on failure. */
result<void>
OpenUdp(asio::ip::udp::socket& aSocket, const endpoint& aAt);

/** Sends a datagram; errors are ignored, and delivery isn't confirmed. */
void
SendUdp(asio::ip::udp::socket& aSocket, const std::string& aData, const endpoint& aTo);

/** Handles a datagram; the second argument is its sender. */
using datagram_handler = std::function<void(std::string_view, const asio::ip::udp::endpoint&)>;

/** @return the endpoint for an Asio UDP endpoint. */
inline endpoint
EndpointOf(const asio::ip::udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

/** Passes received datagrams to a handler until the socket closes. @param aMaxBytes size limit. */
asio::awaitable<void>
ReceiveDatagrams(asio::ip::udp::socket& aSocket, std::size_t aMaxBytes, datagram_handler aHandler);

/** Suspends the calling coroutine for @p aSpan. */
asio::awaitable<void>
Sleep(duration aSpan);

/** Starts a detached coroutine; an uncaught exception is logged and aborts the process. */
void
Spawn(asio::io_context& aIo, asio::awaitable<void> aTask);

/** Starts a detached coroutine; an uncaught exception is logged and ends only the coroutine. */
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
