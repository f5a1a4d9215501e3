/**
 * @file cli.cpp
 * The commands of the operators' command line.
 */
#include "cli/cli_func.h"

#include "cli/explain_func.h"
#include "cli/store_view.h"
#include "core/attempt_type.h"
#include "core/text_func.h"
#include "net/http_client.h"
#include "platform/codec.h"
#include "platform/store_client.h"
#include "resources/resource_type.h"
#include "settings/settings_type.h"

#include <absl/strings/str_format.h>

#include <fstream>
#include <iostream>
#include <map>

namespace dunehook {

namespace {

using json = nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitBadInput = 2;
constexpr int kWriteTries = 3;
constexpr duration kCallLimit = std::chrono::seconds(30);
/** Largest answer of a daemon: all resources of one kind, or its state. */
constexpr std::uint64_t kMaxListBytes = std::uint64_t{ 64 } << 20U;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

/** A client of the resource API. */
class api_client
{
public:
  api_client(endpoint aServer, std::string aToken)
    : mServer(std::move(aServer))
    , mToken(std::move(aToken))
  {
  }

  /** @return the answer; a status of 0 means that the daemon can't be reached. */
  http_answer Call(http::verb aMethod, std::string aTarget, std::string aBody = "")
  {
    asio::io_context io(1);
    http_call call{ aMethod, std::move(aTarget), {}, std::move(aBody) };
    call.mHeaders.emplace_back("Authorization", "Bearer " + mToken);
    http_answer answer;
    Spawn(io, Send(call, answer));
    io.run();
    return answer;
  }

private:
  asio::awaitable<void> Send(const http_call& aCall, http_answer& aAnswer)
  {
    const auto connection = co_await http_connection::Connect(mServer, kCallLimit);
    if (!connection) {
      co_return;
    }
    result<http_answer> answer =
      co_await connection.value()->Call(aCall, kCallLimit, kMaxListBytes);
    if (answer) {
      aAnswer = std::move(answer.value());
    }
  }

  endpoint mServer;   ///< A daemon.
  std::string mToken; ///< The operators' secret.
};

int
PrintFailure(const http_answer& aAnswer)
{
  if (aAnswer.mStatus == 0) {
    std::cerr << "the daemon can't be reached\n";
    return kExitRefused;
  }
  const json body = json::parse(aAnswer.mBody, nullptr, false);
  const json error = body.is_object() ? body.value("error", json::object()) : json::object();
  std::cerr << error.value("code", std::string("error")) << ": "
            << error.value("detail", std::string("no detail")) << "\n";
  for (const json& one : error.value("findings", json::array())) {
    std::cerr << "  " << one.value("place", std::string()) << ": "
              << one.value("message", std::string()) << "\n";
  }
  return kExitRefused;
}

void
PrintRow(const json& aItem)
{
  const json status = aItem.value("status", json::object());
  std::cout << absl::StrFormat("%-15s %-28s %8d  %d/%d  %s\n",
                               aItem.value("kind", std::string()),
                               aItem.value("name", std::string()),
                               aItem.value("version", 0),
                               status.value("in_force_at", 0),
                               status.value("daemons", 0),
                               aItem.value("spec", json::object()).dump());
}

void
PrintItems(const json& aItems, bool aAsJson)
{
  if (aAsJson) {
    std::cout << aItems.dump(2) << "\n";
    return;
  }
  std::cout << absl::StrFormat(
    "%-15s %-28s %8s  %s  %s\n", "KIND", "NAME", "VERSION", "IN FORCE", "SPEC");
  for (const json& item : aItems) {
    PrintRow(item);
  }
}

/** One command line's run. */
class cli_run
{
public:
  cli_run(const cli_options& aOptions, api_client aClient)
    : mOptions(aOptions)
    , mClient(std::move(aClient))
  {
  }

  int Apply()
  {
    std::ifstream file(mOptions.mFile);
    const json parsed = json::parse(file, nullptr, false);
    if (parsed.is_discarded()) {
      std::cerr << mOptions.mFile << ": not a JSON file\n";
      return kExitBadInput;
    }
    const json items = parsed.is_array() ? parsed : json::array({ parsed });
    if (!CheckItems(items)) {
      return kExitBadInput;
    }
    for (const json& item : items) {
      if (const int code = ApplyOne(item)) {
        return code;
      }
    }
    return kExitOk;
  }

  int Get()
  {
    if (mOptions.mWords.size() < 2) {
      return Usage("get needs a kind");
    }
    std::string target = "/api/v1/" + mOptions.mWords[1];
    if (mOptions.mWords.size() > 2) {
      target += "/" + mOptions.mWords[2];
    }
    const http_answer answer = mClient.Call(http::verb::get, target);
    if (answer.mStatus != kOk) {
      return PrintFailure(answer);
    }
    const json body = json::parse(answer.mBody);
    PrintItems(body.contains("items") ? body["items"] : json::array({ body }), mOptions.mJson);
    return kExitOk;
  }

