/**
 * @file cli_func.h
 * The commands of the operators' command line.
 */
#pragma once

#include <string>
#include <vector>

namespace dunehook {

/** What the command line said. */
struct cli_options
{
  std::string mServer;             ///< Operators' address of a daemon.
  std::string mStore;              ///< Address of the users' store; empty: ask a daemon.
  bool mHostSettings = false;      ///< Settings to check are in the platform's form.
  std::string mTokenFile;          ///< File with the operators' secret.
  std::string mFile;               ///< File to apply.
  bool mJson = false;              ///< Print JSON in place of tables.
  int mSeconds = 0;                ///< How long to watch; 0 for ever.
  std::vector<std::string> mWords; ///< Command and its arguments.
};

/** Runs one command. @return the exit code: 0 done, 1 refused or not reachable, 2 faulty input. */
int
RunCli(const cli_options& aOptions);

} // namespace dunehook
