/**
 * @file log_writer.h
 * Writes log lines without ever waiting: what the reader doesn't take and the queue doesn't hold is
 * dropped and counted by kind, good outcomes before failures. The counts are written when there's
 * room again.
 */
#pragma once

#include "core/log_func.h"
#include "core/token_bucket.h"

#include <deque>
#include <map>
#include <string>

namespace dunehook {

/** Limits of a writer. */
struct log_limits
{
  double mInfoLines = 150.0;           ///< Lines a second on good outcomes; twice that at once.
  double mProblemLines = 300.0;        ///< Lines a second on failures; twice that at once.
  std::size_t mQueueBytes = 65536;     ///< Bytes that wait for the reader.
  std::size_t mInfoQueueBytes = 16384; ///< Bytes beyond which only failures wait.
};

/** The writer. Used on one thread. */
class log_writer
{
public:
  /** @param aHandle a pipe, terminal or file; it isn't closed, and its flags stay as they are. */
  explicit log_writer(int aHandle, const log_limits& aLimits = {})
    : mHandle(aHandle)
    , mLimits(aLimits)
    , mInfo(aLimits.mInfoLines, 2.0 * aLimits.mInfoLines)
    , mProblems(aLimits.mProblemLines, 2.0 * aLimits.mProblemLines)
  {
  }

  /** @return whether a line of this kind may be written now; if not, it's counted as dropped. */
  bool Admit(log_level aLevel, std::string_view aKind, instant aNow);
  /** Writes a line, or queues it, or counts it as dropped. @param aLine without its end. */
  void Write(log_level aLevel, std::string_view aKind, std::string_view aLine);
  /** Writes what waits, as far as the reader takes it. */
  void Flush();

  /** @return dropped lines by kind since the last call, if there's room for a line to tell. */
  std::map<std::string, std::uint64_t> TakeDropped();
  /** @return all lines dropped so far. */
  std::uint64_t DroppedInAll() const { return mDroppedInAll; }
  /** @return bytes handed to the reader so far. */
  std::uint64_t BytesWritten() const { return mBytes; }

private:
  void Drop(std::string_view aKind);

  int mHandle;                                   ///< Where lines go.
  log_limits mLimits;                            ///< Limits.
  token_bucket mInfo;                            ///< Lines on good outcomes.
  token_bucket mProblems;                        ///< Lines on failures.
  std::string mQueue;                            ///< Bytes that wait; at most mQueueBytes.
  std::map<std::string, std::uint64_t> mDropped; ///< By kind, not told yet.
  std::uint64_t mDroppedInAll = 0;               ///< Lines.
  std::uint64_t mBytes = 0;                      ///< Bytes.
};

} // namespace dunehook
