/**
 * @file daemons.h
 * The daemons as separate processes, started with the deploy file's command, and what the platform
 * does for them: readiness, the share of new connections, the limit of memory, restarts.
 */
#pragma once

#include "wire.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <sys/types.h>

namespace stage {

/** Writes what happens to record.txt. */
class recorder
{
public:
  explicit recorder(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mMutex; ///< Guards the file.
  int mFile;         ///< The record.
};

/** Settings of all daemons of a case. */
struct daemon_settings
{
  int mCount = 3;      ///< Daemons.
  std::string mStore;  ///< Address of the store.
  std::string mFolder; ///< For settings and output.
  int mMemoryMb = 110; ///< Limit of a process.
  std::vector<std::string> mZones{ "duluth-hall", "toledo-hall", "erie-hall" };
};

/** The daemons. */
class daemons
{
public:
  daemons(const daemon_settings& aSettings, recorder& aRecord);
  ~daemons();
  daemons(const daemons&) = delete;
  daemons& operator=(const daemons&) = delete;

  /** Starts all. @return whether all were ready in time. */
  bool Start();
  /** @return the daemon that the balancer gives a new connection; -1 if none is in. */
  int Pick(std::size_t aClient) const;
  /** Gives most new connections to one daemon that is in; -1: no longer. */
  void Skew(int aTo) { mSkew = aTo; }
  std::string Callers(int aDaemon) const { return Host(aDaemon) + ":8144"; }
  /** @return how often a daemon was over its memory and so ended. */
  int OverMemory(int aDaemon) const { return mRows[aDaemon].mOverMemory; }
  /** @return how often a daemon ended by itself otherwise. */
  int Ended(int aDaemon) const { return mRows[aDaemon].mEnded; }
  /** @return the most memory that a daemon had, in MB. */
  int Peak(int aDaemon) const { return mRows[aDaemon].mPeakMb; }
  int Count() const { return mSettings.mCount; }
  void Signal(int aDaemon, int aSignal);

private:
  struct row
  {
    std::atomic<pid_t> mProcess = 0;  ///< Its process; 0 if it has none.
    std::atomic<bool> mIn = false;    ///< The balancer uses it.
    std::atomic<int> mOverMemory = 0; ///< Ends for its memory.
    std::atomic<int> mEnded = 0;      ///< Other ends.
    std::atomic<int> mPeakMb = 0;     ///< Most memory.
  };

  std::string Host(int aDaemon) const;
  void Launch(int aDaemon, bool aFirst);
  void Watch(int aDaemon);
  void AskReadiness(int aDaemon);

  daemon_settings mSettings;         ///< Of all.
  recorder& mRecord;                 ///< What happens.
  std::vector<std::string> mCommand; ///< Of the deploy file.
  std::string mNet;                  ///< First numbers of the daemons' addresses.
  std::vector<row> mRows;            ///< By daemon.
  std::atomic<int> mSkew = -1;       ///< See Skew().
  std::atomic<bool> mOver = false;   ///< The case is over.
};

} // namespace stage
