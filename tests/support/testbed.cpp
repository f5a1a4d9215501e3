/**
 * @file testbed.cpp
 * Real processes for the integration tests.
 */
#include "tests/support/testbed.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dunehook::test {

namespace {

constexpr const char* kOperatorToken = "operator-token-of-the-tests";

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

http::request<http::string_body>
BuildRequest(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             const headers& aHeaders)
{
  http::request<http::string_body> request(http::string_to_verb(aMethod), aTarget, 11);
  request.set(http::field::host, "test");
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.body() = aBody;
  request.prepare_payload();
  return request;
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

asio::awaitable<void>
Exchange(const endpoint& aTo,
         const http::request<http::string_body>& aRequest,
         duration aLimit,
         const std::string& aFrom,
         answer& aAnswer)
{
  beast::tcp_stream link(co_await asio::this_coro::executor);
  link.expires_after(aLimit);
  boost::system::error_code error;
  if (!aFrom.empty()) {
    link.socket().open(tcp::v4());
    link.socket().bind(tcp::endpoint(asio::ip::make_address(aFrom), 0));
  }
  const tcp::endpoint target(asio::ip::make_address(aTo.mAddress), aTo.mPort);
  co_await link.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  co_await http::async_write(link, aRequest, asio::redirect_error(asio::use_awaitable, error));
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{ 64 } << 20U);
  co_await http::async_read(link, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  aAnswer.mStatus = parser.get().result_int();
  aAnswer.mBody = parser.get().body();
  for (const auto& field : parser.get()) {
    aAnswer.mHeaders[Lower(std::string(field.name_string()))] = std::string(field.value());
  }
}

} // namespace

std::string
BuildFolder()
{
  const char* const set = std::getenv("DUNEHOOK_BUILD");
  return set == nullptr ? "build" : set;
}

std::string
answer::Outcome() const
{
  const auto found = mHeaders.find("x-dunehook-outcome");
  return found == mHeaders.end() ? "" : found->second;
}

answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     const headers& aHeaders,
     int aLimitMs,
     const std::string& aFrom)
{
  answer received;
  const auto to = ParseEndpoint(aAddress);
  if (!to) {
    return received;
  }
  asio::io_context io(1);
  const auto request = BuildRequest(aMethod, aTarget, aBody, aHeaders);
  const std::chrono::milliseconds limit(aLimitMs);
  asio::co_spawn(io, Exchange(to.value(), request, limit, aFrom, received), asio::detached);
  io.run();
  return received;
}

/** The stream's socket. */
struct stream::connection
{
  asio::io_context mIo;       ///< Runs the reads.
  tcp::socket mSocket{ mIo }; ///< To the daemon.
};

stream::stream(const std::string& aAddress, const std::string& aBody, const headers& aHeaders)
  : mConnection(std::make_unique<connection>())
{
  const endpoint to = ParseEndpoint(aAddress).value();
  mConnection->mSocket.connect({ asio::ip::make_address(to.mAddress), to.mPort });
  const auto request = BuildRequest("POST", "/v1/completions", aBody, aHeaders);
  std::ostringstream text;
  text << request;
  asio::write(mConnection->mSocket, asio::buffer(text.str()));
}

stream::~stream() = default;

void
stream::Close()
{
  mConnection.reset();
}

void
stream::TakeBytes()
{
  if (mStatus == 0) {
    const std::size_t end = mBuffer.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    mStatus = static_cast<unsigned>(std::stoul(mBuffer.substr(9, 3)));
    mBuffer.erase(0, end + 4);
  }
  mEnded = mBuffer.find("\r\n0\r\n\r\n") != std::string::npos;
  for (std::size_t at = mBuffer.find("data: "); at != std::string::npos;
       at = mBuffer.find("data: ")) {
    const std::size_t end = mBuffer.find("\n\n", at);
    if (end == std::string::npos) {
      return;
    }
    const std::string event = mBuffer.substr(at + 6, end - at - 6);
    mBuffer.erase(0, end + 2);
    if (event == "[DONE]") {
      mDone = true;
      continue;
    }
    mLastEvent = event;
    const json parsed = json::parse(event, nullptr, false);
    if (parsed.is_object() && parsed.contains("token")) {
      mIndexes.push_back(parsed["token"].get<unsigned>());
      mText += parsed["choices"][0].value("text", std::string());
    }
  }
}

