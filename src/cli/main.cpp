/**
 * @file main.cpp
 * dunehook: the operators' command line, a client of the resource API.
 */
#include "cli/cli_func.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, server, "127.0.0.1:8081", "operators' address of any daemon");
ABSL_FLAG(std::string, store, "", "address of the users' store, on their platform");
ABSL_FLAG(bool, platform, false, "the settings file to check is in the platform's form");
ABSL_FLAG(std::string, token_file, "", "file that holds the operators' secret");
ABSL_FLAG(std::string, f, "", "file with the resources to apply: a JSON array or one object");
ABSL_FLAG(std::string, o, "table", "output: table or json");
ABSL_FLAG(int, seconds, 0, "how long to watch; 0 for ever");

int
main(int aCount, char** aValues)
{
  absl::SetProgramUsageMessage(
    "operates dunehook through the resource API\n\n"
    "  dunehook apply -f=FILE          write resources; each with the version it replaces\n"
    "  dunehook get KIND [NAME]        show resources; kinds: route, pool, priority_class,\n"
    "                                  model_version, link, team\n"
    "  dunehook delete KIND NAME       delete a resource\n"
    "  dunehook watch                  show changes as they come into force\n"
    "  dunehook status                 show the daemons and what each has in force\n"
    "  dunehook check FILE             check a daemon's settings file; with -platform one in the\n"
    "                                  form of the users' platform\n"
    "  dunehook explain ID [FILE...]   tell a request's story from log lines, files or standard\n"
    "                                  input, of any number of daemons\n\n"
    "On the users' platform, read only:\n"
    "  dunehook status -store=ADDRESS:PORT                what the store holds, in a line\n"
    "  dunehook get routes|runners -store=ADDRESS:PORT    the configuration's routes; the runners\n"
    "  dunehook watch -store=ADDRESS:PORT                 versions as they come into force\n\n"
    "Flags: -server=ADDRESS:PORT -token_file=FILE -o=table|json\n"
    "Exit codes: 0 done, 1 refused or not reachable, 2 faulty input or usage.");
  const std::vector<char*> rest = absl::ParseCommandLine(aCount, aValues);
  dunehook::cli_options options;
  options.mServer = absl::GetFlag(FLAGS_server);
  options.mStore = absl::GetFlag(FLAGS_store);
  options.mHostSettings = absl::GetFlag(FLAGS_platform);
  options.mTokenFile = absl::GetFlag(FLAGS_token_file);
  options.mFile = absl::GetFlag(FLAGS_f);
  options.mJson = absl::GetFlag(FLAGS_o) == "json";
  options.mSeconds = absl::GetFlag(FLAGS_seconds);
  options.mWords.assign(rest.begin() + 1, rest.end());
  return dunehook::RunCli(options);
}
