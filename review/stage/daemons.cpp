/**
 * @file daemons.cpp
 * Starting, watching and ending of the daemons.
 */
#include "daemons.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace stage {

namespace {

constexpr ms kWatchInterval{ 5 };
constexpr ms kReadyInterval{ 1000 };
constexpr ms kRestartDelay{ 500 };
constexpr ms kStartLimit{ 20000 };
constexpr int kControlPort = 8146;
/** Of so many new connections all but one go to one daemon while most do. */
constexpr std::size_t kSkewedOf = 10;
constexpr int kPorts[] = { 7660, 7661, 7662, 8140, 8144, 8146, 9464 };

/** @return the words of a role's command in the deploy file. */
std::vector<std::string>
DeployedCommand()
{
  std::ifstream file("deploy/system.toml");
  std::vector<std::string> words;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("run = \"")) {
      std::istringstream text(line.substr(7, line.rfind('"') - 7));
      for (std::string word; text >> word;) {
        words.push_back(word);
      }
    }
  }
  return words;
}

/** @return memory of a process's own, in MB: mapped files don't count. */
int
OwnMemoryMb(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::atoi(line.c_str() + 8) / 1024;
    }
  }
  return 0;
}

} // namespace

recorder::recorder(const std::string& aPath)
  : mFile(::open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

void
recorder::Line(const std::string& aText)
{
  const std::string line = std::to_string(NowMs()) + " " + aText + "\n";
  const std::lock_guard lock(mMutex);
  if (::write(mFile, line.data(), line.size()) < 0) {
    std::perror("record.txt");
  }
}

daemons::daemons(const daemon_settings& aSettings, recorder& aRecord)
  : mSettings(aSettings)
  , mRecord(aRecord)
  , mCommand(DeployedCommand())
  , mRows(static_cast<std::size_t>(aSettings.mCount))
{
  // Addresses of the loopback range where the ports of the settings are free.
  const auto seed = static_cast<unsigned>(::getpid());
  for (unsigned i = 0; i < 200 && mNet.empty(); ++i) {
    const unsigned net = seed * 31 + i * 7;
    mNet = "127." + std::to_string(64 + net % 128) + "." + std::to_string(net / 128 % 250) + ".";
    for (int number = 0; number < aSettings.mCount && !mNet.empty(); ++number) {
      for (const int port : kPorts) {
        const int probe = Listen(Host(number), port);
        if (probe < 0) {
          mNet.clear();
          break;
        }
        ::close(probe);
      }
    }
  }
}

daemons::~daemons()
{
  mOver = true;
  for (row& one : mRows) {
    if (one.mProcess > 0) {
      ::kill(one.mProcess, SIGKILL);
    }
  }
  const instant until = steady::now() + ms(2000);
  while (steady::now() < until && std::any_of(mRows.begin(), mRows.end(), [](const row& aRow) {
           return aRow.mProcess > 0;
         })) {
    std::this_thread::sleep_for(ms(10));
  }
}

std::string
daemons::Host(int aDaemon) const
{
  return mNet + std::to_string(aDaemon + 2);
}

bool
daemons::Start()
{
  if (mNet.empty() || mCommand.empty() || ::access(mCommand[0].c_str(), X_OK) != 0) {
    return false;
  }
  for (int number = 0; number < mSettings.mCount; ++number) {
    Launch(number, true);
    std::thread([this, number] { Watch(number); }).detach();
    std::thread([this, number] { AskReadiness(number); }).detach();
  }
  const instant until = steady::now() + kStartLimit;
  const auto in = [&] {
    return std::all_of(mRows.begin(), mRows.end(), [](const row& aRow) { return aRow.mIn.load(); });
  };
  while (!in() && steady::now() < until) {
    std::this_thread::sleep_for(ms(20));
  }
  return in();
}

void
daemons::Launch(int aDaemon, bool aFirst)
{
  const std::string host = Host(aDaemon);
  const std::string path = mSettings.mFolder + "/daemon-" + std::to_string(aDaemon) + ".toml";
  std::ofstream file(path);
  file << "node-name = \"front-" << aDaemon << "\"\nrole = \"router\"\nmachine-class = \"front\"\n"
       << "serves = [\"front\",\"control\"]\nip = \"" << host << "\"\nzone = \""
       << mSettings.mZones[static_cast<std::size_t>(aDaemon) % mSettings.mZones.size()]
       << "\"\nregion = \"great-lakes\"\ninternal-ports = [7660,7675]\nseeds = [";
  for (int number = 0; number < std::min(3, mSettings.mCount); ++number) {
    file << (number > 0 ? "," : "") << '"' << Host(number) << ':' << kControlPort << '"';
  }
  file << "]\nbootstrap = " << (aFirst ? "true" : "false")
       << "\ncount-in-tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
       << "heartbeat-ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
       << "\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n[zones]\n"
       << "duluth-hall = \"great-lakes\"\ntoledo-hall = \"great-lakes\"\n"
       << "erie-hall = \"great-lakes\"\n[listen]\nfront = \"" << host << ":8144\"\nready = \""
       << host << ":8140\"\ncontrol = \"" << host << ":8146\"\n[limits]\ncpu-share = 0.25\n"
       << "cores = 1\nmemory-mb = " << mSettings.mMemoryMb
       << "\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n[fault-tolerance]\nmachines = 2\n"
       << "zones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\n"
       << "ack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n"
       << "config-apply-ms = 2000\nrollback-slack-ms = 250\nskew-max-ms = 5000\n"
       << "retry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-slack = 56\n"
       << "recovery-s = 12\ntransit-ms = 120\nagain_s = 3.3\nenforce-fencing = true\n"
       << "lease-ms = 3000\nthaw-ms = 300\n[platform]\naddress = \"" << mSettings.mStore
       << "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\n"
       << "append_ms = 2.0\npart_mb_per_s = 20.0\nread_mb_per_s = 80.0\nrecord_bytes = 262144\n"
       << "call_bytes = 2097152\nkeep_s = 300\npart_mb = 200\nttl_min_ms = 1000\n";
  file.close();
  const std::string output = mSettings.mFolder + "/daemon-" + std::to_string(aDaemon) + ".out";
  std::vector<std::string> variables{ "DUNEHOOK_BOOT=" + path };
  for (const char* const name : { "PATH", "HOME", "LANG" }) {
    const char* const value = std::getenv(name);
    if (value != nullptr) {
      variables.push_back(std::string(name) + "=" + value);
    }
  }
  std::vector<char*> words;
  std::vector<char*> environment;
  std::transform(mCommand.begin(),
                 mCommand.end(),
                 std::back_inserter(words),
                 [](std::string& aWord) { return aWord.data(); });
  std::transform(variables.begin(),
                 variables.end(),
                 std::back_inserter(environment),
                 [](std::string& aText) { return aText.data(); });
  words.push_back(nullptr);
  environment.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It doesn't outlive the case.
    const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (::getppid() == parent) {
      ::execve(words[0], words.data(), environment.data());
    }
    ::_exit(127);
  }
  mRows[static_cast<std::size_t>(aDaemon)].mProcess = child;
}

