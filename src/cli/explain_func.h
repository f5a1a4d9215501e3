/**
 * @file explain_func.h
 * Tells the story of a request from log lines of any number of daemons.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace dunehook {

/** A log line. */
struct log_line
{
  double mTime = 0.0;     ///< Seconds, by the clock of the host that wrote it.
  std::string mHost;      ///< Host that wrote it.
  std::string mEvent;     ///< What happened.
  std::string mRequest;   ///< Request it's about; empty if none.
  nlohmann::json mFields; ///< The whole line.
  std::size_t mPlace = 0; ///< Its place in the input.
};

/** One step of a story. */
struct story_step
{
  double mAfter = 0.0;  ///< Seconds since the first step of the same host.
  std::string mHost;    ///< Host that wrote it.
  std::string mRequest; ///< Try it belongs to; empty where it's about a runner.
  std::string mText;    ///< What happened, in plain words.
};

/** What became of a request and of the caller's other tries. */
struct request_story
{
  std::vector<story_step> mSteps; ///< In order.
  std::string mCause;             ///< Why it ended as it did; empty if it was never logged.
};

/** @return the lines of a stream; what stands before the JSON of a line is left out. */
std::vector<log_line>
ReadLogLines(std::istream& aInput);

/**
 * @param aLines lines of all daemons, in any order.
 * @param aRequest id of one try.
 * @return the story of that try and of others with the same prompt. Clocks of hosts may differ, so
 *   times count from a host's first line, and tries follow one another by their first lines.
 */
request_story
ExplainRequest(const std::vector<log_line>& aLines, const std::string& aRequest);

/** @return the story as JSON. */
nlohmann::json
ToJson(const request_story& aStory);

} // namespace dunehook
