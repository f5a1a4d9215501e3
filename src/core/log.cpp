/**
 * @file log.cpp
 * JSON log lines over glog, to standard output.
 */
#include "core/log_func.h"

#include "core/log_writer.h"

#include <glog/logging.h>

#include <chrono>
#include <string>
#include <unistd.h>

namespace dunehook {

namespace {

std::string&
ProgramName()
{
  static std::string sName;
  return sName;
}

std::string&
HostName()
{
  static std::string sName;
  return sName;
}

log_writer&
Writer()
{
  static log_writer sWriter(STDOUT_FILENO);
  return sWriter;
}

double
UnixSeconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

/** Hands glog's messages to the writer. */
class writer_sink : public google::LogSink
{
public:
  void send(google::LogSeverity aSeverity, // NOLINT(readability-identifier-naming): glog's name
            const char* /*aPath*/,
            const char* /*aFile*/,
            int /*aLine*/,
            const struct ::tm* /*aTime*/,
            const char* aMessage,
            std::size_t aLength) override
  {
    const log_level level = aSeverity == google::GLOG_INFO      ? log_level::eInfo
                            : aSeverity == google::GLOG_WARNING ? log_level::eWarning
                                                                : log_level::eError;
    Writer().Write(level, mKind, { aMessage, aLength });
  }

  std::string mKind; ///< Kind of the line under way.
};

writer_sink&
Sink()
{
  static writer_sink sSink;
  return sSink;
}

void
WriteLine(log_level aLevel, std::string_view aEvent, nlohmann::json& aFields)
{
  aFields["event"] = aEvent;
  aFields["program"] = ProgramName();
  if (!HostName().empty()) {
    aFields["host"] = HostName();
  }
  aFields["time"] = UnixSeconds();
  const std::string line = aFields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Sink().mKind = aEvent;
  switch (aLevel) {
    case log_level::eInfo:
      LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&Sink(), INFO) << line;
      break;
    case log_level::eWarning:
      LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&Sink(), WARNING) << line;
      break;
    case log_level::eError:
      LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&Sink(), ERROR) << line;
      break;
  }
}

} // namespace

void
InitLogging(std::string_view aProgram, std::string_view aHost)
{
  ProgramName() = aProgram;
  HostName() = aHost;
  FLAGS_logtostderr = false;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(ProgramName().c_str());
}

void
LogEvent(log_level aLevel, std::string_view aEvent, nlohmann::json aFields)
{
  if (Writer().Admit(aLevel, aEvent, boot_clock_source{}.Now())) {
    WriteLine(aLevel, aEvent, aFields);
  }
}

log_totals
TickLogging()
{
  Writer().Flush();
  const std::map<std::string, std::uint64_t> dropped = Writer().TakeDropped();
  if (!dropped.empty()) {
    nlohmann::json fields{ { "kinds", dropped } };
    WriteLine(log_level::eWarning, "lines_dropped", fields);
  }
  return { Writer().DroppedInAll(), Writer().BytesWritten() };
}

} // namespace dunehook
