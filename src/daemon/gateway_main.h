/**
 * @file gateway_main.h
 * Runs the daemon as an entry host of the users' platform.
 */
#pragma once

namespace dunehook {

/** @return the exit code of the process, once it has stopped. */
int
RunGateway();

} // namespace dunehook
