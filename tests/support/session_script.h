/**
 * @file session_script.h
 * Replays a session through the placement core. The script has one event per line, as a JSON
 * object; the output has one order or decision record per line.
 */
#pragma once

#include <string>

namespace dunehook::test {

/** @return the core's output. @param aScript the lines; those that begin with '#' are ignored. */
std::string
ReplaySession(const std::string& aScript);

} // namespace dunehook::test