void
daemons::Watch(int aDaemon)
{
  // The thread that starts a process must live as long as it does: see PR_SET_PDEATHSIG.
  row& one = mRows[static_cast<std::size_t>(aDaemon)];
  for (;;) {
    std::this_thread::sleep_for(kWatchInterval);
    const pid_t process = one.mProcess;
    bool over = false;
    if (process > 0) {
      const int memory = OwnMemoryMb(process);
      one.mPeakMb = std::max(one.mPeakMb.load(), memory);
      over = memory > mSettings.mMemoryMb;
      if (over) { // The platform kills a process that exceeds its memory.
        ::kill(process, SIGKILL);
      }
    }
    int status = 0;
    if (process <= 0 || ::waitpid(process, &status, over ? 0 : WNOHANG) != process) {
      continue;
    }
    one.mProcess = 0;
    if (mOver) {
      return;
    }
    ++(over ? one.mOverMemory : one.mEnded);
    mRecord.Line("daemon " + std::to_string(aDaemon) +
                 (over ? " exceeded memory-mb and was ended"
                       : " ended by itself, status " + std::to_string(status)));
    std::this_thread::sleep_for(kRestartDelay);
    if (mOver) {
      return;
    }
    Launch(aDaemon, false);
  }
}

void
daemons::AskReadiness(int aDaemon)
{
  row& one = mRows[static_cast<std::size_t>(aDaemon)];
  int missed = 2;
  while (!mOver) {
    const instant next = steady::now() + (one.mIn ? kReadyInterval : ms(250));
    connection link;
    message answer;
    const bool ready =
      link.Connect(Host(aDaemon) + ":8140", kReadyInterval) &&
      link.Write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", next) &&
      link.ReadHead(answer, steady::now() + kReadyInterval) && answer.Status() == 200;
    missed = ready ? 0 : missed + 1;
    const bool in = missed < 2;
    if (in != one.mIn) {
      one.mIn = in;
      mRecord.Line("balancer: daemon " + std::to_string(aDaemon) + (in ? " is in" : " is out"));
    }
    std::this_thread::sleep_until(next);
  }
}

int
daemons::Pick(std::size_t aClient) const
{
  std::vector<int> in;
  for (int number = 0; number < mSettings.mCount; ++number) {
    if (mRows[static_cast<std::size_t>(number)].mIn) {
      in.push_back(number);
    }
  }
  if (in.empty()) {
    return static_cast<int>(aClient % mRows.size());
  }
  const int skew = mSkew;
  if (skew >= 0 && aClient % kSkewedOf != 0) { // To another one once that one is out.
    const auto from = std::lower_bound(in.begin(), in.end(), skew);
    return from == in.end() ? in.front() : *from;
  }
  return in[std::hash<std::string>{}("client " + std::to_string(aClient)) % in.size()];
}

void
daemons::Signal(int aDaemon, int aSignal)
{
  const pid_t process = mRows[static_cast<std::size_t>(aDaemon)].mProcess;
  if (process > 0) {
    ::kill(process, aSignal);
  }
}

} // namespace stage
