/**
 * @file testbed.h
 * Real processes for the integration tests: daemons, stand-ins and proxies on ports of the
 * kernel's choice. A test ends only the processes it started, by id. No sleep stands for a
 * condition: waits look for the event, with a deadline.
 */
#pragma once

#include "net/net_type.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dunehook::test {

using json = nlohmann::json;
using headers = std::vector<std::pair<std::string, std::string>>;

/** @return the folder of the build whose programs are started: DUNEHOOK_BUILD, else "build". */
std::string
BuildFolder();

/** A whole answer; a status of 0 means that the connection failed. */
struct answer
{
  unsigned mStatus = 0;                        ///< Status.
  std::map<std::string, std::string> mHeaders; ///< By lower-case name.
  std::string mBody;                           ///< Body.
  /** @return the body as JSON, discarded if it isn't. */
  json Json() const { return json::parse(mBody, nullptr, false); }
  /** @return the value of X-Dunehook-Outcome. */
  std::string Outcome() const;
};

/** Sends one call on a fresh connection and reads the whole answer.
 * @param aFrom address of the caller; empty for any. */
answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody = "",
     const headers& aHeaders = {},
     int aLimitMs = 15000,
     const std::string& aFrom = "");

/** A caller's streamed call, read step by step. */
class stream
{
public:
  stream(const std::string& aAddress, const std::string& aBody, const headers& aHeaders = {});
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  /** Reads events until there are @p aCount tokens, the end, or the limit. @return tokens so far.
   */
  std::size_t ReadTokens(std::size_t aCount, int aLimitMs = 15000);
  /** Reads to the end. */
  void ReadAll(int aLimitMs = 30000) { ReadTokens(SIZE_MAX, aLimitMs); }
  /** Closes the connection at once. */
  void Close();

  const std::string& Text() const { return mText; }
  const std::vector<unsigned>& Indexes() const { return mIndexes; }
  bool Done() const { return mDone; }
  unsigned Status() const { return mStatus; }
  const std::string& LastEvent() const { return mLastEvent; }

private:
  void TakeBytes();

  struct connection;
  std::unique_ptr<connection> mConnection; ///< Null once closed.
  std::string mBuffer;                     ///< Bytes not taken apart yet.
  std::string mText;                       ///< Tokens so far.
  std::vector<unsigned> mIndexes;          ///< Their indexes.
  bool mDone = false;                      ///< The last event came.
  bool mEnded = false;                     ///< The answer is over, with or without it.
  unsigned mStatus = 0;                    ///< Status; 0 until the head came.
  std::string mLastEvent;                  ///< The last event before [DONE].
};

/**
 * Makes a test's folder, in the folder that DUNEHOOK_FOLDERS names or in /tmp.
 * @return its path.
 */
std::string
MakeFolder(const std::string& aName);

/** A process that the test started. */
class process
{
public:
  process(std::vector<std::string> aCommand, std::string aOutput);
  /** @return its process id. */
  pid_t Pid() const { return mPid; }
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Signal(int aSignal);
  /** @return whether it catches or ignores a signal; a program that's being loaded doesn't yet. */
  bool Handles(int aSignal) const;
  /** @return the most memory that it has had, in kB; 0 if it isn't running. */
  std::int64_t PeakKb() const;
  /** Waits for its end. @return the exit code, or -1 if it didn't end in time. */
  int WaitForExit(int aLimitMs = 10000);
  bool Running();
  /** @return everything it has printed. */
  std::string Output() const;
  /** Waits until it has printed a line with @p aText. @return that line, or an empty text. */
  std::string WaitForLine(const std::string& aText, int aLimitMs = 10000) const;

private:
  pid_t mPid = -1;     ///< Its id; -1 once reaped.
  int mCode = -1;      ///< Its exit code, once reaped.
  std::string mOutput; ///< File with what it prints.
};

/** A daemon that the test started. */
struct entry_daemon
{
  std::string mName;                 ///< Name of its host.
  std::unique_ptr<process> mProcess; ///< The process.
  std::string mCallers;              ///< Callers' address.
  std::string mOperators;            ///< Operators' address.
  std::string mPeers;                ///< Peers' address.
  std::string mIncarnation;          ///< Its run.
};

