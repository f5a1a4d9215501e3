/**
 * @file main.cpp
 * dunehookd: the daemon that every entry host runs.
 */
#include "core/log_func.h"
#include "daemon/gateway_main.h"
#include "daemon/router_base.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "path of the TOML settings file");
ABSL_FLAG(bool, platform, false, "serve as an entry host of the users' platform");
ABSL_FLAG(bool, check, false, "check the settings, print all findings, and stop");

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

int
PrintFindings(const dunehook::settings_report& aReport, const std::string& aPath)
{
  for (const dunehook::finding& one : aReport.mFindings) {
    std::cerr << dunehook::Describe(one, aPath) << "\n";
  }
  return kExitBadSettings;
}

int
Serve(const dunehook::daemon_settings& aSettings)
{
  dunehook::asio::io_context io(1);
  auto opened = dunehook::router::Open(io, aSettings);
  if (!opened) {
    dunehook::LogEvent(dunehook::log_level::eError,
                       "start_failed",
                       { { "error", dunehook::ErrorName(opened.error()) } });
    return kExitFailed;
  }
  dunehook::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int /*aSignal*/) {
    if (!aError) {
      opened.value()->Drain();
    }
  });
  opened.value()->Start();
  io.run();
  // Coroutines still waiting are not unwound: the process ends here.
  std::cerr.flush();
  std::_Exit(kExitOk);
}

} // namespace

int
main(int aCount, char** aValues)
{
  absl::SetProgramUsageMessage(
    "runs a dunehook daemon\n\n"
    "  dunehookd --settings=FILE           serve callers, operators and other daemons\n"
    "  dunehookd --settings=FILE --check   only check the settings\n"
    "  dunehookd --platform                serve on the users' platform, with its settings\n\n"
    "SIGTERM begins a planned stop: calls under way run to their end.\n"
    "Exit codes: 0 stopped as planned, 1 could not start, 2 faulty settings.");
  std::signal(SIGHUP, SIG_IGN); // Until it's taken: a reload doesn't end a process that starts.
  absl::ParseCommandLine(aCount, aValues);
  if (absl::GetFlag(FLAGS_platform)) {
    return dunehook::RunGateway();
  }
  const std::string path = absl::GetFlag(FLAGS_settings);
  const dunehook::settings_report report = dunehook::LoadSettings(path);
  if (!report.mFindings.empty()) {
    return PrintFindings(report, path);
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": no findings\n";
    return kExitOk;
  }
  dunehook::InitLogging("dunehookd");
  return Serve(report.mSettings);
}
