/**
 * @file net.cpp
 * Endpoints, sockets, and helpers that start, suspend and wake coroutines.
 */
#include "net/net_type.h"

#include "core/log_func.h"

#include <charconv>
#include <cstdlib>
#include <exception>

namespace dunehook {

namespace {

constexpr int kListenBacklog = 1024; ///< Maximum number of connections not accepted yet.

/** Logs the exception that ended a task. */
void
LogFailure(std::string_view aEvent, const std::exception_ptr& aError)
{
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    LogEvent(log_level::eError, aEvent, { { "what", error.what() } });
  }
}

} // namespace

result<tcp::acceptor>
OpenAcceptor(asio::io_context& aIo, const endpoint& aAt)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aAt.mAddress, error);
  const tcp::endpoint local(address, aAt.mPort);
  tcp::acceptor acceptor(aIo);
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return make_error_code(errc::eConnectFailed);
  }
  return acceptor;
}

endpoint
AddressOf(const tcp::acceptor& aAcceptor)
{
  boost::system::error_code ignored;
  const tcp::endpoint local = aAcceptor.local_endpoint(ignored);
  return { local.address().to_string(), local.port() };
}

result<endpoint>
ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return make_error_code(errc::eBadRequest);
  }
  endpoint parsed;
  parsed.mAddress = std::string(aText.substr(0, colon));
  boost::system::error_code error;
  asio::ip::make_address(parsed.mAddress, error);
  const std::string_view port = aText.substr(colon + 1);
  const auto number = std::from_chars(port.data(), port.data() + port.size(), parsed.mPort);
  if (error || number.ec != std::errc{} || number.ptr != port.data() + port.size()) {
    return make_error_code(errc::eBadRequest);
  }
  return parsed;
}

asio::awaitable<void>
Sleep(duration aSpan)
{
  boot_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aSpan);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

result<void>
OpenUdp(asio::ip::udp::socket& aSocket, const endpoint& aAt)
{
  boost::system::error_code error;
  const asio::ip::udp::endpoint local(asio::ip::make_address(aAt.mAddress, error), aAt.mPort);
  if (!error) {
    aSocket.open(local.protocol(), error);
  }
  if (!error) {
    aSocket.bind(local, error);
  }
  if (error) {
    return make_error_code(errc::eConnectFailed);
  }
  return boost::outcome_v2::success();
}

void
SendUdp(asio::ip::udp::socket& aSocket, const std::string& aData, const endpoint& aTo)
{
  boost::system::error_code ignored; // An unsent datagram is treated like a lost one.
  const asio::ip::udp::endpoint target(asio::ip::make_address(aTo.mAddress, ignored), aTo.mPort);
  aSocket.send_to(asio::buffer(aData), target, 0, ignored);
}

void
Spawn(asio::io_context& aIo, asio::awaitable<void> aTask)
{
  asio::co_spawn(aIo, std::move(aTask), [](const std::exception_ptr& aError) {
    if (aError) {
      LogFailure("task_failed", aError);
      std::abort();
    }
  });
}

void
SpawnGuarded(asio::io_context& aIo, asio::awaitable<void> aTask)
{
  asio::co_spawn(aIo, std::move(aTask), [](const std::exception_ptr& aError) {
    if (aError) {
      LogFailure("request_task_failed", aError);
    }
  });
}

asio::awaitable<void>
ReceiveDatagrams(asio::ip::udp::socket& aSocket, std::size_t aMaxBytes, datagram_handler aHandler)
{
  std::string data(aMaxBytes, '\0');
  for (;;) {
    asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const std::size_t got = co_await aSocket.async_receive_from(
      asio::buffer(data), from, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) { // Errors report an undelivered earlier datagram; callers detect that by timeout.
      aHandler({ data.data(), got }, from);
    }
  }
}

void
wake_list::Notify()
{
  for (boot_timer* const waiter : mWaiters) {
    waiter->cancel();
  }
}

asio::awaitable<void>
wake_list::Wait(duration aLimit)
{
  boot_timer timer(mIo, aLimit);
  const auto place = mWaiters.insert(mWaiters.end(), &timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  mWaiters.erase(place);
}

} // namespace dunehook
