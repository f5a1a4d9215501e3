/**
 * @file session_script.h
 * Replays a session through the decision core: a script of events, one JSON object a line, in;
 * the orders and decision records, one a line, out.
 */
#pragma once

#include <string>

namespace dunehook::test {

/** @return what the core answers to the script. @param aScript the lines. */
std::string
ReplaySession(const std::string& aScript);

} // namespace dunehook::test