  int Delete()
  {
    if (mOptions.mWords.size() != 3) {
      return Usage("delete needs a kind and a name");
    }
    const std::string target = Join("/api/v1/", mOptions.mWords[1], "/", mOptions.mWords[2]);
    const http_answer current = mClient.Call(http::verb::get, target);
    if (current.mStatus != kOk) {
      return PrintFailure(current);
    }
    const auto version = json::parse(current.mBody).value("version", std::uint64_t{ 0 });
    const std::string query = Join("?expected_version=", version, "&write_id=", NewWriteId());
    const http_answer answer = Repeat(http::verb::delete_, target + query, "");
    if (answer.mStatus != kOk) {
      return PrintFailure(answer);
    }
    std::cout << "deleted " << mOptions.mWords[1] << " " << mOptions.mWords[2] << "\n";
    return kExitOk;
  }

  int Watch()
  {
    std::uint64_t from = 0;
    const instant start = boot_clock_source().Now();
    do {
      const http_answer answer = mClient.Call(http::verb::get, Join("/api/v1/watch?from=", from));
      if (answer.mStatus != kOk) {
        return PrintFailure(answer);
      }
      const json body = json::parse(answer.mBody);
      for (const json& item : body["items"]) {
        mOptions.mJson ? void(std::cout << item.dump() << "\n") : PrintRow(item);
      }
      std::cout.flush();
      from = body.value("next_offset", from);
    } while (mOptions.mSeconds == 0 ||
             ToSeconds(boot_clock_source().Now() - start) < mOptions.mSeconds);
    return kExitOk;
  }

  int Status()
  {
    const http_answer answer = mClient.Call(http::verb::get, "/api/v1/status");
    if (answer.mStatus != kOk) {
      return PrintFailure(answer);
    }
    const json body = json::parse(answer.mBody);
    if (mOptions.mJson) {
      std::cout << body.dump(2) << "\n";
      return kExitOk;
    }
    std::cout << "next offset " << body["next_offset"] << ", resources " << body["resources"]
              << ", log " << (body.value("log_reachable", false) ? "reachable" : "not reachable")
              << "\n";
    std::cout << absl::StrFormat(
      "%-20s %-16s %-18s %11s %s\n", "DAEMON", "HALL", "INCARNATION", "NEXT OFFSET", "SERVING");
    for (const json& one : body["daemons"]) {
      std::cout << absl::StrFormat("%-20s %-16s %-18s %11d %s\n",
                                   one.value("name", std::string()),
                                   one.value("hall", std::string()),
                                   one.value("incarnation", std::string()),
                                   one.value("next_offset", 0),
                                   one.value("serving", false) ? "yes" : "no");
    }
    return kExitOk;
  }

  static int Usage(std::string_view aWhy)
  {
    std::cerr << aWhy << "; see dunehook --help\n";
    return kExitBadInput;
  }

private:
  static std::string NewWriteId() { return ToText(DrawIncarnation()); }

  /** Checks all items before the first is written, and reports all faults. */
  static bool CheckItems(const json& aItems)
  {
    finding_list findings;
    for (std::size_t index = 0; index < aItems.size(); ++index) {
      const json& item = aItems[index];
      const std::size_t before = findings.size();
      const auto kind = ParseKind(item.is_object() ? item.value("kind", std::string()) : "");
      if (!kind) {
        findings.push_back({ "kind", "must be a known kind" });
      } else {
        (void)ParseSpec(kind.value(), item.value("spec", json::object()), findings);
      }
      if (!item.is_object() || !IsValidName(item.value("name", std::string()))) {
        findings.push_back({ "name", "must be 1 to 64 of a-z, 0-9, '-', '.', '_'" });
      }
      for (std::size_t at = before; at < findings.size(); ++at) {
        findings[at].mPlace = Join("[", index, "].", findings[at].mPlace);
      }
    }
    for (const finding& one : findings) {
      std::cerr << one.mPlace << ": " << one.mMessage << "\n";
    }
    return findings.empty();
  }

  int ApplyOne(const json& aItem)
  {
    const std::string target =
      Join("/api/v1/", aItem["kind"].get<std::string>(), "/", aItem["name"].get<std::string>());
    json body{ { "spec", aItem["spec"] }, { "write_id", NewWriteId() } };
    body["expected_version"] = aItem.value("expected_version", CurrentVersion(target));
    const http_answer answer = Repeat(http::verb::put, target, body.dump());
    if (answer.mStatus != kOk) {
      std::cerr << target << ": ";
      return PrintFailure(answer);
    }
    const json done = json::parse(answer.mBody);
    std::cout << "applied " << done.value("kind", std::string()) << " "
              << done.value("name", std::string()) << " version " << done["version"] << "\n";
    return kExitOk;
  }

