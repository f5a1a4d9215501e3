/**
 * @file log_func.h
 * Logs: one JSON object a line, by glog, to standard output. Writing never waits; see log_writer.h.
 * No prompt, body or secret is ever logged.
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
 * Sets glog up: lines to standard output, without glog's own prefix.
 * @param aProgram name of the running program, printed in each line.
 * @param aHost name of the host it runs on, printed in each line unless empty.
 */
void
InitLogging(std::string_view aProgram, std::string_view aHost = {});

/**
 * Writes one line.
 * @param aLevel how grave it is.
 * @param aEvent what happened, e.g. "placement"; the line's "event".
 * @param aFields further members of the object.
 */
void
LogEvent(log_level aLevel, std::string_view aEvent, nlohmann::json aFields);

/** What was written and what wasn't, since the start. */
struct log_totals
{
  std::uint64_t mDropped = 0; ///< Lines dropped: over the rate, or not taken by the reader.
  std::uint64_t mBytes = 0;   ///< Bytes handed to the reader.
};

/** Writes what waits, and tells of dropped lines; call it some times a second. */
log_totals
TickLogging();

} // namespace dunehook
