/**
 * @file log.cpp
 * JSON log lines over glog.
 */
#include "core/log_func.h"

#include <glog/logging.h>

#include <chrono>
#include <string>

namespace dunehook {

namespace {

std::string&
ProgramName()
{
  static std::string sName;
  return sName;
}

double
UnixSeconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

} // namespace

void
InitLogging(std::string_view aProgram)
{
  ProgramName() = aProgram;
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(ProgramName().c_str());
}

void
LogEvent(log_level aLevel, std::string_view aEvent, nlohmann::json aFields)
{
  aFields["event"] = aEvent;
  aFields["program"] = ProgramName();
  aFields["time"] = UnixSeconds();
  const std::string line = aFields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  switch (aLevel) {
    case log_level::eInfo:
      LOG(INFO) << line;
      break;
    case log_level::eWarning:
      LOG(WARNING) << line;
      break;
    case log_level::eError:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace dunehook
