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

#include <absl/flags/flag.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

ABSL_FLAG(double,
          caution,
          dunehook::placement_tuning{}.mCaution,
          "standard deviations added to the expected use of memory");
ABSL_FLAG(double,
          memory_share,
          dunehook::placement_tuning{}.mMemoryShare,
          "part of an engine's memory that the forecast may fill");
ABSL_FLAG(double,
          reserved_share,
          dunehook::placement_tuning{}.mReservedShare,
          "part of the expected answer that is reserved beforehand");
ABSL_FLAG(double,
          prefill_share,
          dunehook::placement_tuning{}.mPrefillShare,
          "part of the engines that read prompts");
ABSL_FLAG(bool, decode_reads, true, "decode engines read where prefill engines are behind");
ABSL_FLAG(double,
          large_reserve,
          dunehook::placement_tuning{}.mLargeReserve,
          "part of memory that large requests leave");
ABSL_FLAG(double,
          returned_credit,
          dunehook::placement_tuning{}.mReturnedCredit,
          "caution spared for returned callers at the end of their wait");
ABSL_FLAG(double,
          returned_reserve,
          dunehook::placement_tuning{}.mReturnedReserve,
          "caution added for returned callers at the beginning of their wait");
ABSL_FLAG(std::uint32_t, metrics_port, 0, "port of the metrics at /metrics; 0: none");
ABSL_FLAG(bool, reserve, true, "off: baseline without reservations");
ABSL_FLAG(bool, placers, true, "off: baseline in which each daemon places by itself");
ABSL_FLAG(bool, forecast, true, "off: baseline that takes the engine with the fewest runs");

namespace dunehook {

namespace {

placement_tuning
TuningFromFlags()
{
  placement_tuning tuning;
  tuning.mMemoryShare = absl::GetFlag(FLAGS_memory_share);
  tuning.mCaution = absl::GetFlag(FLAGS_caution);
  tuning.mLargeReserve = absl::GetFlag(FLAGS_large_reserve);
  tuning.mReturnedCredit = absl::GetFlag(FLAGS_returned_credit);
  tuning.mReturnedReserve = absl::GetFlag(FLAGS_returned_reserve);
  tuning.mReservedShare = absl::GetFlag(FLAGS_reserved_share);
  tuning.mPrefillShare = absl::GetFlag(FLAGS_prefill_share);
  tuning.mDecodeReads = absl::GetFlag(FLAGS_decode_reads);
  tuning.mReserve = absl::GetFlag(FLAGS_reserve);
  tuning.mPlacers = absl::GetFlag(FLAGS_placers);
  tuning.mForecast = absl::GetFlag(FLAGS_forecast);
  return tuning;
}

using host_gateway = gateway<platform::wire, platform::store_client>;

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

/** Takes SIGHUP for as long as the process runs, also those that came since the set was made. */
asio::awaitable<void>
FollowReloads(asio::signal_set& aSignals, host_gateway& aGateway)
{
  for (;;) {
    boost::system::error_code error;
    co_await aSignals.async_wait(asio::redirect_error(asio::use_awaitable, error));
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
  // Signals are taken before the settings are read: a reload at the start must neither end the
  // process nor be lost.
  asio::io_context io(1);
  asio::signal_set reloads(io, SIGHUP);
  asio::signal_set stops(io, SIGTERM, SIGINT);
  gateway_settings_report report = platform::LoadHostSettings();
  report.mSettings.mPlacement = TuningFromFlags();
  report.mSettings.mMetrics = { report.mSettings.mPeers.mAddress,
                                static_cast<std::uint16_t>(absl::GetFlag(FLAGS_metrics_port)) };
  for (const finding& one : report.mFindings) {
    std::cerr << Describe(one, "settings") << "\n";
  }
  if (!report.mFindings.empty()) {
    return kExitBadSettings;
  }
  InitLogging("dunehookd", report.mSettings.mName);
  std::signal(SIGPIPE, SIG_IGN); // Writes to closed connections are errors, not ends.
  auto opened = host_gateway::Open(io, report.mSettings);
  if (!opened) {
    LogEvent(log_level::eError, "start_failed", { { "error", ErrorName(opened.error()) } });
    return kExitFailed;
  }
  host_gateway& daemon = *opened.value();
  stops.async_wait([&](const boost::system::error_code& aError, int /*aSignal*/) {
    if (!aError) {
      daemon.Drain();
    }
  });
  SpawnGuarded(io, FollowReloads(reloads, daemon));
  LogEvent(log_level::eInfo,
           "started",
           { { "daemon", report.mSettings.mName }, { "hall", report.mSettings.mHall } });
  daemon.Start();
  io.run();
  // Coroutines still waiting are not unwound: the process ends here.
  std::_Exit(0);
}

} // namespace dunehook
