/**
 * @file gateway_main.cpp
 * The daemon on the platform: settings, signals, the event loop.
 */
#include "daemon/gateway_main.h"

#include "forward/gateway.h"
#include "platform/codec.h"
#include "platform/store_client.h"
#include "platform/wire.h"
#include "settings/settings_type.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace dunehook {

namespace {

using host_gateway = gateway<platform::wire, platform::store_client>;

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

/** Takes SIGHUP for as long as the process runs. */
asio::awaitable<void>
FollowReloads(asio::io_context& aIo, host_gateway& aGateway)
{
  asio::signal_set signals(aIo, SIGHUP);
  for (;;) {
    boost::system::error_code error;
    co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const gateway_settings_report report = platform::LoadHostSettings();
    for (const finding& one : report.mFindings) {
      LogEvent(
        log_level::eWarning, "settings_finding", { { "finding", Describe(one, "settings") } });
    }
    if (report.mFindings.empty()) {
      aGateway.Reload(report.mSettings);
    }
  }
}

} // namespace

int
RunGateway()
{
  const gateway_settings_report report = platform::LoadHostSettings();
  for (const finding& one : report.mFindings) {
    std::cerr << Describe(one, "settings") << "\n";
  }
  if (!report.mFindings.empty()) {
    return kExitBadSettings;
  }
  InitLogging("dunehookd");
  std::signal(SIGPIPE, SIG_IGN); // Writes to closed connections are errors, not ends.
  asio::io_context io(1);
  auto opened = host_gateway::Open(io, report.mSettings);
  if (!opened) {
    LogEvent(log_level::eError, "start_failed", { { "error", ErrorName(opened.error()) } });
    return kExitFailed;
  }
  host_gateway& daemon = *opened.value();
  asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&](const boost::system::error_code& aError, int /*aSignal*/) {
    if (!aError) {
      daemon.Drain();
    }
  });
  SpawnGuarded(io, FollowReloads(io, daemon));
  LogEvent(log_level::eInfo,
           "started",
           { { "daemon", report.mSettings.mName }, { "hall", report.mSettings.mHall } });
  daemon.Start();
  io.run();
  // Coroutines still waiting are not unwound: the process ends here.
  std::_Exit(0);
}

} // namespace dunehook
