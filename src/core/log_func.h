/**
 * @file log_func.h
 * Logs: one JSON object a line, written by glog. No prompt and no secret is ever logged.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace dunehook {

/** How grave a log line is. */
enum class log_level
{
  eInfo,
  eWarning,
  eError,
};

/**
 * Sets glog up: lines to standard error, without glog's own prefix.
 * @param aProgram name of the running program, printed in each line.
 */
void
InitLogging(std::string_view aProgram);

/**
 * Writes one line.
 * @param aLevel how grave it is.
 * @param aEvent what happened, e.g. "placement"; the line's "event".
 * @param aFields further members of the object.
 */
void
LogEvent(log_level aLevel, std::string_view aEvent, nlohmann::json aFields);

} // namespace dunehook