  std::uint64_t CurrentVersion(const std::string& aTarget)
  {
    const http_answer answer = mClient.Call(http::verb::get, aTarget);
    return answer.mStatus == kOk ? json::parse(answer.mBody).value("version", std::uint64_t{ 0 })
                                 : 0;
  }

  /** Repeats a write whose fate is unknown: its write id makes it fold once. */
  http_answer Repeat(http::verb aMethod, const std::string& aTarget, const std::string& aBody)
  {
    http_answer answer;
    for (int tries = 0; tries < kWriteTries; ++tries) {
      answer = mClient.Call(aMethod, aTarget, aBody);
      if (answer.mStatus != 0 && answer.mStatus != kUnavailable) {
        break;
      }
    }
    return answer;
  }

  const cli_options& mOptions; ///< What the command line said.
  api_client mClient;          ///< The daemon.
};

/** @param aPlatform whether the file is in the form of the users' platform. */
int
CheckSettings(const std::string& aPath, bool aPlatform)
{
  const finding_list findings =
    aPlatform ? platform::ReadHostSettings(aPath).mFindings : LoadSettings(aPath).mFindings;
  for (const finding& one : findings) {
    std::cerr << Describe(one, aPath) << "\n";
  }
  if (!findings.empty()) {
    return kExitBadInput;
  }
  std::cout << aPath << ": no findings\n";
  return kExitOk;
}

/** Shows what the users' store holds. */
int
ViewStore(const cli_options& aOptions)
{
  const result<endpoint> at = ParseEndpoint(aOptions.mStore);
  if (!at) {
    return cli_run::Usage("-store is no address");
  }
  asio::io_context io(1);
  platform::store_client store(at.value());
  store_view<platform::store_client> view(store, aOptions);
  int code = kExitRefused;
  Spawn(io, view.Run(code));
  io.run();
  return code;
}

/** Tells the story of a request from files, or from standard input where none is named. */
int
Explain(const cli_options& aOptions)
{
  std::vector<log_line> lines;
  const auto take = [&](std::istream& aInput) {
    const std::vector<log_line> more = ReadLogLines(aInput);
    lines.insert(lines.end(), more.begin(), more.end());
  };
  for (std::size_t word = 2; word < aOptions.mWords.size(); ++word) {
    std::ifstream file(aOptions.mWords[word]);
    if (!file) {
      std::cerr << aOptions.mWords[word] << ": can't be read\n";
      return kExitBadInput;
    }
    take(file);
  }
  if (aOptions.mWords.size() == 2) {
    take(std::cin);
  }
  const request_story story = ExplainRequest(lines, aOptions.mWords[1]);
  if (aOptions.mJson) {
    std::cout << ToJson(story).dump(2) << "\n";
  } else {
    for (const story_step& step : story.mSteps) {
      std::cout << absl::StrFormat(
        "%9.3f s  %-22s %-18s %s\n", step.mAfter, step.mHost, step.mRequest, step.mText);
    }
    std::cout << "cause: " << (story.mCause.empty() ? "no line about it" : story.mCause) << "\n";
  }
  return story.mCause.empty() ? kExitRefused : kExitOk;
}

} // namespace

int
RunCli(const cli_options& aOptions)
{
  const std::string command = aOptions.mWords.empty() ? "" : aOptions.mWords[0];
  if (command == "check") {
    return aOptions.mWords.size() == 2 ? CheckSettings(aOptions.mWords[1], aOptions.mHostSettings)
                                       : cli_run::Usage("check needs a file");
  }
  if (command == "explain") {
    return aOptions.mWords.size() >= 2 ? Explain(aOptions)
                                       : cli_run::Usage("explain needs a request's id");
  }
  const bool reads = command == "status" || command == "get" || command == "watch";
  if (!aOptions.mStore.empty()) {
    return reads ? ViewStore(aOptions)
                 : cli_run::Usage("the store is only read: status, get or watch");
  }
  const result<endpoint> server = ParseEndpoint(aOptions.mServer);
  const result<std::string> token = LoadSecret(aOptions.mTokenFile);
  if (!server || !token) {
    return cli_run::Usage(server ? "-token_file can't be read" : "-server is no address");
  }
  cli_run run(aOptions, api_client(server.value(), token.value()));
  using command_function = int (cli_run::*)();
  const std::map<std::string, command_function> commands{
    { "apply", &cli_run::Apply }, { "get", &cli_run::Get },       { "delete", &cli_run::Delete },
    { "watch", &cli_run::Watch }, { "status", &cli_run::Status },
  };
  const auto found = commands.find(command);
  if (found == commands.end()) {
    return cli_run::Usage("no such command");
  }
  return (run.*found->second)();
}

} // namespace dunehook