/** A stand-in that the test started. */
struct standin
{
  std::unique_ptr<process> mProcess; ///< The process.
  std::string mAddress;              ///< Where it listens, or its control address.
  std::string mProxy;                ///< Where the proxy takes connections; proxies only.
};

/** Settings of a daemon that differ from the usual ones. */
struct daemon_options
{
  std::string mLog;      ///< Address of the log, if not the platform's.
  std::string mHostList; ///< Address of the host list, if not the platform's.
  std::string mExtra;    ///< Lines for the [platform] section.
};

/** Secret that the daemons of a test share. */
inline constexpr const char* kPeerSecret = "peer-secret-of-the-tests";

/** A deployment. */
class testbed
{
public:
  testbed();
  ~testbed();

  standin& Platform() { return *mPlatform; }
  /** Starts a stand-in program. @param aName unique in the test. */
  standin& Start(const std::string& aName,
                 const std::string& aProgram,
                 const std::vector<std::string>& aArguments = {});
  /** Starts an engine or service and adds it to the host list. */
  standin& StartRunner(const std::string& aName,
                       const std::string& aPool,
                       const std::string& aProgram,
                       const std::vector<std::string>& aArguments = {});
  /** Starts a proxy before an address. */
  standin& StartProxy(const std::string& aName, const std::string& aTarget);
  /** Starts a daemon, adds it to the host list, and waits until it's ready. */
  entry_daemon& StartDaemon(const std::string& aName,
                            const daemon_options& aOptions = {},
                            bool aWaitReady = true);
  standin& At(const std::string& aName) { return *mStandins.at(aName); }
  entry_daemon& Daemon(const std::string& aName) { return *mDaemons.at(aName); }

  /** Sets a host of the list; an empty pool removes it. */
  void SetHost(const std::string& aName,
               const std::string& aAddress,
               const std::string& aPool,
               const std::string& aState = "live");
  void PublishHosts();
  /** Writes a resource through a daemon. */
  answer Put(const entry_daemon& aDaemon,
             const std::string& aKind,
             const std::string& aName,
             const json& aSpec,
             std::uint64_t aExpected = 0,
             const std::string& aWriteId = "");
  /** Calls the operators' interface. */
  answer Operate(const entry_daemon& aDaemon,
                 const std::string& aMethod,
                 const std::string& aTarget,
                 const std::string& aBody = "");
  /** Applies the resources of the tutoring example. @param aKeep changes specs before. */
  void ApplyTutoring(const entry_daemon& aDaemon);
  /** Starts prefill-1.., decode-1.. and records-1 with quick times, and applies the resources. */
  void StartTutoring(int aDaemons, int aPrefills = 2, int aDecodes = 2);
  /** @return the sum of a counter over the engines. */
  std::uint64_t SumCounter(const std::string& aName);
  /** @return holds at an engine by its own list. */
  std::size_t HoldsAt(const std::string& aEngine);
  /** @return holds at all engines. */
  std::size_t Holds();
  /** @return runs of a record at the services. */
  std::uint64_t Runs(const std::string& aRecord);
  std::string Path(const std::string& aName) const { return mFolder + "/" + aName; }

private:
  std::string mFolder;                                           ///< For files of the test.
  std::unique_ptr<standin> mPlatform;                            ///< Log, host list, weight store.
  std::map<std::string, std::unique_ptr<standin>> mStandins;     ///< By name.
  std::map<std::string, std::unique_ptr<entry_daemon>> mDaemons; ///< By name.
  std::map<std::string, json> mHosts;                            ///< The host list, by name.
  int mRuns = 0;                                                 ///< Makes file names unique.
};

/** Sets faults of a stand-in. */
json
Control(const standin& aStandin, const json& aFaults);

/** Waits for a condition. @return whether it held before the deadline. */
bool
Eventually(const std::function<bool()>& aCondition, int aLimitMs = 10000);

/** @return milliseconds on the clock that the processes use. */
std::int64_t
NowMs();

/** @return the body of a streamed completions call. */
std::string
CompletionBody(const std::string& aPrompt,
               int aTokens,
               bool aStream = true,
               const std::string& aModel = "tutor");

/** @return an idempotency key issued @p aAgeSeconds ago. */
std::string
FreshKey(const std::string& aName, int aAgeSeconds = 0);

} // namespace dunehook::test