std::size_t
stream::ReadTokens(std::size_t aCount, int aLimitMs)
{
  const std::int64_t deadline = NowMs() + aLimitMs;
  std::array<char, 16384> bytes;
  while (mConnection && mIndexes.size() < aCount && !mDone && !mEnded && NowMs() < deadline) {
    bool ended = false;
    mConnection->mSocket.async_read_some(
      asio::buffer(bytes), [&](const boost::system::error_code& aError, std::size_t aSize) {
        mBuffer.append(bytes.data(), aSize);
        ended = static_cast<bool>(aError);
      });
    mConnection->mIo.restart();
    mConnection->mIo.run_for(std::chrono::milliseconds(deadline - NowMs()));
    TakeBytes();
    if (ended) {
      mConnection.reset();
    }
  }
  return mIndexes.size();
}

std::string
MakeFolder(const std::string& aName)
{
  const char* const parent = std::getenv("DUNEHOOK_FOLDERS");
  std::string path = std::string(parent == nullptr ? "/tmp" : parent) + "/" + aName + "-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no folder for the test");
  }
  return path;
}

process::process(std::vector<std::string> aCommand, std::string aOutput)
  : mOutput(std::move(aOutput))
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (std::string& one : aCommand) {
    arguments.push_back(one.data());
  }
  arguments.push_back(nullptr);
  mPid = ::fork();
  if (mPid == 0) {
    const int file = ::open(mOutput.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // A connection that a test has closed would stay open as long as this process has it.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
}

process::~process()
{
  if (Running()) {
    ::kill(mPid, SIGKILL);
    ::kill(mPid, SIGCONT);
    ::waitpid(mPid, nullptr, 0);
  }
}

void
process::Signal(int aSignal)
{
  if (mPid > 0) {
    ::kill(mPid, aSignal);
  }
}

bool
process::Handles(int aSignal) const
{
  constexpr int kHexadecimal = 16;
  std::uint64_t handled = 0;
  std::istringstream lines(ReadFile("/proc/" + std::to_string(mPid) + "/status"));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("SigIgn:", 0) == 0 || line.rfind("SigCgt:", 0) == 0) {
      handled |= std::stoull(line.substr(line.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return (handled >> static_cast<unsigned>(aSignal - 1) & 1U) != 0;
}

std::int64_t
process::PeakKb() const
{
  std::istringstream words(ReadFile("/proc/" + std::to_string(mPid) + "/status"));
  std::int64_t kilobytes = 0;
  for (std::string word; words >> word;) {
    if (word == "VmHWM:") {
      words >> kilobytes;
    }
  }
  return kilobytes;
}

bool
process::Running()
{
  if (mPid <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(mPid, &status, WNOHANG) == mPid) {
    mPid = -1;
    mCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return mPid > 0;
}

int
process::WaitForExit(int aLimitMs)
{
  Eventually([this] { return !Running(); }, aLimitMs);
  return Running() ? -1 : mCode;
}

std::string
process::Output() const
{
  return ReadFile(mOutput);
}

std::string
process::WaitForLine(const std::string& aText, int aLimitMs) const
{
  std::string found;
  Eventually(
    [&] {
      std::istringstream lines(Output());
      for (std::string line; std::getline(lines, line);) {
        if (line.find(aText) != std::string::npos) {
          found = line;
          return true;
        }
      }
      return false;
    },
    aLimitMs);
  return found;
}

testbed::testbed()
{
  mFolder = MakeFolder("dunehook-test");
  std::ofstream(Path("peer.secret")) << kPeerSecret << "\n";
  std::ofstream(Path("operator.token")) << kOperatorToken << "\n";
  mPlatform = std::make_unique<standin>();
  mPlatform->mProcess = std::make_unique<process>(
    std::vector<std::string>{ BuildFolder() + "/standins/standin_platform" }, Path("platform.out"));
  const std::string line = mPlatform->mProcess->WaitForLine("listening");
  mPlatform->mAddress = json::parse(line).at("listening").get<std::string>();
}

testbed::~testbed()
{
  mDaemons.clear();
  mStandins.clear();
  mPlatform.reset();
  if (std::getenv("DUNEHOOK_KEEP") == nullptr) {
    std::filesystem::remove_all(mFolder);
  }
}

standin&
testbed::Start(const std::string& aName,
               const std::string& aProgram,
               const std::vector<std::string>& aArguments)
{
  std::vector<std::string> command{ BuildFolder() + "/standins/" + aProgram };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  auto started = std::make_unique<standin>();
  started->mProcess =
    std::make_unique<process>(command, Path(aName + "." + std::to_string(++mRuns) + ".out"));
  const std::string line = started->mProcess->WaitForLine("listening");
  if (line.empty()) {
    throw std::runtime_error("the stand-in " + aName + " didn't start");
  }
  started->mAddress = json::parse(line).at("listening").get<std::string>();
  mStandins[aName] = std::move(started);
  return *mStandins[aName];
}

standin&
testbed::StartRunner(const std::string& aName,
                     const std::string& aPool,
                     const std::string& aProgram,
                     const std::vector<std::string>& aArguments)
{
  standin& started = Start(aName, aProgram, aArguments);
  SetHost(aName, started.mAddress, aPool);
  return started;
}

standin&
testbed::StartProxy(const std::string& aName, const std::string& aTarget)
{
  standin& started = Start(aName, "standin_proxy", { "--target=" + aTarget });
  started.mProxy = Control(started, json::object()).at("proxy").get<std::string>();
  return started;
}

entry_daemon&
testbed::StartDaemon(const std::string& aName, const daemon_options& aOptions, bool aWaitReady)
{
  const std::string settings = Path(aName + ".toml");
  const std::string log = aOptions.mLog.empty() ? mPlatform->mAddress : aOptions.mLog;
  const std::string hosts = aOptions.mHostList.empty() ? mPlatform->mAddress : aOptions.mHostList;
  std::ofstream(settings) << "[daemon]\nname = \"" << aName << "\"\nhall = \"duluth-hall\"\n"
                          << "[callers]\nlisten = \"127.0.0.1:0\"\nbody_bytes = 200000\n"
                          << "[operators]\nlisten = \"127.0.0.1:0\"\ntoken_file = \""
                          << Path("operator.token") << "\"\n"
                          << "[peers]\nlisten = \"127.0.0.1:0\"\nsecret_file = \""
                          << Path("peer.secret") << "\"\n"
                          << "[platform]\nlog = \"" << log << "\"\nhost_list = \"" << hosts
                          << "\"\nhost_list_ms = 200\n"
                          << aOptions.mExtra;
  auto started = std::make_unique<entry_daemon>();
  started->mName = aName;
  started->mProcess = std::make_unique<process>(
    std::vector<std::string>{ BuildFolder() + "/src/dunehookd", "--settings=" + settings },
    Path(aName + "." + std::to_string(++mRuns) + ".log"));
  const std::string line = started->mProcess->WaitForLine("\"event\":\"listening\"");
  if (line.empty()) {
    throw std::runtime_error("the daemon " + aName + " didn't start");
  }
  const json listening = json::parse(line);
  started->mCallers = listening.at("callers").get<std::string>();
  started->mOperators = listening.at("operators").get<std::string>();
  started->mPeers = listening.at("peers").get<std::string>();
  started->mIncarnation = listening.at("incarnation").get<std::string>();
  SetHost(aName, started->mPeers, "dunehook");
  mDaemons[aName] = std::move(started);
  entry_daemon& ready = *mDaemons[aName];
  if (aWaitReady &&
      !Eventually([&] { return Call(ready.mCallers, "GET", "/readyz").mStatus == 200; })) {
    throw std::runtime_error("the daemon " + aName + " isn't ready: " + ready.mProcess->Output());
  }
  return ready;
}

void
testbed::SetHost(const std::string& aName,
                 const std::string& aAddress,
                 const std::string& aPool,
                 const std::string& aState)
{
  if (aPool.empty()) {
    mHosts.erase(aName);
  } else {
    mHosts[aName] = { { "name", aName },
                      { "address", aAddress },
                      { "pool", aPool },
                      { "hall", "duluth-hall" },
                      { "state", aState } };
  }
  PublishHosts();
}

void
testbed::PublishHosts()
{
  json list = json::array();
  for (const auto& [name, one] : mHosts) {
    list.push_back(one);
  }
  Call(mPlatform->mAddress, "PUT", "/hosts", json{ { "hosts", list } }.dump());
}

answer
testbed::Operate(const entry_daemon& aDaemon,
                 const std::string& aMethod,
                 const std::string& aTarget,
                 const std::string& aBody)
{
  return Call(aDaemon.mOperators,
              aMethod,
              aTarget,
              aBody,
              { { "Authorization", std::string("Bearer ") + kOperatorToken } });
}

answer
testbed::Put(const entry_daemon& aDaemon,
             const std::string& aKind,
             const std::string& aName,
             const json& aSpec,
             std::uint64_t aExpected,
             const std::string& aWriteId)
{
  json body{ { "spec", aSpec }, { "expected_version", aExpected } };
  if (!aWriteId.empty()) {
    body["write_id"] = aWriteId;
  }
  return Operate(aDaemon, "PUT", "/api/v1/" + aKind + "/" + aName, body.dump());
}

void
testbed::ApplyTutoring(const entry_daemon& aDaemon)
{
  const json resources = json::parse(ReadFile("examples/lakeshore.json"));
  for (const json& one : resources) {
    if (one["kind"] == "model_version") {
      continue; // Tests of model orders write their own.
    }
    const answer written = Put(aDaemon, one["kind"], one["name"], one["spec"]);
    if (written.mStatus != 200) {
      throw std::runtime_error("a resource was refused: " + written.mBody);
    }
  }
}

void
testbed::StartTutoring(int aDaemons, int aPrefills, int aDecodes)
{
  for (int number = 1; number <= aPrefills; ++number) {
    StartRunner("prefill-" + std::to_string(number), "tutor-prefill", "standin_engine");
  }
  for (int number = 1; number <= aDecodes; ++number) {
    StartRunner("decode-" + std::to_string(number), "tutor-decode", "standin_engine");
  }
  StartRunner("records-1", "lesson-records", "standin_service");
  for (int number = 1; number <= aDaemons; ++number) {
    StartDaemon("entry-" + std::to_string(number));
  }
  ApplyTutoring(Daemon("entry-1"));
  const auto inForce = [&](const entry_daemon& aDaemon) {
    const json status = Operate(aDaemon, "GET", "/api/v1/status").Json();
    return status.value("resources", 0) == 10 &&
           status["daemons"].size() == static_cast<std::size_t>(aDaemons);
  };
  for (const auto& [name, one] : mDaemons) {
    Eventually([&, &running = *one] { return inForce(running); });
  }
}

std::uint64_t
testbed::SumCounter(const std::string& aName)
{
  std::uint64_t sum = 0;
  for (const auto& [name, one] : mStandins) {
    const json counters = Call(one->mAddress, "GET", "/counters").Json();
    sum += counters.is_object() ? counters.value(aName, std::uint64_t{ 0 }) : 0;
  }
  return sum;
}

std::size_t
testbed::HoldsAt(const std::string& aEngine)
{
  const json holds = Call(At(aEngine).mAddress, "GET", "/v1/holds").Json();
  return holds.is_object() ? holds.value("holds", json::array()).size() : 0;
}

std::size_t
testbed::Holds()
{
  std::size_t sum = 0;
  for (const auto& [name, one] : mStandins) {
    if (name.starts_with("prefill-") || name.starts_with("decode-")) {
      sum += HoldsAt(name);
    }
  }
  return sum;
}

std::uint64_t
testbed::Runs(const std::string& aRecord)
{
  std::uint64_t sum = 0;
  for (const auto& [name, one] : mStandins) {
    if (name.starts_with("records-")) {
      const json counters = Call(one->mAddress, "GET", "/counters").Json();
      sum += counters.value("runs", json::object()).value(aRecord, std::uint64_t{ 0 });
    }
  }
  return sum;
}

json
Control(const standin& aStandin, const json& aFaults)
{
  return Call(aStandin.mAddress, "POST", "/control", aFaults.dump()).Json();
}

bool
Eventually(const std::function<bool()>& aCondition, int aLimitMs)
{
  const std::int64_t deadline = NowMs() + aLimitMs;
  while (!aCondition()) {
    if (NowMs() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

std::int64_t
NowMs()
{
  return boot_clock_source{}.Now().count() / 1000;
}

std::string
CompletionBody(const std::string& aPrompt, int aTokens, bool aStream, const std::string& aModel)
{
  return json{
    { "model", aModel }, { "prompt", aPrompt }, { "max_tokens", aTokens }, { "stream", aStream }
  }.dump();
}

std::string
FreshKey(const std::string& aName, int aAgeSeconds)
{
  const auto now = std::chrono::duration_cast<std::chrono::seconds>(
    std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(now.count() - aAgeSeconds) + "-" + aName;
}

} // namespace dunehook::test
